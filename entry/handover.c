/* Attempts handed over by or to another region.  */

#include "entry/entry.h"

/* Take a message of a hand-over.  */
void
handover_packet (struct entry *entry, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  (void)entry;
  (void)conn;
  (void)packet;
}

/* CONN went down, and with it what was handed over on it.  */
void
handover_down (struct entry *entry, struct jc_rpc_conn *conn)
{
  (void)entry;
  (void)conn;
}
