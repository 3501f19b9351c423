/* An exchange: shared by exchange.c, attempt.c, answer.c, answerhead.c,
   heads.c, holding.c, resumptions.c, stopping.c and versionsearch.c, and
   private to them.  */

#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "base/buffers.h"
#include "entry/callerkeys.h"
#include "entry/router.h"
#include "serve/fingerprint.h"
#include "serve/peersilence.h"
#include "serve/relay.h"
#include "serve/sse.h"
#include "serve/statement.h"
#include "serve/waiting.h"

enum
{
  EXCHANGE_HTTP_OK = 200,
  /* A stream that pauses for this many times the gap that its route allows is
     resumed at another endpoint.  */
  ATTEMPT_GAP_FACTOR = 3,
  EXCHANGE_HEADERS_MAX = JC_HEAD_FIELDS_MAX + 3,
  /* Bytes that wait for a slow caller before the answer is read no further.  */
  BUFFERED_BYTES_MAX = 256 * 1024,
  /* 16 hexadecimal digits.  */
  EXCHANGE_SOFTWARE_TEXT = 17
};

/* Headers between entry instances: the kind of the sender's own failure,
   whether the request may have run, how many endpoints the receiver may try and
   whether it may repeat the request (jc_relay_limit), and at which software
   version a stream may go on.  */
#define HEADER_ERROR "X-Jaycove-Error"
#define HEADER_RUN "X-Jaycove-Run"
#define HEADER_ENDPOINTS "X-Jaycove-Endpoints"
/* Set where a request goes to another region: the receiver may hand it over
   once more, within that region.  */
#define HEADER_WITHIN_REGION "X-Jaycove-Within-Region"
/* Hash, in hexadecimal, of the software version that began the stream.  */
#define HEADER_SOFTWARE "X-Jaycove-Software"

/* A request in progress, in the queue EXCHANGES of its router by LINK.  REQ
   lives at least as long as this.  HANDED_OVER
   means that another entry instance sent it, ENDPOINTS_ONLY that it goes to
   none from here, WATCHED that it ends if that instance is cut off, as
   SENDER_SILENCE tells.  ROUTES is a reference to the table that ROUTE and
   WORKSPACE belong to; WORKSPACE is NULL on an anonymous route, without
   workspaces, and if only the instance that handed the request over knows it.
   KEY_NOTE tells endpoints and other instances of the workspace, KEY_REFUSED
   that the instance which the current attempt went to knows no such key.
   TRIED holds the names of the targets of all attempts, AVOIDED_REGIONS other
   regions that an attempt did not reach or that refused.  TARGET_NAME, in
   TARGET_ZONE of TARGET_REGION, is where the current attempt goes; REMOTE means
   that it is an entry instance of another region. ANSWER_TOKENS are those of
   the whole answer.  TARGET_INCARNATION, TARGET_TAG and TARGET_SOFTWARE are
   those of the endpoint as it was known when the attempt began; the process
   that answers has been the same since PROCESS_SINCE_US.  ANY_SENT means that
   some attempt may have sent the request to an endpoint, REFUSED_AT_HEAD that
   the instance which the current attempt went to refused it before that.
   HAS_SHARE means that the current attempt counts for what this instance has
   at its endpoint.  SEND_NUMBER is that of the current attempt for
   jc_backpressure_note_answer. STATEMENT is what the answer to the
   current attempt states about whether the request ran. ANSWER_HEAD is that of
   the first attempt whose answer the caller was shown, or of the last attempt.
   FALLBACK_HEAD and FALLBACK_BODY are an endpoint's own failure, which the
   caller gets if no further attempt does better; FALLBACK_REMOTE means that it
   came through another instance.  BATCH holds events to forward together,
   HELD_COMMENTS comments until an event follows. ENDS_UNNUMBERED means that the
   last event of BATCH has no id, CONTINUES that the stream had begun before the
   current attempt. HAS_EVENT_IDS means that the attempt sent an event with an
   id, PROGRESSED that BATCH advances the answer.  BODY_BYTES is how much of a
   plain body the attempt brought, BUFFERED what the answers take.  WAITER is
   its place in the wait queue; a prompt that would stall streams waits there
   until WAIT_UNTIL_MS at the latest. FIRST_EVENT_MS is the time from the start
   to the first event, LAST_EVENT_MS when the last event came,
   ATTEMPT_FIRST_EVENT_MS when the first one of the current attempt came, 0 for
   not yet, BROKEN_OFF that an endpoint broke off an attempt that had only
   begun, MAX_GAP_MS the longest pause between two events. STREAM identifies the
   stream, 0 if its caller gave no id, SOFTWARE is the version that began it, 0
   while none has or it isn't certain. SEARCH is the search for it that is under
   way, made since SEARCH_STARTED_MS and, if there is none, again at
   SEARCH_AGAIN_MS until SEARCH_ENDED. UNPROVEN_ATTEMPT means that the events of
   the current attempt, which resumes a stream, aren't shown yet to be of
   SOFTWARE: they stay in BATCH since HELD_SINCE_MS, and if all have come,
   HELD_RESULT is the result of the attempt.  PASSED_EVENT is the last event
   passed on to the caller, -1 for none.  QUOTA_WAIT is the wait for the owner
   of the workspace's quota, which QUOTA_REFUSED the request; it may then come
   back after QUOTA_RETRY_MS.  CHARGED means that the next time it is sent is
   paid for, with CHARGED_UNITS that were asked for at CHARGED_MS, CHARGE_USED
   that an attempt which may use that is under way, CHARGE_WAITS that it counts
   only once the request, which waits, is sent.  KIND is that of WAITER.  */
