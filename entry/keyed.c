/* Requests that must run at most once.  */

#include "entry/entry.h"

/* Serve the non-idempotent request of ORDER.  */
void
keyed_start (struct entry *entry, const struct work_order *order)
{
  (void)entry;
  jc_http_fail (order->req, JC_HOME_RECOVERING, "No ledger is at hand.", 1000);
}

/* Take a message of a ledger.  */
void
keyed_packet (struct entry *entry, struct jc_rpc_conn *conn,
              const struct rpc_packet *packet)
{
  (void)entry;
  (void)conn;
  (void)packet;
}
