/* Load reports between entry instances of a region: each of them sends to the
   same endpoints, so each needs to know what the others have in flight there.
   Instances of a zone report to one another; one of them sends the sum of the
   zone to the other zones.  */

#include <string.h>

#include "entry/router.h"
#include "member/bridges.h"
#include "member/forwarding.h"
#include "net/address.h"
#include "net/program.h"

enum
{
  /* Interval of the reports.  It grows with the number of instances in the
     zone, so that what each of them has to read stays about the same.  A report
     from another zone is up to two intervals old.  */
  INTERVAL_PER_PEER_MS = 3,
  INTERVAL_MIN_MS = 20,
  INTERVAL_MAX_MS = 100,
  FULL_INTERVAL_MS = 500,
  /* Number of instances in another zone that the loads of a zone are sent to:
     one of them may hang.  */
  RECEIVERS_PER_ZONE = 2,
  /* First level of peers that know shares.  */
  SHARES_LEVEL = 2
};

/* Return the interval of load reports to PEERS, ms.  */
static int64_t
interval_ms (const GPtrArray *peers)
{
  return CLAMP ((int64_t)peers->len * INTERVAL_PER_PEER_MS, INTERVAL_MIN_MS,
                INTERVAL_MAX_MS);
}

static bool
is_region_entry (const struct router *router, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "entry") == 0
         && strcmp (jc_rpc_conn_region (conn), router->entry->settings->region)
                == 0;
}

/* Keep a connection to the instance of PRESENCE.  Of each pair of instances the
   one with the lesser name dials.  */
static void
dial_entry (struct router *router, const struct rpc_presence *presence)
{
  char *address;

  if (strcmp (router->entry->settings->name, presence->name) >= 0
      || g_hash_table_contains (router->dialled_entries, presence->name))
    return;
  g_hash_table_add (router->dialled_entries, g_strdup (presence->name));
  address = jc_address_with_port (presence->handover_address,
                                  jc_rpc_port (router->entry->rpc));
  jc_rpc_dial (router->entry->rpc, presence->name, address);
  g_free (address);
}

/* Drop the connection to the instance NAME, which is gone or no longer
   needed.  */
void
loads_disconnect (struct router *router, const char *name)
{
  if (g_hash_table_remove (router->dialled_entries, name))
    jc_rpc_stop_dialling (router->entry->rpc, name);
}

/* Keep a connection to the instance of PRESENCE if it is in this zone.  */
void
loads_connect (struct router *router, const struct rpc_presence *presence)
{
  if (strcmp (presence->zone, router->entry->settings->availability_zone) == 0)
    dial_entry (router, presence);
}

static bool
is_in_other_zone (const struct router *router,
                  const struct rpc_presence *presence)
{
  const struct jc_entry_settings *settings = router->entry->settings;

  return strcmp (presence->region, settings->region) == 0
         && strcmp (presence->zone, settings->availability_zone) != 0;
}

/* Return the instances of this region that keep connections between its
   zones.  */
static struct jc_bridges *
find_bridges (const struct router *router, int64_t now)
{
  const struct jc_entry_settings *settings = router->entry->settings;
  struct jc_bridges *bridges = jc_bridges_new ();
  GHashTableIter iter;
  gpointer value;

  jc_bridges_add (bridges, settings->availability_zone, settings->name);
  g_hash_table_iter_init (&iter, router->neighbours);
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

/* Connect to the instances of other zones that this one is a bridge to, and
   drop the connections to all others there.  */
static void
update_bridges (struct router *router, int64_t now)
{
  const struct jc_entry_settings *settings = router->entry->settings;
  struct jc_bridges *bridges = find_bridges (router, now);
  bool is_bridge = jc_bridges_contains (bridges, settings->availability_zone,
                                        settings->name);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_presence *presence
          = &((struct neighbour *)value)->presence;

      if (!is_in_other_zone (router, presence))
        continue;
      if (is_bridge
          && jc_bridges_contains (bridges, presence->zone, presence->name))
        dial_entry (router, presence);
      else
        loads_disconnect (router, presence->name);
    }
  jc_bridges_free (bridges);
}

