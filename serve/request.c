/* An idempotent request.  Each attempt has an id, and only input for the
   current attempt is used.  A stream is forwarded event by event.  After a
   failure another endpoint resumes after the events delivered so far, or
   repeats them byte for byte, in which case they are skipped.  */

#include <sodium.h>
#include <string.h>

#include "serve/request.h"

enum
{
  FIRST_BYTE_LIMIT_MIN_MS = 1000,
  /* Without measurements the first byte may take the time left divided by
     this.  */
  FIRST_BYTE_LIMIT_DIVISOR = 3,
  /* No attempt is started with less time left.  */
  ATTEMPT_MIN_MS = 5,
  ANSWER_BYTES_MAX = 16 * 1024 * 1024
};

/* Initialize REQUEST, which calls OPS with CTX.  DEADLINE_MS is on the
   monotonic clock.  */
void
jc_request_init (struct jc_request *request, const struct jc_request_ops *ops,
                 void *ctx, int64_t deadline_ms)
{
  memset (request, 0, sizeof *request);
  request->ops = ops;
  request->ctx = ctx;
  request->deadline_ms = deadline_ms;
  request->tried_names = g_ptr_array_new_with_free_func (g_free);
  request->body = g_string_new (NULL);
  jc_sse_init (&request->sse);
}

/* Release the resources of REQUEST.  */
void
jc_request_clear (struct jc_request *request)
{
  g_ptr_array_free (request->tried_names, TRUE);
  g_string_free (request->body, TRUE);
  jc_sse_free (&request->sse);
  jc_buffered_set (&request->buffered, 0);
  g_free (request->content_type);
  g_free (request->message);
}

/* Return true if REQUEST made an attempt at the endpoint NAME.  */
bool
jc_request_tried (const struct jc_request *request, const char *name)
{
  for (guint i = 0; i < request->tried_names->len; i++)
    if (strcmp (g_ptr_array_index (request->tried_names, i), name) == 0)
      return true;
  return false;
}

/* Return true if the field NAME with VALUE, in the head of an endpoint's
   answer, says that it did not run the request.  */
bool
jc_request_is_refusal_header (struct jc_str name, struct jc_str value)
{
  static const char header[] = "X-Jaycove-Error";

  return name.len == sizeof header - 1
         && g_ascii_strncasecmp (name.data, header, name.len) == 0
         && jc_str_equal (
             value, jc_str_from_cstr (jc_status_name (JC_ENDPOINT_REFUSED)));
}

/* Return true if NAME is the header that gives the event at which an answer
   resumes.  */
bool
jc_request_is_resume_header (struct jc_str name)
{
  static const char header[] = "X-Resume-From";

  return name.len == sizeof header - 1
         && g_ascii_strncasecmp (name.data, header, name.len) == 0;
}

/* Return the number of events skipped in a resumed answer, from the VALUE of
   that header; 0 if it is no number.  */
uint64_t
jc_request_parse_resume_from (struct jc_str value)
{
  char *text = jc_str_dup (value);
  uint64_t from = g_ascii_strtoull (text, NULL, 10);

  g_free (text);
  return from;
}

/* Return the time limit for the first byte of attempt number ATTEMPT, counted
   from 1, in ms.  PEAK_MS is the longest recent time to the first byte, 0 if
   unknown; TIME_LEFT_MS is the time until the deadline.  The last attempt gets
   all the time left, and so does one that leaves no time for another.  */
int64_t
jc_attempt_first_byte_limit_ms (unsigned int attempt, int64_t peak_ms,
                                int64_t time_left_ms)
{
  int64_t limit
      = peak_ms > 0 ? 2 * peak_ms : time_left_ms / FIRST_BYTE_LIMIT_DIVISOR;

  if (attempt >= JC_REQUEST_ATTEMPTS_MAX || time_left_ms < 2 * peak_ms)
    return time_left_ms;
  return MIN (MAX (limit, FIRST_BYTE_LIMIT_MIN_MS), MAX (time_left_ms / 2, 1));
}

/* Return the status of a final failure.  One that promises "not run" is used
   only if no attempt can have run: each was refused, or could not be sent.  */
static enum jc_status
failure_status (const struct jc_request *request, enum jc_status status,
                int64_t now_ms)
{
  bool late = now_ms + ATTEMPT_MIN_MS > request->deadline_ms;

  if (request->answer_begun)
    return JC_STREAM_BROKEN;
  if (late)
    return request->may_have_run ? JC_DEADLINE_EXCEEDED
                                 : JC_DEADLINE_UNMEETABLE;
  if (request->may_have_run)
    return JC_ENDPOINT_FAILED;
  return jc_status_info (status)->run == JC_NOT_RUN ? status : JC_UNREACHABLE;
}

