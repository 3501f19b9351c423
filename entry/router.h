/* Routing by hosts: what its tasks share.  */

#ifndef ENTRY_ROUTER_H
#define ENTRY_ROUTER_H

#include "conf/lag.h"
#include "conf/orders.h"
#include "entry/entry.h"
#include "serve/budget.h"
#include "serve/protocol.h"
#include "serve/engine.h"
#include "serve/regionload.h"
#include "serve/paths.h"

enum
{
  /* Another entry instance that was heard of this long ago counts as there:
     a few times the interval at which they are told of.  */
  NEIGHBOUR_FRESH_MS = 3000
};

struct exchange;

/* What this instance knows and owns for routing by hosts.  ROUTES is made
   from the text of ORDERS and never goes back in the life of the process.
   SOURCE is the connection to the state instance that tells of each change.
   SOURCES maps state instances to the sets of names that they say are there,
   ROOMS holds struct region_room.  NEIGHBOURS maps names of other entry
   instances to struct neighbour, OFFERED those of services to the rate of
   requests of this instance's callers, ANSWER_SIZES those of routes to the
   largest plain answer so far.  */
struct hosts
{
  struct entry *entry;
  const struct jc_protocol *protocol;
  struct jc_orders *orders;
  struct jc_routetable *routes;
  GHashTable *readmitted_at;
  struct jc_endpoints *endpoints;
  struct jc_engines *engines;
  struct jc_budgets *budgets;
  struct jc_paths *paths;
  GHashTable *request_rates;
  GHashTable *answer_sizes;
  GHashTable *neighbours;
  GHashTable *entries_by_state;
  GPtrArray *region_rooms;
  GHashTable *state_names;
  GHashTable *dialled_entries;
  /* See member/forwarding.h.  */
  GHashTable *zone_forwarders;
  char *handover_address;
  struct jc_httpd *handover_listener;
  struct jc_httpd *ready_listener;
  ev_timer tick_timer;
  ev_timer loads_timer;
  GQueue wait_queue;
  int64_t presence_sent_ms;
  int64_t loads_sent_ms;
  int64_t full_loads_sent_ms;
  int64_t state_connected_ms;
  int64_t fleet_requested_ms;
  struct jc_lag lag;
  struct jc_rpc_conn *orders_source;
  int64_t started_ms;
};

/* Another entry instance, as a state instance told of it last at
   HEARD_MS.  */
struct neighbour
{
  struct rpc_presence presence;
  int64_t last_seen_ms;
};

/* hosts: the tasks' start and end.  */
bool router_is_enabled (const struct entry *entry);
enum jc_status router_start (struct entry *entry);
void router_stop (struct entry *entry);
void router_drain (struct entry *entry);
int64_t router_drain_left_ms (const struct entry *entry);
void router_reload (void *ctx, const void *settings);
extern const struct jc_rpc_class hosts_rpc_class;

/* following: what state instances tell.  */
void stateclient_add_seeds (struct hosts *hosts, const GPtrArray *seeds);
void stateclient_conn_up (struct hosts *hosts, struct jc_rpc_conn *conn);
void stateclient_conn_down (struct hosts *hosts,
                            const struct jc_rpc_conn *conn);
void stateclient_handle_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                                const struct rpc_packet *packet);
void stateclient_tick (struct hosts *hosts);
void stateclient_send_presence (struct hosts *hosts);
void stateclient_request_fleet (struct hosts *hosts, struct jc_rpc_conn *conn);

/* What REGION can do for a service, as told at HEARD_MS.  */
struct region_room
{
  char *region;
  struct rpc_service_room room;
  int64_t received_ms;
};

/* neighbours: other entry instances and what their regions can do.  */
void neighbours_start (struct hosts *hosts);
void neighbours_stop (struct hosts *hosts);
void neighbours_update (struct hosts *hosts, struct jc_rpc_conn *conn,
                        const struct rpc_entries *entries);
void neighbours_state_down (struct hosts *hosts,
                            const struct jc_rpc_conn *conn);
const struct rpc_service_room *neighbours_room (const struct hosts *hosts,
                                                const char *region,
                                                const char *service,
                                                int64_t now_ms);
bool neighbours_accept_callers (const struct hosts *hosts);
void neighbours_expire (struct hosts *hosts, int64_t now_ms);

/* loads: what the instances of a region have at each endpoint.  */
void loads_connect (struct hosts *hosts, const struct rpc_presence *neighbour);
void loads_disconnect (struct hosts *hosts, const char *name);
void loads_tick (struct hosts *hosts);
void loads_handle_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* What other instances ask at the hand-over's address to learn whether the path
   there is open.  */
#define PATHS_PROBE_TARGET "/.jaycove/reachable"

/* paths: the ways to other availability zones.  */
void paths_attempt_failed (struct hosts *hosts,
                           const struct jc_path_target *end, int64_t begun_ms,
                           const struct jc_httpc_call_result *result);
void paths_answered (struct hosts *hosts, const struct jc_path_target *end);
void paths_state_conn_changed (struct hosts *hosts,
                               const struct jc_rpc_conn *conn, bool up);
void paths_tick (struct hosts *hosts);
void paths_append_closed (const struct hosts *hosts, GArray *rows);
void paths_reported (struct hosts *hosts, const char *reporter,
                     const struct rpc_loads *loads);

/* sizes: how large the plain answers of each route are.  */
size_t answersizes_usual_max (const struct hosts *hosts, const char *route);
void answersizes_record (struct hosts *hosts, const char *route, size_t size);

/* gauges: what this instance believes, for its metrics.  */
void gauges_set (struct hosts *hosts);

/* choice: which endpoint, or which other instance, gets a request.  */
struct choice
{
  struct jc_endpoint *endpoint;
  const struct neighbour *neighbour;
};

/* What a choice rests on.  TRIED holds names that are left out, AVOIDED regions
   that this request did not reach or that refused it; HERE_ONLY leaves out
   other instances; MAY_WAIT allows JC_CROWDED as an outcome.  */
struct balancer_query
{
  const struct jc_hostroute *route;
  const char *service;
  const struct jc_demand *demand;
  const GPtrArray *tried;
  const GPtrArray *avoided_regions;
  bool local_only;
  bool may_wait;
  int64_t now_ms;
};

enum jc_status balancer_pick (struct hosts *hosts,
                              const struct balancer_query *query,
                              struct choice *choice);
void balancer_log_cold (const struct hosts *hosts,
                        const struct jc_endpoint *endpoint, const char *id,
                        int64_t now_ms);
void balancer_count_request (struct hosts *hosts, const char *service,
                             int64_t now_ms);
void balancer_fill_rooms (struct hosts *hosts, struct rpc_presence *out);

/* waiting: requests whose turn at an engine has not come.  */
void waitqueue_start (struct hosts *hosts);
void waitqueue_stop (struct hosts *hosts);
void waitqueue_add (struct hosts *hosts, struct exchange *exchange);
void waitqueue_remove (struct hosts *hosts, struct exchange *exchange);
void waitqueue_tick (struct hosts *hosts);

/* passage: one caller's request from its head to its answer.  */
enum jc_status exchange_check_head (struct hosts *hosts,
                                    struct jc_http_req *req);
void exchange_start (struct hosts *hosts, struct jc_http_req *req, bool guest);
void exchange_caller_closed (struct jc_http_req *req);
void exchange_caller_writable (struct jc_http_req *req);

#endif
