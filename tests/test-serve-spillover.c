/* Tests of the decision to send a request to another region, and the share
   that goes under the weights and links of both deployments.  */

#include <glib.h>

#include "serve/spillover.h"
#include "serve/limit.h"

enum
{
  SERVICE_MS = 400,
  DEADLINE_MS = 5000,
  BODY_BYTES = 20000,
  SLOTS = 32,
  RUN_MS = 60000,
  WEIGHT_TAIL = 1,
  WEIGHT_BETWEEN = 10,
  WEIGHT_SHARE = 20
};

static const struct jc_link fast
    = { .name = "fast", .bytes_per_s = 250000000, .latency_ms = 80 };
static const struct jc_link thin
    = { .name = "thin", .bytes_per_s = 17500000, .latency_ms = 80 };
static const struct jc_capacity roomy = { .endpoints = 4, .free_slots = 9 };

static struct jc_spillover_query
query_of (int64_t here_ms, int64_t weight)
{
  return (struct jc_spillover_query){ .time_left_ms = DEADLINE_MS,
                                      .local_finish_ms = here_ms,
                                      .service_ms = SERVICE_MS,
                                      .cold_cache_ms = SERVICE_MS / 4,
                                      .transfer_bytes = BODY_BYTES,
                                      .weight = weight,
                                      .link_has_room = true,
                                      .link = &fast,
                                      .remote = &roomy };
}

static void
test_stays (void)
{
  const struct jc_capacity none = { 0 };
  const struct jc_capacity busy = { .endpoints = 4, .expected_wait_ms = 9000 };
  struct jc_spillover_query query = query_of (DEADLINE_MS, 1);

  g_assert_cmpint (jc_spillover_decide (&query), ==,
                   JC_SPILLOVER_LOCAL_IN_TIME);
  query = query_of (DEADLINE_MS + 1, 1);
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_SEND);
  query.link = NULL;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_NO_LINK);
  query = query_of (-1, 1);
  query.remote = &none;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_NO_CAPACITY);
  query.remote = &busy;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_REMOTE_LATE);
  query = query_of (-1, 1);
  query.link_has_room = false;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_NO_BUDGET);
}

static void
test_weight (void)
{
  struct jc_spillover_query query = query_of (DEADLINE_MS + 500, 1);

  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_SEND);
  query.weight = 1000;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_NO_GAIN);
  query.local_finish_ms = -1;
  g_assert_cmpint (jc_spillover_decide (&query), ==, JC_SPILLOVER_SEND);
}

/* What a run of two regions came to.  */
struct shares
{
  unsigned int offered;
  unsigned int here;
  unsigned int away;
};

/* Send a region twice its capacity beside one at 0.3 of its own, as fluid:
   each ms the work in both drains at the slots' pace.  */
static struct shares
run_regions (const struct jc_link *link, int64_t weight)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit = { .link_percent = 20 };
  struct shares shares = { 0 };
  double pace = (double)SLOTS / SERVICE_MS;
  double here = 0;
  double there = 0.3 * SLOTS;
  double due = 0;

  for (int64_t now = 0; now < RUN_MS; now++)
    {
      here = MAX (here - pace, 0);
      there = MAX (there - pace * 0.7, 0.3 * SLOTS);
      due += 2 * pace;
      while (due >= 1)
        {
          int64_t wait = (int64_t)(MAX (here - SLOTS, 0) / pace);
          struct jc_spillover_query query
              = query_of (wait + 2 * SERVICE_MS, weight);
          const struct jc_capacity capacity = {
            .endpoints = 4,
            .free_slots = there < SLOTS ? (unsigned int)(SLOTS - there) : 0,
            .expected_wait_ms = (unsigned int)(MAX (there - SLOTS, 0) / pace)
          };

          query.link = link;
          query.remote = &capacity;
          query.link_has_room
              = jc_limits_link_has_room (limits, "p", &limit, link, now);
          due -= 1;
          shares.offered++;
          if (query.local_finish_ms <= query.time_left_ms)
            {
              here += 1;
              shares.here++;
            }
          else if (jc_spillover_decide (&query) == JC_SPILLOVER_SEND)
            {
              jc_limits_link_spend (limits, "p", link, BODY_BYTES);
              there += 1;
              shares.away++;
            }
        }
    }
  jc_limits_free (limits);
  g_test_message ("link %d B/s, weight %d: %.3f sent away, %.3f refused",
                  (int)link->bytes_per_s, (int)weight,
                  (double)shares.away / shares.offered,
                  1 - (double)(shares.here + shares.away) / shares.offered);
  return shares;
}

/* The weight that is for the share sent away sends less, the one for the tail
   refuses less, and neither sends what the budget of its link forbids.  */
static void
test_shares (void)
{
  struct shares tail = run_regions (&fast, WEIGHT_TAIL);
  struct shares share = run_regions (&thin, WEIGHT_SHARE);
  struct shares between = run_regions (&thin, WEIGHT_BETWEEN);
  double budget = (double)thin.bytes_per_s / 5 * (RUN_MS + 500) / 1000;

  g_assert_cmpuint (tail.here + tail.away, >=, share.here + share.away);
  g_assert_cmpuint (share.away, <, tail.away);
  g_assert_cmpfloat ((double)between.away * BODY_BYTES, <=,
                     budget + BODY_BYTES);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stays", test_stays);
  g_test_add_func ("/weight", test_weight);
  g_test_add_func ("/shares", test_shares);
  return g_test_run ();
}
