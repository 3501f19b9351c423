/* What state instances tell an entry instance: orders, endpoints, and other
   entry instances.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

enum
{
  /* Interval of this instance's own reports.  */
  REPORT_MS = 500,
  STATE_NAMES_MAX = 64,
  /* Endpoints are kept for so long where no state instance is connected that
     could tell of them.  */
  KEEP_ALONE_MS = 600000,
  ROOMS_MAX = 64,
  /* Interval at which a state instance is asked for all endpoints at most.  */
  FLEET_ASK_MS = 1000,
};

static bool
is_state (const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "state") == 0;
}

static char *
host_of (const char *address)
{
  return g_strndup (address, strcspn (address, ":"));
}

/* Keep a connection to the state instance NAME, an IP number.  */
static void
meet (struct hosts *hosts, const char *name)
{
  char *address;

  if (name[0] == '\0' || g_hash_table_contains (hosts->state_names, name)
      || g_hash_table_size (hosts->state_names) >= STATE_NAMES_MAX)
    return;
  g_hash_table_add (hosts->state_names, g_strdup (name));
  address = g_strdup_printf ("%s:%d", name, jc_rpc_port (hosts->entry->rpc));
  jc_rpc_dial (hosts->entry->rpc, name, address);
  g_free (address);
}

/* Connect to the state instances that SEEDS name.  */
void
stateclient_add_seeds (struct hosts *hosts, const GPtrArray *seeds)
{
  for (guint i = 0; i < seeds->len; i++)
    {
      char *name = host_of (g_ptr_array_index (seeds, i));

      meet (hosts, name);
      g_free (name);
    }
}

/* Ask CONN for the orders that are lacking, and with FOLLOW for each change
   from now on.  */
static void
ask_orders (struct hosts *hosts, struct jc_rpc_conn *conn, bool follow)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_FOLLOW };

  packet.body.rpc_body_u.orders_follow.follow = follow;
  packet.body.rpc_body_u.orders_follow.have_position = hosts->orders->position;
  packet.body.rpc_body_u.orders_follow.have_version
      = hosts->orders->table_version;
  jc_rpc_send (conn, &packet);
}

/* Report this instance to CONN.  */
static void
report_to (struct hosts *hosts, struct jc_rpc_conn *conn)
{
  struct entry *entry = hosts->entry;
  struct rpc_packet packet = { .body.type = RPC_PRESENCE };
  struct rpc_presence *said = &packet.body.rpc_body_u.presence;
  struct rpc_service_room rooms[ROOMS_MAX];

  said->name = entry->settings->name;
  said->region = entry->settings->region;
  said->zone = entry->settings->availability_zone;
  said->callers_address = entry->settings->callers;
  said->handover_address = hosts->handover_address;
  said->draining = entry->draining;
  said->ready = hosts->routes != NULL;
  said->rooms.rooms_val = rooms;
  balancer_fill_rooms (hosts, said);
  jc_rpc_send (conn, &packet);
}

/* Report this instance to every state instance.  */
void
stateclient_send_presence (struct hosts *hosts)
{
  GPtrArray *conns = g_ptr_array_new ();

  hosts->presence_sent_ms = jc_now_ms ();
  jc_rpc_list_conns (hosts->entry->rpc, "state", conns);
  for (guint i = 0; i < conns->len; i++)
    report_to (hosts, g_ptr_array_index (conns, i));
  g_ptr_array_free (conns, TRUE);
}

/* Return how near CONN is: 0 in the own zone, 1 in the region, else 2.  */
static int
distance (const struct hosts *hosts, const struct jc_rpc_conn *conn)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;

  if (strcmp (jc_rpc_conn_zone (conn), settings->availability_zone) == 0)
    return 0;
  return strcmp (jc_rpc_conn_region (conn), settings->region) == 0 ? 1 : 2;
}

/* Ask CONN for no more changes: a question of one that lacks nothing.  */
static void
stop_following (struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_FOLLOW };

  packet.body.rpc_body_u.orders_follow.have_position = G_MAXUINT64;
  jc_rpc_send (conn, &packet);
}

/* Follow the nearest state instance that is up.  The others show by their
   heartbeats how far they are; a copy from each of them would fill the link
   where the configuration is large.  */
static void
choose_source (struct hosts *hosts)
{
  GPtrArray *conns = g_ptr_array_new ();
  struct jc_rpc_conn *best = hosts->orders_source;

  jc_rpc_list_conns (hosts->entry->rpc, "state", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (best == NULL || distance (hosts, conn) < distance (hosts, best))
        best = conn;
    }
  g_ptr_array_free (conns, TRUE);
  if (best == NULL || best == hosts->orders_source)
    return;
  if (hosts->orders_source != NULL)
    stop_following (hosts->orders_source);
  hosts->orders_source = best;
  ask_orders (hosts, best, true);
}

