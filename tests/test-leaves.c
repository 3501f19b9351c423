/* Tests of the leaves that an instance reads in answers and tells again, on
   virtual time.  */

#include <glib.h>

#include "member/leaves.h"

enum
{
  TELL_FOR_MS = 60000,
  TICK_MS = 100,
  TABLE_SIZE_MAX = 4096
};

static unsigned int
count_due (struct jc_leaves *leaves, int64_t now_ms)
{
  GPtrArray *due = g_ptr_array_new ();
  unsigned int count;

  jc_leaves_list_due (leaves, now_ms, due);
  count = due->len;
  g_ptr_array_free (due, TRUE);
  return count;
}

/* Guards against a leave that is told once, to a state instance that forgets
   it.  */
static void
test_again (void)
{
  struct jc_leaves *leaves = jc_leaves_new ();
  unsigned int told = 0;

  jc_leaves_add (leaves, "e", 1, 500);
  jc_leaves_add (leaves, "e", 1, 500);
  g_assert_cmpuint (count_due (leaves, 500), ==, 1);
  g_assert_cmpuint (count_due (leaves, 1400), ==, 0);
  g_assert_cmpuint (count_due (leaves, 1500), ==, 1);
  jc_leaves_add (leaves, "e", 2, 1600);
  g_assert_cmpuint (count_due (leaves, 1600), ==, 1);
  for (int64_t now_ms = 1600; now_ms < 3 * TELL_FOR_MS; now_ms += TICK_MS)
    told += count_due (leaves, now_ms);
  /* Once a second each, and no longer than it may help.  */
  g_assert_cmpuint (told, >, TELL_FOR_MS / 1000);
  g_assert_cmpuint (told, <=, 2 * TELL_FOR_MS / 1000);
  jc_leaves_free (leaves);
  jc_leaves_free (NULL);
}

/* Guards against a leave that is lost since no state instance was connected as
   it was read.  */
static void
test_later (void)
{
  struct jc_leaves *leaves = jc_leaves_new ();

  jc_leaves_add (leaves, "e", 1, 0);
  g_assert_cmpuint (count_due (leaves, TELL_FOR_MS), ==, 1);
  g_assert_cmpuint (count_due (leaves, TELL_FOR_MS + TICK_MS), ==, 0);
  jc_leaves_free (leaves);
}

/* Guards against a table that grows without end.  */
static void
test_full (void)
{
  struct jc_leaves *leaves = jc_leaves_new ();

  for (uint64_t i = 1; i <= 2 * TABLE_SIZE_MAX; i++)
    jc_leaves_add (leaves, "e", i, 0);
  g_assert_cmpuint (count_due (leaves, 0), ==, TABLE_SIZE_MAX);
  jc_leaves_free (leaves);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leaves/again", test_again);
  g_test_add_func ("/leaves/later", test_later);
  g_test_add_func ("/leaves/full", test_full);
  return g_test_run ();
}
