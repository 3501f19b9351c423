/* Endpoints that report to this instance.  Their reports are forwarded to the
   entry instances that may send requests to them: those of their region.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "member/fleetnews.h"
#include "member/reportcheck.h"
#include "net/program.h"
#include "serve/resumption.h"
#include "state/state.h"

enum
{
  EXPIRE_MS = 500,
  /* Reports without news are forwarded in batches, at a much shorter interval
     than that at which endpoints report.  */
  REFRESH_MS = 250,
  MS_PER_S = 1000
};

/* REFRESHED_NAMES is the set of endpoints that reported without news since the
   last batch was forwarded.  */
struct fleet
{
  struct jc_endpoints *endpoints;
  GHashTable *refreshed_names;
  ev_timer expire_timer;
  ev_timer refresh_timer;
};

static void on_refresh (struct ev_loop *loop, ev_timer *watcher, int events);

static void
on_expire (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  jc_endpoints_expire (state->fleet->endpoints, jc_now_ms ());
}

/* Start the module, without any endpoints.  */
void
fleet_start (struct state *state)
{
  double interval_s = (double)EXPIRE_MS / MS_PER_S;

  state->fleet = g_new0 (struct fleet, 1);
  state->fleet->endpoints = jc_endpoints_new ();
  jc_endpoints_require_unique_addresses (state->fleet->endpoints);
  ev_timer_init (&state->fleet->expire_timer, on_expire, interval_s,
                 interval_s);
  state->fleet->expire_timer.data = state;
  ev_timer_start (state->loop, &state->fleet->expire_timer);
  interval_s = (double)REFRESH_MS / MS_PER_S;
  state->fleet->refreshed_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ev_timer_init (&state->fleet->refresh_timer, on_refresh, interval_s,
                 interval_s);
  state->fleet->refresh_timer.data = state;
  ev_timer_start (state->loop, &state->fleet->refresh_timer);
}

/* Stop the module and free the table of endpoints.  */
void
fleet_stop (struct state *state)
{
  if (state->fleet == NULL)
    return;
  ev_timer_stop (state->loop, &state->fleet->expire_timer);
  ev_timer_stop (state->loop, &state->fleet->refresh_timer);
  g_hash_table_destroy (state->fleet->refreshed_names);
  jc_endpoints_free (state->fleet->endpoints);
  g_free (state->fleet);
  state->fleet = NULL;
}

/* Return the region of ZONE, or NULL if the settings have no such zone.  */
const char *
fleet_region_of_zone (const struct state *state, const char *zone)
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

/* Return whether the entry instance CONN may send requests to endpoints of
   REGION.  If REGION is NULL, for an unknown one, every instance may.  */
static bool
may_reach (const struct jc_rpc_conn *conn, const char *region)
{
  return region == NULL || strcmp (jc_rpc_conn_region (conn), region) == 0;
}

/* Return whether the entry instance CONN may send requests to endpoints of
   ZONE, or of any where that is empty.  */
bool
fleet_may_reach (const struct state *state, const struct jc_rpc_conn *conn,
                 const char *zone)
{
  return may_reach (conn, fleet_region_of_zone (state, zone));
}

/* Return those of CONNS that may send requests to endpoints of REGION, NULL for
   an unknown one.  */
static GPtrArray *
list_reaching (const GPtrArray *conns, const char *region)
{
  GPtrArray *out = g_ptr_array_new ();

  for (guint i = 0; i < conns->len; i++)
    if (may_reach (g_ptr_array_index (conns, i), region))
      g_ptr_array_add (out, g_ptr_array_index (conns, i));
  return out;
}

/* Return the entry instances that may send requests to endpoints of ZONE.  */
static GPtrArray *
list_followers (const struct state *state, const char *zone)
{
  GPtrArray *conns = g_ptr_array_new ();
  GPtrArray *out;

  jc_rpc_list_conns (state->rpc, "entry", conns);
  out = list_reaching (conns, fleet_region_of_zone (state, zone));
  g_ptr_array_free (conns, TRUE);
  return out;
}