/* CONN came up.  */
void
stateclient_conn_up (struct hosts *hosts, struct jc_rpc_conn *conn)
{
  if (!is_state (conn))
    return;
  choose_source (hosts);
  report_to (hosts, conn);
}

static void
take_limits (struct hosts *hosts)
{
  const struct jc_caller_limits *said = &hosts->routes->limits;
  const struct jc_entry_settings *settings = hosts->entry->settings;
  struct jc_httpd_limits limits
      = { .max_head_bytes = 32 * 1024,
          .max_body_bytes = (size_t)settings->max_body_bytes,
          .head_timeout_ms = 10000,
          .idle_timeout_ms = 120000 };

  if (said->head_bytes > 0)
    limits.max_head_bytes = said->head_bytes;
  if (said->body_bytes > 0)
    limits.max_body_bytes = said->body_bytes;
  if (said->head_timeout_ms > 0)
    limits.head_timeout_ms = said->head_timeout_ms;
  if (said->idle_timeout_ms > 0)
    limits.idle_timeout_ms = said->idle_timeout_ms;
  limits.body_timeout_ms = limits.idle_timeout_ms;
  jc_httpd_set_limits (hosts->entry->callers_listener, &limits);
}

/* Put the route table of the orders in force.  */
static void
take_table (struct hosts *hosts)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = hosts->protocol->parse_routes (
      jc_str_from_gstring (hosts->orders->table_text), faults);

  if (table == NULL || faults->len > 0)
    {
      jc_event (
          JC_EVENT_BAD_INPUT, "from=state version=%" PRIu64 " why=\"%.100s\"",
          hosts->orders->table_version,
          faults->len > 0 ? (const char *)g_ptr_array_index (faults, 0) : "");
      jc_routetable_unref (table);
    }
  else
    {
      jc_routetable_unref (hosts->routes);
      hosts->routes = table;
      take_limits (hosts);
    }
  g_ptr_array_free (faults, TRUE);
}

/* Note which zones NEWS take back, since their endpoints may be cold.  */
static void
note_readmitted (struct hosts *hosts, const struct rpc_orders *news)
{
  GHashTableIter iter;
  gpointer zone;

  g_hash_table_iter_init (&iter, hosts->orders->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      bool still = false;

      for (u_int i = 0; i < news->evacuated.evacuated_len; i++)
        still = still || strcmp (news->evacuated.evacuated_val[i], zone) == 0;
      if (!still)
        {
          int64_t *at = g_new (int64_t, 1);

          *at = jc_now_ms ();
          g_hash_table_replace (hosts->readmitted_at, g_strdup (zone), at);
        }
    }
}

static void
take_orders (struct hosts *hosts, struct jc_rpc_conn *conn,
             const struct rpc_orders *news)
{
  uint64_t had_version = hosts->orders->table_version;
  bool first = hosts->routes == NULL;

  if (news->position > hosts->orders->position)
    note_readmitted (hosts, news);
  if (!jc_orders_update (hosts->orders, news))
    return;
  jc_lag_reset (&hosts->lag);
  if (hosts->orders->table_version != had_version)
    take_table (hosts);
  jc_event (JC_EVENT_IN_FORCE,
            "position=%" PRIu64 " version=%" PRIu64 " evacuated=%u from=%s",
            hosts->orders->position, hosts->orders->table_version,
            g_hash_table_size (hosts->orders->evacuated_zones),
            jc_rpc_conn_name (conn));
  if (first && hosts->routes != NULL)
    stateclient_send_presence (hosts);
}

static bool
in_region (const struct hosts *hosts, const char *zone)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;

  for (guint i = 0; i < settings->zones->len; i++)
    {
      const struct jc_zone_place *place
          = g_ptr_array_index (settings->zones, i);

      if (strcmp (place->name, zone) == 0)
        return strcmp (place->region, settings->region) == 0;
    }
  return strcmp (zone, settings->availability_zone) == 0;
}

static void
take_endpoint (struct hosts *hosts, const struct rpc_endpoint *said)
{
  int64_t now = jc_now_ms ();
  const struct jc_endpoint *known
      = jc_endpoints_find (hosts->endpoints, said->name);
  bool was_leaving = known != NULL && known->leaving;
  bool news;

  if (said->leaving && said->address[0] == '\0')
    jc_endpoints_mark_leaving (hosts->endpoints, said->name, said->incarnation);
  else if (!in_region (hosts, said->zone)
           || jc_endpoints_update (hosts->endpoints, said, now) != JC_OK)
    return;
  news = known == NULL || was_leaving != said->leaving;
  known = jc_endpoints_find (hosts->endpoints, said->name);
  if (known != NULL && news)
    jc_event (JC_EVENT_ENDPOINT,
              "endpoint=%s incarnation=%" PRIu64 " sequence=%" PRIu64
              " service=%s address=%s zone=%s leaving=%d cold_ms=%u",
              known->name, known->incarnation, known->sequence, known->service,
              known->address, known->zone, known->leaving, said->cold_ms);
}

