/* Tests of budgets shared by all entry instances: the sum over all instances is
   checked against the bound in every window.  */

#include <glib.h>
#include <string.h>

#include "member/grants.h"
#include "serve/budget.h"

enum
{
  INSTANCES_MAX = 9,
  MANY_INSTANCES = 79,
  /* The slack of the guaranteed bound: with nine instances, and with many.  */
  SLACK = 54,
  MANY_INSTANCES_SLACK = 186,
  SECONDS = 60,
  /* As many grants as an instance keeps.  */
  COLD_GRANTS = 4096,
  MS_PER_S = 1000,
  ROUNDS = 40
};

static const struct jc_budget_settings settings = { .retry_ratio = 0.2,
                                                    .retry_window_ms = 10000,
                                                    .cold_ratio = 1.5,
                                                    .cold_slack = 3 };

/* Number of events in each ms, over all instances.  */
struct record
{
  unsigned short requests[SECONDS * MS_PER_S];
  unsigned short retries[SECONDS * MS_PER_S];
  unsigned short cold[SECONDS * MS_PER_S];
};

static struct record record;

static unsigned int
count_events (const unsigned short *counts, int64_t from, int64_t to)
{
  unsigned int all = 0;

  for (int64_t ms = MAX (from, 0); ms < to; ms++)
    all += counts[ms];
  return all;
}

/* Check the retries of every 10 s window that ends at a multiple of 100 ms.  */
static void
check_retries (int64_t slack)
{
  int64_t window = settings.retry_window_ms;

  for (int64_t end = 100; end <= SECONDS * MS_PER_S; end += 100)
    {
      double requests = count_events (record.requests, end - window, end);

      g_assert_cmpfloat (count_events (record.retries, end - window, end), <=,
                         settings.retry_ratio * requests + (double)slack);
    }
}

/* Check the retries of every 10 s window against the requests of that window,
   of the one before or of the one half a window before, whichever has most.  */
static void
check_retries_by_largest_window (int64_t slack)
{
  int64_t window = settings.retry_window_ms;
  double excess = 0;

  for (int64_t end = window; end <= SECONDS * MS_PER_S; end += 100)
    {
      double same_window = count_events (record.requests, end - window, end);
      double previous_window
          = count_events (record.requests, end - 2 * window, end - window);
      double half_window_before = count_events (
          record.requests, end - window * 3 / 2, end - window / 2);
      double allowed
          = settings.retry_ratio
                * MAX (MAX (same_window, previous_window), half_window_before)
            + (double)slack;

      excess = MAX (excess,
                    count_events (record.retries, end - window, end) - allowed);
    }
  g_assert_cmpfloat (excess, <=, 0);
}

/* Simulate instances one of which restarts, with a retry attempted after every
   other request.  */
static void
simulate_retries (GRand *rand)
{
  struct jc_budgets *budgets[INSTANCES_MAX];
  unsigned int count = (unsigned int)g_rand_int_range (rand, 3, INSTANCES_MAX);
  int64_t restart = g_rand_int_range (rand, 10000, 50000);

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < count; i++)
    budgets[i] = jc_budgets_new (&settings);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int index = (unsigned int)g_rand_int_range (rand, 0, (int)count);

      if (ms == restart)
        {
          jc_budgets_free (budgets[index]);
          budgets[index] = jc_budgets_new (&settings);
        }
      if (g_rand_int_range (rand, 0, 12) != 0)
        continue;
      jc_budgets_note_request (budgets[index], "s", ms);
      record.requests[ms]++;
      if (g_rand_boolean (rand)
          && jc_budgets_take_retry (budgets[index], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < count; i++)
    jc_budgets_free (budgets[i]);
  check_retries (SLACK);
}

static void
test_retries_in_every_window (void)
{
  GRand *rand = g_rand_new_with_seed (20261204);

  for (int round = 0; round < ROUNDS; round++)
    simulate_retries (rand);
  g_rand_free (rand);
}

/* Maximum requests per second that a cold endpoint may get.  */
static double
cold_bound (void)
{
  return 2.1 * settings.cold_ratio + (double)settings.cold_slack;
}

