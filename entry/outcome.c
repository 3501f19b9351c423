/* Outcome: how an exchange ends, and what its caller is told.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/returns.h"

/* Who decided on an answer: this instance, or the endpoint that gave it.  */
enum answer_origin
{
  BY_INSTANCE,
  BY_ENDPOINT
};

/* Count OUTCOME and the duration of EXCHANGE in the metrics.  */
static void
count_outcome (struct exchange *exchange, const char *outcome)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "route=\"%s\",outcome=\"%s\"",
              exchange->route->name, outcome);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_requests_total", labels, 1);
  jc_metrics_observe (exchange->router->entry->metrics, "jaycove_request_ms",
                      labels, (uint64_t)(jc_now_ms () - exchange->started_ms));
}

static void
exchange_free (struct exchange *exchange)
{
  resumptions_forget (exchange);
  quotas_forget (exchange);
  exchange->router->entry->in_flight--;
  g_queue_unlink (&exchange->router->exchanges, &exchange->link);
  if (exchange->head_received || exchange->answer_head.bytes != NULL)
    jc_head_clear (&exchange->answer_head);
  jc_routetable_unref (exchange->routes);
  g_ptr_array_free (exchange->tried, TRUE);
  g_ptr_array_free (exchange->avoided_regions, TRUE);
  g_string_free (exchange->answer_body, TRUE);
  jc_head_clear (&exchange->fallback_head);
  g_string_free (exchange->fallback_body, TRUE);
  g_string_free (exchange->batch, TRUE);
  g_string_free (exchange->held_comments, TRUE);
  jc_sse_free (&exchange->sse);
  jc_buffered_set (&exchange->buffered, 0);
  g_free (exchange->kind);
  g_free (exchange->target_name);
  g_free (exchange->target_address);
  g_free (exchange);
}

/* Log the end of EXCHANGE as EVENT with OUTCOME.  HTTP is the status that its
   caller gets, 0 for none, BY who decided on it; statuses that callers take as
   a promise are counted.  */
static void
log_end (const struct exchange *exchange, enum jc_event event,
         const char *outcome, int http, enum answer_origin by)
{
  const char *origin = by == BY_ENDPOINT ? "endpoint" : "instance";
  const char *workspace = exchange->key_note.name;
  char label[32];

  if (event != JC_EVENT_REFUSED && !exchange->handed_over)
    jc_returns_note_end (exchange->router->returns, exchange->service,
                         jc_now_ms ());

  g_snprintf (label, sizeof label, "by=\"%s\"", origin);
  if (jc_http_status_promises_not_run (http))
    jc_metrics_counter_add (exchange->router->entry->metrics,
                            "jaycove_not_run_answers_total", label, 1);
  jc_event (
      event,
      "id=%s route=%s service=%s outcome=%s http=%d by=%s place=%s "
      "tried=%u sent=%u sendings=%u ms=%" PRId64 " left_ms=%" PRId64
      " version=%" PRIu64 " guest=%d heard=%d last_event=%" PRId64
      " first_ms=%" PRId64 " gap_ms=%" PRId64 " objective_ms=%" PRId64
      " pause_max_ms=%" PRId64 " workspace=%.60s",
      exchange_id (exchange), exchange->route->name, exchange->service, outcome,
      http, origin, exchange->target_name != NULL ? exchange->target_name : "-",
      exchange->relay.attempts_reached, exchange->relay.endpoints_sent,
      exchange->relay.sendings, jc_now_ms () - exchange->started_ms,
      exchange->relay.deadline_ms - jc_now_ms (), exchange->routes->version,
      exchange->handed_over, exchange->head_received,
      exchange->relay.last_event, exchange->first_event_ms,
      exchange->max_gap_ms, exchange->route->objective_ms,
      exchange->route->gap_ms, workspace != NULL ? workspace : "-");
}

/* Return the time after which the caller of EXCHANGE gives up, ms; 0 if that is
   another instance, which tells its caller.  */
static int64_t
caller_left_ms (const struct exchange *exchange)
{
  int64_t given = exchange->request_info.timeout_ms;

  if (exchange->handed_over)
    return 0;
  if (given <= 0)
    return exchange->relay.deadline_ms - jc_now_ms ();
  return exchange->started_ms + given - jc_now_ms ();
}

/* Return when the caller of EXCHANGE, refused with STATUS, should come back,
   ms.  */
static int64_t
retry_ms (const struct exchange *exchange, enum jc_status status)
{
  return status == JC_QUOTA_EXCEEDED
             ? exchange->quota_retry_ms
             : refusal_retry_ms (exchange->router, exchange->service, status,
                                 caller_left_ms (exchange));
}

/* Answer with an error of this gateway and free EXCHANGE.  Whatever the reason,
   the caller is told that the request has not run only if it can't have.  */
