/* Tests of resumable streams whose endpoints change their software version, in
   a simulation of entry and state instances and of endpoints.  */

#include <glib.h>

#include "serve/resumption.h"
#include "tests/versionsim.h"

enum
{
  SEEDS = 2,
  LATE_SEEDS = 20,
  HUNT_SEEDS = 60,
  /* Reports come up to so late, beside the ways between regions.  */
  REPORT_LATE_MS = 230,
  REPORT_LATE_MAX_MS = 390,
  BEHIND_MS = 3000,
  STREAMS_PER_S = 100,
  INSTANCE_STREAMS_PER_S = 10,
  MANY_ENTRIES = 73,
  FEW_ENTRIES = 4,
  MS_PER_S = 1000,
  /* Of 100 take-ups in touch, so many go on.  */
  SHARE_PERCENT = 95,
  PERCENT = 100,
  /* See STARTS_MAX of entry and state instances.  */
  ENTRY_STARTS_MAX = 60000,
  STATE_STARTS_MAX = 200000
};

static const unsigned int entry_counts[] = { 1, 4, 73, VERSIONSIM_ENTRIES_MAX };
static const unsigned int state_counts[] = { 3, 6, VERSIONSIM_STATES_MAX };

/* Run PLAN with SEED and return how many of its streams hold events of two
   versions.  */
static unsigned int
count_mixed (const struct versionsim_plan *plan, uint32_t seed)
{
  struct versionsim_result result;

  versionsim_run (plan, seed, &result);
  g_test_message (
      "entries %u, states %u, versions %u, delay %d ms, seed %u: %u "
      "of %u streams mixed, %u of %u take-ups went on",
      plan->entries, plan->states, plan->versions, (int)plan->delay_ms, seed,
      result.mixed, result.streams, result.went_on, result.take_ups);
  g_assert_cmpuint (result.went_on, >, 0);
  return result.mixed;
}

/* Return whether PLAN is one of those that are run: with many entry instances
   they are fewer.  */
static bool
is_run (const struct versionsim_plan *plan, uint32_t seed)
{
  unsigned int states
      = state_counts[plan->entries == VERSIONSIM_ENTRIES_MAX ? 2 : 0];

  return plan->entries <= FEW_ENTRIES
         || (plan->versions == 2 && plan->states == states && seed == 1);
}

/* Check that no stream holds events of two versions with the faults of PLAN,
   whatever the numbers of instances and versions.  */
static void
check_order (struct versionsim_plan plan)
{
  unsigned int mixed = 0;

  for (gsize e = 0; e < G_N_ELEMENTS (entry_counts); e++)
    for (gsize s = 0; s < G_N_ELEMENTS (state_counts); s++)
      for (plan.versions = 1; plan.versions <= 3; plan.versions++)
        for (uint32_t seed = 1; seed <= SEEDS; seed++)
          {
            plan.entries = entry_counts[e];
            plan.states = state_counts[s];
            plan.streams_per_s = STREAMS_PER_S + 2 * plan.entries;
            if (is_run (&plan, seed))
              mixed += count_mixed (&plan, seed);
          }
  g_assert_cmpuint (mixed, ==, 0);
}

/* Guards against streams joined from two versions where endpoints start again
   with other software and their reports come late within the margin.  */
static void
test_replaced_endpoints (void)
{
  check_order ((struct versionsim_plan){ .crash_ms = 300 });
  check_order (
      (struct versionsim_plan){ .crash_ms = 300, .delay_ms = REPORT_LATE_MS });
}

/* Guards against streams joined from two versions where entry instances are
   killed one by one.  */
static void
test_killed_entries (void)
{
  check_order ((struct versionsim_plan){
      .crash_ms = 300, .delay_ms = REPORT_LATE_MS, .kill_ms = 1100 });
}

/* Guards against streams joined from two versions where all entry instances are
   killed at once and know nothing of before.  */
static void
test_all_entries_killed (void)
{
  check_order ((struct versionsim_plan){
      .crash_ms = 300, .delay_ms = REPORT_LATE_MS, .kill_all_ms = 3000 });
}

/* Guards against streams joined from two versions where state instances that
   hold their starts are killed or cut off.  */
