/* State client: keeps connections to the state instances, reports this instance
   to them, and applies what they send: orders, endpoints, and other entry
   instances.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

enum
{
  /* Interval at which this instance reports itself.  */
  PRESENCE_INTERVAL_MS = 500,
  STATE_NAMES_MAX = 64,
  /* Endpoints are kept for this long while no state instance is connected that
     could report them.  */
  DISCONNECTED_KEEP_MS = 600000,
  /* From this level on, state instances tell which zones were readmitted.  */
  READMISSIONS_LEVEL = 4,
  ROOMS_MAX = 64,
  UNREACHED_MAX = 64,
  /* Limits for callers if the configuration sets none.  */
  DEFAULT_HEAD_BYTES_MAX = 32 * 1024,
  DEFAULT_HEAD_TIMEOUT_MS = 10000,
  DEFAULT_IDLE_TIMEOUT_MS = 120000
};

static bool
is_state (const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "state") == 0;
}

static char *
address_host (const char *address)
{
  return g_strndup (address, strcspn (address, ":"));
}

/* Keep a connection to the state instance NAME, an IP address.  */
static void
dial_state (struct router *router, const char *name)
{
  char *address;

  if (name[0] == '\0' || g_hash_table_contains (router->state_names, name)
      || g_hash_table_size (router->state_names) >= STATE_NAMES_MAX)
    return;
  g_hash_table_add (router->state_names, g_strdup (name));
  address = g_strdup_printf ("%s:%d", name, jc_rpc_port (router->entry->rpc));
  jc_rpc_dial (router->entry->rpc, name, address);
  g_free (address);
}

/* Connect to the state instances at the addresses in SEEDS.  */
void
stateclient_add_seeds (struct router *router, const GPtrArray *seeds)
{
  for (guint i = 0; i < seeds->len; i++)
    {
      char *name = address_host (g_ptr_array_index (seeds, i));

      dial_state (router, name);
      g_free (name);
    }
}

/* Ask CONN for the orders newer than those known here, and with FOLLOW for each
   change from now on.  */
static void
request_orders (struct router *router, struct jc_rpc_conn *conn, bool follow)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_FOLLOW };

  packet.body.rpc_body_u.orders_follow.follow = follow;
  packet.body.rpc_body_u.orders_follow.have_position = router->orders->position;
  packet.body.rpc_body_u.orders_follow.have_version
      = router->orders->table_version;
  jc_rpc_send (conn, &packet);
}

/* Send the presence of this instance to CONN.  */
static void
send_presence (struct router *router, struct jc_rpc_conn *conn)
{
  struct entry *entry = router->entry;
  struct rpc_packet packet = { .body.type = RPC_PRESENCE };
  struct rpc_presence *presence = &packet.body.rpc_body_u.presence;
  struct rpc_service_room rooms[ROOMS_MAX];
  GPtrArray *unreached = g_ptr_array_new ();

  presence->name = entry->settings->name;
  presence->region = entry->settings->region;
  presence->zone = entry->settings->availability_zone;
  presence->callers_address = entry->settings->callers;
  presence->handover_address = router->handover_address;
  presence->draining = entry->draining;
  presence->ready = router->routes != NULL;
  presence->rooms.rooms_val = rooms;
  balancer_fill_rooms (router, presence);
  jc_reach_list_lost (router->reach, unreached);
  presence->unreached.unreached_val = (rpc_name *)unreached->pdata;
  presence->unreached.unreached_len = MIN (unreached->len, UNREACHED_MAX);
  jc_rpc_send (conn, &packet);
  g_ptr_array_free (unreached, TRUE);
}

/* Send the presence of this instance to every connected state instance.  */
void
stateclient_send_presence (struct router *router)
{
  GPtrArray *conns = g_ptr_array_new ();

  router->presence_sent_ms = jc_now_ms ();
  jc_rpc_list_conns (router->entry->rpc, "state", conns);
  for (guint i = 0; i < conns->len; i++)
    send_presence (router, g_ptr_array_index (conns, i));
  g_ptr_array_free (conns, TRUE);
}

/* Return the distance of CONN: 0 in this zone, 1 in this region, else 2.  */
static int
conn_distance (const struct router *router, const struct jc_rpc_conn *conn)
{
  const struct jc_entry_settings *settings = router->entry->settings;

  if (strcmp (jc_rpc_conn_zone (conn), settings->availability_zone) == 0)
    return 0;
  return strcmp (jc_rpc_conn_region (conn), settings->region) == 0 ? 1 : 2;
}

/* Stop following CONN's changes.  There is no message for that: a request
   without FOLLOW replaces the previous one, and the highest position asks for
   nothing.  */
static void
unfollow_orders (struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_ORDERS_FOLLOW };

  packet.body.rpc_body_u.orders_follow.have_position = G_MAXUINT64;
  jc_rpc_send (conn, &packet);
}

