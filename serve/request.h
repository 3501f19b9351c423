/* An idempotent request: its attempts, retries and answer.  */

#ifndef JC_REQUEST_H
#define JC_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffers.h"
#include "base/status.h"
#include "base/str.h"
#include "serve/sse.h"

enum
{
  JC_REQUEST_ATTEMPTS_MAX = 3,
  JC_REQUEST_DIGEST_BYTES = 32
};

/* Where an attempt is sent.  FIRST_BYTE_PEAK_MS is the longest recent time to
   the first byte there, 0 if unknown.  */
struct jc_attempt_target
{
  const char *name;
  bool is_remote;
  int64_t first_byte_peak_ms;
};

/* An attempt to start.  The limits are in ms from now; RESUME_FROM is the
   number of events that the caller has.  NEW_CONNECTION asks for a connection
   that was not used before.  */
struct jc_attempt
{
  uint64_t id;
  struct jc_attempt_target target;
  int64_t first_byte_limit_ms;
  int64_t total_limit_ms;
  uint64_t resume_from;
  bool new_connection;
};

/* How an attempt ended.  STATUS is JC_OK if the answer was received to its end.
   SENT is false only if no byte can have reached an endpoint, SENT_AGAIN true
   if the answer is to the second time that bytes were sent.  LENGTH_KNOWN is
   true if the answer had a length or chunk framing, so that truncation is
   detected.  */
struct jc_attempt_end
{
  enum jc_status status;
  bool sent;
  bool sent_again;
  bool length_known;
  const char *message;
};

struct jc_request;

/* Operations that a request calls.  PICK sets TARGET, or returns a status that
   says why there is none.  MAY_RETRY takes one retry from the budget.
   NOTE_FAILURE reports that NAME could not be reached or, if the request was
   SENT, sent no first byte.  BEGIN and WRITE stream to the caller.  The last
   call is one of ANSWER, END and FAIL: ANSWER passes a complete answer, END
   closes a complete stream, FAIL reports an error, as an event if BEGIN was
   called.  */
struct jc_request_ops
{
  enum jc_status (*pick) (void *ctx, const struct jc_request *request,
                          int64_t now_ms, struct jc_attempt_target *target);
  bool (*may_retry) (void *ctx, int64_t now_ms);
  void (*start) (void *ctx, const struct jc_attempt *attempt);
  void (*cancel) (void *ctx, uint64_t attempt);
  void (*note_failure) (void *ctx, const char *name, bool sent, int64_t now_ms);
  void (*begin) (void *ctx, int http, const char *content_type);
  void (*write) (void *ctx, struct jc_str data);
  void (*answer) (void *ctx, int http, const char *content_type,
                  struct jc_str body);
  void (*end) (void *ctx);
  void (*fail) (void *ctx, enum jc_status status, const char *message);
};

struct jc_request
{
  const struct jc_request_ops *ops;
  void *ctx;
  int64_t deadline_ms;
  unsigned int attempts;
  uint64_t current_attempt;
  GPtrArray *tried_names;
  char *message;
  bool may_have_run;
  bool head_received;
  bool streaming;
  bool answer_begun;
  bool end_seen;
  bool diverged;
  bool ended;
  bool refused;
  int http;
  char *content_type;
  GString *body;
  struct jc_buffered buffered;
  struct jc_sse sse;
  uint64_t delivered_events;
  uint64_t replay_position;
  unsigned char delivered_digest[JC_REQUEST_DIGEST_BYTES];
  unsigned char replay_digest[JC_REQUEST_DIGEST_BYTES];
};

void jc_request_init (struct jc_request *request,
                      const struct jc_request_ops *ops, void *ctx,
                      int64_t deadline_ms);
void jc_request_clear (struct jc_request *request);
void jc_request_start (struct jc_request *request, int64_t now_ms);
bool jc_request_is_refusal_header (struct jc_str name, struct jc_str value);
bool jc_request_is_refusal (bool says_refused, int http);
void jc_request_note_refused (struct jc_request *request, uint64_t attempt);
void jc_request_head (struct jc_request *request, uint64_t attempt, int http,
                      const char *content_type, bool resumed, int64_t now_ms);
void jc_request_data (struct jc_request *request, uint64_t attempt,
                      struct jc_str data, int64_t now_ms);
void jc_request_done (struct jc_request *request, uint64_t attempt,
                      const struct jc_attempt_end *end, int64_t now_ms);
void jc_request_caller_left (struct jc_request *request);
int64_t jc_attempt_first_byte_limit_ms (unsigned int attempt, int64_t peak_ms,
                                        int64_t time_left_ms);
bool jc_request_is_resume_header (struct jc_str name);
uint64_t jc_request_parse_resume_from (struct jc_str value);
bool jc_request_tried (const struct jc_request *request, const char *name);

#endif
