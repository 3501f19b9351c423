/* Loads: entry instances of a region tell each other what they have at each
   endpoint, since each of them sends there.  Those of a zone tell one another;
   one of them tells the other zones what they have together.  */

#include <string.h>

#include "entry/router.h"
#include "member/bridges.h"
#include "member/forwarding.h"
#include "net/address.h"
#include "net/program.h"

enum
{
  /* Interval of telling.  It grows with the instances of the zone, so that what
     each has to read stays about the same; what comes from another zone is up
     to two of them old.  */
  TELL_A_PEER_MS = 3,
  TELL_LEAST_MS = 20,
  TELL_MOST_MS = 100,
  FULL_MS = 500,
  /* Instances of another zone that its loads are told to: one of them may stand
     still.  */
  RECEIVERS = 2
};

static int64_t
interval_ms (const GPtrArray *peers)
{
  return CLAMP ((int64_t)peers->len * TELL_A_PEER_MS, TELL_LEAST_MS,
                TELL_MOST_MS);
}

static bool
is_fellow (const struct hosts *hosts, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "entry") == 0
         && strcmp (jc_rpc_conn_region (conn), hosts->entry->settings->region)
                == 0;
}

/* Keep a connection to NEIGHBOUR.  Of each pair the one with the lesser name
   dials.  */
static void
connect_fellow (struct hosts *hosts, const struct rpc_presence *neighbour)
{
  char *address;

  if (strcmp (hosts->entry->settings->name, neighbour->name) >= 0
      || g_hash_table_contains (hosts->dialled_entries, neighbour->name))
    return;
  g_hash_table_add (hosts->dialled_entries, g_strdup (neighbour->name));
  address = jc_address_with_port (neighbour->handover_address,
                                  jc_rpc_port (hosts->entry->rpc));
  jc_rpc_dial (hosts->entry->rpc, neighbour->name, address);
  g_free (address);
}

/* Keep no connection to the instance NAME, which is gone.  */
void
loads_disconnect (struct hosts *hosts, const char *name)
{
  if (g_hash_table_remove (hosts->dialled_entries, name))
    jc_rpc_stop_dialling (hosts->entry->rpc, name);
}

/* Keep a connection to NEIGHBOUR where it is of this zone.  */
void
loads_connect (struct hosts *hosts, const struct rpc_presence *neighbour)
{
  if (strcmp (neighbour->zone, hosts->entry->settings->availability_zone) == 0)
    connect_fellow (hosts, neighbour);
}

static bool
is_other_zone (const struct hosts *hosts, const struct rpc_presence *neighbour)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;

  return strcmp (neighbour->region, settings->region) == 0
         && strcmp (neighbour->zone, settings->availability_zone) != 0;
}

/* Return which instances of this region keep connections between its zones.  */
static struct jc_bridges *
find_bridges (const struct hosts *hosts, int64_t now)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;
  struct jc_bridges *bridges = jc_bridges_new ();
  GHashTableIter iter;
  gpointer value;

  jc_bridges_add (bridges, settings->availability_zone, settings->name);
  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (strcmp (neighbour->presence.region, settings->region) == 0
          && now - neighbour->last_seen_ms < NEIGHBOUR_FRESH_MS)
        jc_bridges_add (bridges, neighbour->presence.zone,
                        neighbour->presence.name);
    }
  return bridges;
}

/* Keep those connections to the other zones of the region that are this
   instance's.  */
static void
keep_bridges (struct hosts *hosts, int64_t now)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;
  struct jc_bridges *bridges = find_bridges (hosts, now);
  bool own = jc_bridges_contains (bridges, settings->availability_zone,
                                  settings->name);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_presence *said = &((struct neighbour *)value)->presence;

      if (!is_other_zone (hosts, said))
        continue;
      if (own && jc_bridges_contains (bridges, said->zone, said->name))
        connect_fellow (hosts, said);
      else
        loads_disconnect (hosts, said->name);
    }
  jc_bridges_free (bridges);
}

static bool
is_zone_peer (const struct hosts *hosts, const struct jc_rpc_conn *conn)
{
  return is_fellow (hosts, conn)
         && strcmp (jc_rpc_conn_zone (conn),
                    hosts->entry->settings->availability_zone)
                == 0;
}

/* Return the connections to the other instances of this zone.  */
static GPtrArray *
list_zone_peers (const struct hosts *hosts)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (hosts->entry->rpc, "entry", conns);
  for (guint i = conns->len; i > 0; i--)
    if (!is_zone_peer (hosts, g_ptr_array_index (conns, i - 1)))
      g_ptr_array_remove_index_fast (conns, i - 1);
  return conns;
}

/* Tell whether this instance tells the other zones of the region what its zone
   has: it has the least name of those that are there.  */
static bool
is_relay (const struct hosts *hosts, const GPtrArray *peers, int64_t now)
{
  const char *own = hosts->entry->settings->name;

  for (guint i = 0; i < peers->len; i++)
    {
      const char *name = jc_rpc_conn_name (g_ptr_array_index (peers, i));

      if (strcmp (name, own) < 0
          && jc_engines_heard_from (hosts->engines, name, now))
        return false;
    }
  return true;
}

/* Rows of a message about loads.  */
struct loads_update
{
  struct rpc_packet packet;
  GArray *rows;
  GArray *parts;
  GArray *paths;
};

static void
update_init (struct loads_update *update, enum rpc_type type)
{
  memset (update, 0, sizeof *update);
  update->packet.body.type = type;
  update->rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_load));
  update->parts = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  update->paths = g_array_new (FALSE, FALSE, sizeof (struct rpc_path_closed));
}

