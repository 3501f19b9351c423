/* Answer: what comes of an attempt, and what of it the caller gets.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/remote.h"

enum
{
  ANSWER_BYTES_MAX = 16 * 1024 * 1024,
  BUFFERED_MAX = 256 * 1024,
  /* An answer shows that its endpoint is there, whatever its reports do.  */
  LEASE_BY_ANSWER_MS = 4000,
  HTTP_WRONG_ENDPOINT = 421
};

/* Log that the answer of the current attempt is given up for FAULT.  */
static void
note_given_up (struct exchange *exchange, enum jc_progress_fault fault)
{
  const char *reason = jc_progress_fault_name (fault);
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  jc_metrics_counter_add (exchange->hosts->entry->metrics,
                          "jaycove_answers_given_up_total", labels, 1);
  jc_event (JC_EVENT_GIVEN_UP,
            "id=%s place=%s reason=%s heard=%d body=%zu last_event=%" PRId64
            " ms=%" PRId64,
            exchange_id (exchange), exchange->target, reason,
            exchange->head_received, exchange->answer_body->len,
            exchange->relay.last_event,
            jc_now_ms () - exchange->attempt_started_ms);
}

/* Give up on what the endpoint is sending; it can't be used.  */
static void
passage_reject (struct exchange *exchange, const char *why)
{
  const struct jc_relay_result end
      = { .sent = true, .http = exchange->answer_head.status };

  jc_fail (JC_ENDPOINT_FAILED, "%s", why);
  jc_httpc_call_cancel (exchange->call);
  exchange->call = NULL;
  exchange_attempt_ended (exchange, &end);
}

/* Tell whether HEAD, from another entry instance, is a refusal of its own
   that promises that the request did not run.  */
static bool
refused_there (const struct jc_head *head)
{
  const char *run = jc_head_field (head, HEADER_RUN);

  return jc_head_field (head, HEADER_ERROR) != NULL && run != NULL
         && strcmp (run, jc_run_state_name (JC_NOT_RUN)) == 0;
}

/* The instance that was asked refused with HEAD.  */
static void
note_refused_there (struct exchange *exchange, const struct jc_head *head)
{
  exchange->answer_info.not_run = true;
  if (jc_remote_refusal_is_regional (jc_head_field (head, HEADER_ERROR)))
    g_ptr_array_add (exchange->avoided_regions,
                     (gpointer)exchange->target_region);
}

static void
note_endpoint (struct exchange *exchange)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (exchange->hosts->endpoints, exchange->target);
  const struct jc_answer_info *signs = &exchange->answer_info;
  int64_t now = jc_now_ms ();

  if (signs->has_load && exchange->engine_run != NULL)
    jc_engine_run_note_load (exchange->engine_run, signs->running,
                             signs->queued, now);
  if (endpoint == NULL)
    return;
  if (exchange->answer_head.status == HTTP_WRONG_ENDPOINT)
    {
      jc_endpoints_mark_leaving (exchange->hosts->endpoints, endpoint->name,
                                 endpoint->incarnation);
      return;
    }
  endpoint->lease_until_ms
      = MAX (endpoint->lease_until_ms, now + LEASE_BY_ANSWER_MS);
  if (signs->cold_ms >= 0)
    endpoint->warm_at_ms = now + signs->cold_ms;
}

static struct jc_path_target
path_end (const struct exchange *exchange)
{
  return (struct jc_path_target){ .instance = exchange->target,
                                  .zone = exchange->target_zone,
                                  .region = exchange->target_region };
}

static void
on_heads (void *ctx, const struct jc_head *head)
{
  struct exchange *exchange = ctx;
  const char *type = jc_head_field (head, "Content-Type");
  const struct jc_path_target end = path_end (exchange);

  exchange->hosts->protocol->parse_answer (head, &exchange->answer_info);
  exchange->head_received = true;
  paths_answered (exchange->hosts, &end);
  if (exchange->remote && refused_there (head))
    note_refused_there (exchange, head);
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
    note_endpoint (exchange);
}

static void
begin_stream (struct exchange *exchange)
{
  struct jc_http_header headers[EXCHANGE_HEADERS_MAX];

  if (exchange->relay.begun)
    return;
  exchange_answer_headers (exchange, headers);
  jc_http_stream_begin (exchange->req, exchange->answer_head.status, NULL,
                        headers);
  exchange->relay.begun = true;
}

/* Take an event with the number ID, which must follow on the last one that the
   caller has; one that it has already is left out.  */
static bool
take_numbered (struct exchange *exchange, struct jc_str event, int64_t id)
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
  exchange->progressed = true;
  g_string_append_len (exchange->batch, exchange->held_comments->str,
                       (gssize)exchange->held_comments->len);
  g_string_truncate (exchange->held_comments, 0);
  g_string_append_len (exchange->batch, event.data, (gssize)event.len);
  return true;
}

/* Take a whole event.  Comments and blank lines are held until the next event
   comes or the stream ends: alone they are no answer.  */
static bool
take_event (void *ctx, struct jc_str event)
{
  struct exchange *exchange = ctx;
  bool has_data = jc_sse_has_data (event);
  int64_t id;

  if (exchange->hosts->protocol->parse_event_id (event, &id))
    return take_numbered (exchange, event, id);
  exchange->progressed
      = exchange->progressed || (has_data && !exchange->has_event_ids);
  g_string_append_len (has_data ? exchange->batch : exchange->held_comments,
                       event.data, (gssize)event.len);
  return true;
}

/* Note the time of an event: how fast the endpoint is.  */
static void
note_event (struct exchange *exchange)
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
}

