/* Tests of whether an entry instance hears of changes, and of the sum of what
   all instances of a region send to an endpoint whose zone is evacuated and
   readmitted, cold, while some or all of them are cut off.  */

#include <glib.h>
#include <string.h>

#include "member/contact.h"
#include "serve/budget.h"

enum
{
  INSTANCES_MAX = 9,
  MS_PER_S = 1000,
  SIMULATED_MS = 20 * MS_PER_S,
  STEP_MS = 10,
  TICK_MS = 100,
  HEARTBEAT_MS = 500,
  COLD_MS = 3000,
  /* Shortest evacuation, and longest delay of a message.  */
  EVACUATED_MS_MIN = 1500,
  DELAY_MS_MAX = 40,
  ROUNDS = 200
};

static const double cold_requests_per_s = 2.1;

static const struct jc_budget_settings settings = { .retry_ratio = 0.2,
                                                    .retry_window_ms = 10000,
                                                    .cold_ratio = 1.5,
                                                    .cold_slack = 3 };

/* An entry instance.  It is cut off from the state instances, and, if ALONE,
   from its neighbours, from CUT_MS to JOINED_MS, and frozen from FREEZE_MS to
   THAW_MS.  POSITION is that of its orders, HEARTBEAT_AT when it sends.  */
struct instance
{
  struct jc_contact contact;
  struct jc_budgets *budgets;
  uint64_t position;
  uint64_t claimed;
  int64_t cut_ms;
  int64_t joined_ms;
  int64_t freeze_ms;
  int64_t thaw_ms;
  int heartbeat_at;
  bool alone;
};

/* The region: its zone is evacuated at EVACUATED_MS (order 2) and readmitted at
   READMITTED_MS (order 3), which reaches an instance in touch within DELAY_MS.
   SENT counts requests by ms.  */
struct region
{
  struct instance instances[INSTANCES_MAX];
  int count;
  int64_t evacuated_ms;
  int64_t readmitted_ms;
  unsigned short sent[SIMULATED_MS];
};

static bool
is_cut (const struct instance *instance, int64_t ms)
{
  return ms >= instance->cut_ms && ms < instance->joined_ms;
}

static bool
is_frozen (const struct instance *instance, int64_t ms)
{
  return ms >= instance->freeze_ms && ms < instance->thaw_ms;
}

static uint64_t
orders_position (const struct region *region, int64_t ms)
{
  return 1 + (ms >= region->evacuated_ms) + (ms >= region->readmitted_ms);
}

/* Let a heartbeat of FROM reach the other instances at MS.  */
static void
tell_neighbours (struct region *region, const struct instance *from, int64_t ms)
{
  for (int i = 0; i < region->count; i++)
    {
      struct instance *to = &region->instances[i];

      if (to == from || is_frozen (to, ms) || (is_cut (from, ms) && from->alone)
          || (is_cut (to, ms) && to->alone))
        continue;
      jc_contact_note_neighbour (&to->contact, from->claimed, to->position, 0,
                                 ms);
    }
}

/* Let INSTANCE send a request at MS if it may.  It holds back while it knows
   that the zone is evacuated, and knows from the state instances, once in
   touch, that the endpoint is cold.  */
static void
instance_send (struct region *region, struct instance *instance, int64_t ms)
{
  bool knows_cold = instance->position == 3
                    && ms < region->readmitted_ms + COLD_MS + DELAY_MS_MAX;
  bool warm = !knows_cold && jc_contact_is_told (&instance->contact, ms);

  if (instance->position == 2
      || (!warm
          && !jc_budgets_may_send_cold (instance->budgets, "e", 1,
                                        cold_requests_per_s, ms)))
    return;
  jc_budgets_note_cold_send (instance->budgets, "e", ms);
  region->sent[ms]++;
}

static void
instance_step (struct region *region, struct instance *instance, int64_t ms,
               GRand *rand)
{
  if (is_frozen (instance, ms))
    return;
  if (ms % TICK_MS == 0 || ms == instance->thaw_ms)
    {
      jc_contact_tick (&instance->contact, ms);
      instance->claimed
          = jc_contact_position (&instance->contact, instance->position, ms);
    }
  /* What waited while it was frozen is read before anything else.  */
  if (ms == instance->thaw_ms)
    jc_contact_note_state (&instance->contact, 0, ms);
  if (!is_cut (instance, ms))
    instance->position = orders_position (region, ms - DELAY_MS_MAX);
  if (ms % HEARTBEAT_MS == instance->heartbeat_at && !is_cut (instance, ms))
    jc_contact_note_state (&instance->contact, 0, ms);
  if (ms % HEARTBEAT_MS == instance->heartbeat_at)
    tell_neighbours (region, instance, ms);
  if (g_rand_int_range (rand, 0, 3) == 0)
    instance_send (region, instance, ms);
}

