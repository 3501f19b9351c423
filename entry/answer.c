/* Answer: reads the answer to an attempt and forwards it to the caller.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/remote.h"

enum
{
  /* An answer proves that its endpoint is alive: the lease then lasts at least
     this much longer, even if its reports are late.  */
  ANSWER_LEASE_MS = 4000,
  HTTP_MISDIRECTED = 421,
  HTTP_SERVER_ERROR = 500
};

/* Log and count that the current attempt is given up because of FAULT.  */
static void
log_given_up (struct exchange *exchange, enum jc_progress_fault fault)
{
  const char *reason = jc_progress_fault_name (fault);
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_answers_given_up_total", labels, 1);
  jc_event (JC_EVENT_GIVEN_UP,
            "id=%s place=%s reason=%s heard=%d body=%zu last_event=%" PRId64
            " ms=%" PRId64,
            exchange_id (exchange), exchange->target_name, reason,
            exchange->head_received, exchange->answer_body->len,
            exchange->relay.last_event,
            jc_now_ms () - exchange->attempt_started_ms);
}

/* Cancel the current attempt, whose answer is unusable because of WHY.  */
static void
exchange_reject_answer (struct exchange *exchange, const char *why)
{
  const struct jc_relay_result end
      = { .sent = true, .http = exchange->answer_head.status };

  jc_fail (JC_ENDPOINT_FAILED, "%s", why);
  jc_httpc_call_cancel (exchange->call);
  exchange->call = NULL;
  exchange_attempt_ended (exchange, &end);
}

static struct jc_path_target
path_target_of (const struct exchange *exchange)
{
  return (struct jc_path_target){ .instance = exchange->target_name,
                                  .zone = exchange->target_zone,
                                  .region = exchange->target_region };
}

/* Record that the other entry instance refused with HEAD.  Its region is
   avoided from now on if the reason applies to all of it.  */
static void
note_remote_refusal (struct exchange *exchange, const struct jc_head *head)
{
  const char *error = jc_head_field (head, HEADER_ERROR);

  /* Its own report will say so too; until then it gets no other request for
     this service.  */
  if (strcmp (error, jc_status_name (JC_OUT_OF_REACH)) == 0)
    neighbours_note_refusal (exchange->router, exchange->target_name,
                             exchange->service, jc_now_ms ());
  exchange->key_refused
      = strcmp (error, jc_status_name (JC_API_KEY_REFUSED)) == 0;
  exchange->refused_at_head = jc_remote_refusal_is_at_head (error);
  if (jc_remote_refusal_is_regional (error))
    g_ptr_array_add (exchange->avoided_regions,
                     (gpointer)exchange->target_region);
}

/* Apply an answer of ENDPOINT by which it is cold for another TOLD_MS.  No
   endpoint is cold for longer than its service tells, and reports may not
   refute what an answer told: those of a warm one are passed on as loads alone.
 */
static void
note_cold (const struct router *router, struct jc_endpoint *endpoint,
           int64_t told_ms, int64_t now_ms)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (router->routes, endpoint->service);

  endpoint->warm_at_ms
      = now_ms + MIN (told_ms, service != NULL ? service->cold_ms : 0);
}

/* Update the endpoint of the current attempt from its answer with STATUS: its
   load, its lease, when it is warm, and what it asks for.  Status 421 means
   that another process answered at its address, unless it is the signed answer
   to a request that ran.
   An answer of an earlier incarnation tells nothing about this one.  */
static void
update_endpoint (struct exchange *exchange, int status)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (exchange->router->endpoints, exchange->target_name);
  const struct jc_answer_info *info = &exchange->answer_info;
  int64_t now = jc_now_ms ();

  if (info->has_load && exchange->engine_run != NULL)
    jc_engine_run_note_load (exchange->engine_run, info->running, info->queued,
                             now);
  if (info->work_percent > 0 && exchange->engine_run != NULL)
    jc_engine_run_note_work (exchange->engine_run, info->work_percent, now);
  if (endpoint == NULL || endpoint->incarnation != exchange->target_incarnation)
    return;
  if (status == HTTP_MISDIRECTED
      && !(info->is_signed && exchange->statement == JC_STATEMENT_STATUS))
    {
      misdirections_note (exchange->router, endpoint);
      return;
    }
  misdirections_note_answer (exchange->router, endpoint);
  jc_endpoint_extend_lease (endpoint, now + ANSWER_LEASE_MS);
  if (info->cold_ms >= 0)
    note_cold (exchange->router, endpoint, info->cold_ms, now);

  answerfields_note (exchange->router, endpoint, info);
  backpressure_note_answer (exchange->router, endpoint, info,
                            exchange->send_number);
  shares_note_answer (exchange->router, endpoint, info, exchange->send_number);
}