static void
test_lost_states (void)
{
  check_order ((struct versionsim_plan){ .crash_ms = 300,
                                         .delay_ms = REPORT_LATE_MS,
                                         .kill_all_ms = 7000,
                                         .state_kill_ms = 4500,
                                         .state_cut_ms = 6500 });
}

/* Guards against streams joined from two versions where the log can't be
   read.  */
static void
test_no_leader (void)
{
  check_order ((struct versionsim_plan){ .crash_ms = 300,
                                         .delay_ms = REPORT_LATE_MS,
                                         .kill_all_ms = 3000,
                                         .no_leader_ms = 5000 });
}

/* Run PLAN, with two versions and a few streams, with SEEDS seeds and return
   how many streams hold events of two versions.  */
static unsigned int
hunt (struct versionsim_plan plan, uint32_t seeds)
{
  unsigned int mixed = 0;

  plan.versions = 2;
  plan.streams_per_s = STREAMS_PER_S;
  for (uint32_t seed = 1; seed <= seeds; seed++)
    mixed += count_mixed (&plan, seed);
  return mixed;
}

/* Guards against streams joined from two versions where a stream began at a
   process whose version the log hasn't: that of a process with other software
   which no report has told of yet, and the log has no leader.  */
static void
test_unlogged_version (void)
{
  g_assert_cmpuint (hunt ((struct versionsim_plan){ .entries = 1,
                                                    .states = 25,
                                                    .crash_ms = 300,
                                                    .delay_ms = REPORT_LATE_MS,
                                                    .no_leader_ms = 5000 },
                          HUNT_SEEDS),
                    ==, 0);
}

/* Guards against streams joined from two versions where the instances that had
   their starts are lost, beside processes that no report has told of yet.  */
static void
test_lost_records (void)
{
  g_assert_cmpuint (hunt ((struct versionsim_plan){ .entries = 1,
                                                    .states = 3,
                                                    .crash_ms = 300,
                                                    .delay_ms = REPORT_LATE_MS,
                                                    .kill_all_ms = 1500,
                                                    .state_kill_ms = 2500 },
                          HUNT_SEEDS),
                    ==, 0);
}

/* Guards against a report that an ended process sent before the stream began
   confirming that it began the stream.  */
static void
test_reports_of_ended (void)
{
  g_assert_cmpuint (
      hunt ((struct versionsim_plan){ .entries = FEW_ENTRIES,
                                      .states = 6,
                                      .crash_ms = 50,
                                      .delay_ms = REPORT_LATE_MAX_MS },
            LATE_SEEDS),
      ==, 0);
}

/* Check that no stream holds events of two versions where reports come up to 3
   s late.  UNTOLD is as in PLAN.  */
static void
check_late_reports (bool untold)
{
  static const int64_t delays_ms[] = { 500, 600, 800, 1500, 3000 };
  unsigned int mixed = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (delays_ms); i++)
    {
      unsigned int count
          = hunt ((struct versionsim_plan){ .entries = FEW_ENTRIES,
                                            .states = 6,
                                            .crash_ms = 200,
                                            .delay_ms = delays_ms[i],
                                            .untold = untold },
                  LATE_SEEDS);

      g_test_message ("reports up to %d ms late: %u streams mixed",
                      (int)delays_ms[i], count);
      mixed += count;
    }
  g_assert_cmpuint (mixed, ==, 0);
}

/* Guards against a late report being taken for one of the process that answers:
   its sender has started again under its name with other software.  */
static void
test_late_reports (void)
{
  check_late_reports (false);
}

/* The same where endpoints don't tell which incarnation they are.  */
static void
test_late_reports_untold (void)
{
  check_late_reports (true);
}

/* Guards against streams joined from two versions at an entry instance that is
   out of step with state instances for seconds, while endpoints start again
   with other software: streams that began at these elsewhere are taken up
   there.  */