static void
request_fail (struct jc_request *request, enum jc_status status, int64_t now_ms)
{
  enum jc_status final_status = failure_status (request, status, now_ms);
  const char *message = request->message;

  if (message == NULL)
    message = jc_last_message ();
  request->ended = true;
  request->current_attempt = 0;
  request->ops->fail (request->ctx, final_status, message);
}

static void
attempt_reset (struct jc_request *request)
{
  request->head_received = false;
  request->refused = false;
  request->streaming = false;
  request->diverged = false;
  request->replay_position = 0;
  g_string_free (request->body, TRUE);
  request->body = g_string_new (NULL);
  jc_buffered_set (&request->buffered, 0);
  jc_sse_clear (&request->sse);
  memset (request->replay_digest, 0, JC_REQUEST_DIGEST_BYTES);
}

/* Start the next attempt, or fail with STATUS if no further one is
   possible.  */
static void
request_next_attempt (struct jc_request *request, enum jc_status status,
                      int64_t now_ms)
{
  int64_t left = request->deadline_ms - now_ms;
  struct jc_attempt attempt = { .new_connection = request->attempts > 0 };

  if (left < ATTEMPT_MIN_MS || request->attempts >= JC_REQUEST_ATTEMPTS_MAX)
    {
      request_fail (request, status, now_ms);
      return;
    }
  if (request->attempts > 0 && !request->ops->may_retry (request->ctx, now_ms))
    {
      request_fail (request, status, now_ms);
      return;
    }
  status = request->ops->pick (request->ctx, request, now_ms, &attempt.target);
  if (status != JC_OK)
    {
      request_fail (request, status, now_ms);
      return;
    }
  attempt.id = ++request->attempts;
  attempt.total_limit_ms = left;
  attempt.first_byte_limit_ms = jc_attempt_first_byte_limit_ms (
      request->attempts, attempt.target.first_byte_peak_ms, left);
  attempt.resume_from = request->delivered_events;
  request->current_attempt = attempt.id;
  g_ptr_array_add (request->tried_names, g_strdup (attempt.target.name));
  attempt_reset (request);
  request->ops->start (request->ctx, &attempt);
}

/* Start the first attempt.  */
void
jc_request_start (struct jc_request *request, int64_t now_ms)
{
  jc_fail (JC_DEADLINE_UNMEETABLE, "The deadline has passed.");
  request_next_attempt (request, JC_DEADLINE_UNMEETABLE, now_ms);
}

static const char *
current_endpoint (const struct jc_request *request)
{
  return g_ptr_array_index (request->tried_names,
                            request->tried_names->len - 1);
}

/* End the current attempt as failed and start another one.  */
static void
attempt_failed (struct jc_request *request, enum jc_status status,
                const char *message, int64_t now_ms)
{
  request->current_attempt = 0;
  g_free (request->message);
  request->message = g_strdup (message);
  request_next_attempt (request, status, now_ms);
}

/* Cancel the current attempt because its answer can't be used.  */
static void
attempt_reject (struct jc_request *request, enum jc_status status,
                const char *message, int64_t now_ms)
{
  request->may_have_run = true;
  request->ops->cancel (request->ctx, request->current_attempt);
  attempt_failed (request, status, message, now_ms);
}

/* The head of the answer to ATTEMPT, which is about to be processed, says that
   the endpoint did not run the request.  */
void
jc_request_note_refused (struct jc_request *request, uint64_t attempt)
{
  if (attempt == request->current_attempt)
    request->refused = true;
}

/* Process the head of the answer to ATTEMPT.  RESUMED is true if the endpoint
   resumes at the event that the attempt asked for.  */
void
jc_request_head (struct jc_request *request, uint64_t attempt, int http,
                 const char *content_type, bool resumed, int64_t now_ms)
{
  (void)now_ms;
  if (request->ended || attempt != request->current_attempt)
    return;
  request->head_received = true;
  request->http = http;
  g_free (request->content_type);
  request->content_type = g_strdup (content_type);
  request->streaming
      = http == 200 && content_type != NULL
        && g_ascii_strncasecmp (content_type, "text/event-stream", 17) == 0;
  if (resumed && request->streaming)
    {
      request->replay_position = request->delivered_events;
      memcpy (request->replay_digest, request->delivered_digest,
              JC_REQUEST_DIGEST_BYTES);
    }
}

/* Chain EVENT to DIGEST, the digest of the events before it.  */
static void
digest_add (unsigned char *digest, struct jc_str event)
{
  unsigned char next[JC_REQUEST_DIGEST_BYTES];

  crypto_generichash (next, sizeof next, (const unsigned char *)event.data,
                      event.len, digest, JC_REQUEST_DIGEST_BYTES);
  memcpy (digest, next, sizeof next);
}

/* Return true if the repeated events equal those already delivered.  */
static bool
replay_matches (const struct jc_request *request)
{
  return memcmp (request->replay_digest, request->delivered_digest,
                 JC_REQUEST_DIGEST_BYTES)
         == 0;
}

