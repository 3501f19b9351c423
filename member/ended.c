/* Incarnations of endpoints that have ended for good.  */

#include "member/ended.h"

enum
{
  ENDED_MAX = 4096,
  /* As long as an endpoint is kept without news of it.  */
  LIFETIME_MS = 600000
};

/* An incarnation, by the tag that stands for it in load reports, until
   UNTIL_MS.  */
struct record
{
  uint64_t tag;
  int64_t until_ms;
};

/* BY_TAG owns the records; BY_AGE has them oldest first.  */
struct jc_ended
{
  GHashTable *by_tag;
  GQueue *by_age;
};

/* Return an empty set, to be freed with jc_ended_free.  */
struct jc_ended *
jc_ended_new (void)
{
  struct jc_ended *ended = g_new0 (struct jc_ended, 1);

  ended->by_tag
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  ended->by_age = g_queue_new ();
  return ended;
}

/* Free ENDED.  */
void
jc_ended_free (struct jc_ended *ended)
{
  g_queue_free (ended->by_age);
  g_hash_table_destroy (ended->by_tag);
  g_free (ended);
}

static void
drop_oldest (struct jc_ended *ended)
{
  const struct record *oldest = g_queue_pop_head (ended->by_age);

  g_hash_table_remove (ended->by_tag, &oldest->tag);
}

/* Add the incarnation with TAG, heard to have ended at NOW_MS.  A full set
   drops its oldest record.  */
void
jc_ended_add (struct jc_ended *ended, uint64_t tag, int64_t now_ms)
{
  struct record *record = g_hash_table_lookup (ended->by_tag, &tag);

  if (record != NULL)
    g_queue_remove (ended->by_age, record);
  else
    {
      record = g_new0 (struct record, 1);
      record->tag = tag;
      g_hash_table_insert (ended->by_tag, &record->tag, record);
    }
  record->until_ms = now_ms + LIFETIME_MS;
  g_queue_push_tail (ended->by_age, record);
  if (g_hash_table_size (ended->by_tag) > ENDED_MAX)
    drop_oldest (ended);
}

/* Return whether the incarnation with TAG has ended.  */
bool
jc_ended_contains (const struct jc_ended *ended, uint64_t tag)
{
  return g_hash_table_contains (ended->by_tag, &tag);
}

/* Drop the records whose time is over at NOW_MS.  */
void
jc_ended_expire (struct jc_ended *ended, int64_t now_ms)
{
  const struct record *oldest;

  while ((oldest = g_queue_peek_head (ended->by_age)) != NULL
         && oldest->until_ms < now_ms)
    drop_oldest (ended);
}
