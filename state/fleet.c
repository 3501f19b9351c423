/* Endpoints as they report themselves to this instance, passed on to the
   entry instances that may reach them: those of their region.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Reports that may be missed before an endpoint is taken for gone.  */
  LEASE_REPORTS = 5,
  EXPIRE_MS = 500,
  BATCH_ROWS = 64,
  /* Reports without news are passed on together: a small part of the interval
     at which endpoints report.  */
  REFRESH_MS = 250,
  MS_PER_S = 1000
};

/* REFRESHED holds the names of endpoints that reported again without news since
   that was passed on.  */
struct fleet
{
  struct jc_endpoints *members;
  GHashTable *refreshed;
  ev_timer expire;
  ev_timer refresh;
};

static void on_refresh (struct ev_loop *loop, ev_timer *watcher, int events);

static void
on_expire (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  jc_endpoints_expire (state->fleet->members, jc_now_ms ());
}

/* Begin without endpoints.  */
void
fleet_start (struct state *state)
{
  double every_s = (double)EXPIRE_MS / MS_PER_S;

  state->fleet = g_new0 (struct fleet, 1);
  state->fleet->members = jc_endpoints_new ();
  jc_endpoints_require_unique_addresses (state->fleet->members);
  ev_timer_init (&state->fleet->expire, on_expire, every_s, every_s);
  state->fleet->expire.data = state;
  ev_timer_start (state->loop, &state->fleet->expire);
  every_s = (double)REFRESH_MS / MS_PER_S;
  state->fleet->refreshed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ev_timer_init (&state->fleet->refresh, on_refresh, every_s, every_s);
  state->fleet->refresh.data = state;
  ev_timer_start (state->loop, &state->fleet->refresh);
}

/* Forget all endpoints.  */
void
fleet_stop (struct state *state)
{
  if (state->fleet == NULL)
    return;
  ev_timer_stop (state->loop, &state->fleet->expire);
  ev_timer_stop (state->loop, &state->fleet->refresh);
  g_hash_table_destroy (state->fleet->refreshed);
  jc_endpoints_free (state->fleet->members);
  g_free (state->fleet);
  state->fleet = NULL;
}

static void
send_rows (struct jc_rpc_conn *conn, struct rpc_endpoint *rows, u_int count)
{
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  fleet->endpoints.endpoints_val = rows;
  fleet->endpoints.endpoints_len = count;
  jc_rpc_send (conn, &packet);
}

/* Return the region of ZONE, or NULL where the settings name no such zone.  */
static const char *
region_of (const struct state *state, const char *zone)
{
  const GPtrArray *zones = state->settings->zones;

  for (guint i = 0; i < zones->len; i++)
    {
      const struct jc_zone_place *place = g_ptr_array_index (zones, i);

      if (strcmp (place->name, zone) == 0)
        return place->region;
    }
  return NULL;
}

/* Tell whether the entry instance CONN may reach endpoints of REGION, NULL for
   one that is not known.  */
static bool
is_concerned (const struct jc_rpc_conn *conn, const char *region)
{
  return region == NULL || strcmp (jc_rpc_conn_region (conn), region) == 0;
}

/* Pass ROW on to every entry instance that may reach its endpoint.  */
static void
pass_on (struct state *state, struct rpc_endpoint *row)
{
  const char *region = region_of (state, row->zone);
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (is_concerned (g_ptr_array_index (conns, i), region))
      send_rows (g_ptr_array_index (conns, i), row, 1);
  g_ptr_array_free (conns, TRUE);
}

/* Append to LOADS those of the endpoints that reported again and that an entry
   instance of REGION may reach.  */
static void
list_refreshed (const struct state *state, const char *region, GArray *loads)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, state->fleet->refreshed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (state->fleet->members, name);
      const char *of
          = endpoint != NULL ? region_of (state, endpoint->zone) : NULL;

      if (endpoint != NULL && (of == NULL || strcmp (of, region) == 0))
        {
          struct rpc_zone_load load
              = jc_endpoint_to_rpc_load (endpoint, jc_now_ms ());

          g_array_append_val (loads, load);
        }
    }
}

/* Pass on to the entry instances of REGION what reported again.  */
static void
refresh_region (struct state *state, const char *region, const GPtrArray *conns)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct rpc_zone_load));
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  list_refreshed (state, region, loads);
  fleet->loads.loads_val = (struct rpc_zone_load *)loads->data;
  fleet->loads.loads_len = loads->len;
  for (guint i = 0; i < conns->len && loads->len > 0; i++)
    if (is_concerned (g_ptr_array_index (conns, i), region))
      jc_rpc_send (g_ptr_array_index (conns, i), &packet);
  g_array_free (loads, TRUE);
}