/* Follow the orders of the nearest connected state instance only.  The
   heartbeats of the others carry their positions; a copy from each of them
   would fill the link if the configuration is large.  */
static void
choose_orders_source (struct router *router)
{
  GPtrArray *conns = g_ptr_array_new ();
  struct jc_rpc_conn *best = router->orders_source;

  jc_rpc_list_conns (router->entry->rpc, "state", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (best == NULL
          || conn_distance (router, conn) < conn_distance (router, best))
        best = conn;
    }
  g_ptr_array_free (conns, TRUE);
  if (best == NULL || best == router->orders_source)
    return;
  if (router->orders_source != NULL)
    unfollow_orders (router->orders_source);
  router->orders_source = best;
  request_orders (router, best, true);
}

/* CONN came up: follow it if it is a nearer state instance, and report to
   it.  */
void
stateclient_conn_up (struct router *router, struct jc_rpc_conn *conn)
{
  if (!is_state (conn))
    return;
  choose_orders_source (router);
  send_presence (router, conn);
}

/* Apply the limits for callers in the route table; those that are 0 keep their
   defaults.  */
static void
apply_limits (struct router *router)
{
  const struct jc_caller_limits *configured = &router->routes->limits;
  const struct jc_entry_settings *settings = router->entry->settings;
  struct jc_httpd_limits limits
      = { .max_head_bytes = DEFAULT_HEAD_BYTES_MAX,
          .max_body_bytes = (size_t)settings->max_body_bytes,
          .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
          .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS };

  if (configured->head_bytes > 0)
    limits.max_head_bytes = configured->head_bytes;
  if (configured->body_bytes > 0)
    limits.max_body_bytes = configured->body_bytes;
  if (configured->head_timeout_ms > 0)
    limits.head_timeout_ms = configured->head_timeout_ms;
  if (configured->idle_timeout_ms > 0)
    limits.idle_timeout_ms = configured->idle_timeout_ms;
  limits.body_timeout_ms = limits.idle_timeout_ms;
  jc_httpd_set_limits (router->entry->callers_listener, &limits);
}

/* Parse the route table of the current orders and put it in force.  An invalid
   one is logged and the previous one stays.  */
static void
apply_routes (struct router *router)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = router->protocol->parse_routes (
      jc_str_from_gstring (router->orders->table_text),
      router->key_secrets.digest, faults);

  if (table == NULL || faults->len > 0)
    {
      jc_event (
          JC_EVENT_BAD_INPUT, "from=state version=%" PRIu64 " why=\"%.100s\"",
          router->orders->table_version,
          faults->len > 0 ? (const char *)g_ptr_array_index (faults, 0) : "");
      jc_routetable_unref (table);
    }
  else
    {
      jc_routetable_unref (router->routes);
      router->routes = table;
      apply_limits (router);
    }
  g_ptr_array_free (faults, TRUE);
}

/* Record the zones that ORDERS of a build that doesn't tell readmissions
   readmit after an evacuation that is known here.  */
static void
record_readmitted (struct router *router, const struct rpc_orders *orders)
{
  GHashTableIter iter;
  gpointer zone;

  g_hash_table_iter_init (&iter, router->orders->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      bool still_evacuated = false;

      for (u_int i = 0; i < orders->evacuated.evacuated_len; i++)
        still_evacuated
            = still_evacuated
              || strcmp (orders->evacuated.evacuated_val[i], zone) == 0;
      if (!still_evacuated)
        jc_readmissions_note (router->readmissions, zone, orders->position,
                              jc_now_ms ());
    }
}

/* Apply ORDERS from CONN if they are newer than those known here.  The first
   ones make this instance ready, which it reports at once.  */
static void
apply_orders (struct router *router, struct jc_rpc_conn *conn,
              const struct rpc_orders *orders)
{
  uint64_t old_version = router->orders->table_version;
  bool first = router->routes == NULL;

  if (jc_rpc_conn_level (conn) >= READMISSIONS_LEVEL)
    jc_readmissions_update (router->readmissions, orders, jc_now_ms ());
  else if (orders->position > router->orders->position)
    record_readmitted (router, orders);
  if (!jc_orders_update (router->orders, orders))
    return;
  jc_lag_reset (&router->lag);
  if (router->orders->table_version != old_version)
    apply_routes (router);
  jc_event (JC_EVENT_IN_FORCE,
            "position=%" PRIu64 " version=%" PRIu64 " evacuated=%u from=%s",
            router->orders->position, router->orders->table_version,
            g_hash_table_size (router->orders->evacuated_zones),
            jc_rpc_conn_name (conn));
  if (first && router->routes != NULL)
    stateclient_send_presence (router);
}

/* Apply GRANT, which allows one process of one instance to send to a cold
   endpoint.  */
