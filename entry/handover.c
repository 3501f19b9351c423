/* Attempts handed over between regions.  The instance that owns a request
   sends an attempt to an entry instance of one other region.  That instance
   forwards it to an endpoint of its own region or refuses it, but never hands
   it over again.  */

#include <string.h>

#include "base/log.h"
#include "entry/handover.h"
#include "net/deadline.h"
#include "net/program.h"

enum
{
  CONNECT_MS = 1000,
  ANSWER_PAUSE_MAX_MS = 15000,
  DEADLINE_GRACE_MS = 1000,
  BACKLOG_MAX_BYTES = 1024 * 1024,
  BACKLOG_POLL_MS = 20,
  MESSAGE_MAX_BYTES = 500,
  MS_PER_S = 1000
};

/* An attempt that this instance handed over.  ID tells attempts on CONN apart.
   TIMEOUT_TIMER limits the wait for the head, then for the end of the answer,
   which is due at DEADLINE_MS (monotonic).  */
struct handover
{
  struct entry *entry;
  struct jc_rpc_conn *conn;
  uint64_t id;
  const struct handover_ops *ops;
  void *ctx;
  int64_t deadline_ms;
  bool head_received;
  ev_timer timeout_timer;
};

/* An attempt that another region handed over to this instance.  RESUME_FROM is
   the number of events that the caller has; RESUMED means that the endpoint
   continues from there, REFUSED that it said it did not run the request. PAUSED
   means that CALL is not read because too much waits to be sent on CONN;
   BACKLOG_TIMER then polls until less does.  */
struct incoming
{
  struct entry *entry;
  struct jc_rpc_conn *conn;
  uint64_t id;
  struct jc_httpc_call *call;
  struct jc_predict_attempt run;
  char *endpoint_name;
  uint64_t resume_from;
  bool resumed;
  bool refused;
  bool paused;
  ev_timer backlog_timer;
};

static struct handover *
handover_find (const struct entry *entry, const struct jc_rpc_conn *conn,
               uint64_t id)
{
  for (guint i = 0; i < entry->outgoing_handovers->len; i++)
    {
      struct handover *handover
          = g_ptr_array_index (entry->outgoing_handovers, i);

      if (handover->conn == conn && handover->id == id)
        return handover;
    }
  return NULL;
}

static void
handover_unlink (struct handover *handover)
{
  g_ptr_array_remove_fast (handover->entry->outgoing_handovers, handover);
  ev_timer_stop (handover->entry->loop, &handover->timeout_timer);
}

static void
handover_end (struct handover *handover, const struct jc_attempt_end *end)
{
  handover_unlink (handover);
  handover->ops->done (handover->ctx, end);
  g_free (handover);
}

static void
send_cancel (const struct handover *handover)
{
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_CANCEL };

  packet.body.rpc_body_u.handover_cancel.attempt = handover->id;
  jc_rpc_send (handover->conn, &packet);
}

static void
on_handover_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct handover *handover = watcher->data;
  const struct jc_attempt_end end = { .status = JC_TIMEOUT,
                                      .sent = true,
                                      .message = "The other region is late." };

  (void)loop;
  (void)events;
  send_cancel (handover);
  handover_end (handover, &end);
}

static void
handover_set_timeout (struct handover *handover, int64_t ms)
{
  struct ev_loop *loop = handover->entry->loop;

  ev_now_update (loop);
  ev_timer_stop (loop, &handover->timeout_timer);
  ev_timer_set (&handover->timeout_timer, (double)MAX (ms, 0) / MS_PER_S, 0);
  ev_timer_start (loop, &handover->timeout_timer);
}

/* Hand the attempt of SPEC over to the instance at CONN.  Its events go to OPS
   with CTX, never before this returns.  Return the hand-over, valid until its
   done event or handover_cancel, or NULL if nothing was sent.  */
