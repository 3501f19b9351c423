/* Tests of budgets that all entry instances share: the sum over instances is
   checked against the bound itself, in every window, on virtual time.  */

#include <glib.h>
#include <string.h>

#include "member/grants.h"
#include "serve/budget.h"

enum
{
  INSTANCES_MAX = 9,
  MANY = 79,
  /* The slack of the stated bound: of nine instances, and of many.  */
  SLACK = 54,
  MANY_SLACK = 186,
  SECONDS = 60,
  MS_PER_S = 1000,
  ROUNDS = 40
};

static const struct jc_budget_settings terms = { .retry_ratio = 0.2,
                                                 .retry_window_ms = 10000,
                                                 .cold_ratio = 1.5,
                                                 .cold_slack = 3 };

/* What happened in each ms, over all instances.  */
struct record
{
  unsigned short requests[SECONDS * MS_PER_S];
  unsigned short retries[SECONDS * MS_PER_S];
  unsigned short cold[SECONDS * MS_PER_S];
};

static struct record record;

static unsigned int
sum (const unsigned short *counts, int64_t from, int64_t to)
{
  unsigned int all = 0;

  for (int64_t ms = MAX (from, 0); ms < to; ms++)
    all += counts[ms];
  return all;
}

/* Check every window of 10 s that ends on a tenth of a second.  */
static void
check_retries (int64_t slack)
{
  int64_t window = terms.retry_window_ms;

  for (int64_t end = 100; end <= SECONDS * MS_PER_S; end += 100)
    {
      double requests = sum (record.requests, end - window, end);

      g_assert_cmpfloat (sum (record.retries, end - window, end), <=,
                         terms.retry_ratio * requests + (double)slack);
    }
}

/* Check every window of 10 s against the requests of that window, of the one
   before it or of the one half a window before it, whichever has most.  */
static void
check_retries_by_most (int64_t slack)
{
  int64_t window = terms.retry_window_ms;
  double over = 0;

  for (int64_t end = window; end <= SECONDS * MS_PER_S; end += 100)
    {
      double here = sum (record.requests, end - window, end);
      double before = sum (record.requests, end - 2 * window, end - window);
      double half
          = sum (record.requests, end - window * 3 / 2, end - window / 2);
      double allowed
          = terms.retry_ratio * MAX (MAX (here, before), half) + (double)slack;

      over = MAX (over, sum (record.retries, end - window, end) - allowed);
    }
  g_assert_cmpfloat (over, <=, 0);
}

/* One draw of instances that come late, are cut off, restart and are asked
   for a retry after every other request.  */
static void
play_retries (GRand *rand)
{
  struct jc_budgets *budgets[INSTANCES_MAX];
  unsigned int count = (unsigned int)g_rand_int_range (rand, 3, INSTANCES_MAX);
  int64_t restart = g_rand_int_range (rand, 10000, 50000);

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < count; i++)
    budgets[i] = jc_budgets_new (&terms);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int at = (unsigned int)g_rand_int_range (rand, 0, (int)count);

      if (ms == restart)
        {
          jc_budgets_free (budgets[at]);
          budgets[at] = jc_budgets_new (&terms);
        }
      if (g_rand_int_range (rand, 0, 12) != 0)
        continue;
      jc_budgets_note_request (budgets[at], "s", ms);
      record.requests[ms]++;
      if (g_rand_boolean (rand) && jc_budgets_take_retry (budgets[at], "s", ms))
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
    play_retries (rand);
  g_rand_free (rand);
}

/* Most requests in a second that a cold endpoint may get.  */
static double
cold_bound (void)
{
  return 2.1 * terms.cold_ratio + (double)terms.cold_slack;
}

static unsigned int
most_cold (int64_t until)
{
  unsigned int most = 0;

  for (int64_t end = MS_PER_S; end <= until; end++)
    most = MAX (most, sum (record.cold, end - MS_PER_S, end));
  return most;
}

/* Send INSTANCE's next request to the cold endpoint, if it may.  */
static void
send_cold (struct jc_budgets *instance, uint64_t incarnation, int64_t ms)
{
  if (!jc_budgets_may_send_cold (instance, "e", incarnation, 2.1, ms))
    return;
  jc_budgets_note_cold_send (instance, "e", ms);
  record.cold[ms]++;
}

/* Guards against a cold endpoint that starts again under its name and gets the
   full bound from the owner of each incarnation.  */
