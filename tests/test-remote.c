/* Tests of the choice of a remote region and instance.  */

#include <glib.h>
#include <string.h>

#include "serve/remote.h"
#include "serve/remotereading.h"

enum
{
  DRAWS = 3000
};

static const struct jc_demand prompt = { .prompt_tokens = 1000, .priority = 2 };
static const struct jc_demand plain = { .prompt_tokens = 0 };

/* Instances of two regions; those of "south" report shorter times.  */
static struct rpc_presence instances[]
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
      struct jc_remote_instance candidate
          = { .instance = &instances[i], .room = &rooms[i] };

      g_array_append_val (list, candidate);
    }
  return list;
}

/* Requests sent away during a local peak go to the fastest region, spread
   evenly over its instances, whatever time each of them reported.  */
static void
test_spread (void)
{
  GArray *list = list_of (0, G_N_ELEMENTS (instances));
  unsigned int picked[G_N_ELEMENTS (instances)] = { 0 };

  for (uint32_t draw = 0; draw < DRAWS; draw++)
    picked[jc_remote_pick_instance (list, draw)->instance - instances]++;
  g_assert_cmpuint (picked[0] + picked[1], ==, 0);
  for (guint i = 2; i < G_N_ELEMENTS (instances); i++)
    g_assert_cmpuint (picked[i], ==, DRAWS / 3);
  g_array_free (list, TRUE);
}

static void
test_no_instances (void)
{
  GArray *list = list_of (0, 0);

  g_assert_null (jc_remote_pick_instance (list, 7));
  g_array_free (list, TRUE);
}

/* Two regions near their limit must not send requests back and forth: the limit
   for requests from other regions is lower than for local ones.  */
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

/* Guards against sending a request to all instances of a full region in turn,
   each at the cost of a round trip between regions, only to be refused by all.
   During simultaneous peaks of two regions, a known refusal must not cost any
   waiting.  */
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
  g_assert_false (
      jc_remote_refusal_is_regional (jc_status_name (JC_OUT_OF_REACH)));
}

/* Guards against refusing a request, beside a change of the configuration,
   because the first instance asked in another region is behind and lacks its
   route: others there have it.  */
static void
test_unknown_route (void)
{
  g_assert_false (
      jc_remote_refusal_is_regional (jc_status_name (JC_UNKNOWN_ROUTE)));
}

/* Guards against taking a retry from the budget, or refusing a request for want
   of one, after a refusal that came before any endpoint was asked; endpoints
   may have been asked before the others.  */
static void
test_refused_at_head (void)
{
  g_assert_true (
      jc_remote_refusal_is_at_head (jc_status_name (JC_UNKNOWN_ROUTE)));
  g_assert_true (jc_remote_refusal_is_at_head (jc_status_name (JC_DRAINING)));
  g_assert_false (
      jc_remote_refusal_is_at_head (jc_status_name (JC_OUT_OF_REACH)));
  g_assert_true (jc_remote_refusal_is_at_head (jc_status_name (JC_NOT_READY)));
  g_assert_false (
      jc_remote_refusal_is_at_head (jc_status_name (JC_NO_ENDPOINT)));
  g_assert_false (
      jc_remote_refusal_is_at_head (jc_status_name (JC_OVERLOADED)));
}

/* All instances see the same gain at the same time, so only a fraction of the
   requests is sent: more for a larger gain, none if the gain is below the
   cost.  */
static void
test_send_fraction (void)
{
  unsigned int small_gain = 0;
  unsigned int large_gain = 0;

  for (int i = 0; i < DRAWS; i++)
    {
      double draw = (double)i / DRAWS;

      small_gain += jc_remote_is_faster (1000, 600, draw) ? 1 : 0;
      large_gain += jc_remote_is_faster (3000, 600, draw) ? 1 : 0;
      g_assert_false (jc_remote_is_faster (700, 600, draw));
    }
  g_assert_cmpuint (small_gain, >, 0);
  g_assert_cmpuint (large_gain, >, 2 * small_gain);
  g_assert_cmpuint (large_gain, <, DRAWS);
}

static const char *
assigned_region (unsigned int count, uint64_t part, unsigned int tokens)
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
  const char *assigned;

  g_array_append_vals (regions, all, count);
  assigned = jc_remote_prefix_region (regions, &demand);
  g_array_free (regions, TRUE);
  return assigned;
}

/* Every instance assigns a shared prefix to the same region, and the share of
   prefixes of each region equals its share of the endpoints, so that peaks are
   spread.  If a region is gone, only its prefixes move.  */
static void
test_prefix_region (void)
{
  unsigned int north = 0;
  unsigned int west = 0;

  for (uint64_t i = 1; i <= DRAWS; i++)
    {
      uint64_t part = i * 0x9E3779B97F4A7C15U;
      const char *assigned = assigned_region (3, part, 5000);

      g_assert_true (assigned == assigned_region (3, part, 5000));
      if (strcmp (assigned, "west") != 0)
        g_assert_cmpstr (assigned_region (2, part, 5000), ==, assigned);
      north += strcmp (assigned, "north") == 0 ? 1 : 0;
      west += strcmp (assigned, "west") == 0 ? 1 : 0;
      g_assert_null (assigned_region (3, part, 200));
    }
  g_assert_cmpfloat_with_epsilon ((double)north / DRAWS, 0.6, 0.03);
  g_assert_cmpfloat_with_epsilon ((double)west / DRAWS, 0.1, 0.03);
}