static void
on_head (void *ctx, const struct jc_head *head)
{
  struct exchange *exchange = ctx;
  const char *type = jc_head_field (head, "Content-Type");
  const struct jc_path_target target = path_target_of (exchange);

  resumptions_note_heard (exchange);
  exchange->router->protocol->parse_answer (head, &exchange->answer_info);
  exchange->statement = exchange_answer_statement (exchange, head);
  exchange->answer_info.not_run = jc_statement_is_not_run (exchange->statement);
  exchange->head_received = true;
  paths_answered (exchange->router, &target);
  if (!exchange->remote)
    reach_attempt_answered (exchange);
  if (exchange->statement == JC_STATEMENT_INSTANCE)
    note_remote_refusal (exchange, head);
  exchange->streaming
      = exchange->relay.kind == JC_ROUTE_STREAM
        && head->status == EXCHANGE_HTTP_OK && exchange->answer_info.genuine
        && type != NULL
        && g_ascii_strncasecmp (type, "text/event-stream", 17) == 0;
  if (!exchange->relay.begun)
    {
      jc_head_clear (&exchange->answer_head);
      jc_head_copy (&exchange->answer_head, head);
    }
  exchange->answer_info.endpoint = NULL;
  if (!exchange->remote)
    update_endpoint (exchange, head->status);
}

static void
begin_stream (struct exchange *exchange)
{
  struct jc_http_header headers[EXCHANGE_HEADERS_MAX];

  if (exchange->relay.begun)
    return;
  resumptions_note_begin (exchange);
  exchange_answer_headers (exchange, headers);
  jc_http_stream_begin (exchange->req, exchange->answer_head.status, NULL,
                        headers);
  exchange->relay.begun = true;
}

/* Add EVENT with the id ID to the batch.  Its id must follow that of the last
   event the caller has; an event that the caller has already is dropped.
   Return false if an event is missing.  */
static bool
accept_numbered_event (struct exchange *exchange, struct jc_str event,
                       int64_t id)
{
  int64_t *last = &exchange->relay.last_event;

  if (*last >= 0 && id <= *last)
    return true;
  if (*last >= 0 && id != *last + 1)
    {
      exchange->has_event_gap = true;
      return false;
    }
  *last = id;
  exchange->has_event_ids = true;
  exchange->ends_unnumbered = false;
  exchange->progressed = true;
  g_string_append_len (exchange->batch, exchange->held_comments->str,
                       (gssize)exchange->held_comments->len);
  g_string_truncate (exchange->held_comments, 0);
  g_string_append_len (exchange->batch, event.data, (gssize)event.len);
  return true;
}

/* Return true if EVENT, which has data but no id, can't be a part of the
   stream: an attempt that goes on with a stream has to begin with the next id,
   unless only the end was missing.  */
static bool
is_out_of_place (const struct exchange *exchange, struct jc_str event)
{
  return exchange->continues && !exchange->has_event_ids
         && !jc_sse_is_end (event);
}

/* Handle a complete event.  Comments and blank lines are held until the next
   event comes or the stream ends: alone they are no answer.  */
static bool
on_event (void *ctx, struct jc_str event)
{
  struct exchange *exchange = ctx;
  bool has_data = jc_sse_has_data (event);
  int64_t id;

  if (exchange->router->protocol->parse_event_id (event, &id))
    return accept_numbered_event (exchange, event, id);
  if (has_data && is_out_of_place (exchange, event))
    {
      exchange->has_event_gap = true;
      return false;
    }
  exchange->progressed
      = exchange->progressed || (has_data && !exchange->has_event_ids);
  exchange->ends_unnumbered = exchange->ends_unnumbered || has_data;
  g_string_append_len (has_data ? exchange->batch : exchange->held_comments,
                       event.data, (gssize)event.len);
  return true;
}

