/* Requests with an Idempotency-Key, which must run at most once.  This instance
   owns such a request: it claims the key at the ledger of the route's home
   region, runs the request once and records the result there.

   If the caller closes its connection, the request goes on until its result is
   recorded, since the endpoint may have run it.  */

#include <sodium.h>
#include <string.h>

#include "base/buffers.h"
#include "entry/entry.h"
#include "ledger/copy.h"
#include "ledger/owner.h"
#include "net/program.h"

enum
{
  TICK_MS = 100,
  MS_PER_S = 1000,
  CONNECT_MS = 1000,
  CLAIM_WAIT_MS = 800,
  KEY_WAIT_MAX_MS = 10000,
  KEY_WAIT_MARGIN_MS = 1000,
  RPC_TIMEOUT_MS = 5000,
  CALL_GRACE_MS = 30000,
  RETRY_AFTER_MS = 1000,
  ATTEMPTS_MAX = 3,
  KEY_LIMIT_BYTES = 128,
  /* Larger answers aren't stored in the record.  */
  ANSWER_MAX_BYTES = 1024 * 1024,
  /* Larger ones are given up: they may have no end.  */
  ANSWER_READ_MAX_BYTES = 16 * 1024 * 1024,
  DIGEST_BYTES = 32
};

/* A request that this instance owns.  REQ is NULL once it was answered or its
   caller closed the connection.  HOME is the region whose ledger has the key.
   DIGEST identifies the request, CLAIM_ID this claim to its key.  CLAIM_XID and
   RESULT_XID are the calls to the ledger under way, 0 for none.  FENCE is the
   fencing token that the ledger granted.  ENDPOINT_NAME, HTTP_STATUS,
   ANSWER_CONTENT_TYPE and ANSWER are of the last attempt, BUFFERED is what
   ANSWER takes.  ENDED means that the next run of TICK frees the request.  */
struct keyed_request
{
  const struct handler_class *klass;
  struct jc_owner owner;
  struct entry *entry;
  struct jc_http_req *req;
  char *product;
  char *route;
  char *home;
  char *service;
  char *model;
  char *key;
  char *method;
  char *path;
  char *content_type;
  GBytes *body;
  unsigned char digest[DIGEST_BYTES];
  char *claim_id;
  uint64_t claim_xid;
  uint64_t result_xid;
  int64_t started_ms;
  unsigned int attempts;
  uint64_t fence;
  char *endpoint_name;
  struct jc_httpc_call *call;
  GString *answer;
  struct jc_buffered buffered;
  char *answer_content_type;
  int http_status;
  bool ended;
  ev_timer tick;
};

/* The current attempt no longer counts as in flight at its endpoint.  */
static void
endpoint_release (struct keyed_request *keyed)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (keyed->entry->members, keyed->endpoint_name);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
}

static void
keyed_free (struct keyed_request *keyed)
{
  struct entry *entry = keyed->entry;

  ev_timer_stop (entry->loop, &keyed->tick);
  jc_rpc_cancel_call (entry->rpc, keyed->claim_xid);
  jc_rpc_cancel_call (entry->rpc, keyed->result_xid);
  entry->in_flight--;
  g_free (keyed->product);
  g_free (keyed->route);
  g_free (keyed->home);
  g_free (keyed->service);
  g_free (keyed->model);
  g_free (keyed->key);
  g_free (keyed->method);
  g_free (keyed->path);
  g_free (keyed->content_type);
  g_bytes_unref (keyed->body);
  g_free (keyed->claim_id);
  g_free (keyed->endpoint_name);
  g_free (keyed->answer_content_type);
  g_string_free (keyed->answer, TRUE);
  jc_buffered_set (&keyed->buffered, 0);
  g_free (keyed);
}

/* Return the connection to the state instance that keeps the ledger of KEYED's
   home region, the first by name there, or NULL if it is not connected.  */
static struct jc_rpc_conn *
home_conn (const struct keyed_request *keyed)
{
  const GPtrArray *peers = keyed->entry->settings->state_peers;
  const struct jc_peer *first = NULL;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);

      if (strcmp (peer->region, keyed->home) == 0
          && (first == NULL || strcmp (peer->name, first->name) < 0))
        first = peer;
    }
  return first != NULL ? jc_rpc_find_conn (keyed->entry->rpc, first->name)
                       : NULL;
}