static bool
is_zone_peer (const struct router *router, const struct jc_rpc_conn *conn)
{
  return is_region_entry (router, conn)
         && strcmp (jc_rpc_conn_zone (conn),
                    router->entry->settings->availability_zone)
                == 0;
}

/* Return the connections to the other instances of this zone.  */
static GPtrArray *
list_zone_peers (const struct router *router)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (router->entry->rpc, "entry", conns);
  for (guint i = conns->len; i > 0; i--)
    if (!is_zone_peer (router, g_ptr_array_index (conns, i - 1)))
      g_ptr_array_remove_index_fast (conns, i - 1);
  return conns;
}

/* Return true if this instance sends the loads of its zone to the other zones:
   it has the least name of those that are alive.  */
static bool
is_zone_reporter (const struct router *router, const GPtrArray *peers,
                  int64_t now)
{
  const char *own = router->entry->settings->name;

  for (guint i = 0; i < peers->len; i++)
    {
      const char *name = jc_rpc_conn_name (g_ptr_array_index (peers, i));

      if (strcmp (name, own) < 0
          && jc_engines_heard_from (router->engines, name, now))
        return false;
    }
  return true;
}

/* A message with loads and the arrays that it borrows.  */
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

/* Point LOADS, a part of UPDATE's packet, to its arrays.  */
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

/* Send PEERS the loads that changed, or all of them with FULL, which is sent
   periodically since a message may be lost with its connection.  A cached
   prompt part needs no message of its own: it comes with a request, and so with
   a changed row.  */
static void
send_to_zone_peers (struct router *router, const GPtrArray *peers, bool full,
                    int64_t now)
{
  struct loads_update update;
  struct rpc_loads *loads;

  update_init (&update, RPC_LOADS);
  loads = &update.packet.body.rpc_body_u.loads;
  loads->full = full;
  jc_engines_collect_loads (router->engines, full, now, update.rows,
                            update.parts);
  paths_append_closed (router, update.paths);
  update_fill (&update, loads);
  for (guint i = 0; i < peers->len && (update.rows->len > 0 || full); i++)
    jc_rpc_send (g_ptr_array_index (peers, i), &update.packet);
  update_clear (&update);
}

/* Send PACKET to the first RECEIVERS_PER_ZONE connected instances of each other
   zone of the region that have at least protocol level LEVEL.  */
static void
send_to_other_zones (struct router *router, struct rpc_packet *packet,
                     uint64_t level)
{
  GPtrArray *conns = g_ptr_array_new ();
  GHashTable *sent = g_hash_table_new (g_str_hash, g_str_equal);

  jc_rpc_list_conns (router->entry->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);
      const char *zone = jc_rpc_conn_zone (conn);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (sent, zone));

      if (!is_region_entry (router, conn) || is_zone_peer (router, conn)
          || count >= RECEIVERS_PER_ZONE || jc_rpc_conn_level (conn) < level)
        continue;
      g_hash_table_insert (sent, (gpointer)zone, GUINT_TO_POINTER (count + 1));
      jc_rpc_send (conn, packet);
    }
  g_hash_table_destroy (sent);
  g_ptr_array_free (conns, TRUE);
}

/* Send the summed loads of this zone to the other zones of the region.  */
static void
send_zone_loads (struct router *router, bool full, int64_t now)
{
  struct loads_update update;
  struct rpc_zone_loads *zone_loads;

  update_init (&update, RPC_ZONE_LOADS);
  zone_loads = &update.packet.body.rpc_body_u.zone_loads;
  zone_loads->zone = router->entry->settings->availability_zone;
  zone_loads->loads.full = full;
  jc_engines_collect_zone_loads (router->engines, full, now, update.rows,
                                 update.parts);
  update_fill (&update, &zone_loads->loads);
  if (update.rows->len > 0 || full)
    send_to_other_zones (router, &update.packet, 0);
  update_clear (&update);
}

