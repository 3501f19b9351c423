/* The program jaycove-entry: reads the settings, starts the modules of an entry
   instance and runs the event loop until a signal.  */

#include <signal.h>

#include "base/log.h"
#include "entry/entry.h"
#include "entry/router.h"
#include "net/program.h"
#include "net/signals.h"
#include "net/reload.h"

#define LOG_COMPONENT "entry"

enum
{
  EXPIRE_INTERVAL_MS = 250,
  MS_PER_S = 1000
};

static void
on_conn_up (void *ctx, struct jc_rpc_conn *conn)
{
  configsync_conn_up (ctx, conn);
  membership_conn_up (ctx, conn);
}

static void
on_conn_down (void *ctx, struct jc_rpc_conn *conn)
{
  membership_conn_down (ctx, conn);
  handover_conn_down (ctx, conn);
}

/* Pass PACKET to each module; a module ignores messages of other types.  */
static void
on_packet (void *ctx, struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  configsync_handle_packet (ctx, conn, packet);
  keyed_handle_packet (ctx, conn, packet);
  handover_handle_packet (ctx, conn, packet);
  membership_handle_packet (ctx, conn, packet);
}

static const struct jc_rpc_class rpc_class
    = { .up = on_conn_up, .down = on_conn_down, .packet = on_packet };

static void
on_expire (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  jc_endpoints_expire (entry->members, jc_now_ms ());
}

/* SIGTERM or SIGINT: drain, then end.  */
static void
on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  struct entry *entry = watcher->data;

  if (entry->router != NULL)
    router_drain (entry);
  else
    drain_start (entry);
}

static const struct jc_program program
    = { .name = "jaycove-entry",
        .purpose = "Serves callers and routes their requests to endpoints.",
        .table = &jc_entry_settings_table };

/* Start the modules.  If requests are routed by host, the router starts modules
   of its own in place of admission, hand-over and membership.  Return another
   status than JC_OK, with the reason in jc_last_message, if one fails;
   stop_modules cleans up in any case.  */
static enum jc_status
start_modules (struct entry *entry)
{
  const struct jc_entry_settings *s = entry->settings;
  struct jc_rpc_identity identity = { .group = s->group,
                                      .name = s->name,
                                      .role = "entry",
                                      .region = s->region,
                                      .zone = s->availability_zone,
                                      .key_hex = s->group_key,
                                      .incarnation = jc_random_id (),
                                      .level = JC_RPC_LEVEL,
                                      .heartbeat_ms = s->heartbeat_ms,
                                      .silent_ms = s->silent_ms };

  if (!jc_policy_init (&entry->policy, s->policy))
    return jc_fail (JC_BAD_SETTINGS, "settings.policy: unknown policy %s.",
                    s->policy);
  entry->httpc = jc_httpc_new (entry->loop);
  entry->rpc = jc_rpc_new (
      entry->loop, &identity,
      router_is_enabled (entry) ? &router_rpc_class : &rpc_class, entry);
  if (jc_rpc_listen (entry->rpc, s->rpc) != JC_OK)
    return JC_UNREACHABLE;
  if (router_is_enabled (entry))
    {
      jc_reload_start (entry->loop, &program, router_reload, entry);
      return router_start (entry);
    }
  admission_start (entry);
  handover_start (entry);
  entry->callers_listener = callers_listen (entry);
  entry->operators_listener = operators_listen (entry);
  if (entry->callers_listener == NULL || entry->operators_listener == NULL)
    return JC_UNREACHABLE;
  membership_start (entry);
  drain_timer_start (entry);
  jc_rpc_dial_all (entry->rpc, s->state_peers);
  return JC_OK;
}

/* Stop the modules that were started, and free the state of ENTRY.  */
static void
stop_modules (struct entry *entry)
{
  jc_httpd_free (entry->callers_listener);
  jc_httpd_free (entry->operators_listener);
  router_stop (entry);
  handover_stop (entry);
  if (entry->rpc != NULL)
    jc_rpc_free (entry->rpc);
  membership_stop (entry);
  if (entry->httpc != NULL)
    jc_httpc_free (entry->httpc);
  admission_stop (entry);
  jc_policy_clear (&entry->policy);
  jc_copies_free (entry->held_copies);
  jc_endpoints_free (entry->members);
  jc_regions_free (entry->regions);
  jc_metrics_free (entry->metrics);
  jc_config_free (entry->config);
}

static void
run_loop (struct entry *entry)
{
  ev_timer expire_timer;
  ev_signal sigterm;
  ev_signal sigint;

  ev_timer_init (&expire_timer, on_expire,
                 (double)EXPIRE_INTERVAL_MS / MS_PER_S,
                 (double)EXPIRE_INTERVAL_MS / MS_PER_S);
  ev_signal_init (&sigterm, on_stop_signal, SIGTERM);
  ev_signal_init (&sigint, on_stop_signal, SIGINT);
  expire_timer.data = entry;
  sigterm.data = entry;
  sigint.data = entry;
  ev_timer_start (entry->loop, &expire_timer);
  ev_signal_start (entry->loop, &sigterm);
  ev_signal_start (entry->loop, &sigint);
  jc_signals_unblock ();
  jc_info (LOG_COMPONENT, "Listening for callers on port %d.",
           jc_httpd_port (entry->callers_listener));
  ev_run (entry->loop, 0);
  jc_info (LOG_COMPONENT, "Stopped.");
}

int
main (int argc, char **argv)
{
  struct entry entry = { 0 };
  void *settings = NULL;
  int code;

  if (!jc_program_start (&program, argc, argv, NULL, &settings, &code))
    {
      jc_table_unref (program.table, settings);
      return code;
    }
  entry.settings = settings;
  jc_log_setup (jc_log_level_by_name (entry.settings->log_level),
                entry.settings->log_json);
  entry.loop = ev_default_loop (0);
  entry.config = jc_config_empty ();
  entry.members = jc_endpoints_new ();
  entry.regions = jc_regions_new ();
  entry.metrics = jc_metrics_new ();
  if (start_modules (&entry) == JC_OK)
    run_loop (&entry);
  else
    {
      jc_error (LOG_COMPONENT, "%s", jc_last_message ());
      code = JC_EXIT_FAILED;
    }
  stop_modules (&entry);
  jc_table_unref (program.table, settings);
  return code;
}
