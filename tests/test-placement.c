/* Tests of replica placement on virtual time.  The group forms from one
   bootstrapped instance; then any two instances are lost at once, with or
   without their disks.  Acknowledged changes must survive, and the group must
   recover without an operator.  */

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
  /* JC_GROUPING_SEEDS overrides it, for long runs.  */
  SEEDS = 8,
  ROUNDS = 6,
  TICK_MS = 250,
  STEP_MS = 10,
  /* From the first instance alone to five voters, two changes each.  */
  FORM_MS = 20000,
  /* An instance counts as lost for this long after it is back.  */
  CATCH_UP_MS = 6000,
  /* From the end of all faults to a group that accepts orders.  */
  RECOVER_MS = 15000,
  FAULT_MAX_MS = 5000,
  DELAYS = 12,
  SUBMIT_MS = 200,
  TURNS = 8,
  SILENT_MIN_MS = 2200,
  SILENT_MAX_MS = 3000
};

/* An acknowledged order.  */
struct acked_order
{
  char *id;
  uint64_t version;
};

/* A simulated group of INSTANCES that bears LOSSES.  CHANGE_PENDING is set
   while a change of replicas by the leader is not completed; KNOWN_VERSION is
   the latest version that the operator knows.  */
struct simulation
{
  int instances;
  unsigned int losses;
  struct logsim *log_sim;
  GRand *rand;
  bool change_pending;
  unsigned int last_serial;
  int64_t sent_ms;
  uint64_t known_version;
  GArray *acked_orders;
};

static void
on_changed (void *ctx, enum jc_status status)
{
  struct simulation *sim = ctx;

  (void)status;
  sim->change_pending = false;
}

static guint
list_peers (const struct simulation *sim, int leader,
            struct jc_placement_peer *peers)
{
  const struct jc_rlog *log = logsim_log (sim->log_sim, leader);
  const struct rpc_replicas *replicas = jc_rlog_replicas (log);
  guint count = 0;

  for (int i = 0; i < sim->instances; i++)
    {
      const char *name = logsim_name (sim->log_sim, i);
      const struct rpc_replica *row = jc_replicas_find (replicas, name);

      if (row != NULL)
        peers[count++] = (struct jc_placement_peer){
          .name = name,
          .is_replica = true,
          .designated_voter = row->standing,
          .votes = row->voter,
          .caught_up = jc_rlog_caught_up (log, name),
          .silent_ms = jc_rlog_silent_ms (log, name, logsim_now (sim->log_sim))
        };
      else if (logsim_connected (sim->log_sim, leader, i))
        peers[count++] = (struct jc_placement_peer){ .name = name };
    }
  return count;
}

/* Let the leader make the change that is due.  A change of a leader that was
   killed is never answered, so it must not block the next leader.  */
static void
placement_tick (struct simulation *sim, int *last_leader)
{
  int leader = logsim_leader (sim->log_sim);
  struct jc_placement_peer peers[INSTANCES];
  struct jc_placement_change change;
  struct jc_rlog *log;

  if (leader != *last_leader)
    sim->change_pending = false;
  *last_leader = leader;
  if (leader < 0 || sim->change_pending)
    return;
  log = logsim_log (sim->log_sim, leader);
  change = jc_placement_next_change (peers, list_peers (sim, leader, peers),
                                     sim->losses);
  if (change.kind == JC_PLACEMENT_NO_CHANGE)
    return;
  sim->change_pending = true;
  if (change.kind == JC_PLACEMENT_PUT)
    jc_rlog_put_replica (log, change.name, change.designated_voter, on_changed,
                         sim);
  else
    jc_rlog_remove_replica (log, change.name, on_changed, sim);
  logsim_flush (sim->log_sim, leader);
}

/* Return whether the leader may acknowledge orders.  */
static bool
accepts_orders (const struct simulation *sim)
{
  int leader = logsim_leader (sim->log_sim);
  const struct rpc_replicas *replicas;

  if (leader < 0)
    return false;
  replicas = jc_rlog_replicas (logsim_log (sim->log_sim, leader));
  return jc_placement_survives_losses (jc_replicas_count_voters (replicas),
                                       replicas->list.list_len, sim->losses);
}

