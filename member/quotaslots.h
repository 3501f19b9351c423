/* Slots of workspaces' quotas.  The quota of a workspace is divided into
   JC_QUOTA_SLOTS equal slots, which availability zones lease through the
   instances that own the workspace there (serve/quotabucket).  The slots are
   rows of the table in member/limitslots, several for each workspace, and its
   changes are applied as all others.  This module plans the changes: leases are
   longer than those of endpoints' limits, a slot may be given back, and where
   more slots are wanted than there are, each holder is told of a max-min fair
   share.  */

#ifndef JC_QUOTASLOTS_H
#define JC_QUOTASLOTS_H

#include "member/limitslots.h"

enum
{
  JC_QUOTA_SLOTS = 20,
  /* A holder uses a slot until this long after it sent its request, by its own
     clock.  */
  JC_QUOTA_LEASE_MS = 12000,
  /* A replica takes a lease to have ended this long after it was applied.  The
     excess is for clocks that run at different speeds.  */
  JC_QUOTA_LAPSE_MS = JC_QUOTA_LEASE_MS + 1500,
  /* An instance asks again within this time to keep its slots.  */
  JC_QUOTA_RENEW_MS = 4000
};

/* What the instances that asked this replica lately want.  */
struct jc_quota_asks;

/* A slot as a row of the table has it.  HOLDER is "" if nobody holds it.  */
struct jc_quota_slot_state
{
  const char *holder;
  uint64_t incarnation;
  uint64_t revision;
  int64_t age_ms;
};

/* How many slots of a workspace an instance may hold.  */
struct jc_quota_share
{
  const char *instance;
  unsigned int slots;
};

struct jc_quota_asks *jc_quota_asks_new (void);
void jc_quota_asks_free (struct jc_quota_asks *asks);
void jc_quota_asks_expire (struct jc_quota_asks *asks, int64_t now_ms);
uint64_t jc_quota_asks_take_credit (struct jc_quota_asks *asks,
                                    const struct rpc_limit_change *change);
unsigned int jc_quota_slots_plan (const struct jc_limit_slots *slots,
                                  struct jc_quota_asks *asks,
                                  const struct jc_limit_holder *holder,
                                  const struct rpc_quota_ask *ask,
                                  uint64_t requested_ms, int64_t now_ms,
                                  GStringChunk *strings, GArray *changes,
                                  GArray *over);
void jc_quota_slots_plan_cleanup (const struct jc_limit_slots *slots,
                                  int64_t now_ms, GArray *changes);
bool jc_quota_slots_read (const struct jc_limit_slots *slots,
                          const char *workspace, unsigned int slot,
                          int64_t now_ms, struct jc_quota_slot_state *out);
bool jc_quota_slots_is_subject (const char *subject);
const char *jc_quota_slots_workspace (const struct rpc_limit_change *change,
                                      unsigned int *slot);

#endif
