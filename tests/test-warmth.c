/* Tests of the evidence that an endpoint is warm, and of the sum of what all
   instances send to one whose process was replaced under its name while it is
   cut off from those who pass on its reports.  */

#include <glib.h>
#include <string.h>

#include "serve/budget.h"
#include "serve/warmth.h"

enum
{
  INSTANCES_MAX = 9,
  MS_PER_S = 1000,
  SIMULATED_MS = 30 * MS_PER_S,
  COLD_MS = 3000,
  REPORT_INTERVAL_MS = 1200,
  /* Longest delay of a report by a link that is cut.  */
  REPORT_LATE_MS = 3000,
  ROUNDS = 200
};

static const double cold_requests_per_s = 2.1;

static const struct jc_budget_settings settings = { .retry_ratio = 0.2,
                                                    .retry_window_ms = 10000,
                                                    .cold_ratio = 1.5,
                                                    .cold_slack = 3 };

/* One entry instance.  Its connection to the process is established since
   CONNECTED_MS, -1 for none; it does not connect before REFUSED_UNTIL_MS.  */
struct instance
{
  struct jc_budgets *budgets;
  struct jc_warmth warmth;
  int64_t connected_ms;
  int64_t refused_until_ms;
};

/* The endpoint: up but from DOWN_MS to UP_MS, cut off from the state instances
   until CUT_UNTIL_MS.  Its last report before that reaches each instance at
   LATE_MS.  SENT counts requests that reached it, by ms.  */
struct plan
{
  struct instance instances[INSTANCES_MAX];
  int count;
  int64_t down_ms;
  int64_t up_ms;
  int64_t cut_until_ms;
  int64_t late_ms;
  unsigned short sent[SIMULATED_MS];
};

static double
cold_bound (void)
{
  return cold_requests_per_s * settings.cold_ratio
         + (double)settings.cold_slack;
}

static bool
plan_is_up (const struct plan *plan, int64_t ms)
{
  return ms < plan->down_ms || ms >= plan->up_ms;
}

/* Instance INSTANCE of PLAN sends a request at MS if it may.  */
static void
instance_send (struct plan *plan, struct instance *instance, int64_t ms)
{
  bool warm = jc_warmth_is_proven (&instance->warmth, ms);

  if (ms < instance->refused_until_ms
      || (!warm
          && !jc_budgets_may_send_cold (instance->budgets, "e", 1,
                                        cold_requests_per_s, ms)))
    return;
  jc_budgets_note_cold_send (instance->budgets, "e", ms);
  if (!plan_is_up (plan, ms))
    {
      instance->warmth.lost_ms = ms;
      instance->refused_until_ms = ms + 100;
      return;
    }
  plan->sent[ms]++;
  if (instance->connected_ms < 0)
    instance->connected_ms = ms;
  instance->warmth.since_ms = instance->connected_ms;
}

/* The process ends at MS: connections to it break.  */
static void
instance_lose (struct instance *instance, int64_t ms)
{
  if (instance->connected_ms >= 0)
    instance->warmth.lost_ms = ms;
  instance->connected_ms = -1;
  instance->warmth.since_ms = -1;
}

/* Pass a report of the endpoint on at MS, if there is one: each that is sent
   while it isn't cut off, one that comes late, and one once it is joined.  */
static void
instance_report (struct plan *plan, struct instance *instance, int64_t ms)
{
  bool cut = ms >= plan->down_ms - 500 && ms < plan->cut_until_ms;

  if (ms == plan->cut_until_ms)
    {
      instance->warmth.known_ms = ms;
      instance->warmth.reported_ms = ms;
      instance->warmth.warm_at_ms = MAX (plan->up_ms + COLD_MS, ms);
    }
  else if (ms == plan->late_ms || (!cut && ms % REPORT_INTERVAL_MS == 0))
    instance->warmth.reported_ms = ms;
}

static void
plan_run (struct plan *plan, GRand *rand)
{
  for (int64_t ms = 0; ms < SIMULATED_MS; ms++)
    for (int i = 0; i < plan->count; i++)
      {
        struct instance *instance = &plan->instances[i];

        if (ms == plan->down_ms)
          instance_lose (instance, ms);
        instance_report (plan, instance, ms);
        if (g_rand_int_range (rand, 0, 50) == 0)
          instance_send (plan, instance, ms);
      }
}

static unsigned int
count_sent (const struct plan *plan, int64_t from, int64_t to)
{
  unsigned int sum = 0;

  for (int64_t ms = from; ms < to; ms++)
    sum += plan->sent[ms];
  return sum;
}

/* Return the most requests that reached the endpoint in a second in which it
   was cold.  */