/* Send ROW to every entry instance that may send requests to its endpoint.  */
static void
forward_endpoint (struct state *state, struct rpc_endpoint *row)
{
  GPtrArray *followers = list_followers (state, row->zone);
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  fleet->endpoints.endpoints_val = row;
  fleet->endpoints.endpoints_len = 1;
  jc_rpc_send_to_all (followers, &packet);
  g_ptr_array_free (followers, TRUE);
}

/* What a batch tells of refreshed endpoints: the ROWS of those that are cold,
   listed in COLD for their versions, and the LOADS of the others.  */
struct batch
{
  GArray *rows;
  GPtrArray *cold;
  GArray *loads;
};

static void
batch_add (struct batch *batch, struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct rpc_zone_load load = jc_endpoint_to_rpc_load (endpoint, now_ms);
  struct rpc_endpoint row;

  if (!jc_fleetnews_needs_row (endpoint, now_ms))
    {
      g_array_append_val (batch->loads, load);
      return;
    }
  jc_endpoint_to_rpc (endpoint, now_ms, &row);
  g_array_append_val (batch->rows, row);
  g_ptr_array_add (batch->cold, endpoint);
}

/* Add to BATCH the refreshed endpoints to which an entry instance of REGION may
   send requests.  */
static void
collect_batch (const struct state *state, const char *region,
               struct batch *batch)
{
  GHashTableIter iter;
  gpointer name;
  int64_t now = jc_now_ms ();

  g_hash_table_iter_init (&iter, state->fleet->refreshed_names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct jc_endpoint *endpoint
          = jc_endpoints_find (state->fleet->endpoints, name);
      const char *endpoint_region
          = endpoint != NULL ? fleet_region_of_zone (state, endpoint->zone)
                             : NULL;

      if (endpoint != NULL
          && (endpoint_region == NULL || strcmp (endpoint_region, region) == 0))
        batch_add (batch, endpoint, now);
    }
}

/* Send the entry instances of REGION, among CONNS, what refreshed endpoints
   reported.  */
static void
send_batch (struct state *state, const char *region, const GPtrArray *conns)
{
  struct batch batch
      = { .rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint)),
          .cold = g_ptr_array_new (),
          .loads = g_array_new (FALSE, FALSE, sizeof (struct rpc_zone_load)) };
  GPtrArray *followers = list_reaching (conns, region);
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  collect_batch (state, region, &batch);
  fleet->endpoints.endpoints_val = (struct rpc_endpoint *)batch.rows->data;
  fleet->endpoints.endpoints_len = batch.rows->len;
  fleet->loads.loads_val = (struct rpc_zone_load *)batch.loads->data;
  fleet->loads.loads_len = batch.loads->len;
  if (batch.rows->len + batch.loads->len > 0)
    jc_rpc_send_to_all (followers, &packet);
  for (guint i = 0; i < followers->len && batch.cold->len > 0; i++)
    versions_send_endpoints (state, g_ptr_array_index (followers, i),
                             batch.cold);
  g_ptr_array_free (followers, TRUE);
  g_array_free (batch.rows, TRUE);
  g_ptr_array_free (batch.cold, TRUE);
  g_array_free (batch.loads, TRUE);
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
  if (g_hash_table_size (state->fleet->refreshed_names) > 0)
    jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    g_hash_table_add (
        regions, (gpointer)jc_rpc_conn_region (g_ptr_array_index (conns, i)));
  g_hash_table_iter_init (&iter, regions);
  while (g_hash_table_iter_next (&iter, &region, NULL))
    send_batch (state, region, conns);
  g_hash_table_remove_all (state->fleet->refreshed_names);
  g_hash_table_destroy (regions);
  g_ptr_array_free (conns, TRUE);
}

