/* When availability zones were readmitted.  The position of a readmission in
   the log tells one from another; its time is known as an age, so that a
   process that starts, or missed the change, learns it too.  */

#include <stdint.h>

#include "conf/readmissions.h"

enum
{
  /* Readmissions of this age are not told: no service's endpoints are cold for
     so long.  */
  TOLD_AGE_MAX_MS = 600000,
  /* As many as rpc_orders has room for.  */
  ZONES_MAX = 1024
};

/* The last known readmission of a zone: its position in the log, and a time in
   ms that is not before it.  */
struct readmission
{
  uint64_t position;
  int64_t at_ms;
};

/* ZONES maps names to struct readmission.  */
struct jc_readmissions
{
  GHashTable *zones;
};

/* Return an empty table.  */
struct jc_readmissions *
jc_readmissions_new (void)
{
  struct jc_readmissions *readmissions = g_new0 (struct jc_readmissions, 1);

  readmissions->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return readmissions;
}

/* Free READMISSIONS; NULL is allowed.  */
void
jc_readmissions_free (struct jc_readmissions *readmissions)
{
  if (readmissions == NULL)
    return;
  g_hash_table_destroy (readmissions->zones);
  g_free (readmissions);
}

/* Forget the readmission that is the earliest in the log.  */
static void
drop_earliest (struct jc_readmissions *readmissions)
{
  const char *earliest = NULL;
  uint64_t position = UINT64_MAX;
  GHashTableIter iter;
  gpointer zone;
  gpointer value;

  g_hash_table_iter_init (&iter, readmissions->zones);
  while (g_hash_table_iter_next (&iter, &zone, &value))
    if (((const struct readmission *)value)->position < position)
      {
        earliest = zone;
        position = ((const struct readmission *)value)->position;
      }
  g_hash_table_remove (readmissions->zones, earliest);
}

/* Note that ZONE was readmitted by the entry of the log at POSITION, at AT_MS
   or before.  Return false if this, or a later one, is known already.  */
bool
jc_readmissions_note (struct jc_readmissions *readmissions, const char *zone,
                      uint64_t position, int64_t at_ms)
{
  const struct readmission *known
      = g_hash_table_lookup (readmissions->zones, zone);
  struct readmission *noted;

  if (known != NULL && known->position >= position)
    return false;
  noted = g_new0 (struct readmission, 1);
  noted->position = position;
  noted->at_ms = at_ms;
  g_hash_table_replace (readmissions->zones, g_strdup (zone), noted);
  if (g_hash_table_size (readmissions->zones) > ZONES_MAX)
    drop_earliest (readmissions);
  return true;
}

/* Note the readmissions that ORDERS, those of the log, have and that are not
   known yet, as of NOW_MS: after a start, or a snapshot, nobody knows how long
   ago they were.  Append copies of the names of their zones to NOTED.  */
void
jc_readmissions_follow (struct jc_readmissions *readmissions,
                        const struct jc_orders *orders, int64_t now_ms,
                        GPtrArray *noted)
{
  GHashTableIter iter;
  gpointer zone;
  gpointer position;

  g_hash_table_iter_init (&iter, orders->readmitted);
  while (g_hash_table_iter_next (&iter, &zone, &position))
    if (jc_readmissions_note (readmissions, zone, *(const uint64_t *)position,
                              now_ms))
      g_ptr_array_add (noted, g_strdup (zone));
}

/* Return the time in ms until which an endpoint of ZONE may be cold since the
   zone was readmitted, INT64_MIN if it was not.  Endpoints are cold for COLD_MS
   after their start.  */
int64_t
jc_readmissions_cold_until_ms (const struct jc_readmissions *readmissions,
                               const char *zone, int64_t cold_ms)
{
  const struct readmission *known
      = g_hash_table_lookup (readmissions->zones, zone);

  return known != NULL ? known->at_ms + cold_ms : INT64_MIN;
}

/* Add the late readmissions to OUT, the orders in force at NOW_MS.  Their
   array, which the caller must free, points into READMISSIONS.  */
void
jc_readmissions_to_message (const struct jc_readmissions *readmissions,
                            int64_t now_ms, struct rpc_orders *out)
{
  struct rpc_readmission *rows = g_new0 (
      struct rpc_readmission, g_hash_table_size (readmissions->zones) + 1);
  GHashTableIter iter;
  gpointer zone;
  gpointer value;
  u_int count = 0;

  g_hash_table_iter_init (&iter, readmissions->zones);
  while (g_hash_table_iter_next (&iter, &zone, &value))
    {
      const struct readmission *known = value;

      if (now_ms - known->at_ms < TOLD_AGE_MAX_MS)
        rows[count++]
            = (struct rpc_readmission){ .zone = zone,
                                        .position = known->position,
                                        .age_ms
                                        = (uint64_t)(now_ms - known->at_ms) };
    }
  out->readmitted.readmitted_val = rows;
  out->readmitted.readmitted_len = count;
}

/* Note the readmissions that MESSAGE, received at NOW_MS, tells of.  One that
   was on its way counts as later than it was.  */
void
jc_readmissions_update (struct jc_readmissions *readmissions,
                        const struct rpc_orders *message, int64_t now_ms)
{
  for (u_int i = 0; i < message->readmitted.readmitted_len; i++)
    {
      const struct rpc_readmission *row
          = &message->readmitted.readmitted_val[i];

      jc_readmissions_note (readmissions, row->zone, row->position,
                            now_ms
                                - (int64_t)MIN (row->age_ms, TOLD_AGE_MAX_MS));
    }
}
