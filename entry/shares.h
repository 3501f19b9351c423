/* Shares: shared by shares.c, shareleases.c and sharereports.c, and private to
   them.  */

#ifndef ENTRY_SHARES_H
#define ENTRY_SHARES_H

#include "entry/exchange.h"

/* A service whose endpoints have refusal limits, the first of which was heard
   at SINCE_MS.  Slots that are due have been asked for since UNANSWERED_MS and
   none was leased, 0 if that isn't so.  */
struct shared_service
{
  int64_t since_ms;
  int64_t unanswered_ms;
};

/* SHARES is what this instance may send, PEERS what others hold.  SERVICES maps
   names to struct shared_service.  REPORTED is the last report, an array of
   struct rpc_share.  */
struct entry_shares
{
  struct jc_shares *shares;
  struct jc_share_peers *peers;
  GHashTable *services;
  GArray *reported;
  int64_t requested_ms;
  int64_t reported_ms;
  int64_t reported_all_ms;
  int64_t zone_reported_ms;
  ev_timer dispatch_timer;
};

/* In shares.c.  */
GPtrArray *shares_list_endpoints (const struct router *router,
                                  const char *service);
struct jc_share_load shares_own_load (const struct router *router,
                                      const char *service);
void shares_schedule_dispatch (struct router *router);

/* In shareleases.c.  */
bool shares_is_unanswered (const struct router *router, const char *service);
bool shares_takes_part (const struct router *router, const char *service);

#endif