/* Pass the ledger's reply to the owner.  If no reply came, the owner's next
   tick sends the claim again.  */
static void
on_claim_reply (void *ctx, enum jc_status status,
                const struct rpc_packet *reply)
{
  struct keyed_request *keyed = ctx;

  keyed->claim_xid = 0;
  if (status == JC_HOME_UNREACHABLE)
    jc_owner_handle_claim_not_sent (&keyed->owner, jc_now_ms ());
  else if (status == JC_OK && reply->body.type == RPC_CLAIM_REPLY)
    jc_owner_handle_claim_reply (
        &keyed->owner, &reply->body.rpc_body_u.claim_reply, jc_now_ms ());
}

/* Send the claim to the ledger, in place of an earlier one that is still
   unanswered.  */
static void
send_claim (void *ctx)
{
  struct keyed_request *keyed = ctx;
  struct rpc_packet packet = { .body.type = RPC_CLAIM };
  struct rpc_claim *claim = &packet.body.rpc_body_u.claim;
  struct jc_rpc_conn *conn = home_conn (keyed);

  claim->product = keyed->product;
  claim->route = keyed->route;
  claim->key = keyed->key;
  claim->digest.rpc_bytes_val = (char *)keyed->digest;
  claim->digest.rpc_bytes_len = DIGEST_BYTES;
  claim->claim_id = keyed->claim_id;
  claim->wait_ms = CLAIM_WAIT_MS;
  jc_rpc_cancel_call (keyed->entry->rpc, keyed->claim_xid);
  keyed->claim_xid = 0;
  if (conn != NULL)
    keyed->claim_xid
        = jc_rpc_call (conn, &packet, RPC_TIMEOUT_MS, on_claim_reply, keyed);
  if (keyed->claim_xid == 0)
    jc_owner_handle_claim_not_sent (&keyed->owner, jc_now_ms ());
}

static void
on_result_reply (void *ctx, enum jc_status status,
                 const struct rpc_packet *reply)
{
  struct keyed_request *keyed = ctx;

  keyed->result_xid = 0;
  if (status == JC_OK && reply->body.type == RPC_RESULT_REPLY)
    jc_owner_handle_result_reply (
        &keyed->owner,
        (enum jc_status)reply->body.rpc_body_u.result_reply.status);
}

/* Record OUTCOME at the ledger.  An answer over ANSWER_MAX_BYTES is not
   kept there.  */
static void
send_result (void *ctx, enum jc_run_state outcome, uint64_t fence)
{
  struct keyed_request *keyed = ctx;
  struct rpc_packet packet = { .body.type = RPC_RESULT };
  struct rpc_result *result = &packet.body.rpc_body_u.result;
  struct jc_rpc_conn *conn = home_conn (keyed);

  result->product = keyed->product;
  result->route = keyed->route;
  result->key = keyed->key;
  result->claim_id = keyed->claim_id;
  result->fence = fence;
  result->outcome = (int)outcome;
  result->http_status = keyed->http_status;
  result->content_type
      = keyed->answer_content_type != NULL ? keyed->answer_content_type : "";
  result->answer_dropped = keyed->answer->len > ANSWER_MAX_BYTES;
  if (outcome == JC_RUN && !result->answer_dropped)
    {
      result->answer.rpc_bytes_val = keyed->answer->str;
      result->answer.rpc_bytes_len = (u_int)keyed->answer->len;
    }
  jc_rpc_cancel_call (keyed->entry->rpc, keyed->result_xid);
  keyed->result_xid = 0;
  if (conn != NULL)
    keyed->result_xid
        = jc_rpc_call (conn, &packet, RPC_TIMEOUT_MS, on_result_reply, keyed);
}

static void
keyed_count (const struct keyed_request *keyed, const char *outcome)
{
  char *labels = g_strdup_printf ("product=\"%s\",outcome=\"%s\"",
                                  keyed->product, outcome);
  char *product = g_strdup_printf ("product=\"%s\"", keyed->product);
  int64_t elapsed_ms = jc_now_ms () - keyed->started_ms;

  jc_metrics_counter_add (keyed->entry->metrics, "jaycove_keyed_total", labels,
                          1);
  jc_metrics_observe (keyed->entry->metrics, "jaycove_keyed_ms", product,
                      (uint64_t)elapsed_ms);
  g_free (labels);
  g_free (product);
}

