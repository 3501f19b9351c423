/* All endpoints to which an entry instance may send requests, for one that
   connects or asks for them.  */

#include <string.h>

#include "net/program.h"
#include "state/state.h"

enum
{
  BATCH_ROWS = 64
};

/* Send COUNT ROWS to the entry instance CONN.  */
void
fleet_send_endpoints (struct jc_rpc_conn *conn, struct rpc_endpoint *rows,
                      u_int count)
{
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  fleet->endpoints.endpoints_val = rows;
  fleet->endpoints.endpoints_len = count;
  jc_rpc_send (conn, &packet);
}

/* Send CONN the versions of all endpoints to which it may send requests, if it
   asked for versions.  */
void
fleet_send_versions (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *reachable = g_ptr_array_new ();

  fleet_list_reachable (state, conn, reachable);
  versions_send_endpoints (state, conn, reachable);
  g_ptr_array_free (reachable, TRUE);
}

/* Send CONN, if it is an entry instance, every endpoint to which it may send
   requests.  Called when it connects or asks for them.  */
void
fleet_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *reachable;
  struct rpc_endpoint rows[BATCH_ROWS];
  int64_t now = jc_now_ms ();
  u_int count = 0;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  reachable = g_ptr_array_new ();
  fleet_list_reachable (state, conn, reachable);
  for (guint i = 0; i < reachable->len; i++)
    {
      jc_endpoint_to_rpc (g_ptr_array_index (reachable, i), now,
                          &rows[count++]);
      if (count < BATCH_ROWS)
        continue;
      fleet_send_endpoints (conn, rows, count);
      count = 0;
    }
  if (count > 0)
    fleet_send_endpoints (conn, rows, count);
  g_ptr_array_free (reachable, TRUE);
  fleet_send_versions (state, conn);
}
