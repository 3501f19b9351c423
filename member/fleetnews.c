/* Which reports of an endpoint its followers must hear at once.  What all
   others tell goes to the followers in batches.  */

#include <string.h>

#include "member/fleetnews.h"

/* Return whether REPORT, at NOW_MS, tells of another time to be warm than the
   last report, which KNOWN has.  */
static bool
warm_time_differs (const struct jc_endpoint *known,
                   const struct rpc_endpoint *report, int64_t now_ms)
{
  int64_t warm_ms = now_ms + report->cold_ms;

  return report->cold_ms > 0
         && ABS (warm_ms - known->warm_at_ms) > JC_FLEETNEWS_WARM_DIFFERENCE_MS;
}

/* Return whether REPORT, received at NOW_MS, changes what is known of its
   endpoint, apart from its load and the time of its report.  KNOWN
   is what the table has of the endpoint before it is updated from REPORT, NULL
   for a new one.  */
bool
jc_fleetnews_is_news (const struct jc_endpoint *known,
                      const struct rpc_endpoint *report, int64_t now_ms)
{
  return known == NULL || known->incarnation != report->incarnation
         || known->leaving != report->leaving
         || warm_time_differs (known, report, now_ms)
         || known->slots != report->slots
         || strcmp (known->service, report->service) != 0
         || strcmp (known->zone, report->zone) != 0
         || strcmp (known->address, report->address) != 0;
}

/* Return whether a batch at NOW_MS must repeat all that is known of ENDPOINT,
   not its load alone: while it is cold, an answer that it sent before may have
   told a follower otherwise.  */
bool
jc_fleetnews_needs_row (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return endpoint->warm_at_ms > now_ms;
}
