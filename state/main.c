/* Main program of the state instance, jaycove-state.  */

#include <signal.h>
#include <string.h>

#include "base/build.h"
#include "base/event.h"
#include "base/log.h"
#include "net/eventflush.h"
#include "net/program.h"
#include "net/signals.h"
#include "net/reload.h"
#include "platform/platform.h"
#include "state/call.h"
#include "state/state.h"

#define LOG_COMPONENT "state"

enum
{
  RETRY_START_MS = 500,
  MS_PER_S = 1000
};

static void
on_products_up (void *ctx, struct jc_rpc_conn *conn)
{
  ledger_conn_up (ctx, conn);
}

static void
on_products_down (void *ctx, struct jc_rpc_conn *conn)
{
  ledger_conn_down (ctx, conn);
  subscribers_remove (ctx, conn);
  call_conn_down (((struct state *)ctx)->deferred_calls, conn);
}

static void
on_products_packet (void *ctx, struct jc_rpc_conn *conn,
                    const struct rpc_packet *packet)
{
  if (packet->body.type == RPC_SUBMIT)
    submit_handle (ctx, conn, packet);
  else if (packet->body.type == RPC_CONFIG_FOLLOW)
    subscribers_add (ctx, conn, packet);
  else if (packet->body.type == RPC_ADMIN)
    {
      if (!admin_handle (ctx, conn, packet))
        ledger_handle_admin (ctx, conn, packet);
    }
  else
    {
      log_handle_packet (ctx, conn, packet);
      ledger_handle_packet (ctx, conn, packet);
    }
}

static const struct jc_rpc_class products_rpc_class = {
  .up = on_products_up, .down = on_products_down, .packet = on_products_packet
};

static void
on_hosts_up (void *ctx, struct jc_rpc_conn *conn)
{
  jc_event (JC_EVENT_PEER_UP, "peer=%s role=%s level=%" G_GUINT64_FORMAT,
            jc_rpc_conn_name (conn), jc_rpc_conn_role (conn),
            jc_rpc_conn_level (conn));
  group_conn_up (ctx, conn);
  fleet_send_snapshot (ctx, conn);
  presence_send_snapshot (ctx, conn);
  coldgrants_send_granted (ctx, conn);
}

static void
on_hosts_down (void *ctx, struct jc_rpc_conn *conn)
{
  jc_event (JC_EVENT_PEER_DOWN, "peer=%s role=%s", jc_rpc_conn_name (conn),
            jc_rpc_conn_role (conn));
  orders_conn_down (ctx, conn);
  versions_conn_down (ctx, conn);
  call_conn_down (((struct state *)ctx)->deferred_calls, conn);
}

static void
on_hosts_packet (void *ctx, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  log_handle_packet (ctx, conn, packet);
  group_handle_packet (ctx, conn, packet);
  orders_handle_packet (ctx, conn, packet);
  presence_handle_packet (ctx, conn, packet);
  limits_handle_packet (ctx, conn, packet);
  quotas_handle_packet (ctx, conn, packet);
  crashes_handle_packet (ctx, conn, packet);
  fleet_handle_packet (ctx, conn, packet);
  versions_handle_packet (ctx, conn, packet);
  starts_handle_packet (ctx, conn, packet);
  if (packet->body.type != RPC_FLEET_FOLLOW)
    return;
  fleet_send_snapshot (ctx, conn);
  presence_send_snapshot (ctx, conn);
}

static const struct jc_rpc_class hosts_rpc_class
    = { .up = on_hosts_up, .down = on_hosts_down, .packet = on_hosts_packet };

static bool
routes_by_hosts (const struct state *state)
{
  return strcmp (state->settings->routing, "hosts") == 0;
}

