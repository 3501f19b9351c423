/* Following the configuration.  A version is put in force only if it is
   higher than the one in force and, where the region has a state instance,
   durable there: it comes from that instance, or from an entry instance of
   the region while that one is away.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/entry.h"

#define PART "follower"

static bool
same_region (const struct entry *entry, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_region (conn), entry->settings->region) == 0;
}

static bool
has_role (const struct jc_rpc_conn *conn, const char *role)
{
  return strcmp (jc_rpc_conn_role (conn), role) == 0;
}

/* Tell whether the settings name a state instance of the own region.  */
static bool
region_has_replica (const struct entry *entry)
{
  const GPtrArray *peers = entry->settings->state_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);

      if (strcmp (peer->region, entry->settings->region) == 0)
        return true;
    }
  return false;
}

/* Return the connection to the first state instance that is up, or NULL.  */
struct jc_rpc_conn *
configsync_state_conn (struct entry *entry)
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

/* Tell whether CONN is a state instance whose versions may be put in force
   here.  */
static bool
is_source (const struct entry *entry, const struct jc_rpc_conn *conn)
{
  if (!has_role (conn, "state"))
    return false;
  return same_region (entry, conn) || !region_has_replica (entry);
}

/* Return the first source that is up, or NULL.  */
static const struct jc_rpc_conn *
first_source (struct entry *entry)
{
  const GPtrArray *peers = entry->settings->state_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);
      const struct jc_rpc_conn *conn = jc_rpc_find (entry->rpc, peer->name);

      if (conn != NULL && is_source (entry, conn))
        return conn;
    }
  return NULL;
}

/* Tell whether a version from CONN may be put in force.  */
static bool
may_take (struct entry *entry, const struct jc_rpc_conn *conn)
{
  if (is_source (entry, conn))
    return true;
  return has_role (conn, "entry") && same_region (entry, conn);
}

static void
ask (struct entry *entry, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_FOLLOW };

  packet.body.rpc_body_u.config_follow.have_version = entry->config->version;
  jc_rpc_send (conn, &packet);
}

/* Ask a source that came up for what is new, and for each version from now
   on.  Those after the first are asked when they turn out to know more.  */
void
configsync_conn_up (struct entry *entry, struct jc_rpc_conn *conn)
{
  if (is_source (entry, conn) && first_source (entry) == conn)
    ask (entry, conn);
}

/* A heartbeat of a peer that knows a higher version shows a gap.  Entry
   instances are asked only while no source is up.  */
static void
take_heartbeat (struct entry *entry, struct jc_rpc_conn *conn,
                const struct rpc_packet *packet)
{
  if (packet->head.config_version <= entry->config->version
      || !may_take (entry, conn))
    return;
  if (is_source (entry, conn) || first_source (entry) == NULL)
    ask (entry, conn);
}

static void
put_in_force (struct entry *entry, struct jc_config *config)
{
  jc_config_free (entry->config);
  entry->config = config;
  jc_rpc_set_config_version (entry->rpc, config->version);
  jc_info (PART, "Version %" G_GUINT64_FORMAT " is in force.", config->version);
}

static void
take_delta (struct entry *entry, const struct rpc_config_delta *delta)
{
  json_t *json = json_loadb (delta->json.rpc_bytes_val,
                             delta->json.rpc_bytes_len, 0, NULL);
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *config = NULL;

  if (json != NULL)
    config = jc_config_patch (delta->from_version == 0 ? empty : entry->config,
                              json, delta->to_version);
  if (config != NULL)
    put_in_force (entry, config);
  else
    jc_error (PART, "A configuration can't be read.");
  jc_config_free (empty);
  json_decref (json);
}

/* Send the whole configuration in force to an entry instance of the region
   that asks because no state instance is up there.  */
static void
serve_peer (struct entry *entry, struct jc_rpc_conn *conn,
            const struct rpc_packet *packet)
{
  struct rpc_packet answer = { .body.type = RPC_CONFIG_DELTA };
  struct rpc_config_delta *delta = &answer.body.rpc_body_u.config_delta;
  char *text;

  if (!has_role (conn, "entry") || !same_region (entry, conn)
      || packet->body.rpc_body_u.config_follow.have_version
             >= entry->config->version)
    return;
  text = json_dumps (entry->config->json, JSON_COMPACT);
  delta->to_version = entry->config->version;
  delta->durable_version = entry->config->version;
  delta->json.rpc_bytes_val = text;
  delta->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_send (conn, &answer);
  free (text);
}

/* Take a message of the configuration.  */
void
configsync_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet)
{
  const struct rpc_config_delta *delta = &packet->body.rpc_body_u.config_delta;
  uint64_t have = entry->config->version;

  if (packet->body.type == RPC_HEARTBEAT)
    take_heartbeat (entry, conn, packet);
  else if (packet->body.type == RPC_CONFIG_FOLLOW)
    serve_peer (entry, conn, packet);
  else if (packet->body.type == RPC_CONFIG_DELTA && may_take (entry, conn)
           && delta->to_version > have
           && delta->durable_version >= delta->to_version)
    {
      if (delta->from_version > have)
        ask (entry, conn);
      else
        take_delta (entry, delta);
    }
}