static unsigned int
max_cold_per_s (int64_t until)
{
  unsigned int most = 0;

  for (int64_t end = MS_PER_S; end <= until; end++)
    most = MAX (most, count_events (record.cold, end - MS_PER_S, end));
  return most;
}

/* Send a request of INSTANCE to the cold endpoint if it may.  */
static void
send_cold (struct jc_budgets *instance, uint64_t incarnation, int64_t ms)
{
  if (!jc_budgets_may_send_cold (instance, "e", incarnation, 2.1, ms))
    return;
  jc_budgets_note_cold_send (instance, "e", ms);
  record.cold[ms]++;
}

/* Guards against a cold endpoint that restarts under its name and gets the full
   bound from the grant holder of each incarnation.  */
static void
test_cold_in_every_second (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct jc_budgets *owners[2]
      = { jc_budgets_new (&settings), jc_budgets_new (&settings) };

  memset (&record, 0, sizeof record);
  for (int i = 0; i < 2; i++)
    jc_budgets_grant (owners[i], "e", 1 + (uint64_t)i);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      int index = g_rand_int_range (rand, 0, 2);

      if (g_rand_int_range (rand, 0, 20) == 0)
        send_cold (owners[index], 1 + (uint64_t)index, ms);
    }
  g_assert_cmpfloat (max_cold_per_s (SECONDS * MS_PER_S), <=, cold_bound ());
  g_assert_cmpuint (count_events (record.cold, 0, SECONDS * MS_PER_S), >,
                    2 * SECONDS);
  jc_budgets_free (owners[0]);
  jc_budgets_free (owners[1]);
  g_rand_free (rand);
}

/* Guards against a full table of grants that is emptied together with the
   counts of what was sent: an endpoint whose grant comes again then gets the
   whole bound once more.  */
static void
test_cold_with_many_grants (void)
{
  struct jc_budgets *owner = jc_budgets_new (&settings);
  unsigned int sent = 0;

  for (uint64_t i = 1; i < COLD_GRANTS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "old%u", (unsigned int)i);
      jc_budgets_grant (owner, name, i);
    }
  for (int round = 0; round < 2; round++)
    {
      jc_budgets_grant (owner, "e", COLD_GRANTS);
      while (jc_budgets_may_send_cold (owner, "e", COLD_GRANTS, 2.1, 0))
        {
          jc_budgets_note_cold_send (owner, "e", 0);
          sent++;
        }
      jc_budgets_grant (owner, "new", COLD_GRANTS + 1);
    }
  g_assert_cmpuint (sent, >, 0);
  g_assert_cmpfloat (sent, <=, cold_bound () / 2);
  /* The grants of the endpoints that started first were dropped.  */
  g_assert_false (jc_budgets_may_send_cold (owner, "old1", 1, 2.1, 0));
  g_assert_true (
      jc_budgets_may_send_cold (owner, "new", COLD_GRANTS + 1, 2.1, 0));
  jc_budgets_free (owner);
}

/* The instances of a region, the incarnation of their processes, and the grants
   in the log.  A grant to the incarnation GRANTED_TO reaches it at
   GRANT_ARRIVES_MS.  */
struct region
{
  struct jc_grants *grants;
  struct jc_budgets *budgets[INSTANCES_MAX];
  uint64_t incarnation[INSTANCES_MAX];
  uint64_t granted_to[INSTANCES_MAX];
  int64_t grant_arrives_ms[INSTANCES_MAX];
};

static void
region_start (struct region *region)
{
  memset (region, 0, sizeof *region);
  memset (&record, 0, sizeof record);
  region->grants = jc_grants_new ();
  for (int i = 0; i < INSTANCES_MAX; i++)
    {
      region->budgets[i] = jc_budgets_new (&settings);
      region->incarnation[i] = 100 + (uint64_t)i;
    }
}

/* The process of instance INDEX is replaced by a new one.  */
static void
region_restart (struct region *region, int index)
{
  jc_budgets_free (region->budgets[index]);
  region->budgets[index] = jc_budgets_new (&settings);
  region->incarnation[index] += 1000;
}

/* A state instance proposes in the log that instance INDEX gets the grant for
   the endpoint.  */
