/* Requests that must run at most once: this instance as their owner.

   The caller may leave; the request goes on until its result is recorded at
   the home, since the endpoint may have run it.  */

#include <sodium.h>
#include <string.h>

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
  WAIT_MAX_MS = 10000,
  WAIT_MARGIN_MS = 1000,
  RPC_TIMEOUT_MS = 5000,
  RUN_GRACE_MS = 30000,
  RETRY_AFTER_MS = 1000,
  ATTEMPTS_MAX = 3,
  KEY_MAX = 128,
  ANSWER_MAX_BYTES = 1024 * 1024,
  DIGEST_BYTES = 32
};

/* A request that this instance owns.  REQ is NULL once its caller left.  */
struct keyed
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
  char *type;
  GBytes *body;
  unsigned char digest[DIGEST_BYTES];
  char *claim_id;
  uint64_t claim_xid;
  uint64_t result_xid;
  int64_t started_ms;
  unsigned int attempts;
  uint64_t fence;
  char *endpoint;
  struct jc_call *call;
  GString *answer;
  char *answer_type;
  int http;
  bool ended;
  ev_timer tick;
};

static void
endpoint_left (struct keyed *keyed)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (keyed->entry->members, keyed->endpoint);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
}

static void
keyed_free (struct keyed *keyed)
{
  struct entry *entry = keyed->entry;

  ev_timer_stop (entry->loop, &keyed->tick);
  jc_rpc_forget (entry->rpc, keyed->claim_xid);
  jc_rpc_forget (entry->rpc, keyed->result_xid);
  entry->in_flight--;
  g_free (keyed->product);
  g_free (keyed->route);
  g_free (keyed->home);
  g_free (keyed->service);
  g_free (keyed->model);
  g_free (keyed->key);
  g_free (keyed->method);
  g_free (keyed->path);
  g_free (keyed->type);
  g_bytes_unref (keyed->body);
  g_free (keyed->claim_id);
  g_free (keyed->endpoint);
  g_free (keyed->answer_type);
  g_string_free (keyed->answer, TRUE);
  g_free (keyed);
}

/* Return the connection to the authority of KEYED's home, the first state
   instance of its region by name, or NULL.  */
static struct jc_rpc_conn *
home_conn (const struct keyed *keyed)
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
  return first != NULL ? jc_rpc_find (keyed->entry->rpc, first->name) : NULL;
}

/* The ledger's reply to a claim, or nothing: then the owner's next tick
   claims again.  */
static void
on_claim_reply (void *ctx, enum jc_status status,
                const struct rpc_packet *reply)
{
  struct keyed *keyed = ctx;

  keyed->claim_xid = 0;
  if (status == JC_HOME_UNREACHABLE)
    jc_owner_claim_unsent (&keyed->owner, jc_now_ms ());
  else if (status == JC_OK && reply->body.type == RPC_CLAIM_REPLY)
    jc_owner_handle_claim_reply (
        &keyed->owner, &reply->body.rpc_body_u.claim_reply, jc_now_ms ());
}

static void
owner_claim (void *ctx)
{
  struct keyed *keyed = ctx;
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
  jc_rpc_forget (keyed->entry->rpc, keyed->claim_xid);
  keyed->claim_xid = 0;
  if (conn != NULL)
    keyed->claim_xid
        = jc_rpc_call (conn, &packet, RPC_TIMEOUT_MS, on_claim_reply, keyed);
  if (keyed->claim_xid == 0)
    jc_owner_claim_unsent (&keyed->owner, jc_now_ms ());
}

static void
on_result_reply (void *ctx, enum jc_status status,
                 const struct rpc_packet *reply)
{
  struct keyed *keyed = ctx;

  keyed->result_xid = 0;
  if (status == JC_OK && reply->body.type == RPC_RESULT_REPLY)
    jc_owner_handle_result_reply (
        &keyed->owner,
        (enum jc_status)reply->body.rpc_body_u.result_reply.status);
}

static void
owner_result (void *ctx, enum jc_run_state outcome, uint64_t fence)
{
  struct keyed *keyed = ctx;
  struct rpc_packet packet = { .body.type = RPC_RESULT };
  struct rpc_result *result = &packet.body.rpc_body_u.result;
  struct jc_rpc_conn *conn = home_conn (keyed);

  result->product = keyed->product;
  result->route = keyed->route;
  result->key = keyed->key;
  result->claim_id = keyed->claim_id;
  result->fence = fence;
  result->outcome = (int)outcome;
  result->http_status = keyed->http;
  result->content_type = keyed->answer_type != NULL ? keyed->answer_type : "";
  result->answer_dropped = keyed->answer->len > ANSWER_MAX_BYTES;
  if (outcome == JC_RUN && !result->answer_dropped)
    {
      result->answer.rpc_bytes_val = keyed->answer->str;
      result->answer.rpc_bytes_len = (u_int)keyed->answer->len;
    }
  jc_rpc_forget (keyed->entry->rpc, keyed->result_xid);
  keyed->result_xid = 0;
  if (conn != NULL)
    keyed->result_xid
        = jc_rpc_call (conn, &packet, RPC_TIMEOUT_MS, on_result_reply, keyed);
}

