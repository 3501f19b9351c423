/* Tests of limits, the queue and admission control.  */

#include <glib.h>
#include <string.h>

#include "serve/admit.h"
#include "serve/limit.h"
#include "serve/queue.h"

static void
test_rate (void)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit = { .requests_per_s = 10, .burst = 2 };
  int64_t retry_after_ms = 0;

  g_assert_cmpint (jc_limits_admit (limits, "p", &limit, 0, &retry_after_ms),
                   ==, JC_OK);
  g_assert_cmpint (jc_limits_admit (limits, "p", &limit, 0, &retry_after_ms),
                   ==, JC_OK);
  g_assert_cmpint (jc_limits_admit (limits, "p", &limit, 0, &retry_after_ms),
                   ==, JC_RATE_LIMITED);
  g_assert_cmpint (retry_after_ms, >=, 100);
  g_assert_cmpint (
      jc_limits_admit (limits, "other", &limit, 0, &retry_after_ms), ==, JC_OK);
  g_assert_cmpint (
      jc_limits_admit (limits, "p", &limit, retry_after_ms, &retry_after_ms),
      ==, JC_OK);
  jc_limits_free (limits);
}

static void
test_retries (void)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit
      = { .requests_per_s = 1000, .burst = 1000, .retry_percent = 20 };
  const struct jc_limit none = { .retry_percent = 0 };
  int64_t retry_after_ms;
  int granted = 0;

  for (int i = 0; i < 100; i++)
    jc_limits_admit (limits, "p", &limit, 0, &retry_after_ms);
  for (int i = 0; i < 100; i++)
    granted += jc_limits_take_retry (limits, "p", &limit, 0);
  g_assert_cmpint (granted, >=, 20);
  g_assert_cmpint (granted, <=, 25);
  g_assert_false (jc_limits_take_retry (limits, "q", &none, 0));
  jc_limits_free (limits);
}

static void
test_concurrency (void)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit = { .concurrency = 1 };

  g_assert_true (jc_limits_has_room (limits, "p", &limit));
  jc_limits_start (limits, "p");
  g_assert_false (jc_limits_has_room (limits, "p", &limit));
  g_assert_true (jc_limits_has_room (limits, "q", &limit));
  jc_limits_finish (limits, "p");
  g_assert_true (jc_limits_has_room (limits, "p", &limit));
  jc_limits_free (limits);
}

static void
test_link_share (void)
{
  struct jc_limits *limits = jc_limits_new ();
  const struct jc_limit limit = { .link_percent = 10 };
  const struct jc_link link = { .name = "l", .bytes_per_s = 1000000 };

  g_assert_true (jc_limits_link_has_room (limits, "p", &limit, &link, 0));
  jc_limits_link_spend (limits, "p", &link, 150000);
  g_assert_false (jc_limits_link_has_room (limits, "p", &limit, &link, 500));
  g_assert_true (jc_limits_link_has_room (limits, "q", &limit, &link, 500));
  g_assert_true (jc_limits_link_has_room (limits, "p", &limit, &link, 1001));
  jc_limits_free (limits);
}

static bool
any_ready (void *ctx, const struct jc_waiter *waiter)
{
  return ctx == NULL || strcmp (ctx, waiter->product) != 0;
}