static void
region_propose (struct region *region, int index, int64_t ms, GRand *rand)
{
  char name[] = { (char)('a' + index), '\0' };
  const struct rpc_grant proposal
      = { .endpoint = (char *)"e",
          .endpoint_incarnation = 1,
          .instance = name,
          .instance_incarnation = region->incarnation[index] };
  const struct rpc_grant *granted;
  GString *data = jc_grants_encode (&proposal);

  if (jc_grants_apply (region->grants, jc_str_from_gstring (data), &granted)
      && region->granted_to[index] != region->incarnation[index])
    {
      region->granted_to[index] = region->incarnation[index];
      region->grant_arrives_ms[index] = ms + g_rand_int_range (rand, 1, 1000);
    }
  g_string_free (data, TRUE);
}

/* Instance INDEX tries to send to the endpoint.  */
static void
region_send (struct region *region, int index, int64_t ms)
{
  if (region->granted_to[index] == region->incarnation[index]
      && ms >= region->grant_arrives_ms[index])
    jc_budgets_grant (region->budgets[index], "e", 1);
  send_cold (region->budgets[index], 1, ms);
}

static void
region_end (struct region *region)
{
  jc_grants_free (region->grants);
  for (int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (region->budgets[i]);
}

/* Simulate the return of a region: its instances start within 1.5 s and learn
   of each other up to 1 s later, each at another time.  An instance is proposed
   for the grant while it has heard of none with a higher number, and all try to
   send.  */
static void
simulate_region_return (GRand *rand)
{
  struct region region;
  int64_t start_ms[INSTANCES_MAX];
  int64_t heard_ms[INSTANCES_MAX][INSTANCES_MAX];

  region_start (&region);
  for (int i = 0; i < INSTANCES_MAX; i++)
    start_ms[i] = g_rand_int_range (rand, 0, 1500);
  for (int i = 0; i < INSTANCES_MAX; i++)
    for (int j = 0; j < INSTANCES_MAX; j++)
      heard_ms[i][j]
          = MAX (start_ms[i], start_ms[j]) + g_rand_int_range (rand, 100, 1000);
  for (int64_t ms = 0; ms < 8 * MS_PER_S; ms++)
    for (int i = 0; i < INSTANCES_MAX; i++)
      {
        bool proposed = ms >= start_ms[i];

        /* Among the known instances, the one with the highest number is
           proposed.  */
        for (int j = i + 1; j < INSTANCES_MAX; j++)
          proposed = proposed && ms < heard_ms[i][j];
        if (proposed)
          region_propose (&region, i, ms, rand);
        if (ms >= start_ms[i])
          region_send (&region, i, ms);
      }
  g_assert_cmpfloat (max_cold_per_s (8 * MS_PER_S), <=, cold_bound ());
  g_assert_cmpuint (count_events (record.cold, 0, 8 * MS_PER_S), >, 6);
  region_end (&region);
}

/* Guards against instances of a returning region that each take the grant for a
   cold endpoint because their views of the group differ.  */
static void
test_cold_while_region_returns (void)
{
  GRand *rand = g_rand_new_with_seed (29908);

  for (int round = 0; round < ROUNDS; round++)
    simulate_region_return (rand);
  g_rand_free (rand);
}

/* Simulate a stop of a region's only state instance, so its instances receive
   no heartbeats of each other for 6 s; a cold endpoint appears in the meantime.
   Instances heard of within 3 s count as alive; one that knows of no other is
   proposed for the grant.  All of them try to send, and some restart.  */
static void
simulate_lost_heartbeats (GRand *rand)
{
  const int64_t lost_from_ms = 2 * MS_PER_S;
  const int64_t lost_until_ms = 8 * MS_PER_S;
  struct region region;
  int64_t cold_from = g_rand_int_range (rand, 0, 9000);

  region_start (&region);
  for (int64_t ms = 0; ms < 12 * MS_PER_S; ms++)
    for (int i = 0; i < INSTANCES_MAX; i++)
      {
        bool heard_recently = ms < lost_from_ms + 3000 || ms >= lost_until_ms;

        if (ms < cold_from || g_rand_int_range (rand, 0, 10) != 0)
          continue;
        if (!heard_recently || i == INSTANCES_MAX - 1)
          region_propose (&region, i, ms, rand);
        region_send (&region, i, ms);
        if (g_rand_int_range (rand, 0, 2000) == 0)
          region_restart (&region, i);
      }
  g_assert_cmpfloat (max_cold_per_s (12 * MS_PER_S), <=, cold_bound ());
  region_end (&region);
}

/* Guards against instances that each take the grant for a cold endpoint as soon
   as they hear from no others.  */
static void
test_cold_without_heartbeats (void)
{
  GRand *rand = g_rand_new_with_seed (1119);

  for (int round = 0; round < ROUNDS; round++)
    simulate_lost_heartbeats (rand);
  g_rand_free (rand);
}

/* Checking whether a request may be sent spends nothing.  Without a grant, or
   with a grant for another incarnation, none may be.  */
static void
test_check_spends_nothing (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&settings);

  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 5, 2.1, 0));
  g_assert_true (jc_budgets_grant (budgets, "e", 5));
  g_assert_false (jc_budgets_grant (budgets, "e", 5));
  for (int i = 0; i < 100; i++)
    g_assert_true (jc_budgets_may_send_cold (budgets, "e", 5, 2.1, 0));
  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 4, 2.1, 0));
  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 6, 2.1, 0));
  jc_budgets_free (budgets);
}