static void
keyed_count (const struct keyed *keyed, const char *outcome)
{
  char *labels = g_strdup_printf ("product=\"%s\",outcome=\"%s\"",
                                  keyed->product, outcome);
  char *product = g_strdup_printf ("product=\"%s\"", keyed->product);
  int64_t took = jc_now_ms () - keyed->started_ms;

  jc_metrics_count (keyed->entry->metrics, "jaycove_keyed_total", labels, 1);
  jc_metrics_observe (keyed->entry->metrics, "jaycove_keyed_ms", product,
                      (uint64_t)took);
  g_free (labels);
  g_free (product);
}

/* Take the caller's request out of KEYED, to be answered; NULL where the
   caller has left.  */
static struct jc_http_req *
take_req (struct keyed *keyed)
{
  struct jc_http_req *req = keyed->req;

  keyed->req = NULL;
  if (req != NULL)
    jc_http_set_data (req, NULL);
  return req;
}

static void
owner_answer (void *ctx)
{
  struct keyed *keyed = ctx;
  struct jc_http_req *req = take_req (keyed);
  struct jc_http_header headers[]
      = { { "X-Jaycove-Endpoint", keyed->endpoint }, { NULL, NULL } };

  keyed_count (keyed, "done");
  if (req != NULL)
    jc_http_reply (req, keyed->http, keyed->answer_type,
                   jc_str_of (keyed->answer), headers);
}

static void
owner_answer_recorded (void *ctx, const struct rpc_claim_reply *reply)
{
  static const struct jc_http_header headers[]
      = { { "X-Jaycove-Recorded", "1" }, { NULL, NULL } };
  struct keyed *keyed = ctx;
  struct jc_http_req *req = take_req (keyed);

  keyed_count (keyed, "recorded");
  if (req != NULL)
    jc_http_reply (req, reply->http_status,
                   reply->content_type[0] != '\0' ? reply->content_type : NULL,
                   (struct jc_str){ .data = reply->answer.rpc_bytes_val,
                                    .len = reply->answer.rpc_bytes_len },
                   headers);
}

/* What a caller is told beside the kind.  */
static const char *
message_of (enum jc_status status)
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
owner_fail (void *ctx, enum jc_status status)
{
  struct keyed *keyed = ctx;
  struct jc_http_req *req = take_req (keyed);

  keyed_count (keyed, jc_status_name (status));
  if (req != NULL)
    jc_http_fail (req, status, message_of (status), RETRY_AFTER_MS);
}

/* Nothing is left to do; KEYED is freed from the loop, since its owner may
   still be on the stack.  */
static void
owner_ended (void *ctx)
{
  struct keyed *keyed = ctx;

  keyed->ended = true;
  ev_timer_stop (keyed->entry->loop, &keyed->tick);
  ev_timer_set (&keyed->tick, 0, 0);
  ev_timer_start (keyed->entry->loop, &keyed->tick);
}

static void
run_head (void *ctx, int http, const char *content_type)
{
  struct keyed *keyed = ctx;

  keyed->http = http;
  g_free (keyed->answer_type);
  keyed->answer_type = g_strdup (content_type);
}

static void
run_data (void *ctx, struct jc_str data)
{
  struct keyed *keyed = ctx;

  g_string_append_len (keyed->answer, data.data, (gssize)data.len);
}

static enum jc_status run_attempt (struct keyed *keyed);

/* An attempt ended.  Only where no byte of it can have reached an endpoint
   may another one follow.  */
static void
run_done (void *ctx, const struct jc_call_result *result)
{
  struct keyed *keyed = ctx;
  bool whole = result->status == JC_OK && result->framed;
  enum jc_status status = JC_NO_ENDPOINT;

  keyed->call = NULL;
  endpoint_left (keyed);
  if (!result->sent)
    status = run_attempt (keyed);
  if (status != JC_OK)
    jc_owner_run_ended (&keyed->owner, whole, result->sent, status,
                        jc_now_ms ());
}

static void
run_call (struct keyed *keyed, const struct jc_endpoint *endpoint,
          int64_t left_ms)
{
  static const struct jc_call_ops ops
      = { .head = run_head, .data = run_data, .done = run_done };
  gsize len;
  const char *body = g_bytes_get_data (keyed->body, &len);
  char *url = g_strconcat ("http://", endpoint->address, keyed->path, NULL);
  char *type = g_strconcat ("Content-Type: ", keyed->type, NULL);
  char *key = g_strconcat ("Idempotency-Key: ", keyed->key, NULL);
  char *fence
      = g_strdup_printf ("X-Jaycove-Fence: %" G_GUINT64_FORMAT, keyed->fence);
  const char *headers[] = { type, key, fence, NULL };
  struct jc_call_spec spec = { .method = keyed->method,
                               .url = url,
                               .headers = headers,
                               .body = { .data = body, .len = len },
                               .connect_ms = CONNECT_MS,
                               .total_ms = (long)left_ms + RUN_GRACE_MS,
                               .fresh = true };

  keyed->call = jc_call_start (keyed->entry->httpc, &spec, &ops, keyed);
  g_free (url);
  g_free (type);
  g_free (key);
  g_free (fence);
}

