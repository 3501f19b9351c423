/* Slots of workspaces' quotas.  */

#include <string.h>

#include "member/limitslotsprivate.h"
#include "member/quotaasks.h"

/* Rows of workspaces are named by this and the workspace.  No endpoint's name
   has a space.  */
#define SUBJECT_PREFIX "w "

enum
{
  GROUPS = JC_QUOTA_SLOTS / JC_LIMIT_SLOTS,
  /* A lease this old is renewed when its holder asks.  */
  RENEW_MIN_MS = JC_QUOTA_RENEW_MS - 1000,
  /* A slot that was proposed to be leased is offered to no other instance for
     this long.  */
  PENDING_MS = 1000,
  /* A slot that is given back goes to an instance that asked within this
     time.  */
  WAITING_MS = 2000,
  /* Rows of the table that are left to endpoints' limits.  */
  ROWS_MAX = 3072
};

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
is_pending (const struct quota_subject *asks, const struct view *view,
            unsigned int slot, int64_t now_ms)
{
  return asks->pending_ms[slot] != 0
         && now_ms - asks->pending_ms[slot] < PENDING_MS
         && asks->pending_revision[slot] == revision_of (view->slots[slot]);
}

/* Return the number of slots that can be shared out: those that are free or
   that an instance which asked lately holds.  */
static unsigned int
count_available (const struct quota_subject *asks, const struct view *view,
                 int64_t now_ms)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    if (is_free (view->slots[i], now_ms)
        || quota_find_want (asks, view->slots[i]->instance) != NULL)
      count++;
  return count;
}

/* The planning of one ask, of WANT.  GIVEN maps instances to how many slots the
   plan gives them.  */
struct plan
{
  struct quota_subject *asks;
  struct view view;
  const struct quota_want *want;
  char *subject;
  int64_t now_ms;
  GStringChunk *strings;
  GHashTable *given;
  GArray *changes;
};

/* Add the change that gives SLOT, with CREDIT, to the process of WANT, or to
   nobody if that is NULL.  */
static void
add_lease (struct plan *plan, unsigned int slot, const struct quota_want *want,
           uint64_t credit)
{
  const struct rpc_limit_change change
      = { .op = RPC_LIMIT_LEASE,
          .endpoint = plan->subject,
          .endpoint_incarnation = slot / JC_LIMIT_SLOTS,
          .slot = slot % JC_LIMIT_SLOTS,
          .revision = revision_of (plan->view.slots[slot]),
          .instance = want != NULL ? g_string_chunk_insert_const (
                          plan->strings, want->instance)
                                   : (char *)"",
          .instance_incarnation = want != NULL ? want->incarnation : 0,
          .requested_ms = want != NULL ? want->requested_ms : 0 };

  plan->asks->pending_revision[slot] = change.revision;
  plan->asks->pending_ms[slot] = plan->now_ms;
  plan->asks->pending_credit[slot] = credit;
  g_free (plan->asks->pending_instance[slot]);
  plan->asks->pending_instance[slot]
      = want != NULL ? g_strdup (want->instance) : NULL;
  g_array_append_val (plan->changes, change);
}

/* Return the row of ASK that gives back SLOT as it is leased now, or NULL.  A
   row of an earlier lease doesn't count.  */
static const struct rpc_quota_slot *
find_released (const struct plan *plan, const struct rpc_quota_ask *ask,
               unsigned int slot)
{
  for (u_int i = 0; i < ask->released.released_len; i++)
    if (ask->released.released_val[i].slot == slot
        && ask->released.released_val[i].revision
               == revision_of (plan->view.slots[slot]))
      return &ask->released.released_val[i];
  return NULL;
}

/* Return how many slots INSTANCE has and is being given.  */
static unsigned int
count_held (const struct plan *plan, const char *instance)
{
  unsigned int count
      = GPOINTER_TO_UINT (g_hash_table_lookup (plan->given, instance));

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    count += is_held_by_name (plan->view.slots[i], instance)
             && !is_free (plan->view.slots[i], plan->now_ms);
  return count;
}

static void
give (struct plan *plan, unsigned int slot, const struct quota_want *want,
      uint64_t credit)
{
  guint given
      = GPOINTER_TO_UINT (g_hash_table_lookup (plan->given, want->instance));

  g_hash_table_insert (plan->given, want->instance,
                       GUINT_TO_POINTER (given + 1));
  add_lease (plan, slot, want, credit);
}

/* Return who lacks most of its share of those that asked lately, or NULL.  */
static const struct quota_want *
neediest (const struct plan *plan)
{
  const struct quota_want *best = NULL;
  unsigned int most = 0;

  for (guint i = 0; i < plan->asks->wants->len; i++)
    {
      const struct quota_want *want = g_ptr_array_index (plan->asks->wants, i);
      unsigned int held = count_held (plan, want->instance);

      if (want == plan->want || held + most >= want->fair
          || plan->now_ms - want->heard_ms > WAITING_MS)
        continue;
      best = want;
      most = want->fair - held;
    }
  return best;
}

