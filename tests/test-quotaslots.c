/* Tests of how slots of workspaces' quotas are planned and applied.  */

#include <glib.h>
#include <string.h>

#include "member/quotaslots.h"

#define WORKSPACE "alpha"

/* A replica that applies what it plans at once.  */
struct replica
{
  struct jc_limit_slots *slots;
  struct jc_quota_asks *asks;
  GStringChunk *strings;
  GArray *changes;
  GArray *over;
  int64_t now_ms;
};

static void
replica_init (struct replica *replica)
{
  replica->slots = jc_limit_slots_new ();
  replica->asks = jc_quota_asks_new ();
  replica->strings = g_string_chunk_new (256);
  replica->changes
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  replica->over = g_array_new (FALSE, FALSE, sizeof (struct jc_quota_share));
  replica->now_ms = 1000;
}

static void
replica_clear (struct replica *replica)
{
  jc_limit_slots_free (replica->slots);
  jc_quota_asks_free (replica->asks);
  g_string_chunk_free (replica->strings);
  g_array_free (replica->changes, TRUE);
  g_array_free (replica->over, TRUE);
}

/* Return how many of the planned changes count.  */
static unsigned int
apply (struct replica *replica)
{
  unsigned int applied = 0;

  for (guint i = 0; i < replica->changes->len; i++)
    applied += jc_limit_slots_apply (
        replica->slots,
        &g_array_index (replica->changes, struct rpc_limit_change, i),
        replica->now_ms);
  return applied;
}

/* Plan an ask of INSTANCE for WANTED and SPARE slots that gives RELEASED back,
   NULL for none, without applying it.  Return its share.  */
static unsigned int
plan (struct replica *replica, const char *instance, uint64_t incarnation,
      unsigned int wanted, unsigned int spare,
      const struct rpc_quota_slot *released)
{
  const struct jc_limit_holder holder
      = { .instance = instance, .incarnation = incarnation };
  const struct rpc_quota_ask ask
      = { .workspace = (char *)WORKSPACE,
          .wanted = wanted,
          .spare = spare,
          .released.released_val = (struct rpc_quota_slot *)released,
          .released.released_len = released != NULL ? 1 : 0 };

  g_array_set_size (replica->changes, 0);
  g_array_set_size (replica->over, 0);
  return jc_quota_slots_plan (
      replica->slots, replica->asks, &holder, &ask, (uint64_t)replica->now_ms,
      replica->now_ms, replica->strings, replica->changes, replica->over);
}

static unsigned int
ask (struct replica *replica, const char *instance, uint64_t incarnation,
     unsigned int wanted, unsigned int spare)
{
  unsigned int share
      = plan (replica, instance, incarnation, wanted, spare, NULL);

  apply (replica);
  return share;
}

static unsigned int
count_held (const struct replica *replica, const char *instance)
{
  struct jc_quota_slot_state state;
  unsigned int count = 0;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    count += jc_quota_slots_read (replica->slots, WORKSPACE, i, replica->now_ms,
                                  &state)
             && strcmp (state.holder, instance) == 0;
  return count;
}

/* Return a slot that INSTANCE holds.  */
static struct rpc_quota_slot
held_slot (const struct replica *replica, const char *instance)
{
  struct jc_quota_slot_state state;

  for (unsigned int i = 0; i < JC_QUOTA_SLOTS; i++)
    if (jc_quota_slots_read (replica->slots, WORKSPACE, i, replica->now_ms,
                             &state)
        && strcmp (state.holder, instance) == 0)
      return (struct rpc_quota_slot){ .slot = i, .revision = state.revision };
  g_assert_not_reached ();
}

/* Demand goes before what is held besides, and small demands are met whole.  */
static void
test_shares (void)
{
  struct replica replica;

  replica_init (&replica);
  g_assert_cmpuint (ask (&replica, "a", 1, 0, 20), ==, 20);
  g_assert_cmpuint (count_held (&replica, "a"), ==, 20);
  g_assert_cmpuint (plan (&replica, "b", 1, 15, 0, NULL), ==, 15);
  g_assert_cmpuint (replica.over->len, ==, 1);
  g_assert_cmpuint (
      g_array_index (replica.over, struct jc_quota_share, 0).slots, ==, 5);
  g_assert_cmpuint (plan (&replica, "c", 1, 2, 0, NULL), ==, 2);
  g_assert_cmpuint (plan (&replica, "d", 1, 15, 0, NULL), ==, 9);
  g_assert_cmpuint (plan (&replica, "b", 1, 15, 0, NULL), ==, 9);
  g_assert_cmpuint (plan (&replica, "a", 1, 0, 20, NULL), ==, 0);
  replica_clear (&replica);
}