static bool
has_all_voters (const struct simulation *sim)
{
  int leader = logsim_leader (sim->log_sim);

  return leader >= 0 && accepts_orders (sim)
         && jc_replicas_count_voters (
                jc_rlog_replicas (logsim_log (sim->log_sim, leader)))
                >= jc_placement_target_voters (sim->losses);
}

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  struct simulation *sim = ctx;
  char *current = g_strdup_printf ("o%u", sim->last_serial);

  if (status == JC_OK)
    {
      struct acked_order order = { .id = g_strdup (id), .version = version };

      g_array_append_val (sim->acked_orders, order);
    }
  if (strcmp (current, id) == 0
      && (status == JC_OK || status == JC_VERSION_CONFLICT))
    sim->known_version = version;
  g_free (current);
}

/* Send the next order to the leader.  One that gets no answer is abandoned,
   with an unknown outcome.  */
static void
submit_order (struct simulation *sim)
{
  int64_t now = logsim_now (sim->log_sim);
  char *id;

  if (now - sim->sent_ms < SUBMIT_MS || !accepts_orders (sim))
    return;
  sim->last_serial++;
  sim->sent_ms = now;
  id = g_strdup_printf ("o%u", sim->last_serial);
  logsim_submit (sim->log_sim, logsim_leader (sim->log_sim), id,
                 sim->known_version, id, on_answer, sim);
  g_free (id);
}

static void
run (struct simulation *sim, int64_t ms, bool until_all_vote)
{
  int last_leader = logsim_leader (sim->log_sim);

  for (int64_t end = logsim_now (sim->log_sim) + ms;
       logsim_now (sim->log_sim) < end
       && !(until_all_vote && has_all_voters (sim));)
    {
      if (logsim_now (sim->log_sim) % TICK_MS == 0)
        placement_tick (sim, &last_leader);
      submit_order (sim);
      logsim_run (sim->log_sim, STEP_MS);
      g_assert_null (logsim_violation (sim->log_sim));
    }
}

/* Send an order while messages to some of the replicas are delayed, so that
   the others alone hold it for a while, and stop a few ms later.  */
static void
submit_with_delays (struct simulation *sim)
{
  for (int i = 0; i < DELAYS; i++)
    {
      const struct logsim_fault fault
          = { .step = logsim_steps (sim->log_sim)
                      + (uint64_t)g_rand_int_range (sim->rand, 1, DELAYS * 3),
              .kind = LOGSIM_DELAY };

      logsim_schedule_fault (sim->log_sim, &fault);
    }
  sim->sent_ms = 0;
  submit_order (sim);
  logsim_run (sim->log_sim, g_rand_int_range (sim->rand, 1, 3 * STEP_MS));
}

/* Inject faults at LOSSES instances at once, just after an order was sent, and
   clear them some time later.  */
static void
lose_instances (struct simulation *sim)
{
  static const enum logsim_fault_kind kinds[]
      = { LOGSIM_KILL,   LOGSIM_KILL_TORN, LOGSIM_KILL_WIPE, LOGSIM_KILL_WIPE,
          LOGSIM_FREEZE, LOGSIM_CUT_BOTH,  LOGSIM_CUT_IN,    LOGSIM_CUT_OUT };
  enum logsim_fault_kind kind[LOSSES];
  int target[LOSSES];
  int leader;

  run (sim, STEP_MS * g_rand_int_range (sim->rand, 1, 40), false);
  submit_with_delays (sim);
  leader = logsim_leader (sim->log_sim);
  target[0] = leader >= 0 && g_rand_boolean (sim->rand)
                  ? leader
                  : g_rand_int_range (sim->rand, 0, INSTANCES);
  target[1]
      = (target[0] + g_rand_int_range (sim->rand, 1, INSTANCES)) % INSTANCES;
  for (int i = 0; i < LOSSES; i++)
    {
      kind[i] = kinds[g_rand_int_range (sim->rand, 0,
                                        (gint32)G_N_ELEMENTS (kinds))];
      logsim_inject_fault (sim->log_sim, kind[i], target[i]);
    }
  run (sim, STEP_MS * g_rand_int_range (sim->rand, 1, FAULT_MAX_MS / STEP_MS),
       false);
  for (int i = 0; i < LOSSES; i++)
    logsim_clear_fault (sim->log_sim, kind[i], target[i]);
}

