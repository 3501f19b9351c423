/* Forwarding of load reports from other zones within a zone.  */

#include <string.h>

#include "member/forwarding.h"

enum
{
  /* Two intervals of load reports, of at most 100 ms each, and the delay
     between two instances.  */
  FORWARDER_TIMEOUT_MS = 250
};

/* Return an empty table, to be freed with g_hash_table_destroy.  It maps names
   of other zones to the time, in ms, when an instance that comes before this
   one last forwarded a report of that zone.  */
GHashTable *
jc_forwarding_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Record in FORWARDING that at NOW_MS the instance FORWARDER forwarded a report
   of ZONE to this instance, OWN_NAME.  An instance that comes after this one by
   name is ignored.  */
void
jc_forwarding_record (GHashTable *forwarding, const char *zone,
                      const char *forwarder, const char *own_name,
                      int64_t now_ms)
{
  int64_t *forwarded_ms;

  if (strcmp (forwarder, own_name) > 0)
    return;
  forwarded_ms = g_new (int64_t, 1);
  *forwarded_ms = now_ms;
  g_hash_table_replace (forwarding, g_strdup (zone), forwarded_ms);
}

/* Return whether another instance forwards the reports of ZONE, so that this
   one need not: one that comes before it by name did so less than
   FORWARDER_TIMEOUT_MS before NOW_MS.  */
bool
jc_forwarding_done_by_other (GHashTable *forwarding, const char *zone,
                             int64_t now_ms)
{
  const int64_t *forwarded_ms = g_hash_table_lookup (forwarding, zone);

  return forwarded_ms != NULL && now_ms - *forwarded_ms < FORWARDER_TIMEOUT_MS;
}