/* Detach the caller's request from KEYED and return it, to be answered; NULL if
   it was answered or its caller closed the connection.  */
static struct jc_http_req *
detach_req (struct keyed_request *keyed)
{
  struct jc_http_req *req = keyed->req;

  keyed->req = NULL;
  if (req != NULL)
    jc_http_set_data (req, NULL);
  return req;
}

static void
reply_answer (void *ctx)
{
  struct keyed_request *keyed = ctx;
  struct jc_http_req *req = detach_req (keyed);
  struct jc_http_header headers[]
      = { { "X-Jaycove-Endpoint", keyed->endpoint_name }, { NULL, NULL } };

  keyed_count (keyed, "done");
  if (req != NULL)
    jc_http_reply (req, keyed->http_status, keyed->answer_content_type,
                   jc_str_from_gstring (keyed->answer), headers);
}

static void
reply_recorded_answer (void *ctx, const struct rpc_claim_reply *reply)
{
  static const struct jc_http_header headers[]
      = { { "X-Jaycove-Recorded", "1" }, { NULL, NULL } };
  struct keyed_request *keyed = ctx;
  struct jc_http_req *req = detach_req (keyed);

  keyed_count (keyed, "recorded");
  if (req != NULL)
    jc_http_reply (req, reply->http_status,
                   reply->content_type[0] != '\0' ? reply->content_type : NULL,
                   (struct jc_str){ .data = reply->answer.rpc_bytes_val,
                                    .len = reply->answer.rpc_bytes_len },
                   headers);
}

/* Return the text of an error answer with STATUS.  */
static const char *
status_message (enum jc_status status)
{
  static const struct
  {
    enum jc_status status;
    const char *message;
  } messages[] = {
    { JC_OUTCOME_UNKNOWN,
      "The request may have run. Send it again with the same key to learn its "
      "outcome; it will not run again." },
    { JC_KEY_IN_PROGRESS,
      "Another request with this key is under way. Send it again with the "
      "same key." },
    { JC_KEY_CONFLICT, "The key was used for a different request." },
    { JC_HOME_UNREACHABLE,
      "The ledger of the home region can't be reached; this request was not "
      "run. Keep the key." },
    { JC_HOME_RECOVERING,
      "The ledger of the home region is recovering; this request was not run. "
      "Keep the key." },
    { JC_ANSWER_GONE, "The request has run; its answer is no longer kept." },
    { JC_NO_ENDPOINT,
      "No endpoint could be reached; the request was not run." }
  };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    if (messages[i].status == status)
      return messages[i].message;
  return "The request was not run in time.";
}

static void
reply_failure (void *ctx, enum jc_status status)
{
  struct keyed_request *keyed = ctx;
  struct jc_http_req *req = detach_req (keyed);

  keyed_count (keyed, jc_status_name (status));
  if (req != NULL)
    jc_http_fail (req, status, status_message (status), RETRY_AFTER_MS);
}

/* Nothing is left to do.  The request is freed from the event loop, since its
   owner may still be on the stack.  */
static void
schedule_free (void *ctx)
{
  struct keyed_request *keyed = ctx;

  keyed->ended = true;
  ev_timer_stop (keyed->entry->loop, &keyed->tick);
  ev_timer_set (&keyed->tick, 0, 0);
  ev_timer_start (keyed->entry->loop, &keyed->tick);
}

static void
call_on_head (void *ctx, int http, const char *content_type)
{
  struct keyed_request *keyed = ctx;

  keyed->http_status = http;
  g_free (keyed->answer_content_type);
  keyed->answer_content_type = g_strdup (content_type);
}

static void
call_on_data (void *ctx, struct jc_str data)
{
  struct keyed_request *keyed = ctx;

  g_string_append_len (keyed->answer, data.data, (gssize)data.len);
  jc_buffered_set (&keyed->buffered, keyed->answer->allocated_len);
  if (keyed->answer->len <= jc_buffers_limit (ANSWER_READ_MAX_BYTES))
    return;
  jc_httpc_call_cancel (keyed->call);
  keyed->call = NULL;
  endpoint_release (keyed);
  jc_owner_run_ended (&keyed->owner, false, true, JC_ENDPOINT_FAILED,
                      jc_now_ms ());
}

static enum jc_status run_attempt (struct keyed_request *keyed);

/* An attempt ended.  Another one may follow only if no byte of this one can
   have reached an endpoint.  */
