/* Tests of the decision to send a request to another region, and of the share
   sent with the weights and links of both deployments.  */

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
  WEIGHT_LOW = 1,
  WEIGHT_MIDDLE = 10,
  WEIGHT_HIGH = 20
};

static const struct jc_link fast
    = { .name = "fast", .bytes_per_s = 250000000, .latency_ms = 80 };
static const struct jc_link slow
    = { .name = "slow", .bytes_per_s = 17500000, .latency_ms = 80 };
static const struct jc_capacity free_capacity
    = { .endpoints = 4, .free_slots = 9 };

static struct jc_spillover_query
query_of (int64_t local_ms, int64_t weight)
{
  return (struct jc_spillover_query){ .time_left_ms = DEADLINE_MS,
                                      .local_finish_ms = local_ms,
                                      .service_ms = SERVICE_MS,
                                      .cold_cache_ms = SERVICE_MS / 4,
                                      .transfer_bytes = BODY_BYTES,
                                      .weight = weight,
                                      .link_has_room = true,
                                      .link = &fast,
                                      .remote = &free_capacity };
}

static void
test_reasons (void)
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

/* Requests of a simulation of two regions.  */
struct counts
{
  unsigned int offered;
  unsigned int local;
  unsigned int remote;
};

/* Simulate a region with twice the load it can serve and another one at 0.3 of
   its capacity.  Load is modelled as a fluid: in each ms both regions serve
   what their slots allow.  */
static struct counts
simulate_regions (const struct jc_link *link, int64_t weight)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit = { .link_percent = 20 };
  struct counts counts = { 0 };
  double served_per_ms = (double)SLOTS / SERVICE_MS;
  double local_load = 0;
  double remote_load = 0.3 * SLOTS;
  double arrivals = 0;

  for (int64_t now = 0; now < RUN_MS; now++)
    {
      local_load = MAX (local_load - served_per_ms, 0);
      remote_load = MAX (remote_load - served_per_ms * 0.7, 0.3 * SLOTS);
      arrivals += 2 * served_per_ms;
      while (arrivals >= 1)
        {
          int64_t wait = (int64_t)(MAX (local_load - SLOTS, 0) / served_per_ms);
          struct jc_spillover_query query
              = query_of (wait + 2 * SERVICE_MS, weight);
          const struct jc_capacity capacity = {
            .endpoints = 4,
            .free_slots
            = remote_load < SLOTS ? (unsigned int)(SLOTS - remote_load) : 0,
            .expected_wait_ms
            = (unsigned int)(MAX (remote_load - SLOTS, 0) / served_per_ms)
          };

          query.link = link;
          query.remote = &capacity;
          query.link_has_room
              = jc_limits_link_has_room (limits, "p", &limit, link, now);
          arrivals -= 1;
          counts.offered++;
          if (query.local_finish_ms <= query.time_left_ms)
            {
              local_load += 1;
              counts.local++;
            }
          else if (jc_spillover_decide (&query) == JC_SPILLOVER_SEND)
            {
              jc_limits_link_spend (limits, "p", link, BODY_BYTES);
              remote_load += 1;
              counts.remote++;
            }
        }
    }
  jc_limits_free (limits);
  g_test_message (
      "link %d B/s, weight %d: %.3f sent to the other region, %.3f refused",
      (int)link->bytes_per_s, (int)weight,
      (double)counts.remote / counts.offered,
      1 - (double)(counts.local + counts.remote) / counts.offered);
  return counts;
}

/* A high weight sends fewer requests to the other region, a low weight refuses
   fewer, and neither exceeds the product's share of the link.  */
static void
test_spillover_share (void)
{
  struct counts low_weight = simulate_regions (&fast, WEIGHT_LOW);
  struct counts high_weight = simulate_regions (&slow, WEIGHT_HIGH);
  struct counts middle_weight = simulate_regions (&slow, WEIGHT_MIDDLE);
  double budget = (double)slow.bytes_per_s / 5 * (RUN_MS + 500) / 1000;

  g_assert_cmpuint (low_weight.local + low_weight.remote, >=,
                    high_weight.local + high_weight.remote);
  g_assert_cmpuint (high_weight.remote, <, low_weight.remote);
  g_assert_cmpfloat ((double)middle_weight.remote * BODY_BYTES, <=,
                     budget + BODY_BYTES);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reasons", test_reasons);
  g_test_add_func ("/weight", test_weight);
  g_test_add_func ("/spillover-share", test_spillover_share);
  return g_test_run ();
}
