/* Orders of operators.  They are committed to the replicated log and then sent
   to the entry instances that subscribed to them.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/call.h"
#include "state/state.h"

enum
{
  READ_TIMEOUT_MS = 2000,
  RETRY_AFTER_MS = 300,
  /* Operators give up an order after a second without an answer.  */
  ORDER_AGE_MAX_MS = 500
};

/* Propose DATA, the encoding of an order, as an entry of KIND and free it. Call
   DONE with CTX and the outcome, JC_NOT_READY if there are too few replicas for
   the order to survive the losses that the settings name.  */
static void
propose_order (struct state *state, enum log_entry_kind kind, GString *data,
               log_done_fn *done, void *ctx)
{
  if (log_survives_losses (state))
    log_propose (state, kind, jc_str_from_gstring (data), done, ctx);
  else
    {
      jc_fail (JC_NOT_READY, "Too few disks are there for an order to last.");
      done (ctx, JC_NOT_READY);
    }
  g_string_free (data, TRUE);
}

/* A route table that is not newer than the one in force here, which may be
   older than the one in force.  DATA is the encoding of its order.  */
struct known_table
{
  struct state *state;
  uint64_t version;
  GString *data;
  log_done_fn *done;
  void *ctx;
};

/* The table in force here is confirmed with JC_OK as the newest: one that is
   not newer succeeds, since it would change nothing.  Otherwise it goes to the
   log.  */
static void
on_newest_known (void *ctx, enum jc_status status)
{
  struct known_table *table = ctx;

  if (status == JC_OK && table->version <= table->state->orders->table_version)
    {
      table->done (table->ctx, JC_OK);
      g_string_free (table->data, TRUE);
    }
  else
    propose_order (table->state, LOG_ORDER, table->data, table->done,
                   table->ctx);
  g_free (table);
}

/* Put ORDER, a route table, in force.  Large ones that would change nothing
   stay out of the log.  */
static void
submit_table (struct state *state, const struct rpc_order *order,
              log_done_fn *done, void *ctx)
{
  struct known_table *table;

  if (order->table_version > state->orders->table_version)
    {
      propose_order (state, LOG_ORDER, jc_orders_encode (order), done, ctx);
      return;
    }
  table = g_new0 (struct known_table, 1);
  table->state = state;
  table->version = order->table_version;
  table->data = jc_orders_encode (order);
  table->done = done;
  table->ctx = ctx;
  orders_read_barrier (state, on_newest_known, table);
}

/* An order for a zone that the log has not decided yet.  LOCAL tells that this
   replica proposed it itself, as the leader.  */
struct zone_order
{
  struct state *state;
  bool local;
  log_done_fn *done;
  void *ctx;
};

static void
on_zone_order_done (void *ctx, enum jc_status status)
{
  struct zone_order *order = ctx;

  if (status == JC_OK && order->local)
    status = order->state->order_outcome;
  order->done (order->ctx, status);
  g_free (order);
}

/* Put ORDER, for a zone, in force: always by an entry of the log, also where it
   would change nothing here.  It counts only while its sender waits for it, so
   that none of a later time was acknowledged: it was read soon after it came,
   and no other one for the zone is committed from here on before it.  */
static void
submit_zone_order (struct state *state, const struct rpc_order *order,
                   log_done_fn *done, void *ctx)
{
  int64_t age_ms = jc_inputage_ms (state->input_age);
  struct zone_order *pending;

  if (age_ms > ORDER_AGE_MAX_MS)
    {
      jc_event (JC_EVENT_ORDER, "what=zone outcome=late age_ms=%" PRId64,
                age_ms);
      done (ctx, jc_fail (JC_NOT_READY, "The order may have waited too long."));
      return;
    }
  pending = g_new0 (struct zone_order, 1);
  pending->state = state;
  pending->local = log_is_leader (state);
  pending->done = done;
  pending->ctx = ctx;
  propose_order (state, LOG_ZONE_ORDER,
                 jc_orders_encode_zone (order, log_applied_index (state)),
                 on_zone_order_done, pending);
}

/* Put ORDER in force, and call DONE with CTX and the outcome: JC_OK once it is
   or a newer one is, JC_BAD_REQUEST if there is no room for its zone, and
   otherwise, with any other status, if it should be sent again.  */
void
orders_submit (struct state *state, const struct rpc_order *order,
               log_done_fn *done, void *ctx)
{
  if (order->kind == RPC_ORDER_ROUTES)
    submit_table (state, order, done, ctx);
  else
    submit_zone_order (state, order, done, ctx);
}

/* Send CONN the orders in force.  The route table is left out if its version is
   HAVE_VERSION, which the receiver has.  */
static void
send_orders (const struct state *state, struct jc_rpc_conn *conn,
             uint64_t have_version)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS };
  struct rpc_orders *message = &packet.body.rpc_body_u.orders;

  jc_orders_to_message (state->orders, have_version, message);
  jc_readmissions_to_message (state->readmissions, jc_now_ms (), message);
  jc_rpc_send (conn, &packet);
  g_free (message->evacuated.evacuated_val);
  g_free (message->readmitted.readmitted_val);
}

/* An entry instance that receives each change, and the version of the route
   table that it has or was sent last.  */
struct subscriber
{
  struct jc_rpc_conn *conn;
  uint64_t table_version;
};

