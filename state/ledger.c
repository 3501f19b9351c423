/* Ledgers of the homes in this instance's region.  */

#include "state/state.h"

/* Open the ledgers on disk.  */
enum jc_status
ledger_start (struct state *state)
{
  (void)state;
  return JC_OK;
}

/* Close the ledgers.  */
void
ledger_stop (struct state *state)
{
  (void)state;
}

/* A peer came up.  */
void
ledger_up (struct state *state, struct jc_rpc_conn *conn)
{
  (void)state;
  (void)conn;
}

/* A peer went down.  */
void
ledger_down (struct state *state, struct jc_rpc_conn *conn)
{
  (void)state;
  (void)conn;
}

/* Take a message of an owner or of a copy.  */
void
ledger_packet (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  (void)state;
  (void)conn;
  (void)packet;
}

/* A new configuration is in force.  */
void
ledger_config_changed (struct state *state)
{
  (void)state;
}

/* A LOG_LEDGER entry was committed.  */
void
ledger_applied (struct state *state, struct jc_str data)
{
  (void)state;
  (void)data;
}
