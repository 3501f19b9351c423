/* Pace of work that endpoints tell, on virtual time.  */

#include <glib.h>

#include "serve/workpace.h"

enum
{
  START_MS = 1000000
};

/* Guards against a pace that follows each figure, or that follows a lasting
   change too late.  */
static void
test_average (void)
{
  struct jc_workpace pace = { 0 };
  int64_t now = START_MS;

  g_assert_cmpfloat (jc_workpace_at (&pace, now), ==, 0);
  jc_workpace_note (&pace, 100, now);
  g_assert_cmpfloat (jc_workpace_at (&pace, now), ==, 100);
  /* It alternates 25 times a second around 150.  */
  for (int i = 0; i < 200; i++, now += 20)
    jc_workpace_note (&pace, i % 2 == 0 ? 100 : 200, now);
  g_assert_cmpfloat (jc_workpace_at (&pace, now), >, 140);
  g_assert_cmpfloat (jc_workpace_at (&pace, now), <, 160);
  for (int i = 0; i < 75; i++, now += 20)
    jc_workpace_note (&pace, 300, now);
  g_assert_cmpfloat (jc_workpace_at (&pace, now), >, 285);
}

/* Guards against many figures at one moment that outweigh those of others, and
   against one after a pause that is averaged with what was long ago.  */
static void
test_uneven (void)
{
  struct jc_workpace pace = { 0 };
  int64_t now = START_MS;

  jc_workpace_note (&pace, 100, now);
  for (int i = 0; i < 10; i++)
    jc_workpace_note (&pace, 1000, now + 1);
  g_assert_cmpfloat (jc_workpace_at (&pace, now + 1), <, 120);
  g_assert_cmpfloat (jc_workpace_at (&pace, now + 5000), >, 0);
  g_assert_cmpfloat (jc_workpace_at (&pace, now + 6000), ==, 0);
  jc_workpace_note (&pace, 80, now + 7000);
  g_assert_cmpfloat (jc_workpace_at (&pace, now + 7000), ==, 80);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/workpace/average", test_average);
  g_test_add_func ("/workpace/uneven", test_uneven);
  return g_test_run ();
}
