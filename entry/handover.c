/* Attempts handed over by or to another region.  The owner hands an attempt
   to an instance of one other region; that one sends it to an endpoint of its
   own or refuses it, and has no way to hand it on.  */

#include <string.h>

#include "base/log.h"
#include "entry/handover.h"
#include "net/program.h"

#define PART "handover"

enum
{
  CONNECT_MS = 1000,
  IDLE_MS = 15000,
  GRACE_MS = 1000,
  BACKLOG_HIGH_BYTES = 1024 * 1024,
  DRAIN_POLL_MS = 20,
  MS_PER_S = 1000
};

/* An attempt that this instance handed over.  */
struct handover
{
  struct entry *entry;
  struct jc_rpc_conn *conn;
  uint64_t id;
  const struct handover_ops *ops;
  void *ctx;
  int64_t ends_ms;
  bool heard;
  ev_timer timer;
};

/* An attempt that another region handed over to this instance.  */
struct guest
{
  struct entry *entry;
  struct jc_rpc_conn *conn;
  uint64_t id;
  struct jc_call *call;
  struct jc_run run;
  char *endpoint;
  uint64_t offset;
  bool heard;
  bool resumed;
  bool paused;
  ev_timer room;
};

static struct handover *
handover_find (const struct entry *entry, const struct jc_rpc_conn *conn,
               uint64_t id)
{
  for (guint i = 0; i < entry->outgoing_handovers->len; i++)
    {
      struct handover *one = g_ptr_array_index (entry->outgoing_handovers, i);

      if (one->conn == conn && one->id == id)
        return one;
    }
  return NULL;
}

static void
handover_unlink (struct handover *handover)
{
  g_ptr_array_remove_fast (handover->entry->outgoing_handovers, handover);
  ev_timer_stop (handover->entry->loop, &handover->timer);
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
on_handover_late (struct ev_loop *loop, ev_timer *watcher, int events)
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
handover_arm (struct handover *handover, int64_t ms)
{
  struct ev_loop *loop = handover->entry->loop;

  ev_timer_stop (loop, &handover->timer);
  ev_timer_set (&handover->timer, (double)MAX (ms, 0) / MS_PER_S, 0);
  ev_timer_start (loop, &handover->timer);
}

/* Hand the attempt of SPEC over to the instance at CONN; its events go to OPS
   with CTX, never before this returns.  Return NULL where nothing was sent.  */
struct handover *
handover_send (struct entry *entry, struct jc_rpc_conn *conn,
               const struct handover_spec *spec, const struct handover_ops *ops,
               void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_HANDOVER };
  struct rpc_handover *said = &packet.body.rpc_body_u.handover;
  struct handover *handover = g_new0 (struct handover, 1);
  const struct jc_attempt *attempt = spec->attempt;

  handover->id = jc_random_id ();
  packet.head.deadline_ms = (u_int)attempt->total_limit_ms;
  said->product = (char *)spec->product;
  said->route = (char *)spec->route;
  said->origin_region = entry->settings->region;
  said->attempt = handover->id;
  said->method = (char *)spec->method;
  said->path = (char *)spec->path;
  said->content_type = (char *)spec->content_type;
  said->offset = attempt->resume_from;
  said->body.rpc_bytes_val = (char *)spec->body.data;
  said->body.rpc_bytes_len = (u_int)spec->body.len;
  if (jc_rpc_send (conn, &packet) != JC_OK)
    {
      g_free (handover);
      return NULL;
    }
  handover->entry = entry;
  handover->conn = conn;
  handover->ops = ops;
  handover->ctx = ctx;
  handover->ends_ms = jc_now_ms () + attempt->total_limit_ms;
  ev_init (&handover->timer, on_handover_late);
  handover->timer.data = handover;
  handover_arm (handover, attempt->first_byte_limit_ms);
  g_ptr_array_add (entry->outgoing_handovers, handover);
  return handover;
}

/* End HANDOVER without a further event.  */
void
handover_cancel (struct handover *handover)
{
  send_cancel (handover);
  handover_unlink (handover);
  g_free (handover);
}

static void
take_head (struct entry *entry, struct jc_rpc_conn *conn,
           const struct rpc_handover_head *head)
{
  struct handover *handover = handover_find (entry, conn, head->attempt);

  if (handover == NULL || handover->heard)
    return;
  handover->heard = true;
  handover_arm (handover, handover->ends_ms - jc_now_ms ());
  handover->ops->head (handover->ctx, head);
}

static void
take_data (struct entry *entry, struct jc_rpc_conn *conn,
           const struct rpc_handover_data *data)
{
  struct handover *handover = handover_find (entry, conn, data->attempt);

  if (handover != NULL && handover->heard)
    handover->ops->data (handover->ctx,
                         (struct jc_str){ .data = data->data.rpc_bytes_val,
                                          .len = data->data.rpc_bytes_len });
}

