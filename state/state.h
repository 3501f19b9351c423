/* Data and functions that the modules of a state instance share.  */

#ifndef STATE_H
#define STATE_H

#include <ev.h>

#include "base/disk.h"
#include "base/metrics.h"
#include "conf/confstate.h"
#include "conf/orders.h"
#include "conf/readmissions.h"
#include "conf/replicas.h"
#include "conf/rlog.h"
#include "member/crashes.h"
#include "member/departures.h"
#include "member/grants.h"
#include "member/limitslots.h"
#include "member/endpoints.h"
#include "member/versions.h"
#include "net/httpd.h"
#include "net/inputage.h"
#include "net/rpc.h"
#include "serve/protocol.h"
#include "serve/streamstarts.h"

/* The process.  CONFIG is the configuration in CONFSTATE, and
   LAST_SUBMIT_RESULT the result of the change that was applied last.  GROUP,
   CONTROL, FLEET, PRESENCE, COLDGRANTS, LIMITS, QUOTAS, CRASHES, CRASHPROOFS,
   VERSIONS and STARTS are NULL unless requests are routed by hosts.
   ORDER_OUTCOME is what became of the entry applied last, JC_OK unless it is an
   order that was left out.  */
struct state
{
  struct ev_loop *loop;
  const struct jc_state_settings *settings;
  struct jc_disk *disk;
  struct jc_rpc *rpc;
  struct jc_config *config;
  struct jc_confstate *confstate;
  const struct jc_submit_result *last_submit_result;
  enum jc_status order_outcome;
  struct jc_inputage *input_age;
  GPtrArray *config_subscribers;
  GPtrArray *deferred_calls;
  struct log *log;
  struct ledgers *ledgers;
  struct jc_metrics *metrics;
  const struct jc_protocol *protocol;
  struct jc_orders *orders;
  struct jc_readmissions *readmissions;
  struct jc_routetable *route_table;
  GPtrArray *order_subscribers;
  struct group *group;
  struct control *control;
  struct fleet *fleet;
  struct presence *presence;
  struct jc_departures *departures;
  struct jc_grants *grants;
  struct coldgrants *coldgrants;
  struct jc_limit_slots *limit_slots;
  struct limits *limits;
  struct quotas *quotas;
  struct jc_crashes *crash_table;
  struct crashes *crashes;
  struct crashproofs *crashproofs;
  struct jc_versions *version_table;
  struct versions *versions;
  struct jc_stream_starts *starts;
  int64_t started_ms;
};

/* Kinds of entries of the replicated log.  The numbers are stored on disk and
   sent to peers.  */
enum log_entry_kind
{
  LOG_NOOP,
  LOG_CONFIG_CHANGE,
  LOG_REPLICAS,
  LOG_LEDGER_SET,
  LOG_ORDER,
  LOG_GRANT,
  LOG_LIMITS,
  LOG_CRASHES,
  LOG_VERSION,
  LOG_DEPARTURE,
  LOG_ZONE_ORDER,
  LOG_CRASH_PROOFS
};

/* Called with the outcome of a proposal: JC_OK once it is committed,
   JC_NOT_LEADER if it certainly is not and never will be, JC_OUTCOME_UNKNOWN
   otherwise.  */
typedef void log_done_fn (void *ctx, enum jc_status status);

/* log: the replicated log.  Committed entries are applied in order, also while
   the log is replayed at start.  */
enum jc_status log_start (struct state *state, bool create);
void log_stop (struct state *state);
void log_propose (struct state *state, enum log_entry_kind kind,
                  struct jc_str data, log_done_fn *done, void *ctx);

bool log_is_running (const struct state *state);
bool log_is_leader (const struct state *state);
uint64_t log_term (const struct state *state);
uint64_t log_applied_index (const struct state *state);
bool log_survives_losses (const struct state *state);
struct jc_rlog_usage log_usage (const struct state *state);
const struct rpc_replicas *log_replicas (const struct state *state);
int64_t log_replica_silent_ms (const struct state *state, const char *name);
bool log_replica_caught_up (const struct state *state, const char *name);
struct jc_rpc_conn *log_leader_conn (struct state *state);
void log_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet);
void log_status_to_json (const struct state *state, json_t *object);
void log_put_replica (struct state *state, const char *name, bool standing,
                      log_done_fn *done, void *ctx);
