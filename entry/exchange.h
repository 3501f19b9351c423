/* What the files of a request's passage share; not for others.  */

#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/router.h"
#include "serve/relay.h"
#include "serve/sse.h"

enum
{
  EXCHANGE_HTTP_OK = 200,
  EXCHANGE_HEADERS_MAX = JC_HEAD_FIELDS_MAX + 2
};

/* Headers that one entry instance sets for another: the kind of its own
   failure, whether the request may have run, and at how many endpoints the
   receiver may run it.  */
#define HEADER_ERROR "X-Jaycove-Error"
#define HEADER_RUN "X-Jaycove-Run"
#define HEADER_ENDPOINTS "X-Jaycove-Endpoints"

/* A request under way.  REQ lives as long as this.  TABLE is the one that
   ROUTE is of.  PLACE names where the current attempt goes, in
   PLACE_ZONE of PLACE_REGION, AWAY that it is another entry instance.  AVOIDED
   holds other regions that an attempt did not reach, or that refused.  HEAD is
   that of the answer's first attempt that the caller was shown, or of the last
   one.  KEPT and KEPT_BODY are an endpoint's own failure, for the case that no
   further attempt does better; KEPT_AWAY tells that it came by another
   instance. BURST holds events to be passed on together, HELD comments until an
   event follows; NUMBERED tells that the attempt sent an event with a number,
   STEP that BURST brings the answer forward.  LARGE tells that the body is
   larger than usual.  WAITING tells that its turn has not come; it waits until
   WAIT_UNTIL_MS at the latest.  FIRST_MS is how long the first event took,
   GAP_MS the longest pause after it, EVENT_MS when the last one came.  */
struct exchange
{
  struct hosts *hosts;
  struct jc_http_req *req;
  bool handed_over;
  struct jc_routetable *routes;
  const struct jc_hostroute *route;
  const char *service;
  struct jc_request_info request_info;
  struct jc_demand demand;
  struct jc_relay relay;
  int64_t started_ms;
  GPtrArray *tried;
  GPtrArray *avoided_regions;

  struct jc_httpc_call *call;
  struct jc_engine_run *engine_run;
  char *target;
  const char *target_zone;
  const char *target_region;
  bool remote;
  bool any_sent;
  int64_t attempt_started_ms;

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
  int64_t max_gap_ms;
};

/* In passage.c.  */
const char *exchange_id (const struct exchange *exchange);
void exchange_answer_headers (const struct exchange *exchange,
                              struct jc_http_header *headers);
void exchange_end_engine_run (struct exchange *exchange,
                              enum jc_engine_outcome how);
void exchange_attempt_ended (struct exchange *exchange,
                             const struct jc_relay_result *end);

struct balancer_query exchange_balancer_query (struct exchange *exchange,
                                               int64_t now_ms);
void exchange_attempt (struct exchange *exchange);

/* In attempt.c.  */
void attempt_start (struct exchange *exchange, const struct choice *choice);

/* In answer.c.  */
extern const struct jc_httpc_call_ops answer_call_ops;

#endif
