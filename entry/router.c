/* Host-based routing: start, end, listeners and drain.  */

#include <inttypes.h>
#include <string.h>

#include "base/build.h"
#include "base/event.h"
#include "entry/router.h"
#include "member/forwarding.h"
#include "net/address.h"
#include "net/eventflush.h"
#include "net/program.h"
#include "platform/platform.h"
#include "serve/fullness.h"
#include "serve/returns.h"
#include "serve/slotroom.h"

enum
{
  TICK_MS = 100,
  LOADS_TICK_MS = 20,
  /* A draining instance accepts connections for this long.  The directory's
     answers are valid for 1 s, so most callers have asked again by then; later
     ones find the port closed and go to another instance, if there is one in
     the region.  */
  DRAIN_ACCEPT_MS = 1300,
  /* Time reserved at the end of the grace period for the process to exit on its
     own.  */
  DRAIN_MARGIN_MS = 400,
  /* A request on a connection that is open at the end of the drain arrives
     within this time.  */
  DRAIN_QUIET_MS = 300,
  SMALL_BODY_BYTES_MAX = 64 * 1024,
  MS_PER_S = 1000
};

/* Return true if the settings select host-based routing.  */
bool
router_is_enabled (const struct entry *entry)
{
  return strcmp (entry->settings->routing, "hosts") == 0;
}

static void
on_up (void *ctx, struct jc_rpc_conn *conn)
{
  struct entry *entry = ctx;

  jc_event (JC_EVENT_PEER_UP, "peer=%s role=%s level=%" PRIu64,
            jc_rpc_conn_name (conn), jc_rpc_conn_role (conn),
            jc_rpc_conn_level (conn));
  paths_state_conn_changed (entry->router, conn, true);
  stateclient_conn_up (entry->router, conn);
  resumptions_conn_up (entry->router, conn);
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
  resumptions_handle_packet (entry->router, conn, packet);
  loads_handle_packet (entry->router, conn, packet);
  quotas_handle_packet (entry->router, conn, packet);
}

const struct jc_rpc_class router_rpc_class
    = { .up = on_up, .down = on_down, .packet = on_packet };

