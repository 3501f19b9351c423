/* Membership: runs the synchronization of endpoints within the zone, the
   summaries between regions, and the connections between entry instances.  */

#include <string.h>

#include "entry/entry.h"
#include "member/links.h"
#include "member/summaries.h"
#include "member/zonesync.h"
#include "net/address.h"
#include "net/program.h"

enum
{
  TICK_MS = 100,
  LINKS_INTERVAL_MS = 500,
  ACCEPT_DELAY_MAX_MS = 2000,
  MS_PER_S = 1000
};

/* State of the membership task.  */
struct membership_task
{
  struct entry *entry;
  struct jc_zone_sync *zone_sync;
  struct jc_summaries *summaries;
  struct jc_links *links;
  char *callers_address;
  ev_timer tick;
  int64_t started_ms;
  int64_t links_checked_ms;
  bool accepting;
};

static void
send_delta (void *ctx, const char *peer, struct rpc_zone_delta *delta)
{
  const struct membership_task *task = ctx;
  struct rpc_packet packet = { .body.type = RPC_ZONE_DELTA };

  packet.body.rpc_body_u.zone_delta = *delta;
  jc_rpc_send (jc_rpc_find_conn (task->entry->rpc, peer), &packet);
}

static void
send_summary (void *ctx, const char *peer, struct rpc_region_summary *summary)
{
  const struct membership_task *task = ctx;
  struct rpc_packet packet = { .body.type = RPC_REGION_SUMMARY };

  packet.body.rpc_body_u.region_summary = *summary;
  jc_rpc_send (jc_rpc_find_conn (task->entry->rpc, peer), &packet);
}

static void
dial_peer (void *ctx, const char *name)
{
  const struct membership_task *task = ctx;
  const GPtrArray *peers = task->entry->settings->entry_peers;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);

      if (strcmp (peer->name, name) == 0)
        {
          jc_rpc_dial (task->entry->rpc, peer->name, peer->rpc);
          return;
        }
    }
}

static void
disconnect_peer (void *ctx, const char *name)
{
  const struct membership_task *task = ctx;

  jc_rpc_stop_dialling (task->entry->rpc, name);
}

static const struct jc_zone_sync_class zone_class = { .send = send_delta };
static const struct jc_summaries_class summaries_class
    = { .send = send_summary };
static const struct jc_links_class links_class
    = { .dial = dial_peer, .disconnect = disconnect_peer };

/* Announce that this instance accepts callers once a configuration is in force
   and endpoints are known.  A zone without endpoints accepts them after
   ACCEPT_DELAY_MAX_MS.  */
static void
accept_callers_when_ready (struct membership_task *task, int64_t now_ms)
{
  const struct entry *entry = task->entry;

  if (task->accepting || entry->config->version == 0
      || (jc_endpoints_count (entry->members) == 0
          && now_ms - task->started_ms < ACCEPT_DELAY_MAX_MS))
    return;
  task->accepting = true;
  jc_zone_sync_accept_callers (task->zone_sync, task->callers_address, now_ms);
  jc_summaries_accept_callers (task->summaries, task->callers_address);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct membership_task *task = watcher->data;
  int64_t now = jc_now_ms ();

  (void)loop;
  (void)events;
  accept_callers_when_ready (task, now);
  jc_zone_sync_tick (task->zone_sync, now);
  jc_summaries_tick (task->summaries, now);
  if (now - task->links_checked_ms < LINKS_INTERVAL_MS)
    return;
  task->links_checked_ms = now;
  jc_links_tick (task->links, now);
}

/* Return the plan of connections to the entry peers in SETTINGS.  */
static struct jc_links *
links_new (struct membership_task *task,
           const struct jc_entry_settings *settings)
{
  struct jc_links *links
      = jc_links_new (settings->name, settings->region,
                      settings->availability_zone, &links_class, task);

  for (guint i = 0; i < settings->entry_peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (settings->entry_peers, i);

      jc_links_add_peer (links, peer->name, peer->region,
                         peer->availability_zone);
    }
  return links;
}

/* Start membership for ENTRY, whose RPC task and callers' listener are
   running.  */