static void
on_refresh (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GHashTable *regions = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *conns = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer region;

  (void)loop;
  (void)events;
  if (g_hash_table_size (state->fleet->refreshed) > 0)
    jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    g_hash_table_add (
        regions, (gpointer)jc_rpc_conn_region (g_ptr_array_index (conns, i)));
  g_hash_table_iter_init (&iter, regions);
  while (g_hash_table_iter_next (&iter, &region, NULL))
    refresh_region (state, region, conns);
  g_hash_table_remove_all (state->fleet->refreshed);
  g_hash_table_destroy (regions);
  g_ptr_array_free (conns, TRUE);
}

/* Tell whether SAID differs from what is KNOWN of an endpoint by more than that
   it reported again.  */
static bool
is_news (const struct jc_endpoint *known, const struct rpc_endpoint *said)
{
  return known == NULL || known->incarnation != said->incarnation
         || known->leaving != said->leaving || said->cold_ms > 0
         || known->slots != said->slots
         || strcmp (known->service, said->service) != 0
         || strcmp (known->zone, said->zone) != 0
         || strcmp (known->address, said->address) != 0;
}

/* Take what SAID reports and pass it on.  Return JC_BEHIND where the same or
   later is known.  */
enum jc_status
fleet_handle_report (struct state *state, const struct rpc_endpoint *said)
{
  struct rpc_endpoint row = *said;
  const struct jc_endpoint *known
      = jc_endpoints_find (state->fleet->members, said->name);
  bool news = is_news (known, said);
  enum jc_status status;

  row.lease_ms = (u_int)(LEASE_REPORTS * state->settings->report_ms);
  status = jc_endpoints_update (state->fleet->members, &row, jc_now_ms ());
  if (status != JC_OK)
    return status;
  if (news)
    jc_event (JC_EVENT_ENDPOINT,
              "endpoint=%s incarnation=%" PRIu64 " sequence=%" PRIu64
              " service=%s address=%s zone=%s leaving=%d cold_ms=%u",
              row.name, row.incarnation, row.sequence, row.service, row.address,
              row.zone, row.leaving, row.cold_ms);
  if (news)
    pass_on (state, &row);
  else
    g_hash_table_add (state->fleet->refreshed, g_strdup (row.name));
  if (row.cold_ms > 0)
    coldgrants_request (state, &row);
  return JC_OK;
}

/* Return how many endpoints are known here.  */
unsigned int
fleet_count (const struct state *state)
{
  return jc_endpoints_count (state->fleet->members);
}

/* Have an entry instance chosen for each endpoint of ZONE, any of which may be
   cold.  */
void
fleet_request_grants (struct state *state, const char *zone)
{
  GPtrArray *all = g_ptr_array_new ();

  jc_endpoints_list (state->fleet->members, all);
  for (guint i = 0; i < all->len; i++)
    {
      struct rpc_endpoint row;

      jc_endpoint_to_rpc (g_ptr_array_index (all, i), jc_now_ms (), &row);
      if (strcmp (row.zone, zone) == 0)
        coldgrants_request (state, &row);
    }
  g_ptr_array_free (all, TRUE);
}

/* The endpoint NAME takes its leave; INCARNATION is 0 where it does not say
   which one.  Entry instances may know it from another state instance, so it
   is passed on also where it is not known here.  */
enum jc_status
fleet_handle_leave (struct state *state, const char *name, uint64_t incarnation)
{
  struct rpc_endpoint row = { .name = (char *)name,
                              .incarnation = incarnation,
                              .leaving = true,
                              .address = (char *)"",
                              .service = (char *)"",
                              .role = (char *)"",
                              .zone = (char *)"" };
  enum jc_status status
      = jc_endpoints_mark_leaving (state->fleet->members, name, incarnation);

  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " left=1 known=%d", name,
            incarnation, status == JC_OK);
  pass_on (state, &row);
  return status;
}

/* Tell the entry instance CONN, which came up or asks, of every endpoint that
   it may reach.  */
void
fleet_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *all;
  struct rpc_endpoint rows[BATCH_ROWS];
  int64_t now = jc_now_ms ();
  u_int count = 0;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  all = g_ptr_array_new ();
  jc_endpoints_list (state->fleet->members, all);
  for (guint i = 0; i < all->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (all, i);

      if (!is_concerned (conn, region_of (state, endpoint->zone)))
        continue;
      jc_endpoint_to_rpc (endpoint, now, &rows[count++]);
      if (count < BATCH_ROWS)
        continue;
      send_rows (conn, rows, count);
      count = 0;
    }
  if (count > 0)
    send_rows (conn, rows, count);
  g_ptr_array_free (all, TRUE);
}