struct handover *
handover_send (struct entry *entry, struct jc_rpc_conn *conn,
               const struct handover_spec *spec, const struct handover_ops *ops,
               void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_HANDOVER };
  struct rpc_handover *msg = &packet.body.rpc_body_u.handover;
  struct handover *handover = g_new0 (struct handover, 1);
  const struct jc_attempt *attempt = spec->attempt;

  handover->id = jc_random_id ();
  packet.head.deadline_ms = (u_int)attempt->total_limit_ms;
  msg->product = (char *)spec->product;
  msg->route = (char *)spec->route;
  msg->origin_region = entry->settings->region;
  msg->attempt = handover->id;
  msg->method = (char *)spec->method;
  msg->path = (char *)spec->path;
  msg->content_type = (char *)spec->content_type;
  msg->offset = attempt->resume_from;
  msg->body.rpc_bytes_val = (char *)spec->body.data;
  msg->body.rpc_bytes_len = (u_int)spec->body.len;
  if (jc_rpc_send (conn, &packet) != JC_OK)
    {
      g_free (handover);
      return NULL;
    }
  handover->entry = entry;
  handover->conn = conn;
  handover->ops = ops;
  handover->ctx = ctx;
  handover->deadline_ms = jc_now_ms () + attempt->total_limit_ms;
  jc_deadline_init (&handover->timeout_timer, on_handover_timeout);
  handover->timeout_timer.data = handover;
  handover_set_timeout (handover, attempt->first_byte_limit_ms);
  g_ptr_array_add (entry->outgoing_handovers, handover);
  return handover;
}

/* Tell the other region to stop HANDOVER and free it; its OPS get no further
   event.  */
void
handover_cancel (struct handover *handover)
{
  send_cancel (handover);
  handover_unlink (handover);
  g_free (handover);
}

static void
handle_head (struct entry *entry, struct jc_rpc_conn *conn,
             const struct rpc_handover_head *head)
{
  struct handover *handover = handover_find (entry, conn, head->attempt);

  if (handover == NULL || handover->head_received)
    return;
  handover->head_received = true;
  handover_set_timeout (handover, handover->deadline_ms - jc_now_ms ());
  handover->ops->head (handover->ctx, head);
}

static void
handle_data (struct entry *entry, struct jc_rpc_conn *conn,
             const struct rpc_handover_data *data)
{
  struct handover *handover = handover_find (entry, conn, data->attempt);

  if (handover != NULL && handover->head_received)
    handover->ops->data (handover->ctx,
                         (struct jc_str){ .data = data->data.rpc_bytes_val,
                                          .len = data->data.rpc_bytes_len });
}

static void
handle_end (struct entry *entry, struct jc_rpc_conn *conn,
            const struct rpc_handover_end *msg)
{
  struct handover *handover = handover_find (entry, conn, msg->attempt);
  const struct jc_attempt_end end = { .status = (enum jc_status)msg->status,
                                      .sent = msg->run != JC_NOT_RUN,
                                      .length_known = msg->run == JC_RUN,
                                      .message = msg->message };

  if (handover != NULL)
    handover_end (handover, &end);
}

static struct incoming *
incoming_find (const struct entry *entry, const struct jc_rpc_conn *conn,
               uint64_t id)
{
  for (guint i = 0; i < entry->incoming_handovers->len; i++)
    {
      struct incoming *incoming
          = g_ptr_array_index (entry->incoming_handovers, i);

      if (incoming->conn == conn && incoming->id == id)
        return incoming;
    }
  return NULL;
}

/* Free INCOMING, cancel its call if one is under way, and tell the latency
   predictor that the attempt ended as HOW.  */
static void
incoming_free (struct incoming *incoming, enum jc_run_end how)
{
  struct entry *entry = incoming->entry;

  g_ptr_array_remove_fast (entry->incoming_handovers, incoming);
  ev_timer_stop (entry->loop, &incoming->backlog_timer);
  if (incoming->call != NULL)
    jc_httpc_call_cancel (incoming->call);
  if (incoming->run.name != NULL)
    jc_predict_finish (
        entry->policy.predict,
        jc_endpoints_find (entry->members, incoming->endpoint_name),
        &incoming->run, how, jc_now_ms ());
  entry->in_flight--;
  g_free (incoming->endpoint_name);
  g_free (incoming);
}

