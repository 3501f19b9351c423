/* Tests of when another state instance is asked for orders, on virtual time. */

#include <glib.h>

#include "conf/lag.h"

enum
{
  BEAT_MS = 300,
  LONG_MS = 30000
};

/* What the heartbeats show: positions of the source and of another instance;
   TAKES_MS after the first one a newer order is there.  */
struct course
{
  uint64_t own;
  uint64_t source;
  uint64_t other;
  bool source_is_heard;
  int64_t takes_ms;
};

/* Return how often the source and the other one are asked, and in FIRST_MS
   when that was first, -1 for never.  */
static int
play (const struct course *course, int64_t *first_ms)
{
  struct jc_lag lag = { .behind_since_ms = 0 };
  int asked = 0;

  *first_ms = -1;
  for (int64_t t = BEAT_MS; t < course->takes_ms; t += BEAT_MS)
    {
      const struct jc_lag_heartbeat source = { .from_source = true,
                                               .position = course->source,
                                               .own_position = course->own };
      const struct jc_lag_heartbeat other
          = { .position = course->other, .own_position = course->own };
      bool asks = course->source_is_heard && jc_lag_observe (&lag, &source, t);

      asks = jc_lag_observe (&lag, &other, t) || asks;
      asked += asks;
      if (asks && *first_ms < 0)
        *first_ms = t - BEAT_MS;
    }
  return asked;
}

/* A commit takes a while to reach the source.  */
static void
test_on_its_way (void)
{
  const struct course course = {
    .own = 5, .source = 5, .other = 6, .source_is_heard = true, .takes_ms = 1500
  };
  int64_t first;

  g_assert_cmpint (play (&course, &first), ==, 0);
}

/* The source sends a large text: nothing else of it comes.  */
static void
test_large_text (void)
{
  const struct course course
      = { .own = 5, .source = 5, .other = 6, .takes_ms = LONG_MS };
  int64_t first;

  g_assert_cmpint (play (&course, &first), ==, 0);
}

/* The source lags: others are asked, each time later.  */
static void
test_source_lags (void)
{
  const struct course course = { .own = 5,
                                 .source = 5,
                                 .other = 6,
                                 .source_is_heard = true,
                                 .takes_ms = LONG_MS };
  int64_t first;

  g_assert_cmpint (play (&course, &first), ==, 3);
  g_assert_cmpint (first, ==, 2100);
}

/* At the start nothing is known, and the source is an emptied instance.  */
static void
test_empty_source (void)
{
  const struct course course
      = { .source_is_heard = true, .other = 6, .takes_ms = LONG_MS };
  int64_t first;

  g_assert_cmpint (play (&course, &first), <=, 5);
  g_assert_cmpint (first, <=, BEAT_MS);
}

/* At the start the source's heartbeats cross the question for it.  */
static void
test_crossed (void)
{
  const struct course course
      = { .source = 6, .other = 6, .source_is_heard = true, .takes_ms = 1500 };
  int64_t first;

  g_assert_cmpint (play (&course, &first), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lag/on-its-way", test_on_its_way);
  g_test_add_func ("/lag/large-text", test_large_text);
  g_test_add_func ("/lag/source-lags", test_source_lags);
  g_test_add_func ("/lag/empty-source", test_empty_source);
  g_test_add_func ("/lag/crossed", test_crossed);
  return g_test_run ();
}
