/* The choice of another region for a request.  */

#ifndef ENTRY_SPILLOVER_H
#define ENTRY_SPILLOVER_H

#include "entry/entry.h"
#include "serve/spillover.h"

/* What asks to go: QUERY's members that depend on the region are filled in.  */
struct spillover_request
{
  const struct jc_product *product;
  const struct jc_route *route;
  struct jc_spillover_query query;
};

/* Where it goes: an entry instance of REGION and the way there.  */
struct spillover_target
{
  const char *region;
  struct jc_rpc_conn *conn;
  const struct jc_link *link;
};

/* Gets the verdict on each other region that the product may enter.  */
typedef void spillover_verdict_fn (void *ctx, const char *region,
                                   enum jc_spillover verdict,
                                   int64_t finish_ms);

bool spillover_choose (struct entry *entry, const struct spillover_request *ask,
                       spillover_verdict_fn *told, void *ctx,
                       struct spillover_target *choice);

#endif
