/* An entry instance: the state of the process and the interfaces of its
   modules.  All of them run on the event loop.  */

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

/* The state of the process.  ADMISSION, MEMBERSHIP and ROUTER are owned by the
   modules of these names and NULL while those are not started; ROUTER stays
   NULL if requests are not routed by host.  CONFIG is the configuration in
   force, of version 0 before the first.  HELD_COPIES, the copies of ledgers
   kept for their homes, is NULL before the first.  IN_FLIGHT counts the
   requests and incoming hand-overs under way.  DRAIN_STARTED_MS and
   QUIESCED_MS, when the drain found nothing left to do, are monotonic.  */
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

/* Callbacks of a handler of callers' requests for events of the caller's
   connection.  The handler's structure, WORK, is attached to the HTTP request
   by jc_http_set_data and begins with a pointer to these callbacks.
   CALLER_CLOSED: the connection is closed and the HTTP request no longer
   valid.  CALLER_WRITABLE, which may be NULL: the caller has read what a stream
   had buffered for it.  */
struct handler_class
{
  void (*caller_closed) (void *work);
  void (*caller_writable) (void *work);
};

/* A request as resolved by the configuration in force.  PATH is the path and
   query for the endpoint, borrowed from REQ; DEADLINE_MS is monotonic.  */
struct request_spec
{
  struct jc_http_req *req;
  const struct jc_product *product;
  const struct jc_route *route;
  const char *path;
  int64_t deadline_ms;
};

/* callers, operators: the HTTP listeners.  */
struct jc_httpd *callers_listen (struct entry *entry);
struct jc_httpd *operators_listen (struct entry *entry);
const char *http_bearer_token (const struct jc_http_req *req);

struct ticket;

/* What the owner of a ticket does once admission has decided: RUN its request,
   or REFUSE it with STATUS and MESSAGE; RETRY_AFTER_MS is how long the caller
   should wait before it tries again.  At most one of them is called, once.  */
struct ticket_class
{
  void (*run) (struct ticket *ticket);
  void (*refuse) (struct ticket *ticket, enum jc_status status,
                  const char *message, int64_t retry_after_ms);
};

/* The admission of one request to the endpoints of a service and model, held
   from admission_offer to admission_release.  RUNNING means that the request
   counts against its product's concurrency.  USE_SLOW_ENDPOINT sends the first
   attempt to a slow endpoint, where it finishes sooner than by waiting.  */
struct ticket
{
  const struct ticket_class *klass;
  struct jc_waiter waiter;
  char *service;
  char *model;
  bool running;
  bool use_slow_endpoint;
};

/* admission: limits of products, and queues of requests that wait for an
   endpoint.  */
void admission_start (struct entry *entry);
void admission_stop (struct entry *entry);
void admission_offer (struct entry *entry, const struct request_spec *spec,
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

/* explain: how a request would be routed, and why.  */
void explain_handle (struct entry *entry, struct jc_http_req *req);

/* request: idempotent requests, which may be retried.  */
void request_start (struct entry *entry, const struct request_spec *spec);

/* keyed: requests with an Idempotency-Key, which run at most once.  */
void keyed_start (struct entry *entry, const struct request_spec *spec);
void keyed_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                          const struct rpc_packet *packet);

/* handover: attempts handed over by or to another region.  */
void handover_start (struct entry *entry);
void handover_stop (struct entry *entry);
void handover_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                             const struct rpc_packet *packet);
void handover_conn_down (struct entry *entry, struct jc_rpc_conn *conn);

/* membership: what entry instances tell each other about themselves and their
   endpoints.  */
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

/* drain: graceful shutdown.  */
void drain_timer_start (struct entry *entry);
void drain_start (struct entry *entry);
void drain_handle (struct entry *entry, struct jc_http_req *req);

/* announce: announcements of endpoints and the list of entry instances.  */
void announce_handle (struct entry *entry, struct jc_http_req *req);
void directory_handle (struct entry *entry, struct jc_http_req *req);

/* configsync: the configuration, as state instances send it.  */
void configsync_conn_up (struct entry *entry, struct jc_rpc_conn *conn);
void configsync_handle_packet (struct entry *entry, struct jc_rpc_conn *conn,
                               const struct rpc_packet *packet);
struct jc_rpc_conn *configsync_state_conn (struct entry *entry);

#endif
