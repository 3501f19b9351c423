/* Listener for operators.  */

#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "entry/entry.h"
#include "entry/router.h"

#define METRICS_PATH "/metrics"

enum
{
  SUBMIT_MS = 5000,
  RETRY_AFTER_MS = 1000,
  BODY_MAX = 16 * 1024 * 1024
};

/* Metrics are for any reader where no token is set.  */
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

/* A question to a state instance under way; REQ is NULL once its operator has
 * gone.  */
struct question
{
  struct jc_http_req *req;
};

static void
on_submit_reply (void *ctx, enum jc_status status,
                 const struct rpc_packet *reply)
{
  struct question *question = ctx;
  struct jc_http_req *req = question->req;
  const struct rpc_submit_reply *said;
  char *text;

  g_free (question);
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
  said = &reply->body.rpc_body_u.submit_reply;
  text = g_strdup_printf (
      "{\"status\":\"%s\",\"version\":%" G_GUINT64_FORMAT ",\"faults\":%.*s}",
      jc_status_name ((enum jc_status)said->status), said->at_version,
      said->faults.rpc_bytes_len > 0 ? (int)said->faults.rpc_bytes_len : 2,
      said->faults.rpc_bytes_len > 0 ? said->faults.rpc_bytes_val : "[]");
  jc_http_reply (req, jc_status_row ((enum jc_status)said->status)->http,
                 "application/json", jc_str_from (text), NULL);
  g_free (text);
}

static void
handle_submit (struct entry *entry, struct jc_http_req *req)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT };
  struct rpc_submit *submit = &packet.body.rpc_body_u.submit;
  const char *expected = jc_http_query (req, "expected_version");
  const char *id = jc_http_query (req, "change_id");
  struct jc_str body = jc_http_body (req);
  struct question *question;

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
  question = g_new0 (struct question, 1);
  question->req = req;
  if (jc_rpc_call (configsync_state_conn (entry), &packet, SUBMIT_MS,
                   on_submit_reply, question)
      != 0)
    {
      jc_http_set_data (req, question);
      return;
    }
  g_free (question);
  jc_http_fail (req, JC_NOT_READY, "No state instance is reachable.",
                RETRY_AFTER_MS);
}

static void
on_admin_reply (void *ctx, enum jc_status status,
                const struct rpc_packet *reply)
{
  struct question *asked = ctx;
  struct jc_http_req *req = asked->req;
  const struct rpc_admin_reply *said;

  g_free (asked);
  if (req == NULL)
    return;
  jc_http_set_data (req, NULL);
  if (status != JC_OK || reply->body.type != RPC_ADMIN_REPLY)
    {
      jc_http_fail (req, status == JC_OK ? JC_INTERNAL : status,
                    jc_last_message (), RETRY_AFTER_MS);
      return;
    }
  said = &reply->body.rpc_body_u.admin_reply;
  jc_http_reply (req, jc_status_row ((enum jc_status)said->status)->http,
                 "application/json",
                 (struct jc_str){ .data = said->json.rpc_bytes_val,
                                  .len = said->json.rpc_bytes_len },
                 NULL);
}

/* Hand the verb of the query with the JSON body to the state instance that
   the query names, else to the nearest.  */
static void
handle_admin (struct entry *entry, struct jc_http_req *req)
{
  struct rpc_packet packet = { .body.type = RPC_ADMIN };
  struct rpc_admin *admin = &packet.body.rpc_body_u.admin;
  const char *verb = jc_http_query (req, "verb");
  const char *name = jc_http_query (req, "state");
  struct jc_str body = jc_http_body (req);
  struct question *asked;

  if (verb == NULL)
    {
      jc_http_fail (req, JC_BAD_REQUEST, "verb is needed.", 0);
      return;
    }
  admin->verb = (char *)verb;
  admin->json.rpc_bytes_val = (char *)body.data;
  admin->json.rpc_bytes_len = (u_int)body.len;
  asked = g_new0 (struct question, 1);
  asked->req = req;
  if (jc_rpc_call (name != NULL ? jc_rpc_find (entry->rpc, name)
                                : configsync_state_conn (entry),
                   &packet, SUBMIT_MS, on_admin_reply, asked)
      != 0)
    {
      jc_http_set_data (req, asked);
      return;
    }
  g_free (asked);
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

  jc_http_reply (req, 200, "application/json", jc_str_from (text), NULL);
  g_free (text);
}

static void
handle_metrics (struct entry *entry, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);

  if (entry->router != NULL)
    gauges_set (entry->router);
  jc_metrics_print (entry->metrics, out);
  jc_rpc_print_traffic (entry->rpc, out);
  jc_event_print_dropped (out);
  jc_http_reply (req, 200, "text/plain; version=0.0.4", jc_str_of (out), NULL);
  g_string_free (out, TRUE);
}

static void
handle_config (struct entry *entry, struct jc_http_req *req)
{
  char *text = json_dumps (entry->config->json, JSON_COMPACT);

  jc_http_reply (req, 200, "application/json", jc_str_from (text), NULL);
  free (text);
}

/* One request that operators may make.  */
struct operator_verb
{
  const char *method;
  const char *path;
  void (*handle) (struct entry *entry, struct jc_http_req *req);
};

static const struct operator_verb verbs[] = {
  { "POST", "/config", handle_submit },   { "POST", "/drain", drain_handle },
  { "GET", "/config", handle_config },    { "POST", "/admin", handle_admin },
  { "GET", "/explain", explain_handle },  { "GET", "/status", handle_status },
  { "GET", METRICS_PATH, handle_metrics }
};

static void
operators_body (void *ctx, struct jc_http_req *req)
{
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].path, jc_http_path (req)) == 0
        && strcmp (verbs[i].method, jc_http_method (req)) == 0)
      {
        verbs[i].handle (ctx, req);
        return;
      }
  jc_http_fail (req, JC_NOT_FOUND, "There is no such request.", 0);
}

/* The operator closed its connection; a late reply must not touch REQ.  */
static void
operators_gone (void *ctx, struct jc_http_req *req)
{
  struct question *question = jc_http_data (req);

  (void)ctx;
  if (question != NULL)
    question->req = NULL;
}

/* Open the listener for operators.  */
struct jc_httpd *
operators_listen (struct entry *entry)
{
  static const struct jc_httpd_class klass = { .head = operators_head,
                                               .body = operators_body,
                                               .gone = operators_gone };

  return jc_httpd_new (entry->loop, entry->settings->operators, &klass, entry,
                       BODY_MAX);
}
