/* The choice of another region for a request.  */

#ifndef ENTRY_AWAY_H
#define ENTRY_AWAY_H

#include "entry/entry.h"
#include "serve/away.h"

/* What asks to go: QUERY's members that depend on the region are filled in.  */
struct away_ask
{
  const struct jc_product *product;
  const struct jc_route *route;
  struct jc_away_query query;
};

/* Where it goes: an entry instance of REGION and the way there.  */
struct away_choice
{
  const char *region;
  struct jc_rpc_conn *conn;
  const struct jc_link *link;
};

/* Gets the verdict on each other region that the product may enter.  */
typedef void away_verdict_fn (void *ctx, const char *region,
                              enum jc_away verdict, int64_t finish_ms);

bool away_choose (struct entry *entry, const struct away_ask *ask,
                  away_verdict_fn *told, void *ctx, struct away_choice *choice);

#endif