static void
test_cold_in_every_second (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct jc_budgets *owners[2]
      = { jc_budgets_new (&terms), jc_budgets_new (&terms) };

  memset (&record, 0, sizeof record);
  for (int i = 0; i < 2; i++)
    jc_budgets_grant (owners[i], "e", 1 + (uint64_t)i);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      int at = g_rand_int_range (rand, 0, 2);

      if (g_rand_int_range (rand, 0, 20) == 0)
        send_cold (owners[at], 1 + (uint64_t)at, ms);
    }
  g_assert_cmpfloat (most_cold (SECONDS * MS_PER_S), <=, cold_bound ());
  g_assert_cmpuint (sum (record.cold, 0, SECONDS * MS_PER_S), >, 2 * SECONDS);
  jc_budgets_free (owners[0]);
  jc_budgets_free (owners[1]);
  g_rand_free (rand);
}

/* The instances of a region, each with the process that it runs, and the
   grants that the log came to.  What GRANTED_TO, a process, was granted reaches
   it at ARRIVES.  */
struct region
{
  struct jc_grants *grants;
  struct jc_budgets *budgets[INSTANCES_MAX];
  uint64_t process[INSTANCES_MAX];
  uint64_t granted_to[INSTANCES_MAX];
  int64_t arrives[INSTANCES_MAX];
};

static void
region_start (struct region *region)
{
  memset (region, 0, sizeof *region);
  memset (&record, 0, sizeof record);
  region->grants = jc_grants_new ();
  for (int i = 0; i < INSTANCES_MAX; i++)
    {
      region->budgets[i] = jc_budgets_new (&terms);
      region->process[i] = 100 + (uint64_t)i;
    }
}

/* The process of instance AT ends and another one starts.  */
static void
region_restart (struct region *region, int at)
{
  jc_budgets_free (region->budgets[at]);
  region->budgets[at] = jc_budgets_new (&terms);
  region->process[at] += 1000;
}

/* A state instance takes instance AT for the one to send to the endpoint, and
   has the log decide.  */
static void
region_propose (struct region *region, int at, int64_t ms, GRand *rand)
{
  char name[] = { (char)('a' + at), '\0' };
  const struct rpc_grant asked
      = { .endpoint = (char *)"e",
          .endpoint_incarnation = 1,
          .instance = name,
          .instance_incarnation = region->process[at] };
  const struct rpc_grant *granted;
  GString *data = jc_grants_encode (&asked);

  if (jc_grants_apply (region->grants, jc_str_of (data), &granted)
      && region->granted_to[at] != region->process[at])
    {
      region->granted_to[at] = region->process[at];
      region->arrives[at] = ms + g_rand_int_range (rand, 1, 1000);
    }
  g_string_free (data, TRUE);
}

/* Instance AT wants to send to the endpoint.  */
static void
region_want (struct region *region, int at, int64_t ms)
{
  if (region->granted_to[at] == region->process[at]
      && ms >= region->arrives[at])
    jc_budgets_grant (region->budgets[at], "e", 1);
  send_cold (region->budgets[at], 1, ms);
}

