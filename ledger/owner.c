/* Owner of one request that must run at most once.

   At-most-once execution does not depend on clocks: a grant is never given to
   another claim, and an owner dispatches once for the one grant it waits for.
   Time decides only what is answered to the caller, and whether a run is still
   started.  */

#include "ledger/owner.h"

enum
{
  CLAIM_RESEND_MS = 1000,
  RESULT_RESEND_MS = 1000
};

static void
end_request (struct jc_owner *owner)
{
  owner->step = JC_OWNER_ENDED;
  owner->ops->ended (owner->ctx);
}

static void
fail_caller (struct jc_owner *owner, enum jc_status status)
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
record_outcome (struct jc_owner *owner, enum jc_run_state outcome,
                int64_t now_ms)
{
  owner->step = JC_OWNER_RECORDING;
  owner->outcome = outcome;
  send_result (owner, now_ms);
}

/* Fail the request with STATUS without a run.  If CLAIMED is set, the ledger
   may have granted the key to this owner, so the claim is released and the key
   is free for the next one.  */
static void
end_without_run (struct jc_owner *owner, enum jc_status status, bool claimed,
                 int64_t now_ms)
{
  fail_caller (owner, status);
  if (claimed)
    record_outcome (owner, JC_NOT_RUN, now_ms);
  else
    end_request (owner);
}

static void
send_claim (struct jc_owner *owner, int64_t now_ms)
{
  owner->last_sent_ms = now_ms;
  owner->claims_sent++;
  owner->ops->send_claim (owner->ctx);
}

/* Send the first claim.  OWNER is zeroed except for its ops, ctx, deadline_ms
   and wait_until_ms.  */
void
jc_owner_start (struct jc_owner *owner, int64_t now_ms)
{
  owner->step = JC_OWNER_CLAIMING;
  send_claim (owner, now_ms);
}

/* Handle a claim that could not be sent.  The request fails with
   JC_HOME_UNREACHABLE; an earlier claim of it is released.  */
void
jc_owner_handle_claim_not_sent (struct jc_owner *owner, int64_t now_ms)
{
  if (owner->step != JC_OWNER_CLAIMING)
    return;
  owner->claims_sent--;
  end_without_run (owner, JC_HOME_UNREACHABLE, owner->claims_sent > 0, now_ms);
}

/* Dispatch the run under FENCE, or release the claim if the deadline has
   passed.  */
static void
start_run (struct jc_owner *owner, uint64_t fence, int64_t now_ms)
{
  enum jc_status status;

  owner->fence = fence;
  if (now_ms >= owner->deadline_ms)
    {
      end_without_run (owner, JC_DEADLINE_UNMEETABLE, true, now_ms);
      return;
    }
  owner->step = JC_OWNER_RUNNING;
  status = owner->ops->dispatch (owner->ctx, fence);
  if (status != JC_OK)
    end_without_run (owner, status, true, now_ms);
}

/* Handle the ledger's REPLY to a claim.  It is ignored unless the owner waits
   for one, so a duplicate can't start a second run.  */
void
jc_owner_handle_claim_reply (struct jc_owner *owner,
                             const struct rpc_claim_reply *reply,
                             int64_t now_ms)
{
  static const enum jc_status statuses[]
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
    start_run (owner, reply->fence, now_ms);
  else if (reply->state == RPC_CLAIM_DONE)
    {
      owner->answered = true;
      owner->ops->answer_from_record (owner->ctx, reply);
      end_request (owner);
    }
  else if (reply->state == RPC_CLAIM_IN_PROGRESS
           && now_ms < owner->wait_until_ms)
    {
      owner->waiting = true;
      send_claim (owner, now_ms);
    }
  else
    end_without_run (owner,
                     state < sizeof statuses / sizeof *statuses
                         ? statuses[state]
                         : JC_HOME_RECOVERING,
                     owner->claims_sent > 1, now_ms);
}

/* Handle the end of the run.  COMPLETE is set if the endpoint's answer is
   complete.  SENT is false only if no byte can have reached an endpoint; the
   request fails with RUN_STATUS then.  */
void
jc_owner_run_ended (struct jc_owner *owner, bool complete, bool sent,
                    enum jc_status run_status, int64_t now_ms)
{
  if (owner->step != JC_OWNER_RUNNING)
    return;
  owner->run_status = run_status;
  if (complete)
    record_outcome (owner, JC_RUN, now_ms);
  else if (!sent)
    end_without_run (owner, run_status, true, now_ms);
  else
    {
      fail_caller (owner, JC_OUTCOME_UNKNOWN);
      record_outcome (owner, JC_RUN_UNKNOWN, now_ms);
    }
}

/* Handle the ledger's reply to the result.  Unless STATUS is JC_OK the result
   is sent again later.  */
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
  end_request (owner);
}

/* Run the timers: resend a claim or a result without a reply, and fail the
   request of a caller whose deadline has passed.  */
void
jc_owner_tick (struct jc_owner *owner, int64_t now_ms)
{
  bool deadline_passed = now_ms >= owner->deadline_ms;

  if (owner->step == JC_OWNER_CLAIMING && deadline_passed)
    end_without_run (owner,
                     owner->waiting ? JC_KEY_IN_PROGRESS : JC_HOME_UNREACHABLE,
                     true, now_ms);
  else if (owner->step == JC_OWNER_CLAIMING
           && now_ms - owner->last_sent_ms >= CLAIM_RESEND_MS)
    send_claim (owner, now_ms);
  if (owner->step == JC_OWNER_RUNNING && deadline_passed)
    fail_caller (owner, JC_OUTCOME_UNKNOWN);
  if (owner->step != JC_OWNER_RECORDING)
    return;
  if (deadline_passed)
    fail_caller (owner, JC_OUTCOME_UNKNOWN);
  if (now_ms - owner->last_sent_ms >= RESULT_RESEND_MS)
    send_result (owner, now_ms);
}
