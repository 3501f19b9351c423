/* Spillover: whether a request is sent to another region.  */

#ifndef JC_SPILLOVER_H
#define JC_SPILLOVER_H

#include <stddef.h>

#include "member/regions.h"
#include "schema/gen/objects.h"

/* Estimates for serving a request here or in a remote region.  LOCAL_FINISH_MS
   is the time until it would complete here, negative if nothing here can serve
   it.  SERVICE_MS is its duration once it runs.  COLD_CACHE_MS is the time
   saved here by a cache that holds its prefix.  LINK is NULL if no link to the
   region is configured.  */
struct jc_spillover_query
{
  int64_t time_left_ms;
  int64_t local_finish_ms;
  int64_t service_ms;
  int64_t cold_cache_ms;
  size_t transfer_bytes;
  int64_t weight;
  bool link_has_room;
  const struct jc_link *link;
  const struct jc_capacity *remote;
};

/* The decision and its reason.  */
enum jc_spillover
{
  JC_SPILLOVER_LOCAL_IN_TIME,
  JC_SPILLOVER_NO_LINK,
  JC_SPILLOVER_NO_CAPACITY,
  JC_SPILLOVER_REMOTE_LATE,
  JC_SPILLOVER_NO_GAIN,
  JC_SPILLOVER_NO_BUDGET,
  JC_SPILLOVER_SEND
};

int64_t jc_spillover_finish_ms (const struct jc_spillover_query *query);
enum jc_spillover jc_spillover_decide (const struct jc_spillover_query *query);
const char *jc_spillover_reason (enum jc_spillover verdict);

#endif
