/* Silence of peers on virtual time.  */

#include <glib.h>

#include "serve/peersilence.h"

enum
{
  TICK_MS = 100,
  START_MS = 1000000,
  LIMIT_MS = 4000
};

/* Guards against a peer in touch that seems silent because the connection was
   idle before, or because something is always on its way to it.  */
static void
test_in_touch (void)
{
  struct jc_peersilence silence = { 0 };

  for (int64_t at = 0; at < 60000; at += TICK_MS)
    g_assert_cmpint (
        jc_peersilence_note (&silence, true, at % 160, START_MS + at), <=, 160);
  g_assert_cmpint (
      jc_peersilence_note (&silence, false, 9000, START_MS + 70000), ==, 0);
  g_assert_cmpint (
      jc_peersilence_note (&silence, true, 19000, START_MS + 80000), ==, 0);
  g_assert_cmpint (
      jc_peersilence_note (&silence, true, 19100, START_MS + 80100), ==, 100);
}

/* Guards against a cut that isn't noticed, and one that ended and counts.  */
static void
test_cut (void)
{
  struct jc_peersilence silence = { 0 };
  int64_t silent = 0;
  int64_t at;

  for (at = 0; silent < LIMIT_MS && at < 60000; at += TICK_MS)
    silent = jc_peersilence_note (&silence, true, 5000 + at, START_MS + at);
  g_assert_cmpint (at, ==, LIMIT_MS + TICK_MS);
  g_assert_cmpint (jc_peersilence_note (&silence, true, 20, START_MS + at), ==,
                   20);
}

/* Guards against a limit below the pauses that an answer may have.  */
static void
test_limit (void)
{
  g_assert_cmpint (jc_peersilence_limit_ms (0), ==, LIMIT_MS);
  for (int64_t pause = 0; pause < 20000; pause += 100)
    g_assert_cmpint (jc_peersilence_limit_ms (pause), >, 2 * pause);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peersilence/in-touch", test_in_touch);
  g_test_add_func ("/peersilence/cut", test_cut);
  g_test_add_func ("/peersilence/limit", test_limit);
  return g_test_run ();
}