static void
check_acked_orders (struct simulation *sim)
{
  for (guint i = 0; i < sim->acked_orders->len; i++)
    {
      struct acked_order *order
          = &g_array_index (sim->acked_orders, struct acked_order, i);

      logsim_check_accepted (sim->log_sim, order->id, JC_OK, order->version);
      g_free (order->id);
    }
  g_assert_null (logsim_violation (sim->log_sim));
}

static void
run_seed (uint32_t seed)
{
  struct simulation sim = { .instances = INSTANCES,
                            .losses = LOSSES,
                            .log_sim = logsim_new_single (INSTANCES, seed),
                            .rand = g_rand_new_with_seed (seed),
                            .acked_orders = g_array_new (
                                FALSE, FALSE, sizeof (struct acked_order)) };
  guint before;

  run (&sim, FORM_MS, true);
  g_assert_true (has_all_voters (&sim));
  for (int round = 0; round < ROUNDS; round++)
    {
      lose_instances (&sim);
      before = sim.acked_orders->len;
      run (&sim, RECOVER_MS, true);
      g_assert_true (has_all_voters (&sim));
      run (&sim, CATCH_UP_MS, false);
      g_assert_cmpuint (sim.acked_orders->len, >, before);
    }
  check_acked_orders (&sim);
  g_array_free (sim.acked_orders, TRUE);
  g_rand_free (sim.rand);
  logsim_free (sim.log_sim);
}

/* Two of six instances are lost at once, repeatedly.  */
static void
test_losses (void)
{
  const char *text = g_getenv ("JC_GROUPING_SEEDS");
  uint32_t seeds = text != NULL ? (uint32_t)atoi (text) : SEEDS;

  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      g_test_message ("seed %u", seed);
      run_seed (seed);
    }
}

/* Guards against an instance whose disk is full that takes its own place back
   each time it is replaced, since it is still connected: no order was
   acknowledged for as long as its disk stayed full.  */
static void
test_full_disk (void)
{
  for (int target = 0; target < INSTANCES; target++)
    {
      struct simulation sim
          = { .instances = INSTANCES,
              .losses = LOSSES,
              .log_sim = logsim_new_single (INSTANCES, (uint64_t)target + 1),
              .rand = g_rand_new_with_seed ((uint32_t)target + 1),
              .acked_orders
              = g_array_new (FALSE, FALSE, sizeof (struct acked_order)) };
      guint before;

      run (&sim, FORM_MS, true);
      g_assert_true (has_all_voters (&sim));
      run (&sim, CATCH_UP_MS, false);
      logsim_inject_fault (sim.log_sim, LOGSIM_DISK_FAIL, target);
      run (&sim, RECOVER_MS, false);
      before = sim.acked_orders->len;
      run (&sim, CATCH_UP_MS, false);
      g_assert_cmpuint (sim.acked_orders->len, >, before);
      logsim_clear_fault (sim.log_sim, LOGSIM_DISK_FAIL, target);
      run (&sim, RECOVER_MS, true);
      g_assert_true (has_all_voters (&sim));
      check_acked_orders (&sim);
      g_array_free (sim.acked_orders, TRUE);
      g_rand_free (sim.rand);
      logsim_free (sim.log_sim);
    }
}

/* Fill one disk at a time in a group of INSTANCES that bears LOSSES, the next
   one at once after another: one for about as long as a voter may be silent,
   the next for CATCH_UP_MS or up to twice as long.  Orders must be acknowledged
   within each of the longer times.  */
