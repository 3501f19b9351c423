/* Tests of when another state instance is asked for orders, on virtual
   time.  */

#include <glib.h>

#include "conf/lag.h"

enum
{
  HEARTBEAT_MS = 300,
  LONG_RUN_MS = 30000
};

/* What heartbeats show: the positions of this instance, of the source and of
   another instance.  A newer order arrives ORDER_AFTER_MS after the first
   heartbeat.  */
struct scenario
{
  uint64_t own_position;
  uint64_t source_position;
  uint64_t other_position;
  bool source_is_heard;
  int64_t order_after_ms;
};

/* Return how often the source or the other instance is asked, and set FIRST_MS
   to the time of the first request, -1 for none.  */
static int
run_scenario (const struct scenario *scenario, int64_t *first_ms)
{
  struct jc_lag lag = { .behind_since_ms = 0 };
  int requests = 0;

  *first_ms = -1;
  for (int64_t t = HEARTBEAT_MS; t < scenario->order_after_ms;
       t += HEARTBEAT_MS)
    {
      const struct jc_lag_heartbeat source
          = { .from_source = true,
              .position = scenario->source_position,
              .own_position = scenario->own_position };
      const struct jc_lag_heartbeat other
          = { .position = scenario->other_position,
              .own_position = scenario->own_position };
      bool requested
          = scenario->source_is_heard && jc_lag_observe (&lag, &source, t);

      requested = jc_lag_observe (&lag, &other, t) || requested;
      requests += requested;
      if (requested && *first_ms < 0)
        *first_ms = t - HEARTBEAT_MS;
    }
  return requests;
}

/* A commit takes a while to reach the source, which is not lagging then.  */
static void
test_commit_in_transit (void)
{
  const struct scenario scenario = { .own_position = 5,
                                     .source_position = 5,
                                     .other_position = 6,
                                     .source_is_heard = true,
                                     .order_after_ms = 1500 };
  int64_t first;

  g_assert_cmpint (run_scenario (&scenario, &first), ==, 0);
}

/* While the source sends a large text none of its heartbeats arrive; this is
   not taken for lag.  */
static void
test_large_text (void)
{
  const struct scenario scenario = { .own_position = 5,
                                     .source_position = 5,
                                     .other_position = 6,
                                     .order_after_ms = LONG_RUN_MS };
  int64_t first;

  g_assert_cmpint (run_scenario (&scenario, &first), ==, 0);
}

/* A lagging source: others are asked, at growing intervals.  */
static void
test_source_lags (void)
{
  const struct scenario scenario = { .own_position = 5,
                                     .source_position = 5,
                                     .other_position = 6,
                                     .source_is_heard = true,
                                     .order_after_ms = LONG_RUN_MS };
  int64_t first;

  g_assert_cmpint (run_scenario (&scenario, &first), ==, 3);
  g_assert_cmpint (first, ==, 2100);
}

/* At startup no order is known here and the source is an empty instance.  */
static void
test_empty_source (void)
{
  const struct scenario scenario = { .source_is_heard = true,
                                     .other_position = 6,
                                     .order_after_ms = LONG_RUN_MS };
  int64_t first;

  g_assert_cmpint (run_scenario (&scenario, &first), <=, 5);
  g_assert_cmpint (first, <=, HEARTBEAT_MS);
}

/* At startup heartbeats of the source cross the request for its orders.  */
static void
test_crossed_request (void)
{
  const struct scenario scenario = { .source_position = 6,
                                     .other_position = 6,
                                     .source_is_heard = true,
                                     .order_after_ms = 1500 };
  int64_t first;

  g_assert_cmpint (run_scenario (&scenario, &first), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lag/commit-in-transit", test_commit_in_transit);
  g_test_add_func ("/lag/large-text", test_large_text);
  g_test_add_func ("/lag/source-lags", test_source_lags);
  g_test_add_func ("/lag/empty-source", test_empty_source);
  g_test_add_func ("/lag/crossed-request", test_crossed_request);
  return g_test_run ();
}
