/* Asks for slots of workspaces' quotas: what the instances that asked this
   replica lately want, and how the slots are shared out among them.  */

#include <string.h>

#include "member/quotaasks.h"

enum
{
  /* An instance that has not asked for this long counts for no share.  */
  ASK_FRESH_MS = 2 * JC_QUOTA_RENEW_MS + 1000
};

/* BY_WORKSPACE maps names to struct subject_asks.  */
struct jc_quota_asks
{
  GHashTable *by_workspace;
};

static void
want_free (gpointer data)
{
  struct quota_want *want = data;

  g_free (want->instance);
  g_free (want);
}

static void
subject_free (gpointer data)
{
  struct quota_subject *subject = data;

  g_ptr_array_free (subject->wants, TRUE);
  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    g_free (subject->pending_instance[i]);
  g_free (subject);
}

/* Return an empty set of asks, to be freed with jc_quota_asks_free.  */
struct jc_quota_asks *
jc_quota_asks_new (void)
{
  struct jc_quota_asks *asks = g_new0 (struct jc_quota_asks, 1);

  asks->by_workspace
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, subject_free);
  return asks;
}

/* Free ASKS, which may be NULL.  */
void
jc_quota_asks_free (struct jc_quota_asks *asks)
{
  if (asks == NULL)
    return;
  g_hash_table_destroy (asks->by_workspace);
  g_free (asks);
}

static void
expire_wants (struct quota_subject *subject, int64_t now_ms)
{
  for (guint i = subject->wants->len; i > 0; i--)
    {
      const struct quota_want *want = g_ptr_array_index (subject->wants, i - 1);

      if (now_ms - want->heard_ms > ASK_FRESH_MS)
        g_ptr_array_remove_index (subject->wants, i - 1);
    }
}

/* Forget what was asked too long ago.  */
void
jc_quota_asks_expire (struct jc_quota_asks *asks, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, asks->by_workspace);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct quota_subject *subject = value;

      expire_wants (subject, now_ms);
      if (subject->wants->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

static gint
compare_wants (gconstpointer a, gconstpointer b)
{
  const struct quota_want *const *first = a;
  const struct quota_want *const *second = b;

  return strcmp ((*first)->instance, (*second)->instance);
}

/* Return what INSTANCE wants, or NULL.  */
struct quota_want *
quota_find_want (const struct quota_subject *subject, const char *instance)
{
  for (guint i = 0; i < subject->wants->len; i++)
    {
      struct quota_want *want = g_ptr_array_index (subject->wants, i);

      if (strcmp (want->instance, instance) == 0)
        return want;
    }
  return NULL;
}

/* Record ASK of HOLDER, and return what is known of its workspace.  */
struct quota_subject *
quota_note_ask (struct jc_quota_asks *asks,
                const struct jc_limit_holder *holder,
                const struct rpc_quota_ask *ask, uint64_t requested_ms,
                int64_t now_ms)
{
  struct quota_subject *subject
      = g_hash_table_lookup (asks->by_workspace, ask->workspace);
  struct quota_want *want;

  if (subject == NULL)
    {
      subject = g_new0 (struct quota_subject, 1);
      subject->wants = g_ptr_array_new_with_free_func (want_free);
      g_hash_table_insert (asks->by_workspace, g_strdup (ask->workspace),
                           subject);
    }
  want = quota_find_want (subject, holder->instance);
  if (want == NULL)
    {
      want = g_new0 (struct quota_want, 1);
      want->instance = g_strdup (holder->instance);
      g_ptr_array_add (subject->wants, want);
      g_ptr_array_sort (subject->wants, compare_wants);
    }
  want->incarnation = holder->incarnation;
  want->requested_ms = requested_ms;
  want->wanted = MIN (ask->wanted, JC_QUOTA_SLOTS);
  want->spare = MIN (ask->spare, JC_QUOTA_SLOTS - want->wanted);
  want->heard_ms = now_ms;
  expire_wants (subject, now_ms);
  return subject;
}

/* Give the instances of SUBJECT up to LEFT more slots one by one, the next one
   always to the one that has the fewest of those that want more: of their
   demand, or with SPARE of what they would hold besides.  Return how many are
   left.  */
static unsigned int
give_out (const struct quota_subject *subject, bool spare, unsigned int left)
{
  for (; left > 0; left--)
    {
      struct quota_want *least = NULL;

      for (guint i = 0; i < subject->wants->len; i++)
        {
          struct quota_want *want = g_ptr_array_index (subject->wants, i);
          unsigned int wish = want->wanted + (spare ? want->spare : 0);

          if (want->fair < wish && (least == NULL || want->fair < least->fair))
            least = want;
        }
      if (least == NULL)
        break;
      least->fair++;
    }
  return left;
}

/* Set the share of each instance of SUBJECT, AVAILABLE slots together: their
   demand goes before what they would hold besides.  */
void
quota_share_out (const struct quota_subject *subject, unsigned int available)
{
  for (guint i = 0; i < subject->wants->len; i++)
    ((struct quota_want *)g_ptr_array_index (subject->wants, i))->fair = 0;
  available = give_out (subject, false, available);
  give_out (subject, true, available);
}

/* Return the credit, in thousandths of a unit, that goes with CHANGE, which was
   applied: what the last holder of the slot left with it, if this replica
   proposed the change.  It is returned once.  */
uint64_t
jc_quota_asks_take_credit (struct jc_quota_asks *asks,
                           const struct rpc_limit_change *change)
{
  unsigned int slot;
  const char *workspace = jc_quota_slots_workspace (change, &slot);
  struct quota_subject *subject
      = workspace != NULL ? g_hash_table_lookup (asks->by_workspace, workspace)
                          : NULL;
  uint64_t credit;

  if (subject == NULL || subject->pending_instance[slot] == NULL
      || subject->pending_revision[slot] != change->revision
      || strcmp (subject->pending_instance[slot], change->instance) != 0)
    return 0;
  credit = subject->pending_credit[slot];
  subject->pending_credit[slot] = 0;
  return credit;
}
