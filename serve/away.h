/* Whether a request is sent to another region.  */

#ifndef JC_AWAY_H
#define JC_AWAY_H

#include <stddef.h>

#include "member/regions.h"
#include "schema/gen/objects.h"

/* What is known of staying and of going to one other region.  HERE_MS is when
   the request would be done here, negative where nothing here can serve it;
   SERVICE_MS its time once it runs.  COLD_MS is the time that a cache holding
   its prefix saves here.  */
struct jc_away_query
{
  int64_t left_ms;
  int64_t here_ms;
  int64_t service_ms;
  int64_t cold_ms;
  size_t bytes;
  int64_t weight;
  bool link_room;
  const struct jc_link *link;
  const struct jc_capacity *there;
};

/* The verdict and its ground.  */
enum jc_away
{
  JC_AWAY_IN_TIME_HERE,
  JC_AWAY_NO_LINK,
  JC_AWAY_NO_CAPACITY,
  JC_AWAY_LATE_THERE,
  JC_AWAY_NOT_WORTH,
  JC_AWAY_NO_BUDGET,
  JC_AWAY_GO
};

int64_t jc_away_finish_ms (const struct jc_away_query *query);
enum jc_away jc_away_decide (const struct jc_away_query *query);
const char *jc_away_name (enum jc_away verdict);

#endif