/* A new process spends only what its own requests earned, and only within a
   window.  */
static void
test_earned_before_spent (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&settings);
  int retries = 0;

  g_assert_false (jc_budgets_take_retry (budgets, "s", 0));
  for (int ms = 0; ms < 1000; ms++)
    {
      jc_budgets_note_request (budgets, "s", ms);
      retries += jc_budgets_take_retry (budgets, "s", ms) ? 1 : 0;
    }
  g_assert_cmpint (retries, >=, 99);
  g_assert_cmpint (retries, <=, 100);
  for (int ms = 1000; ms < 1100; ms++)
    jc_budgets_note_request (budgets, "s", ms);
  g_assert_false (jc_budgets_take_retry (budgets, "t", 1100));
  g_assert_true (jc_budgets_take_retry (budgets, "s", 1100));
  g_assert_cmpfloat (jc_budgets_retries_left (budgets, "s", 1100), >, 8);
  g_assert_true (jc_budgets_take_retry (budgets, "s", 11100));
  g_assert_false (jc_budgets_take_retry (budgets, "s", 11100));
  jc_budgets_free (budgets);
}

/* Guards against a service with few requests never getting a retry: one request
   every 2 s earns a retry in 20 s.  */
static void
test_few_requests (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&settings);
  int retries = 0;

  for (int ms = 0; ms < SECONDS * MS_PER_S; ms += 2000)
    {
      jc_budgets_note_request (budgets, "s", ms);
      retries += jc_budgets_take_retry (budgets, "s", ms) ? 1 : 0;
    }
  g_assert_cmpint (retries, ==, 3);
  jc_budgets_free (budgets);
}