static void
test_queue_order (void)
{
  struct jc_queue *queue = jc_queue_new (100);
  struct jc_waiter third = { .product = "p", .level = 1, .deadline_ms = 900 };
  struct jc_waiter second = { .product = "p", .level = 1, .deadline_ms = 500 };
  struct jc_waiter first = { .product = "p", .level = 0, .deadline_ms = 999 };
  struct jc_waiter too_big = { .product = "q", .bytes = 101 };
  struct jc_waiter too_many = { .product = "p" };

  g_assert_cmpint (jc_queue_push (queue, &third, 3), ==, JC_OK);
  g_assert_cmpint (jc_queue_push (queue, &second, 3), ==, JC_OK);
  g_assert_cmpint (jc_queue_push (queue, &first, 3), ==, JC_OK);
  g_assert_cmpint (jc_queue_push (queue, &too_many, 3), ==, JC_OVERLOADED);
  g_assert_cmpint (jc_queue_push (queue, &too_big, 3), ==, JC_OVERLOADED);
  g_assert_true (jc_queue_find_late (queue, 501) == &second);
  g_assert_null (jc_queue_find_late (queue, 500));
  g_assert_null (jc_queue_pop (queue, any_ready, "p"));
  g_assert_true (jc_queue_pop (queue, any_ready, NULL) == &first);
  g_assert_true (jc_queue_pop (queue, any_ready, NULL) == &second);
  jc_queue_remove (queue, &third);
  g_assert_null (jc_queue_pop (queue, any_ready, NULL));
  jc_queue_free (queue);
}

/* A product with ten times the requests gets no more than its share, and a
   product that joins later is not queued behind it.  */
static void
test_fair_queuing (void)
{
  struct jc_queue *queue = jc_queue_new (1000);
  struct jc_waiter busy_product[100] = { 0 };
  struct jc_waiter late_product[10] = { 0 };
  const struct jc_waiter probe = { .product = "few", .weight = 1 };
  int served = 0;

  for (int i = 0; i < 100; i++)
    {
      busy_product[i] = (struct jc_waiter){ .product = "many", .weight = 1 };
      g_assert_cmpint (jc_queue_push (queue, &busy_product[i], 100), ==, JC_OK);
    }
  g_assert_cmpuint (jc_queue_ahead (queue, &probe), <=, 1);
  for (int i = 0; i < 10; i++)
    {
      late_product[i] = (struct jc_waiter){ .product = "few", .weight = 1 };
      g_assert_cmpint (jc_queue_push (queue, &late_product[i], 100), ==, JC_OK);
    }
  for (int i = 0; i < 20; i++)
    served
        += strcmp (jc_queue_pop (queue, any_ready, NULL)->product, "few") == 0;
  g_assert_cmpint (served, >=, 9);
  jc_queue_free (queue);
}

static void
test_admit (void)
{
  const struct jc_endpoint_pool idle = { .endpoints = 1,
                                         .slots = 4,
                                         .load = 1,
                                         .service_ms = 100,
                                         .served_per_ms = 0.04,
                                         .has_room = 1 };
  const struct jc_endpoint_pool full = { .endpoints = 1,
                                         .slots = 4,
                                         .load = 40,
                                         .service_ms = 100,
                                         .served_per_ms = 0.04 };
  int64_t retry_after_ms = 0;

  g_assert_cmpint (jc_admit_decide (&idle, 0, 1000, &retry_after_ms), ==,
                   JC_ADMIT_RUN);
  g_assert_cmpint (jc_admit_decide (&idle, 1, 1000, &retry_after_ms), ==,
                   JC_ADMIT_WAIT);
  g_assert_cmpint (jc_admit_decide (&full, 0, 2000, &retry_after_ms), ==,
                   JC_ADMIT_WAIT);
  g_assert_cmpint (jc_admit_decide (&full, 0, 500, &retry_after_ms), ==,
                   JC_ADMIT_REFUSE);
  g_assert_cmpint (retry_after_ms, >=, 400);
}

/* A request is sent to a slow endpoint only if it completes sooner there than
   after waiting: the last one of the longest queue that can still meet its
   deadline.  */
