/* Following the configuration from the state instances.  */

#include <string.h>

#include "base/log.h"
#include "entry/entry.h"

#define PART "follower"

/* Ask a state instance that came up for what is new.  */
void
follower_up (struct entry *entry, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_FOLLOW };

  if (strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  packet.body.rpc_body_u.config_follow.have_version = entry->config->version;
  jc_rpc_send (conn, &packet);
}

/* Return the connection to the first state instance that is up, or NULL.  */
struct jc_rpc_conn *
follower_state_conn (struct entry *entry)
{
  const GPtrArray *peers = entry->settings->state_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);
      struct jc_rpc_conn *conn = jc_rpc_find (entry->rpc, peer->name);

      if (conn != NULL)
        return conn;
    }
  return NULL;
}

static void
put_in_force (struct entry *entry, const struct rpc_config_delta *delta)
{
  json_t *json = json_loadb (delta->json.rpc_bytes_val,
                             delta->json.rpc_bytes_len, 0, NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config = NULL;

  if (json != NULL)
    config = jc_config_from_json (json, delta->to_version, faults);
  if (config != NULL)
    {
      jc_config_free (entry->config);
      entry->config = config;
      jc_rpc_set_config_version (entry->rpc, config->version);
      jc_info (PART, "Version %" G_GUINT64_FORMAT " is in force.",
               config->version);
    }
  else
    jc_error (PART, "A configuration can't be read.");
  g_ptr_array_free (faults, TRUE);
  json_decref (json);
}

/* Take a message of the configuration.  */
void
follower_packet (struct entry *entry, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  const struct rpc_config_delta *delta = &packet->body.rpc_body_u.config_delta;

  (void)conn;
  if (packet->body.type == RPC_CONFIG_DELTA
      && delta->to_version > entry->config->version)
    put_in_force (entry, delta);
}
