/* An entry instance: what its tasks share.  */

#ifndef ENTRY_H
#define ENTRY_H

#include <ev.h>

#include "base/metrics.h"
#include "conf/config.h"
#include "ledger/copy.h"
#include "member/members.h"
#include "member/regions.h"
#include "net/httpc.h"
#include "net/httpd.h"
#include "net/rpc.h"
#include "serve/limit.h"
#include "serve/policy.h"
#include "serve/queue.h"

/* Everything of the process; each task is owned by one module.  */
struct entry
{
  struct ev_loop *loop;
  const struct jc_entry_settings *settings;
  struct jc_config *config;
  struct jc_members *members;
  struct jc_regions *regions;
  struct jc_metrics *metrics;
  struct jc_policy policy;
  struct admission *admission;
  GPtrArray *handovers;
  GPtrArray *guests;
  struct jc_httpc *httpc;
  struct jc_httpd *callers;
  struct jc_httpd *operators;
  struct jc_rpc *rpc;
  struct zone_task *zone;
  struct hosts *hosts;
  struct jc_copies *copies;
  unsigned int in_flight;
  bool draining;
  int64_t drain_ms;
  int64_t drained_ms;
  ev_timer drain_check;
};

/* Work on a caller's request, attached to it by jc_http_set_data.  GONE says
   that the caller closed its connection and the work must end; ROOM, which
   may be NULL, that it took what a stream had buffered.  */
struct work_class
{
  void (*gone) (void *work);
  void (*room) (void *work);
};

/* What a request asks for once its head was admitted.  PATH is the
   endpoint's; DEADLINE_MS is in monotonic ms.  */
struct work_order
{
  struct jc_http_req *req;
  const struct jc_product *product;
  const struct jc_route *route;
  const char *path;
  int64_t deadline_ms;
};

struct jc_httpd *callers_listen (struct entry *entry);
struct jc_httpd *operators_listen (struct entry *entry);

struct ticket;

/* What the owner of a ticket does: RUN its request, or REFUSE it.  */
struct ticket_class
{
  void (*run) (struct ticket *ticket);
  void (*refuse) (struct ticket *ticket, enum jc_status status,
                  const char *message, int64_t retry_after_ms);
};

/* A request's place at an instance, from its admission to its end.  TO_SLOW
   sends its first attempt to a slow endpoint, where it is done sooner than by
   waiting.  */
struct ticket
{
  const struct ticket_class *klass;
  struct jc_waiter waiter;
  char *service;
  char *model;
  bool running;
  bool to_slow;
};

/* admission: limits of products, and requests that wait for an endpoint.  */
void admission_start (struct entry *entry);
void admission_stop (struct entry *entry);
void admission_offer (struct entry *entry, const struct work_order *order,
                      struct ticket *ticket);
void admission_leave (struct entry *entry, struct ticket *ticket);
bool admission_retry (struct entry *entry, const struct ticket *ticket);
int64_t admission_backlog_ms (struct entry *entry, const struct ticket *ticket);
int64_t admission_here_ms (struct entry *entry, const struct ticket *ticket);
int64_t admission_service_ms (struct entry *entry, const struct ticket *ticket);
const struct jc_limit *admission_limit (const struct entry *entry,
                                        const char *product);
struct jc_limits *admission_limits (struct entry *entry);

/* explain: why a request would go where.  */
void explain_handle (struct entry *entry, struct jc_http_req *req);

/* request: idempotent requests.  */
void request_start (struct entry *entry, const struct work_order *order);

/* keyed: requests that must run at most once.  */
void keyed_start (struct entry *entry, const struct work_order *order);
void keyed_packet (struct entry *entry, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet);

/* handover: attempts handed over by or to another region.  */
void handover_start (struct entry *entry);
void handover_stop (struct entry *entry);
void handover_packet (struct entry *entry, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet);
void handover_down (struct entry *entry, struct jc_rpc_conn *conn);

/* zone: membership shared between entry instances.  */
void zone_start (struct entry *entry);
void zone_stop (struct entry *entry);
void zone_up (struct entry *entry, struct jc_rpc_conn *conn);
void zone_packet (struct entry *entry, struct jc_rpc_conn *conn,
                  const struct rpc_packet *packet);
void zone_down (struct entry *entry, struct jc_rpc_conn *conn);
enum jc_status zone_announced (struct entry *entry,
                               const struct rpc_endpoint *said);
void zone_drain (struct entry *entry);

/* drain: the end of the process without a cut.  */
void drain_watch (struct entry *entry);
void drain_start (struct entry *entry);
void drain_handle (struct entry *entry, struct jc_http_req *req);

void announce_handle (struct entry *entry, struct jc_http_req *req);
void directory_handle (struct entry *entry, struct jc_http_req *req);
void follower_up (struct entry *entry, struct jc_rpc_conn *conn);
void follower_packet (struct entry *entry, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet);
struct jc_rpc_conn *follower_state_conn (struct entry *entry);
const char *http_bearer (const struct jc_http_req *req);

#endif
