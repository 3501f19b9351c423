/* Tests of which reports of endpoints the followers hear at once, and of the
   sum of what a state instance sends for them to all followers.  */

#include <glib.h>

#include "member/fleetnews.h"

enum
{
  ENDPOINTS = 500,
  FOLLOWERS = 100,
  REPORT_INTERVAL_MS = 500,
  /* Interval of the batches.  */
  BATCH_MS = 250,
  COLD_MS = 3000,
  LEASE_MS = 2500,
  SIMULATED_MS = 10000,
  /* Longest way of a report to the state instance.  */
  WAY_MAX_MS = 60,
  START_MS = 1000000
};

/* An endpoint that is cold until WARM_MS by the clock here, and what a follower
   that has heard every message takes for that.  */
struct case_endpoint
{
  char *name;
  char *address;
  uint64_t sequence;
  int64_t warm_ms;
  int64_t believed_warm_ms;
};

static struct rpc_endpoint
make_report (struct case_endpoint *endpoint, int64_t sent_ms)
{
  return (struct rpc_endpoint){ .name = endpoint->name,
                                .incarnation = START_MS,
                                .sequence = ++endpoint->sequence,
                                .address = endpoint->address,
                                .service = (char *)"chat",
                                .zone = (char *)"ost-1",
                                .role = (char *)"",
                                .slots = 16,
                                .lease_ms = LEASE_MS,
                                .cold_ms
                                = (u_int)MAX (endpoint->warm_ms - sent_ms, 0) };
}

/* Let ENDPOINT report to TABLE at SENT_MS, by a way of WAY_MS.  Return how many
   messages go to the followers at once.  */
static unsigned int
play_report (struct jc_endpoints *table, struct case_endpoint *endpoint,
             int64_t sent_ms, int64_t way_ms)
{
  struct rpc_endpoint report = make_report (endpoint, sent_ms);
  int64_t now_ms = sent_ms + way_ms;
  bool is_news = jc_fleetnews_is_news (
      jc_endpoints_find (table, endpoint->name), &report, now_ms);

  g_assert_cmpint (jc_endpoints_update (table, &report, now_ms), ==, JC_OK);
  if (!is_news)
    return 0;
  endpoint->believed_warm_ms = now_ms + report.cold_ms;
  return FOLLOWERS;
}

static void
endpoint_init (struct case_endpoint *endpoint, unsigned int number)
{
  *endpoint = (struct case_endpoint){
    .name = g_strdup_printf ("engine-%u", number),
    .address = g_strdup_printf ("10.0.%u.%u:80", number / 250, number % 250),
    .warm_ms = START_MS + COLD_MS
  };
}

static void
endpoint_clear (struct case_endpoint *endpoint)
{
  g_free (endpoint->name);
  g_free (endpoint->address);
}

/* Let the followers hear all ENDPOINTS by a batch at NOW_MS.  Return how many
   messages that takes: one to each of them.  */
static unsigned int
play_batch (struct jc_endpoints *table, struct case_endpoint *endpoints,
            int64_t now_ms)
{
  for (unsigned int i = 0; i < ENDPOINTS; i++)
    {
      const struct jc_endpoint *known
          = jc_endpoints_find (table, endpoints[i].name);

      if (jc_fleetnews_needs_row (known, now_ms))
        endpoints[i].believed_warm_ms = known->warm_at_ms;
    }
  return FOLLOWERS;
}

/* Forget what followers know, as by an answer that was sent while the endpoint
   was warm and comes late.  */
static void
take_all_for_warm (struct case_endpoint *endpoints)
{
  for (unsigned int i = 0; i < ENDPOINTS; i++)
    endpoints[i].believed_warm_ms = START_MS;
}

static void
check_beliefs (const struct case_endpoint *endpoints)
{
  for (unsigned int i = 0; i < ENDPOINTS; i++)
    {
      g_assert_cmpint (endpoints[i].believed_warm_ms, >=, endpoints[i].warm_ms);
      g_assert_cmpint (endpoints[i].believed_warm_ms, <=,
                       endpoints[i].warm_ms + WAY_MAX_MS);
    }
}

/* All endpoints start cold at the same time and report until they are warm and
   after that.  All followers together hear of each of them at once one time,
   and of the rest by batches, which correct what a late answer told.  */
static void
test_sum_over_followers (void)
{
  struct jc_endpoints *table = jc_endpoints_new ();
  struct case_endpoint *all = g_new0 (struct case_endpoint, ENDPOINTS);
  unsigned int at_once = 0;
  unsigned int batched = 0;

  for (unsigned int i = 0; i < ENDPOINTS; i++)
    endpoint_init (&all[i], i);
  for (int64_t at = 0; at < SIMULATED_MS; at += REPORT_INTERVAL_MS)
    {
      for (unsigned int i = 0; i < ENDPOINTS; i++)
        at_once += play_report (table, &all[i], START_MS + at,
                                (i * 7 + at / REPORT_INTERVAL_MS * 13)
                                    % WAY_MAX_MS);
      check_beliefs (all);
      if (at + REPORT_INTERVAL_MS < COLD_MS)
        take_all_for_warm (all);
      batched += play_batch (table, all, START_MS + at + BATCH_MS);
      check_beliefs (all);
      batched += play_batch (table, all, START_MS + at + 2 * BATCH_MS);
    }
  g_assert_cmpuint (at_once, ==, ENDPOINTS * FOLLOWERS);
  g_assert_cmpuint (batched, ==, SIMULATED_MS / BATCH_MS * FOLLOWERS);
  for (unsigned int i = 0; i < ENDPOINTS; i++)
    endpoint_clear (&all[i]);
  g_free (all);
  jc_endpoints_free (table);
}

/* An endpoint that becomes cold again, that stays cold for longer than it said,
   or that becomes warm sooner, is news each time.  */
static void
test_other_times (void)
{
  struct jc_endpoints *table = jc_endpoints_new ();
  struct case_endpoint one;
  int64_t at = START_MS;

  endpoint_init (&one, 1);
  g_assert_cmpuint (play_report (table, &one, at, 10), ==, FOLLOWERS);
  one.warm_ms += JC_FLEETNEWS_WARM_DIFFERENCE_MS + 1;
  g_assert_cmpuint (play_report (table, &one, at += 500, 10), ==, FOLLOWERS);
  one.warm_ms -= JC_FLEETNEWS_WARM_DIFFERENCE_MS + 1;
  g_assert_cmpuint (play_report (table, &one, at += 500, 10), ==, FOLLOWERS);
  at = one.warm_ms + 500;
  g_assert_cmpuint (play_report (table, &one, at, 10), ==, 0);
  one.warm_ms = at + 500 + COLD_MS;
  g_assert_cmpuint (play_report (table, &one, at += 500, 10), ==, FOLLOWERS);
  g_assert_cmpuint (play_report (table, &one, at += 500, 10), ==, 0);
  endpoint_clear (&one);
  jc_endpoints_free (table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleetnews/sum-over-followers", test_sum_over_followers);
  g_test_add_func ("/fleetnews/other-times", test_other_times);
  return g_test_run ();
}
