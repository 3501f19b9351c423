/* Questions of peers that are answered later.  */

#ifndef CALL_H
#define CALL_H

#include "net/rpc.h"

struct call;

struct call *call_defer (GPtrArray *calls, struct jc_rpc_conn *conn,
                         const struct rpc_packet *question);
void call_conn_down (GPtrArray *calls, const struct jc_rpc_conn *conn);
void call_answer (struct call *call, struct rpc_packet *answer);
void call_fail (struct call *call, enum jc_status status,
                unsigned int retry_after_ms);

#endif
