/* Configuration updates.  A version is put in force only if it is higher than
   the one in force and, if the region has a state instance, durable there: it
   comes from that instance, or from another entry instance of the region while
   no state instance is connected.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/entry.h"

#define LOG_COMPONENT "follower"

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

/* Return true if the settings name a state instance of the own region.  */
static bool
region_has_state_instance (const struct entry *entry)
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

/* Return the connection to the first state instance of the settings that is
   connected, whatever its region, or NULL.  */
struct jc_rpc_conn *
configsync_state_conn (struct entry *entry)
{
  const GPtrArray *peers = entry->settings->state_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);
      struct jc_rpc_conn *conn = jc_rpc_find_conn (entry->rpc, peer->name);

      if (conn != NULL)
        return conn;
    }
  return NULL;
}

/* Return true if CONN is a state instance whose versions may be put in force
   here.  */
static bool
is_source (const struct entry *entry, const struct jc_rpc_conn *conn)
{
  if (!has_role (conn, "state"))
    return false;
  return same_region (entry, conn) || !region_has_state_instance (entry);
}

/* Return the connection to the first source of the settings that is connected,
   or NULL.  */
static const struct jc_rpc_conn *
current_source (struct entry *entry)
{
  const GPtrArray *peers = entry->settings->state_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);
      const struct jc_rpc_conn *conn
          = jc_rpc_find_conn (entry->rpc, peer->name);

      if (conn != NULL && is_source (entry, conn))
        return conn;
    }
  return NULL;
}

/* Return true if a version from CONN may be put in force: CONN is a source, or
   an entry instance of this region, which got it from a source.  */
static bool
is_trusted (struct entry *entry, const struct jc_rpc_conn *conn)
{
  if (is_source (entry, conn))
    return true;
  return has_role (conn, "entry") && same_region (entry, conn);
}

/* Ask CONN for the changes since the version in force, and for each later
   version.  */
static void
request_config (struct entry *entry, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_FOLLOW };

  packet.body.rpc_body_u.config_follow.have_version = entry->config->version;
  jc_rpc_send (conn, &packet);
}

/* CONN came up: ask it for the configuration if it is the first source that is
   connected.  Other sources are asked only when their heartbeats show a higher
   version.  */
void
configsync_conn_up (struct entry *entry, struct jc_rpc_conn *conn)
{
  if (is_source (entry, conn) && current_source (entry) == conn)
    request_config (entry, conn);
}

/* A heartbeat with a higher version than the one in force shows that a version
   was missed: ask for it.  Entry instances are asked only while no source is
   connected.  */
static void
handle_heartbeat (struct entry *entry, struct jc_rpc_conn *conn,
                  const struct rpc_packet *packet)
{
  if (packet->head.config_version <= entry->config->version
      || !is_trusted (entry, conn))
    return;
  if (is_source (entry, conn) || current_source (entry) == NULL)
    request_config (entry, conn);
}

static void
activate_config (struct entry *entry, struct jc_config *config)
{
  jc_config_free (entry->config);
  entry->config = config;
  jc_rpc_set_config_version (entry->rpc, config->version);
  jc_info (LOG_COMPONENT,
           "Configuration version %" G_GUINT64_FORMAT " is in force.",
           config->version);
}

static void
handle_delta (struct entry *entry, const struct rpc_config_delta *delta)
{
  json_t *json = json_loadb (delta->json.rpc_bytes_val,
                             delta->json.rpc_bytes_len, 0, NULL);
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *config = NULL;

  if (json != NULL)
    config = jc_config_patch (delta->from_version == 0 ? empty : entry->config,
                              json, delta->to_version);
  if (config != NULL)
    activate_config (entry, config);
  else
    jc_error (LOG_COMPONENT,
              "Dropped a configuration update that can't be read.");
  jc_config_free (empty);
  json_decref (json);
}

/* Send the whole configuration in force to an entry instance of this region
   that asks for it and has a lower version.  It asks entry instances only while
   no source is connected to it.  */
static void
handle_follow (struct entry *entry, struct jc_rpc_conn *conn,
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

/* Handle PACKET if it is a heartbeat or belongs to the configuration.  A delta
   whose base version is higher than the one in force can't be applied; the
   changes since that one are asked for instead.  */
void
configsync_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet)
{
  const struct rpc_config_delta *delta = &packet->body.rpc_body_u.config_delta;
  uint64_t own_version = entry->config->version;

  if (packet->body.type == RPC_HEARTBEAT)
    handle_heartbeat (entry, conn, packet);
  else if (packet->body.type == RPC_CONFIG_FOLLOW)
    handle_follow (entry, conn, packet);
  else if (packet->body.type == RPC_CONFIG_DELTA && is_trusted (entry, conn)
           && delta->to_version > own_version
           && delta->durable_version >= delta->to_version)
    {
      if (delta->from_version > own_version)
        request_config (entry, conn);
      else
        handle_delta (entry, delta);
    }
}
