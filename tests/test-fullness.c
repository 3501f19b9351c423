/* Tests of how many requests endpoints of plain services are sent.  */

#include <glib.h>

#include "serve/fullness.h"

enum
{
  SLOTS = 6,
  TAKES = 30,
  INSTANCES = 20,
  /* Each instance knows the requests of the others as they were this long
     ago.  */
  LAG_MS = 40,
  DURATION_MS = 10000,
  WORK_MS = 60
};

static const struct jc_full_endpoint endpoint
    = { .name = "e", .incarnation = 1, .slots = SLOTS };

/* Play twice the load that the endpoint serves.  Return how many requests reach
   it, and store how many of them it refuses, and how many it serves.  */
static unsigned int
play (bool bounded, unsigned int *refused, unsigned int *served)
{
  struct jc_fullness *instances[INSTANCES];
  unsigned int history[DURATION_MS + 1] = { 0 };
  unsigned int held = 0;
  unsigned int sent = 0;

  *refused = 0;
  *served = 0;
  for (int i = 0; i < INSTANCES; i++)
    instances[i] = jc_fullness_new ();
  for (int now = 0; now < DURATION_MS; now++)
    {
      unsigned int known = now >= LAG_MS ? history[now - LAG_MS] : 0;

      if (now % (WORK_MS / SLOTS) == 0 && held > 0)
        {
          held--;
          ++*served;
        }
      if (now % (WORK_MS / SLOTS / 2) == 0)
        {
          struct jc_fullness *sender = instances[now / 5 * 7 % INSTANCES];

          if (!bounded || jc_fullness_allows (sender, &endpoint, known, now))
            {
              sent++;
              if (held < TAKES)
                held++;
              else
                {
                  ++*refused;
                  jc_fullness_note_refused (sender, &endpoint, held, now);
                }
            }
        }
      history[now] = held;
    }
  for (int i = 0; i < INSTANCES; i++)
    jc_fullness_free (instances[i]);
  return sent;
}

/* Guards against a full endpoint that half of the arrivals are refused by: with
   the bound hardly any is, and as many are served.  */
static void
test_full (void)
{
  unsigned int refused_before;
  unsigned int served_before;
  unsigned int refused;
  unsigned int served;
  unsigned int sent_before = play (false, &refused_before, &served_before);
  unsigned int sent = play (true, &refused, &served);

  g_test_message ("sent %u refused %u served %u, bounded %u %u %u", sent_before,
                  refused_before, served_before, sent, refused, served);
  g_assert_cmpuint (refused_before * 5, >, sent_before * 2);
  g_assert_cmpuint (refused * 12, <, sent);
  g_assert_cmpuint (served * 100, >=, served_before * 99);
}

/* Guards against a bound that outlives the process that it was learnt of, or
   the time in which it refused.  */
static void
test_forgotten (void)
{
  struct jc_fullness *fullness = jc_fullness_new ();
  struct jc_full_endpoint restarted = endpoint;

  restarted.incarnation = 2;
  jc_fullness_note_refused (fullness, &endpoint, TAKES, 0);
  g_assert_false (jc_fullness_allows (fullness, &endpoint, TAKES, 100));
  g_assert_true (jc_fullness_allows (fullness, &endpoint, TAKES - 1, 100));
  g_assert_true (jc_fullness_allows (fullness, &restarted, TAKES, 100));
  g_assert_true (jc_fullness_allows (fullness, &endpoint, TAKES, 10000));
  jc_fullness_free (fullness);
}

/* Guards against an endpoint that refuses everything and is then sent nothing
   within its slots, and against one that states no slots.  */
static void
test_failing (void)
{
  struct jc_fullness *fullness = jc_fullness_new ();
  const struct jc_full_endpoint unknown = { .name = "u", .incarnation = 1 };

  for (int i = 0; i < 100; i++)
    jc_fullness_note_refused (fullness, &endpoint, 0, i);
  g_assert_true (jc_fullness_allows (fullness, &endpoint, SLOTS - 1, 100));
  g_assert_false (jc_fullness_allows (fullness, &endpoint, SLOTS, 100));
  jc_fullness_note_refused (fullness, &unknown, 3, 0);
  g_assert_true (jc_fullness_allows (fullness, &unknown, 100, 0));
  jc_fullness_free (fullness);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fullness/full", test_full);
  g_test_add_func ("/fullness/forgotten", test_forgotten);
  g_test_add_func ("/fullness/failing", test_failing);
  return g_test_run ();
}