void log_remove_replica (struct state *state, const char *name,
                         log_done_fn *done, void *ctx);

/* logentries: what the entries and snapshots of the log bring into force.  */
void logentries_apply (void *ctx, uint64_t index, uint32_t kind,
                       struct jc_str data);
void logentries_reset (void *ctx);
enum jc_status logentries_restore (void *ctx, uint64_t index,
                                   struct jc_str snapshot);
void logentries_opened (struct state *state);
void logentries_snapshot (void *ctx, GString *out);

/* admin: commands of operators on replicas and on the history of the
   configuration.  */
bool admin_handle (struct state *state, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet);

/* ledger: the ledger of this instance's region and copies of it.  */
enum jc_status ledger_start (struct state *state);
void ledger_stop (struct state *state);
void ledger_conn_up (struct state *state, struct jc_rpc_conn *conn);
void ledger_conn_down (struct state *state, struct jc_rpc_conn *conn);
void ledger_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);
void ledger_config_changed (struct state *state);
void ledger_apply_entry (struct state *state, struct jc_str data);
void ledger_snapshot (const struct state *state, GPtrArray *entries);
void ledger_restore_entry (struct state *state, struct jc_str data);
void ledger_handle_admin (struct state *state, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* group: discovery of other state instances from seeds, and placement of the
   log's replicas on them.  */
void group_start (struct state *state);
void group_stop (struct state *state);
void group_add_seeds (struct state *state, const GPtrArray *seeds);
bool group_is_founder (const struct state *state);
char *group_find_reporter (const struct state *state, const char *region);
bool group_is_cut_off (const struct state *state, const char *region);
void group_conn_up (struct state *state, struct jc_rpc_conn *conn);
void group_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* control: the HTTP interface for endpoints, operators and callers that look
   up entry instances.  */
enum jc_status control_start (struct state *state);
void control_stop (struct state *state);

/* orders: orders of operators, and their distribution to entry instances.  */
void orders_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);
void orders_submit (struct state *state, const struct rpc_order *order,
                    log_done_fn *done, void *ctx);
void orders_read_barrier (struct state *state, log_done_fn *done, void *ctx);
void orders_publish (struct state *state);
void orders_conn_down (struct state *state, struct jc_rpc_conn *conn);
bool orders_is_subscribed (const struct state *state,
                           const struct jc_rpc_conn *conn);

/* fleet: the endpoints that report to this instance.  */
void fleet_start (struct state *state);
void fleet_stop (struct state *state);
enum jc_status fleet_handle_report (struct state *state,
                                    const struct jc_endpoint_report *report);
void fleet_handle_leave (struct state *state, const char *name,
                         uint64_t incarnation);
void fleet_end (struct state *state, const struct rpc_departure *departure);
const char *fleet_region_of_zone (const struct state *state, const char *zone);
bool fleet_may_reach (const struct state *state, const struct jc_rpc_conn *conn,
                      const char *zone);
void fleet_send_endpoints (struct jc_rpc_conn *conn, struct rpc_endpoint *rows,
                           u_int count);
void fleet_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);
void fleet_list_reachable (const struct state *state,
                           const struct jc_rpc_conn *conn, GPtrArray *out);
void fleet_send_snapshot (struct state *state, struct jc_rpc_conn *conn);
bool fleet_confirms_start (const struct state *state,
                           const struct jc_stream_start *start);
void fleet_send_versions (struct state *state, struct jc_rpc_conn *conn);
unsigned int fleet_count (const struct state *state);
const struct jc_endpoint *fleet_find (const struct state *state,
                                      const char *name);
void fleet_request_grants (struct state *state, const char *zone);

/* departures: endpoints that were acknowledged to leave.  */
void departures_submit (struct state *state, const char *name,
                        uint64_t incarnation, const char *zone,
                        log_done_fn *done, void *ctx);
