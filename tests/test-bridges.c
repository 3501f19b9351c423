/* Tests of the choice of the instances that keep connections between
   availability zones.  */

#include <glib.h>

#include "member/bridges.h"

enum
{
  ZONE_INSTANCES = 100
};

static char names[2 * ZONE_INSTANCES][8];
static const char *const zones[] = { "z1", "z2" };

/* Return the bridges of two zones of ZONE_INSTANCES each, without the first
   MISSING instances of each zone.  */
static struct jc_bridges *
bridges_of_two_zones (unsigned int missing)
{
  struct jc_bridges *bridges = jc_bridges_new ();

  for (unsigned int i = 2 * ZONE_INSTANCES; i > 0; i--)
    {
      g_snprintf (names[i - 1], sizeof names[0], "i%03u", i - 1);
      if ((i - 1) / 2 >= missing)
        jc_bridges_add (bridges, zones[(i - 1) % 2], names[i - 1]);
    }
  return bridges;
}

/* Return the number of connections between the two zones.  */
static unsigned int
count_connections (const struct jc_bridges *bridges)
{
  unsigned int connections = 0;

  for (unsigned int i = 0; i < 2 * ZONE_INSTANCES; i += 2)
    for (unsigned int j = 1; j < 2 * ZONE_INSTANCES; j += 2)
      connections
          += jc_bridges_contains (bridges, zones[0], names[i])
                     && jc_bridges_contains (bridges, zones[1], names[j])
                 ? 1
                 : 0;
  return connections;
}

/* Guards against a connection, with its heartbeats, for each pair of instances
   of two zones.  */
static void
test_bounded (void)
{
  struct jc_bridges *bridges = bridges_of_two_zones (0);

  g_assert_cmpuint (count_connections (bridges), ==,
                    JC_BRIDGES_PER_ZONE * JC_BRIDGES_PER_ZONE);
  g_assert_true (jc_bridges_contains (bridges, "z1", "i000"));
  g_assert_false (jc_bridges_contains (bridges, "z2", "i000"));
  g_assert_false (jc_bridges_contains (bridges, "z1", "i008"));
  g_assert_false (jc_bridges_contains (bridges, "z3", "i000"));
  jc_bridges_free (bridges);
}

/* Guards against a zone that loses its connections when its first instances are
   gone.  */
static void
test_first_missing (void)
{
  struct jc_bridges *bridges = bridges_of_two_zones (JC_BRIDGES_PER_ZONE);

  g_assert_cmpuint (count_connections (bridges), ==,
                    JC_BRIDGES_PER_ZONE * JC_BRIDGES_PER_ZONE);
  g_assert_true (jc_bridges_contains (bridges, "z1", "i008"));
  g_assert_true (jc_bridges_contains (bridges, "z2", "i015"));
  jc_bridges_free (bridges);
}

/* Guards against leaving out an instance of a zone with fewer instances than
   JC_BRIDGES_PER_ZONE.  */
static void
test_small_zone (void)
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
  g_test_add_func ("/first-missing", test_first_missing);
  g_test_add_func ("/small-zone", test_small_zone);
  return g_test_run ();
}
