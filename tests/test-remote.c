/* Tests of the choice of another region, by the patterns of load that it
   answers.  */

#include <glib.h>
#include <string.h>

#include "serve/remote.h"

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
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_instance));

  for (guint i = from; i < to; i++)
    {
      struct jc_remote_instance one
          = { .instance = &said[i], .room = &rooms[i] };

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
    got[jc_remote_pick_instance (list, draw)->instance - said]++;
  g_assert_cmpuint (got[0] + got[1], ==, 0);
  for (guint i = 2; i < G_N_ELEMENTS (said); i++)
    g_assert_cmpuint (got[i], ==, DRAWS / 3);
  g_array_free (list, TRUE);
}

static void
test_none (void)
{
  GArray *list = list_of (0, 0);

  g_assert_null (jc_remote_pick_instance (list, 7));
  g_array_free (list, TRUE);
}

/* Two regions near their limit do not push work back and forth: less is taken
   from outside than from inside.  */
static void
test_room (void)
{
  struct rpc_service_room room = { .busy_permille = 500 };
  double limit = jc_demand_prefill_limit (&prompt);

  g_assert_true (jc_remote_has_room (&room, &prompt));
  room.busy_permille = (u_int)(limit * 1000) - 50;
  g_assert_false (jc_remote_has_room (&room, &prompt));
  g_assert_true (jc_remote_has_room (&room, &plain));
}

/* Guards against a request that goes from one instance of a full region to the
   next, a round trip between regions each, and is refused by all: in a peak of
   two regions at once nobody waits for what is known.  */
static void
test_full_region (void)
{
  g_assert_true (
      jc_remote_refusal_is_regional (jc_status_name (JC_OVERLOADED)));
  g_assert_true (jc_remote_refusal_is_regional (jc_status_name (JC_CROWDED)));
  g_assert_true (
      jc_remote_refusal_is_regional (jc_status_name (JC_NO_ENDPOINT)));
  g_assert_false (jc_remote_refusal_is_regional (jc_status_name (JC_DRAINING)));
  g_assert_false (
      jc_remote_refusal_is_regional (jc_status_name (JC_NOT_READY)));
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

      small += jc_remote_is_faster (1000, 600, draw) ? 1 : 0;
      great += jc_remote_is_faster (3000, 600, draw) ? 1 : 0;
      g_assert_false (jc_remote_is_faster (700, 600, draw));
    }
  g_assert_cmpuint (small, >, 0);
  g_assert_cmpuint (great, >, 2 * small);
  g_assert_cmpuint (great, <, DRAWS);
}

static const char *
home_of (unsigned int count, uint64_t part, unsigned int tokens)
{
  const struct jc_remote_region all[] = { { .name = "north", .endpoints = 60 },
                                          { .name = "south", .endpoints = 30 },
                                          { .name = "west", .endpoints = 10 } };
  const struct jc_demand demand
      = { .prompt_tokens = tokens + 500,
          .parts_count = 3,
          .prefix_hash = { 7, part, part + 1 },
          .prefix_tokens = { 400, tokens, tokens + 500 } };
  GArray *regions
      = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_region));
  const char *home;

  g_array_append_vals (regions, all, count);
  home = jc_remote_prefix_region (regions, &demand);
  g_array_free (regions, TRUE);
  return home;
}

/* Peaks that move from region to region, with prompts that share large parts:
   whoever is asked sends a part to the same region, and each region gets as
   great a share of all parts as it has of the endpoints.  Where one region is
   gone, only its parts move.  */
static void
test_parts_meet (void)
{
  unsigned int north = 0;
  unsigned int west = 0;

  for (uint64_t i = 1; i <= DRAWS; i++)
    {
      uint64_t part = i * 0x9E3779B97F4A7C15U;
      const char *home = home_of (3, part, 5000);

      g_assert_true (home == home_of (3, part, 5000));
      if (strcmp (home, "west") != 0)
        g_assert_cmpstr (home_of (2, part, 5000), ==, home);
      north += strcmp (home, "north") == 0 ? 1 : 0;
      west += strcmp (home, "west") == 0 ? 1 : 0;
      g_assert_null (home_of (3, part, 200));
    }
  g_assert_cmpfloat_with_epsilon ((double)north / DRAWS, 0.6, 0.03);
  g_assert_cmpfloat_with_epsilon ((double)west / DRAWS, 0.1, 0.03);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/elsewhere/full-region", test_full_region);
  g_test_add_func ("/elsewhere/spread", test_spread);
  g_test_add_func ("/elsewhere/none", test_none);
  g_test_add_func ("/elsewhere/room", test_room);
  g_test_add_func ("/elsewhere/share", test_share);
  g_test_add_func ("/elsewhere/parts-meet", test_parts_meet);
  return g_test_run ();
}
