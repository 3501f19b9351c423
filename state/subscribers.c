/* Followers of the configuration: entry instances get every version in
   force here, which is durable here, by deltas.  */

#include <stdlib.h>
#include <string.h>

#include "state/state.h"

enum
{
  BACKLOG_MAX = 8 * 1024 * 1024
};

/* A follower and the version that it was sent last.  */
struct follower
{
  struct jc_rpc_conn *conn;
  uint64_t sent;
};

static struct follower *
find_follower (const struct state *state, const struct jc_rpc_conn *conn)
{
  for (guint i = 0; i < state->config_subscribers->len; i++)
    {
      struct follower *follower
          = g_ptr_array_index (state->config_subscribers, i);

      if (follower->conn == conn)
        return follower;
    }
  return NULL;
}

static void
send_delta (const struct state *state, struct follower *follower)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_DELTA };
  struct rpc_config_delta *delta = &packet.body.rpc_body_u.config_delta;
  uint64_t from;
  json_t *json;
  char *text;

  if (follower->sent >= state->config->version
      || jc_rpc_conn_backlog_bytes (follower->conn) > BACKLOG_MAX)
    return;
  json = jc_confstate_delta (state->confstate, follower->sent, &from);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  follower->sent = state->config->version;
  delta->from_version = from;
  delta->to_version = state->config->version;
  delta->durable_version = state->config->version;
  delta->json.rpc_bytes_val = text;
  delta->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_send (follower->conn, &packet);
  free (text);
}

/* Send CONN every version from now on, first what it lacks.  */
void
subscribers_add (struct state *state, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  struct follower *follower = find_follower (state, conn);

  if (follower == NULL)
    {
      follower = g_new0 (struct follower, 1);
      follower->conn = conn;
      g_ptr_array_add (state->config_subscribers, follower);
    }
  follower->sent = packet->body.rpc_body_u.config_follow.have_version;
  send_delta (state, follower);
}

/* Forget CONN, which went down.  */
void
subscribers_remove (struct state *state, struct jc_rpc_conn *conn)
{
  struct follower *follower = find_follower (state, conn);

  if (follower != NULL)
    g_ptr_array_remove_fast (state->config_subscribers, follower);
}

/* Send what is new to every follower.  */
void
subscribers_push (struct state *state)
{
  for (guint i = 0; i < state->config_subscribers->len; i++)
    send_delta (state, g_ptr_array_index (state->config_subscribers, i));
}
