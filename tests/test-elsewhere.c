/* Tests of the choice of another region, by the patterns of load that it
   answers.  */

#include <glib.h>
#include <string.h>

#include "serve/elsewhere.h"

enum
{
  DRAWS = 3000
};

static const struct jc_demand prompt = { .prompt_tokens = 1000, .priority = 2 };
static const struct jc_demand plain = { .prompt_tokens = 0 };

/* Instances of two regions; those of "south" say less time.  */
static struct rpc_presence said[]
    = { { .name = (char *)"n1", .region = (char *)"north" },
        { .name = (char *)"n2", .region = (char *)"north" },
        { .name = (char *)"s1", .region = (char *)"south" },
        { .name = (char *)"s2", .region = (char *)"south" },
        { .name = (char *)"s3", .region = (char *)"south" } };
static struct rpc_service_room rooms[] = { { .answer_ms = 900 },
                                           { .answer_ms = 950 },
                                           { .answer_ms = 500 },
                                           { .answer_ms = 620 },
                                           { .answer_ms = 480 } };

static GArray *
list_of (guint from, guint to)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct jc_elsewhere));

  for (guint i = from; i < to; i++)
    {
      struct jc_elsewhere one = { .instance = &said[i], .room = &rooms[i] };

      g_array_append_val (list, one);
    }
  return list;
}

/* A region's own peak: what it hands over goes to the emptiest region, spread
   over all of its instances, whatever each of them told.  */
static void
test_spread (void)
{
  GArray *list = list_of (0, G_N_ELEMENTS (said));
  unsigned int got[G_N_ELEMENTS (said)] = { 0 };

  for (uint32_t draw = 0; draw < DRAWS; draw++)
    got[jc_elsewhere_pick (list, draw)->instance - said]++;
  g_assert_cmpuint (got[0] + got[1], ==, 0);
  for (guint i = 2; i < G_N_ELEMENTS (said); i++)
    g_assert_cmpuint (got[i], ==, DRAWS / 3);
  g_array_free (list, TRUE);
}

static void
test_none (void)
{
  GArray *list = list_of (0, 0);

  g_assert_null (jc_elsewhere_pick (list, 7));
  g_array_free (list, TRUE);
}

/* Two regions near their limit do not push work back and forth: less is taken
   from outside than from inside.  */
static void
test_room (void)
{
  struct rpc_service_room room = { .busy_permille = 500 };
  double limit = jc_demand_busy_limit (&prompt);

  g_assert_true (jc_elsewhere_has_room (&room, &prompt));
  room.busy_permille = (u_int)(limit * 1000) - 50;
  g_assert_false (jc_elsewhere_has_room (&room, &prompt));
  g_assert_true (jc_elsewhere_has_room (&room, &plain));
}

/* All instances see the same gain at the same time: only a share goes, more
   where the gain is greater, none where the way costs more.  */
static void
test_share (void)
{
  unsigned int small = 0;
  unsigned int great = 0;

  for (int i = 0; i < DRAWS; i++)
    {
      double draw = (double)i / DRAWS;

      small += jc_elsewhere_gains (1000, 600, draw) ? 1 : 0;
      great += jc_elsewhere_gains (3000, 600, draw) ? 1 : 0;
      g_assert_false (jc_elsewhere_gains (700, 600, draw));
    }
  g_assert_cmpuint (small, >, 0);
  g_assert_cmpuint (great, >, 2 * small);
  g_assert_cmpuint (great, <, DRAWS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/elsewhere/spread", test_spread);
  g_test_add_func ("/elsewhere/none", test_none);
  g_test_add_func ("/elsewhere/room", test_room);
  g_test_add_func ("/elsewhere/share", test_share);
  return g_test_run ();
}
