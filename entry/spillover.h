/* Spillover: choosing another region for a request that this region can't
   serve in time.  */

#ifndef ENTRY_SPILLOVER_H
#define ENTRY_SPILLOVER_H

#include "entry/entry.h"
#include "serve/spillover.h"

/* A request that may go to another region.  spillover_choose fills in the
   members of QUERY that depend on the region: LINK, LINK_HAS_ROOM, REMOTE and
   WEIGHT.  */
struct spillover_request
{
  const struct jc_product *product;
  const struct jc_route *route;
  struct jc_spillover_query query;
};

/* Where a request goes: CONN leads to an entry instance of REGION, and its
   bytes count against LINK.  REGION and LINK belong to the configuration.  */
struct spillover_target
{
  const char *region;
  struct jc_rpc_conn *conn;
  const struct jc_link *link;
};

/* Gets the VERDICT on one REGION that the request may enter.  FINISH_MS is when
   the request would be done there, ms from now, 0 if no link leads there.  */
typedef void spillover_verdict_fn (void *ctx, const char *region,
                                   enum jc_spillover verdict,
                                   int64_t finish_ms);

bool spillover_choose (struct entry *entry,
                       const struct spillover_request *request,
                       spillover_verdict_fn *on_verdict, void *ctx,
                       struct spillover_target *target);

#endif
