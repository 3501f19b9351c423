/* Quota owner: what the owner of a workspace in an availability zone asks state
   instances for, by the demand on its bucket and the share that it is told.  */

#ifndef JC_QUOTAOWNER_H
#define JC_QUOTAOWNER_H

#include "serve/quotabucket.h"

struct jc_quotaowner;

/* What decides how many slots an owner wants.  With ENDS it wants none, since
   its instance stops.  It holds STANDING ones without demand.  */
struct jc_quotaowner_input
{
  bool ends;
  unsigned int standing;
  int64_t now_ms;
};

struct jc_quotaowner *jc_quotaowner_new (int64_t now_ms);
void jc_quotaowner_free (struct jc_quotaowner *owner);
struct jc_quotabucket *jc_quotaowner_bucket (struct jc_quotaowner *owner);
bool jc_quotaowner_next_ask (struct jc_quotaowner *owner,
                             const struct jc_quotaowner_input *input,
                             struct rpc_quota_ask *ask, GArray *released);
void jc_quotaowner_note_share (struct jc_quotaowner *owner, unsigned int slots,
                               int64_t now_ms);
bool jc_quotaowner_is_unused (struct jc_quotaowner *owner, int64_t now_ms);

#endif
