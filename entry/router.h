/* Host-based routing (routing "hosts" in the settings): structures and
   functions that its modules share.  */

#ifndef ENTRY_ROUTER_H
#define ENTRY_ROUTER_H

#include "conf/lag.h"
#include "conf/orders.h"
#include "conf/readmissions.h"
#include "entry/entry.h"
#include "entry/waitqueue.h"
#include "member/contact.h"
#include "member/leaves.h"
#include "member/reporters.h"
#include "member/versions.h"
#include "serve/backpressure.h"
#include "serve/misdirected.h"
#include "serve/budget.h"
#include "serve/callerkey.h"
#include "serve/protocol.h"
#include "serve/engine.h"
#include "serve/pauses.h"
#include "serve/regionload.h"
#include "serve/paths.h"
#include "serve/reach.h"
#include "serve/remotereading.h"
#include "serve/streamstarts.h"
#include "serve/sharepeers.h"
#include "serve/suspects.h"

enum
{
  /* Another entry instance counts as alive if it was reported within this time,
     a few times the interval of the reports.  */
  NEIGHBOUR_FRESH_MS = 3000
};

struct exchange;
struct entry_shares;
struct entry_quotas;
struct balancer_query;
struct neighbour;

/* State of host-based routing.  ROUTES is parsed from the text of ORDERS; it is
   NULL until the first configuration comes and is never replaced by an older
   one.  ORDERS_SOURCE is the connection to the state instance that sends each
   change of the orders.  READMISSIONS are the zones whose evacuation
   ended, REQUEST_RATES services to the rate of requests of this
   instance's callers, ANSWER_SIZES routes to the size of the largest plain
   answer so far, NEIGHBOURS names of other entry instances to struct neighbour.
   ENTRIES_BY_STATE maps state instances to the sets of entry instances that
   they report as alive.  REGION_ROOMS holds struct region_room.  STATE_NAMES
   and DIALLED_ENTRIES are the names of the state and entry instances that this
   one dials.  VERSIONS are those that may begin streams, STARTS the streams
   that this instance began, UNSENT_STARTS those that are to be sent, and
   UNPROVEN the
   exchanges whose version isn't certain yet, LEFT_STARTS the streams without an
   exchange for which the same holds, EXCHANGES all requests in progress,
   IDENTITIES what is known of the process at
   each address (see identities.c), UNSEARCHED those that no state
   instance has told it.  */
struct router
{
  struct entry *entry;
  const struct jc_protocol *protocol;
  struct jc_orders *orders;
  struct jc_routetable *routes;
  struct jc_key_secrets key_secrets;
  struct jc_readmissions *readmissions;
  struct jc_endpoints *endpoints;
  struct jc_engines *engines;
  struct jc_budgets *budgets;
  struct jc_backpressure *backpressure;
  struct jc_misdirected *misdirected;
  struct jc_pauses *pauses;
  struct jc_leaves *leaves;
  struct entry_shares *shares;
  struct entry_quotas *quotas;
  struct jc_suspects *suspects;
  GPtrArray *crash_probes;
  struct jc_paths *paths;
  struct jc_reach *reach;
  GPtrArray *reach_probes;
  struct jc_versions *versions;
  struct jc_stream_starts *starts;
  GArray *unsent_starts;
  ev_timer starts_timer;
  GPtrArray *unproven;
  GPtrArray *left_starts;
  GHashTable *identities;
  GPtrArray *unsearched;
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
  struct waitqueue *wait_queue;
  struct jc_returns *returns;
  struct jc_slot_room *slot_room;
  struct jc_fullness *fullness;
  GQueue exchanges;
  int64_t presence_sent_ms;
  int64_t loads_sent_ms;
  int64_t loads_told_ms;
  int64_t zone_loads_told_ms;
  int64_t full_loads_sent_ms;
  int64_t state_connected_ms;
  struct jc_contact contact;
  bool was_told;
  struct jc_reporters *reporters;
  int64_t fleet_requested_ms;
  struct jc_lag lag;
  struct jc_rpc_conn *orders_source;
  int64_t started_ms;
};

/* Another entry instance.  PRESENCE is what a state instance reported of it at
   LAST_SEEN_MS.  REFUSED_AT maps services whose endpoints it does not reach, as
   it said in refusing a request, to the time of that.  */
struct neighbour
{
  struct rpc_presence presence;
  int64_t last_seen_ms;
  GHashTable *refused_at;
};