void departures_apply (struct state *state, struct jc_str data);
void departures_publish (struct state *state);
void departures_send_snapshot (struct state *state, struct jc_rpc_conn *conn);

/* timer: timers of the modules.  */
void timer_start_once (struct state *state, ev_timer *timer, int64_t delay_ms);

/* gauges: the metrics of this instance.  */
void gauges_print (struct state *state, GString *out);

/* coldgrants: grants that let one entry instance send to a cold endpoint.  */
void coldgrants_start (struct state *state);
void coldgrants_stop (struct state *state);
void coldgrants_request (struct state *state,
                         const struct rpc_endpoint *endpoint);
void coldgrants_apply (struct state *state, struct jc_str data);
void coldgrants_send_granted (struct state *state, struct jc_rpc_conn *conn);
void coldgrants_reported (struct state *state,
                          const struct rpc_endpoint *endpoint);
void coldgrants_readmit (struct state *state, const GPtrArray *zones);

/* limits: slots of the limits that endpoints name, leased to entry
   instances.  */
void limits_start (struct state *state);
void limits_stop (struct state *state);
void limits_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);
void limits_apply (struct state *state, struct jc_str data);
void limits_gather (struct state *state, const GArray *changes);

/* quotas: slots of workspaces' quotas, leased to entry instances.  */
void quotas_start (struct state *state);
void quotas_stop (struct state *state);
void quotas_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);
void quotas_report_lease (struct state *state, const char *workspace,
                          unsigned int slot,
                          const struct rpc_limit_change *change);
void quotas_cleanup (struct state *state, bool is_leader, GArray *changes);

/* crashes: endpoints that crash, and the requests that they crash under.  */
void crashes_start (struct state *state);
void crashes_stop (struct state *state);
void crashes_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                            const struct rpc_packet *packet);
void crashes_send_snapshot (struct state *state, struct jc_rpc_conn *conn);
void crashes_publish (struct state *state);
void crashes_apply (struct state *state, struct jc_str data);

/* crashproofs: which of the reported crashes were none.  */
void crashproofs_start (struct state *state);
void crashproofs_stop (struct state *state);
void crashproofs_schedule (struct state *state);
void crashproofs_apply (struct state *state, struct jc_str data);

/* versions: the software versions of endpoints.  */
void versions_start (struct state *state);
void versions_stop (struct state *state);
void versions_propose (struct state *state, const struct jc_endpoint *endpoint);
void versions_send_endpoints (struct state *state, struct jc_rpc_conn *conn,
                              const GPtrArray *endpoints);
void versions_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                             const struct rpc_packet *packet);
void versions_conn_down (struct state *state, struct jc_rpc_conn *conn);
void versions_publish (struct state *state);
void versions_apply (struct state *state, uint64_t position,
                     struct jc_str data);

/* starts: the software versions that began streams.  */
void starts_start (struct state *state);
void starts_stop (struct state *state);
void starts_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet);

/* presence: the entry instances that report to this instance, and their
   directory for callers.  */
void presence_start (struct state *state);
void presence_stop (struct state *state);
void presence_send_snapshot (struct state *state, struct jc_rpc_conn *conn);
void presence_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                             const struct rpc_packet *packet);
void presence_list_addresses (struct state *state,
                              const struct jc_caller_location *location,
                              GPtrArray *addresses);
bool presence_pick_instance (const struct state *state,
                             const struct rpc_endpoint *endpoint,
                             struct rpc_grant *grant);
unsigned int presence_count (const struct state *state);
unsigned int presence_count_connected (const struct state *state,
                                       const char *region);

/* submit: configuration changes that operators submit.  */
void submit_handle (struct state *state, struct jc_rpc_conn *conn,
                    const struct rpc_packet *packet);

/* subscribers: entry instances that receive the configuration.  */
void subscribers_add (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet);
void subscribers_remove (struct state *state, struct jc_rpc_conn *conn);
void subscribers_push (struct state *state);

#endif