/* Plan what becomes of SLOT, which its holder no longer uses and left CREDIT
   with, in thousandths.  */
static void
plan_released (struct plan *plan, unsigned int slot, uint64_t credit)
{
  const struct quota_want *next = neediest (plan);

  if (next != NULL)
    give (plan, slot, next, credit);
  else
    add_lease (plan, slot, NULL, 0);
}

/* Plan the slots that the holder has already: those of an earlier process of
   the instance are its own, since that process has ended.  Return how many
   there are.  */
static unsigned int
plan_held (struct plan *plan, const struct rpc_quota_ask *ask)
{
  unsigned int held = 0;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    {
      const struct limit_slot *slot = plan->view.slots[i];
      bool pending = is_pending (plan->asks, &plan->view, i, plan->now_ms);
      const struct rpc_quota_slot *released = find_released (plan, ask, i);
      bool own;

      if (!is_held_by_name (slot, plan->want->instance))
        continue;
      own = slot->instance_incarnation == plan->want->incarnation;
      if ((own && released != NULL) || (!own && held >= plan->want->fair))
        {
          if (!pending)
            plan_released (plan, i, own ? released->credit_milli : 0);
          continue;
        }
      held++;
      if (!pending && (!own || plan->now_ms - slot->applied_ms >= RENEW_MIN_MS))
        add_lease (plan, i, plan->want, 0);
    }
  return held;
}

/* Plan leases of free slots until the holder, which has HELD, has its share.
   ROWS is the number of rows of the table.  */
static void
plan_free (struct plan *plan, unsigned int held, unsigned int rows)
{
  unsigned int first = g_str_hash (plan->want->instance) % JC_QUOTA_SLOTS;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS && held < plan->want->fair; i++)
    {
      unsigned int slot = (first + i) % JC_QUOTA_SLOTS;

      if (!is_free (plan->view.slots[slot], plan->now_ms)
          || is_held_by_name (plan->view.slots[slot], plan->want->instance)
          || is_pending (plan->asks, &plan->view, slot, plan->now_ms)
          || (!plan->view.has_row[slot / JC_LIMIT_SLOTS] && rows >= ROWS_MAX))
        continue;
      add_lease (plan, slot, plan->want, 0);
      held++;
    }
}

/* Append to OVER, an array of struct jc_quota_share, the instances that have
   more than their share and weren't told.  */
static void
list_over (const struct plan *plan, GArray *over)
{
  for (guint i = 0; i < plan->asks->wants->len; i++)
    {
      struct quota_want *want = g_ptr_array_index (plan->asks->wants, i);
      const struct jc_quota_share share
          = { .instance = want->instance, .slots = want->fair };

      if (want == plan->want || want->fair >= want->told
          || count_held (plan, want->instance) <= want->fair)
        continue;
      want->told = want->fair;
      g_array_append_val (over, share);
    }
}

/* Add to CHANGES, an array of struct rpc_limit_change, what should be proposed
   for ASK of HOLDER, sent at REQUESTED_MS of its clock, and to OVER, an array
   of struct jc_quota_share, those that should hear at once that they may hold
   fewer slots than they do.  Return how many slots HOLDER may hold.  The
   strings of the changes belong to STRINGS, those of OVER to ASKS.  */
unsigned int
jc_quota_slots_plan (const struct jc_limit_slots *slots,
                     struct jc_quota_asks *asks,
                     const struct jc_limit_holder *holder,
                     const struct rpc_quota_ask *ask, uint64_t requested_ms,
                     int64_t now_ms, GStringChunk *strings, GArray *changes,
                     GArray *over)
{
  char *subject = subject_name (ask->workspace);
  struct quota_subject *known
      = quota_note_ask (asks, holder, ask, requested_ms, now_ms);
  struct quota_want *want = quota_find_want (known, holder->instance);
  struct plan plan
      = { .asks = known,
          .want = want,
          .subject = g_string_chunk_insert_const (strings, subject),
          .now_ms = now_ms,
          .strings = strings,
          .given = g_hash_table_new (g_str_hash, g_str_equal),
          .changes = changes };

  g_free (subject);
  view_init (&plan.view, slots, plan.subject);
  quota_share_out (known, count_available (known, &plan.view, now_ms));
  want->told = want->fair;
  plan_free (&plan, plan_held (&plan, ask), jc_limit_slots_count (slots));
  list_over (&plan, over);
  g_hash_table_destroy (plan.given);
  return want->fair;
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