static void
region_end (struct region *region)
{
  jc_grants_free (region->grants);
  for (int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (region->budgets[i]);
}

/* A region comes back: its instances start within 1.5 s and hear of each other
   up to 1 s later, each at another time.  By what each of them hears one after
   the other is taken for the one to send, and all want to.  */
static void
play_return (GRand *rand)
{
  struct region region;
  int64_t start[INSTANCES_MAX];
  int64_t heard[INSTANCES_MAX][INSTANCES_MAX];

  region_start (&region);
  for (int i = 0; i < INSTANCES_MAX; i++)
    start[i] = g_rand_int_range (rand, 0, 1500);
  for (int i = 0; i < INSTANCES_MAX; i++)
    for (int j = 0; j < INSTANCES_MAX; j++)
      heard[i][j]
          = MAX (start[i], start[j]) + g_rand_int_range (rand, 100, 1000);
  for (int64_t ms = 0; ms < 8 * MS_PER_S; ms++)
    for (int i = 0; i < INSTANCES_MAX; i++)
      {
        bool chosen = ms >= start[i];

        /* The one with the greatest number known is chosen.  */
        for (int j = i + 1; j < INSTANCES_MAX; j++)
          chosen = chosen && ms < heard[i][j];
        if (chosen)
          region_propose (&region, i, ms, rand);
        if (ms >= start[i])
          region_want (&region, i, ms);
      }
  g_assert_cmpfloat (most_cold (8 * MS_PER_S), <=, cold_bound ());
  g_assert_cmpuint (sum (record.cold, 0, 8 * MS_PER_S), >, 6);
  region_end (&region);
}

/* Guards against instances of a region that comes back and that each take a
   cold endpoint for their own, by another view of the group.  */
static void
test_cold_while_region_returns (void)
{
  GRand *rand = g_rand_new_with_seed (29908);

  for (int round = 0; round < ROUNDS; round++)
    play_return (rand);
  g_rand_free (rand);
}

/* The only state instance of a region stands still, so that its instances hear
   nothing of each other for 6 s; an endpoint that is cold turns up in between.
   Those heard of within 3 s are counted; whoever counts nobody is taken for the
   one to send.  All of them want to, and some start again.  */
static void
play_silence (GRand *rand)
{
  const int64_t silent_from = 2 * MS_PER_S;
  const int64_t silent_to = 8 * MS_PER_S;
  struct region region;
  int64_t cold_from = g_rand_int_range (rand, 0, 9000);

  region_start (&region);
  for (int64_t ms = 0; ms < 12 * MS_PER_S; ms++)
    for (int i = 0; i < INSTANCES_MAX; i++)
      {
        bool counts = ms < silent_from + 3000 || ms >= silent_to;

        if (ms < cold_from || g_rand_int_range (rand, 0, 10) != 0)
          continue;
        if (!counts || i == INSTANCES_MAX - 1)
          region_propose (&region, i, ms, rand);
        region_want (&region, i, ms);
        if (g_rand_int_range (rand, 0, 2000) == 0)
          region_restart (&region, i);
      }
  g_assert_cmpfloat (most_cold (12 * MS_PER_S), <=, cold_bound ());
  region_end (&region);
}

/* Guards against instances that each take a cold endpoint for their own as
   soon as they hear of nobody else.  */
static void
test_cold_while_news_stops (void)
{
  GRand *rand = g_rand_new_with_seed (1119);

  for (int round = 0; round < ROUNDS; round++)
    play_silence (rand);
  g_rand_free (rand);
}

/* Asking whether a request may go spends nothing; without a grant, or with that
   of another incarnation, none may.  */
static void
test_asking_is_free (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&terms);

  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 5, 2.1, 0));
  g_assert_true (jc_budgets_grant (budgets, "e", 5));
  g_assert_false (jc_budgets_grant (budgets, "e", 5));
  for (int i = 0; i < 100; i++)
    g_assert_true (jc_budgets_may_send_cold (budgets, "e", 5, 2.1, 0));
  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 4, 2.1, 0));
  g_assert_false (jc_budgets_may_send_cold (budgets, "e", 6, 2.1, 0));
  jc_budgets_free (budgets);
}

/* A process that has just started spends what its own requests earned, and
   that for no longer than a window.  */
static void
test_earned_first (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&terms);
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

/* Guards against callers of a service with few requests who never get a
   retry: one each 2 s earns one in 20 s.  */
static void
test_few_requests (void)
{
  struct jc_budgets *budgets = jc_budgets_new (&terms);
  int retries = 0;

  for (int ms = 0; ms < SECONDS * MS_PER_S; ms += 2000)
    {
      jc_budgets_note_request (budgets, "s", ms);
      retries += jc_budgets_take_retry (budgets, "s", ms) ? 1 : 0;
    }
  g_assert_cmpint (retries, ==, 3);
  jc_budgets_free (budgets);
}

