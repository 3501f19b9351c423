/* Tests of entry instances that share the evidence of crashes.  */

#include <glib.h>

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
                        "sound %u whole %u refused %u",
                        sized.instances, seed, result.crashes, result.late,
                        result.cut_off, result.sound, result.whole,
                        result.refused);
        g_assert_cmpuint (result.late, <=, LATE_MAX);
        g_assert_cmpuint (result.cut_off, ==, 0);
        g_assert_cmpuint (result.refused, ==, 0);
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
  return g_test_run ();
}