static unsigned int
most_while_cold (const struct plan *plan)
{
  unsigned int most = 0;

  for (int64_t from = plan->up_ms; from <= plan->up_ms + COLD_MS - MS_PER_S;
       from++)
    most = MAX (most, count_sent (plan, from, from + MS_PER_S));
  return most;
}

/* Draw a plan in which the first instance may hold the grant, and run it.  */
static void
simulate_replaced_process (GRand *rand)
{
  struct plan *plan = g_new0 (struct plan, 1);

  plan->count = g_rand_int_range (rand, 2, INSTANCES_MAX + 1);
  plan->down_ms = g_rand_int_range (rand, 6000, 8000);
  plan->up_ms = plan->down_ms + g_rand_int_range (rand, 1, 2000);
  plan->cut_until_ms = plan->up_ms + g_rand_int_range (rand, 0, 9000);
  plan->late_ms
      = plan->down_ms + g_rand_int_range (rand, -500, REPORT_LATE_MS - 500);
  for (int i = 0; i < plan->count; i++)
    {
      plan->instances[i].budgets = jc_budgets_new (&settings);
      plan->instances[i].connected_ms = -1;
      plan->instances[i].warmth = (struct jc_warmth){ .since_ms = -1,
                                                      .lost_ms = -1,
                                                      .cold_ms = COLD_MS };
    }
  if (g_rand_boolean (rand))
    jc_budgets_grant (plan->instances[0].budgets, "e", 1);
  plan_run (plan, rand);
  g_assert_cmpfloat (most_while_cold (plan), <=, cold_bound ());
  /* Before the loss and once it is proven to be warm again, it gets all.  */
  g_assert_cmpuint (count_sent (plan, 2000, 5000), >=, 10 * 3);
  g_assert_cmpuint (count_sent (plan, 24000, 27000), >=, 10 * 3);
  for (int i = 0; i < plan->count; i++)
    jc_budgets_free (plan->instances[i].budgets);
  g_free (plan);
}

/* Guards against a process that was started again under its name, cold, and
   gets work at the full rate from all instances since the last report, which
   may come late, was of the process before.  */
static void
test_replaced_process (void)
{
  GRand *rand = g_rand_new_with_seed (4705);

  for (int round = 0; round < ROUNDS; round++)
    simulate_replaced_process (rand);
  g_rand_free (rand);
}

/* Guards against endpoints that are warm being held back: one that answers for
   longer than a process is cold is warm without any report, and one that
   reports without any connection.  */
static void
test_warm_by_either (void)
{
  struct jc_warmth connected = { .known_ms = 0,
                                 .reported_ms = 0,
                                 .since_ms = 1000,
                                 .lost_ms = 900,
                                 .cold_ms = COLD_MS };
  struct jc_warmth reporting = { .known_ms = 0,
                                 .reported_ms = 60000,
                                 .since_ms = -1,
                                 .lost_ms = -1,
                                 .cold_ms = COLD_MS };

  g_assert_false (jc_warmth_is_proven (&connected, 3999));
  g_assert_true (jc_warmth_is_proven (&connected, 4000));
  g_assert_true (jc_warmth_is_proven (&connected, 600000));
  g_assert_true (jc_warmth_is_proven (&reporting, 62000));
  g_assert_false (jc_warmth_is_proven (&reporting, 64000));
  reporting.warm_at_ms = 62001;
  g_assert_false (jc_warmth_is_proven (&reporting, 62000));
}

/* Guards against an endpoint whose grant nobody holds any more staying without
   work for good after a loss: reports that can't be of the process before prove
   that it goes on.  */
static void
test_reports_after_loss (void)
{
  struct jc_warmth warmth = { .known_ms = 0,
                              .reported_ms = 1500,
                              .since_ms = -1,
                              .lost_ms = 1000,
                              .cold_ms = COLD_MS };

  g_assert_false (jc_warmth_is_proven (&warmth, 1500));
  warmth.reported_ms = 1000 + REPORT_LATE_MS - 1;
  g_assert_false (jc_warmth_is_proven (&warmth, warmth.reported_ms));
  warmth.reported_ms = 1000 + REPORT_LATE_MS;
  g_assert_true (jc_warmth_is_proven (&warmth, warmth.reported_ms));
  /* A new incarnation that has reported isn't bound by the loss.  */
  warmth.known_ms = 1400;
  warmth.reported_ms = 1400;
  g_assert_true (jc_warmth_is_proven (&warmth, 1500));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/warmth/replaced-process", test_replaced_process);
  g_test_add_func ("/warmth/warm-by-either", test_warm_by_either);
  g_test_add_func ("/warmth/reports-after-loss", test_reports_after_loss);
  return g_test_run ();
}
