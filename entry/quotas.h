/* Quotas: shared by quotas.c, quotaleases.c and quotacharges.c, and private to
   them.  */

#ifndef ENTRY_QUOTAS_H
#define ENTRY_QUOTAS_H

#include "entry/exchange.h"
#include "serve/quotacredit.h"
#include "serve/quotaowner.h"

enum
{
  /* First level of peers that know quotas.  */
  QUOTAS_LEVEL = 3
};

/* The quota of a workspace.  CREDIT is what this instance may use at once;
   OWNER is NULL unless this instance was asked as the owner, or owns the
   workspace in its zone.  USED_MS is when a request was charged here last,
   TOLD_MS when the log was last told that one of another instance was refused
   here.  */
struct workspace_quota
{
  char *name;
  double per_s;
  double burst;
  struct jc_quotacredit *credit;
  struct jc_quotaowner *owner;
  int64_t used_ms;
  int64_t told_ms;
};

/* What an owner is asked for: UNITS for a request, AHEAD for the next ones.
   WAITING units were granted before to a request that waits, and that is sent
   now if there are UNITS, or begins to wait if there are none.  */
struct quota_ask
{
  double units;
  double ahead;
  double waiting;
};

/* UNANSWERED requests in a row of an owner, the last of which was given up at
   LAST_MS.  */
struct owner_failure
{
  unsigned int unanswered;
  int64_t last_ms;
};

/* BY_NAME maps workspaces to struct workspace_quota.  OWNERS are the names of
   the instances of this zone that may own workspaces; FAILURES maps those that
   didn't answer to struct owner_failure.  LIMITED is how many workspaces have a
   quota in the route table ROUTES, to which it holds a reference.  */
struct entry_quotas
{
  GHashTable *by_name;
  GPtrArray *owners;
  GHashTable *failures;
  struct jc_routetable *routes;
  unsigned int limited;
  unsigned int zones;
};

/* In quotas.c.  */
struct workspace_quota *quotas_find (struct router *router, const char *name);
const char *quotas_pick_owner (const struct router *router,
                               const char *workspace, const char *except);
void quotas_note_unanswered (struct router *router, const char *owner);
void quotas_note_answered (struct router *router, const char *owner);
void quotas_decide (struct router *router, const char *workspace,
                    const struct quota_ask *ask, struct jc_quota_decision *out);

void quotas_begin_owning (struct workspace_quota *quota);

/* In quotaleases.c.  */
void quotaleases_tick (struct router *router);
void quotaleases_handle_reply (struct router *router,
                               const struct rpc_quota_reply *reply);

#endif