/* Report the end of attempt ID to the region that handed it over.  MESSAGE may
   be NULL; more than MESSAGE_MAX_BYTES of it is cut off.  */
static void
send_end (struct jc_rpc_conn *conn, uint64_t id, enum jc_status status,
          enum jc_run_state run, const char *message)
{
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_END };
  struct rpc_handover_end *end = &packet.body.rpc_body_u.handover_end;
  char *truncated
      = g_strndup (message != NULL ? message : "", MESSAGE_MAX_BYTES);

  end->attempt = id;
  end->status = (int)status;
  end->run = (int)run;
  end->message = truncated;
  jc_rpc_send (conn, &packet);
  g_free (truncated);
}

static void
incoming_on_header (void *ctx, struct jc_str name, struct jc_str value)
{
  struct incoming *incoming = ctx;

  if (jc_request_is_resume_header (name))
    incoming->resumed
        = jc_request_parse_resume_from (value) == incoming->resume_from;
  incoming->refused
      = incoming->refused || jc_request_is_refusal_header (name, value);
}

static void
incoming_on_head (void *ctx, int http, const char *content_type)
{
  struct incoming *incoming = ctx;
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_HEAD };
  struct rpc_handover_head *head = &packet.body.rpc_body_u.handover_head;

  jc_predict_first_byte (incoming->entry->policy.predict, &incoming->run, true,
                         jc_now_ms ());
  incoming->refused = jc_request_is_refusal (incoming->refused, http);
  if (incoming->refused)
    return;
  head->attempt = incoming->id;
  head->http_status = http;
  head->content_type = (char *)(content_type != NULL ? content_type : "");
  head->endpoint = incoming->endpoint_name;
  head->resumed = incoming->resumed;
  jc_rpc_send (incoming->conn, &packet);
}

static void
on_backlog_poll (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct incoming *incoming = watcher->data;

  (void)events;
  if (jc_rpc_conn_backlog_bytes (incoming->conn) > BACKLOG_MAX_BYTES)
    return;
  ev_timer_stop (loop, watcher);
  incoming->paused = false;
  jc_httpc_call_pause (incoming->call, false);
}

static void
incoming_on_data (void *ctx, struct jc_str data)
{
  struct incoming *incoming = ctx;
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_DATA };
  struct rpc_handover_data *msg = &packet.body.rpc_body_u.handover_data;

  if (incoming->refused)
    return;
  msg->attempt = incoming->id;
  msg->data.rpc_bytes_val = (char *)data.data;
  msg->data.rpc_bytes_len = (u_int)data.len;
  jc_rpc_send (incoming->conn, &packet);
  if (incoming->paused
      || jc_rpc_conn_backlog_bytes (incoming->conn) <= BACKLOG_MAX_BYTES)
    return;
  incoming->paused = true;
  jc_httpc_call_pause (incoming->call, true);
  ev_timer_start (incoming->entry->loop, &incoming->backlog_timer);
}

static void
incoming_on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct incoming *incoming = ctx;
  bool complete = result->status == JC_OK && result->framed;
  enum jc_status status = complete ? JC_OK : result->status;
  enum jc_run_state run = JC_RUN_UNKNOWN;

  incoming->call = NULL;
  if (status == JC_OK && !complete)
    status = JC_ENDPOINT_FAILED;
  if (complete && incoming->refused)
    {
      status
          = jc_fail (JC_ENDPOINT_REFUSED, "The endpoint refused the request.");
      run = JC_NOT_RUN;
    }
  else if (complete)
    run = JC_RUN;
  else if (!result->sent)
    run = JC_NOT_RUN;
  send_end (incoming->conn, incoming->id, status, run, result->message);
  incoming_free (incoming, complete && result->http_status == 200
                               ? JC_RUN_COMPLETE
                               : JC_RUN_ABORTED);
}