/* All instances start, and a retry is attempted after every request.  */
static void
test_all_instances_start (void)
{
  struct jc_budgets *budgets[INSTANCES_MAX];

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    budgets[i] = jc_budgets_new (&settings);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int index = (unsigned int)(ms % INSTANCES_MAX);

      jc_budgets_note_request (budgets[index], "s", ms);
      record.requests[ms]++;
      if (jc_budgets_take_retry (budgets[index], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries (SLACK);
}

/* All instances restart at the same time after each has spent its retries.  */
static void
test_all_instances_restart (void)
{
  struct jc_budgets *budgets[INSTANCES_MAX] = { NULL };
  int64_t restart_interval = 20 * MS_PER_S;

  memset (&record, 0, sizeof record);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int index = (unsigned int)(ms % INSTANCES_MAX);

      for (unsigned int i = 0; i < INSTANCES_MAX && ms % restart_interval == 0;
           i++)
        {
          jc_budgets_free (budgets[i]);
          budgets[i] = jc_budgets_new (&settings);
        }
      jc_budgets_note_request (budgets[index], "s", ms);
      record.requests[ms]++;
      if (ms % restart_interval > 15 * MS_PER_S
          || ms % restart_interval < 9 * MS_PER_S)
        record.retries[ms]
            += jc_budgets_take_retry (budgets[index], "s", ms) ? 1 : 0;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries (SLACK);
  g_assert_cmpuint (count_events (record.retries, 0, SECONDS * MS_PER_S), >,
                    3000);
}

/* Many instances with few random requests each, whose peaks don't coincide.
   More retries are attempted than allowed.  */
static void
test_many_instances (void)
{
  struct jc_budgets *budgets[MANY_INSTANCES];
  GRand *rand = g_rand_new_with_seed (5126);

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < MANY_INSTANCES; i++)
    budgets[i] = jc_budgets_new (&settings);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int index
          = (unsigned int)g_rand_int_range (rand, 0, MANY_INSTANCES);

      if (g_rand_boolean (rand))
        continue;
      jc_budgets_note_request (budgets[index], "s", ms);
      record.requests[ms]++;
      if (jc_budgets_take_retry (budgets[index], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < MANY_INSTANCES; i++)
    jc_budgets_free (budgets[i]);
  g_rand_free (rand);
  check_retries (MANY_INSTANCES_SLACK);
  check_retries_by_largest_window (MANY_INSTANCES);
  /* Half of the ratio is always available.  */
  g_assert_cmpfloat (
      count_events (record.retries, 0, SECONDS * MS_PER_S), >,
      0.95 * settings.retry_ratio / 2
          * count_events (record.requests, 0, SECONDS * MS_PER_S));
}

/* Simulate instances that all restart while they are cut off from each other,
   so none knows how many there are.  Load varies; retries pause for a while and
   then come in bursts.  The slack of the bound is one retry per instance.  */
static void
simulate_split (GRand *rand)
{
  struct jc_budgets *budgets[INSTANCES_MAX];
  int64_t restart_ms = g_rand_int_range (rand, 5000, 20000);
  int64_t idle_until = 0;
  int64_t burst_until = 0;
  int gap = 1;

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    budgets[i] = jc_budgets_new (&settings);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int index
          = (unsigned int)g_rand_int_range (rand, 0, INSTANCES_MAX);

      for (unsigned int i = 0; i < INSTANCES_MAX && ms == restart_ms; i++)
        {
          jc_budgets_free (budgets[i]);
          budgets[i] = jc_budgets_new (&settings);
        }
      if (ms >= burst_until)
        {
          idle_until = ms + g_rand_int_range (rand, 0, 12000);
          burst_until = idle_until + g_rand_int_range (rand, 100, 6000);
          gap = g_rand_int_range (rand, 1, 40);
        }
      if (ms % gap == 0)
        {
          jc_budgets_note_request (budgets[index], "s", ms);
          record.requests[ms]++;
        }
      if (ms >= idle_until && jc_budgets_take_retry (budgets[index], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries_by_largest_window (INSTANCES_MAX);
}

/* Guards against sharing the slack only among the instances that are known.  */
static void
test_retries_while_group_is_split (void)
{
  GRand *rand = g_rand_new_with_seed (1910);

  for (int round = 0; round < ROUNDS; round++)
    simulate_split (rand);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/budget/retries-in-every-window",
                   test_retries_in_every_window);
  g_test_add_func ("/budget/cold-in-every-second", test_cold_in_every_second);
  g_test_add_func ("/budget/cold-with-many-grants", test_cold_with_many_grants);
  g_test_add_func ("/budget/cold-while-region-returns",
                   test_cold_while_region_returns);
  g_test_add_func ("/budget/cold-without-heartbeats",
                   test_cold_without_heartbeats);
  g_test_add_func ("/budget/check-spends-nothing", test_check_spends_nothing);
  g_test_add_func ("/budget/earned-before-spent", test_earned_before_spent);
  g_test_add_func ("/budget/few-requests", test_few_requests);
  g_test_add_func ("/budget/all-instances-start", test_all_instances_start);
  g_test_add_func ("/budget/all-instances-restart", test_all_instances_restart);
  g_test_add_func ("/budget/many-instances", test_many_instances);
  g_test_add_func ("/budget/retries-while-group-is-split",
                   test_retries_while_group_is_split);
  return g_test_run ();
}