/* Send the entry instances that may reach ENDPOINT its version.  */
static void
forward_version (struct state *state, struct jc_endpoint *endpoint)
{
  GPtrArray *rows = g_ptr_array_new ();
  GPtrArray *followers = list_followers (state, endpoint->zone);

  g_ptr_array_add (rows, endpoint);
  for (guint i = 0; i < followers->len; i++)
    versions_send_endpoints (state, g_ptr_array_index (followers, i), rows);
  g_ptr_array_free (followers, TRUE);
  g_ptr_array_free (rows, TRUE);
}

/* Record that the endpoint of REPORT, which was applied, has the version
   SOFTWARE, a text.  Where the report was FORWARDED, so is the version: an
   entry instance may have forgotten the endpoint.  */
static void
note_version (struct state *state, const struct rpc_endpoint *report,
              const char *software, bool forwarded)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (state->fleet->endpoints, report->name);
  struct rpc_endpoint_version row
      = { .endpoint = report->name,
          .endpoint_incarnation = report->incarnation,
          .software = jc_version_hash (report->service, software) };

  if (endpoint->software != row.software)
    {
      jc_endpoints_set_software (state->fleet->endpoints, &row);
      jc_event (JC_EVENT_VERSION,
                "endpoint=%s incarnation=%" PRIu64
                " service=%s version=%.60s software=%016" PRIx64,
                row.endpoint, row.endpoint_incarnation, report->service,
                software, row.software);
      forwarded = true;
    }
  if (forwarded)
    forward_version (state, endpoint);
  versions_propose (state, endpoint);
}

/* Apply REPORT of an endpoint and forward it to entry instances, also if it is
   disputed, since they count the reports themselves.  Return JC_BEHIND if the
   same report or a later one is known, and JC_NOT_READY if it can't be passed
   on, so that the endpoint turns to another state instance.  */
enum jc_status
fleet_handle_report (struct state *state,
                     const struct jc_endpoint_report *report)
{
  struct rpc_endpoint row = report->endpoint;
  const struct jc_endpoint *known
      = jc_endpoints_find (state->fleet->endpoints, row.name);
  bool changed = jc_fleetnews_is_news (known, &row, jc_now_ms ());
  const char *region = fleet_region_of_zone (state, row.zone);
  enum jc_status status;

  if (region != NULL && group_is_cut_off (state, region))
    return jc_fail (JC_NOT_READY, "Cut off from %s.", region);
  row.lease_ms
      = (u_int)(JC_ENDPOINT_LEASE_REPORTS * state->settings->report_ms);
  status = jc_endpoints_update (state->fleet->endpoints, &row, jc_now_ms ());
  if (status == JC_BEHIND
      && jc_endpoints_dispute (state->fleet->endpoints, &row))
    forward_endpoint (state, &row);
  if (status != JC_OK)
    return status;
  jc_endpoints_find (state->fleet->endpoints, row.name)->sent_after_ms
      = jc_now_ms () - jc_inputage_ms (state->input_age);
  if (changed)
    jc_event (JC_EVENT_ENDPOINT,
              "endpoint=%s incarnation=%" PRIu64 " sequence=%" PRIu64
              " service=%s address=%s zone=%s leaving=%d cold_ms=%u",
              row.name, row.incarnation, row.sequence, row.service, row.address,
              row.zone, row.leaving, row.cold_ms);
  if (changed)
    forward_endpoint (state, &row);
  else
    g_hash_table_add (state->fleet->refreshed_names, g_strdup (row.name));
  note_version (state, &row, report->software, changed);
  coldgrants_reported (state, &row);
  return JC_OK;
}

/* Return the number of endpoints known here.  */
unsigned int
fleet_count (const struct state *state)
{
  return jc_endpoints_count (state->fleet->endpoints);
}

/* Return the endpoint NAME, or NULL if it doesn't report here.  */
const struct jc_endpoint *
fleet_find (const struct state *state, const char *name)
{
  return jc_endpoints_find (state->fleet->endpoints, name);
}

