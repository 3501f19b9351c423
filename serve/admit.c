/* Admission control by the predicted backlog.  */

#include "base/status.h"
#include "serve/admit.h"

enum
{
  /* A request is started only if the time left to its deadline is at least this
     many service times.  */
  REQUIRED_SERVICE_TIMES = 2
};

/* Add the throughput and the room of ENDPOINT to POOL.  */
static void
pool_add (struct jc_endpoint_pool *pool, struct jc_predict *predict,
          const struct jc_endpoint *endpoint, int64_t now_ms)
{
  int64_t service = jc_predict_service_ms (predict, endpoint, now_ms);
  bool is_slow = jc_predict_is_slow (predict, endpoint, now_ms);

  pool->served_per_ms += (double)MAX (endpoint->slots, 1) / (double)service;
  pool->normal_count += is_slow ? 0 : 1;
  if (!jc_predict_has_room (predict, endpoint, now_ms))
    return;
  if (!is_slow)
    pool->has_room = true;
  else if (pool->slow_service_ms == 0 || service < pool->slow_service_ms)
    pool->slow_service_ms = service;
}

/* Set POOL to the sum of ENDPOINTS.  Endpoints that are being avoided count
   only in their number.  */
void
jc_admit_sum_pool (struct jc_predict *predict, const GPtrArray *endpoints,
                   int64_t now_ms, struct jc_endpoint_pool *pool)
{
  *pool = (struct jc_endpoint_pool){ .endpoints = endpoints->len };
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      unsigned int slots = MAX (endpoint->slots, 1);
      unsigned int load = jc_predict_load (predict, endpoint, now_ms);

      if (jc_predict_is_avoided (predict, endpoint, now_ms))
        continue;
      pool->slots += slots;
      pool->load += load;
      pool_add (pool, predict, endpoint, now_ms);
    }
  /* Waiting is of use only if there is a faster endpoint to wait for.  */
  if (pool->normal_count == 0 && pool->slow_service_ms > 0)
    pool->has_room = true;
  if (pool->slots > 0)
    pool->service_ms = (int64_t)(pool->slots / pool->served_per_ms);
  else
    pool->has_room = true;
}

/* Return the time that a request waits in POOL behind AHEAD queued requests,
   ms.  */
int64_t
jc_admit_wait_ms (const struct jc_endpoint_pool *pool, unsigned int ahead)
{
  int64_t excess = (int64_t)pool->load + ahead + 1 - pool->slots;

  if (pool->slots == 0 || excess <= 0)
    return 0;
  return (int64_t)((double)excess / pool->served_per_ms);
}

/* Return true if a request with AHEAD others before it in the queue completes
   sooner at the slow endpoint that has room than after waiting.  */
bool
jc_admit_prefers_slow (const struct jc_endpoint_pool *pool, unsigned int ahead)
{
  return !pool->has_room && pool->slow_service_ms > 0
         && jc_admit_wait_ms (pool, ahead) + pool->service_ms
                > pool->slow_service_ms;
}

/* Return the time left to its deadline that a request needs when it starts, ms.
   With less, most requests would miss the deadline.  */
int64_t
jc_admit_required_ms (const struct jc_endpoint_pool *pool)
{
  return pool->service_ms * REQUIRED_SERVICE_TIMES;
}

/* Decide on a request with TIME_LEFT_MS to its deadline and AHEAD queued
   requests before it.  If it can't be answered in time it is refused,
   JC_DEADLINE_UNMEETABLE is set as the last error, and RETRY_AFTER_MS is the
   time after which the backlog would allow it.  */
enum jc_admission
jc_admit_decide (const struct jc_endpoint_pool *pool, unsigned int ahead,
                 int64_t time_left_ms, int64_t *retry_after_ms)
{
  int64_t wait = jc_admit_wait_ms (pool, ahead);
  int64_t needed = wait + jc_admit_required_ms (pool);

  *retry_after_ms = MAX (needed - time_left_ms, 1);
  if (pool->slots > 0 && wait > 0 && needed > time_left_ms)
    {
      jc_fail (JC_DEADLINE_UNMEETABLE,
               "The backlog is %d ms, the deadline in %d ms.", (int)wait,
               (int)time_left_ms);
      return JC_ADMIT_REFUSE;
    }
  return ahead == 0 && pool->has_room ? JC_ADMIT_RUN : JC_ADMIT_WAIT;
}
