/* Tests of the group of state instances on virtual time: it forms from one
   founder, and whatever two instances are lost at once, with their disks or
   without, acknowledged changes stay and the group comes back by itself.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "conf/placement.h"
#include "conf/replicas.h"
#include "tests/logsim.h"

enum
{
  INSTANCES = 6,
  LOSSES = 2,
  WANTED = 2 * LOSSES + 1,
  /* JC_GROUPING_SEEDS takes its place, for long runs by hand.  */
  SEEDS = 8,
  ROUNDS = 6,
  TICK_MS = 250,
  STEP_MS = 10,
  /* From the founder alone to five voters, two changes each.  */
  FORM_MS = 20000,
  /* What is lost counts as lost for so long after it is back.  */
  CATCH_UP_MS = 6000,
  /* From the end of all faults to a group that takes orders.  */
  RECOVER_MS = 15000,
  FAULT_MOST_MS = 5000,
  DELAYS = 12,
  SUBMIT_MS = 200
};

/* An order that was acknowledged.  */
struct acked
{
  char *id;
  uint64_t version;
};

/* A group, its leader's pending change and the order under way.  KNOWN is the
   version that the operator knows.  */
struct play
{
  struct logsim *sim;
  GRand *rand;
  bool changing;
  bool waiting;
  unsigned int serial;
  int64_t sent_ms;
  int target;
  uint64_t known;
  GArray *acked;
};

static void
on_changed (void *ctx, enum jc_status status)
{
  struct play *play = ctx;

  (void)status;
  play->changing = false;
}

static guint
list_peers (const struct play *play, int leader,
            struct jc_placement_peer *peers)
{
  const struct jc_rlog *log = logsim_log (play->sim, leader);
  const struct rpc_replicas *replicas = jc_rlog_replicas (log);
  guint count = 0;

  for (int i = 0; i < INSTANCES; i++)
    {
      const char *name = logsim_name (play->sim, i);
      const struct rpc_replica *row = jc_replicas_find (replicas, name);

      if (row != NULL)
        peers[count++] = (struct jc_placement_peer){
          .name = name,
          .is_replica = true,
          .designated_voter = row->standing,
          .caught_up = jc_rlog_caught_up (log, name),
          .silent_ms = jc_rlog_silent_ms (log, name, logsim_now (play->sim))
        };
      else if (logsim_connected (play->sim, leader, i))
        peers[count++] = (struct jc_placement_peer){ .name = name };
    }
  return count;
}

/* Let the leader make the change that is due.  A change that a dead leader
   began is never answered, so it holds up nobody after it.  */
static void
group_tick (struct play *play, int *led)
{
  int leader = logsim_leader (play->sim);
  struct jc_placement_peer peers[INSTANCES];
  struct jc_placement_change step;
  struct jc_rlog *log;

  if (leader != *led)
    play->changing = false;
  *led = leader;
  if (leader < 0 || play->changing)
    return;
  log = logsim_log (play->sim, leader);
  step = jc_placement_next_change (peers, list_peers (play, leader, peers),
                                   LOSSES);
  if (step.kind == JC_PLACEMENT_NO_CHANGE)
    return;
  play->changing = true;
  if (step.kind == JC_PLACEMENT_PUT)
    jc_rlog_put_replica (log, step.name, step.designated_voter, on_changed,
                         play);
  else
    jc_rlog_remove_replica (log, step.name, on_changed, play);
  logsim_flush (play->sim, leader);
}

/* Tell whether the leader takes orders: the rule of acknowledgements.  */
static bool
takes_orders (const struct play *play)
{
  int leader = logsim_leader (play->sim);
  const struct rpc_replicas *replicas;

  if (leader < 0)
    return false;
  replicas = jc_rlog_replicas (logsim_log (play->sim, leader));
  return jc_placement_survives_losses (jc_replicas_count_voters (replicas),
                                       replicas->list.list_len, LOSSES);
}

static bool
is_whole (const struct play *play)
{
  int leader = logsim_leader (play->sim);

  return leader >= 0 && takes_orders (play)
         && jc_replicas_count_voters (
                jc_rlog_replicas (logsim_log (play->sim, leader)))
                >= (unsigned int)WANTED;
}

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  struct play *play = ctx;
  char *current = g_strdup_printf ("o%u", play->serial);

  if (status == JC_OK)
    {
      struct acked acked = { .id = g_strdup (id), .version = version };

      g_array_append_val (play->acked, acked);
    }
  if (strcmp (current, id) == 0)
    {
      play->waiting = false;
      if (status == JC_OK || status == JC_VERSION_CONFLICT)
        play->known = version;
    }
  g_free (current);
}

/* Send the leader one order after the other; one without an answer is given
   up, and what became of it is not known.  */
static void
operate (struct play *play)
{
  int64_t now = logsim_now (play->sim);
  char *id;

  if (now - play->sent_ms < SUBMIT_MS || !takes_orders (play))
    return;
  play->serial++;
  play->sent_ms = now;
  id = g_strdup_printf ("o%u", play->serial);
  logsim_submit (play->sim, logsim_leader (play->sim), id, play->known, id,
                 on_answer, play);
  g_free (id);
}

static void
run (struct play *play, int64_t ms, bool until_whole)
{
  int led = logsim_leader (play->sim);

  for (int64_t end = logsim_now (play->sim) + ms;
       logsim_now (play->sim) < end && !(until_whole && is_whole (play));)
    {
      if (logsim_now (play->sim) % TICK_MS == 0)
        group_tick (play, &led);
      operate (play);
      logsim_run (play->sim, STEP_MS);
      g_assert_null (logsim_violation (play->sim));
    }
}

