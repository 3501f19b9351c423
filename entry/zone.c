/* Membership shared between entry instances.  */

#include "entry/entry.h"

/* Begin to share.  */
void
zone_start (struct entry *entry)
{
  (void)entry;
}

/* End sharing.  */
void
zone_stop (struct entry *entry)
{
  (void)entry;
}

/* A peer came up.  */
void
zone_up (struct entry *entry, struct jc_rpc_conn *conn)
{
  (void)entry;
  (void)conn;
}

/* Take a message of membership.  */
void
zone_packet (struct entry *entry, struct jc_rpc_conn *conn,
             const struct rpc_packet *packet)
{
  (void)entry;
  (void)conn;
  (void)packet;
}

/* ENDPOINT announced a change here.  */
void
zone_changed (struct entry *entry, const struct jc_endpoint *endpoint)
{
  (void)entry;
  (void)endpoint;
}