static void
take_end (struct entry *entry, struct jc_rpc_conn *conn,
          const struct rpc_handover_end *said)
{
  struct handover *handover = handover_find (entry, conn, said->attempt);
  const struct jc_attempt_end end = { .status = (enum jc_status)said->status,
                                      .sent = said->run != JC_NOT_RUN,
                                      .length_known = said->run == JC_RUN,
                                      .message = said->message };

  if (handover != NULL)
    handover_end (handover, &end);
}

static struct guest *
guest_find (const struct entry *entry, const struct jc_rpc_conn *conn,
            uint64_t id)
{
  for (guint i = 0; i < entry->incoming_handovers->len; i++)
    {
      struct guest *one = g_ptr_array_index (entry->incoming_handovers, i);

      if (one->conn == conn && one->id == id)
        return one;
    }
  return NULL;
}

static void
guest_free (struct guest *guest, enum jc_run_end how)
{
  struct entry *entry = guest->entry;

  g_ptr_array_remove_fast (entry->incoming_handovers, guest);
  ev_timer_stop (entry->loop, &guest->room);
  if (guest->call != NULL)
    jc_call_cancel (guest->call);
  if (guest->run.name != NULL)
    jc_predict_finish (entry->policy.predict,
                       jc_endpoints_find (entry->members, guest->endpoint),
                       &guest->run, how, jc_now_ms ());
  entry->in_flight--;
  g_free (guest->endpoint);
  g_free (guest);
}

static void
send_end (struct jc_rpc_conn *conn, uint64_t id, enum jc_status status,
          enum jc_run_state run, const char *message)
{
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_END };
  struct rpc_handover_end *end = &packet.body.rpc_body_u.handover_end;
  char *shown = g_strndup (message != NULL ? message : "", 500);

  end->attempt = id;
  end->status = (int)status;
  end->run = (int)run;
  end->message = shown;
  jc_rpc_send (conn, &packet);
  g_free (shown);
}

static void
guest_on_header (void *ctx, struct jc_str name, struct jc_str value)
{
  struct guest *guest = ctx;

  if (jc_request_is_resume_header (name))
    guest->resumed = jc_request_parse_resume_from (value) == guest->offset;
}

static void
guest_on_head (void *ctx, int http, const char *content_type)
{
  struct guest *guest = ctx;
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_HEAD };
  struct rpc_handover_head *head = &packet.body.rpc_body_u.handover_head;

  guest->heard = true;
  jc_predict_first_byte (guest->entry->policy.predict, &guest->run, true,
                         jc_now_ms ());
  head->attempt = guest->id;
  head->http_status = http;
  head->content_type = (char *)(content_type != NULL ? content_type : "");
  head->endpoint = guest->endpoint;
  head->resumed = guest->resumed;
  jc_rpc_send (guest->conn, &packet);
}

static void
on_guest_room (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct guest *guest = watcher->data;

  (void)events;
  if (jc_rpc_conn_backlog (guest->conn) > BACKLOG_HIGH_BYTES)
    return;
  ev_timer_stop (loop, watcher);
  guest->paused = false;
  jc_call_pause (guest->call, false);
}

static void
guest_on_data (void *ctx, struct jc_str data)
{
  struct guest *guest = ctx;
  struct rpc_packet packet = { .body.type = RPC_HANDOVER_DATA };
  struct rpc_handover_data *said = &packet.body.rpc_body_u.handover_data;

  said->attempt = guest->id;
  said->data.rpc_bytes_val = (char *)data.data;
  said->data.rpc_bytes_len = (u_int)data.len;
  jc_rpc_send (guest->conn, &packet);
  if (guest->paused || jc_rpc_conn_backlog (guest->conn) <= BACKLOG_HIGH_BYTES)
    return;
  guest->paused = true;
  jc_call_pause (guest->call, true);
  ev_timer_start (guest->entry->loop, &guest->room);
}

static void
guest_on_done (void *ctx, const struct jc_call_result *result)
{
  struct guest *guest = ctx;
  bool whole = result->status == JC_OK && result->framed;
  enum jc_status status = whole ? JC_OK : result->status;
  enum jc_run_state run = JC_RUN_UNKNOWN;

  guest->call = NULL;
  if (status == JC_OK && !whole)
    status = JC_ENDPOINT_FAILED;
  if (whole)
    run = JC_RUN;
  else if (!result->sent)
    run = JC_NOT_RUN;
  send_end (guest->conn, guest->id, status, run, result->message);
  guest_free (guest,
              whole && result->http == 200 ? JC_RUN_COMPLETE : JC_RUN_ABORTED);
}

static const struct jc_call_ops guest_ops = { .header = guest_on_header,
                                              .head = guest_on_head,
                                              .data = guest_on_data,
                                              .done = guest_on_done };

/* Check by this instance's own configuration whether SAID may be served in
   this region.  */
