/* Stopping: what an instance that was told to stop does with requests until its
   process ends.  */

#include "entry/exchange.h"
#include "net/program.h"
#include "serve/grace.h"

enum
{
  /* Time at the end in which callers of requests that are still under way are
     told so: two ticks of the router.  */
  TELL_MS = 200
};

/* Return the estimated time of the answer to a request of ROUTE with DEMAND at
   SERVICE, ms; 0 if it is not known.  What may run once and has no length that
   its caller gave is not sent on by an estimate.  */
static int64_t
estimate_ms (struct router *router, const struct jc_hostroute *route,
             const char *service, const struct jc_demand *demand)
{
  bool may_rest_on_it
      = route->kind == JC_ROUTE_STREAM
            ? demand->prompt_tokens > 0 && demand->answer_tokens > 0
            : route->kind == JC_ROUTE_IDEMPOTENT;

  return may_rest_on_it
             ? balancer_answer_ms (router, service, demand, jc_now_ms ())
             : 0;
}

/* Return JC_OK if this instance does not stop, or if a request of ROUTE with
   DEMAND, over in TIME_LEFT_MS, that is sent on to SERVICE now ends before
   that.  */
enum jc_status
stopping_check (struct router *router, const struct jc_hostroute *route,
                const char *service, const struct jc_demand *demand,
                int64_t time_left_ms)
{
  struct jc_grace_request request = { .time_left_ms = time_left_ms };

  if (!router->entry->draining)
    return JC_OK;
  request.answer_ms = estimate_ms (router, route, service, demand);
  if (jc_grace_allows (router_drain_left_ms (router->entry) - TELL_MS,
                       &request))
    return JC_OK;
  return jc_fail (JC_DRAINING, "This instance is about to stop.");
}

/* End what is still under way if the process is about to end.  */
void
stopping_tick (struct router *router)
{
  if (router_drain_left_ms (router->entry) > TELL_MS)
    return;
  while (router->exchanges.head != NULL)
    exchange_abort (router->exchanges.head->data);
}
