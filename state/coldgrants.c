/* Grants for cold endpoints.  The log decides which entry instance may send to
   a cold endpoint, and that instance is then sent the grant.  An endpoint is
   cold while it reports so, and may be after its zone was readmitted.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Minimum interval between proposals for the same endpoint.  A proposal may
     be lost; the endpoint's next report, which the platform sends 1.2 s later,
     then proposes again.  */
  PROPOSE_INTERVAL_MS = 1000,
  /* The table of proposals is cleared when it reaches this size.  */
  PROPOSED_MAX = 4096
};

/* PROPOSED_MS maps names of endpoints to the time of their last proposal.
   READMITTED_ZONES are those that were readmitted since READMIT_TIMER
   was started.  */
struct coldgrants
{
  GHashTable *proposed_ms;
  GPtrArray *readmitted_zones;
  ev_timer readmit_timer;
};

/* Propose grants for the endpoints of readmitted zones.  */
static void
on_readmit_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GPtrArray *zones = state->coldgrants->readmitted_zones;

  (void)loop;
  (void)events;
  for (guint i = 0; i < zones->len; i++)
    fleet_request_grants (state, g_ptr_array_index (zones, i));
  g_ptr_array_set_size (zones, 0);
}

/* Start the module, without any proposals.  */
void
coldgrants_start (struct state *state)
{
  state->coldgrants = g_new0 (struct coldgrants, 1);
  state->coldgrants->proposed_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->coldgrants->readmitted_zones = g_ptr_array_new_with_free_func (g_free);
  ev_timer_init (&state->coldgrants->readmit_timer, on_readmit_timer, 0, 0);
  state->coldgrants->readmit_timer.data = state;
}

/* Stop the module and free the record of proposals.  */
void
coldgrants_stop (struct state *state)
{
  if (state->coldgrants == NULL)
    return;
  ev_timer_stop (state->loop, &state->coldgrants->readmit_timer);
  g_ptr_array_free (state->coldgrants->readmitted_zones, TRUE);
  g_hash_table_destroy (state->coldgrants->proposed_ms);
  g_free (state->coldgrants);
  state->coldgrants = NULL;
}

/* Return whether a grant for ENDPOINT may be proposed now.  If so, the proposal
   is recorded.  */
static bool
note_proposal (struct state *state, const char *endpoint)
{
  GHashTable *proposed = state->coldgrants->proposed_ms;
  const int64_t *last = g_hash_table_lookup (proposed, endpoint);
  int64_t now = jc_now_ms ();

  if (last != NULL && now - *last < PROPOSE_INTERVAL_MS)
    return false;
  if (g_hash_table_size (proposed) >= PROPOSED_MAX)
    g_hash_table_remove_all (proposed);
  g_hash_table_replace (proposed, g_strdup (endpoint),
                        g_memdup2 (&now, sizeof now));
  return true;
}

static void
on_proposed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;

  if (status != JC_OK)
    jc_event (JC_EVENT_COLD, "position=%" PRIu64 " outcome=%s",
              state->orders->position, jc_status_name (status));
}

/* Return whether SERVICE limits the rate of requests to cold endpoints, so that
   they need grants.  */
static bool
needs_grants (const struct state *state, const char *service)
{
  const struct jc_hostservice *known
      = state->route_table != NULL
            ? jc_routetable_find_service (state->route_table, service)
            : NULL;

  return known != NULL && known->cold_requests_per_s > 0;
}

/* Propose that an entry instance be granted ENDPOINT, which is cold or may be,
   unless a grant exists or was proposed recently.  */
void
coldgrants_request (struct state *state, const struct rpc_endpoint *endpoint)
{
  struct rpc_grant grant = { .endpoint = endpoint->name,
                             .endpoint_incarnation = endpoint->incarnation };
  GString *data;

  if (endpoint->leaving || !needs_grants (state, endpoint->service)
      || !jc_grants_can_grant (state->grants, endpoint->name,
                               endpoint->incarnation)
      || !log_survives_losses (state)
      || !presence_pick_instance (state, endpoint, &grant)
      || !note_proposal (state, endpoint->name))
    return;
  data = jc_grants_encode (&grant);
  log_propose (state, LOG_GRANT, jc_str_from_gstring (data), on_proposed,
               state);
  g_string_free (data, TRUE);
}

/* Return whether ENDPOINT may be cold: it says so, or its zone was readmitted
   so lately.  */
static bool
may_be_cold (const struct state *state, const struct rpc_endpoint *endpoint)
{
  const struct jc_hostservice *service
      = state->route_table != NULL
            ? jc_routetable_find_service (state->route_table, endpoint->service)
            : NULL;

  return endpoint->cold_ms > 0
         || (service != NULL
             && jc_now_ms () < jc_readmissions_cold_until_ms (
                    state->readmissions, endpoint->zone, service->cold_ms));
}

/* Handle the report ENDPOINT: request a grant if it may be cold.  */
void
coldgrants_reported (struct state *state, const struct rpc_endpoint *endpoint)
{
  if (may_be_cold (state, endpoint))
    coldgrants_request (state, endpoint);
}

static void
send_grant (struct jc_rpc_conn *conn, const struct rpc_grant *grant)
{
  struct rpc_packet packet = { .body.type = RPC_GRANT };

  packet.body.rpc_body_u.grant = *grant;
  jc_rpc_send (conn, &packet);
}

/* Apply DATA, a committed entry of the kind LOG_GRANT, and send the grant to
   the instance that it names.  */
void
coldgrants_apply (struct state *state, struct jc_str data)
{
  const struct rpc_grant *grant;
  struct jc_rpc_conn *conn;

  if (!jc_grants_apply (state->grants, data, &grant)
      || state->coldgrants == NULL)
    return;
  jc_event (JC_EVENT_COLD,
            "endpoint=%s incarnation=%" PRIu64 " instance=%s outcome=granted",
            grant->endpoint, grant->endpoint_incarnation, grant->instance);
  conn = jc_rpc_find_conn (state->rpc, grant->instance);
  if (conn != NULL
      && jc_rpc_conn_incarnation (conn) == grant->instance_incarnation)
    send_grant (conn, grant);
}

/* Send the entry instance CONN, which has connected, its grants.  */
void
coldgrants_send_granted (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *granted;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  granted = g_ptr_array_new ();
  jc_grants_list (state->grants, jc_rpc_conn_name (conn),
                  jc_rpc_conn_incarnation (conn), granted);
  for (guint i = 0; i < granted->len; i++)
    send_grant (conn, g_ptr_array_index (granted, i));
  g_ptr_array_free (granted, TRUE);
}

/* Handle the readmission of ZONES: their endpoints may be cold.  This runs
   while the log applies an entry, so the proposals are made later, from a
   timer.  */
void
coldgrants_readmit (struct state *state, const GPtrArray *zones)
{
  if (state->coldgrants == NULL || zones->len == 0)
    return;
  for (guint i = 0; i < zones->len; i++)
    g_ptr_array_add (state->coldgrants->readmitted_zones,
                     g_strdup (g_ptr_array_index (zones, i)));
  ev_timer_start (state->loop, &state->coldgrants->readmit_timer);
}
