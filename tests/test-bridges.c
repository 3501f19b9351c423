/* Which instances keep connections between availability zones.  */

#include <glib.h>

#include "member/bridges.h"

enum
{
  MANY = 100
};

static char names[2 * MANY][8];
static const char *const zones[] = { "z1", "z2" };

/* Note all instances of two zones but the first LOST of each.  */
static struct jc_bridges *
two_zones (unsigned int lost)
{
  struct jc_bridges *bridges = jc_bridges_new ();

  for (unsigned int i = 2 * MANY; i > 0; i--)
    {
      g_snprintf (names[i - 1], sizeof names[0], "i%03u", i - 1);
      if ((i - 1) / 2 >= lost)
        jc_bridges_add (bridges, zones[(i - 1) % 2], names[i - 1]);
    }
  return bridges;
}

/* Return the connections that all instances of the first zone have to the
   second.  */
static unsigned int
count_pairs (const struct jc_bridges *bridges)
{
  unsigned int pairs = 0;

  for (unsigned int i = 0; i < 2 * MANY; i += 2)
    for (unsigned int j = 1; j < 2 * MANY; j += 2)
      pairs += jc_bridges_contains (bridges, zones[0], names[i])
                       && jc_bridges_contains (bridges, zones[1], names[j])
                   ? 1
                   : 0;
  return pairs;
}

/* Guards against connections between zones, each with its heartbeats, as many
   as there are pairs of instances.  */
static void
test_bounded (void)
{
  struct jc_bridges *bridges = two_zones (0);

  g_assert_cmpuint (count_pairs (bridges), ==,
                    JC_BRIDGES_PER_ZONE * JC_BRIDGES_PER_ZONE);
  g_assert_true (jc_bridges_contains (bridges, "z1", "i000"));
  g_assert_false (jc_bridges_contains (bridges, "z2", "i000"));
  g_assert_false (jc_bridges_contains (bridges, "z1", "i008"));
  g_assert_false (jc_bridges_contains (bridges, "z3", "i000"));
  jc_bridges_free (bridges);
}

/* Guards against a zone without connections once its first instances are
   gone.  */
static void
test_next (void)
{
  struct jc_bridges *bridges = two_zones (JC_BRIDGES_PER_ZONE);

  g_assert_cmpuint (count_pairs (bridges), ==,
                    JC_BRIDGES_PER_ZONE * JC_BRIDGES_PER_ZONE);
  g_assert_true (jc_bridges_contains (bridges, "z1", "i008"));
  g_assert_true (jc_bridges_contains (bridges, "z2", "i015"));
  jc_bridges_free (bridges);
}

/* Guards against an instance of a small zone that is left out.  */
static void
test_few (void)
{
  struct jc_bridges *bridges = jc_bridges_new ();

  jc_bridges_add (bridges, "z1", "b");
  jc_bridges_add (bridges, "z1", "a");
  g_assert_true (jc_bridges_contains (bridges, "z1", "a"));
  g_assert_true (jc_bridges_contains (bridges, "z1", "b"));
  g_assert_false (jc_bridges_contains (bridges, "z1", "c"));
  jc_bridges_free (bridges);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/bounded", test_bounded);
  g_test_add_func ("/next", test_next);
  g_test_add_func ("/few", test_few);
  return g_test_run ();
}