/* The whole group starts, and all want a retry after every request.  */
static void
test_group_turns_up (void)
{
  struct jc_budgets *budgets[INSTANCES_MAX];

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    budgets[i] = jc_budgets_new (&terms);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int at = (unsigned int)(ms % INSTANCES_MAX);

      jc_budgets_note_request (budgets[at], "s", ms);
      record.requests[ms]++;
      if (jc_budgets_take_retry (budgets[at], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries (SLACK);
}

/* The whole group starts again at once, after each instance has spent what it
   had.  */
static void
test_group_starts_again (void)
{
  struct jc_budgets *budgets[INSTANCES_MAX] = { NULL };
  int64_t again = 20 * MS_PER_S;

  memset (&record, 0, sizeof record);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int at = (unsigned int)(ms % INSTANCES_MAX);

      for (unsigned int i = 0; i < INSTANCES_MAX && ms % again == 0; i++)
        {
          jc_budgets_free (budgets[i]);
          budgets[i] = jc_budgets_new (&terms);
        }
      jc_budgets_note_request (budgets[at], "s", ms);
      record.requests[ms]++;
      if (ms % again > 15 * MS_PER_S || ms % again < 9 * MS_PER_S)
        record.retries[ms]
            += jc_budgets_take_retry (budgets[at], "s", ms) ? 1 : 0;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries (SLACK);
  g_assert_cmpuint (sum (record.retries, 0, SECONDS * MS_PER_S), >, 3000);
}

/* Many instances with few requests each, which come by chance: the moments at
   which they have most don't coincide.  All want more retries than they get. */
static void
test_many_instances (void)
{
  struct jc_budgets *budgets[MANY];
  GRand *rand = g_rand_new_with_seed (5126);

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < MANY; i++)
    budgets[i] = jc_budgets_new (&terms);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int at = (unsigned int)g_rand_int_range (rand, 0, MANY);

      if (g_rand_boolean (rand))
        continue;
      jc_budgets_note_request (budgets[at], "s", ms);
      record.requests[ms]++;
      if (jc_budgets_take_retry (budgets[at], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < MANY; i++)
    jc_budgets_free (budgets[i]);
  g_rand_free (rand);
  check_retries (MANY_SLACK);
  check_retries_by_most (MANY);
  /* Half of the ratio is to be had at any time.  */
  g_assert_cmpfloat (sum (record.retries, 0, SECONDS * MS_PER_S), >,
                     0.95 * terms.retry_ratio / 2
                         * sum (record.requests, 0, SECONDS * MS_PER_S));
}

/* All processes start again inside a cut, so that none could know how many
   there are.  Callers come and go; for a while no retry is wanted, then all at
   once. No slack is needed.  */
static void
play_split (GRand *rand)
{
  struct jc_budgets *budgets[INSTANCES_MAX];
  int64_t cut = g_rand_int_range (rand, 5000, 20000);
  int64_t quiet_until = 0;
  int64_t burst_until = 0;
  int gap = 1;

  memset (&record, 0, sizeof record);
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    budgets[i] = jc_budgets_new (&terms);
  for (int64_t ms = 0; ms < SECONDS * MS_PER_S; ms++)
    {
      unsigned int at = (unsigned int)g_rand_int_range (rand, 0, INSTANCES_MAX);

      for (unsigned int i = 0; i < INSTANCES_MAX && ms == cut; i++)
        {
          jc_budgets_free (budgets[i]);
          budgets[i] = jc_budgets_new (&terms);
        }
      if (ms >= burst_until)
        {
          quiet_until = ms + g_rand_int_range (rand, 0, 12000);
          burst_until = quiet_until + g_rand_int_range (rand, 100, 6000);
          gap = g_rand_int_range (rand, 1, 40);
        }
      if (ms % gap == 0)
        {
          jc_budgets_note_request (budgets[at], "s", ms);
          record.requests[ms]++;
        }
      if (ms >= quiet_until && jc_budgets_take_retry (budgets[at], "s", ms))
        record.retries[ms]++;
    }
  for (unsigned int i = 0; i < INSTANCES_MAX; i++)
    jc_budgets_free (budgets[i]);
  check_retries_by_most (INSTANCES_MAX);
}

/* Guards against instances that share the slack with those alone of whom they
   hear.  */
static void
test_retries_while_group_is_split (void)
{
  GRand *rand = g_rand_new_with_seed (1910);

  for (int round = 0; round < ROUNDS; round++)
    play_split (rand);
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
  g_test_add_func ("/budget/cold-while-region-returns",
                   test_cold_while_region_returns);
  g_test_add_func ("/budget/cold-while-news-stops", test_cold_while_news_stops);
  g_test_add_func ("/budget/asking-is-free", test_asking_is_free);
  g_test_add_func ("/budget/earned-first", test_earned_first);
  g_test_add_func ("/budget/few-requests", test_few_requests);
  g_test_add_func ("/budget/group-turns-up", test_group_turns_up);
  g_test_add_func ("/budget/group-starts-again", test_group_starts_again);
  g_test_add_func ("/budget/many-instances", test_many_instances);
  g_test_add_func ("/budget/retries-while-group-is-split",
                   test_retries_while_group_is_split);
  return g_test_run ();
}