/* A slot that is given back goes, with its credit, to who lacks most.  */
static void
test_handing_on (void)
{
  struct replica replica;
  struct rpc_quota_slot released;
  const struct rpc_limit_change *change;

  replica_init (&replica);
  ask (&replica, "a", 1, 20, 0);
  ask (&replica, "b", 1, 3, 0);
  g_assert_cmpuint (count_held (&replica, "b"), ==, 0);
  released = held_slot (&replica, "a");
  released.credit_milli = 5000;
  replica.now_ms += 2000;
  plan (&replica, "a", 1, 0, 0, &released);
  g_assert_cmpuint (replica.changes->len, ==, 1);
  change = &g_array_index (replica.changes, struct rpc_limit_change, 0);
  g_assert_cmpstr (change->instance, ==, "b");
  g_assert_cmpuint (apply (&replica), ==, 1);
  g_assert_cmpuint (count_held (&replica, "b"), ==, 1);
  g_assert_cmpuint (jc_quota_asks_take_credit (replica.asks, change), ==, 5000);
  g_assert_cmpuint (jc_quota_asks_take_credit (replica.asks, change), ==, 0);
  /* What was given back once doesn't free the next lease.  */
  plan (&replica, "a", 1, 0, 0, &released);
  g_assert_cmpuint (replica.changes->len, ==, 0);
  replica_clear (&replica);
}

/* A lease that was renewed meanwhile isn't freed by what was proposed before.
 */
static void
test_late_release (void)
{
  struct replica replica;
  struct rpc_quota_slot released;

  replica_init (&replica);
  ask (&replica, "a", 1, 4, 0);
  released = held_slot (&replica, "a");
  replica.now_ms += JC_QUOTA_RENEW_MS;
  ask (&replica, "a", 1, 4, 0);
  replica.now_ms += 1500;
  plan (&replica, "a", 1, 4, 0, &released);
  g_assert_cmpuint (apply (&replica), ==, 0);
  g_assert_cmpuint (count_held (&replica, "a"), ==, 4);
  replica_clear (&replica);
}

/* Nobody gets a slot before its lease has ended, but a new process of the
   holder's name, which takes it over at once.  */
static void
test_ended_holder (void)
{
  struct replica replica;

  replica_init (&replica);
  ask (&replica, "a", 1, 20, 0);
  ask (&replica, "b", 1, 20, 0);
  g_assert_cmpuint (count_held (&replica, "b"), ==, 0);
  replica.now_ms += JC_QUOTA_LAPSE_MS - 1;
  ask (&replica, "b", 1, 20, 0);
  g_assert_cmpuint (count_held (&replica, "b"), ==, 0);
  replica.now_ms += 1;
  ask (&replica, "b", 1, 20, 0);
  g_assert_cmpuint (count_held (&replica, "b"), ==, 20);
  replica.now_ms += 1500;
  g_assert_cmpuint (plan (&replica, "b", 2, 20, 0, NULL), ==, 20);
  g_assert_cmpuint (apply (&replica), ==, 20);
  replica_clear (&replica);
}

/* Two replicas that plan for the same free slot: only one lease counts.  */
static void
test_conflict (void)
{
  struct replica first;
  struct replica second;
  unsigned int before;

  replica_init (&first);
  replica_init (&second);
  plan (&first, "a", 1, 20, 0, NULL);
  plan (&second, "b", 1, 20, 0, NULL);
  before = apply (&first);
  for (guint i = 0; i < second.changes->len; i++)
    g_assert_false (jc_limit_slots_apply (
        first.slots,
        &g_array_index (second.changes, struct rpc_limit_change, i),
        first.now_ms));
  g_assert_cmpuint (before, ==, 20);
  g_assert_cmpuint (count_held (&first, "a"), ==, 20);
  replica_clear (&first);
  replica_clear (&second);
}

/* Rows go when no slot can be in use; rows of endpoints are left alone, and the
   removal of theirs leaves workspaces' rows alone.  A snapshot keeps all.  */
static void
test_cleanup (void)
{
  struct replica replica;
  struct jc_limit_slots *copy = jc_limit_slots_new ();
  json_t *snapshot = json_object ();
  struct jc_quota_slot_state state;

  replica_init (&replica);
  ask (&replica, "a", 1, 20, 0);
  g_assert_cmpuint (jc_limit_slots_count (replica.slots), ==, 4);
  jc_limit_slots_snapshot (replica.slots, snapshot);
  g_assert_cmpint (jc_limit_slots_restore (copy, snapshot, replica.now_ms), ==,
                   JC_OK);
  g_assert_true (
      jc_quota_slots_read (copy, WORKSPACE, 19, replica.now_ms, &state));
  g_assert_cmpstr (state.holder, ==, "a");
  g_array_set_size (replica.changes, 0);
  replica.now_ms += JC_QUOTA_LAPSE_MS - 1;
  jc_limit_slots_plan_cleanup (replica.slots, replica.now_ms, replica.changes);
  jc_quota_slots_plan_cleanup (replica.slots, replica.now_ms, replica.changes);
  g_assert_cmpuint (replica.changes->len, ==, 0);
  replica.now_ms += 1;
  jc_quota_slots_plan_cleanup (replica.slots, replica.now_ms, replica.changes);
  g_assert_cmpuint (apply (&replica), ==, 4);
  g_assert_cmpuint (jc_limit_slots_count (replica.slots), ==, 0);
  json_decref (snapshot);
  jc_limit_slots_free (copy);
  replica_clear (&replica);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quotaslots/shares", test_shares);
  g_test_add_func ("/quotaslots/handing-on", test_handing_on);
  g_test_add_func ("/quotaslots/late-release", test_late_release);
  g_test_add_func ("/quotaslots/ended-holder", test_ended_holder);
  g_test_add_func ("/quotaslots/conflict", test_conflict);
  g_test_add_func ("/quotaslots/cleanup", test_cleanup);
  return g_test_run ();
}