static void
on_sigterm (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Start the modules that routing by hosts needs in addition to the log.  */
static enum jc_status
start_hosts (struct state *state)
{
  jc_rpc_set_config_version (state->rpc, state->orders->position);
  fleet_start (state);
  departures_publish (state);
  presence_start (state);
  coldgrants_start (state);
  quotas_start (state);
  limits_start (state);
  crashes_start (state);
  crashproofs_start (state);
  versions_start (state);
  starts_start (state);
  group_start (state);
  jc_event (JC_EVENT_START,
            "role=state name=%s position=%" G_GUINT64_FORMAT
            " level=%d build=%s",
            state->settings->name, state->orders->position, JC_RPC_LEVEL,
            jc_build_name ());
  return control_start (state);
}

static void
on_reload (void *ctx, const void *settings)
{
  group_add_seeds (ctx,
                   ((const struct jc_state_settings *)settings)->state_seeds);
}

static enum jc_status
start_modules (struct state *state, bool create)
{
  const struct jc_state_settings *s = state->settings;
  struct jc_rpc_identity identity = { .group = s->group,
                                      .name = s->name,
                                      .role = "state",
                                      .region = s->region,
                                      .zone = s->availability_zone,
                                      .key_hex = s->group_key,
                                      .incarnation = jc_random_id (),
                                      .level = JC_RPC_LEVEL,
                                      .heartbeat_ms = s->heartbeat_ms,
                                      .silent_ms = s->silent_ms };
  enum jc_status status;

  state->disk = jc_disk_open (s->data_folder);
  if (state->disk == NULL)
    return JC_STORAGE_FAILED;
  state->confstate = jc_confstate_new ();
  state->config = state->confstate->config;
  state->orders = jc_orders_new ();
  state->readmissions = jc_readmissions_new ();
  state->grants = jc_grants_new ();
  state->departures = jc_departures_new ();
  state->version_table = jc_versions_new ();
  state->limit_slots = jc_limit_slots_new ();
  state->crash_table = jc_crashes_new (JC_CRASH_BLOCK_SCORE);
  state->rpc = jc_rpc_new (
      state->loop, &identity,
      routes_by_hosts (state) ? &hosts_rpc_class : &products_rpc_class, state);
  jc_rpc_set_config_version (state->rpc, state->config->version);
  status = ledger_start (state);
  if (status == JC_OK)
    status = log_start (state, create);
  if (status == JC_OK)
    status = jc_rpc_listen (state->rpc, s->rpc);
  if (status != JC_OK)
    return status;
  if (routes_by_hosts (state))
    return start_hosts (state);
  jc_rpc_dial_all (state->rpc, s->state_peers);
  return JC_OK;
}

/* Stop the modules and free what start_modules allocated, so that it can be
   called again.  */
static void
stop_modules (struct state *state)
{
  control_stop (state);
  starts_stop (state);
  versions_stop (state);
  crashproofs_stop (state);
  crashes_stop (state);
  limits_stop (state);
  quotas_stop (state);
  coldgrants_stop (state);
  presence_stop (state);
  fleet_stop (state);
  group_stop (state);
  ledger_stop (state);
  log_stop (state);
  if (state->rpc != NULL)
    jc_rpc_free (state->rpc);
  if (state->disk != NULL)
    state->disk->klass->free (state->disk);
  jc_orders_free (state->orders);
  jc_readmissions_free (state->readmissions);
  jc_grants_free (state->grants);
  jc_departures_free (state->departures);
  jc_versions_free (state->version_table);
  jc_limit_slots_free (state->limit_slots);
  jc_crashes_free (state->crash_table);
  jc_routetable_unref (state->route_table);
  jc_confstate_free (state->confstate);
  state->rpc = NULL;
  state->disk = NULL;
  state->orders = NULL;
  state->readmissions = NULL;
  state->grants = NULL;
  state->departures = NULL;
  state->version_table = NULL;
  state->limit_slots = NULL;
  state->crash_table = NULL;
  state->route_table = NULL;
  state->confstate = NULL;
  state->config = NULL;
}

static void
state_clear (struct state *state)
{
  stop_modules (state);
  jc_inputage_free (state->input_age);
  jc_metrics_free (state->metrics);
  g_ptr_array_free (state->config_subscribers, TRUE);
  g_ptr_array_free (state->order_subscribers, TRUE);
  g_ptr_array_free (state->deferred_calls, TRUE);
}

static void
on_retry_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Run the event loop for RETRY_START_MS.  Return false if SIGTERM comes
   meanwhile.  */
static bool
wait_to_retry (struct state *state)
{
  ev_timer timer;
  bool due;

  ev_timer_init (&timer, on_retry_timer, (double)RETRY_START_MS / MS_PER_S, 0);
  ev_timer_start (state->loop, &timer);
  ev_run (state->loop, 0);
  due = !ev_is_active (&timer);
  ev_timer_stop (state->loop, &timer);
  return due;
}

/* Start the modules.  Where requests are routed by hosts, a disk that refuses
   writes is waited for, as it is while the program runs (log.c).  Return
   JC_CANCELLED if SIGTERM comes meanwhile.  */
static enum jc_status
start_when_writable (struct state *state, bool create)
{
  enum jc_status status;

  while ((status = start_modules (state, create)) == JC_STORAGE_FAILED
         && state->disk != NULL && routes_by_hosts (state) && !create)
    {
      jc_event (JC_EVENT_STORAGE, "what=start outcome=%s why=\"%.150s\"",
                jc_status_name (status), jc_last_message ());
      stop_modules (state);
      if (!wait_to_retry (state))
        return JC_CANCELLED;
    }
  return status;
}

static const struct jc_program program
    = { .name = "jaycove-state",
        .purpose = "Keeps the configuration and the ledger on disk.",
        .table = &jc_state_settings_table };

int
main (int argc, char **argv)
{
  struct state state = { 0 };
  void *settings = NULL;
  bool bootstrap;
  int code;
  ev_signal term;
  enum jc_status status;

  if (!jc_program_start (&program, argc, argv, &bootstrap, &settings, &code))
    {
      jc_table_unref (program.table, settings);
      return code;
    }
  state.settings = settings;
  jc_log_setup (jc_log_level_by_name (state.settings->log_level),
                state.settings->log_json);
  state.loop = ev_default_loop (0);
  state.config_subscribers = g_ptr_array_new_with_free_func (g_free);
  state.order_subscribers = g_ptr_array_new_with_free_func (g_free);
  state.deferred_calls = g_ptr_array_new ();
  state.metrics = jc_metrics_new ();
  state.protocol = &platform_protocol;
  state.started_ms = jc_now_ms ();
  state.input_age = jc_inputage_new (state.loop);
  if (routes_by_hosts (&state))
    {
      jc_eventflush_start (state.loop);
      jc_reload_start (state.loop, &program, on_reload, &state);
    }
  ev_signal_init (&term, on_sigterm, SIGTERM);
  ev_signal_start (state.loop, &term);
  jc_signals_unblock ();
  status = start_when_writable (&state, bootstrap);
  if (status == JC_OK)
    {
      jc_info (LOG_COMPONENT,
               "Started with configuration version %" G_GUINT64_FORMAT ".",
               state.config->version);
      ev_run (state.loop, 0);
    }
  else if (status != JC_CANCELLED)
    {
      jc_error (LOG_COMPONENT, "%s", jc_last_message ());
      code = JC_EXIT_FAILED;
    }
  jc_event (JC_EVENT_STOP, "role=state name=%s code=%d", state.settings->name,
            code);
  state_clear (&state);
  jc_eventflush_stop (state.loop);
  jc_table_unref (program.table, settings);
  return code;
}