/* CONN tells of an endpoint or an entry instance that is not known here: ask it
   for all of them, but not again and again.  */
void
stateclient_request_fleet (struct hosts *hosts, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_FLEET_FOLLOW };
  int64_t now = jc_now_ms ();

  if (now - hosts->fleet_requested_ms < FLEET_ASK_MS)
    return;
  hosts->fleet_requested_ms = now;
  jc_event (JC_EVENT_ORDERS_ASKED, "peer=%s what=all", jc_rpc_conn_name (conn));
  jc_rpc_send (conn, &packet);
}

static void
take_fleet (struct hosts *hosts, struct jc_rpc_conn *conn,
            const struct rpc_fleet *fleet)
{
  bool unknown = false;

  for (u_int i = 0; i < fleet->endpoints.endpoints_len; i++)
    take_endpoint (hosts, &fleet->endpoints.endpoints_val[i]);
  for (u_int i = 0; i < fleet->loads.loads_len; i++)
    if (jc_endpoints_update_load (hosts->endpoints, &fleet->loads.loads_val[i],
                                  jc_now_ms ())
        == JC_NOT_FOUND)
      unknown = true;
  if (unknown)
    stateclient_request_fleet (hosts, conn);
}

/* The log granted a cold endpoint to one process of an instance.  */
static void
take_grant (struct hosts *hosts, const struct rpc_grant *grant)
{
  if (strcmp (grant->instance, hosts->entry->settings->name) != 0
      || grant->instance_incarnation != jc_rpc_incarnation (hosts->entry->rpc))
    return;
  if (jc_budgets_grant (hosts->budgets, grant->endpoint,
                        grant->endpoint_incarnation))
    jc_event (JC_EVENT_COLD,
              "endpoint=%s incarnation=%" PRIu64 " outcome=granted",
              grant->endpoint, grant->endpoint_incarnation);
}

static void
take_group (struct hosts *hosts, const struct rpc_group *group)
{
  for (u_int i = 0; i < group->names.names_len; i++)
    meet (hosts, group->names.names_val[i]);
}

/* CONN says that it is at POSITION.  */
static void
note_position (struct hosts *hosts, struct jc_rpc_conn *conn, uint64_t position)
{
  const struct jc_lag_heartbeat sign
      = { .from_source = conn == hosts->orders_source,
          .position = position,
          .own_position = hosts->orders->position };

  if (!jc_lag_observe (&hosts->lag, &sign, jc_now_ms ()))
    return;
  jc_event (JC_EVENT_ORDERS_ASKED, "peer=%s position=%" PRIu64 " own=%" PRIu64,
            jc_rpc_conn_name (conn), position, sign.own_position);
  ask_orders (hosts, conn, sign.from_source);
}

/* Take a message of a state instance.  */
void
stateclient_handle_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet)
{
  const struct rpc_body *body = &packet->body;

  if (!is_state (conn))
    return;
  if (body->type == RPC_ORDERS)
    take_orders (hosts, conn, &body->rpc_body_u.orders);
  else if (body->type == RPC_GROUP)
    take_group (hosts, &body->rpc_body_u.group);
  else if (body->type == RPC_ENTRIES)
    neighbours_update (hosts, conn, &body->rpc_body_u.entries);
  else if (body->type == RPC_GRANT)
    take_grant (hosts, &body->rpc_body_u.grant);
  else if (body->type == RPC_FLEET)
    take_fleet (hosts, conn, &body->rpc_body_u.fleet);
  note_position (hosts, conn, packet->head.config_version);
}

/* CONN went down.  */
void
stateclient_conn_down (struct hosts *hosts, const struct jc_rpc_conn *conn)
{
  if (is_state (conn))
    neighbours_state_down (hosts, conn);
  if (hosts->orders_source != conn)
    return;
  hosts->orders_source = NULL;
  choose_source (hosts);
}

/* Let the time pass.  Endpoints are only forgotten while there is somebody
   who would tell of them.  */
void
stateclient_tick (struct hosts *hosts)
{
  GPtrArray *conns = g_ptr_array_new ();
  int64_t now = jc_now_ms ();

  jc_rpc_list_conns (hosts->entry->rpc, "state", conns);
  if (conns->len > 0)
    hosts->state_connected_ms = now;
  if (conns->len > 0 || now - hosts->state_connected_ms > KEEP_ALONE_MS)
    jc_endpoints_expire (hosts->endpoints, now);
  g_ptr_array_free (conns, TRUE);
  neighbours_expire (hosts, now);
  jc_engines_expire (hosts->engines, now);
  if (now - hosts->presence_sent_ms >= REPORT_MS)
    stateclient_send_presence (hosts);
}