/* router: start and end of host-based routing.  */
bool router_is_enabled (const struct entry *entry);
enum jc_status router_start (struct entry *entry);
void router_stop (struct entry *entry);
void router_drain (struct entry *entry);
int64_t router_drain_left_ms (const struct entry *entry);
void router_reload (void *ctx, const void *settings);
extern const struct jc_rpc_class router_rpc_class;

/* stateclient: connections to state instances, and the orders and endpoints
   that they send.  */
void stateclient_add_seeds (struct router *router, const GPtrArray *seeds);
void stateclient_conn_up (struct router *router, struct jc_rpc_conn *conn);
void stateclient_conn_down (struct router *router,
                            const struct jc_rpc_conn *conn);
void stateclient_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                                const struct rpc_packet *packet);
void stateclient_tick (struct router *router);
void stateclient_send_presence (struct router *router);
/* Load and capacity of REGION for a service, received at RECEIVED_MS, and what
   was handed over to it to be read there.  */
struct region_room
{
  char *region;
  struct rpc_service_room room;
  int64_t received_ms;
  struct jc_remote_reading reading;
};

/* fleetclient: endpoints as state instances report them.  */
void fleetclient_apply (struct router *router, struct jc_rpc_conn *conn,
                        const struct rpc_fleet *fleet);
void fleetclient_request (struct router *router, struct jc_rpc_conn *conn);
void fleetclient_note (struct router *router, const struct jc_rpc_conn *conn);
unsigned int fleetclient_count_entries (const struct router *router);
bool fleetclient_can_tell (const struct router *router,
                           const struct jc_endpoint *endpoint);
bool fleetclient_must_wait (const struct router *router,
                            const struct jc_endpoint *endpoint,
                            const struct jc_hostservice *service, bool warm,
                            int64_t now_ms);
void fleetclient_note_send (struct router *router,
                            const struct jc_endpoint *endpoint, int64_t now_ms);
void fleetclient_tick (struct router *router);

/* neighbours: other entry instances, and load and capacity of their
   regions.  */
void neighbours_start (struct router *router);
void neighbours_stop (struct router *router);
void neighbours_update (struct router *router, struct jc_rpc_conn *conn,
                        const struct rpc_entries *entries);
void neighbours_state_down (struct router *router,
                            const struct jc_rpc_conn *conn);
bool neighbours_has_room (const struct router *router, const char *region,
                          const char *service, const struct jc_demand *demand,
                          int64_t now_ms);
int64_t neighbours_reading_ms (const struct router *router, const char *region,
                               const char *service, int64_t now_ms);
void neighbours_note_handover (struct router *router, const char *region,
                               const char *service,
                               const struct jc_demand *demand, int64_t now_ms);
const struct rpc_service_room *neighbours_room (const struct router *router,
                                                const char *region,
                                                const char *service,
                                                int64_t now_ms);
void neighbours_note_refusal (struct router *router, const char *name,
                              const char *service, int64_t now_ms);
bool neighbours_has_refused (const struct neighbour *neighbour,
                             const char *service, int64_t now_ms);
bool neighbours_accept_callers (const struct router *router);
void neighbours_expire (struct router *router, int64_t now_ms);

/* loads: load reports between the instances of a region.  */
void loads_connect (struct router *router, const struct rpc_presence *presence);
void loads_disconnect (struct router *router, const char *name);
void loads_report_reading (void *data, bool of_zone, int64_t now);
void loads_tick (struct router *router);
void loads_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* Path of the probe that other instances send to the handover address to check
   that it can be reached.  */
#define PATHS_PROBE_TARGET "/.jaycove/reachable"

/* paths: reachability of other availability zones.  */
void paths_attempt_failed (struct router *router,
                           const struct jc_path_target *target,
                           int64_t started_ms,
                           const struct jc_httpc_call_result *result);
void paths_answered (struct router *router,
                     const struct jc_path_target *target);
void paths_state_conn_changed (struct router *router,
                               const struct jc_rpc_conn *conn, bool up);
void paths_tick (struct router *router);
void paths_append_closed (const struct router *router, GArray *rows);
void paths_reported (struct router *router, const char *reporter,
                     const struct rpc_loads *loads);

/* reach: services whose endpoints this instance can't reach.  */
void reach_start (struct router *router);
void reach_stop (struct router *router);
bool reach_attempt_hung (const struct exchange *exchange);
void reach_attempt_answered (const struct exchange *exchange);
void reach_tick (struct router *router);

/* misdirections: endpoints at whose address another process answered.  */
void misdirections_check (struct router *router);
void misdirections_note (struct router *router,
                         const struct jc_endpoint *endpoint);
void misdirections_note_answer (struct router *router,
                                const struct jc_endpoint *endpoint);