static void
call_on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct keyed_request *keyed = ctx;
  bool complete = result->status == JC_OK && result->framed;
  enum jc_status status = JC_NO_ENDPOINT;

  keyed->call = NULL;
  endpoint_release (keyed);
  if (!result->sent)
    status = run_attempt (keyed);
  if (status != JC_OK)
    jc_owner_run_ended (&keyed->owner, complete, result->sent, status,
                        jc_now_ms ());
}

static void
run_call (struct keyed_request *keyed, const struct jc_endpoint *endpoint,
          int64_t left_ms)
{
  static const struct jc_httpc_call_ops ops
      = { .head = call_on_head, .data = call_on_data, .done = call_on_done };
  gsize len;
  const char *body = g_bytes_get_data (keyed->body, &len);
  char *url = g_strconcat ("http://", endpoint->address, keyed->path, NULL);
  char *type = g_strconcat ("Content-Type: ", keyed->content_type, NULL);
  char *key = g_strconcat ("Idempotency-Key: ", keyed->key, NULL);
  char *fence
      = g_strdup_printf ("X-Jaycove-Fence: %" G_GUINT64_FORMAT, keyed->fence);
  const char *headers[] = { type, key, fence, NULL };
  struct jc_httpc_call_spec spec
      = { .method = keyed->method,
          .url = url,
          .headers = headers,
          .body = { .data = body, .len = len },
          .connect_timeout_ms = CONNECT_MS,
          .total_timeout_ms = (long)left_ms + CALL_GRACE_MS,
          .own_connection = true };

  keyed->call = jc_httpc_call_start (keyed->entry->httpc, &spec, &ops, keyed);
  g_free (url);
  g_free (type);
  g_free (key);
  g_free (fence);
}

/* Send the request to an endpoint.  Return JC_OK if it is under way,
   JC_DEADLINE_UNMEETABLE if the deadline has passed, or JC_NO_ENDPOINT if no
   endpoint serves it or ATTEMPTS_MAX attempts were made.  */
static enum jc_status
run_attempt (struct keyed_request *keyed)
{
  struct entry *entry = keyed->entry;
  int64_t now = jc_now_ms ();
  GPtrArray *endpoints = g_ptr_array_new ();
  struct jc_endpoint *endpoint;

  jc_endpoints_list_serving (entry->members, keyed->service, keyed->model, now,
                             endpoints);
  endpoint = jc_policy_pick (&entry->policy, endpoints, 0, now);
  g_ptr_array_free (endpoints, TRUE);
  if (now >= keyed->owner.deadline_ms)
    return JC_DEADLINE_UNMEETABLE;
  if (endpoint == NULL || keyed->attempts >= ATTEMPTS_MAX)
    return JC_NO_ENDPOINT;
  keyed->attempts++;
  g_free (keyed->endpoint_name);
  keyed->endpoint_name = g_strdup (endpoint->name);
  endpoint->in_flight++;
  g_string_truncate (keyed->answer, 0);
  run_call (keyed, endpoint, keyed->owner.deadline_ms - now);
  return JC_OK;
}

static enum jc_status
dispatch_request (void *ctx, uint64_t fence)
{
  struct keyed_request *keyed = ctx;

  keyed->fence = fence;
  return run_attempt (keyed);
}

static const struct jc_owner_ops owner_ops
    = { .send_claim = send_claim,
        .dispatch = dispatch_request,
        .send_result = send_result,
        .answer = reply_answer,
        .answer_from_record = reply_recorded_answer,
        .fail = reply_failure,
        .ended = schedule_free };

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct keyed_request *keyed = watcher->data;

  (void)loop;
  (void)events;
  if (keyed->ended)
    keyed_free (keyed);
  else
    jc_owner_tick (&keyed->owner, jc_now_ms ());
}

static void
keyed_on_caller_closed (void *work)
{
  struct keyed_request *keyed = work;

  keyed->req = NULL;
}

static const struct handler_class keyed_class
    = { .caller_closed = keyed_on_caller_closed };

/* Hash method, path and body, so that the ledger can refuse a key that was
   used for a different request.  */
