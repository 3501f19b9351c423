/* Generators of endless input against the judge of progress, on virtual time:
   whatever comes, in whatever pieces and order, an answer that is no step
   further is due or given up in bounded time and bytes.  */

#include <glib.h>

#include "net/progress.h"

enum
{
  ROUNDS = 2000,
  FIRST_MS = 500,
  PAUSE_MS = 1200,
  /* Of the 160 MB of the smallest instance, what one attempt may take in before
     it is given up: 40 of them at once fill it.  */
  BYTES_MAX = 4 * 1024 * 1024,
  PIECE_MAX = 128 * 1024,
  WAIT_MAX_MS = 200
};

/* Feed PROGRESS pieces that are no step until it is due or given up.  Return
   how many bytes came; NOW_MS goes on.  */
static size_t
feed_garbage (struct jc_progress *progress, GRand *rand, int64_t *now_ms)
{
  size_t bytes = 0;

  while (progress->due_ms > *now_ms)
    {
      size_t piece = (size_t)g_rand_int_range (rand, 1, PIECE_MAX);

      bytes += piece;
      if (!jc_progress_count_bytes (progress, piece)
          || (!progress->head_received && g_rand_boolean (rand)
              && !jc_progress_interim (progress)))
        return bytes;
      *now_ms += g_rand_int_range (rand, 0, WAIT_MAX_MS);
      g_assert_cmpuint (bytes, <, BYTES_MAX);
    }
  return bytes;
}

/* Guards against a stream's garbage that keeps an attempt alive, before its
   head, after it and between events.  */
static void
test_garbage (void)
{
  const struct jc_progress_limits limits = { .kind = JC_PROGRESS_STEPS,
                                             .first_ms = FIRST_MS,
                                             .pause_ms = PAUSE_MS };

  for (guint32 seed = 0; seed < ROUNDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct jc_progress progress;
      int64_t now = 0;
      int64_t last = 0;
      int steps = g_rand_int_range (rand, 0, 4);

      jc_progress_start (&progress, &limits, now);
      if (g_rand_boolean (rand))
        jc_progress_head (&progress, now);
      for (int i = 0; i < steps; i++)
        {
          now += g_rand_int_range (rand, 0, FIRST_MS);
          jc_progress_head (&progress, now);
          jc_progress_step (&progress, now);
          last = now;
        }
      g_assert_cmpuint (feed_garbage (&progress, rand, &now), <, BYTES_MAX);
      g_assert_cmpint (now - last, <, MAX (FIRST_MS, PAUSE_MS) + WAIT_MAX_MS);
      g_rand_free (rand);
    }
}

/* Guards against honest answers that are given up: a plain one that flows at
   half a megabyte a second, in pieces of any size.  */
static void
test_honest (void)
{
  const struct jc_progress_limits limits = { .kind = JC_PROGRESS_BLOCKS,
                                             .first_ms = FIRST_MS,
                                             .pause_ms = FIRST_MS };

  for (guint32 seed = 0; seed < ROUNDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      struct jc_progress progress;
      int64_t now = 0;

      jc_progress_start (&progress, &limits, now);
      jc_progress_head (&progress, now);
      for (size_t sent = 0; sent < 1024 * 1024;)
        {
          size_t piece = (size_t)g_rand_int_range (rand, 1, 64 * 1024);

          now += (int64_t)(piece * 1000 / (512 * 1024));
          g_assert_cmpint (now, <, progress.due_ms);
          g_assert_true (jc_progress_count_bytes (&progress, piece));
          jc_progress_body (&progress, piece, now);
          sent += piece;
        }
      g_rand_free (rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/progress/garbage", test_garbage);
  g_test_add_func ("/progress/honest", test_honest);
  return g_test_run ();
}
