/* Cold endpoints: has the log decide which entry instance may send to one, and
   tells that instance.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Proposals may be lost, so that the next report of an endpoint, 1.2 s later
     on the platform, proposes it again.  */
  ASK_AGAIN_MS = 1000,
  ASKED_MAX = 4096
};

/* ASKED maps names of endpoints to the time of their last proposal; EVACUATED
   has the zones that were evacuated when orders changed last, READMITTED those
   taken back since LATER was started.  */
struct cold
{
  GHashTable *asked;
  GHashTable *evacuated;
  GPtrArray *readmitted;
  ev_timer later;
};

/* Propose for the endpoints of zones that were taken back.  */
static void
on_later (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GPtrArray *zones = state->coldgrants->readmitted;

  (void)loop;
  (void)events;
  for (guint i = 0; i < zones->len; i++)
    fleet_request_grants (state, g_ptr_array_index (zones, i));
  g_ptr_array_set_size (zones, 0);
}

/* Return a set of the zones that are evacuated now.  */
static GHashTable *
evacuated_now (const struct state *state)
{
  GHashTable *zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer zone;

  g_hash_table_iter_init (&iter, state->orders->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    g_hash_table_add (zones, g_strdup (zone));
  return zones;
}

/* Begin without proposals.  */
void
coldgrants_start (struct state *state)
{
  state->coldgrants = g_new0 (struct cold, 1);
  state->coldgrants->asked
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->coldgrants->evacuated = evacuated_now (state);
  state->coldgrants->readmitted = g_ptr_array_new_with_free_func (g_free);
  ev_timer_init (&state->coldgrants->later, on_later, 0, 0);
  state->coldgrants->later.data = state;
}

/* Forget all proposals.  */
void
coldgrants_stop (struct state *state)
{
  if (state->coldgrants == NULL)
    return;
  ev_timer_stop (state->loop, &state->coldgrants->later);
  g_ptr_array_free (state->coldgrants->readmitted, TRUE);
  g_hash_table_destroy (state->coldgrants->asked);
  g_hash_table_destroy (state->coldgrants->evacuated);
  g_free (state->coldgrants);
  state->coldgrants = NULL;
}

/* Note that ENDPOINT is proposed now.  Return whether it is time for that.  */
static bool
may_ask (struct state *state, const char *endpoint)
{
  GHashTable *asked = state->coldgrants->asked;
  const int64_t *last = g_hash_table_lookup (asked, endpoint);
  int64_t now = jc_now_ms ();

  if (last != NULL && now - *last < ASK_AGAIN_MS)
    return false;
  if (g_hash_table_size (asked) >= ASKED_MAX)
    g_hash_table_remove_all (asked);
  g_hash_table_replace (asked, g_strdup (endpoint),
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

/* Tell whether endpoints of SERVICE may be cold.  */
static bool
gets_cold (const struct state *state, const char *service)
{
  const struct jc_hostservice *known
      = state->route_table != NULL
            ? jc_routetable_find_service (state->route_table, service)
            : NULL;

  return known != NULL && known->cold_requests_per_s > 0;
}

/* Propose an entry instance for ENDPOINT, which is cold or may be, unless one
   has been granted.  */
void
coldgrants_request (struct state *state, const struct rpc_endpoint *endpoint)
{
  struct rpc_grant grant = { .endpoint = endpoint->name,
                             .endpoint_incarnation = endpoint->incarnation };
  GString *data;

  if (endpoint->leaving || !gets_cold (state, endpoint->service)
      || !jc_grants_can_grant (state->grants, endpoint->name,
                               endpoint->incarnation)
      || !log_survives_losses (state)
      || !presence_pick_instance (state, endpoint, &grant)
      || !may_ask (state, endpoint->name))
    return;
  data = jc_grants_encode (&grant);
  log_propose (state, LOG_GRANT, jc_str_from_gstring (data), on_proposed,
               state);
  g_string_free (data, TRUE);
}

static void
tell (struct jc_rpc_conn *conn, const struct rpc_grant *grant)
{
  struct rpc_packet packet = { .body.type = RPC_GRANT };

  packet.body.rpc_body_u.grant = *grant;
  jc_rpc_send (conn, &packet);
}

/* The log came to a grant in DATA: tell the instance that it names.  */
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
    tell (conn, grant);
}

/* Tell the entry instance CONN, which came up, of its grants.  */
void
coldgrants_send_granted (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *own;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  own = g_ptr_array_new ();
  jc_grants_list (state->grants, jc_rpc_conn_name (conn),
                  jc_rpc_conn_incarnation (conn), own);
  for (guint i = 0; i < own->len; i++)
    tell (conn, g_ptr_array_index (own, i));
  g_ptr_array_free (own, TRUE);
}

/* Orders changed: endpoints of zones that are taken back may be cold.  The log
   is at work here, so that it gets proposals later.  */
void
coldgrants_orders_changed (struct state *state)
{
  GHashTable *before;
  GHashTableIter iter;
  gpointer zone;

  if (state->coldgrants == NULL)
    return;
  before = state->coldgrants->evacuated;
  state->coldgrants->evacuated = evacuated_now (state);
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    if (!jc_orders_is_evacuated (state->orders, zone))
      g_ptr_array_add (state->coldgrants->readmitted, g_strdup (zone));
  if (state->coldgrants->readmitted->len > 0)
    ev_timer_start (state->loop, &state->coldgrants->later);
  g_hash_table_destroy (before);
}
