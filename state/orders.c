/* Orders of operators: through the log, and on to entry instances.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "state/call.h"
#include "state/state.h"

enum
{
  READ_MS = 2000,
  RETRY_AFTER_MS = 300
};

/* Hand ORDER to the log; DONE gets CTX and what became of it.  An order that
   would change nothing is done at once: what is in force here is
   committed.  */
void
orders_submit (struct state *state, const struct rpc_order *order,
               log_done_fn *done, void *ctx)
{
  GString *data;

  if (jc_orders_is_noop (state->orders, order))
    {
      done (ctx, JC_OK);
      return;
    }
  if (!log_survives_losses (state))
    {
      jc_fail (JC_NOT_READY, "Too few disks are there for an order to last.");
      done (ctx, JC_NOT_READY);
      return;
    }
  data = jc_orders_encode (order);
  log_propose (state, LOG_ORDER, jc_str_from_gstring (data), done, ctx);
  g_string_free (data, TRUE);
}

/* Tell CONN the orders in force; it has HAVE_VERSION of the route table.  */
static void
tell (const struct state *state, struct jc_rpc_conn *conn,
      uint64_t have_version)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS };
  struct rpc_orders *said = &packet.body.rpc_body_u.orders;

  jc_orders_to_message (state->orders, have_version, said);
  jc_rpc_send (conn, &packet);
  g_free (said->evacuated.evacuated_val);
}

/* An entry instance that is told of each change, and the version that it was
   told last.  */
struct follower
{
  struct jc_rpc_conn *conn;
  uint64_t version;
};

/* The orders changed: tell the instances that follow.  */
void
orders_publish (struct state *state)
{
  jc_rpc_set_config_version (state->rpc, state->orders->position);
  for (guint i = 0; i < state->order_subscribers->len; i++)
    {
      struct follower *follower
          = g_ptr_array_index (state->order_subscribers, i);

      tell (state, follower->conn, follower->version);
      follower->version = state->orders->table_version;
    }
}

/* Forget CONN, which went down.  */
void
orders_conn_down (struct state *state, struct jc_rpc_conn *conn)
{
  for (guint i = state->order_subscribers->len; i > 0; i--)
    {
      const struct follower *follower
          = g_ptr_array_index (state->order_subscribers, i - 1);

      if (follower->conn == conn)
        g_ptr_array_remove_index_fast (state->order_subscribers, i - 1);
    }
}

/* Tell whether CONN asked to be told of each change.  */
bool
orders_is_subscribed (const struct state *state, const struct jc_rpc_conn *conn)
{
  for (guint i = 0; i < state->order_subscribers->len; i++)
    {
      const struct follower *follower
          = g_ptr_array_index (state->order_subscribers, i);

      if (follower->conn == conn)
        return true;
    }
  return false;
}

/* Tell CONN what it lacks, and each change from now on where it asks for
   that.  */
static void
follow (struct state *state, struct jc_rpc_conn *conn,
        const struct rpc_orders_follow *asked)
{
  struct follower *follower;

  orders_conn_down (state, conn);
  if (state->orders->position > asked->have_position)
    tell (state, conn, asked->have_version);
  if (!asked->follow)
    return;
  follower = g_new0 (struct follower, 1);
  follower->conn = conn;
  follower->version = state->orders->position > asked->have_position
                          ? state->orders->table_version
                          : asked->have_version;
  g_ptr_array_add (state->order_subscribers, follower);
  presence_send_snapshot (state, conn);
}

/* A question of another state instance for the newest orders.  */
struct question
{
  struct state *state;
  struct call *call;
};

static void
on_answerable (void *ctx, enum jc_status status)
{
  struct question *question = ctx;
  struct rpc_packet packet = { .body.type = RPC_ORDERS };
  struct rpc_orders *said = &packet.body.rpc_body_u.orders;

  if (status != JC_OK)
    call_fail (question->call, status, RETRY_AFTER_MS);
  else
    {
      jc_orders_to_message (question->state->orders,
                            question->state->orders->table_version, said);
      call_answer (question->call, &packet);
      g_free (said->evacuated.evacuated_val);
    }
  g_free (question);
}

/* A message about orders.  */
void
orders_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  struct question *question;

  if (packet->body.type == RPC_ORDERS_FOLLOW)
    follow (state, conn, &packet->body.rpc_body_u.orders_follow);
  if (packet->body.type != RPC_ORDERS_READ)
    return;
  question = g_new0 (struct question, 1);
  question->state = state;
  question->call = call_defer (state->deferred_calls, conn, packet);
  if (log_is_leader (state))
    log_propose (state, LOG_NOOP, JC_STR_LIT (""), on_answerable, question);
  else
    on_answerable (question, jc_fail (JC_NOT_LEADER, "I don't lead."));
}

/* A read that waits for the leader's word.  */
struct reading
{
  struct state *state;
  log_done_fn *done;
  void *ctx;
};

static void
on_leader_said (void *ctx, enum jc_status status,
                const struct rpc_packet *reply)
{
  struct reading *reading = ctx;

  if (status == JC_OK && reply->body.type == RPC_ORDERS)
    {
      const struct rpc_orders *said = &reply->body.rpc_body_u.orders;

      if (said->position != reading->state->orders->position)
        status = jc_fail (JC_BEHIND,
                          "This instance is at %" PRIu64
                          ", the leader at %" PRIu64 ".",
                          reading->state->orders->position, said->position);
    }
  else if (status == JC_OK)
    status = JC_NOT_LEADER;
  reading->done (reading->ctx, status);
  g_free (reading);
}

/* Make sure that the orders here are the newest; DONE gets CTX and JC_OK
   where they are.  The leader shows it by a committed entry; others ask
   it.  */
void
orders_read_barrier (struct state *state, log_done_fn *done, void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_READ };
  struct reading *reading;

  if (log_is_leader (state))
    {
      log_propose (state, LOG_NOOP, JC_STR_LIT (""), done, ctx);
      return;
    }
  reading = g_new0 (struct reading, 1);
  reading->state = state;
  reading->done = done;
  reading->ctx = ctx;
  if (jc_rpc_call (log_leader_conn (state), &packet, READ_MS, on_leader_said,
                   reading)
      != 0)
    return;
  g_free (reading);
  done (ctx, jc_fail (JC_NOT_LEADER, "No leader is known here."));
}