/* Have LOADS, a part of UPDATE's packet, borrow its rows.  */
static void
update_fill (struct loads_update *update, struct rpc_loads *loads)
{
  loads->rows.rows_val = (struct rpc_load *)update->rows->data;
  loads->rows.rows_len = update->rows->len;
  loads->parts.parts_val = (struct rpc_part_read *)update->parts->data;
  loads->parts.parts_len = update->parts->len;
  loads->paths.paths_val = (struct rpc_path_closed *)update->paths->data;
  loads->paths.paths_len = update->paths->len;
}

static void
update_clear (struct loads_update *update)
{
  g_array_free (update->rows, TRUE);
  g_array_free (update->parts, TRUE);
  g_array_free (update->paths, TRUE);
}

/* Tell PEERS what changed; from time to time everything, since a message may
   be lost with its connection.  A part that was read comes with a request, and
   so with a changed row.  */
static void
notify_zone (struct hosts *hosts, const GPtrArray *peers, bool full,
             int64_t now)
{
  struct loads_update update;
  struct rpc_loads *loads;

  update_init (&update, RPC_LOADS);
  loads = &update.packet.body.rpc_body_u.loads;
  loads->full = full;
  jc_engines_collect_loads (hosts->engines, full, now, update.rows,
                            update.parts);
  paths_append_closed (hosts, update.paths);
  update_fill (&update, loads);
  for (guint i = 0; i < peers->len && (update.rows->len > 0 || full); i++)
    jc_rpc_send (g_ptr_array_index (peers, i), &update.packet);
  update_clear (&update);
}

/* Send PACKET to the first instances of each other zone of the region.  */
static void
send_to_other_zones (struct hosts *hosts, struct rpc_packet *packet)
{
  GPtrArray *conns = g_ptr_array_new ();
  GHashTable *sent = g_hash_table_new (g_str_hash, g_str_equal);

  jc_rpc_list_conns (hosts->entry->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);
      const char *zone = jc_rpc_conn_zone (conn);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (sent, zone));

      if (!is_fellow (hosts, conn) || is_zone_peer (hosts, conn)
          || count >= RECEIVERS)
        continue;
      g_hash_table_insert (sent, (gpointer)zone, GUINT_TO_POINTER (count + 1));
      jc_rpc_send (conn, packet);
    }
  g_hash_table_destroy (sent);
  g_ptr_array_free (conns, TRUE);
}

/* Tell the other zones of the region what this one has, together.  */
static void
notify_other_zones (struct hosts *hosts, bool full, int64_t now)
{
  struct loads_update update;
  struct rpc_zone_loads *said;

  update_init (&update, RPC_ZONE_LOADS);
  said = &update.packet.body.rpc_body_u.zone_loads;
  said->zone = hosts->entry->settings->availability_zone;
  said->loads.full = full;
  jc_engines_collect_zone_loads (hosts->engines, full, now, update.rows,
                                 update.parts);
  update_fill (&update, &said->loads);
  if (update.rows->len > 0 || full)
    send_to_other_zones (hosts, &update.packet);
  update_clear (&update);
}

/* Tell the other instances of the region, where it is time.  */
void
loads_tick (struct hosts *hosts)
{
  int64_t now = jc_now_ms ();
  bool full = now - hosts->full_loads_sent_ms >= FULL_MS;
  GPtrArray *peers;

  if (now - hosts->loads_sent_ms < TELL_LEAST_MS)
    return;
  peers = list_zone_peers (hosts);
  if (now - hosts->loads_sent_ms >= interval_ms (peers))
    {
      hosts->loads_sent_ms = now;
      if (full)
        {
          hosts->full_loads_sent_ms = now;
          keep_bridges (hosts, now);
        }
      notify_zone (hosts, peers, full, now);
      if (is_relay (hosts, peers, now))
        notify_other_zones (hosts, full, now);
    }
  g_ptr_array_free (peers, TRUE);
}

/* Take what the zone of SAID told, and pass it on in this zone where CONN is of
   that one and no other instance does.  */
static void
take_zone (struct hosts *hosts, struct jc_rpc_conn *conn,
           const struct rpc_packet *packet)
{
  const struct rpc_zone_loads *said = &packet->body.rpc_body_u.zone_loads;
  int64_t now = jc_now_ms ();
  GPtrArray *peers;

  jc_engines_apply_zone_loads (hosts->engines, said->zone, &said->loads, now);
  if (is_zone_peer (hosts, conn))
    {
      jc_forwarding_record (hosts->zone_forwarders, said->zone,
                            jc_rpc_conn_name (conn),
                            hosts->entry->settings->name, now);
      return;
    }
  if (jc_forwarding_done_by_other (hosts->zone_forwarders, said->zone, now))
    return;
  peers = list_zone_peers (hosts);
  for (guint i = 0; i < peers->len; i++)
    {
      struct rpc_packet on = { .body = packet->body };

      jc_rpc_send (g_ptr_array_index (peers, i), &on);
    }
  g_ptr_array_free (peers, TRUE);
}

/* Take what another instance told.  */
void
loads_handle_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_loads *loads = &packet->body.rpc_body_u.loads;

  if (!is_fellow (hosts, conn))
    return;
  if (packet->body.type == RPC_ZONE_LOADS)
    take_zone (hosts, conn, packet);
  if (packet->body.type != RPC_LOADS)
    return;
  jc_engines_apply_loads (hosts->engines, jc_rpc_conn_name (conn), loads,
                          jc_now_ms ());
  paths_reported (hosts, jc_rpc_conn_name (conn), loads);
}