/* Request a grant for each endpoint of ZONE, any of which may be cold.  */
void
fleet_request_grants (struct state *state, const char *zone)
{
  GPtrArray *all = g_ptr_array_new ();

  jc_endpoints_list (state->fleet->endpoints, all);
  for (guint i = 0; i < all->len; i++)
    {
      struct rpc_endpoint row;

      jc_endpoint_to_rpc (g_ptr_array_index (all, i), jc_now_ms (), &row);
      if (strcmp (row.zone, zone) == 0)
        coldgrants_request (state, &row);
    }
  g_ptr_array_free (all, TRUE);
}

/* End the endpoint of DEPARTURE here: reports of it count no more.  */
void
fleet_end (struct state *state, const struct rpc_departure *departure)
{
  jc_endpoints_end (state->fleet->endpoints, departure->endpoint,
                    departure->endpoint_incarnation, jc_now_ms ());
}

/* Tell the entry instances that are connected that the endpoint NAME leaves,
   ahead of the log.  INCARNATION is 0 if the request named none.  The request
   is forwarded even if the endpoint is not known here, because entry instances
   may know it from another state instance.  */
void
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
      = jc_endpoints_mark_leaving (state->fleet->endpoints, name, incarnation);

  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " left=1 known=%d", name,
            incarnation, status == JC_OK);
  forward_endpoint (state, &row);
}

/* The leave that an answer named is recorded, or, with a STATUS other than
   JC_OK, known only to those that were told.  */
static void
on_recorded (void *ctx, enum jc_status status)
{
  (void)ctx;
  if (status != JC_OK)
    jc_event (JC_EVENT_ENDPOINT, "left=1 outcome=%s", jc_status_name (status));
}

/* Handle a message of the entry instance CONN that an endpoint says in its
   answers that it is about to end.  It is told again, and forwarded again to
   entry instances that may have connected since, until it is recorded.  One of
   an endpoint that this instance doesn't know (it may have just started) counts
   too, unless a later incarnation is known.  Other messages are ignored.  */
void
fleet_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_leaving *leaving = &packet->body.rpc_body_u.leaving;
  const struct jc_endpoint *known;
  struct rpc_endpoint row = { .leaving = true,
                              .address = (char *)"",
                              .service = (char *)"",
                              .role = (char *)"",
                              .zone = (char *)"" };

  if (packet->body.type != RPC_LEAVING
      || strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  row.name = leaving->endpoint;
  row.incarnation = leaving->endpoint_incarnation;
  known = jc_endpoints_find (state->fleet->endpoints, row.name);
  if (jc_report_check_name (row.name) != JC_OK || row.incarnation == 0
      || (known != NULL && known->incarnation > row.incarnation)
      || jc_departures_contains (state->departures, row.name, row.incarnation))
    return;
  if (known != NULL && known->incarnation == row.incarnation)
    row.zone = known->zone;
  jc_endpoints_end (state->fleet->endpoints, row.name, row.incarnation,
                    jc_now_ms ());
  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " leaving=1 known=%d from=%s",
            row.name, row.incarnation, row.zone[0] != '\0',
            jc_rpc_conn_name (conn));
  forward_endpoint (state, &row);
  departures_submit (state, row.name, row.incarnation, row.zone, on_recorded,
                     state);
}

/* Return whether START's endpoint has reported here since the start, so that it
   was the process that began the stream.  */
bool
fleet_confirms_start (const struct state *state,
                      const struct jc_stream_start *start)
{
  const struct jc_endpoint *endpoint
      = jc_endpoints_find_by_tag (state->fleet->endpoints, start->endpoint_tag);

  return endpoint != NULL
         && jc_resumption_is_confirmed (endpoint->reported_ms,
                                        start->started_ms);
}

/* Append to OUT the endpoints to which the entry instance CONN may send
   requests.  They belong to this module.  */
void
fleet_list_reachable (const struct state *state, const struct jc_rpc_conn *conn,
                      GPtrArray *out)
{
  GPtrArray *all = g_ptr_array_new ();

  jc_endpoints_list (state->fleet->endpoints, all);
  for (guint i = 0; i < all->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (all, i);

      if (fleet_may_reach (state, conn, endpoint->zone))
        g_ptr_array_add (out, endpoint);
    }
  g_ptr_array_free (all, TRUE);
}