static void
test_behind (void)
{
  static const int64_t crashes_ms[] = { 0, 1000, 200 };
  unsigned int mixed = 0;

  for (gsize i = 0; i < G_N_ELEMENTS (crashes_ms); i++)
    {
      unsigned int count
          = hunt ((struct versionsim_plan){ .entries = FEW_ENTRIES,
                                            .states = 6,
                                            .crash_ms = crashes_ms[i],
                                            .delay_ms = REPORT_LATE_MS,
                                            .behind_ms = BEHIND_MS },
                  LATE_SEEDS);

      g_test_message ("crashes each %d ms: %u streams mixed",
                      (int)crashes_ms[i], count);
      mixed += count;
    }
  g_assert_cmpuint (mixed, ==, 0);
}

/* Guards against streams joined from two versions where the connections of an
   endpoint that ended still look open: its end is heard of late.  */
static void
test_silent_ends (void)
{
  unsigned int mixed
      = hunt ((struct versionsim_plan){ .entries = FEW_ENTRIES,
                                        .states = 6,
                                        .crash_ms = 1000,
                                        .silent_ms = 3000,
                                        .delay_ms = REPORT_LATE_MS },
              LATE_SEEDS);

  g_test_message ("ends heard of 3000 ms late: %u streams mixed", mixed);
  g_assert_cmpuint (mixed, ==, 0);
}

/* Check that enough take-ups in touch go on with PLAN.  */
static void
check_share (const struct versionsim_plan *plan)
{
  unsigned int touch = 0;
  unsigned int went_on = 0;
  unsigned int uncertain = 0;
  unsigned int unknown = 0;

  for (uint32_t seed = 1; seed <= 2 * SEEDS; seed++)
    {
      struct versionsim_result result;

      versionsim_run (plan, seed, &result);
      touch += result.touch;
      went_on += result.touch_went_on;
      uncertain += result.refused[JC_RESUMPTION_UNCERTAIN];
      unknown += result.refused[JC_RESUMPTION_UNKNOWN];
    }
  g_test_message ("entries %u, states %u, versions %u: %u of %u take-ups in "
                  "touch went on (%.3f); of all %u uncertain, %u unknown",
                  plan->entries, plan->states, plan->versions, went_on, touch,
                  (double)went_on / MAX (touch, 1), uncertain, unknown);
  g_assert_cmpuint (touch, >, 0);
  g_assert_cmpuint (went_on * PERCENT, >=, touch * SHARE_PERCENT);
}

/* Check that enough take-ups in touch go on with the faults of PLAN, with one
   and three versions, at a few entry instances.  */
static void
check_shares (struct versionsim_plan plan)
{
  plan.streams_per_s = STREAMS_PER_S;
  for (plan.versions = 1; plan.versions <= 3; plan.versions += 2)
    for (gsize s = 0; s < G_N_ELEMENTS (state_counts); s++)
      {
        plan.entries = 1;
        plan.states = state_counts[s];
        check_share (&plan);
        plan.entries = FEW_ENTRIES;
        check_share (&plan);
      }
}

/* The same at many entry instances with 1,000 streams a second.  */
static void
check_many_shares (struct versionsim_plan plan)
{
  plan.entries = MANY_ENTRIES;
  plan.streams_per_s = MS_PER_S;
  plan.versions = 3;
  for (gsize s = 0; s < G_N_ELEMENTS (state_counts); s++)
    {
      plan.states = state_counts[s];
      check_share (&plan);
    }
}

/* Guards against refusing streams that could go on, beside a change of all
   endpoints to other software.  */
static void
test_share (void)
{
  check_shares ((struct versionsim_plan){ .crash_ms = 0 });
}

/* Guards against refusing streams that could go on, once all entry instances
   have come back.  */
static void
test_share_after_kill (void)
{
  check_shares ((struct versionsim_plan){ .kill_all_ms = 9000 });
}

/* Guards against starts that are lost with one state instance and the entry
   instances that recorded them.  */
static void
test_share_lost_states (void)
{
  check_shares (
      (struct versionsim_plan){ .kill_all_ms = 11000, .state_kill_ms = 12000 });
}

/* Guards against refusing streams that could go on at many entry instances,
   whose connections are younger.  */
static void
test_share_many_entries (void)
{
  check_many_shares ((struct versionsim_plan){ .crash_ms = 0 });
}

/* Guards against refusing streams that could go on at many entry instances,
   once all of them have come back.  */
