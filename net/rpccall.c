/* RPC: calls and their replies.  */

#include "net/deadline.h"
#include "net/rpcprivate.h"

/* End the call PENDING: free it and pass STATUS and REPLY, which may be NULL,
   to its reply function.  */
void
rpc_pending_finish (struct pending_call *pending, enum jc_status status,
                    const struct rpc_packet *reply)
{
  jc_rpc_reply_fn *fn = pending->reply;
  void *ctx = pending->ctx;

  jc_rpc_cancel_call (pending->rpc, pending->xid);
  fn (ctx, status, reply);
}

/* Fail all calls on CONN with JC_UNREACHABLE.  Their reply functions may
   cancel other calls, so each is looked up again.  */
void
rpc_pending_fail_all (struct jc_rpc_conn *conn)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *xids = g_ptr_array_new_with_free_func (g_free);

  g_hash_table_iter_init (&iter, conn->rpc->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct pending_call *)value)->conn == conn)
      g_ptr_array_add (xids, g_memdup2 (&((struct pending_call *)value)->xid,
                                        sizeof (uint64_t)));
  for (guint i = 0; i < xids->len; i++)
    {
      struct pending_call *pending = g_hash_table_lookup (
          conn->rpc->pending_calls, g_ptr_array_index (xids, i));

      if (pending != NULL)
        rpc_pending_finish (pending, JC_UNREACHABLE, NULL);
    }
  g_ptr_array_free (xids, TRUE);
}

static void
pending_on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  jc_fail (JC_TIMEOUT, "The peer did not answer in time.");
  rpc_pending_finish (watcher->data, JC_TIMEOUT, NULL);
}

/* Send PACKET as a call.  REPLY is called with CTX exactly once: with the
   reply, with JC_TIMEOUT after TIMEOUT_MS, or with JC_UNREACHABLE if the
   connection is lost.  Return the id of the call for jc_rpc_cancel_call, or 0
   with the last message set if nothing was sent, in which case REPLY is not
   called.  */
uint64_t
jc_rpc_call (struct jc_rpc_conn *conn, struct rpc_packet *packet,
             long timeout_ms, jc_rpc_reply_fn *reply, void *ctx)
{
  struct jc_rpc *rpc;
  struct pending_call *pending;

  if (conn == NULL || !rpc_conn_is_usable (conn))
    {
      jc_fail (JC_UNREACHABLE, "The peer is not connected.");
      return 0;
    }
  rpc = conn->rpc;
  packet->head.xid = ++rpc->last_xid;
  packet->head.deadline_ms = (u_int)timeout_ms;
  if (jc_rpc_send (conn, packet) != JC_OK)
    return 0;
  pending = g_new0 (struct pending_call, 1);
  pending->rpc = rpc;
  pending->conn = conn;
  pending->xid = packet->head.xid;
  pending->reply = reply;
  pending->ctx = ctx;
  ev_now_update (rpc->loop);
  jc_deadline_init (&pending->timer, pending_on_timeout);
  ev_timer_set (&pending->timer, (double)timeout_ms / MS_PER_S, 0);
  pending->timer.data = pending;
  ev_timer_start (rpc->loop, &pending->timer);
  g_hash_table_insert (rpc->pending_calls, &pending->xid, pending);
  return pending->xid;
}

/* Cancel the call XID: its reply function is not called.  Do nothing if it has
   ended.  */
void
jc_rpc_cancel_call (struct jc_rpc *rpc, uint64_t xid)
{
  struct pending_call *pending = g_hash_table_lookup (rpc->pending_calls, &xid);

  if (pending == NULL)
    return;
  ev_timer_stop (rpc->loop, &pending->timer);
  g_hash_table_remove (rpc->pending_calls, &xid);
  g_free (pending);
}

/* Send REPLY, the reply to REQUEST, which was received on CONN.  */
enum jc_status
jc_rpc_reply (struct jc_rpc_conn *conn, const struct rpc_packet *request,
              struct rpc_packet *reply)
{
  reply->head.reply_to = request->head.xid;
  return jc_rpc_send (conn, reply);
}

/* Reply to REQUEST with the error STATUS and MESSAGE.  RETRY_AFTER_MS is the
   delay advised before a retry.  */
enum jc_status
jc_rpc_reply_error (struct jc_rpc_conn *conn, const struct rpc_packet *request,
                    enum jc_status status, const char *message,
                    unsigned int retry_after_ms)
{
  struct rpc_packet reply = { .body.type = RPC_FAILURE };
  struct rpc_failure *failure = &reply.body.rpc_body_u.failure;

  failure->status = (int)status;
  failure->message = (char *)message;
  failure->retry_after_ms = retry_after_ms;
  return jc_rpc_reply (conn, request, &reply);
}
