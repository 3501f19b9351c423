/* Sending requests to another region.  */

#include "serve/away.h"

enum
{
  MS_PER_S = 1000
};

/* Return what going costs beside waiting and running there, ms: the way there
   and back, the transfer, and a cold cache.  */
static int64_t
away_cost_ms (const struct jc_away_query *query)
{
  int64_t transfer = (int64_t)((double)query->bytes * MS_PER_S
                               / (double)query->link->bytes_per_s);

  return 2 * query->link->latency_ms + transfer + query->cold_ms;
}

/* Return when the request would be done there, ms from now.  */
int64_t
jc_away_finish_ms (const struct jc_away_query *query)
{
  int64_t wait
      = query->there->free_slots > 0 ? 0 : query->there->expected_wait_ms;

  return away_cost_ms (query) + wait + query->service_ms;
}

/* Decide on QUERY.  A request stays unless staying would miss its deadline, or
   nothing here can serve it, and going would not miss it; the time gained
   must be the weight's times what going costs.  */
enum jc_away
jc_away_decide (const struct jc_away_query *query)
{
  int64_t there;
  int64_t cost;

  if (query->here_ms >= 0 && query->here_ms <= query->left_ms)
    return JC_AWAY_IN_TIME_HERE;
  if (query->link == NULL)
    return JC_AWAY_NO_LINK;
  if (query->there->endpoints == 0)
    return JC_AWAY_NO_CAPACITY;
  there = jc_away_finish_ms (query);
  if (there > query->left_ms)
    return JC_AWAY_LATE_THERE;
  cost = away_cost_ms (query);
  if (query->here_ms >= 0 && query->here_ms - there < query->weight * cost)
    return JC_AWAY_NOT_WORTH;
  if (!query->link_room)
    return JC_AWAY_NO_BUDGET;
  return JC_AWAY_GO;
}

/* Return VERDICT as a short sentence for operators.  */
const char *
jc_away_name (enum jc_away verdict)
{
  static const char *const names[]
      = { [JC_AWAY_IN_TIME_HERE] = "It is in time here.",
          [JC_AWAY_NO_LINK] = "No link to the region is configured.",
          [JC_AWAY_NO_CAPACITY] = "No endpoint is known there.",
          [JC_AWAY_LATE_THERE] = "It would be late there too.",
          [JC_AWAY_NOT_WORTH] = "The gain does not outweigh the cost.",
          [JC_AWAY_NO_BUDGET] = "The product's share of the link is used up.",
          [JC_AWAY_GO] = "It goes there." };

  return names[verdict];
}