void
membership_start (struct entry *entry)
{
  const struct jc_entry_settings *settings = entry->settings;
  struct membership_task *task = g_new0 (struct membership_task, 1);
  struct jc_member_tables tables
      = { .endpoints = entry->members, .regions = entry->regions };
  struct jc_local_instance self
      = { .name = settings->name,
          .region = settings->region,
          .zone = settings->availability_zone,
          .incarnation = jc_rpc_incarnation (entry->rpc) };

  task->entry = entry;
  task->callers_address = jc_address_with_port (
      settings->callers, jc_httpd_port (entry->callers_listener));
  self.callers_address = "";
  task->started_ms = jc_now_ms ();
  task->zone_sync = jc_zone_sync_new (&self, &tables, &zone_class, task);
  task->summaries = jc_summaries_new (&self, &tables, &summaries_class, task);
  task->links = links_new (task, settings);
  entry->membership = task;
  ev_timer_init (&task->tick, on_tick, 0, (double)TICK_MS / MS_PER_S);
  task->tick.data = task;
  ev_timer_start (entry->loop, &task->tick);
}

void
membership_stop (struct entry *entry)
{
  struct membership_task *task = entry->membership;

  if (task == NULL)
    return;
  ev_timer_stop (entry->loop, &task->tick);
  jc_links_free (task->links);
  jc_summaries_free (task->summaries);
  jc_zone_sync_free (task->zone_sync);
  g_free (task->callers_address);
  g_free (task);
  entry->membership = NULL;
}

static bool
is_same_zone (const struct entry *entry, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_region (conn), entry->settings->region) == 0
         && strcmp (jc_rpc_conn_zone (conn), entry->settings->availability_zone)
                == 0;
}

static bool
conn_is_entry (const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "entry") == 0;
}

/* Record whether connections dialled by this instance and by the peer of CONN
   are up.  */
static void
update_links (const struct entry *entry, const struct jc_rpc_conn *conn)
{
  const char *name = jc_rpc_conn_name (conn);
  bool dialled;
  bool accepted;

  jc_rpc_get_directions (entry->rpc, name, &dialled, &accepted);
  jc_links_set_connected (entry->membership->links, name, dialled, accepted);
}

/* CONN to a peer came up; ignored unless that is an entry instance.  */
void
membership_conn_up (struct entry *entry, struct jc_rpc_conn *conn)
{
  const char *name = jc_rpc_conn_name (conn);
  uint64_t incarnation = jc_rpc_conn_incarnation (conn);
  int64_t now = jc_now_ms ();

  if (!conn_is_entry (conn))
    return;
  update_links (entry, conn);
  if (is_same_zone (entry, conn))
    jc_zone_sync_peer_up (entry->membership->zone_sync, name, incarnation, now);
  else
    jc_summaries_peer_up (entry->membership->summaries, name,
                          jc_rpc_conn_region (conn), jc_rpc_conn_zone (conn),
                          incarnation, now);
}

/* CONN to a peer went down.  The peer counts as down only if no other
   connection to it is left.  */
void
membership_conn_down (struct entry *entry, struct jc_rpc_conn *conn)
{
  const char *name = jc_rpc_conn_name (conn);

  if (entry->membership == NULL || !conn_is_entry (conn))
    return;
  update_links (entry, conn);
  if (jc_rpc_find_conn (entry->rpc, name) != NULL)
    return;
  jc_zone_sync_peer_down (entry->membership->zone_sync, name);
  jc_summaries_peer_down (entry->membership->summaries, name);
}

/* Handle a membership message; other types are ignored.  */
void
membership_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet)
{
  const char *name = jc_rpc_conn_name (conn);
  int64_t now = jc_now_ms ();

  if (!conn_is_entry (conn))
    return;
  if (packet->body.type == RPC_ZONE_DELTA)
    jc_zone_sync_receive (entry->membership->zone_sync, name,
                          &packet->body.rpc_body_u.zone_delta, now);
  else if (packet->body.type == RPC_REGION_SUMMARY)
    jc_summaries_receive (entry->membership->summaries, name,
                          &packet->body.rpc_body_u.region_summary, now);
}

/* Apply ANNOUNCEMENT, which an endpoint made to this instance.  */
enum jc_status
membership_apply_announcement (struct entry *entry,
                               const struct rpc_endpoint *announcement)
{
  return jc_zone_sync_report (entry->membership->zone_sync, announcement,
                              jc_now_ms ());
}

/* Report to all peers that this instance takes no new requests.  */
void
membership_drain (struct entry *entry)
{
  jc_zone_sync_drain (entry->membership->zone_sync, jc_now_ms ());
  jc_summaries_drain (entry->membership->summaries);
}
