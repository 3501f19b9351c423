/* What the files of a request's passage share; not for others.  */

#ifndef ENTRY_PASSAGE_H
#define ENTRY_PASSAGE_H

#include "entry/hosts.h"
#include "serve/relay.h"
#include "serve/sse.h"

enum
{
  PASSAGE_HTTP_OK = 200,
  PASSAGE_HEADERS_MAX = JC_HEAD_FIELDS_MAX + 2
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
struct passage
{
  struct hosts *hosts;
  struct jc_http_req *req;
  bool guest;
  struct jc_routetable *table;
  const struct jc_hostroute *route;
  const char *service;
  struct jc_ask ask;
  struct jc_demand demand;
  struct jc_relay relay;
  int64_t started_ms;
  GPtrArray *tried;
  GPtrArray *avoided;

  struct jc_call *call;
  struct jc_engine_run *run;
  char *place;
  const char *place_zone;
  const char *place_region;
  bool away;
  bool arrived;
  int64_t attempt_ms;

  struct jc_head head;
  struct jc_signs signs;
  bool heard;
  bool streaming;
  bool out_of_order;
  bool large;
  GString *body;
  struct jc_head kept;
  GString *kept_body;
  bool kept_away;
  struct jc_sse sse;
  GString *burst;
  GString *held;
  bool numbered;
  bool step;
  bool paused;
  bool waiting;
  int64_t wait_until_ms;
  int64_t first_ms;
  int64_t event_ms;
  int64_t gap_ms;
};

/* In passage.c.  */
const char *passage_id (const struct passage *passage);
void passage_headers (const struct passage *passage,
                      struct jc_http_header *headers);
void passage_run_over (struct passage *passage, enum jc_engine_end how);
void passage_step (struct passage *passage, const struct jc_relay_end *end);

struct choice_query passage_query (struct passage *passage, int64_t now_ms);
void passage_attempt (struct passage *passage);

/* In attempt.c.  */
void attempt_start (struct passage *passage, const struct choice *choice);

/* In answer.c.  */
extern const struct jc_call_ops answer_ops;

#endif