static const struct jc_httpc_call_ops incoming_ops
    = { .header = incoming_on_header,
        .head = incoming_on_head,
        .data = incoming_on_data,
        .done = incoming_on_done };

/* Check with this instance's own configuration whether the hand-over PACKET
   may be served in this region, and set ROUTE.  The sender's configuration may
   differ.  */
static enum jc_status
incoming_check (const struct entry *entry, const struct rpc_packet *packet,
                const struct jc_route **route)
{
  const struct rpc_handover *msg = &packet->body.rpc_body_u.handover;
  const struct jc_product *product;

  if (entry->draining)
    return jc_fail (JC_DRAINING, "The instance is draining.");
  if (packet->head.config_version > entry->config->version)
    return jc_fail (JC_BEHIND, "The instance has an older configuration.");
  product = jc_config_find (entry->config, JC_OBJECT_PRODUCT, msg->product);
  *route = jc_config_find (entry->config, JC_OBJECT_ROUTE, msg->route);
  if (product == NULL || *route == NULL
      || strcmp ((*route)->product, product->name) != 0
      || !(*route)->idempotent)
    return jc_fail (JC_UNKNOWN_ROUTE, "The route is unknown here.");
  if (!jc_config_allows (entry->config, product, *route,
                         entry->settings->region))
    return jc_fail (JC_RESIDENCY_DENIED, "The region is not allowed.");
  return JC_OK;
}

static void
incoming_call (struct incoming *incoming, const struct jc_endpoint *endpoint,
               const struct rpc_packet *packet)
{
  const struct rpc_handover *msg = &packet->body.rpc_body_u.handover;
  char *url = g_strconcat ("http://", endpoint->address, msg->path, NULL);
  char *type = g_strconcat ("Content-Type: ", msg->content_type, NULL);
  char *resume = g_strdup_printf ("X-Resume-From: %" G_GUINT64_FORMAT,
                                  (uint64_t)msg->offset);
  const char *headers[] = { type, msg->offset > 0 ? resume : NULL, NULL };
  struct jc_httpc_call_spec spec
      = { .method = msg->method,
          .url = url,
          .headers = headers,
          .body = { msg->body.rpc_bytes_val, msg->body.rpc_bytes_len },
          .connect_timeout_ms = CONNECT_MS,
          .progress_pause_ms = ANSWER_PAUSE_MAX_MS,
          .total_timeout_ms
          = (long)packet->head.deadline_ms + DEADLINE_GRACE_MS,
          .no_resend = true };

  incoming->call = jc_httpc_call_start (incoming->entry->httpc, &spec,
                                        &incoming_ops, incoming);
  g_free (url);
  g_free (type);
  g_free (resume);
}

static void
incoming_start (struct entry *entry, struct jc_rpc_conn *conn,
                const struct rpc_packet *packet, struct jc_endpoint *endpoint)
{
  const struct rpc_handover *msg = &packet->body.rpc_body_u.handover;
  struct incoming *incoming = g_new0 (struct incoming, 1);

  incoming->entry = entry;
  incoming->conn = conn;
  incoming->id = msg->attempt;
  incoming->resume_from = msg->offset;
  incoming->endpoint_name = g_strdup (endpoint->name);
  ev_timer_init (&incoming->backlog_timer, on_backlog_poll,
                 (double)BACKLOG_POLL_MS / MS_PER_S,
                 (double)BACKLOG_POLL_MS / MS_PER_S);
  incoming->backlog_timer.data = incoming;
  g_ptr_array_add (entry->incoming_handovers, incoming);
  entry->in_flight++;
  jc_predict_start (entry->policy.predict, endpoint, jc_now_ms (),
                    &incoming->run);
  incoming_call (incoming, endpoint, packet);
}

/* Send a handed-over attempt to an endpoint of this region at once, or refuse
   it.  It is not queued, since it would delay requests of the region's own
   callers.  */