/* Send the pauses of this instance to PEERS, or with WHOLE_ZONE those of its
   zone to the other zones of the region.  */
static void
send_pauses (struct router *router, const GPtrArray *peers, bool whole_zone)
{
  struct rpc_packet packet = { .body.type = RPC_PAUSES };
  struct rpc_pauses *pauses = &packet.body.rpc_body_u.pauses;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_pause));

  backpressure_append_pauses (router, whole_zone, rows);
  pauses->zone
      = whole_zone ? router->entry->settings->availability_zone : (char *)"";
  pauses->list.list_val = (struct rpc_pause *)rows->data;
  pauses->list.list_len = rows->len;
  if (rows->len > 0 && whole_zone)
    send_to_other_zones (router, &packet, 0);
  for (guint i = 0; i < peers->len && rows->len > 0 && !whole_zone; i++)
    jc_rpc_send (g_ptr_array_index (peers, i), &packet);
  g_array_free (rows, TRUE);
}

/* Send PEERS what this instance holds of endpoints whose slots are shared out,
   or with WHOLE_ZONE what its zone holds to the other zones of the region.  */
static void
send_shares (struct router *router, const GPtrArray *peers, bool whole_zone)
{
  struct rpc_packet packet = { .body.type = RPC_SHARES };
  struct rpc_shares *shares = &packet.body.rpc_body_u.shares;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_share));

  if (whole_zone)
    shares_append_zone (router, peers->len, rows);
  else
    shares_append_due (router, peers->len, rows);
  shares->zone
      = whole_zone ? router->entry->settings->availability_zone : (char *)"";
  shares->list.list_val = (struct rpc_share *)rows->data;
  shares->list.list_len = rows->len;
  if (rows->len > 0 && whole_zone)
    send_to_other_zones (router, &packet, SHARES_LEVEL);
  for (guint i = 0; i < peers->len && rows->len > 0 && !whole_zone; i++)
    if (jc_rpc_conn_level (g_ptr_array_index (peers, i)) >= SHARES_LEVEL)
      jc_rpc_send (g_ptr_array_index (peers, i), &packet);
  g_array_free (rows, TRUE);
}

/* Send load reports if the interval is over.  */
void
loads_tick (struct router *router)
{
  int64_t now = jc_now_ms ();
  bool full = now - router->full_loads_sent_ms >= FULL_INTERVAL_MS;
  GPtrArray *peers;

  if (now - router->loads_sent_ms < INTERVAL_MIN_MS)
    return;
  peers = list_zone_peers (router);
  if (now - router->loads_sent_ms >= interval_ms (peers))
    {
      router->loads_sent_ms = now;
      if (full)
        {
          router->full_loads_sent_ms = now;
          update_bridges (router, now);
        }
      send_to_zone_peers (router, peers, full, now);
      if (full)
        send_pauses (router, peers, false);
      send_shares (router, peers, false);
      if (is_zone_reporter (router, peers, now))
        {
          send_shares (router, peers, true);
          send_zone_loads (router, full, now);
          if (full)
            send_pauses (router, peers, true);
        }
    }
  g_ptr_array_free (peers, TRUE);
}

/* Return whether a report may be sent before the next one is due, if the last
   such one was sent at LAST_MS, and count it as sent.  No peer gets more than
   twice the usual number.  */
static bool
may_send_early (struct router *router, const GPtrArray *peers, int64_t *last_ms,
                int64_t now)
{
  if (now - *last_ms < interval_ms (peers))
    return false;
  *last_ms = now;
  jc_metrics_counter_add (router->entry->metrics,
                          "jaycove_early_load_reports_total", "", 1);
  return true;
}

