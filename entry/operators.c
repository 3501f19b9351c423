/* Listener for operators.  */

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "entry/entry.h"
#include "entry/router.h"

#define METRICS_PATH "/metrics"

enum
{
  CALL_TIMEOUT_MS = 5000,
  RETRY_AFTER_MS = 1000,
  BODY_MAX_BYTES = 16 * 1024 * 1024
};

/* Authenticate REQ by the operator token.  If the settings have none, metrics
   may be read without a token.  */
static enum jc_status
operators_head (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  const char *token = http_bearer_token (req);

  if (entry->settings->operator_token[0] == '\0'
      && strcmp (jc_http_path (req), METRICS_PATH) == 0)
    return JC_OK;
  if (token == NULL || strcmp (token, entry->settings->operator_token) != 0)
    return jc_fail (JC_UNAUTHORIZED, "The operator's token is wrong.");
  return JC_OK;
}

/* A call to a state instance under way for the operator's request REQ, which is
   NULL once the operator has closed the connection.  */
struct pending_call
{
  struct jc_http_req *req;
};

static void
on_submit_reply (void *ctx, enum jc_status status,
                 const struct rpc_packet *reply)
{
  struct pending_call *pending_call = ctx;
  struct jc_http_req *req = pending_call->req;
  const struct rpc_submit_reply *msg;
  char *text;

  g_free (pending_call);
  if (req == NULL)
    return;
  jc_http_set_data (req, NULL);
  if (status == JC_NOT_LEADER || status == JC_OVERLOADED)
    {
      jc_http_fail (req, status, jc_last_message (), RETRY_AFTER_MS);
      return;
    }
  if (status != JC_OK)
    {
      jc_http_fail (req, JC_OUTCOME_UNKNOWN,
                    "No answer in time; send the same change id again.", 0);
      return;
    }
  msg = &reply->body.rpc_body_u.submit_reply;
  text = g_strdup_printf (
      "{\"status\":\"%s\",\"version\":%" G_GUINT64_FORMAT ",\"faults\":%.*s}",
      jc_status_name ((enum jc_status)msg->status), msg->at_version,
      msg->faults.rpc_bytes_len > 0 ? (int)msg->faults.rpc_bytes_len : 2,
      msg->faults.rpc_bytes_len > 0 ? msg->faults.rpc_bytes_val : "[]");
  jc_http_reply (req, jc_status_info ((enum jc_status)msg->status)->http_status,
                 "application/json", jc_str_from_cstr (text), NULL);
  g_free (text);
}

/* Handle POST /config: submit the JSON body as a change of the configuration to
   a state instance.  If no reply comes, the outcome is unknown, and the
   operator can send the same change id again.  */
static void
handle_submit (struct entry *entry, struct jc_http_req *req)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT };
  struct rpc_submit *submit = &packet.body.rpc_body_u.submit;
  const char *expected = jc_http_query (req, "expected_version");
  const char *id = jc_http_query (req, "change_id");
  struct jc_str body = jc_http_body (req);
  struct pending_call *pending_call;

  if (expected == NULL || id == NULL)
    {
      jc_http_fail (req, JC_BAD_REQUEST,
                    "expected_version and change_id are needed.", 0);
      return;
    }
  submit->change_id = (char *)id;
  submit->author = "operator";
  submit->expected_version = strtoull (expected, NULL, 10);
  submit->json.rpc_bytes_val = (char *)body.data;
  submit->json.rpc_bytes_len = (u_int)body.len;
  pending_call = g_new0 (struct pending_call, 1);
  pending_call->req = req;
  if (jc_rpc_call (configsync_state_conn (entry), &packet, CALL_TIMEOUT_MS,
                   on_submit_reply, pending_call)
      != 0)
    {
      jc_http_set_data (req, pending_call);
      return;
    }
  g_free (pending_call);
  jc_http_fail (req, JC_NOT_READY, "No state instance is reachable.",
                RETRY_AFTER_MS);
}

static void
on_admin_reply (void *ctx, enum jc_status status,
                const struct rpc_packet *reply)
{
  struct pending_call *pending_call = ctx;
  struct jc_http_req *req = pending_call->req;
  const struct rpc_admin_reply *msg;

  g_free (pending_call);
  if (req == NULL)
    return;
  jc_http_set_data (req, NULL);
  if (status != JC_OK || reply->body.type != RPC_ADMIN_REPLY)
    {
      jc_http_fail (req, status == JC_OK ? JC_INTERNAL : status,
                    jc_last_message (), RETRY_AFTER_MS);
      return;
    }
  msg = &reply->body.rpc_body_u.admin_reply;
  jc_http_reply (req, jc_status_info ((enum jc_status)msg->status)->http_status,
                 "application/json",
                 (struct jc_str){ .data = msg->json.rpc_bytes_val,
                                  .len = msg->json.rpc_bytes_len },
                 NULL);
}