/* Send the request to an endpoint, if one can be had in time.  */
static enum jc_status
run_attempt (struct keyed *keyed)
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
  g_free (keyed->endpoint);
  keyed->endpoint = g_strdup (endpoint->name);
  endpoint->in_flight++;
  g_string_truncate (keyed->answer, 0);
  run_call (keyed, endpoint, keyed->owner.deadline_ms - now);
  return JC_OK;
}

static enum jc_status
owner_dispatch (void *ctx, uint64_t fence)
{
  struct keyed *keyed = ctx;

  keyed->fence = fence;
  return run_attempt (keyed);
}

static const struct jc_owner_ops owner_ops
    = { .send_claim = owner_claim,
        .dispatch = owner_dispatch,
        .send_result = owner_result,
        .answer = owner_answer,
        .answer_from_record = owner_answer_recorded,
        .fail = owner_fail,
        .ended = owner_ended };

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct keyed *keyed = watcher->data;

  (void)loop;
  (void)events;
  if (keyed->ended)
    keyed_free (keyed);
  else
    jc_owner_tick (&keyed->owner, jc_now_ms ());
}

static void
keyed_gone (void *work)
{
  struct keyed *keyed = work;

  keyed->req = NULL;
}

static const struct handler_class keyed_class = { .caller_closed = keyed_gone };

/* Digest what the endpoint would be sent, so that a key can't be used for two
   different requests.  */
static void
digest_fill (struct keyed *keyed)
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

static struct keyed *
keyed_new (struct entry *entry, const struct request_spec *order,
           const char *key)
{
  static uint64_t claims;
  struct keyed *keyed = g_new0 (struct keyed, 1);
  const char *type = jc_http_header (order->req, "Content-Type");
  struct jc_str body = jc_http_body (order->req);

  keyed->klass = &keyed_class;
  keyed->entry = entry;
  keyed->req = order->req;
  keyed->product = g_strdup (order->product->name);
  keyed->route = g_strdup (order->route->name);
  keyed->home = g_strdup (order->route->home);
  keyed->service = g_strdup (order->route->service);
  keyed->model = g_strdup (order->route->model_version);
  keyed->key = g_strdup (key);
  keyed->method = g_strdup (jc_http_method (order->req));
  keyed->path = g_strdup (order->path);
  keyed->type = g_strdup (type != NULL ? type : "application/json");
  keyed->body = g_bytes_new (body.data, body.len);
  keyed->claim_id = g_strdup_printf (
      "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, entry->settings->name,
      jc_rpc_incarnation (entry->rpc), ++claims);
  keyed->answer = g_string_new (NULL);
  keyed->started_ms = jc_now_ms ();
  digest_fill (keyed);
  return keyed;
}

/* Tell whether KEY can be carried as it is: visible ASCII of bounded
   length.  */
static bool
key_valid (const char *key)
{
  size_t len = strlen (key);

  for (size_t i = 0; i < len; i++)
    if (key[i] < '!' || key[i] > '~')
      return false;
  return len > 0 && len < KEY_MAX;
}

/* Serve the non-idempotent request of ORDER.  */
void
keyed_start (struct entry *entry, const struct request_spec *order)
{
  const char *key = jc_http_header (order->req, "Idempotency-Key");
  struct keyed *keyed;
  int64_t wait_ms;

  if (key == NULL || !key_valid (key))
    {
      jc_http_fail (order->req, JC_KEY_REQUIRED,
                    "This route needs an Idempotency-Key of 1 to 127 visible "
                    "ASCII characters.",
                    0);
      return;
    }
  keyed = keyed_new (entry, order, key);
  entry->in_flight++;
  jc_http_set_data (order->req, keyed);
  ev_timer_init (&keyed->tick, on_tick, (double)TICK_MS / MS_PER_S,
                 (double)TICK_MS / MS_PER_S);
  keyed->tick.data = keyed;
  ev_timer_start (entry->loop, &keyed->tick);
  keyed->owner.ops = &owner_ops;
  keyed->owner.ctx = keyed;
  keyed->owner.deadline_ms = order->deadline_ms;
  wait_ms = order->deadline_ms - keyed->started_ms - WAIT_MARGIN_MS;
  keyed->owner.wait_until_ms = keyed->started_ms + MIN (wait_ms, WAIT_MAX_MS);
  jc_owner_start (&keyed->owner, keyed->started_ms);
}

/* Take a message of a ledger that asks this instance to hold a copy.  */
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
  jc_rpc_answer (conn, packet, &answer);
}