bool misdirections_may_send (const struct router *router,
                             const struct jc_endpoint *endpoint);
void misdirections_note_send (struct router *router,
                              const struct jc_endpoint *endpoint);

/* backpressure: what endpoints ask for in their answers.  */
void backpressure_note_answer (struct router *router,
                               const struct jc_endpoint *endpoint,
                               const struct jc_answer_info *info,
                               uint64_t send_number);
uint64_t backpressure_note_send (struct router *router,
                                 const struct jc_endpoint *endpoint,
                                 const char *id);
bool backpressure_may_send (struct router *router,
                            const struct jc_endpoint *endpoint);
bool backpressure_is_free (struct router *router,
                           const struct jc_endpoint *endpoint);
int64_t backpressure_wait_ms (struct router *router,
                              const struct jc_endpoint *endpoint);
void backpressure_handle_reply (struct router *router,
                                const struct rpc_limit_reply *reply);
void backpressure_append_pauses (const struct router *router, bool whole_zone,
                                 GArray *rows);
void backpressure_handle_pauses (struct router *router,
                                 const struct rpc_pauses *pauses, bool in_zone);
bool backpressure_is_unreported (const struct router *router,
                                 const struct jc_endpoint *endpoint);
void backpressure_tick (struct router *router);

/* shares: slots of endpoints that end if they refuse too many requests.  */
void shares_start (struct router *router);
void shares_stop (struct router *router);
void shares_note_answer (struct router *router,
                         const struct jc_endpoint *endpoint,
                         const struct jc_answer_info *info,
                         uint64_t send_number);
void shares_note_send (struct exchange *exchange,
                       const struct jc_endpoint *endpoint);
void shares_note_end (struct exchange *exchange, enum jc_share_end end);
bool shares_apply (const struct router *router, const char *service);
bool shares_may_send (struct router *router,
                      const struct jc_endpoint *endpoint);
bool shares_refused_lately (const struct router *router, const char *endpoint,
                            uint64_t incarnation);
const struct neighbour *
shares_pick_neighbour (struct router *router,
                       const struct balancer_query *query);
void shares_note_handover (struct router *router, const char *instance,
                           const char *service);
int64_t shares_wait_ms (struct router *router, const char *service);
void shares_tick (struct router *router);
void shares_handle_reply (struct router *router,
                          const struct rpc_limit_reply *reply);
void shares_append_due (struct router *router, guint peers, GArray *rows);
void shares_append_zone (struct router *router, guint peers, GArray *rows);
void shares_handle_report (struct router *router,
                           const struct rpc_shares *shares);

/* quotas: limits of workspaces, summed over all instances.  */
void quotas_start (struct router *router);
void quotas_stop (struct router *router);
void quotas_tick (struct router *router);
void quotas_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);
void quotas_set_gauges (struct router *router);
void quotas_handle_show (struct entry *entry, struct jc_http_req *req);

/* crashes: endpoints that crash, and the requests that they crash under.  */
void crashes_start (struct router *router);
void crashes_stop (struct router *router);
void crashes_note_broken (struct exchange *exchange);
void crashes_note_answered (struct exchange *exchange);
void crashes_handle_update (struct router *router,
                            const struct rpc_suspects *update);
bool crashes_allow_attempt (const struct exchange *exchange);
enum jc_status crashes_check_request (const struct exchange *exchange);
void crashes_tick (struct router *router);
void crashes_handle_list (struct entry *entry, struct jc_http_req *req);
void crashes_handle_clear (struct entry *entry, struct jc_http_req *req);

/* resumptions: the software version at which each resumable stream goes on.  */
void resumptions_start (struct router *router);
void resumptions_stop (struct router *router);
void resumptions_conn_up (struct router *router, struct jc_rpc_conn *conn);
void resumptions_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                                const struct rpc_packet *packet);
bool resumptions_is_certain (const struct router *router,
                             const struct jc_endpoint *endpoint);
void resumptions_check (struct router *router);
void resumptions_tick (struct router *router);

/* In answerfields.c.  */
void answerfields_note (struct router *router,
                        const struct jc_endpoint *endpoint,
                        const struct jc_answer_info *info);

/* In guests.c.  */
void guests_tick (struct router *router);

/* identities: what the processes at endpoints' addresses say that they are.  */
void identities_start (struct router *router);
void identities_stop (struct router *router);
void identities_tick (struct router *router);
void identities_ask (struct router *router, const char *address);
const struct jc_process_identity *identities_find (const struct router *router,
                                                   const char *address);