static enum jc_status
guest_check (const struct entry *entry, const struct rpc_packet *packet,
             const struct jc_route **route)
{
  const struct rpc_handover *said = &packet->body.rpc_body_u.handover;
  const struct jc_product *product;

  if (entry->draining)
    return jc_fail (JC_DRAINING, "The instance is draining.");
  if (packet->head.config_version > entry->config->version)
    return jc_fail (JC_BEHIND, "The instance has an older configuration.");
  product = jc_config_find (entry->config, JC_OBJECT_PRODUCT, said->product);
  *route = jc_config_find (entry->config, JC_OBJECT_ROUTE, said->route);
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
guest_call (struct guest *guest, const struct jc_endpoint *endpoint,
            const struct rpc_packet *packet)
{
  const struct rpc_handover *said = &packet->body.rpc_body_u.handover;
  char *url = g_strconcat ("http://", endpoint->address, said->path, NULL);
  char *type = g_strconcat ("Content-Type: ", said->content_type, NULL);
  char *resume = g_strdup_printf ("X-Resume-From: %" G_GUINT64_FORMAT,
                                  (uint64_t)said->offset);
  const char *headers[] = { type, said->offset > 0 ? resume : NULL, NULL };
  struct jc_call_spec spec
      = { .method = said->method,
          .url = url,
          .headers = headers,
          .body = { said->body.rpc_bytes_val, said->body.rpc_bytes_len },
          .connect_ms = CONNECT_MS,
          .pause_ms = IDLE_MS,
          .total_ms = (long)packet->head.deadline_ms + GRACE_MS };

  guest->call = jc_call_start (guest->entry->httpc, &spec, &guest_ops, guest);
  g_free (url);
  g_free (type);
  g_free (resume);
}

static void
guest_start (struct entry *entry, struct jc_rpc_conn *conn,
             const struct rpc_packet *packet, struct jc_endpoint *endpoint)
{
  const struct rpc_handover *said = &packet->body.rpc_body_u.handover;
  struct guest *guest = g_new0 (struct guest, 1);

  guest->entry = entry;
  guest->conn = conn;
  guest->id = said->attempt;
  guest->offset = said->offset;
  guest->endpoint = g_strdup (endpoint->name);
  ev_timer_init (&guest->room, on_guest_room, (double)DRAIN_POLL_MS / MS_PER_S,
                 (double)DRAIN_POLL_MS / MS_PER_S);
  guest->room.data = guest;
  g_ptr_array_add (entry->incoming_handovers, guest);
  entry->in_flight++;
  jc_predict_start (entry->policy.predict, endpoint, jc_now_ms (), &guest->run);
  guest_call (guest, endpoint, packet);
}

/* Take an attempt: send it to an endpoint of this region at once, or refuse
   it.  It never waits here, where it would delay the region's own.  */
static void
take_handover (struct entry *entry, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_handover *said = &packet->body.rpc_body_u.handover;
  const struct jc_route *route = NULL;
  GPtrArray *endpoints = g_ptr_array_new ();
  enum jc_status status = guest_check (entry, packet, &route);
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
    guest_start (entry, conn, packet, endpoint);
  else
    send_end (conn, said->attempt, status, JC_NOT_RUN, jc_last_message ());
  g_ptr_array_free (endpoints, TRUE);
}

static void
take_cancel (struct entry *entry, struct jc_rpc_conn *conn, uint64_t id)
{
  struct guest *guest = guest_find (entry, conn, id);

  if (guest != NULL)
    guest_free (guest, JC_RUN_ABORTED);
}

/* Take a message of a hand-over.  */
void
handover_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet)
{
  const struct rpc_body *body = &packet->body;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  if (body->type == RPC_HANDOVER)
    take_handover (entry, conn, packet);
  else if (body->type == RPC_HANDOVER_HEAD)
    take_head (entry, conn, &body->rpc_body_u.handover_head);
  else if (body->type == RPC_HANDOVER_DATA)
    take_data (entry, conn, &body->rpc_body_u.handover_data);
  else if (body->type == RPC_HANDOVER_END)
    take_end (entry, conn, &body->rpc_body_u.handover_end);
  else if (body->type == RPC_HANDOVER_CANCEL)
    take_cancel (entry, conn, body->rpc_body_u.handover_cancel.attempt);
}

/* CONN went down, and with it what was handed over on it: whether it ran is
   not known.  */
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
      struct guest *guest
          = g_ptr_array_index (entry->incoming_handovers, i - 1);

      if (guest->conn == conn)
        guest_free (guest, JC_RUN_ABORTED);
    }
}

/* Begin to hand over and to take.  */
void
handover_start (struct entry *entry)
{
  entry->outgoing_handovers = g_ptr_array_new ();
  entry->incoming_handovers = g_ptr_array_new ();
}

/* End it.  */
void
handover_stop (struct entry *entry)
{
  if (entry->outgoing_handovers == NULL)
    return;
  for (guint i = entry->incoming_handovers->len; i > 0; i--)
    guest_free (g_ptr_array_index (entry->incoming_handovers, i - 1),
                JC_RUN_ABORTED);
  g_ptr_array_free (entry->outgoing_handovers, TRUE);
  g_ptr_array_free (entry->incoming_handovers, TRUE);
  entry->outgoing_handovers = NULL;
  entry->incoming_handovers = NULL;
}