struct exchange
{
  GList link;
  struct router *router;
  struct jc_http_req *req;
  bool handed_over;
  bool endpoints_only;
  bool watched;
  struct jc_peersilence sender_silence;
  struct jc_routetable *routes;
  const struct jc_hostroute *route;
  const struct jc_workspace *workspace;
  struct jc_key_note key_note;
  bool key_refused;
  const char *service;
  struct jc_request_info request_info;
  struct jc_demand demand;
  unsigned int answer_tokens;
  struct jc_fingerprints fingerprints;
  struct jc_relay relay;
  int64_t started_ms;
  GPtrArray *tried;
  GPtrArray *avoided_regions;

  struct jc_httpc_call *call;
  struct jc_engine_run *engine_run;
  bool has_share;
  char *target_name;
  char *target_address;
  const char *target_zone;
  const char *target_region;
  bool remote;
  bool any_sent;
  bool refused_at_head;
  int64_t attempt_started_ms;
  uint64_t send_number;
  uint64_t target_incarnation;
  uint64_t target_tag;
  uint64_t target_software;
  int64_t process_since_us;
  int64_t process_heard_us;

  struct jc_head answer_head;
  struct jc_answer_info answer_info;
  enum jc_statement statement;
  bool head_received;
  bool streaming;
  bool has_event_gap;
  size_t body_bytes;
  struct jc_buffered buffered;
  GString *answer_body;
  struct jc_head fallback_head;
  GString *fallback_body;
  bool fallback_remote;
  struct jc_sse sse;
  GString *batch;
  GString *held_comments;
  bool has_event_ids;
  bool ends_unnumbered;
  bool continues;
  bool progressed;
  bool paused;
  char *kind;
  struct jc_waiter_slot waiter;
  int64_t wait_until_ms;
  int64_t first_event_ms;
  int64_t last_event_ms;
  int64_t attempt_first_event_ms;
  bool broken_off;
  int64_t max_gap_ms;

  uint64_t stream;
  uint64_t software;
  struct search *search;
  bool search_ended;
  int64_t search_started_ms;
  int64_t search_again_ms;
  bool unproven_attempt;
  bool held_done;
  int64_t held_since_ms;
  struct jc_relay_result held_result;
  int64_t passed_event;
  char software_text[EXCHANGE_SOFTWARE_TEXT];

  struct quota_wait *quota_wait;
  bool quota_refused;
  bool charged;
  bool charge_used;
  bool charge_waits;
  double charged_units;
  int64_t charged_ms;
  int64_t quota_retry_ms;
};

/* In exchange.c.  */
const char *exchange_id (const struct exchange *exchange);
unsigned int exchange_priority (const struct exchange *exchange);
void exchange_end_engine_run (struct exchange *exchange,
                              enum jc_engine_outcome outcome);
void exchange_attempt_ended (struct exchange *exchange,
                             const struct jc_relay_result *result);

