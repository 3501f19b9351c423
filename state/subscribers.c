/* Sends the configuration to the entry instances that subscribed to it, as
   deltas.  They receive only versions that this instance has applied, which
   are durable.  */

#include <stdlib.h>
#include <string.h>

#include "state/state.h"

enum
{
  /* A connection with more unsent bytes than this gets no further delta until
     it has drained.  */
  BACKLOG_MAX_BYTES = 8 * 1024 * 1024
};

/* An entry instance and the version that it was sent last.  */
struct subscriber
{
  struct jc_rpc_conn *conn;
  uint64_t sent_version;
};

static struct subscriber *
find_subscriber (const struct state *state, const struct jc_rpc_conn *conn)
{
  for (guint i = 0; i < state->config_subscribers->len; i++)
    {
      struct subscriber *subscriber
          = g_ptr_array_index (state->config_subscribers, i);

      if (subscriber->conn == conn)
        return subscriber;
    }
  return NULL;
}

static void
send_delta (const struct state *state, struct subscriber *subscriber)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_DELTA };
  struct rpc_config_delta *delta = &packet.body.rpc_body_u.config_delta;
  uint64_t from;
  json_t *json;
  char *text;

  if (subscriber->sent_version >= state->config->version
      || jc_rpc_conn_backlog_bytes (subscriber->conn) > BACKLOG_MAX_BYTES)
    return;
  json = jc_confstate_delta (state->confstate, subscriber->sent_version, &from);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  subscriber->sent_version = state->config->version;
  delta->from_version = from;
  delta->to_version = state->config->version;
  delta->durable_version = state->config->version;
  delta->json.rpc_bytes_val = text;
  delta->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_send (subscriber->conn, &packet);
  free (text);
}

/* Subscribe CONN by its request PACKET, which names the version that it has.
   It is sent the changes since that version at once.  */
void
subscribers_add (struct state *state, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  struct subscriber *subscriber = find_subscriber (state, conn);

  if (subscriber == NULL)
    {
      subscriber = g_new0 (struct subscriber, 1);
      subscriber->conn = conn;
      g_ptr_array_add (state->config_subscribers, subscriber);
    }
  subscriber->sent_version = packet->body.rpc_body_u.config_follow.have_version;
  send_delta (state, subscriber);
}

/* Remove the subscription of CONN, which has closed.  */
void
subscribers_remove (struct state *state, struct jc_rpc_conn *conn)
{
  struct subscriber *subscriber = find_subscriber (state, conn);

  if (subscriber != NULL)
    g_ptr_array_remove_fast (state->config_subscribers, subscriber);
}

/* Send every subscriber the changes that it does not have yet.  */
void
subscribers_push (struct state *state)
{
  for (guint i = 0; i < state->config_subscribers->len; i++)
    send_delta (state, g_ptr_array_index (state->config_subscribers, i));
}