/* Record the time of an event, which shows how fast the endpoint is.  */
static void
record_event_time (struct exchange *exchange)
{
  int64_t now = jc_now_ms ();

  if (exchange->engine_run != NULL)
    jc_engine_run_first_event (exchange->engine_run, now);
  if (exchange->last_event_ms == 0)
    exchange->first_event_ms = now - exchange->started_ms;
  else
    exchange->max_gap_ms
        = MAX (exchange->max_gap_ms, now - exchange->last_event_ms);
  exchange->last_event_ms = now;
  if (exchange->attempt_first_event_ms == 0)
    exchange->attempt_first_event_ms = now;
}

/* Forward the comments that were held; the stream is complete.  */
static void
flush_held_comments (struct exchange *exchange)
{
  begin_stream (exchange);
  if (exchange->held_comments->len > 0)
    jc_http_stream_write (exchange->req,
                          jc_str_from_gstring (exchange->held_comments));
  g_string_truncate (exchange->held_comments, 0);
}

/* Record that events which bring the answer forward have come, though they are
   held.  */
static void
note_held (struct exchange *exchange)
{
  if (!exchange->progressed)
    return;
  if (exchange->call != NULL)
    jc_httpc_call_progress (exchange->call);
  if (!exchange->paused && exchange->call != NULL
      && exchange->batch->len > jc_buffers_limit (BUFFERED_BYTES_MAX))
    {
      exchange->paused = true;
      jc_httpc_call_pause (exchange->call, true);
    }
}

static void
flush_batch (struct exchange *exchange)
{
  if (exchange->batch->len == 0)
    return;
  if (!resumptions_may_pass (exchange))
    {
      note_held (exchange);
      return;
    }
  if (exchange->progressed)
    {
      record_event_time (exchange);
      if (exchange->call != NULL)
        jc_httpc_call_progress (exchange->call);
      exchange->progressed = false;
    }
  begin_stream (exchange);
  jc_http_stream_write (exchange->req, jc_str_from_gstring (exchange->batch));
  g_string_truncate (exchange->batch, 0);
  exchange->passed_event = exchange->relay.last_event;
  exchange->relay.unnumbered = exchange->ends_unnumbered;
  answerbody_pace (exchange);
}

/* Return the result of the current attempt if it ended now, with a complete
   answer if WHOLE.  An instance of another region may have used up all
   endpoints that were left.  */
static struct jc_relay_result
attempt_result (const struct exchange *exchange, bool whole)
{
  return (struct jc_relay_result){
    .whole = whole,
    .sent = true,
    .not_run = exchange->answer_info.not_run,
    .genuine = exchange->answer_info.genuine,
    .endpoints
    = exchange->remote ? jc_relay_endpoints_left (&exchange->relay) : 1
  };
}

/* Return NULL if the request could be sent to another target now, by the same
   conditions as exchange_attempt, or else the first of them that does not hold:
   the version that began the stream is known, one more attempt is allowed,
   requests like it are not blocked, the retry budget is not used up, and the
   balancer finds a target.  */
const char *
answer_missing_alternative (struct exchange *exchange, int64_t now_ms)
{
  struct router *router = exchange->router;
  struct jc_relay after = exchange->relay;
  const struct jc_relay_result end = attempt_result (exchange, false);
  struct balancer_query query;
  struct balancer_target target;

  if (!resumptions_may_move (exchange))
    return "version";
  if (jc_relay_next_step (&after, &end, now_ms) != JC_RELAY_ATTEMPT)
    return "attempts";
  if (!crashes_allow_attempt (exchange))
    return "blocked";
  if (!jc_budgets_may_retry (router->budgets, exchange->service, now_ms))
    return "budget";
  query = exchange_balancer_query (exchange, now_ms);
  query.may_wait = false;
  if (balancer_pick (router, &query, &target) != JC_OK)
    return "target";
  /* An endpoint that is tried only because nothing is left is none.  */
  return target.neighbour == NULL
                 && jc_reach_is_lost (router->reach, exchange->service)
             ? "target"
             : NULL;
}

/* Drop the events that EXCHANGE holds and end its attempt: they can't be shown
   to be of the version that began the stream.  */
