/* Passed: which instance of a zone passes on what another zone told.  */

#include <string.h>

#include "member/forwarding.h"

enum
{
  /* Two intervals of loads and a way between instances.  */
  PASSED_MS = 250
};

/* Return a record without a zone that was passed on.  */
GHashTable *
jc_forwarding_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* The instance PASSER passed on what ZONE told to the instance OWN at
   NOW_MS.  */
void
jc_forwarding_record (GHashTable *passed, const char *zone, const char *passer,
                      const char *own, int64_t now_ms)
{
  int64_t *passed_ms;

  if (strcmp (passer, own) > 0)
    return;
  passed_ms = g_new (int64_t, 1);
  *passed_ms = now_ms;
  g_hash_table_replace (passed, g_strdup (zone), passed_ms);
}

/* Tell whether an instance that goes before this one passes on what ZONE
   tells.  */
bool
jc_forwarding_done_by_other (GHashTable *passed, const char *zone,
                             int64_t now_ms)
{
  const int64_t *passed_ms = g_hash_table_lookup (passed, zone);

  return passed_ms != NULL && now_ms - *passed_ms < PASSED_MS;
}