void
outcome_fail (struct exchange *exchange, enum jc_status status)
{
  bool untrue = jc_status_info (status)->run == JC_NOT_RUN
                && jc_relay_may_have_run (&exchange->relay);
  enum jc_status told = untrue ? JC_ENDPOINT_FAILED : status;
  const struct jc_status_info *row = jc_status_info (told);
  bool may_retry = row->run == JC_NOT_RUN && row->retry != JC_RETRY_NEVER;
  int64_t after_ms = may_retry ? retry_ms (exchange, status) : 0;
  char retry_after[24];

  log_end (exchange,
           row->run == JC_NOT_RUN ? JC_EVENT_REFUSED : JC_EVENT_FAILED,
           row->name, row->http_status, BY_INSTANCE);
  count_outcome (exchange, row->name);
  exchange->router->protocol->format_retry_after (after_ms, retry_after,
                                                  sizeof retry_after);
  jc_http_fail_after (exchange->req, told, jc_last_message (),
                      may_retry ? retry_after : NULL, after_ms);
  exchange_free (exchange);
}

/* Save the answer of the current attempt, an endpoint's own failure, for the
   case that no further attempt succeeds.  */
void
outcome_save_fallback (struct exchange *exchange)
{
  jc_head_clear (&exchange->fallback_head);
  jc_head_copy (&exchange->fallback_head, &exchange->answer_head);
  g_string_free (exchange->fallback_body, TRUE);
  exchange->fallback_body = exchange->answer_body;
  exchange->answer_body = g_string_new (NULL);
  exchange->fallback_remote = exchange->remote;
}

/* Forward the endpoint's answer to the caller and free EXCHANGE.  OUTCOME is
   for the log.  */
void
outcome_forward_answer (struct exchange *exchange, const char *outcome)
{
  struct jc_http_header headers[EXCHANGE_HEADERS_MAX];

  log_end (exchange, JC_EVENT_SERVED, outcome, exchange->answer_head.status,
           BY_ENDPOINT);
  count_outcome (exchange, exchange->answer_head.status < 500
                               ? "served"
                               : "endpoint_error");
  exchange_answer_headers (exchange, headers);
  jc_http_reply (exchange->req, exchange->answer_head.status, NULL,
                 jc_str_from_gstring (exchange->answer_body), headers);
  exchange_free (exchange);
}

/* Give up for STATUS.  What an endpoint itself answered before tells the caller
   more than an error of this gateway, so that is sent if there is one.  */
void
outcome_give_up (struct exchange *exchange, enum jc_status status)
{
  GString *body = exchange->answer_body;

  if (exchange->fallback_head.bytes == NULL)
    {
      outcome_fail (exchange, status);
      return;
    }
  jc_head_clear (&exchange->answer_head);
  exchange->answer_head = exchange->fallback_head;
  exchange->fallback_head.bytes = NULL;
  exchange->answer_body = exchange->fallback_body;
  exchange->fallback_body = body;
  exchange->remote = exchange->fallback_remote;
  outcome_forward_answer (exchange, "kept_answer");
}

/* End the stream that has begun, cut off unless WHOLE, and free EXCHANGE.  */
void
outcome_end_stream (struct exchange *exchange, bool whole)
{
  log_end (exchange, whole ? JC_EVENT_SERVED : JC_EVENT_FAILED,
           whole ? "stream" : "stream_broken", exchange->answer_head.status,
           BY_ENDPOINT);
  count_outcome (exchange, whole ? "served" : "stream_broken");
  jc_http_stream_end (exchange->req, whole);
  exchange_free (exchange);
}

/* The caller of REQ closed its connection: cancel the attempt and free the
   exchange.  */
void
exchange_caller_closed (struct jc_http_req *req)
{
  struct exchange *exchange = jc_http_data (req);
  enum jc_engine_outcome outcome = JC_ENGINE_CALLER_LEFT;

  if (exchange == NULL)
    return;
  log_end (exchange, JC_EVENT_GONE, "caller_left", 0, BY_INSTANCE);
  count_outcome (exchange, "caller_left");
  holding_remove (exchange);
  if (exchange->call != NULL && jc_httpc_call_is_connecting (exchange->call)
      && reach_attempt_hung (exchange))
    outcome = JC_ENGINE_UNREACHABLE;
  if (exchange->call != NULL)
    jc_httpc_call_cancel (exchange->call);
  shares_note_end (exchange, JC_SHARE_ABANDONED);
  exchange_end_engine_run (exchange, outcome);
  exchange_free (exchange);
}

/* End EXCHANGE because the process ends: tell its caller what is known, or
   break off the stream that has begun.  */
void
exchange_abort (struct exchange *exchange)
{
  enum jc_status status = jc_fail (
      jc_relay_may_have_run (&exchange->relay) ? JC_TIMEOUT : JC_DRAINING,
      "The instance stops before the request has ended.");

  holding_remove (exchange);
  if (exchange->call != NULL)
    jc_httpc_call_cancel (exchange->call);
  exchange->call = NULL;
  shares_note_end (exchange, JC_SHARE_ABANDONED);
  exchange_end_engine_run (exchange, JC_ENGINE_CALLER_LEFT);
  if (exchange->relay.begun)
    outcome_end_stream (exchange, false);
  else
    outcome_give_up (exchange, status);
}
