/* Owner of one request that must run at most once.

   At most once does not rest on time: a grant is never given to another
   claim, and an owner dispatches once for the one grant it waits for.  Time
   only decides what the caller is told, and whether a run is still worth
   starting.  */

#include "ledger/owner.h"

enum
{
  CLAIM_RESEND_MS = 1000,
  RESULT_RESEND_MS = 1000
};

static void
end (struct jc_owner *owner)
{
  owner->step = JC_OWNER_ENDED;
  owner->ops->ended (owner->ctx);
}

static void
fail (struct jc_owner *owner, enum jc_status status)
{
  if (owner->answered)
    return;
  owner->answered = true;
  owner->ops->fail (owner->ctx, status);
}

static void
send_result (struct jc_owner *owner, int64_t now_ms)
{
  owner->last_sent_ms = now_ms;
  owner->ops->send_result (owner->ctx, owner->outcome, owner->fence);
}

static void
record (struct jc_owner *owner, enum jc_run_state outcome, int64_t now_ms)
{
  owner->step = JC_OWNER_RECORDING;
  owner->outcome = outcome;
  send_result (owner, now_ms);
}

/* End without a dispatch.  Where the ledger may hold a claim of this owner it
   is given back, so that the key is free for the next one.  */
static void
give_up (struct jc_owner *owner, enum jc_status status, bool claimed,
         int64_t now_ms)
{
  fail (owner, status);
  if (claimed)
    record (owner, JC_NOT_RUN, now_ms);
  else
    end (owner);
}

static void
send_claim (struct jc_owner *owner, int64_t now_ms)
{
  owner->last_sent_ms = now_ms;
  owner->claims_sent++;
  owner->ops->send_claim (owner->ctx);
}

/* Begin: OWNER has its ops, its context and its deadline.  */
void
jc_owner_start (struct jc_owner *owner, int64_t now_ms)
{
  owner->step = JC_OWNER_CLAIMING;
  send_claim (owner, now_ms);
}

/* The claim could not be sent at all.  */
void
jc_owner_claim_unsent (struct jc_owner *owner, int64_t now_ms)
{
  if (owner->step != JC_OWNER_CLAIMING)
    return;
  owner->claims_sent--;
  give_up (owner, JC_HOME_UNREACHABLE, owner->claims_sent > 0, now_ms);
}

/* Start the run, if there is time left for it.  */
static void
granted (struct jc_owner *owner, uint64_t fence, int64_t now_ms)
{
  enum jc_status status;

  owner->fence = fence;
  if (now_ms >= owner->deadline_ms)
    {
      give_up (owner, JC_DEADLINE_UNMEETABLE, true, now_ms);
      return;
    }
  owner->step = JC_OWNER_RUNNING;
  status = owner->ops->dispatch (owner->ctx, fence);
  if (status != JC_OK)
    give_up (owner, status, true, now_ms);
}

/* Take the ledger's REPLY to a claim.  Replies after the first are void.  */
void
jc_owner_handle_claim_reply (struct jc_owner *owner,
                             const struct rpc_claim_reply *reply,
                             int64_t now_ms)
{
  static const enum jc_status kinds[]
      = { [RPC_CLAIM_IN_PROGRESS] = JC_KEY_IN_PROGRESS,
          [RPC_CLAIM_CONFLICT] = JC_KEY_CONFLICT,
          [RPC_CLAIM_UNKNOWN] = JC_OUTCOME_UNKNOWN,
          [RPC_CLAIM_RECOVERING] = JC_HOME_RECOVERING,
          [RPC_CLAIM_REFUSED] = JC_HOME_RECOVERING,
          [RPC_CLAIM_ANSWER_GONE] = JC_ANSWER_GONE };
  unsigned int state = (unsigned int)reply->state;

  if (owner->step != JC_OWNER_CLAIMING)
    return;
  if (reply->state == RPC_CLAIM_GRANTED)
    granted (owner, reply->fence, now_ms);
  else if (reply->state == RPC_CLAIM_DONE)
    {
      owner->answered = true;
      owner->ops->answer_from_record (owner->ctx, reply);
      end (owner);
    }
  else if (reply->state == RPC_CLAIM_IN_PROGRESS
           && now_ms < owner->wait_until_ms)
    {
      owner->waiting = true;
      send_claim (owner, now_ms);
    }
  else
    give_up (owner,
             state < sizeof kinds / sizeof *kinds ? kinds[state]
                                                  : JC_HOME_RECOVERING,
             owner->claims_sent > 1, now_ms);
}

/* The run ended: WHOLE with the endpoint's answer, or without it.  SENT is
   false only where no byte can have reached an endpoint; WHY is said then.  */
void
jc_owner_run_ended (struct jc_owner *owner, bool whole, bool sent,
                    enum jc_status why, int64_t now_ms)
{
  if (owner->step != JC_OWNER_RUNNING)
    return;
  owner->run_status = why;
  if (whole)
    record (owner, JC_RUN, now_ms);
  else if (!sent)
    give_up (owner, why, true, now_ms);
  else
    {
      fail (owner, JC_OUTCOME_UNKNOWN);
      record (owner, JC_RUN_UNKNOWN, now_ms);
    }
}

/* The ledger acknowledged the result with STATUS.  */
void
jc_owner_handle_result_reply (struct jc_owner *owner, enum jc_status status)
{
  if (owner->step != JC_OWNER_RECORDING || status != JC_OK)
    return;
  if (!owner->answered)
    {
      owner->answered = true;
      owner->ops->answer (owner->ctx);
    }
  end (owner);
}

/* Do what is due: resend a claim or a result, and answer a caller whose
   deadline has passed.  */
void
jc_owner_tick (struct jc_owner *owner, int64_t now_ms)
{
  bool late = now_ms >= owner->deadline_ms;

  if (owner->step == JC_OWNER_CLAIMING && late)
    give_up (owner, owner->waiting ? JC_KEY_IN_PROGRESS : JC_HOME_UNREACHABLE,
             true, now_ms);
  else if (owner->step == JC_OWNER_CLAIMING
           && now_ms - owner->last_sent_ms >= CLAIM_RESEND_MS)
    send_claim (owner, now_ms);
  if (owner->step == JC_OWNER_RUNNING && late)
    fail (owner, JC_OUTCOME_UNKNOWN);
  if (owner->step != JC_OWNER_RECORDING)
    return;
  if (late)
    fail (owner, JC_OUTCOME_UNKNOWN);
  if (now_ms - owner->last_sent_ms >= RESULT_RESEND_MS)
    send_result (owner, now_ms);
}