static void
event_deliver (struct jc_request *request, struct jc_str event)
{
  if (!request->answer_begun)
    request->ops->begin (request->ctx, request->http, request->content_type);
  request->answer_begun = true;
  request->delivered_events++;
  digest_add (request->delivered_digest, event);
  request->ops->write (request->ctx, event);
}

/* Process one complete event of the current attempt: it is compared if the
   caller already has it, otherwise forwarded.  Return false if it follows the
   end of the stream, or if the repeated events differ.  */
static bool
event_receive (void *ctx, struct jc_str event)
{
  struct jc_request *request = ctx;
  bool known = request->replay_position < request->delivered_events;

  if (request->end_seen)
    return false;
  request->replay_position++;
  if (known)
    {
      digest_add (request->replay_digest, event);
      request->diverged = request->replay_position == request->delivered_events
                          && !replay_matches (request);
      return !request->diverged;
    }
  request->end_seen = jc_sse_is_end (event);
  event_deliver (request, event);
  return true;
}

/* Process DATA, bytes of the answer to ATTEMPT.  */
void
jc_request_data (struct jc_request *request, uint64_t attempt,
                 struct jc_str data, int64_t now_ms)
{
  if (request->ended || attempt != request->current_attempt)
    return;
  if (!request->streaming)
    {
      g_string_append_len (request->body, data.data, (gssize)data.len);
      jc_buffered_set (&request->buffered, request->body->allocated_len);
      if (request->body->len > jc_buffers_limit (ANSWER_BYTES_MAX))
        attempt_reject (request, JC_ENDPOINT_FAILED, "The answer is too large.",
                        now_ms);
      return;
    }
  if (jc_sse_feed (&request->sse, data, event_receive, request) != JC_OK
      || request->sse.partial->len > jc_buffers_limit (SIZE_MAX))
    attempt_reject (request, JC_STREAM_BROKEN, jc_last_message (), now_ms);
  else if (request->diverged)
    attempt_reject (request, JC_STREAM_BROKEN,
                    "Another endpoint's answer began differently.", now_ms);
}

/* Return true if an answer with HTTP promises that the endpoint did not run the
   request: SAYS_REFUSED is set if it has the header for that, which means
   nothing with another status.  */
bool
jc_request_is_refusal (bool says_refused, int http)
{
  return says_refused && (http == 429 || http == 503);
}

static bool
is_failure_status (int http)
{
  return http == 429 || http == 502 || http == 503 || http == 504 || http < 200;
}

/* Process a complete answer that is not a stream.  */
static void
answer_receive (struct jc_request *request, int64_t now_ms)
{
  if (request->answer_begun)
    {
      request->may_have_run = true;
      attempt_failed (request, JC_STREAM_BROKEN,
                      "No endpoint could go on with the stream.", now_ms);
      return;
    }
  if (jc_request_is_refusal (request->refused, request->http))
    {
      attempt_failed (request, JC_ENDPOINT_REFUSED,
                      "The endpoint refused the request.", now_ms);
      return;
    }
  request->may_have_run = true;
  if (is_failure_status (request->http))
    {
      attempt_failed (request, JC_ENDPOINT_FAILED,
                      "The endpoint could not answer.", now_ms);
      return;
    }
  request->ended = true;
  request->current_attempt = 0;
  request->ops->answer (request->ctx, request->http, request->content_type,
                        jc_str_from_gstring (request->body));
}

/* Process the end of ATTEMPT.  */
void
jc_request_done (struct jc_request *request, uint64_t attempt,
                 const struct jc_attempt_end *end, int64_t now_ms)
{
  bool complete = end->status == JC_OK && end->length_known;

  if (request->ended || attempt != request->current_attempt)
    return;
  if (end->sent_again)
    request->may_have_run = true;
  if (request->streaming && request->end_seen)
    {
      request->ended = true;
      request->current_attempt = 0;
      request->ops->end (request->ctx);
      return;
    }
  if (complete && request->head_received && !request->streaming)
    {
      answer_receive (request, now_ms);
      return;
    }
  if (end->sent)
    request->may_have_run = true;
  if (!end->sent || !request->head_received)
    request->ops->note_failure (request->ctx, current_endpoint (request),
                                end->sent, now_ms);
  attempt_failed (
      request, end->status == JC_OK ? JC_ENDPOINT_FAILED : end->status,
      end->status == JC_OK ? "The answer was cut." : end->message, now_ms);
}

/* The caller has disconnected: cancel the current attempt.  No operation is
   called afterwards.  */
void
jc_request_caller_left (struct jc_request *request)
{
  if (!request->ended && request->current_attempt != 0)
    request->ops->cancel (request->ctx, request->current_attempt);
  request->ended = true;
  request->current_attempt = 0;
}