static void
apply_grant (struct router *router, const struct rpc_grant *grant)
{
  if (strcmp (grant->instance, router->entry->settings->name) != 0
      || grant->instance_incarnation != jc_rpc_incarnation (router->entry->rpc))
    return;
  if (jc_budgets_grant (router->budgets, grant->endpoint,
                        grant->endpoint_incarnation))
    jc_event (JC_EVENT_COLD,
              "endpoint=%s incarnation=%" PRIu64 " outcome=granted",
              grant->endpoint, grant->endpoint_incarnation);
}

/* Connect to the state instances that GROUP names.  */
static void
apply_group (struct router *router, const struct rpc_group *group)
{
  for (u_int i = 0; i < group->names.names_len; i++)
    dial_state (router, group->names.names_val[i]);
}

/* CONN reported POSITION of the orders: ask for the orders if this instance
   lags.  */
static void
check_position (struct router *router, struct jc_rpc_conn *conn,
                uint64_t position)
{
  const struct jc_lag_heartbeat heartbeat
      = { .from_source = conn == router->orders_source,
          .position = position,
          .own_position = router->orders->position };

  if (!jc_lag_observe (&router->lag, &heartbeat, jc_now_ms ()))
    return;
  jc_event (JC_EVENT_ORDERS_ASKED, "peer=%s position=%" PRIu64 " own=%" PRIu64,
            jc_rpc_conn_name (conn), position, heartbeat.own_position);
  request_orders (router, conn, heartbeat.from_source);
}

/* Handle a message of a state instance; those of other peers are ignored.  */
void
stateclient_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet)
{
  const struct rpc_body *body = &packet->body;

  if (!is_state (conn))
    return;
  jc_contact_note_state (&router->contact, jc_rpc_conn_silent_ms (conn),
                         jc_boot_ms ());
  fleetclient_note (router, conn);
  if (body->type == RPC_ORDERS)
    apply_orders (router, conn, &body->rpc_body_u.orders);
  else if (body->type == RPC_GROUP)
    apply_group (router, &body->rpc_body_u.group);
  else if (body->type == RPC_ENTRIES)
    neighbours_update (router, conn, &body->rpc_body_u.entries);
  else if (body->type == RPC_GRANT)
    apply_grant (router, &body->rpc_body_u.grant);
  else if (body->type == RPC_LIMIT_REPLY)
    {
      backpressure_handle_reply (router, &body->rpc_body_u.limit_reply);
      shares_handle_reply (router, &body->rpc_body_u.limit_reply);
    }
  else if (body->type == RPC_SUSPECTS && conn == router->orders_source)
    crashes_handle_update (router, &body->rpc_body_u.suspects);
  else if (body->type == RPC_FLEET)
    fleetclient_apply (router, conn, &body->rpc_body_u.fleet);
  check_position (router, conn, packet->head.config_version);
}

/* CONN went down: forget what it reported, and follow another one if it was the
   source of the orders.  */
void
stateclient_conn_down (struct router *router, const struct jc_rpc_conn *conn)
{
  if (is_state (conn))
    neighbours_state_down (router, conn);
  if (router->orders_source != conn)
    return;
  router->orders_source = NULL;
  choose_orders_source (router);
}

/* Tell neighbours, by each message's head, up to which position of the orders
   this instance would have heard of changes, and log when it no longer hears of
   them or does so again.  */
static void
update_contact (struct router *router)
{
  int64_t now = jc_boot_ms ();
  bool is_told = jc_contact_is_told (&router->contact, now);

  jc_contact_tick (&router->contact, now);
  jc_rpc_set_config_version (
      router->entry->rpc,
      jc_contact_position (&router->contact, router->orders->position, now));
  if (is_told != router->was_told)
    jc_event (JC_EVENT_CONTACT, "told=%d position=%" PRIu64, is_told,
              router->orders->position);
  router->was_told = is_told;
}

/* Expire endpoints and neighbours, and report this instance if it is due.
   Endpoints expire only while a state instance is connected that would report
   them, or after DISCONNECTED_KEEP_MS without one.  */
void
stateclient_tick (struct router *router)
{
  GPtrArray *conns = g_ptr_array_new ();
  int64_t now = jc_now_ms ();

  update_contact (router);
  fleetclient_tick (router);
  jc_rpc_list_conns (router->entry->rpc, "state", conns);
  if (conns->len > 0)
    router->state_connected_ms = now;
  if (conns->len > 0 || now - router->state_connected_ms > DISCONNECTED_KEEP_MS)
    jc_endpoints_expire (router->endpoints, now);
  g_ptr_array_free (conns, TRUE);
  neighbours_expire (router, now);
  jc_engines_expire (router->engines, now);
  if (now - router->presence_sent_ms >= PRESENCE_INTERVAL_MS)
    stateclient_send_presence (router);
}