static void
test_share_many_after_kill (void)
{
  check_many_shares ((struct versionsim_plan){ .kill_all_ms = 9000 });
}

/* Guards against refusing streams that could go on where endpoints crash.  */
static void
test_share_crashes (void)
{
  check_shares ((struct versionsim_plan){ .crash_ms = 1000 });
}

/* Guards against refusing streams that could go on where reports come late
   within the margin.  */
static void
test_share_late_reports (void)
{
  check_shares ((struct versionsim_plan){ .delay_ms = REPORT_LATE_MS });
}

/* Guards against tables that are too small at 73 entry instances and 1,000
   streams a second, and tells the price of a stream.  */
static void
test_price (void)
{
  struct versionsim_plan plan
      = { .entries = MANY_ENTRIES, .versions = 2, .streams_per_s = MS_PER_S };

  for (gsize s = 0; s < G_N_ELEMENTS (state_counts); s++)
    {
      struct versionsim_result result;

      plan.states = state_counts[s];
      versionsim_run (&plan, 1, &result);
      g_test_message (
          "states %u: %.1f messages and %.0f bytes of starts a stream, %.0f "
          "bytes a second of an entry instance, tables of %u and %u starts",
          plan.states, (double)result.start_rows / result.streams,
          (double)result.start_bytes / result.streams,
          (double)result.control_bytes * MS_PER_S / VERSIONSIM_RUN_MS
              / plan.entries,
          result.entry_starts_max, result.state_starts_max);
      /* A start is kept for twice the time of this run.  */
      g_assert_cmpuint (2 * result.entry_starts_max, <, ENTRY_STARTS_MAX);
      g_assert_cmpuint (2 * result.state_starts_max, <, STATE_STARTS_MAX);
    }
}

/* Guards against control traffic of an entry instance that grows with their
   number.  A few instances search less: take-ups meet the instance that began
   the stream.  */
static void
test_control_traffic (void)
{
  double bytes[G_N_ELEMENTS (entry_counts)];

  for (gsize e = 0; e < G_N_ELEMENTS (entry_counts); e++)
    {
      struct versionsim_plan plan
          = { .entries = entry_counts[e],
              .states = 6,
              .versions = 2,
              .streams_per_s = INSTANCE_STREAMS_PER_S * entry_counts[e] };
      struct versionsim_result result;

      versionsim_run (&plan, 1, &result);
      bytes[e] = (double)result.control_bytes / plan.entries;
      g_test_message ("entries %u: %.0f bytes of an entry instance in %d s",
                      plan.entries, bytes[e], VERSIONSIM_RUN_MS / MS_PER_S);
    }
  g_assert_cmpfloat (bytes[3], <=, 1.05 * bytes[2]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* A case that fails does not hide those after it.  */
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/replaced-endpoints", test_replaced_endpoints);
  g_test_add_func ("/killed-entries", test_killed_entries);
  g_test_add_func ("/all-entries-killed", test_all_entries_killed);
  g_test_add_func ("/lost-states", test_lost_states);
  g_test_add_func ("/no-leader", test_no_leader);
  g_test_add_func ("/unlogged-version", test_unlogged_version);
  g_test_add_func ("/lost-records", test_lost_records);
  g_test_add_func ("/reports-of-ended", test_reports_of_ended);
  g_test_add_func ("/late-reports", test_late_reports);
  g_test_add_func ("/late-reports-untold", test_late_reports_untold);
  g_test_add_func ("/behind", test_behind);
  g_test_add_func ("/silent-ends", test_silent_ends);
  g_test_add_func ("/share", test_share);
  g_test_add_func ("/share-after-kill", test_share_after_kill);
  g_test_add_func ("/share-lost-states", test_share_lost_states);
  g_test_add_func ("/share-many-entries", test_share_many_entries);
  g_test_add_func ("/share-many-after-kill", test_share_many_after_kill);
  g_test_add_func ("/share-crashes", test_share_crashes);
  g_test_add_func ("/share-late-reports", test_share_late_reports);
  g_test_add_func ("/price", test_price);
  g_test_add_func ("/control-traffic", test_control_traffic);
  return g_test_run ();
}
