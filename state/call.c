/* Requests of peers that are answered asynchronously, each over the connection
   that it came by.  If that connection closes first, the answer is
   discarded.  */

#include "state/call.h"

/* CONN is NULL once it has closed.  */
struct call
{
  GPtrArray *calls;
  struct jc_rpc_conn *conn;
  uint64_t xid;
};

/* Defer the answer to REQUEST, which came over CONN.  The call stays in CALLS
   until call_answer or call_fail frees it.  */
struct call *
call_defer (GPtrArray *calls, struct jc_rpc_conn *conn,
            const struct rpc_packet *request)
{
  struct call *call = g_new0 (struct call, 1);

  call->calls = calls;
  call->conn = conn;
  call->xid = request->head.xid;
  g_ptr_array_add (calls, call);
  return call;
}

/* Detach the calls in CALLS from CONN, which has closed.  */
void
call_conn_down (GPtrArray *calls, const struct jc_rpc_conn *conn)
{
  for (guint i = 0; i < calls->len; i++)
    {
      struct call *call = g_ptr_array_index (calls, i);

      if (call->conn == conn)
        call->conn = NULL;
    }
}

static void
call_free (struct call *call)
{
  g_ptr_array_remove_fast (call->calls, call);
  g_free (call);
}

/* Send ANSWER to the sender of CALL, and free CALL.  */
void
call_answer (struct call *call, struct rpc_packet *answer)
{
  struct rpc_packet request = { .head.xid = call->xid };

  if (call->conn != NULL)
    jc_rpc_reply (call->conn, &request, answer);
  call_free (call);
}

/* Answer CALL with the error STATUS and the message of the last jc_fail, and
   free CALL.  The sender is asked to retry after RETRY_AFTER_MS.  */
void
call_fail (struct call *call, enum jc_status status,
           unsigned int retry_after_ms)
{
  struct rpc_packet request = { .head.xid = call->xid };

  if (call->conn != NULL)
    jc_rpc_reply_error (call->conn, &request, status, jc_last_message (),
                        retry_after_ms);
  call_free (call);
}
