/* Slots of workspaces' quotas.  */

#include <string.h>

#include "member/limitslotsprivate.h"
#include "member/quotaslots.h"

/* Rows of workspaces are named by this and the workspace.  No endpoint's name
   has a space.  */
#define SUBJECT_PREFIX "w "

enum
{
  GROUPS = JC_QUOTA_SLOTS / JC_LIMIT_SLOTS,
  /* A lease this old is renewed when its holder asks.  */
  RENEW_MIN_MS = JC_QUOTA_RENEW_MS - 1000,
  /* An instance that has not asked for this long counts for no share.  */
  ASK_FRESH_MS = 2 * JC_QUOTA_RENEW_MS + 1000,
  /* A slot that was proposed to be leased is offered to no other instance for
     this long.  */
  PENDING_MS = 1000,
  /* Rows of the table that are left to endpoints' limits.  */
  ROWS_MAX = 3072
};

/* What an instance wants of the slots of a workspace, as it said at
   HEARD_MS.  */
struct want
{
  char *instance;
  unsigned int wanted;
  unsigned int spare;
  int64_t heard_ms;
  unsigned int fair;
};

/* WANTS holds struct want, ordered by the names of the instances.  The slot at
   the revision PENDING_REVISION was proposed to be leased at PENDING_MS.  */
struct subject_asks
{
  GPtrArray *wants;
  uint64_t pending_revision[JC_QUOTA_SLOTS];
  int64_t pending_ms[JC_QUOTA_SLOTS];
};

/* BY_WORKSPACE maps names to struct subject_asks.  */
struct jc_quota_asks
{
  GHashTable *by_workspace;
};

static void
want_free (gpointer data)
{
  struct want *want = data;

  g_free (want->instance);
  g_free (want);
}