static void
drop_held (struct exchange *exchange)
{
  jc_event (JC_EVENT_RESUME,
            "id=%s place=%s software=%016" PRIx64 " last_event=%" PRId64
            " outcome=unproven",
            exchange_id (exchange), exchange->target_name, exchange->software,
            exchange->passed_event);
  if (exchange->held_done)
    {
      struct jc_relay_result result = exchange->held_result;

      exchange->held_done = false;
      result.whole = false;
      jc_fail (JC_ENDPOINT_FAILED, "The endpoint's version is not certain.");
      exchange_attempt_ended (exchange, &result);
      return;
    }
  exchange_reject_answer (exchange, "The endpoint's version is not certain.");
}

/* Pass on the events that EXCHANGE holds if they are shown by now to be of the
   version that began its stream, or drop them if that can't be shown any
   more.  */
void
exchange_flush_held (struct exchange *exchange)
{
  const struct jc_relay_result result = exchange->held_result;

  if (!resumptions_may_pass (exchange))
    {
      if (resumptions_cannot_prove (exchange))
        drop_held (exchange);
      return;
    }
  flush_batch (exchange);
  if (exchange->paused && exchange->call != NULL
      && jc_http_stream_buffered (exchange->req)
             <= jc_buffers_limit (BUFFERED_BYTES_MAX))
    {
      exchange->paused = false;
      jc_httpc_call_pause (exchange->call, false);
    }
  if (!exchange->held_done)
    return;
  exchange->held_done = false;
  if (result.whole)
    flush_held_comments (exchange);
  exchange_attempt_ended (exchange, &result);
}

/* Report what the stream of EXCHANGE has buffered.  Return JC_STREAM_BROKEN if
   an event that isn't complete, or comments without an event, take more than
   they may while all buffers together take much.  */
static enum jc_status
check_incomplete_event (struct exchange *exchange)
{
  size_t incomplete = exchange->sse.partial->len + exchange->held_comments->len;

  answerbody_count (exchange);
  return incomplete <= jc_buffers_limit (SIZE_MAX)
             ? JC_OK
             : jc_fail (JC_STREAM_BROKEN, "There is no room for the event.");
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct exchange *exchange = ctx;
  enum jc_status status;

  resumptions_note_heard (exchange);
  if (!exchange->streaming)
    {
      if (answerbody_take (exchange, data))
        return;
      log_given_up (exchange, JC_PROGRESS_ENDLESS);
      exchange_reject_answer (exchange, "The answer is too large.");
      return;
    }
  status = jc_sse_feed (&exchange->sse, data, on_event, exchange);
  flush_batch (exchange);
  if (status == JC_OK)
    status = check_incomplete_event (exchange);
  if (status != JC_OK)
    {
      log_given_up (exchange, JC_PROGRESS_ENDLESS);
      exchange_reject_answer (exchange, jc_last_message ());
    }
  else if (exchange->has_event_gap)
    exchange_reject_answer (exchange, "An event of the stream is missing.");
}

/* Record that the attempt ended with RESULT before any answer came.  */
static void
note_failed_attempt (struct exchange *exchange,
                     const struct jc_httpc_call_result *result)
{
  const struct jc_path_target target = path_target_of (exchange);

  if (result->host_unreachable || result->connecting)
    reach_attempt_hung (exchange);
  if (exchange->remote
      || !jc_reach_is_lost (exchange->router->reach, exchange->service))
    paths_attempt_failed (exchange->router, &target,
                          exchange->attempt_started_ms, result);
  if (result->host_unreachable && exchange->remote
      && strcmp (exchange->target_region,
                 exchange->router->entry->settings->region)
             != 0)
    g_ptr_array_add (exchange->avoided_regions,
                     (gpointer)exchange->target_region);
}

/* Log that the endpoint broke off the current attempt, and what other requests
   may share with it.  */
