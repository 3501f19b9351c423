/* Tests of entry instances that share the evidence of crashes.  */

#include <glib.h>

#include "serve/suspects.h"
#include "tests/crashsim.h"

enum
{
  SEEDS = 3,
  LATE_MAX = 3
};

static const unsigned int sizes[] = { 1, 4, 79, CRASHSIM_INSTANCES_MAX };

/* Play PLAN at all sizes and check the bound, summed over all instances.  */
static void
check_bound (const struct crashsim_plan *plan)
{
  for (size_t s = 0; s < G_N_ELEMENTS (sizes); s++)
    for (uint32_t seed = 1; seed <= SEEDS; seed++)
      {
        struct crashsim_plan sized = *plan;
        struct crashsim_result result;

        sized.instances = sizes[s];
        crashsim_run (&sized, seed, &result);
        g_test_message ("instances %u seed %u: crashes %u late %u cut off %u "
                        "sound %u whole %u refused %u resets %u",
                        sized.instances, seed, result.crashes, result.late,
                        result.cut_off, result.sound, result.whole,
                        result.refused, result.resets);
        g_assert_cmpuint (result.late, <=, LATE_MAX);
        g_assert_cmpuint (result.cut_off, ==, 0);
        g_assert_cmpuint (result.refused, ==, 0);
        if (plan->reset_ms > 0)
          g_assert_cmpuint (result.resets, >, 0);
        if (plan->deadly_per_s > 0)
          g_assert_cmpuint (result.crashes, >=, 3);
      }
}

/* Guards against sending requests with a part that crashes endpoints on, and
   against refusing sound ones that share their other parts.  */
static void
test_part (void)
{
  check_bound (
      &(struct crashsim_plan){ .sound_per_s = 150, .deadly_per_s = 3 });
}

/* The same where the first part of the prompt is the bad one.  */
static void
test_first_part (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 3, .first_part = true });
}

/* Guards against sending one request that comes again on.  */
static void
test_request (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 2, .whole_request = true });
}

/* Guards against forgetting what is known while no leader is to be had.  */
static void
test_no_leader (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 3, .no_leader_ms = 3000 });
}

/* Guards against instances that are cut off from the state instances going on
   without end.  */
static void
test_cut_off (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 3, .cut_ms = 4000 });
  check_bound (&(struct crashsim_plan){ .sound_per_s = 150,
                                        .deadly_per_s = 2,
                                        .whole_request = true,
                                        .cut_ms = 4000 });
}

/* Guards against refusing sound requests because endpoints crash for another
   reason: one after the other, or many at once.  */
static void
test_other_crashes (void)
{
  check_bound (&(struct crashsim_plan){ .sound_per_s = 150, .crash_ms = 500 });
  check_bound (&(struct crashsim_plan){ .sound_per_s = 150, .loss_ms = 2000 });
}

/* Guards against crashes for another reason hiding the deadly requests.  */
static void
test_among_other_crashes (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 3, .crash_ms = 700 });
}

/* Guards against reports of an instance that grow with the number of
   instances.  */
static void
test_bytes (void)
{
  struct crashsim_plan plan
      = { .sound_per_s = 150, .deadly_per_s = 3, .crash_ms = 700 };
  struct crashsim_result few;
  struct crashsim_result many;

  plan.instances = 4;
  crashsim_run (&plan, 1, &few);
  plan.instances = CRASHSIM_INSTANCES_MAX;
  crashsim_run (&plan, 1, &many);
  g_test_message ("bytes at 4 instances %" G_GUINT64_FORMAT
                  ", at %d %" G_GUINT64_FORMAT,
                  few.bytes_max, CRASHSIM_INSTANCES_MAX, many.bytes_max);
  g_assert_cmpuint (few.bytes_max, >, 0);
  g_assert_cmpuint (many.bytes_max, <=, few.bytes_max);
}

/* Guards against refusing sound requests because the links of some instances to
   most endpoints are reset and refused while the endpoints go on: these
   instances take all of them for crashed.  */
static void
test_reset_links (void)
{
  check_bound (&(struct crashsim_plan){ .sound_per_s = 150, .reset_ms = 800 });
  check_bound (&(struct crashsim_plan){ .sound_per_s = 150, .reset_ms = 5000 });
}

/* The same beside deadly requests, which are to be blocked as soon as without
   broken links.  */
static void
test_reset_links_among_crashes (void)
{
  check_bound (&(struct crashsim_plan){
      .sound_per_s = 150, .deadly_per_s = 3, .reset_ms = 2000 });
}

static enum jc_crash_verdict
is_undecided (void *ctx, const char *endpoint, uint64_t incarnation,
              int64_t since_ms)
{
  (void)ctx;
  (void)endpoint;
  (void)incarnation;
  (void)since_ms;
  return JC_CRASH_UNDECIDED;
}

/* Guards against taking an answer that an endpoint broke off, and which goes on
   serving, for a crash.  */
static void
test_broken_answers (void)
{
  struct jc_suspects *suspects = jc_suspects_new ();
  const struct jc_fingerprints fingerprints = { .count = 1, .values = { 7 } };
  struct jc_broken_attempt attempt = { .endpoint = "e",
                                       .incarnation = 1,
                                       .fingerprints = &fingerprints,
                                       .starting = true };
  struct rpc_crash_changes report;
  uint64_t blocked;

  for (; attempt.incarnation <= 9; attempt.incarnation++)
    {
      int64_t now = (int64_t)attempt.incarnation * 10000;

      g_assert_true (jc_suspects_note_broken (suspects, &attempt, now));
      g_assert_false (jc_suspects_note_broken (suspects, &attempt, now));
      jc_suspects_check (suspects, is_undecided, NULL, false, now + 5000);
      g_assert_false (jc_suspects_take_report (suspects, now + 5000, &report));
    }
  g_assert_false (jc_suspects_find_blocked (suspects, &fingerprints, &blocked));
  /* The same where the endpoint has crashed.  */
  jc_suspects_note_broken (suspects, &attempt, 100000);
  jc_suspects_note_crashed (suspects, "e", attempt.incarnation);
  g_assert_true (jc_suspects_take_report (suspects, 100000, &report));
  g_assert_cmpuint (report.crashes.crashes_len, ==, 1);
  jc_suspects_free_report (&report);
  jc_suspects_free (suspects);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/part", test_part);
  g_test_add_func ("/first-part", test_first_part);
  g_test_add_func ("/request", test_request);
  g_test_add_func ("/no-leader", test_no_leader);
  g_test_add_func ("/cut-off", test_cut_off);
  g_test_add_func ("/other-crashes", test_other_crashes);
  g_test_add_func ("/among-other-crashes", test_among_other_crashes);
  g_test_add_func ("/reset-links", test_reset_links);
  g_test_add_func ("/reset-links-among-crashes",
                   test_reset_links_among_crashes);
  g_test_add_func ("/bytes", test_bytes);
  g_test_add_func ("/broken-answers", test_broken_answers);
  return g_test_run ();
}