struct balancer_query exchange_balancer_query (struct exchange *exchange,
                                               int64_t now_ms);
bool exchange_attempt (struct exchange *exchange);
bool exchange_may_wait (const struct exchange *exchange, int64_t now_ms);

/* In copies.c.  */
void copies_find (struct exchange *exchange, int64_t now_ms);
const char *copies_source (struct exchange *exchange,
                           const struct jc_endpoint *endpoint, int64_t now_ms);

/* In heads.c.  */
const struct jc_hostroute *heads_find_route (const struct router *router,
                                             const struct jc_http_req *req,
                                             bool handed_over,
                                             struct jc_key_verdict *verdict,
                                             enum jc_status *status);
void heads_log_refused (const struct router *router,
                        const struct jc_http_req *req, enum jc_status status);
uint64_t heads_split_number (const struct jc_request_info *info);
int64_t heads_limit_ms (const struct jc_hostroute *route,
                        const struct jc_request_info *info);

/* In outcome.c.  */
void outcome_save_fallback (struct exchange *exchange);
void outcome_fail (struct exchange *exchange, enum jc_status status);
void outcome_forward_answer (struct exchange *exchange, const char *outcome);
void outcome_give_up (struct exchange *exchange, enum jc_status status);
void outcome_end_stream (struct exchange *exchange, bool whole);
void exchange_abort (struct exchange *exchange);

/* In fullservices.c.  */
void fullservices_note_end (struct exchange *exchange,
                            const struct jc_relay_result *result);

/* In holding.c.  */
void holding_init (struct exchange *exchange);
bool holding_joins (struct exchange *exchange);
bool holding_allows (struct exchange *exchange);
void holding_add (struct exchange *exchange);
void holding_remove (struct exchange *exchange);
void holding_note_sent (struct exchange *exchange);

/* In stopping.c.  */
enum jc_status stopping_check (struct router *router,
                               const struct jc_hostroute *route,
                               const char *service,
                               const struct jc_demand *demand,
                               int64_t time_left_ms);

/* In guests.c.  */
void guests_begin (struct exchange *exchange);

/* In attempt.c.  */
void attempt_start (struct exchange *exchange,
                    const struct balancer_target *target);

/* In versionsearch.c.  */
enum jc_status versionsearch_run (struct exchange *exchange);
bool versionsearch_wait (struct exchange *exchange);
void versionsearch_forget (struct exchange *exchange);

/* In resumptions.c.  */
void resumptions_init (struct exchange *exchange);
enum jc_status resumptions_prepare (struct exchange *exchange);
bool resumptions_is_bound (const struct exchange *exchange);
bool resumptions_may_move (const struct exchange *exchange);
void resumptions_attempt_started (struct exchange *exchange,
                                  const struct jc_endpoint *endpoint);
void resumptions_note_heard (struct exchange *exchange);
void resumptions_note_begin (struct exchange *exchange);
bool resumptions_may_pass (struct exchange *exchange);
bool resumptions_cannot_prove (const struct exchange *exchange);
void resumptions_attempt_ended (struct exchange *exchange);
void resumptions_forget (struct exchange *exchange);

/* In quotacharges.c.  */
enum jc_status quotas_charge (struct exchange *exchange);
void quotas_note_waits (struct exchange *exchange);
enum jc_status quotas_renew_charge (struct exchange *exchange);
bool quotas_charge_repeat (struct exchange *exchange);
void quotas_note_attempt_ended (struct exchange *exchange, bool not_run);
void quotas_forget (struct exchange *exchange);

/* In sending.c.  */
void sending_begun (void *ctx);
bool sending_may_repeat (void *ctx);

/* In answerhead.c.  */
enum jc_statement exchange_answer_statement (const struct exchange *exchange,
                                             const struct jc_head *head);
void exchange_answer_headers (struct exchange *exchange,
                              struct jc_http_header *headers);

/* In answerbody.c.  */
void answerbody_count (struct exchange *exchange);
void answerbody_pace (struct exchange *exchange);
bool answerbody_take (struct exchange *exchange, struct jc_str data);

/* In answer.c.  */
const char *answer_missing_alternative (struct exchange *exchange,
                                        int64_t now_ms);
void exchange_flush_held (struct exchange *exchange);
extern const struct jc_httpc_call_ops answer_call_ops;

#endif