/* Send an order whose way to some of the replicas is slow, so that others hold
   it alone for a while, and stop a few ms after.  */
static void
order_amid_delays (struct play *play)
{
  for (int i = 0; i < DELAYS; i++)
    {
      const struct logsim_fault fault
          = { .step = logsim_steps (play->sim)
                      + (uint64_t)g_rand_int_range (play->rand, 1, DELAYS * 3),
              .kind = LOGSIM_DELAY };

      logsim_schedule_fault (play->sim, &fault);
    }
  play->sent_ms = 0;
  operate (play);
  logsim_run (play->sim, g_rand_int_range (play->rand, 1, 3 * STEP_MS));
}

/* Lose up to LOSSES instances at once, just after an order was sent.  */
static void
lose (struct play *play)
{
  static const enum logsim_fault_kind kinds[]
      = { LOGSIM_KILL,   LOGSIM_KILL_TORN, LOGSIM_KILL_WIPE, LOGSIM_KILL_WIPE,
          LOGSIM_FREEZE, LOGSIM_CUT_BOTH,  LOGSIM_CUT_IN,    LOGSIM_CUT_OUT };
  enum logsim_fault_kind kind[LOSSES];
  int target[LOSSES];
  int leader;

  run (play, STEP_MS * g_rand_int_range (play->rand, 1, 40), false);
  order_amid_delays (play);
  leader = logsim_leader (play->sim);
  target[0] = leader >= 0 && g_rand_boolean (play->rand)
                  ? leader
                  : g_rand_int_range (play->rand, 0, INSTANCES);
  target[1]
      = (target[0] + g_rand_int_range (play->rand, 1, INSTANCES)) % INSTANCES;
  for (int i = 0; i < LOSSES; i++)
    {
      kind[i] = kinds[g_rand_int_range (play->rand, 0,
                                        (gint32)G_N_ELEMENTS (kinds))];
      logsim_inject_fault (play->sim, kind[i], target[i]);
    }
  run (play,
       STEP_MS * g_rand_int_range (play->rand, 1, FAULT_MOST_MS / STEP_MS),
       false);
  for (int i = 0; i < LOSSES; i++)
    logsim_clear_fault (play->sim, kind[i], target[i]);
}

static void
check_acked (struct play *play)
{
  for (guint i = 0; i < play->acked->len; i++)
    {
      struct acked *acked = &g_array_index (play->acked, struct acked, i);

      logsim_check_accepted (play->sim, acked->id, JC_OK, acked->version);
      g_free (acked->id);
    }
  g_assert_null (logsim_violation (play->sim));
}

static void
play_seed (uint32_t seed)
{
  struct play play
      = { .sim = logsim_new_single (INSTANCES, seed),
          .rand = g_rand_new_with_seed (seed),
          .acked = g_array_new (FALSE, FALSE, sizeof (struct acked)) };
  guint before;

  run (&play, FORM_MS, true);
  g_assert_true (is_whole (&play));
  for (int round = 0; round < ROUNDS; round++)
    {
      lose (&play);
      before = play.acked->len;
      run (&play, RECOVER_MS, true);
      g_assert_true (is_whole (&play));
      run (&play, CATCH_UP_MS, false);
      g_assert_cmpuint (play.acked->len, >, before);
    }
  check_acked (&play);
  g_array_free (play.acked, TRUE);
  g_rand_free (play.rand);
  logsim_free (play.sim);
}

/* Two of six instances are lost at once, again and again.  */
static void
test_losses (void)
{
  const char *said = g_getenv ("JC_GROUPING_SEEDS");
  uint32_t seeds = said != NULL ? (uint32_t)atoi (said) : SEEDS;

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      g_test_message ("seed %u", seed);
      play_seed (seed);
    }
}

/* Orders last only where a quorum has more disks than may be lost.  */
static void
test_lasts (void)
{
  g_assert_false (jc_placement_survives_losses (1, 3, 1));
  g_assert_false (jc_placement_survives_losses (2, 3, 1));
  g_assert_true (jc_placement_survives_losses (3, 3, 1));
  g_assert_false (jc_placement_survives_losses (3, 6, 2));
  g_assert_false (jc_placement_survives_losses (4, 6, 2));
  g_assert_true (jc_placement_survives_losses (5, 6, 2));
  g_assert_false (jc_placement_survives_losses (3, 3, 2));
}

/* A silent voter makes way only for one that has caught up.  */
static void
test_replacement (void)
{
  struct jc_placement_peer peers[] = { { .name = "a",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .caught_up = true },
                                       { .name = "b",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .caught_up = true },
                                       { .name = "c",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .silent_ms = 2600 },
                                       { .name = "d", .is_replica = true } };
  struct jc_placement_change step = jc_placement_next_change (peers, 4, 1);

  g_assert_cmpint (step.kind, ==, JC_PLACEMENT_NO_CHANGE);
  peers[3].caught_up = true;
  step = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (step.kind, ==, JC_PLACEMENT_REMOVE);
  g_assert_cmpstr (step.name, ==, "c");
  peers[2].is_replica = peers[2].designated_voter = false;
  peers[2].silent_ms = 0;
  step = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (step.kind, ==, JC_PLACEMENT_PUT);
  g_assert_cmpstr (step.name, ==, "c");
  peers[2].is_replica = true;
  step = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpstr (step.name, ==, "d");
  g_assert_true (step.designated_voter);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/grouping/losses", test_losses);
  g_test_add_func ("/grouping/lasts", test_lasts);
  g_test_add_func ("/grouping/replacement", test_replacement);
  return g_test_run ();
}