/* Report at once what is to be read at an engine, with OF_ZONE only to the
   other zones: until they know, other instances send prompts there too.  */
void
loads_report_reading (void *data, bool of_zone, int64_t now)
{
  struct router *router = data;
  GPtrArray *peers = list_zone_peers (router);

  if (!of_zone && may_send_early (router, peers, &router->loads_told_ms, now))
    send_to_zone_peers (router, peers, false, now);
  if (is_zone_reporter (router, peers, now)
      && may_send_early (router, peers, &router->zone_loads_told_ms, now))
    send_zone_loads (router, false, now);
  g_ptr_array_free (peers, TRUE);
}

/* Forward PACKET, which CONN sent about ZONE, another one, to the peers in this
   zone that have at least protocol level LEVEL, if it came from there directly
   and no other instance does.  */
static void
forward_to_zone (struct router *router, struct jc_rpc_conn *conn,
                 const char *zone, const struct rpc_packet *packet,
                 uint64_t level)
{
  GPtrArray *peers;

  if (is_zone_peer (router, conn)
      || jc_forwarding_done_by_other (router->zone_forwarders, zone,
                                      jc_now_ms ()))
    return;
  peers = list_zone_peers (router);
  for (guint i = 0; i < peers->len; i++)
    {
      struct rpc_packet forwarded = { .body = packet->body };

      if (jc_rpc_conn_level (g_ptr_array_index (peers, i)) >= level)
        jc_rpc_send (g_ptr_array_index (peers, i), &forwarded);
    }
  g_ptr_array_free (peers, TRUE);
}

/* Apply the loads of another zone and forward them.  */
static void
handle_zone_loads (struct router *router, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet)
{
  const struct rpc_zone_loads *zone_loads = &packet->body.rpc_body_u.zone_loads;
  int64_t now = jc_now_ms ();

  jc_engines_apply_zone_loads (router->engines, zone_loads->zone,
                               &zone_loads->loads, now);
  if (is_zone_peer (router, conn))
    jc_forwarding_record (router->zone_forwarders, zone_loads->zone,
                          jc_rpc_conn_name (conn),
                          router->entry->settings->name, now);
  forward_to_zone (router, conn, zone_loads->zone, packet, 0);
}

/* Apply the pauses of another instance, and forward them if they are those of
   another zone.  */
static void
handle_pauses (struct router *router, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_pauses *pauses = &packet->body.rpc_body_u.pauses;
  bool of_zone = pauses->zone[0] != '\0';

  backpressure_handle_pauses (router, pauses, !of_zone);
  if (of_zone)
    forward_to_zone (router, conn, pauses->zone, packet, 0);
}

/* Apply the shares of another instance, and forward them if they are those of
   another zone.  */
static void
handle_shares (struct router *router, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_shares *shares = &packet->body.rpc_body_u.shares;

  shares_handle_report (router, shares);
  if (shares->zone[0] != '\0')
    forward_to_zone (router, conn, shares->zone, packet, SHARES_LEVEL);
}

/* Handle a message of another entry instance in this region: what it tells of
   the orders, and a load report or pauses.  */
void
loads_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_loads *loads = &packet->body.rpc_body_u.loads;

  if (!is_region_entry (router, conn))
    return;
  jc_contact_note_neighbour (&router->contact, packet->head.config_version,
                             router->orders->position,
                             jc_rpc_conn_silent_ms (conn), jc_boot_ms ());
  if (packet->body.type == RPC_ZONE_LOADS)
    handle_zone_loads (router, conn, packet);
  if (packet->body.type == RPC_PAUSES)
    handle_pauses (router, conn, packet);
  if (packet->body.type == RPC_SHARES)
    handle_shares (router, conn, packet);
  if (packet->body.type != RPC_LOADS)
    return;
  jc_engines_apply_loads (router->engines, jc_rpc_conn_name (conn), loads,
                          jc_now_ms ());
  paths_reported (router, jc_rpc_conn_name (conn), loads);
}
