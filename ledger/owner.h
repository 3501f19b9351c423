/* Owner of one request that must run at most once: it claims the key,
   dispatches once, has the result recorded and answers the caller.  A
   deterministic state machine; times are monotonic ms.  */

#ifndef JC_OWNER_H
#define JC_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

struct jc_owner;

/* Callbacks of an owner.  dispatch starts the only run; it returns an error if
   no byte was sent.  The caller is answered exactly once: with the answer of
   this run (answer), with a recorded one (answer_from_record), or with an error
   (fail).  ended follows when there is nothing left to record.  */
struct jc_owner_ops
{
  void (*send_claim) (void *ctx);
  enum jc_status (*dispatch) (void *ctx, uint64_t fence);
  void (*send_result) (void *ctx, enum jc_run_state outcome, uint64_t fence);
  void (*answer) (void *ctx);
  void (*answer_from_record) (void *ctx, const struct rpc_claim_reply *reply);
  void (*fail) (void *ctx, enum jc_status status);
  void (*ended) (void *ctx);
};

enum jc_owner_step
{
  JC_OWNER_CLAIMING,
  JC_OWNER_RUNNING,
  JC_OWNER_RECORDING,
  JC_OWNER_ENDED
};

/* One request.  A key that another claim holds is claimed again until
   WAIT_UNTIL_MS; WAITING is set once that has happened.  LAST_SENT_MS is when
   the last claim or result was sent.  OUTCOME is the outcome to record and
   RUN_STATUS the status that the run ended with.  */
struct jc_owner
{
  const struct jc_owner_ops *ops;
  void *ctx;
  enum jc_owner_step step;
  int64_t deadline_ms;
  int64_t wait_until_ms;
  int64_t last_sent_ms;
  unsigned int claims_sent;
  bool waiting;
  bool answered;
  uint64_t fence;
  enum jc_run_state outcome;
  enum jc_status run_status;
};

void jc_owner_start (struct jc_owner *owner, int64_t now_ms);
void jc_owner_handle_claim_reply (struct jc_owner *owner,
                                  const struct rpc_claim_reply *reply,
                                  int64_t now_ms);
void jc_owner_handle_claim_not_sent (struct jc_owner *owner, int64_t now_ms);
void jc_owner_run_ended (struct jc_owner *owner, bool complete, bool sent,
                         enum jc_status run_status, int64_t now_ms);
void jc_owner_handle_result_reply (struct jc_owner *owner,
                                   enum jc_status status);
void jc_owner_tick (struct jc_owner *owner, int64_t now_ms);

#endif