/* versionsearch: searches for the versions that began streams.  */
void versionsearch_tick (struct router *router);

/* starts: the versions that began this instance's streams.  */
void starts_start (struct router *router);
void starts_stop (struct router *router);
void starts_conn_up (struct router *router, struct jc_rpc_conn *conn);
void starts_record (struct router *router, const struct jc_stream_start *start);
GPtrArray *starts_list_holders (const struct router *router, uint64_t stream);

/* answersizes: usual sizes of each route's plain answers.  */
size_t answersizes_usual_max (const struct router *router, const char *route);
void answersizes_record (struct router *router, const char *route, size_t size);

/* gauges: metrics of host-based routing.  */
void gauges_set (struct router *router);

/* balancer: picks the endpoint, or the entry instance of another region,
   that gets a request.  Just one member of the result is set, the other one
   is NULL.  */
struct balancer_target
{
  struct jc_endpoint *endpoint;
  const struct neighbour *neighbour;
};

/* Input of balancer_pick.  WORKSPACE may be NULL.  SOFTWARE is the version that
   the endpoint must have, 0 for any; with NEW_STREAM it must be one that may
   begin resumable streams. TRIED holds names of endpoints and instances to
   skip, AVOIDED_REGIONS regions that this request did not reach or that refused
   it.  LOCAL_ONLY excludes other regions, ENDPOINTS_ONLY all other
   instances.  MAY_WAIT allows JC_CROWDED as a
   result, for WAIT_LEFT_MS; with QUEUED the request waits already.  */
struct balancer_query
{
  const struct jc_hostroute *route;
  const struct jc_workspace *workspace;
  const char *service;
  const struct jc_demand *demand;
  uint64_t software;
  bool new_stream;
  const GPtrArray *tried;
  const GPtrArray *avoided_regions;
  bool local_only;
  bool endpoints_only;
  bool may_wait;
  bool queued;
  int64_t wait_left_ms;
  int64_t now_ms;
};

enum jc_status balancer_pick (struct router *router,
                              const struct balancer_query *query,
                              struct balancer_target *target);
int64_t balancer_answer_ms (struct router *router, const char *service,
                            const struct jc_demand *demand, int64_t now_ms);
int64_t balancer_earliest_ms (struct router *router, const char *service,
                              int64_t now_ms);
void balancer_log_cold (const struct router *router,
                        const struct jc_endpoint *endpoint, const char *id,
                        int64_t now_ms);
bool balancer_may_send_again (struct router *router,
                              const struct jc_endpoint *endpoint,
                              int64_t now_ms);
void balancer_fill_rooms (struct router *router, struct rpc_presence *out);
bool balancer_allows_region (const struct balancer_query *query,
                             const char *region);
bool balancer_contains_name (const GPtrArray *names, const char *name);

/* remotes: the other entry instance that gets a request.  */
const struct neighbour *remotes_pick (struct router *router,
                                      const struct balancer_query *query,
                                      const GPtrArray *endpoints,
                                      bool unreached, int64_t *answer_ms,
                                      bool *must_go);
const struct neighbour *
remotes_find_in_region (const struct router *router,
                        const struct balancer_query *query, const char *name);
void remotes_list_in_region (const struct router *router, const char *service,
                             GPtrArray *out);
bool remotes_reach_service (const struct router *router,
                            const struct balancer_query *query);
void remotes_count_request (struct router *router, const char *service,
                            int64_t now_ms);
double remotes_local_rate (const struct router *router, const char *service,
                           int64_t now_ms);

/* refusal: when a refused caller should come back.  */
int64_t refusal_retry_ms (struct router *router, const char *service,
                          enum jc_status status, int64_t left_ms);
void refusal_prepare (struct router *router, struct jc_http_req *req,
                      enum jc_status status);

/* stopping: requests at an instance that was told to stop.  */
void stopping_tick (struct router *router);

/* fullservices: endpoints of plain services get no more than they take.  */
bool fullservices_may_send (struct router *router,
                            const struct jc_endpoint *endpoint,
                            const struct balancer_query *query);

/* holding: requests that wait here for room.  */
extern const struct waitqueue_ops holding_ops;

/* heads: what is checked of a request by its head.  */
enum jc_status heads_check (struct router *router, struct jc_http_req *req,
                            bool handed_over);

/* exchange: one caller's request from its head to the end of its answer.  */
void exchange_start (struct router *router, struct jc_http_req *req,
                     bool handed_over);
void exchange_caller_closed (struct jc_http_req *req);
void exchange_caller_writable (struct jc_http_req *req);

#endif