static enum jc_status
on_caller_head (void *ctx, struct jc_http_req *req)
{
  return heads_check (((struct entry *)ctx)->router, req, false);
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
on_handover_head (void *ctx, struct jc_http_req *req)
{
  return is_probe (req)
             ? JC_OK
             : heads_check (((struct entry *)ctx)->router, req, true);
}

static void
on_handover_body (void *ctx, struct jc_http_req *req)
{
  if (is_probe (req))
    jc_http_reply (req, 200, "text/plain", JC_STR_LIT (""), NULL);
  else
    exchange_start (((struct entry *)ctx)->router, req, true);
}

static void
on_caller_closed (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  exchange_caller_closed (req);
}

static void
on_caller_writable (void *ctx, struct jc_http_req *req)
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

/* Return the time until a draining instance exits at the latest, ms.  */
int64_t
router_drain_left_ms (const struct entry *entry)
{
  return entry->drain_started_ms + entry->settings->grace_ms - DRAIN_MARGIN_MS
         - jc_now_ms ();
}

/* Return whether the drain of ENTRY, in which nothing is under way if IDLE, has
   been idle for DRAIN_QUIET_MS or leaves no connection open.  */
static bool
drain_is_over (struct entry *entry, bool idle)
{
  int64_t now = jc_now_ms ();

  if (!idle || entry->quiesced_ms == 0)
    entry->quiesced_ms = idle ? now : 0;
  return idle
         && (now - entry->quiesced_ms >= DRAIN_QUIET_MS
             || jc_httpd_count_connections (entry->callers_listener) == 0);
}

/* After DRAIN_ACCEPT_MS, close the listener for callers once another instance
   accepts them, and end the event loop once no request is left.  End it in any
   case when the time is over.  */
static void
drain_tick (struct entry *entry)
{
  int64_t waited = jc_now_ms () - entry->drain_started_ms;
  bool idle
      = waited >= DRAIN_ACCEPT_MS && entry->in_flight == 0
        && jc_httpd_count_requests (entry->callers_listener) == 0
        && jc_httpd_count_requests (entry->router->handover_listener) == 0;

  stopping_tick (entry->router);
  if (waited >= DRAIN_ACCEPT_MS && neighbours_accept_callers (entry->router))
    jc_httpd_stop_accepting (entry->callers_listener);
  if (drain_is_over (entry, idle) || router_drain_left_ms (entry) <= 0)
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
  reach_tick (entry->router);
  backpressure_tick (entry->router);
  shares_tick (entry->router);
  quotas_tick (entry->router);
  resumptions_tick (entry->router);
  guests_tick (entry->router);
  misdirections_check (entry->router);
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
  crashes_tick (entry->router);
  waitqueue_dispatch (entry->router->wait_queue, jc_now_ms ());
}

/* Start draining: the directory no longer lists this instance, but requests
   that still come are answered.  */
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

/* Apply what may change in SETTINGS, which were read again: the addresses of
   state instances.  */
void
router_reload (void *ctx, const void *settings)
{
  struct entry *entry = ctx;

  stateclient_add_seeds (
      entry->router, ((const struct jc_entry_settings *)settings)->state_seeds);
}

/* Return the address at which other entry instances hand requests over; the
   caller frees it.  If none is set it is the port after that of the operators'
   listener.  */
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
  static const struct jc_httpd_class callers
      = { .head = on_caller_head,
          .body = on_caller_body,
          .peer_closed = on_caller_closed,
          .writable = on_caller_writable };
  static const struct jc_httpd_class handovers
      = { .head = on_handover_head,
          .body = on_handover_body,
          .peer_closed = on_caller_closed,
          .writable = on_caller_writable };
  static const struct jc_httpd_class ready = { .body = on_ready_body };
  const struct jc_entry_settings *settings = entry->settings;
  struct router *router = entry->router;

  entry->callers_listener
      = jc_httpd_new (entry->loop, settings->callers, &callers, entry,
                      (size_t)settings->max_body_bytes);
  router->handover_address = handover_address (settings);
  router->handover_listener
      = jc_httpd_new (entry->loop, router->handover_address, &handovers, entry,
                      (size_t)settings->max_body_bytes);
  router->ready_listener = jc_httpd_new (entry->loop, settings->ready, &ready,
                                         entry, SMALL_BODY_BYTES_MAX);
  entry->operators_listener = operators_listen (entry);
  if (entry->callers_listener == NULL || router->handover_listener == NULL
      || router->ready_listener == NULL || entry->operators_listener == NULL)
    return JC_UNREACHABLE;
  jc_httpd_set_id_header (entry->callers_listener,
                          router->protocol->echo_header);
  jc_httpd_set_id_header (router->handover_listener,
                          router->protocol->echo_header);
  /* The instance that handed a request over uses no answer that doesn't name
     it.  */
  jc_httpd_set_echo (router->handover_listener, router->protocol->echo_header);
  return JC_OK;
}

/* Start host-based routing for ENTRY, whose loop, HTTP client and RPC task are
   running.  */
