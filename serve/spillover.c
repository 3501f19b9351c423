/* Decision to send a request to another region.  */

#include "serve/spillover.h"

enum
{
  MS_PER_S = 1000
};

/* Return the time that the remote region costs in addition to waiting and
   running there, ms: the round trip, the transfer and a cold cache.  */
static int64_t
remote_cost_ms (const struct jc_spillover_query *query)
{
  int64_t transfer = (int64_t)((double)query->transfer_bytes * MS_PER_S
                               / (double)query->link->bytes_per_s);

  return 2 * query->link->latency_ms + transfer + query->cold_cache_ms;
}

/* Return the time until the request would complete in the remote region,
   ms.  */
int64_t
jc_spillover_finish_ms (const struct jc_spillover_query *query)
{
  int64_t wait
      = query->remote->free_slots > 0 ? 0 : query->remote->expected_wait_ms;

  return remote_cost_ms (query) + wait + query->service_ms;
}

/* Decide on QUERY.  A request stays unless it would miss its deadline here, or
   nothing here can serve it, and would meet the deadline in the remote region.
   The time gained must be at least WEIGHT times the remote cost.  */
enum jc_spillover
jc_spillover_decide (const struct jc_spillover_query *query)
{
  int64_t remote_ms;
  int64_t cost;

  if (query->local_finish_ms >= 0
      && query->local_finish_ms <= query->time_left_ms)
    return JC_SPILLOVER_LOCAL_IN_TIME;
  if (query->link == NULL)
    return JC_SPILLOVER_NO_LINK;
  if (query->remote->endpoints == 0)
    return JC_SPILLOVER_NO_CAPACITY;
  remote_ms = jc_spillover_finish_ms (query);
  if (remote_ms > query->time_left_ms)
    return JC_SPILLOVER_REMOTE_LATE;
  cost = remote_cost_ms (query);
  if (query->local_finish_ms >= 0
      && query->local_finish_ms - remote_ms < query->weight * cost)
    return JC_SPILLOVER_NO_GAIN;
  if (!query->link_has_room)
    return JC_SPILLOVER_NO_BUDGET;
  return JC_SPILLOVER_SEND;
}

/* Return the reason for VERDICT as a short sentence for operators.  */
const char *
jc_spillover_reason (enum jc_spillover verdict)
{
  static const char *const names[]
      = { [JC_SPILLOVER_LOCAL_IN_TIME] = "It is in time here.",
          [JC_SPILLOVER_NO_LINK] = "No link to the region is configured.",
          [JC_SPILLOVER_NO_CAPACITY] = "No endpoint is known there.",
          [JC_SPILLOVER_REMOTE_LATE] = "It would be late there too.",
          [JC_SPILLOVER_NO_GAIN] = "The gain does not outweigh the cost.",
          [JC_SPILLOVER_NO_BUDGET]
          = "The product's share of the link is used up.",
          [JC_SPILLOVER_SEND] = "It goes there." };

  return names[verdict];
}
