/* Admission by the predicted backlog.  */

#include "base/status.h"
#include "serve/admit.h"

enum
{
  SERVICE_MARGIN = 2
};

/* Add the speed and the room of ENDPOINT to POOL.  */
static void
pool_add (struct jc_endpoint_pool *pool, struct jc_predict *predict,
          const struct jc_endpoint *endpoint, int64_t now_ms)
{
  int64_t service = jc_predict_service_ms (predict, endpoint, now_ms);

  pool->served_per_ms += (double)MAX (endpoint->slots, 1) / (double)service;
  if (!jc_predict_has_room (predict, endpoint, now_ms))
    return;
  if (!jc_predict_is_slow (predict, endpoint, now_ms))
    pool->has_room = true;
  else if (pool->slow_service_ms == 0 || service < pool->slow_service_ms)
    pool->slow_service_ms = service;
}

/* Sum up ENDPOINTS into POOL.  */
void
jc_admit_sum_pool (struct jc_predict *predict, const GPtrArray *endpoints,
                   int64_t now_ms, struct jc_endpoint_pool *pool)
{
  *pool = (struct jc_endpoint_pool){ .endpoints = endpoints->len };
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      unsigned int slots = MAX (endpoint->slots, 1);
      unsigned int work = jc_predict_load (predict, endpoint, now_ms);

      if (jc_predict_is_avoided (predict, endpoint, now_ms))
        continue;
      pool->slots += slots;
      pool->load += work;
      pool_add (pool, predict, endpoint, now_ms);
    }
  if (pool->slots > 0)
    pool->service_ms = (int64_t)(pool->slots / pool->served_per_ms);
  else
    pool->has_room = true;
}

/* Return how long a request waits in POOL behind AHEAD others that wait, ms. */
int64_t
jc_admit_wait_ms (const struct jc_endpoint_pool *pool, unsigned int ahead)
{
  int64_t work = (int64_t)pool->load + ahead + 1 - pool->slots;

  if (pool->slots == 0 || work <= 0)
    return 0;
  return (int64_t)((double)work / pool->served_per_ms);
}

/* Tell whether a request that has AHEAD others before it in the queue is done
   sooner at the slow endpoint that has room than when it waits.  */
bool
jc_admit_prefers_slow (const struct jc_endpoint_pool *pool, unsigned int ahead)
{
  return !pool->has_room && pool->slow_service_ms > 0
         && jc_admit_wait_ms (pool, ahead) + pool->service_ms
                > pool->slow_service_ms;
}

/* Return the time that a request needs to its deadline when it starts, ms;
   with less it would more often than not run in vain.  */
int64_t
jc_admit_required_ms (const struct jc_endpoint_pool *pool)
{
  return pool->service_ms * SERVICE_MARGIN;
}

/* Decide on a request with LEFT_MS to its deadline and AHEAD others before it
   that wait.  Where it can't be answered in time it is refused with
   JC_DEADLINE_UNMEETABLE as last message, and RETRY_AFTER_MS is when the
   backlog leaves it room.  */
enum jc_admission
jc_admit_decide (const struct jc_endpoint_pool *pool, unsigned int ahead,
                 int64_t left_ms, int64_t *retry_after_ms)
{
  int64_t wait = jc_admit_wait_ms (pool, ahead);
  int64_t needed = wait + jc_admit_required_ms (pool);

  *retry_after_ms = MAX (needed - left_ms, 1);
  if (pool->slots > 0 && wait > 0 && needed > left_ms)
    {
      jc_fail (JC_DEADLINE_UNMEETABLE,
               "The backlog is %d ms, the deadline in %d ms.", (int)wait,
               (int)left_ms);
      return JC_ADMIT_REFUSE;
    }
  return ahead == 0 && pool->has_room ? JC_ADMIT_RUN : JC_ADMIT_WAIT;
}
