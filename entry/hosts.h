/* Routing by hosts: what its tasks share.  */

#ifndef ENTRY_HOSTS_H
#define ENTRY_HOSTS_H

#include "conf/lag.h"
#include "conf/orders.h"
#include "entry/entry.h"
#include "serve/budget.h"
#include "serve/dialect.h"
#include "serve/engine.h"
#include "serve/offered.h"
#include "serve/paths.h"

enum
{
  /* Another entry instance that was heard of this long ago counts as there:
     a few times the interval at which they are told of.  */
  HOSTS_FRESH_MS = 3000
};

struct passage;

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
  const struct jc_dialect *dialect;
  struct jc_orders *orders;
  struct jc_routetable *routes;
  GHashTable *readmitted;
  struct jc_members *endpoints;
  struct jc_engines *engines;
  struct jc_budgets *budgets;
  struct jc_paths *paths;
  GHashTable *offered;
  GHashTable *answer_sizes;
  GHashTable *neighbours;
  GHashTable *sources;
  GPtrArray *rooms;
  GHashTable *state_names;
  GHashTable *fellows;
  /* See member/passed.h.  */
  GHashTable *passed_on;
  char *handover_address;
  struct jc_httpd *handover;
  struct jc_httpd *ready;
  ev_timer tick;
  ev_timer loads_tick;
  GQueue waiting;
  int64_t told_ms;
  int64_t loads_told_ms;
  int64_t loads_full_ms;
  int64_t heard_ms;
  int64_t fleet_asked_ms;
  struct jc_lag lag;
  struct jc_rpc_conn *source;
  int64_t started_ms;
};

/* Another entry instance, as a state instance told of it last at
   HEARD_MS.  */
struct neighbour
{
  struct rpc_presence said;
  int64_t heard_ms;
};

/* hosts: the tasks' start and end.  */
bool hosts_wanted (const struct entry *entry);
enum jc_status hosts_start (struct entry *entry);
void hosts_stop (struct entry *entry);
void hosts_drain (struct entry *entry);
int64_t hosts_drain_left_ms (const struct entry *entry);
void hosts_reload (void *ctx, const void *settings);
extern const struct jc_rpc_class hosts_rpc_class;

/* following: what state instances tell.  */
void following_seeds (struct hosts *hosts, const GPtrArray *seeds);
void following_up (struct hosts *hosts, struct jc_rpc_conn *conn);
void following_down (struct hosts *hosts, const struct jc_rpc_conn *conn);
void following_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                       const struct rpc_packet *packet);
void following_tick (struct hosts *hosts);
void following_report (struct hosts *hosts);
void following_ask_all (struct hosts *hosts, struct jc_rpc_conn *conn);

/* What REGION can do for a service, as told at HEARD_MS.  */
struct region_room
{
  char *region;
  struct rpc_service_room room;
  int64_t heard_ms;
};

/* neighbours: other entry instances and what their regions can do.  */
void neighbours_start (struct hosts *hosts);
void neighbours_stop (struct hosts *hosts);
void neighbours_take (struct hosts *hosts, struct jc_rpc_conn *conn,
                      const struct rpc_entries *entries);
void neighbours_down (struct hosts *hosts, const struct jc_rpc_conn *conn);
const struct rpc_service_room *neighbours_room (const struct hosts *hosts,
                                                const char *region,
                                                const char *service,
                                                int64_t now_ms);
bool neighbours_have_stand_in (const struct hosts *hosts);
void neighbours_expire (struct hosts *hosts, int64_t now_ms);

/* loads: what the instances of a region have at each endpoint.  */
void loads_meet (struct hosts *hosts, const struct rpc_presence *neighbour);
void loads_part (struct hosts *hosts, const char *name);
void loads_tick (struct hosts *hosts);
void loads_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet);

/* What other instances ask at the hand-over's address to learn whether the path
   there is open.  */
#define PATHS_PROBE_TARGET "/.jaycove/reachable"

/* paths: the ways to other availability zones.  */
void paths_unreached (struct hosts *hosts, const struct jc_path_end *end,
                      int64_t begun_ms, const struct jc_call_result *result);
void paths_answered (struct hosts *hosts, const struct jc_path_end *end);
void paths_link (struct hosts *hosts, const struct jc_rpc_conn *conn, bool up);
void paths_tick (struct hosts *hosts);
void paths_list (const struct hosts *hosts, GArray *rows);
void paths_reported (struct hosts *hosts, const char *reporter,
                     const struct rpc_loads *loads);

/* sizes: how large the plain answers of each route are.  */
size_t sizes_usual (const struct hosts *hosts, const char *route);
void sizes_note (struct hosts *hosts, const char *route, size_t size);

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
struct choice_query
{
  const struct jc_hostroute *route;
  const char *service;
  const struct jc_demand *demand;
  const GPtrArray *tried;
  const GPtrArray *avoided;
  bool here_only;
  bool may_wait;
  int64_t now_ms;
};

enum jc_status choice_make (struct hosts *hosts,
                            const struct choice_query *query,
                            struct choice *choice);
void choice_log_cold (const struct hosts *hosts,
                      const struct jc_endpoint *endpoint, const char *id,
                      int64_t now_ms);
void choice_count (struct hosts *hosts, const char *service, int64_t now_ms);
void choice_rooms (struct hosts *hosts, struct rpc_presence *out);

/* waiting: requests whose turn at an engine has not come.  */
void waiting_start (struct hosts *hosts);
void waiting_stop (struct hosts *hosts);
void waiting_add (struct hosts *hosts, struct passage *passage);
void waiting_remove (struct hosts *hosts, struct passage *passage);
void waiting_tick (struct hosts *hosts);

/* passage: one caller's request from its head to its answer.  */
enum jc_status passage_head (struct hosts *hosts, struct jc_http_req *req);
void passage_start (struct hosts *hosts, struct jc_http_req *req, bool guest);
void passage_gone (struct jc_http_req *req);
void passage_room (struct jc_http_req *req);

#endif
