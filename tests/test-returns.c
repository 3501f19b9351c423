/* Tests of the times that refused callers are told.  */

#include <glib.h>
#include <string.h>

#include "serve/returns.h"

enum
{
  SERVED_PER_S = 50,
  LIMIT_MS = 4000,
  LEAST_MS = 200,
  PERIOD_MS = 1000
};

/* Have requests of "a" end evenly at SERVED_PER_S from FROM_MS for a period. */
static void
serve_period (struct jc_returns *returns, int64_t from_ms)
{
  for (int i = 0; i < SERVED_PER_S; i++)
    jc_returns_note_end (returns, "a", from_ms + i * PERIOD_MS / SERVED_PER_S);
}

static int64_t
refuse (struct jc_returns *returns, int64_t now_ms, double draw)
{
  const struct jc_returning caller = {
    .service = "a", .least_ms = LEAST_MS, .limit_ms = LIMIT_MS, .draw = draw
  };

  return jc_returns_book (returns, &caller, now_ms);
}

/* Guards against callers who are refused together and come back together: no
   more come in any 100 ms than the service serves in that time.  */
static void
test_burst (void)
{
  struct jc_returns *returns = jc_returns_new ();
  unsigned int arrivals[LIMIT_MS / 100 + 1] = { 0 };

  for (int i = 0; i < 4; i++)
    serve_period (returns, i * PERIOD_MS);
  for (int i = 0; i < 60; i++)
    arrivals[refuse (returns, 4 * PERIOD_MS, 0) / 100]++;
  for (guint i = LEAST_MS / 100 + 1; i < G_N_ELEMENTS (arrivals) - 1; i++)
    g_assert_cmpuint (arrivals[i], <=, SERVED_PER_S / 10 + 1);
  jc_returns_free (returns);
}

/* Guards against a lasting overload, in which times that are told grow beyond
   what callers wait for, or fall on one moment.  */
static void
test_overload (void)
{
  struct jc_returns *returns = jc_returns_new ();
  int64_t least = LIMIT_MS;
  int64_t most = 0;

  for (int second = 0; second < 8; second++)
    {
      serve_period (returns, second * PERIOD_MS);
      for (int i = 0; i < 200; i++)
        {
          int64_t after = refuse (returns, (second + 1) * PERIOD_MS, i / 200.0);

          g_assert_cmpint (after, >=, LEAST_MS);
          g_assert_cmpint (after, <=, LIMIT_MS);
          if (second == 7)
            {
              least = MIN (least, after);
              most = MAX (most, after);
            }
        }
    }
  g_assert_cmpint (least, >=, LIMIT_MS / 2);
  g_assert_cmpint (most - least, >=, LIMIT_MS / 4);
  jc_returns_free (returns);
}

/* Guards against long times after an overload has passed: a caller that is
   refused then comes back soon.  */
static void
test_after_overload (void)
{
  struct jc_returns *returns = jc_returns_new ();

  serve_period (returns, 0);
  for (int i = 0; i < 200; i++)
    refuse (returns, PERIOD_MS, 0);
  for (int second = 1; second < 7; second++)
    serve_period (returns, second * PERIOD_MS);
  g_assert_cmpint (refuse (returns, 7 * PERIOD_MS, 0), <=, LEAST_MS + 100);
  jc_returns_free (returns);
}

/* Guards against a service that has lost its endpoints and ends nothing, for
   which no time could be told, and against a caller who has less time left than
   the least.  */
static void
test_nothing_served (void)
{
  struct jc_returns *returns = jc_returns_new ();
  const struct jc_returning hurried
      = { .service = "a", .least_ms = LEAST_MS, .limit_ms = 50 };

  g_assert_cmpint (refuse (returns, 1000, 0.5), ==, LIMIT_MS * 3 / 4);
  g_assert_cmpint (jc_returns_book (returns, &hurried, 1000), ==, LEAST_MS);
  jc_returns_free (returns);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/returns/burst", test_burst);
  g_test_add_func ("/returns/overload", test_overload);
  g_test_add_func ("/returns/after-overload", test_after_overload);
  g_test_add_func ("/returns/nothing-served", test_nothing_served);
  return g_test_run ();
}