static void
subject_free (gpointer data)
{
  struct subject_asks *subject = data;

  g_ptr_array_free (subject->wants, TRUE);
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
expire_wants (struct subject_asks *subject, int64_t now_ms)
{
  for (guint i = subject->wants->len; i > 0; i--)
    {
      const struct want *want = g_ptr_array_index (subject->wants, i - 1);

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
      struct subject_asks *subject = value;

      expire_wants (subject, now_ms);
      if (subject->wants->len == 0)
        g_hash_table_iter_remove (&iter);
    }
}

static gint
compare_wants (gconstpointer a, gconstpointer b)
{
  const struct want *const *first = a;
  const struct want *const *second = b;

  return strcmp ((*first)->instance, (*second)->instance);
}

static struct want *
find_want (const struct subject_asks *subject, const char *instance)
{
  for (guint i = 0; i < subject->wants->len; i++)
    {
      struct want *want = g_ptr_array_index (subject->wants, i);

      if (strcmp (want->instance, instance) == 0)
        return want;
    }
  return NULL;
}

/* Record ASK of INSTANCE, and return what is known of its workspace.  */
static struct subject_asks *
note_ask (struct jc_quota_asks *asks, const char *instance,
          const struct rpc_quota_ask *ask, int64_t now_ms)
{
  struct subject_asks *subject
      = g_hash_table_lookup (asks->by_workspace, ask->workspace);
  struct want *want;

  if (subject == NULL)
    {
      subject = g_new0 (struct subject_asks, 1);
      subject->wants = g_ptr_array_new_with_free_func (want_free);
      g_hash_table_insert (asks->by_workspace, g_strdup (ask->workspace),
                           subject);
    }
  want = find_want (subject, instance);
  if (want == NULL)
    {
      want = g_new0 (struct want, 1);
      want->instance = g_strdup (instance);
      g_ptr_array_add (subject->wants, want);
      g_ptr_array_sort (subject->wants, compare_wants);
    }
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
share_out (const struct subject_asks *subject, bool spare, unsigned int left)
{
  for (; left > 0; left--)
    {
      struct want *least = NULL;

      for (guint i = 0; i < subject->wants->len; i++)
        {
          struct want *want = g_ptr_array_index (subject->wants, i);
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

static char *
subject_name (const char *workspace)
{
  return g_strconcat (SUBJECT_PREFIX, workspace, NULL);
}

/* Return whether SUBJECT names a row of a workspace.  */
bool
jc_quota_slots_is_subject (const char *subject)
{
  return g_str_has_prefix (subject, SUBJECT_PREFIX);
}

/* Return the workspace that CHANGE belongs to and set SLOT to the number of the
   slot, or return NULL if it is of an endpoint's limit.  */
const char *
jc_quota_slots_workspace (const struct rpc_limit_change *change,
                          unsigned int *slot)
{
  if (!jc_quota_slots_is_subject (change->endpoint)
      || change->endpoint_incarnation >= GROUPS
      || change->slot >= JC_LIMIT_SLOTS)
    return NULL;
  *slot = (unsigned int)change->endpoint_incarnation * JC_LIMIT_SLOTS
          + change->slot;
  return change->endpoint + strlen (SUBJECT_PREFIX);
}

/* The slots of a workspace; those of a row that doesn't exist are NULL.  */
struct view
{
  const struct limit_slot *slots[JC_QUOTA_SLOTS];
  bool has_row[GROUPS];
};

static void
view_init (struct view *view, const struct jc_limit_slots *slots,
           const char *subject)
{
  for (unsigned int group = 0; group < GROUPS; group++)
    {
      const struct limit_row *row = limit_row_find (slots, subject, group);

      view->has_row[group] = row != NULL;
      for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
        view->slots[group * JC_LIMIT_SLOTS + i]
            = row != NULL ? &row->slots[i] : NULL;
    }
}

static bool
is_held (const struct limit_slot *slot)
{
  return slot != NULL && slot->instance != NULL && slot->instance[0] != '\0';
}

static bool
is_held_by_name (const struct limit_slot *slot, const char *instance)
{
  return is_held (slot) && strcmp (slot->instance, instance) == 0;
}

static bool
is_free (const struct limit_slot *slot, int64_t now_ms)
{
  return !is_held (slot) || now_ms - slot->applied_ms >= JC_QUOTA_LAPSE_MS;
}

static uint64_t
revision_of (const struct limit_slot *slot)
{
  return slot != NULL ? slot->revision : 0;
}

static bool
is_pending (const struct subject_asks *asks, const struct view *view,
            unsigned int slot, int64_t now_ms)
{
  return asks->pending_ms[slot] != 0
         && now_ms - asks->pending_ms[slot] < PENDING_MS
         && asks->pending_revision[slot] == revision_of (view->slots[slot]);
}

/* Return the number of slots that can be shared out: those that are free or
   that an instance which asked lately holds.  */
static unsigned int
count_available (const struct subject_asks *asks, const struct view *view,
                 int64_t now_ms)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    if (is_free (view->slots[i], now_ms)
        || find_want (asks, view->slots[i]->instance) != NULL)
      count++;
  return count;
}

/* Set the share of each instance of ASKS.  */
static void
set_shares (const struct subject_asks *asks, const struct view *view,
            int64_t now_ms)
{
  unsigned int left = count_available (asks, view, now_ms);

  for (guint i = 0; i < asks->wants->len; i++)
    ((struct want *)g_ptr_array_index (asks->wants, i))->fair = 0;
  left = share_out (asks, false, left);
  share_out (asks, true, left);
}

/* The planning of one ask.  */
struct plan
{
  struct subject_asks *asks;
  struct view view;
  const struct jc_limit_holder *holder;
  char *subject;
  uint64_t requested_ms;
  int64_t now_ms;
  GArray *changes;
};

/* Add the change that gives SLOT to the holder of PLAN, or with RELEASE to
   nobody.  */
static void
add_lease (struct plan *plan, unsigned int slot, bool release)
{
  const struct rpc_limit_change change
      = { .op = RPC_LIMIT_LEASE,
          .endpoint = plan->subject,
          .endpoint_incarnation = slot / JC_LIMIT_SLOTS,
          .slot = slot % JC_LIMIT_SLOTS,
          .revision = revision_of (plan->view.slots[slot]),
          .instance = release ? (char *)"" : (char *)plan->holder->instance,
          .instance_incarnation = release ? 0 : plan->holder->incarnation,
          .requested_ms = release ? 0 : plan->requested_ms };

  plan->asks->pending_revision[slot] = change.revision;
  plan->asks->pending_ms[slot] = plan->now_ms;
  g_array_append_val (plan->changes, change);
}

/* Return whether ASK says that SLOT, as it is leased now, isn't used any
   more.  */
static bool
is_released (const struct plan *plan, const struct rpc_quota_ask *ask,
             unsigned int slot)
{
  for (u_int i = 0; i < ask->released.released_len; i++)
    if (ask->released.released_val[i].slot == slot
        && ask->released.released_val[i].revision
               == revision_of (plan->view.slots[slot]))
      return true;
  return false;
}

/* Plan the slots that the holder has already: those of an earlier process of
   the instance are its own, since that process has ended.  Return how many
   there are.  */
static unsigned int
plan_held (struct plan *plan, const struct rpc_quota_ask *ask,
           unsigned int share)
{
  unsigned int held = 0;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    {
      const struct limit_slot *slot = plan->view.slots[i];
      bool pending = is_pending (plan->asks, &plan->view, i, plan->now_ms);
      bool own;

      if (!is_held_by_name (slot, plan->holder->instance))
        continue;
      own = slot->instance_incarnation == plan->holder->incarnation;
      if ((own && is_released (plan, ask, i)) || (!own && held >= share))
        {
          if (!pending)
            add_lease (plan, i, true);
          continue;
        }
      held++;
      if (!pending && (!own || plan->now_ms - slot->applied_ms >= RENEW_MIN_MS))
        add_lease (plan, i, false);
    }
  return held;
}

/* Plan leases of free slots until the holder, which has HELD, has SHARE.  ROWS
   is the number of rows of the table.  */
static void
plan_free (struct plan *plan, unsigned int held, unsigned int share,
           unsigned int rows)
{
  unsigned int first = g_str_hash (plan->holder->instance) % JC_QUOTA_SLOTS;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS && held < share; i++)
    {
      unsigned int slot = (first + i) % JC_QUOTA_SLOTS;

      if (!is_free (plan->view.slots[slot], plan->now_ms)
          || is_held_by_name (plan->view.slots[slot], plan->holder->instance)
          || is_pending (plan->asks, &plan->view, slot, plan->now_ms)
          || (!plan->view.has_row[slot / JC_LIMIT_SLOTS] && rows >= ROWS_MAX))
        continue;
      add_lease (plan, slot, false);
      held++;
    }
}

/* Add to CHANGES, an array of struct rpc_limit_change, what should be proposed
   for ASK of HOLDER, sent at REQUESTED_MS of its clock.  Return how many slots
   HOLDER may hold.  The strings of the changes belong to STRINGS and
   HOLDER.  */
unsigned int
jc_quota_slots_plan (const struct jc_limit_slots *slots,
                     struct jc_quota_asks *asks,
                     const struct jc_limit_holder *holder,
                     const struct rpc_quota_ask *ask, uint64_t requested_ms,
                     int64_t now_ms, GStringChunk *strings, GArray *changes)
{
  char *subject = subject_name (ask->workspace);
  struct plan plan
      = { .asks = note_ask (asks, holder->instance, ask, now_ms),
          .holder = holder,
          .subject = g_string_chunk_insert_const (strings, subject),
          .requested_ms = requested_ms,
          .now_ms = now_ms,
          .changes = changes };
  unsigned int share;

  g_free (subject);
  view_init (&plan.view, slots, plan.subject);
  set_shares (plan.asks, &plan.view, now_ms);
  share = find_want (plan.asks, holder->instance)->fair;
  plan_free (&plan, plan_held (&plan, ask, share), share,
             jc_limit_slots_count (slots));
  return share;
}

/* Add to CHANGES the removal of workspaces' rows of which no slot can be in
   use.  Their strings belong to SLOTS.  */
void
jc_quota_slots_plan_cleanup (const struct jc_limit_slots *slots, int64_t now_ms,
                             GArray *changes)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, slots->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct limit_row *row = value;
      const struct rpc_limit_change change
          = { .op = RPC_LIMIT_DROP,
              .endpoint = row->endpoint,
              .endpoint_incarnation = row->endpoint_incarnation,
              .revision = row->revision,
              .instance = (char *)"" };
      bool unused = jc_quota_slots_is_subject (row->endpoint)
                    && now_ms - row->applied_ms >= JC_QUOTA_LAPSE_MS;

      for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
        unused = unused && is_free (&row->slots[i], now_ms);
      if (unused)
        g_array_append_val (changes, change);
    }
}

/* Set OUT to SLOT of WORKSPACE.  Return false if it was never leased.  */
bool
jc_quota_slots_read (const struct jc_limit_slots *slots, const char *workspace,
                     unsigned int slot, int64_t now_ms,
                     struct jc_quota_slot_state *out)
{
  char *subject = subject_name (workspace);
  const struct limit_row *row
      = limit_row_find (slots, subject, slot / JC_LIMIT_SLOTS);
  const struct limit_slot *found
      = row != NULL ? &row->slots[slot % JC_LIMIT_SLOTS] : NULL;

  g_free (subject);
  if (revision_of (found) == 0)
    return false;
  *out = (struct jc_quota_slot_state){ .holder
                                       = is_held (found) ? found->instance : "",
                                       .incarnation
                                       = found->instance_incarnation,
                                       .revision = found->revision,
                                       .age_ms = now_ms - found->applied_ms };
  return true;
}