static void
fill_disks_in_turn (int instances, unsigned int losses, uint32_t seed)
{
  struct simulation sim = { .instances = instances,
                            .losses = losses,
                            .log_sim = logsim_new_single (instances, seed),
                            .rand = g_rand_new_with_seed (seed),
                            .acked_orders = g_array_new (
                                FALSE, FALSE, sizeof (struct acked_order)) };
  int target = 0;

  run (&sim, FORM_MS, true);
  g_assert_true (has_all_voters (&sim));
  run (&sim, CATCH_UP_MS, false);
  for (int turn = 0; turn < TURNS; turn++)
    {
      guint before = sim.acked_orders->len;
      bool is_short = turn % 2 == 0;
      int ms = is_short
                   ? g_rand_int_range (sim.rand, SILENT_MIN_MS, SILENT_MAX_MS)
                   : g_rand_int_range (sim.rand, CATCH_UP_MS, 2 * CATCH_UP_MS);

      target = (target + g_rand_int_range (sim.rand, 1, instances)) % instances;
      logsim_inject_fault (sim.log_sim, LOGSIM_DISK_FAIL, target);
      run (&sim, ms, false);
      g_assert_true (is_short || sim.acked_orders->len > before);
      logsim_clear_fault (sim.log_sim, LOGSIM_DISK_FAIL, target);
    }
  check_acked_orders (&sim);
  g_array_free (sim.acked_orders, TRUE);
  g_rand_free (sim.rand);
  logsim_free (sim.log_sim);
}

/* Guards against a group that removes the voter whose disk was full last just
   when the disk of another one fills: it then depends on that one alone, and
   leaves orders unanswered.  */
static void
test_disks_in_turn (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fill_disks_in_turn (INSTANCES, LOSSES, seed);
      fill_disks_in_turn (4, 1, seed);
      fill_disks_in_turn (5, 1, seed);
    }
}

/* Orders are acknowledged only if a quorum has more disks than may be
   lost.  */
static void
test_survives_losses (void)
{
  g_assert_false (jc_placement_survives_losses (1, 3, 1));
  g_assert_false (jc_placement_survives_losses (2, 3, 1));
  g_assert_true (jc_placement_survives_losses (3, 3, 1));
  g_assert_false (jc_placement_survives_losses (3, 6, 2));
  g_assert_false (jc_placement_survives_losses (4, 6, 2));
  g_assert_true (jc_placement_survives_losses (5, 6, 2));
  g_assert_false (jc_placement_survives_losses (3, 3, 2));
}

/* A silent voter is replaced only by a replica that has caught up and votes, so
   that the group never has fewer voters than before.  One that is not needed
   any longer loses its vote.  */
static void
test_replacement (void)
{
  struct jc_placement_peer peers[] = { { .name = "a",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .votes = true,
                                         .caught_up = true },
                                       { .name = "b",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .votes = true,
                                         .caught_up = true,
                                         .silent_ms = 100 },
                                       { .name = "c",
                                         .is_replica = true,
                                         .designated_voter = true,
                                         .votes = true,
                                         .silent_ms = 2600 },
                                       { .name = "d", .is_replica = true } };
  struct jc_placement_change change = jc_placement_next_change (peers, 4, 1);

  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_NO_CHANGE);
  peers[3].caught_up = true;
  change = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_PUT);
  g_assert_cmpstr (change.name, ==, "d");
  g_assert_true (change.designated_voter);
  peers[3].designated_voter = true;
  change = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_NO_CHANGE);
  peers[3].votes = true;
  change = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_REMOVE);
  g_assert_cmpstr (change.name, ==, "c");
  peers[2].silent_ms = 50;
  peers[2].caught_up = true;
  change = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_PUT);
  g_assert_cmpstr (change.name, ==, "b");
  g_assert_false (change.designated_voter);
  peers[2] = (struct jc_placement_peer){ .name = "c" };
  change = jc_placement_next_change (peers, 4, 1);
  g_assert_cmpint (change.kind, ==, JC_PLACEMENT_PUT);
  g_assert_cmpstr (change.name, ==, "c");
  g_assert_false (change.designated_voter);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placement/losses", test_losses);
  g_test_add_func ("/placement/full-disk", test_full_disk);
  g_test_add_func ("/placement/disks-in-turn", test_disks_in_turn);
  g_test_add_func ("/placement/survives-losses", test_survives_losses);
  g_test_add_func ("/placement/replacement", test_replacement);
  return g_test_run ();
}
