/* Tests of what an instance that is about to stop still sends on.  */

#include <glib.h>

#include "serve/grace.h"

enum
{
  GRACE_MS = 8000,
  STEP_MS = 100,
  /* An endpoint may take this many times the estimate.  */
  SLOWEST = 2,
  /* With less of the grace left nothing rests on an estimate.  */
  ESTIMATES_END_MS = 5000
};

/* Guards against requests that are sent on in the last part of the grace and
   are cut off: at every moment what is allowed ends by its deadline or, at an
   endpoint twice as slow as estimated, before the process does.  */
static void
test_nothing_outlives_grace (void)
{
  for (int64_t left = -STEP_MS; left <= GRACE_MS; left += STEP_MS)
    for (int64_t deadline = STEP_MS; deadline <= 2 * GRACE_MS;
         deadline += STEP_MS)
      for (int64_t answer = 0; answer <= GRACE_MS; answer += STEP_MS)
        {
          const struct jc_grace_request request
              = { .time_left_ms = deadline, .answer_ms = answer };
          int64_t ends
              = answer > 0 ? MIN (deadline, answer * SLOWEST) : deadline;

          if (jc_grace_allows (left, &request))
            g_assert_cmpint (ends, <=, left);
        }
}

/* Guards against a route whose time-out is over the grace and that is refused
   from the stop signal on though its answers are short.  */
static void
test_short_answers_on_long_routes (void)
{
  const struct jc_grace_request request
      = { .time_left_ms = 2 * GRACE_MS, .answer_ms = 50 };

  g_assert_true (jc_grace_allows (GRACE_MS, &request));
  g_assert_true (jc_grace_allows (ESTIMATES_END_MS, &request));
}

/* Guards against streams that are sent on late in the grace by an estimate that
   proves far too short, and are cut off (LOST on a day of the hunt).  */
static void
test_no_estimates_late (void)
{
  const struct jc_grace_request request
      = { .time_left_ms = 2 * GRACE_MS, .answer_ms = 50 };

  for (int64_t left = 0; left < ESTIMATES_END_MS; left += STEP_MS)
    g_assert_false (jc_grace_allows (left, &request));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/nothing-outlives-grace", test_nothing_outlives_grace);
  g_test_add_func ("/short-answers-on-long-routes",
                   test_short_answers_on_long_routes);
  g_test_add_func ("/no-estimates-late", test_no_estimates_late);
  return g_test_run ();
}
