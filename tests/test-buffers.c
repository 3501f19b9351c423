/* Tests of the sum of buffered bytes: hundreds of keepers that take what they
   may, beside small ones.  */

#include <glib.h>

#include "base/buffers.h"

enum
{
  /* The smallest instance has 160 MB; a quarter of it is for the rest.  */
  SUM_MAX_BYTES = 120 * 1024 * 1024,
  KEEPERS = 2000,
  STEP_BYTES = 16 * 1024,
  ROUNDS = 2000,
  ANSWER_MAX_BYTES = 16 * 1024 * 1024,
  BODY_MAX_BYTES = 4 * 1024 * 1024,
  SMALL_BYTES = 12 * 1024,
  ANSWER_LEAST_BYTES = 256 * 1024,
  SLOW_CALLERS = 150,
  SEED = 7
};

static void
clear (struct jc_buffered *keepers)
{
  for (unsigned int i = 0; i < KEEPERS; i++)
    jc_buffered_set (&keepers[i], 0);
  g_assert_cmpuint (jc_buffers_total (), ==, 0);
}

/* Guards against keepers that are bounded each, but not all together: each
   reads on while it is below its limit, and overshoots by one read.  */
static void
test_greedy_answers (void)
{
  static struct jc_buffered keepers[KEEPERS];

  for (unsigned int round = 0; round < ROUNDS; round++)
    for (unsigned int i = 0; i < KEEPERS; i++)
      if (keepers[i].bytes < jc_buffers_limit (ANSWER_MAX_BYTES))
        jc_buffered_set (&keepers[i], keepers[i].bytes + STEP_BYTES);
  g_assert_cmpuint (jc_buffers_total (), <=, SUM_MAX_BYTES);
  clear (keepers);
}

/* Guards against bodies that fill the memory together, and against large bodies
   that leave no room for small ones.  */
static void
test_greedy_bodies (void)
{
  static struct jc_buffered keepers[KEEPERS];
  struct jc_buffered small = { 0 };
  unsigned int whole = 0;

  for (unsigned int i = 0; i < KEEPERS; i++)
    {
      while (keepers[i].bytes < BODY_MAX_BYTES
             && jc_buffers_have_room (&keepers[i], STEP_BYTES))
        jc_buffered_set (&keepers[i], keepers[i].bytes + STEP_BYTES);
      whole += keepers[i].bytes >= BODY_MAX_BYTES ? 1 : 0;
    }
  g_assert_cmpuint (whole, >, 1);
  g_assert_cmpuint (jc_buffers_total (), <=, SUM_MAX_BYTES);
  g_assert_true (jc_buffers_have_room (&small, SMALL_BYTES));
  clear (keepers);
}

/* Guards against answers that are kept for slow callers and leave no room for
   bodies and heads, and against a single one that isn't kept though there is
   room.  */
static void
test_answers_ahead (void)
{
  static struct jc_buffered keepers[KEEPERS];
  struct jc_buffered body = { 0 };

  g_assert_cmpuint (jc_buffers_ahead_limit (ANSWER_LEAST_BYTES), >=,
                    BODY_MAX_BYTES);
  for (unsigned int round = 0; round < ROUNDS; round++)
    for (unsigned int i = 0; i < SLOW_CALLERS; i++)
      if (keepers[i].bytes < jc_buffers_ahead_limit (ANSWER_LEAST_BYTES))
        jc_buffered_set (&keepers[i], keepers[i].bytes + STEP_BYTES);
  g_test_message ("%u slow callers: %zu bytes", SLOW_CALLERS,
                  jc_buffers_total ());
  g_assert_cmpuint (jc_buffers_total (), <=, SUM_MAX_BYTES / 2);
  g_assert_true (jc_buffers_have_room (&body, 64 * SMALL_BYTES));
  for (unsigned int i = 0; i < SLOW_CALLERS; i++)
    g_assert_cmpuint (keepers[i].bytes, >, 0);
  clear (keepers);
}

/* Guards against a sum that drifts from what the keepers have.  */
static void
test_sum (void)
{
  static struct jc_buffered keepers[KEEPERS];
  GRand *rand = g_rand_new_with_seed (SEED);
  size_t sum = 0;

  for (unsigned int i = 0; i < KEEPERS * 10; i++)
    jc_buffered_set (&keepers[g_rand_int_range (rand, 0, KEEPERS)],
                     (size_t)g_rand_int_range (rand, 0, ANSWER_MAX_BYTES));
  for (unsigned int i = 0; i < KEEPERS; i++)
    sum += keepers[i].bytes;
  g_assert_cmpuint (jc_buffers_total (), ==, sum);
  g_assert_cmpuint (jc_buffers_left (), ==, 0);
  clear (keepers);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/greedy-answers", test_greedy_answers);
  g_test_add_func ("/greedy-bodies", test_greedy_bodies);
  g_test_add_func ("/answers-ahead", test_answers_ahead);
  g_test_add_func ("/sum", test_sum);
  return g_test_run ();
}
