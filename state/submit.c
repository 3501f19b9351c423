/* Configuration changes that operators submit.  Each goes through the log, so
   that it is checked against the current version and a change id that is sent
   again gets the result of its first submission.  */

#include <string.h>

#include "base/log.h"
#include "state/call.h"
#include "state/state.h"

#define LOG_COMPONENT "submit"

enum
{
  FORWARD_TIMEOUT_MS = 4000,
  RETRY_AFTER_MS = 500
};

/* A submission that has not been answered yet.  */
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
reply_result (struct submission *submission, enum jc_status status,
              uint64_t version, const char *faults)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT_REPLY };
  struct rpc_submit_reply *reply_body = &packet.body.rpc_body_u.submit_reply;

  reply_body->status = (int)status;
  reply_body->at_version = version;
  reply_body->faults.rpc_bytes_val = (char *)faults;
  reply_body->faults.rpc_bytes_len = (u_int)strlen (faults);
  call_answer (submission->call, &packet);
  g_free (submission);
}

static void
reply_error (struct submission *submission, enum jc_status status)
{
  jc_fail (status, status == JC_OUTCOME_UNKNOWN
                       ? "The outcome is not known; send the same change id "
                         "again."
                       : "No leader is known here; send it again.");
  call_fail (submission->call, status, RETRY_AFTER_MS);
  g_free (submission);
}

static void
on_committed (void *ctx, enum jc_status status)
{
  struct submission *submission = ctx;
  const struct jc_submit_result *result = submission->state->last_submit_result;

  if (status != JC_OK)
    {
      reply_error (submission, status);
      return;
    }
  jc_info (LOG_COMPONENT,
           "Configuration change %s: %s; the version is %" G_GUINT64_FORMAT ".",
           result->change_id != NULL ? result->change_id : "",
           jc_status_name (result->status), result->version);
  reply_result (submission, result->status, result->version, result->faults);
}

static void
on_forwarded (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct submission *submission = ctx;
  const struct rpc_submit_reply *reply_body;
  char *faults;

  if (status != JC_OK || reply->body.type != RPC_SUBMIT_REPLY)
    {
      reply_error (submission,
                   status == JC_NOT_LEADER || status == JC_OVERLOADED
                       ? status
                       : JC_OUTCOME_UNKNOWN);
      return;
    }
  reply_body = &reply->body.rpc_body_u.submit_reply;
  faults = g_strndup (reply_body->faults.rpc_bytes_val,
                      reply_body->faults.rpc_bytes_len);
  reply_result (submission, (enum jc_status)reply_body->status,
                reply_body->at_version, faults);
  g_free (faults);
}

static void
forward (struct state *state, struct submission *submission,
         const struct rpc_submit *submit)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT };

  packet.body.rpc_body_u.submit = *submit;
  if (jc_rpc_call (log_leader_conn (state), &packet, FORWARD_TIMEOUT_MS,
                   on_forwarded, submission)
      == 0)
    reply_error (submission, JC_NOT_LEADER);
}

/* Handle the submission PACKET that came over CONN.  A replica that is not the
   leader forwards it to the leader; a submission that was forwarded already is
   refused instead, so that it can't circulate.  */
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
    log_propose (state, LOG_CONFIG_CHANGE, jc_str_from_gstring (data),
                 on_committed, submission);
  else
    reply_error (submission, JC_NOT_LEADER);
  g_string_free (data, TRUE);
}