/* Handle POST /admin: pass the verb of the query and the JSON body to the state
   instance that the query names, else to the first that is connected.  */
static void
handle_admin (struct entry *entry, struct jc_http_req *req)
{
  struct rpc_packet packet = { .body.type = RPC_ADMIN };
  struct rpc_admin *admin = &packet.body.rpc_body_u.admin;
  const char *verb = jc_http_query (req, "verb");
  const char *name = jc_http_query (req, "state");
  struct jc_str body = jc_http_body (req);
  struct pending_call *pending_call;

  if (verb == NULL)
    {
      jc_http_fail (req, JC_BAD_REQUEST, "verb is needed.", 0);
      return;
    }
  admin->verb = (char *)verb;
  admin->json.rpc_bytes_val = (char *)body.data;
  admin->json.rpc_bytes_len = (u_int)body.len;
  pending_call = g_new0 (struct pending_call, 1);
  pending_call->req = req;
  if (jc_rpc_call (name != NULL ? jc_rpc_find_conn (entry->rpc, name)
                                : configsync_state_conn (entry),
                   &packet, CALL_TIMEOUT_MS, on_admin_reply, pending_call)
      != 0)
    {
      jc_http_set_data (req, pending_call);
      return;
    }
  g_free (pending_call);
  jc_http_fail (req, JC_NOT_READY, "That state instance is not reachable.",
                RETRY_AFTER_MS);
}

static void
handle_status (struct entry *entry, struct jc_http_req *req)
{
  char *text = g_strdup_printf (
      "{\"name\":\"%s\",\"config_version\":%" G_GUINT64_FORMAT
      ",\"endpoints\":%u,\"in_flight\":%u,\"draining\":%s}",
      entry->settings->name, entry->config->version,
      jc_endpoints_count (entry->members), entry->in_flight,
      entry->draining ? "true" : "false");

  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  g_free (text);
}

static void
handle_metrics (struct entry *entry, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);

  if (entry->router != NULL)
    gauges_set (entry->router);
  jc_metrics_append_text (entry->metrics, out);
  jc_rpc_append_metrics (entry->rpc, out);
  jc_event_append_metrics (out);
  jc_http_reply (req, 200, "text/plain; version=0.0.4",
                 jc_str_from_gstring (out), NULL);
  g_string_free (out, TRUE);
}

static void
handle_config (struct entry *entry, struct jc_http_req *req)
{
  char *text = json_dumps (entry->config->json, JSON_COMPACT);

  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
}

/* A method and path that operators may request, and its handler.  */
struct operator_request
{
  const char *method;
  const char *path;
  void (*handle) (struct entry *entry, struct jc_http_req *req);
};

static const struct operator_request operator_requests[]
    = { { "POST", "/config", handle_submit },
        { "POST", "/drain", drain_handle },
        { "GET", "/config", handle_config },
        { "POST", "/admin", handle_admin },
        { "GET", "/explain", explain_handle },
        { "GET", "/status", handle_status },
        { "GET", METRICS_PATH, handle_metrics },
        { "GET", "/suspects", crashes_handle_list },
        { "GET", "/quotas", quotas_handle_show },
        { "POST", "/suspects/clear", crashes_handle_clear } };

static void
operators_body (void *ctx, struct jc_http_req *req)
{
  for (size_t i = 0; i < G_N_ELEMENTS (operator_requests); i++)
    if (strcmp (operator_requests[i].path, jc_http_path (req)) == 0
        && strcmp (operator_requests[i].method, jc_http_method (req)) == 0)
      {
        operator_requests[i].handle (ctx, req);
        return;
      }
  jc_http_fail (req, JC_NOT_FOUND, "There is no such request.", 0);
}

/* The operator closed its connection: REQ is freed, and a late reply of a state
   instance must not use it.  */
static void
operators_closed (void *ctx, struct jc_http_req *req)
{
  struct pending_call *pending_call = jc_http_data (req);

  (void)ctx;
  if (pending_call != NULL)
    pending_call->req = NULL;
}

/* Open the listener for operators at the address of the settings.  Return NULL
   if that fails, with the reason in jc_last_message.  */
struct jc_httpd *
operators_listen (struct entry *entry)
{
  static const struct jc_httpd_class listener_class
      = { .head = operators_head,
          .body = operators_body,
          .peer_closed = operators_closed };

  return jc_httpd_new (entry->loop, entry->settings->operators, &listener_class,
                       entry, BODY_MAX_BYTES);
}
