/* Which instance of a zone passes on what another zone told.  */

#include <glib.h>

#include "member/forwarding.h"

enum
{
  INTERVAL_MS = 100,
  END_MS = 10000,
  FAILS_MS = 5000
};

/* Two receivers of a zone, "a" and "b", hear z2 each INTERVAL_MS and pass it on
   where the other doesn't.  "a" fails at FAILS_MS.  Guards against each message
   of another zone that all instances get twice, and against none once the one
   that passes on is gone.  */
static void
test_one_passes (void)
{
  static const char *const names[] = { "a", "b" };
  GHashTable *passed[] = { jc_forwarding_new (), jc_forwarding_new () };
  unsigned int by[2] = { 0, 0 };
  int64_t silent_ms = 0;
  int64_t last_ms = 0;

  for (int64_t now = 0; now < END_MS; now += INTERVAL_MS)
    for (unsigned int i = now < FAILS_MS ? 0 : 1; i < 2; i++)
      {
        if (jc_forwarding_done_by_other (passed[i], "z2", now))
          continue;
        by[i]++;
        silent_ms = MAX (silent_ms, now - last_ms);
        last_ms = now;
        jc_forwarding_record (passed[1 - i], "z2", names[i], names[1 - i], now);
      }
  g_assert_cmpuint (by[0], ==, FAILS_MS / INTERVAL_MS);
  /* From the third interval after the failure on.  */
  g_assert_cmpuint (by[1], ==, (END_MS - FAILS_MS) / INTERVAL_MS - 2);
  g_assert_cmpint (silent_ms, ==, 3 * INTERVAL_MS);
  g_hash_table_destroy (passed[0]);
  g_hash_table_destroy (passed[1]);
}

/* Guards against one zone's messages that stop another one's.  */
static void
test_each_zone (void)
{
  GHashTable *passed = jc_forwarding_new ();

  jc_forwarding_record (passed, "z2", "a", "b", 0);
  g_assert_true (jc_forwarding_done_by_other (passed, "z2", 1));
  g_assert_false (jc_forwarding_done_by_other (passed, "z3", 1));
  g_hash_table_destroy (passed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/one-passes", test_one_passes);
  g_test_add_func ("/each-zone", test_each_zone);
  return g_test_run ();
}