static void
region_run (struct region *region, GRand *rand)
{
  for (int64_t ms = MS_PER_S; ms < SIMULATED_MS; ms += STEP_MS)
    for (int i = 0; i < region->count; i++)
      instance_step (region, &region->instances[i], ms, rand);
}

static unsigned int
count_sent (const struct region *region, int64_t from, int64_t to)
{
  unsigned int sum = 0;

  for (int64_t ms = from; ms < to; ms++)
    sum += region->sent[ms];
  return sum;
}

/* Return the most requests that reached the endpoint in a second in which it
   was cold.  */
static unsigned int
most_while_cold (const struct region *region)
{
  unsigned int most = 0;

  for (int64_t from = region->readmitted_ms;
       from <= region->readmitted_ms + COLD_MS - MS_PER_S; from++)
    most = MAX (most, count_sent (region, from, from + MS_PER_S));
  return most;
}

/* Set up REGION with instances that are cut off with a chance of PERCENT; the
   first holds the grant.  */
static void
region_init (struct region *region, GRand *rand, int percent)
{
  int64_t cut_ms = g_rand_int_range (rand, 300, 500) * STEP_MS;

  memset (region, 0, sizeof *region);
  region->count = g_rand_int_range (rand, 2, INSTANCES_MAX + 1);
  region->evacuated_ms = cut_ms + g_rand_int_range (rand, 0, 4000);
  region->readmitted_ms = region->evacuated_ms + EVACUATED_MS_MIN
                          + g_rand_int_range (rand, 0, 2000);
  for (int i = 0; i < region->count; i++)
    {
      struct instance *instance = &region->instances[i];

      instance->budgets = jc_budgets_new (&settings);
      instance->position = 1;
      instance->heartbeat_at
          = g_rand_int_range (rand, 0, HEARTBEAT_MS / STEP_MS) * STEP_MS;
      if (g_rand_int_range (rand, 0, 100) >= percent)
        continue;
      instance->cut_ms = cut_ms;
      instance->joined_ms
          = cut_ms + g_rand_int_range (rand, 500, 1200) * STEP_MS;
      instance->alone = g_rand_boolean (rand);
      if (g_rand_int_range (rand, 0, 4) != 0)
        continue;
      instance->freeze_ms = cut_ms;
      instance->thaw_ms = cut_ms + g_rand_int_range (rand, 1, 600) * STEP_MS;
    }
  jc_budgets_grant (region->instances[0].budgets, "e", 1);
}

static void
region_clear (struct region *region)
{
  for (int i = 0; i < region->count; i++)
    jc_budgets_free (region->instances[i].budgets);
}

/* Guards against instances that are cut off when a zone is evacuated and
   readmitted, and go on sending to its endpoints, now cold, at the full
   rate.  */
static void
test_cut_off (void)
{
  GRand *rand = g_rand_new_with_seed (4704);
  struct region *region = g_new0 (struct region, 1);

  for (int round = 0; round < ROUNDS; round++)
    {
      region_init (region, rand, round % 4 == 0 ? 100 : 50);
      region_run (region, rand);
      g_assert_cmpfloat (most_while_cold (region), <=,
                         cold_requests_per_s * settings.cold_ratio
                             + (double)settings.cold_slack);
      region_clear (region);
    }
  g_free (region);
  g_rand_free (rand);
}

/* Guards against holding work back where one instance alone lost the state
   instances: its neighbours show it that there were no new orders, and one that
   isn't told itself shows nothing.  */
static void
test_neighbours (void)
{
  struct jc_contact contact = { .state_ms = 0 };
  struct jc_contact neighbour = { .state_ms = 0 };

  g_assert_false (jc_contact_is_told (&contact, 100));
  g_assert_cmpuint (jc_contact_position (&neighbour, 7, 100), ==, 0);
  for (int64_t ms = 100; ms < 10000; ms += TICK_MS)
    {
      jc_contact_tick (&contact, ms);
      jc_contact_tick (&neighbour, ms);
      jc_contact_note_state (&neighbour, 0, ms);
      if (ms < 1000)
        jc_contact_note_state (&contact, 0, ms);
      jc_contact_note_neighbour (
          &contact, jc_contact_position (&neighbour, 7, ms), 7, 0, ms);
      g_assert_true (ms < 500 || jc_contact_is_told (&contact, ms));
    }
  g_assert_cmpuint (jc_contact_position (&contact, 7, 10000), ==, 0);
  for (int64_t ms = 10000; ms < 11000; ms += TICK_MS)
    {
      jc_contact_tick (&contact, ms);
      jc_contact_note_neighbour (&contact, 8, 7, 0, ms);
      jc_contact_note_neighbour (&contact, 0, 7, 0, ms);
    }
  g_assert_false (jc_contact_is_told (&contact, 11000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/contact/cut-off", test_cut_off);
  g_test_add_func ("/contact/neighbours", test_neighbours);
  return g_test_run ();
}
