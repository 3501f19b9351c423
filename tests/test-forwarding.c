/* Tests of the choice of the instance that forwards the load reports of another
   zone within its zone.  */

#include <glib.h>

#include "member/forwarding.h"

enum
{
  INTERVAL_MS = 100,
  END_MS = 10000,
  FAILURE_MS = 5000
};

/* Two instances of a zone, "a" and "b", receive a report of z2 each INTERVAL_MS
   and forward it unless the other does.  "a" fails at FAILURE_MS.  Guards
   against forwarding each report twice, and against forwarding none after a
   failure.  */
static void
test_one_forwards (void)
{
  static const char *const names[] = { "a", "b" };
  GHashTable *forwarding[] = { jc_forwarding_new (), jc_forwarding_new () };
  unsigned int forwarded[2] = { 0, 0 };
  int64_t gap_ms = 0;
  int64_t last_forwarded_ms = 0;

  for (int64_t now = 0; now < END_MS; now += INTERVAL_MS)
    for (unsigned int i = now < FAILURE_MS ? 0 : 1; i < 2; i++)
      {
        if (jc_forwarding_done_by_other (forwarding[i], "z2", now))
          continue;
        forwarded[i]++;
        gap_ms = MAX (gap_ms, now - last_forwarded_ms);
        last_forwarded_ms = now;
        jc_forwarding_record (forwarding[1 - i], "z2", names[i], names[1 - i],
                              now);
      }
  g_assert_cmpuint (forwarded[0], ==, FAILURE_MS / INTERVAL_MS);
  /* "b" starts in the third interval after the failure.  */
  g_assert_cmpuint (forwarded[1], ==, (END_MS - FAILURE_MS) / INTERVAL_MS - 2);
  g_assert_cmpint (gap_ms, ==, 3 * INTERVAL_MS);
  g_hash_table_destroy (forwarding[0]);
  g_hash_table_destroy (forwarding[1]);
}

/* Guards against reports of one zone that stop the forwarding of another's.  */
static void
test_each_zone (void)
{
  GHashTable *forwarding = jc_forwarding_new ();

  jc_forwarding_record (forwarding, "z2", "a", "b", 0);
  g_assert_true (jc_forwarding_done_by_other (forwarding, "z2", 1));
  g_assert_false (jc_forwarding_done_by_other (forwarding, "z3", 1));
  g_hash_table_destroy (forwarding);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/one-forwards", test_one_forwards);
  g_test_add_func ("/each-zone", test_each_zone);
  return g_test_run ();
}