enum jc_status
router_start (struct entry *entry)
{
  const struct jc_entry_settings *settings = entry->settings;
  const struct jc_budget_settings budget_settings
      = { .retry_ratio = settings->retry_ratio,
          .retry_window_ms = settings->retry_window_ms,
          .cold_ratio = settings->cold_ratio,
          .cold_slack = settings->cold_slack };
  struct router *router = entry->router = g_new0 (struct router, 1);
  double interval_s = (double)TICK_MS / MS_PER_S;

  jc_eventflush_start (entry->loop);
  jc_event (JC_EVENT_START,
            "role=entry name=%s region=%s zone=%s level=%d build=%s",
            settings->name, settings->region, settings->availability_zone,
            JC_RPC_LEVEL, jc_build_name ());
  router->entry = entry;
  router->protocol = &platform_protocol;
  router->orders = jc_orders_new ();
  jc_key_secrets_derive (&router->key_secrets, settings->group_key);
  router->readmissions = jc_readmissions_new ();
  router->endpoints = jc_endpoints_new ();
  jc_endpoints_require_unique_addresses (router->endpoints);
  router->reporters = jc_reporters_new ();
  jc_endpoints_expect_lease (
      router->endpoints,
      (uint32_t)(JC_ENDPOINT_LEASE_REPORTS * settings->report_ms));
  router->engines = jc_engines_new ();
  jc_engines_watch_reading (router->engines, loads_report_reading, router);
  router->budgets = jc_budgets_new (&budget_settings);
  router->backpressure = jc_backpressure_new ();
  router->misdirected = jc_misdirected_new ();
  router->pauses = jc_pauses_new ();
  router->leaves = jc_leaves_new ();
  shares_start (router);
  quotas_start (router);
  crashes_start (router);
  resumptions_start (router);
  router->paths = jc_paths_new ();
  reach_start (router);
  router->request_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  router->answer_sizes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  neighbours_start (router);
  router->state_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  router->dialled_entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  router->zone_forwarders = jc_forwarding_new ();
  router->wait_queue = waitqueue_new (&holding_ops);
  router->returns = jc_returns_new ();
  router->slot_room = jc_slot_room_new ();
  router->fullness = jc_fullness_new ();
  g_queue_init (&router->exchanges);
  router->started_ms = jc_now_ms ();
  ev_timer_init (&router->tick_timer, on_tick, interval_s, interval_s);
  router->tick_timer.data = entry;
  ev_timer_start (entry->loop, &router->tick_timer);
  interval_s = (double)LOADS_TICK_MS / MS_PER_S;
  ev_timer_init (&router->loads_timer, on_loads_tick, interval_s, interval_s);
  router->loads_timer.data = entry;
  ev_timer_start (entry->loop, &router->loads_timer);
  stateclient_add_seeds (router, settings->state_seeds);
  return open_listeners (entry);
}

/* Stop host-based routing.  ENTRY's listeners must have been freed before, its
   RPC task is freed after this.  */
void
router_stop (struct entry *entry)
{
  struct router *router = entry->router;

  if (router == NULL)
    return;
  jc_event (JC_EVENT_STOP, "role=entry name=%s in_flight=%u phase=end",
            entry->settings->name, entry->in_flight);
  ev_timer_stop (entry->loop, &router->tick_timer);
  ev_timer_stop (entry->loop, &router->loads_timer);
  jc_httpd_free (router->handover_listener);
  g_free (router->handover_address);
  jc_httpd_free (router->ready_listener);
  waitqueue_free (router->wait_queue);
  jc_returns_free (router->returns);
  jc_slot_room_free (router->slot_room);
  jc_fullness_free (router->fullness);
  jc_engines_free (router->engines);
  jc_budgets_free (router->budgets);
  jc_backpressure_free (router->backpressure);
  jc_misdirected_free (router->misdirected);
  jc_pauses_free (router->pauses);
  jc_leaves_free (router->leaves);
  shares_stop (router);
  quotas_stop (router);
  crashes_stop (router);
  resumptions_stop (router);
  jc_paths_free (router->paths);
  reach_stop (router);
  jc_endpoints_free (router->endpoints);
  jc_reporters_free (router->reporters);
  jc_orders_free (router->orders);
  jc_routetable_unref (router->routes);
  jc_readmissions_free (router->readmissions);
  g_hash_table_destroy (router->request_rates);
  g_hash_table_destroy (router->answer_sizes);
  neighbours_stop (router);
  g_hash_table_destroy (router->state_names);
  g_hash_table_destroy (router->dialled_entries);
  g_hash_table_destroy (router->zone_forwarders);
  g_free (router);
  entry->router = NULL;
  jc_eventflush_stop (entry->loop);
}
