/* An entry instance: what its tasks share.  */

#ifndef ENTRY_H
#define ENTRY_H

#include <ev.h>

#include "base/metrics.h"
#include "conf/config.h"
#include "ledger/copy.h"
#include "member/endpoints.h"
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
  struct jc_endpoints *members;
  struct jc_regions *regions;
  struct jc_metrics *metrics;
  struct jc_policy policy;
  struct admission *admission;
  GPtrArray *outgoing_handovers;
  GPtrArray *incoming_handovers;
  struct jc_httpc *httpc;
  struct jc_httpd *callers_listener;
  struct jc_httpd *operators_listener;
  struct jc_rpc *rpc;
  struct membership_task *membership;
  struct router *router;
  struct jc_copies *held_copies;
  unsigned int in_flight;
  bool draining;
  int64_t drain_started_ms;
  int64_t quiesced_ms;
  ev_timer drain_timer;
};

/* Work on a caller's request, attached to it by jc_http_set_data.  GONE says
   that the caller closed its connection and the work must end; ROOM, which
   may be NULL, that it took what a stream had buffered.  */
struct handler_class
{
  void (*caller_closed) (void *work);
  void (*caller_writable) (void *work);
};

/* What a request asks for once its head was admitted.  PATH is the
   endpoint's; DEADLINE_MS is in monotonic ms.  */
struct request_spec
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
  bool use_slow_endpoint;
};

/* admission: limits of products, and requests that wait for an endpoint.  */
void admission_start (struct entry *entry);
void admission_stop (struct entry *entry);
void admission_offer (struct entry *entry, const struct request_spec *order,
                      struct ticket *ticket);
void admission_release (struct entry *entry, struct ticket *ticket);
bool admission_take_retry (struct entry *entry, const struct ticket *ticket);
int64_t admission_backlog_ms (struct entry *entry, const struct ticket *ticket);
int64_t admission_completion_ms (struct entry *entry,
                                 const struct ticket *ticket);
int64_t admission_service_ms (struct entry *entry, const struct ticket *ticket);
const struct jc_limit *admission_limit (const struct entry *entry,
                                        const char *product);
struct jc_limits *admission_limits (struct entry *entry);

/* explain: why a request would go where.  */
void explain_handle (struct entry *entry, struct jc_http_req *req);

/* request: idempotent requests.  */
void request_start (struct entry *entry, const struct request_spec *order);

/* keyed: requests that must run at most once.  */
void keyed_start (struct entry *entry, const struct request_spec *order);
void keyed_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* handover: attempts handed over by or to another region.  */
void handover_start (struct entry *entry);
void handover_stop (struct entry *entry);
void handover_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                             const struct rpc_packet *packet);
void handover_conn_down (struct entry *entry, struct jc_rpc_conn *conn);

/* zone: membership shared between entry instances.  */
void membership_start (struct entry *entry);
void membership_stop (struct entry *entry);
void membership_conn_up (struct entry *entry, struct jc_rpc_conn *conn);
void membership_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                               const struct rpc_packet *packet);
void membership_conn_down (struct entry *entry, struct jc_rpc_conn *conn);
enum jc_status
membership_apply_announcement (struct entry *entry,
                               const struct rpc_endpoint *announcement);
void membership_drain (struct entry *entry);

/* drain: the end of the process without a cut.  */
void drain_timer_start (struct entry *entry);
void drain_start (struct entry *entry);
void drain_handle (struct entry *entry, struct jc_http_req *req);

void announce_handle (struct entry *entry, struct jc_http_req *req);
void directory_handle (struct entry *entry, struct jc_http_req *req);
void configsync_conn_up (struct entry *entry, struct jc_rpc_conn *conn);
void configsync_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                               const struct rpc_packet *packet);
struct jc_rpc_conn *configsync_state_conn (struct entry *entry);
const char *http_bearer_token (const struct jc_http_req *req);

#endif
