/* Submissions of operators.  Each goes through the log, so that its answer is
   the first one for its change id and rests on the current version.  */

#include <string.h>

#include "base/log.h"
#include "state/call.h"
#include "state/state.h"

#define PART "submit"

enum
{
  FORWARD_MS = 4000,
  RETRY_AFTER_MS = 500
};

/* A submission under way.  */
struct submission
{
  struct state *state;
  struct call *call;
};

static struct submission *
submission_new (struct state *state, struct jc_rpc_conn *conn,
                const struct rpc_packet *packet)
{
  struct submission *submission = g_new0 (struct submission, 1);

  submission->state = state;
  submission->call = call_defer (state->deferred_calls, conn, packet);
  return submission;
}

static void
answer (struct submission *submission, enum jc_status status, uint64_t version,
        const char *faults)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT_REPLY };
  struct rpc_submit_reply *said = &packet.body.rpc_body_u.submit_reply;

  said->status = (int)status;
  said->at_version = version;
  said->faults.rpc_bytes_val = (char *)faults;
  said->faults.rpc_bytes_len = (u_int)strlen (faults);
  call_answer (submission->call, &packet);
  g_free (submission);
}

static void
refuse (struct submission *submission, enum jc_status status)
{
  jc_fail (status, status == JC_OUTCOME_UNKNOWN
                       ? "The outcome is not known; send the same change id "
                         "again."
                       : "No leader is known here; send it again.");
  call_fail (submission->call, status, RETRY_AFTER_MS);
  g_free (submission);
}

static void
on_done (void *ctx, enum jc_status status)
{
  struct submission *submission = ctx;
  const struct jc_submit_result *first = submission->state->last_submit_result;

  if (status != JC_OK)
    {
      refuse (submission, status);
      return;
    }
  jc_info (PART, "Change %s: %s, version %" G_GUINT64_FORMAT ".",
           first->change_id != NULL ? first->change_id : "",
           jc_status_name (first->status), first->version);
  answer (submission, first->status, first->version, first->faults);
}

static void
on_forwarded (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct submission *submission = ctx;
  const struct rpc_submit_reply *said;
  char *faults;

  if (status != JC_OK || reply->body.type != RPC_SUBMIT_REPLY)
    {
      refuse (submission, status == JC_NOT_LEADER || status == JC_OVERLOADED
                              ? status
                              : JC_OUTCOME_UNKNOWN);
      return;
    }
  said = &reply->body.rpc_body_u.submit_reply;
  faults = g_strndup (said->faults.rpc_bytes_val, said->faults.rpc_bytes_len);
  answer (submission, (enum jc_status)said->status, said->at_version, faults);
  g_free (faults);
}

static void
forward (struct state *state, struct submission *submission,
         const struct rpc_submit *submit)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT };

  packet.body.rpc_body_u.submit = *submit;
  if (jc_rpc_call (log_leader_conn (state), &packet, FORWARD_MS, on_forwarded,
                   submission)
      == 0)
    refuse (submission, JC_NOT_LEADER);
}

/* Handle the submission PACKET of an operator.  A replica that does not lead
   forwards it to the leader, once.  */
void
submit_handle (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_submit *submit = &packet->body.rpc_body_u.submit;
  struct submission *submission = submission_new (state, conn, packet);
  bool forwarded = strcmp (jc_rpc_conn_role (conn), "state") == 0;
  GString *data;

  if (!log_is_leader (state) && !forwarded)
    {
      forward (state, submission, submit);
      return;
    }
  data = jc_confstate_encode_submit (submit);
  if (log_is_leader (state))
    log_propose (state, LOG_CONFIG_CHANGE, jc_str_from_gstring (data), on_done,
                 submission);
  else
    refuse (submission, JC_NOT_LEADER);
  g_string_free (data, TRUE);
}
