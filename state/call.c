/* A question of a peer that is answered later, perhaps after its connection
   has gone.  */

#include "state/call.h"

struct call
{
  struct jc_rpc *rpc;
  char *name;
  uint64_t incarnation;
  uint64_t xid;
};

/* Keep QUESTION, which came over CONN, until call_answer or call_fail.  */
struct call *
call_keep (struct jc_rpc *rpc, struct jc_rpc_conn *conn,
           const struct rpc_packet *question)
{
  struct call *call = g_new0 (struct call, 1);

  call->rpc = rpc;
  call->name = g_strdup (jc_rpc_conn_name (conn));
  call->incarnation = jc_rpc_conn_incarnation (conn);
  call->xid = question->head.xid;
  return call;
}

/* Return the asker's connection, or NULL where it has gone.  */
static struct jc_rpc_conn *
call_conn (const struct call *call)
{
  struct jc_rpc_conn *conn = jc_rpc_find (call->rpc, call->name);

  if (conn == NULL || jc_rpc_conn_incarnation (conn) != call->incarnation)
    return NULL;
  return conn;
}

static void
call_free (struct call *call)
{
  g_free (call->name);
  g_free (call);
}

/* Answer CALL, which is freed.  */
void
call_answer (struct call *call, struct rpc_packet *answer)
{
  struct rpc_packet question = { .head.xid = call->xid };
  struct jc_rpc_conn *conn = call_conn (call);

  if (conn != NULL)
    jc_rpc_answer (conn, &question, answer);
  call_free (call);
}

/* Answer CALL, which is freed, by STATUS with the last message.  */
void
call_fail (struct call *call, enum jc_status status,
           unsigned int retry_after_ms)
{
  struct rpc_packet question = { .head.xid = call->xid };
  struct jc_rpc_conn *conn = call_conn (call);

  if (conn != NULL)
    jc_rpc_answer_failure (conn, &question, status, jc_last_message (),
                           retry_after_ms);
  call_free (call);
}
