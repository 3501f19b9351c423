/* Routing by hosts: the start, the end and the listeners of its tasks.  */

#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "entry/router.h"
#include "member/forwarding.h"
#include "net/address.h"
#include "net/eventflush.h"
#include "net/program.h"
#include "platform/platform.h"

#define PART "hosts"

enum
{
  TICK_MS = 100,
  LOADS_TICK_MS = 20,
  /* Most callers have asked the directory again by then, which gives its
     answers 1 s; later ones find the port closed and go elsewhere, if there
     is another instance in the region.  */
  DRAIN_LISTEN_MS = 1300,
  /* What is left of the grace for the process to end by itself.  */
  DRAIN_MARGIN_MS = 400,
  SMALL_BODY_MAX = 64 * 1024,
  MS_PER_S = 1000
};

/* Tell whether the settings ask for routing by hosts.  */
bool
router_is_enabled (const struct entry *entry)
{
  return strcmp (entry->settings->routing, "hosts") == 0;
}

static void
on_up (void *ctx, struct jc_rpc_conn *conn)
{
  struct entry *entry = ctx;

  jc_event (JC_EVENT_PEER_UP, "peer=%s role=%s", jc_rpc_conn_name (conn),
            jc_rpc_conn_role (conn));
  paths_state_conn_changed (entry->router, conn, true);
  stateclient_conn_up (entry->router, conn);
}

static void
on_down (void *ctx, struct jc_rpc_conn *conn)
{
  struct entry *entry = ctx;

  jc_event (JC_EVENT_PEER_DOWN, "peer=%s role=%s", jc_rpc_conn_name (conn),
            jc_rpc_conn_role (conn));
  paths_state_conn_changed (entry->router, conn, false);
  stateclient_conn_down (entry->router, conn);
}

static void
on_packet (void *ctx, struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  struct entry *entry = ctx;

  stateclient_handle_packet (entry->router, conn, packet);
  loads_handle_packet (entry->router, conn, packet);
}

const struct jc_rpc_class hosts_rpc_class
    = { .up = on_up, .down = on_down, .packet = on_packet };

static enum jc_status
on_caller_head (void *ctx, struct jc_http_req *req)
{
  return exchange_check_head (((struct entry *)ctx)->router, req);
}

static void
on_caller_body (void *ctx, struct jc_http_req *req)
{
  exchange_start (((struct entry *)ctx)->router, req, false);
}

static bool
is_probe (const struct jc_http_req *req)
{
  return strcmp (jc_http_path (req), PATHS_PROBE_TARGET) == 0;
}

static enum jc_status
on_guest_head (void *ctx, struct jc_http_req *req)
{
  return is_probe (req) ? JC_OK : on_caller_head (ctx, req);
}

static void
on_guest_body (void *ctx, struct jc_http_req *req)
{
  if (is_probe (req))
    jc_http_reply (req, 200, "text/plain", JC_STR_LIT (""), NULL);
  else
    exchange_start (((struct entry *)ctx)->router, req, true);
}

static void
on_gone (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  exchange_caller_closed (req);
}

static void
on_room (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  exchange_caller_writable (req);
}

static void
on_ready_body (void *ctx, struct jc_http_req *req)
{
  const struct entry *entry = ctx;

  if (!entry->router->protocol->is_readiness_path (jc_http_path (req)))
    jc_http_fail (req, JC_NOT_FOUND, "There is no such call.", 0);
  else if (entry->draining || entry->router->routes == NULL)
    jc_http_fail (req, entry->draining ? JC_DRAINING : JC_NOT_READY,
                  "This instance takes no callers.", 0);
  else
    jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ready\n"), NULL);
}

/* Return the time until a draining instance ends at the latest, ms.  */
int64_t
router_drain_left_ms (const struct entry *entry)
{
  return entry->drain_started_ms + entry->settings->grace_ms - DRAIN_MARGIN_MS
         - jc_now_ms ();
}

static void
drain_tick (struct entry *entry)
{
  int64_t waited = jc_now_ms () - entry->drain_started_ms;
  bool idle
      = waited >= DRAIN_LISTEN_MS && entry->in_flight == 0
        && jc_httpd_count_requests (entry->callers_listener) == 0
        && jc_httpd_count_requests (entry->router->handover_listener) == 0;

  if (waited >= DRAIN_LISTEN_MS && neighbours_accept_callers (entry->router))
    jc_httpd_stop_accepting (entry->callers_listener);
  if (idle || router_drain_left_ms (entry) <= 0)
    ev_break (entry->loop, EVBREAK_ALL);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  stateclient_tick (entry->router);
  paths_tick (entry->router);
  if (entry->draining)
    drain_tick (entry);
}

static void
on_loads_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  loads_tick (entry->router);
  waitqueue_tick (entry->router);
}

/* Begin to drain: this instance is no longer listed, but answers whoever
   still comes.  */
void
router_drain (struct entry *entry)
{
  if (entry->draining)
    return;
  entry->draining = true;
  entry->drain_started_ms = jc_now_ms ();
  jc_event (JC_EVENT_STOP, "role=entry name=%s in_flight=%u phase=drain",
            entry->settings->name, entry->in_flight);
  jc_httpd_announce_close (entry->callers_listener);
  stateclient_send_presence (entry->router);
}

/* Take what may change in SETTINGS, read anew: where state instances are.  */
void
router_reload (void *ctx, const void *settings)
{
  struct entry *entry = ctx;

  stateclient_add_seeds (
      entry->router, ((const struct jc_entry_settings *)settings)->state_seeds);
}

