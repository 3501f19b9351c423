/* An exchange: shared by exchange.c, attempt.c, answer.c and waitqueue.c, and
   private to them.  */

#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/router.h"
#include "serve/fingerprint.h"
#include "serve/relay.h"
#include "serve/sse.h"

enum
{
  EXCHANGE_HTTP_OK = 200,
  EXCHANGE_HEADERS_MAX = JC_HEAD_FIELDS_MAX + 2
};

/* Headers between entry instances: the kind of the sender's own failure,
   whether the request may have run, and how many endpoints the receiver may
   try.  */
#define HEADER_ERROR "X-Jaycove-Error"
#define HEADER_RUN "X-Jaycove-Run"
#define HEADER_ENDPOINTS "X-Jaycove-Endpoints"

/* A request in progress.  REQ lives at least as long as this.  HANDED_OVER
   means that another entry instance sent it.  ROUTES is a reference to the
   table that ROUTE belongs to.  TRIED holds the names of the targets of all
   attempts, AVOIDED_REGIONS other regions that an attempt did not reach or that
   refused.  TARGET_NAME, in TARGET_ZONE of TARGET_REGION, is where the current
   attempt goes; REMOTE means that it is an entry instance of another region.
   TARGET_INCARNATION is that of the endpoint.  ANY_SENT means that some attempt
   sent the request.  SEND_NUMBER is that of the current attempt for
   jc_backpressure_note_answer.  ANSWER_HEAD is that of
   the first attempt whose answer the caller was shown, or of the last attempt.
   FALLBACK_HEAD and FALLBACK_BODY are an endpoint's own failure, which the
   caller gets if no further attempt does better; FALLBACK_REMOTE means that it
   came through another instance.  BATCH holds events to forward together,
   HELD_COMMENTS comments until an event follows.  HAS_EVENT_IDS means that the
   attempt sent an event with an id, PROGRESSED that BATCH advances the answer.
   OVERSIZED means that the body is larger than usual.  QUEUED means that it is
   in the wait queue, where it stays until WAIT_UNTIL_MS at the latest.
   FIRST_EVENT_MS is the time from the start to the first event, LAST_EVENT_MS
   when the last event came, ATTEMPT_FIRST_EVENT_MS when the first one of the
   current attempt came, 0 for not yet, BROKEN_OFF that an endpoint broke off an
   attempt that had only begun, MAX_GAP_MS the longest pause between two
   events.  */
struct exchange
{
  struct router *router;
  struct jc_http_req *req;
  bool handed_over;
  struct jc_routetable *routes;
  const struct jc_hostroute *route;
  const char *service;
  struct jc_request_info request_info;
  struct jc_demand demand;
  struct jc_fingerprints fingerprints;
  struct jc_relay relay;
  int64_t started_ms;
  GPtrArray *tried;
  GPtrArray *avoided_regions;

  struct jc_httpc_call *call;
  struct jc_engine_run *engine_run;
  char *target_name;
  const char *target_zone;
  const char *target_region;
  bool remote;
  bool any_sent;
  int64_t attempt_started_ms;
  uint64_t send_number;
  uint64_t target_incarnation;

  struct jc_head answer_head;
  struct jc_answer_info answer_info;
  bool head_received;
  bool streaming;
  bool has_event_gap;
  bool oversized;
  GString *answer_body;
  struct jc_head fallback_head;
  GString *fallback_body;
  bool fallback_remote;
  struct jc_sse sse;
  GString *batch;
  GString *held_comments;
  bool has_event_ids;
  bool progressed;
  bool paused;
  bool queued;
  int64_t wait_until_ms;
  int64_t first_event_ms;
  int64_t last_event_ms;
  int64_t attempt_first_event_ms;
  bool broken_off;
  int64_t max_gap_ms;
};

/* In exchange.c.  */
const char *exchange_id (const struct exchange *exchange);
void exchange_answer_headers (const struct exchange *exchange,
                              struct jc_http_header *headers);
void exchange_end_engine_run (struct exchange *exchange,
                              enum jc_engine_outcome outcome);
void exchange_attempt_ended (struct exchange *exchange,
                             const struct jc_relay_result *result);

struct balancer_query exchange_balancer_query (struct exchange *exchange,
                                               int64_t now_ms);
void exchange_attempt (struct exchange *exchange);

/* In attempt.c.  */
void attempt_start (struct exchange *exchange,
                    const struct balancer_target *target);

/* In answer.c.  */
extern const struct jc_httpc_call_ops answer_call_ops;

#endif
