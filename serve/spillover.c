/* Sending requests to another region.  */

#include "serve/spillover.h"

enum
{
  MS_PER_S = 1000
};

/* Return what going costs beside waiting and running there, ms: the way there
   and back, the transfer, and a cold cache.  */
static int64_t
away_cost_ms (const struct jc_spillover_query *query)
{
  int64_t transfer = (int64_t)((double)query->transfer_bytes * MS_PER_S
                               / (double)query->link->bytes_per_s);

  return 2 * query->link->latency_ms + transfer + query->cold_cache_ms;
}

/* Return when the request would be done there, ms from now.  */
int64_t
jc_spillover_finish_ms (const struct jc_spillover_query *query)
{
  int64_t wait
      = query->remote->free_slots > 0 ? 0 : query->remote->expected_wait_ms;

  return away_cost_ms (query) + wait + query->service_ms;
}

/* Decide on QUERY.  A request stays unless staying would miss its deadline, or
   nothing here can serve it, and going would not miss it; the time gained
   must be the weight's times what going costs.  */
enum jc_spillover
jc_spillover_decide (const struct jc_spillover_query *query)
{
  int64_t there;
  int64_t cost;

  if (query->local_finish_ms >= 0
      && query->local_finish_ms <= query->time_left_ms)
    return JC_SPILLOVER_LOCAL_IN_TIME;
  if (query->link == NULL)
    return JC_SPILLOVER_NO_LINK;
  if (query->remote->endpoints == 0)
    return JC_SPILLOVER_NO_CAPACITY;
  there = jc_spillover_finish_ms (query);
  if (there > query->time_left_ms)
    return JC_SPILLOVER_REMOTE_LATE;
  cost = away_cost_ms (query);
  if (query->local_finish_ms >= 0
      && query->local_finish_ms - there < query->weight * cost)
    return JC_SPILLOVER_NO_GAIN;
  if (!query->link_has_room)
    return JC_SPILLOVER_NO_BUDGET;
  return JC_SPILLOVER_SEND;
}

/* Return VERDICT as a short sentence for operators.  */
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