/* Return the address at which other entry instances hand requests over; the
   caller frees it.  Where none is set it is the port after the operators'.  */
static char *
handover_address (const struct jc_entry_settings *settings)
{
  struct sockaddr_in addr;

  if (settings->handover[0] != '\0'
      || jc_address_parse (settings->operators, &addr) != JC_OK)
    return g_strdup (settings->handover);
  return jc_address_with_port (settings->operators, ntohs (addr.sin_port) + 1);
}

static enum jc_status
open_listeners (struct entry *entry)
{
  static const struct jc_httpd_class callers = { .head = on_caller_head,
                                                 .body = on_caller_body,
                                                 .peer_closed = on_gone,
                                                 .writable = on_room };
  static const struct jc_httpd_class guests = { .head = on_guest_head,
                                                .body = on_guest_body,
                                                .peer_closed = on_gone,
                                                .writable = on_room };
  static const struct jc_httpd_class ready = { .body = on_ready_body };
  const struct jc_entry_settings *settings = entry->settings;
  struct hosts *hosts = entry->router;

  entry->callers_listener
      = jc_httpd_new (entry->loop, settings->callers, &callers, entry,
                      (size_t)settings->max_body_bytes);
  hosts->handover_address = handover_address (settings);
  hosts->handover_listener
      = jc_httpd_new (entry->loop, hosts->handover_address, &guests, entry,
                      (size_t)settings->max_body_bytes);
  hosts->ready_listener = jc_httpd_new (entry->loop, settings->ready, &ready,
                                        entry, SMALL_BODY_MAX);
  entry->operators_listener = operators_listen (entry);
  if (entry->callers_listener == NULL || hosts->handover_listener == NULL
      || hosts->ready_listener == NULL || entry->operators_listener == NULL)
    return JC_UNREACHABLE;
  return JC_OK;
}

/* Start the tasks of ENTRY, whose loop, client and RPC task run.  */
enum jc_status
router_start (struct entry *entry)
{
  const struct jc_entry_settings *settings = entry->settings;
  const struct jc_budget_settings terms
      = { .retry_ratio = settings->retry_ratio,
          .retry_window_ms = settings->retry_window_ms,
          .cold_ratio = settings->cold_ratio,
          .cold_slack = settings->cold_slack };
  struct hosts *hosts = entry->router = g_new0 (struct hosts, 1);
  double every_s = (double)TICK_MS / MS_PER_S;

  jc_eventflush_start (entry->loop);
  jc_event (JC_EVENT_START, "role=entry name=%s region=%s zone=%s",
            settings->name, settings->region, settings->availability_zone);
  hosts->entry = entry;
  hosts->protocol = &platform_protocol;
  hosts->orders = jc_orders_new ();
  hosts->readmitted_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  hosts->endpoints = jc_endpoints_new ();
  jc_endpoints_require_unique_addresses (hosts->endpoints);
  hosts->engines = jc_engines_new ();
  hosts->budgets = jc_budgets_new (&terms);
  hosts->paths = jc_paths_new ();
  hosts->request_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  hosts->answer_sizes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  neighbours_start (hosts);
  hosts->state_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hosts->dialled_entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hosts->zone_forwarders = jc_forwarding_new ();
  waitqueue_start (hosts);
  hosts->started_ms = jc_now_ms ();
  ev_timer_init (&hosts->tick_timer, on_tick, every_s, every_s);
  hosts->tick_timer.data = entry;
  ev_timer_start (entry->loop, &hosts->tick_timer);
  every_s = (double)LOADS_TICK_MS / MS_PER_S;
  ev_timer_init (&hosts->loads_timer, on_loads_tick, every_s, every_s);
  hosts->loads_timer.data = entry;
  ev_timer_start (entry->loop, &hosts->loads_timer);
  stateclient_add_seeds (hosts, settings->state_seeds);
  return open_listeners (entry);
}

/* End the tasks; listeners of ENTRY are freed before, its RPC task after.  */
void
router_stop (struct entry *entry)
{
  struct hosts *hosts = entry->router;

  if (hosts == NULL)
    return;
  jc_event (JC_EVENT_STOP, "role=entry name=%s in_flight=%u phase=end",
            entry->settings->name, entry->in_flight);
  ev_timer_stop (entry->loop, &hosts->tick_timer);
  ev_timer_stop (entry->loop, &hosts->loads_timer);
  jc_httpd_free (hosts->handover_listener);
  g_free (hosts->handover_address);
  jc_httpd_free (hosts->ready_listener);
  waitqueue_stop (hosts);
  jc_engines_free (hosts->engines);
  jc_budgets_free (hosts->budgets);
  jc_paths_free (hosts->paths);
  jc_endpoints_free (hosts->endpoints);
  jc_orders_free (hosts->orders);
  jc_routetable_unref (hosts->routes);
  g_hash_table_destroy (hosts->readmitted_at);
  g_hash_table_destroy (hosts->request_rates);
  g_hash_table_destroy (hosts->answer_sizes);
  neighbours_stop (hosts);
  g_hash_table_destroy (hosts->state_names);
  g_hash_table_destroy (hosts->dialled_entries);
  g_hash_table_destroy (hosts->zone_forwarders);
  g_free (hosts);
  entry->router = NULL;
  jc_eventflush_stop (entry->loop);
}