static void
handle_handover (struct entry *entry, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  const struct rpc_handover *msg = &packet->body.rpc_body_u.handover;
  const struct jc_route *route = NULL;
  GPtrArray *endpoints = g_ptr_array_new ();
  enum jc_status status = incoming_check (entry, packet, &route);
  struct jc_endpoint *endpoint = NULL;
  int64_t now = jc_now_ms ();

  if (status == JC_OK && route != NULL)
    {
      jc_endpoints_list_serving (entry->members, route->service,
                                 route->model_version, now, endpoints);
      endpoint = jc_policy_pick (&entry->policy, endpoints, 0, now);
      if (endpoint == NULL)
        status = jc_fail (JC_NO_ENDPOINT, "No endpoint serves this route.");
      else if (!jc_predict_has_room (entry->policy.predict, endpoint, now)
               || jc_predict_is_slow (entry->policy.predict, endpoint, now))
        status = jc_fail (JC_OVERLOADED, "No endpoint of the region is free.");
    }
  if (status == JC_OK && endpoint != NULL)
    incoming_start (entry, conn, packet, endpoint);
  else
    send_end (conn, msg->attempt, status, JC_NOT_RUN, jc_last_message ());
  g_ptr_array_free (endpoints, TRUE);
}

static void
handle_cancel (struct entry *entry, struct jc_rpc_conn *conn, uint64_t id)
{
  struct incoming *incoming = incoming_find (entry, conn, id);

  if (incoming != NULL)
    incoming_free (incoming, JC_RUN_ABORTED);
}

/* Handle PACKET if it belongs to a hand-over and came from an entry
   instance.  */
void
handover_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet)
{
  const struct rpc_body *body = &packet->body;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  if (body->type == RPC_HANDOVER)
    handle_handover (entry, conn, packet);
  else if (body->type == RPC_HANDOVER_HEAD)
    handle_head (entry, conn, &body->rpc_body_u.handover_head);
  else if (body->type == RPC_HANDOVER_DATA)
    handle_data (entry, conn, &body->rpc_body_u.handover_data);
  else if (body->type == RPC_HANDOVER_END)
    handle_end (entry, conn, &body->rpc_body_u.handover_end);
  else if (body->type == RPC_HANDOVER_CANCEL)
    handle_cancel (entry, conn, body->rpc_body_u.handover_cancel.attempt);
}

/* CONN went down.  Attempts handed over on it fail as sent, since they may
   have run; attempts received on it are cancelled.  */
void
handover_conn_down (struct entry *entry, struct jc_rpc_conn *conn)
{
  const struct jc_attempt_end end = { .status = JC_ENDPOINT_FAILED,
                                      .sent = true,
                                      .message = "The connection broke." };

  if (entry->outgoing_handovers == NULL)
    return;
  for (guint i = entry->outgoing_handovers->len; i > 0; i--)
    {
      struct handover *handover
          = g_ptr_array_index (entry->outgoing_handovers, i - 1);

      if (handover->conn == conn)
        handover_end (handover, &end);
    }
  for (guint i = entry->incoming_handovers->len; i > 0; i--)
    {
      struct incoming *incoming
          = g_ptr_array_index (entry->incoming_handovers, i - 1);

      if (incoming->conn == conn)
        incoming_free (incoming, JC_RUN_ABORTED);
    }
}

/* Allocate the lists of hand-overs; call it before any packet is handled.  */
void
handover_start (struct entry *entry)
{
  entry->outgoing_handovers = g_ptr_array_new ();
  entry->incoming_handovers = g_ptr_array_new ();
}

/* Cancel incoming hand-overs and free the lists.  Does nothing if
   handover_start was not called.  */
void
handover_stop (struct entry *entry)
{
  if (entry->outgoing_handovers == NULL)
    return;
  for (guint i = entry->incoming_handovers->len; i > 0; i--)
    incoming_free (g_ptr_array_index (entry->incoming_handovers, i - 1),
                   JC_RUN_ABORTED);
  g_ptr_array_free (entry->outgoing_handovers, TRUE);
  g_ptr_array_free (entry->incoming_handovers, TRUE);
  entry->outgoing_handovers = NULL;
  entry->incoming_handovers = NULL;
}