static void
compute_digest (struct keyed_request *keyed)
{
  crypto_generichash_state state;
  gsize len;
  const unsigned char *body = g_bytes_get_data (keyed->body, &len);

  crypto_generichash_init (&state, NULL, 0, DIGEST_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)keyed->method,
                             strlen (keyed->method) + 1);
  crypto_generichash_update (&state, (const unsigned char *)keyed->path,
                             strlen (keyed->path) + 1);
  crypto_generichash_update (&state, body, len);
  crypto_generichash_final (&state, keyed->digest, DIGEST_BYTES);
}

static struct keyed_request *
keyed_new (struct entry *entry, const struct request_spec *spec,
           const char *key)
{
  static uint64_t claims;
  struct keyed_request *keyed = g_new0 (struct keyed_request, 1);
  const char *type = jc_http_header (spec->req, "Content-Type");
  struct jc_str body = jc_http_body (spec->req);

  keyed->klass = &keyed_class;
  keyed->entry = entry;
  keyed->req = spec->req;
  keyed->product = g_strdup (spec->product->name);
  keyed->route = g_strdup (spec->route->name);
  keyed->home = g_strdup (spec->route->home);
  keyed->service = g_strdup (spec->route->service);
  keyed->model = g_strdup (spec->route->model_version);
  keyed->key = g_strdup (key);
  keyed->method = g_strdup (jc_http_method (spec->req));
  keyed->path = g_strdup (spec->path);
  keyed->content_type = g_strdup (type != NULL ? type : "application/json");
  keyed->body = g_bytes_new (body.data, body.len);
  keyed->claim_id = g_strdup_printf (
      "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, entry->settings->name,
      jc_rpc_incarnation (entry->rpc), ++claims);
  keyed->answer = g_string_new (NULL);
  keyed->started_ms = jc_now_ms ();
  compute_digest (keyed);
  return keyed;
}

/* Return true if KEY is 1 to KEY_LIMIT_BYTES - 1 characters of visible ASCII,
   which need no escaping in a header.  */
static bool
key_valid (const char *key)
{
  size_t len = strlen (key);

  for (size_t i = 0; i < len; i++)
    if (key[i] < '!' || key[i] > '~')
      return false;
  return len > 0 && len < KEY_LIMIT_BYTES;
}

/* Serve the request of SPEC, whose route is not idempotent and whose body was
   read.  Without a valid Idempotency-Key it fails with JC_KEY_REQUIRED.  While
   another claim has the key it waits, KEY_WAIT_MAX_MS at most and no closer
   than KEY_WAIT_MARGIN_MS to its deadline.  */
void
keyed_start (struct entry *entry, const struct request_spec *spec)
{
  const char *key = jc_http_header (spec->req, "Idempotency-Key");
  struct keyed_request *keyed;
  int64_t wait_ms;

  if (key == NULL || !key_valid (key))
    {
      jc_http_fail (spec->req, JC_KEY_REQUIRED,
                    "This route needs an Idempotency-Key of 1 to 127 visible "
                    "ASCII characters.",
                    0);
      return;
    }
  keyed = keyed_new (entry, spec, key);
  entry->in_flight++;
  jc_http_set_data (spec->req, keyed);
  ev_timer_init (&keyed->tick, on_tick, (double)TICK_MS / MS_PER_S,
                 (double)TICK_MS / MS_PER_S);
  keyed->tick.data = keyed;
  ev_timer_start (entry->loop, &keyed->tick);
  keyed->owner.ops = &owner_ops;
  keyed->owner.ctx = keyed;
  keyed->owner.deadline_ms = spec->deadline_ms;
  wait_ms = spec->deadline_ms - keyed->started_ms - KEY_WAIT_MARGIN_MS;
  keyed->owner.wait_until_ms
      = keyed->started_ms + MIN (wait_ms, KEY_WAIT_MAX_MS);
  jc_owner_start (&keyed->owner, keyed->started_ms);
}

/* Handle PACKET if it is a ledger of this region that asks this instance to
   hold a copy in memory: store it and answer.  */
void
keyed_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_ledger_copy *message = &packet->body.rpc_body_u.ledger_copy;
  struct rpc_packet answer = { .body.type = RPC_LEDGER_COPY_REPLY };

  if (packet->body.type != RPC_LEDGER_COPY
      || strcmp (message->home, entry->settings->region) != 0)
    return;
  if (entry->held_copies == NULL)
    entry->held_copies = jc_copies_new ();
  jc_copies_handle_message (entry->held_copies, message,
                            &answer.body.rpc_body_u.ledger_copy_reply);
  jc_rpc_reply (conn, packet, &answer);
}
