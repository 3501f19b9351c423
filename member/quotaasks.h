/* Asks for slots of workspaces' quotas: shared by quotaasks.c and quotaslots.c,
   and private to them.  */

#ifndef QUOTAASKS_H
#define QUOTAASKS_H

#include "member/quotaslots.h"

/* What a process of an instance wants of the slots of a workspace, as it said
   at HEARD_MS, REQUESTED_MS by its own clock.  FAIR is its share, TOLD what it
   was told of that.  */
struct quota_want
{
  char *instance;
  uint64_t incarnation;
  uint64_t requested_ms;
  unsigned int wanted;
  unsigned int spare;
  int64_t heard_ms;
  unsigned int fair;
  unsigned int told;
};

/* WANTS holds struct quota_want, ordered by the names of the instances.  The
   slot at the revision PENDING_REVISION was proposed at PENDING_MS to be leased
   to PENDING_INSTANCE, with PENDING_CREDIT, in thousandths, of who left it.  */
struct quota_subject
{
  GPtrArray *wants;
  uint64_t pending_revision[JC_QUOTA_SLOTS];
  int64_t pending_ms[JC_QUOTA_SLOTS];
  char *pending_instance[JC_QUOTA_SLOTS];
  uint64_t pending_credit[JC_QUOTA_SLOTS];
};

struct quota_want *quota_find_want (const struct quota_subject *subject,
                                    const char *instance);
struct quota_subject *quota_note_ask (struct jc_quota_asks *asks,
                                      const struct jc_limit_holder *holder,
                                      const struct rpc_quota_ask *ask,
                                      uint64_t requested_ms, int64_t now_ms);
void quota_share_out (const struct quota_subject *subject,
                      unsigned int available);

#endif