static void
test_slow (void)
{
  struct jc_endpoint_pool pool = { .slots = 4,
                                   .load = 4,
                                   .service_ms = 100,
                                   .slow_service_ms = 400,
                                   .served_per_ms = 0.04 };
  struct jc_queue *queue = jc_queue_new (1000);
  struct jc_waiter short_queue = { .product = "calm", .weight = 1 };
  struct jc_waiter long_queue[3];

  g_assert_false (jc_admit_prefers_slow (&pool, 8));
  g_assert_true (jc_admit_prefers_slow (&pool, 12));
  pool.has_room = true;
  g_assert_false (jc_admit_prefers_slow (&pool, 12));
  jc_queue_push (queue, &short_queue, 100);
  for (int i = 0; i < 3; i++)
    {
      long_queue[i] = (struct jc_waiter){ .product = "loud",
                                          .weight = 1,
                                          .deadline_ms = 1000 + i };
      jc_queue_push (queue, &long_queue[i], 100);
    }
  g_assert_null (jc_queue_pop_last (queue, 1003, any_ready, NULL));
  g_assert_true (jc_queue_pop_last (queue, 1002, any_ready, NULL)
                 == &long_queue[2]);
  g_assert_cmpuint (jc_queue_length (queue), ==, 3);
  jc_queue_free (queue);
}

/* Measure COUNT requests that took MS each at ENDPOINT, the last one at
   NOW_MS.  */
static void
measure_requests (struct jc_predict *predict, struct jc_endpoint *endpoint,
                  int count, int64_t ms, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct jc_predict_attempt run;

      jc_predict_start (predict, endpoint, now_ms - ms, &run);
      jc_predict_finish (predict, endpoint, &run, JC_RUN_COMPLETE, now_ms);
    }
}

/* Guards against requests that wait until they are refused although an endpoint
   is idle, since it is slower than one that left, or than one that fails.  */
static void
test_only_slow (void)
{
  struct jc_endpoint fast
      = { .name = "fast", .service = "s", .slots = 4, .reported_ms = 1 };
  struct jc_endpoint slow
      = { .name = "slow", .service = "s", .slots = 4, .reported_ms = 1 };
  struct jc_predict *predict = jc_predict_new ();
  GPtrArray *endpoints = g_ptr_array_new ();
  struct jc_endpoint_pool pool;
  int64_t now_ms = 10000;
  int64_t retry_after_ms;

  measure_requests (predict, &fast, 9, 2, now_ms);
  measure_requests (predict, &slow, 3, 60, now_ms);
  g_assert_true (jc_predict_is_slow (predict, &slow, now_ms));
  g_ptr_array_add (endpoints, &slow);
  jc_admit_sum_pool (predict, endpoints, now_ms, &pool);
  g_assert_true (pool.has_room);
  g_assert_cmpint (jc_admit_decide (&pool, 0, 5000, &retry_after_ms), ==,
                   JC_ADMIT_RUN);

  /* While a faster endpoint is known but full, requests wait for it.  */
  g_ptr_array_add (endpoints, &fast);
  fast.in_flight = 4;
  jc_admit_sum_pool (predict, endpoints, now_ms, &pool);
  g_assert_false (pool.has_room);

  /* One that fails is not waited for.  */
  jc_predict_note_unreachable (predict, "fast", now_ms);
  jc_admit_sum_pool (predict, endpoints, now_ms, &pool);
  g_assert_true (pool.has_room);

  /* Room is room: the slow endpoint gets no more than it takes.  */
  slow.in_flight = 4;
  jc_admit_sum_pool (predict, endpoints, now_ms, &pool);
  g_assert_false (pool.has_room);
  g_ptr_array_free (endpoints, TRUE);
  jc_predict_free (predict);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rate", test_rate);
  g_test_add_func ("/retries", test_retries);
  g_test_add_func ("/concurrency", test_concurrency);
  g_test_add_func ("/link-share", test_link_share);
  g_test_add_func ("/queue-order", test_queue_order);
  g_test_add_func ("/fair-queuing", test_fair_queuing);
  g_test_add_func ("/admit", test_admit);
  g_test_add_func ("/slow", test_slow);
  g_test_add_func ("/only-slow", test_only_slow);
  return g_test_run ();
}