/* Guards against a region that serves its own callers badly because the
   instances that can't reach its endpoints send all to other regions, or all to
   one of those that can: their own region goes first, in equal shares, though
   another one answers sooner.  */
static void
test_own_region_first (void)
{
  GArray *list = list_of (0, G_N_ELEMENTS (instances));
  unsigned int picked[G_N_ELEMENTS (instances)] = { 0 };

  g_assert_true (jc_remote_prefer_region (list, "north"));
  for (uint32_t draw = 0; draw < DRAWS; draw++)
    picked[jc_remote_pick_instance (list, draw)->instance - instances]++;
  for (guint i = 0; i < 2; i++)
    g_assert_cmpuint (picked[i], ==, DRAWS / 2);
  g_array_free (list, TRUE);
}

/* Guards against a request that is refused because the preferred region has no
   instance, though others have.  */
static void
test_no_instance_in_region (void)
{
  GArray *list = list_of (2, G_N_ELEMENTS (instances));

  g_assert_false (jc_remote_prefer_region (list, "north"));
  g_assert_cmpuint (list->len, ==, 3);
  g_array_free (list, TRUE);
}

/* Guards against all instances of a region that restarted sending what waited
   for them to the one region that was idle in its last report: hand-overs that
   no report shows yet count, so that the last of them still gains.  600
   requests come to six instances in 200 ms, and would take two seconds here; in
   that time no new report comes from the region, whose five engines were
   idle.  */
static void
test_restarted_together (void)
{
  const struct rpc_service_room room = { .endpoints = 5, .answer_ms = 400 };
  const struct jc_demand long_prompt = { .prompt_tokens = 1500 };
  const double read_per_ms = 5 * 56.9;
  const int64_t here_ms = 2000;
  struct jc_remote_reading readings[6] = { 0 };
  double sent_tokens = 0;
  unsigned int sent = 0;

  for (unsigned int i = 0; i < 600; i++)
    {
      struct jc_remote_reading *reading
          = &readings[i % G_N_ELEMENTS (readings)];
      int64_t now = i / 3;
      int64_t there
          = room.answer_ms + jc_remote_reading_ms (reading, &room, now);

      if (!jc_remote_is_faster (here_ms, there, (double)(i * 7 % 600) / 600))
        continue;
      jc_remote_reading_add (reading, &room, &long_prompt,
                             G_N_ELEMENTS (readings), now);
      sent_tokens += long_prompt.prompt_tokens;
      sent++;
    }
  g_assert_cmpuint (sent, >, 100);
  g_assert_cmpfloat (room.answer_ms + sent_tokens / read_per_ms - 200, <,
                     (double)here_ms);
}

/* What was handed over is read in time, sooner where less else is to be read;
   shared parts aren't read again, and a region without engines takes no
   time.  */
static void
test_reading_ends (void)
{
  struct rpc_service_room room = { .endpoints = 2 };
  const struct jc_demand shared = { .prompt_tokens = 6690,
                                    .parts_count = 2,
                                    .prefix_tokens = { 1000, 6690 } };
  struct jc_remote_reading reading = { 0 };

  jc_remote_reading_add (&reading, &room, &shared, 3, 5000);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 5000), ==, 150);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 5100), ==, 50);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 5150), ==, 0);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 60000), ==, 0);
  room.busy_permille = 500;
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 5000), ==, 300);
  room.endpoints = 0;
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 5000), ==, 0);
}

/* Guards against requests that the engines of a region refuse because so much
   was handed over to them since its last report: a second of reading at most.
   There is room again once that is read.  */
static void
test_reading_fills (void)
{
  const struct rpc_service_room room = { .endpoints = 5 };
  struct jc_remote_reading reading = { 0 };
  int64_t limit_ms
      = (int64_t)(1500 * (jc_demand_prefill_limit (&prompt) - 0.15));
  unsigned int sent = 0;

  while (sent < 10000
         && jc_remote_reading_has_room (&reading, &room, &prompt, 100))
    {
      jc_remote_reading_add (&reading, &room, &prompt, 4, 100);
      sent++;
    }
  g_assert_cmpuint (sent, >, 10);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 100), >=, limit_ms);
  g_assert_cmpint (jc_remote_reading_ms (&reading, &room, 100), <,
                   limit_ms + 20);
  g_assert_true (jc_remote_reading_has_room (&reading, &room, &plain, 100));
  g_assert_true (jc_remote_reading_has_room (&reading, &room, &prompt, 600));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/remote/full-region", test_full_region);
  g_test_add_func ("/remote/unknown-route", test_unknown_route);
  g_test_add_func ("/remote/refused-at-head", test_refused_at_head);
  g_test_add_func ("/remote/spread", test_spread);
  g_test_add_func ("/remote/no-instances", test_no_instances);
  g_test_add_func ("/remote/room", test_room);
  g_test_add_func ("/remote/send-fraction", test_send_fraction);
  g_test_add_func ("/remote/prefix-region", test_prefix_region);
  g_test_add_func ("/remote/own-region-first", test_own_region_first);
  g_test_add_func ("/remote/no-instance-in-region", test_no_instance_in_region);
  g_test_add_func ("/remote/restarted-together", test_restarted_together);
  g_test_add_func ("/remote/reading-ends", test_reading_ends);
  g_test_add_func ("/remote/reading-fills", test_reading_fills);
  return g_test_run ();
}