static void
log_broken (const struct exchange *exchange)
{
  GString *fingerprints = g_string_new (NULL);

  jc_fingerprints_append_text (&exchange->fingerprints, fingerprints);
  jc_event (JC_EVENT_BROKEN,
            "id=%s endpoint=%s incarnation=%" PRIu64 " ms=%" PRId64
            " event_ms_ago=%" PRId64 " fingerprints=%s",
            exchange_id (exchange), exchange->target_name,
            exchange->target_incarnation,
            jc_now_ms () - exchange->attempt_started_ms,
            exchange->last_event_ms >= exchange->attempt_started_ms
                ? jc_now_ms () - exchange->last_event_ms
                : -1,
            fingerprints->str);
  g_string_free (fingerprints, TRUE);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_broken_attempts_total", "", 1);
}

/* Return whether the endpoint broke off the attempt that ended with RESULT, as
   one does that crashes.  */
static bool
is_broken_off (const struct exchange *exchange,
               const struct jc_relay_result *result,
               const struct jc_httpc_call_result *call)
{
  return !exchange->remote && result->sent && !result->whole && !result->late
         && !call->host_unreachable
         && call->progress_fault == JC_PROGRESS_NO_FAULT;
}

/* Return whether the stream that the current attempt brought to an end, as it
   seems, may have been cut: it brought no event, though it was to go on with a
   stream or nothing but the end of its connection marks its end.  */
static bool
lacks_events (const struct exchange *exchange, bool framed)
{
  return !exchange->has_event_ids && !exchange->ends_unnumbered
         && (exchange->continues || !framed);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct exchange *exchange = ctx;
  struct jc_relay_result attempt
      = attempt_result (exchange, result->status == JC_OK);

  attempt.sent = result->sent;
  attempt.late = result->status == JC_TIMEOUT;
  attempt.http = result->http_status;
  exchange->call = NULL;
  exchange->paused = false;
  if (result->progress_fault != JC_PROGRESS_NO_FAULT)
    log_given_up (exchange, result->progress_fault);
  if (!exchange->head_received && (result->host_unreachable || !result->sent))
    note_failed_attempt (exchange, result);
  if (exchange->streaming && exchange->sse.partial->len > 0)
    attempt.whole = false;
  if (exchange->relay.begun && !exchange->streaming && !exchange->relay.plain)
    attempt.genuine = false;
  if (is_broken_off (exchange, &attempt, result))
    {
      log_broken (exchange);
      crashes_note_broken (exchange);
    }
  else if (attempt.whole && attempt.genuine && !attempt.not_run
           && attempt.http < HTTP_SERVER_ERROR && !exchange->remote
           && result->framed)
    crashes_note_answered (exchange);
  if (exchange->streaming && lacks_events (exchange, result->framed))
    attempt.whole = false;
  if (exchange->streaming)
    flush_batch (exchange);
  if (exchange->streaming && attempt.genuine
      && (attempt.whole || exchange->batch->len > 0)
      && !resumptions_may_pass (exchange))
    {
      exchange->held_done = true;
      exchange->held_result = attempt;
      return;
    }
  if (attempt.whole && exchange->streaming && attempt.genuine)
    flush_held_comments (exchange);
  if (jc_relay_is_usable_answer (&attempt) && !exchange->streaming)
    answersizes_record (exchange->router, exchange->route->name,
                        exchange->body_bytes);
  jc_fail (result->status != JC_OK ? result->status : JC_ENDPOINT_FAILED, "%s",
           attempt.whole ? "The endpoint's answer can't be used."
                         : result->message);
  exchange_attempt_ended (exchange, &attempt);
}

/* The endpoint has been silent for long.  Its answer may still come, so it is
   given up only if there is another target for the request.  Return true to end
   the attempt.  */
static bool
on_silent (void *ctx)
{
  struct exchange *exchange = ctx;
  int64_t now = jc_now_ms ();
  const char *missing = answer_missing_alternative (exchange, now);

  jc_event (JC_EVENT_SILENT,
            "id=%s place=%s ms=%" PRId64 " last_event=%" PRId64
            " leaves=%d missing=%s",
            exchange_id (exchange), exchange->target_name,
            now - exchange->attempt_started_ms, exchange->relay.last_event,
            missing == NULL, missing != NULL ? missing : "-");
  return missing == NULL;
}

/* Callbacks of the HTTP client for an attempt.  */
const struct jc_httpc_call_ops answer_call_ops
    = { .sent = sending_begun,
        .may_send_again = sending_may_repeat,
        .full_head = on_head,
        .data = on_data,
        .silent = on_silent,
        .done = on_done };