/* Send the orders, which have changed, to all subscribers.  */
void
orders_publish (struct state *state)
{
  jc_rpc_set_config_version (state->rpc, state->orders->position);
  for (guint i = 0; i < state->order_subscribers->len; i++)
    {
      struct subscriber *subscriber
          = g_ptr_array_index (state->order_subscribers, i);

      send_orders (state, subscriber->conn, subscriber->table_version);
      subscriber->table_version = state->orders->table_version;
    }
}

/* Remove the subscription of CONN, if there is one.  */
void
orders_conn_down (struct state *state, struct jc_rpc_conn *conn)
{
  for (guint i = state->order_subscribers->len; i > 0; i--)
    {
      const struct subscriber *subscriber
          = g_ptr_array_index (state->order_subscribers, i - 1);

      if (subscriber->conn == conn)
        g_ptr_array_remove_index_fast (state->order_subscribers, i - 1);
    }
}

/* Return whether CONN subscribed to changes of the orders.  */
bool
orders_is_subscribed (const struct state *state, const struct jc_rpc_conn *conn)
{
  for (guint i = 0; i < state->order_subscribers->len; i++)
    {
      const struct subscriber *subscriber
          = g_ptr_array_index (state->order_subscribers, i);

      if (subscriber->conn == conn)
        return true;
    }
  return false;
}

/* Send CONN the orders if SUBSCRIPTION says that it has older ones.  Subscribe
   it to later changes if it asks for that.  */
static void
handle_subscription (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_orders_follow *subscription)
{
  struct subscriber *subscriber;

  orders_conn_down (state, conn);
  if (state->orders->position > subscription->have_position)
    send_orders (state, conn, subscription->have_version);
  if (!subscription->follow)
    return;
  subscriber = g_new0 (struct subscriber, 1);
  subscriber->conn = conn;
  subscriber->table_version
      = state->orders->position > subscription->have_position
            ? state->orders->table_version
            : subscription->have_version;
  g_ptr_array_add (state->order_subscribers, subscriber);
  presence_send_snapshot (state, conn);
  crashes_send_snapshot (state, conn);
  departures_send_snapshot (state, conn);
}

/* A request of another state instance for the newest orders.  */
struct read_request
{
  struct state *state;
  struct call *call;
};

static void
on_read_confirmed (void *ctx, enum jc_status status)
{
  struct read_request *request = ctx;
  struct rpc_packet packet = { .body.type = RPC_ORDERS };
  struct rpc_orders *message = &packet.body.rpc_body_u.orders;

  if (status != JC_OK)
    call_fail (request->call, status, RETRY_AFTER_MS);
  else
    {
      jc_orders_to_message (request->state->orders,
                            request->state->orders->table_version, message);
      call_answer (request->call, &packet);
      g_free (message->evacuated.evacuated_val);
    }
  g_free (request);
}

/* Handle a message about orders: a subscription of an entry instance or a read
   of another state instance.  Other messages are ignored.  */
void
orders_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  struct read_request *request;

  if (packet->body.type == RPC_ORDERS_FOLLOW)
    handle_subscription (state, conn, &packet->body.rpc_body_u.orders_follow);
  if (packet->body.type != RPC_ORDERS_READ)
    return;
  request = g_new0 (struct read_request, 1);
  request->state = state;
  request->call = call_defer (state->deferred_calls, conn, packet);
  if (log_is_leader (state))
    log_propose (state, LOG_NOOP, JC_STR_LIT (""), on_read_confirmed, request);
  else
    on_read_confirmed (request, jc_fail (JC_NOT_LEADER, "I don't lead."));
}

/* A read barrier that waits for the leader's answer.  */
struct read_barrier
{
  struct state *state;
  log_done_fn *done;
  void *ctx;
};

static void
on_leader_orders (void *ctx, enum jc_status status,
                  const struct rpc_packet *reply)
{
  struct read_barrier *barrier = ctx;

  if (status == JC_OK && reply->body.type == RPC_ORDERS)
    {
      const struct rpc_orders *message = &reply->body.rpc_body_u.orders;

      if (message->position != barrier->state->orders->position)
        status = jc_fail (JC_BEHIND,
                          "This instance is at %" PRIu64
                          ", the leader at %" PRIu64 ".",
                          barrier->state->orders->position, message->position);
    }
  else if (status == JC_OK)
    status = JC_NOT_LEADER;
  barrier->done (barrier->ctx, status);
  g_free (barrier);
}

/* Confirm that the orders in force here are the newest, and call DONE with CTX
   and the outcome: JC_OK if they are, JC_BEHIND if the leader has newer ones.
   The leader confirms it by committing an empty entry; other replicas ask the
   leader.  */
void
orders_read_barrier (struct state *state, log_done_fn *done, void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_READ };
  struct read_barrier *barrier;

  if (log_is_leader (state))
    {
      log_propose (state, LOG_NOOP, JC_STR_LIT (""), done, ctx);
      return;
    }
  barrier = g_new0 (struct read_barrier, 1);
  barrier->state = state;
  barrier->done = done;
  barrier->ctx = ctx;
  if (jc_rpc_call (log_leader_conn (state), &packet, READ_TIMEOUT_MS,
                   on_leader_orders, barrier)
      != 0)
    return;
  g_free (barrier);
  done (ctx, jc_fail (JC_NOT_LEADER, "No leader is known here."));
}