/* The stream is whole: pass on what was held.  */
static void
pass_rest (struct exchange *exchange)
{
  begin_stream (exchange);
  if (exchange->held_comments->len > 0)
    jc_http_stream_write (exchange->req,
                          jc_str_from_gstring (exchange->held_comments));
  g_string_truncate (exchange->held_comments, 0);
}

static void
pass_burst (struct exchange *exchange)
{
  if (exchange->batch->len == 0)
    return;
  if (exchange->progressed)
    {
      note_event (exchange);
      jc_httpc_call_progress (exchange->call);
      exchange->progressed = false;
    }
  begin_stream (exchange);
  jc_http_stream_write (exchange->req, jc_str_from_gstring (exchange->batch));
  g_string_truncate (exchange->batch, 0);
  if (!exchange->paused
      && jc_http_stream_buffered (exchange->req) > BUFFERED_MAX)
    {
      exchange->paused = true;
      jc_httpc_call_pause (exchange->call, true);
    }
}

/* Return how the current attempt would end now, sent but not WHOLE or whole. An
   instance of another region may have used all endpoints that were left.  */
static struct jc_relay_result
attempt_end (const struct exchange *exchange, bool whole)
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

/* Tell whether the request could go to another place now.  */
static bool
has_other_place (struct exchange *exchange, int64_t now_ms)
{
  struct hosts *hosts = exchange->hosts;
  struct jc_relay after = exchange->relay;
  const struct jc_relay_result end = attempt_end (exchange, false);
  struct balancer_query query;
  struct choice choice;

  if (jc_relay_next_step (&after, &end, now_ms) != JC_RELAY_ATTEMPT
      || !jc_budgets_may_retry (hosts->budgets, exchange->service, now_ms))
    return false;
  query = exchange_balancer_query (exchange, now_ms);
  query.may_wait = false;
  return balancer_pick (hosts, &query, &choice) == JC_OK;
}

/* Tell whether the plain answer has grown over all bounds.  One that is far
   larger than the route's usual ones and says no length may be without end: it
   is given up at once where another place may do better.  */
static bool
is_too_large (struct exchange *exchange)
{
  const char *said = jc_head_field (&exchange->answer_head, "Content-Length");
  size_t len = exchange->answer_body->len;

  if (len > ANSWER_BYTES_MAX
      || (said != NULL && g_ascii_strtoull (said, NULL, 10) > ANSWER_BYTES_MAX))
    return true;
  if (said != NULL || exchange->oversized
      || len <= answersizes_usual_max (exchange->hosts, exchange->route->name))
    return false;
  exchange->oversized = true;
  return jc_relay_is_idempotent (&exchange->relay)
         && has_other_place (exchange, jc_now_ms ());
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct exchange *exchange = ctx;
  enum jc_status status;

  if (!exchange->streaming)
    {
      g_string_append_len (exchange->answer_body, data.data, (gssize)data.len);
      if (!is_too_large (exchange))
        return;
      note_given_up (exchange, JC_PROGRESS_ENDLESS);
      passage_reject (exchange, "The answer is too large.");
      return;
    }
  status = jc_sse_feed (&exchange->sse, data, take_event, exchange);
  pass_burst (exchange);
  if (status != JC_OK)
    {
      note_given_up (exchange, JC_PROGRESS_ENDLESS);
      passage_reject (exchange, jc_last_message ());
    }
  else if (exchange->has_event_gap)
    passage_reject (exchange, "An event of the stream is missing.");
}

/* The attempt ended with RESULT and without an answer.  */
static void
note_unreached (struct exchange *exchange,
                const struct jc_httpc_call_result *result)
{
  const struct jc_path_target end = path_end (exchange);

  paths_attempt_failed (exchange->hosts, &end, exchange->attempt_started_ms,
                        result);
  if (result->host_unreachable && exchange->remote)
    g_ptr_array_add (exchange->avoided_regions,
                     (gpointer)exchange->target_region);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct exchange *exchange = ctx;
  struct jc_relay_result end = attempt_end (exchange, result->status == JC_OK);

  end.sent = result->sent;
  end.late = result->status == JC_TIMEOUT;
  end.http = result->http_status;
  exchange->call = NULL;
  exchange->paused = false;
  if (result->progress_fault != JC_PROGRESS_NO_FAULT)
    note_given_up (exchange, result->progress_fault);
  if (!exchange->head_received && (result->host_unreachable || !result->sent))
    note_unreached (exchange, result);
  if (exchange->streaming && exchange->sse.partial->len > 0)
    end.whole = false;
  if (exchange->relay.begun && !exchange->streaming)
    end.genuine = false;
  if (end.whole && exchange->streaming && end.genuine)
    pass_rest (exchange);
  if (end.whole && end.genuine && !exchange->streaming)
    answersizes_record (exchange->hosts, exchange->route->name,
                        exchange->answer_body->len);
  jc_fail (result->status != JC_OK ? result->status : JC_ENDPOINT_FAILED, "%s",
           end.whole ? "The endpoint's answer can't be used."
                     : result->message);
  exchange_attempt_ended (exchange, &end);
}

/* The endpoint is silent for long.  Its answer may still come, so that it is
   given up only where there is another place for the request.  */
static bool
on_silent (void *ctx)
{
  struct exchange *exchange = ctx;
  int64_t now = jc_now_ms ();
  bool leaves = has_other_place (exchange, now);

  jc_event (JC_EVENT_SILENT,
            "id=%s place=%s ms=%" PRId64 " last_event=%" PRId64 " leaves=%d",
            exchange_id (exchange), exchange->target,
            now - exchange->attempt_started_ms, exchange->relay.last_event,
            leaves);
  return leaves;
}

/* What the client does with an attempt's answer.  */
const struct jc_httpc_call_ops answer_call_ops = {
  .full_head = on_heads, .data = on_data, .silent = on_silent, .done = on_done
};
