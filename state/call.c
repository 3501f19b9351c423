/* Questions of peers that are answered later, over the connection that each
   came by; once that is down nobody waits for the answer.  */

#include "state/call.h"

/* CONN is NULL once it went down.  */
struct call
{
  GPtrArray *calls;
  struct jc_rpc_conn *conn;
  uint64_t xid;
};

/* Keep QUESTION, which came over CONN, in CALLS until call_answer or
   call_fail.  */
struct call *
call_defer (GPtrArray *calls, struct jc_rpc_conn *conn,
            const struct rpc_packet *question)
{
  struct call *call = g_new0 (struct call, 1);

  call->calls = calls;
  call->conn = conn;
  call->xid = question->head.xid;
  g_ptr_array_add (calls, call);
  return call;
}

/* Forget CONN, which went down.  */
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

/* Answer CALL, which is freed.  */
void
call_answer (struct call *call, struct rpc_packet *answer)
{
  struct rpc_packet question = { .head.xid = call->xid };

  if (call->conn != NULL)
    jc_rpc_reply (call->conn, &question, answer);
  call_free (call);
}

/* Answer CALL, which is freed, by STATUS with the last message.  */
void
call_fail (struct call *call, enum jc_status status,
           unsigned int retry_after_ms)
{
  struct rpc_packet question = { .head.xid = call->xid };

  if (call->conn != NULL)
    jc_rpc_reply_error (call->conn, &question, status, jc_last_message (),
                        retry_after_ms);
  call_free (call);
}
