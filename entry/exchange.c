/* Exchange: one caller's request from its head to the end of its answer.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/slotroom.h"

enum
{
  /* A request waits in the queue for at most its latency objective divided by
     this, so that enough time is left to process its prompt.  */
  WAIT_DIVISOR = 3,
  /* Part of the objective that is kept for the answer itself after a wait for a
     slot of an endpoint.  */
  SHARED_ANSWER_PERCENT = 25,
  PERCENT = 100,
  HTTP_MISDIRECTED = 421
};

/* Return the id of EXCHANGE as log lines have it, "-" if the caller set
   none.  */
const char *
exchange_id (const struct exchange *exchange)
{
  return exchange->request_info.attempt_id != NULL
             ? exchange->request_info.attempt_id
             : "-";
}

/* Return the priority of EXCHANGE, 0 for the most urgent: that of its
   workspace, or else of its route.  */
unsigned int
exchange_priority (const struct exchange *exchange)
{
  const struct jc_workspace *workspace = exchange->workspace;

  return workspace != NULL && workspace->priority != JC_PRIORITY_OF_ROUTE
             ? (unsigned int)workspace->priority
             : exchange->route->priority;
}

/* End the engine's accounting of the current attempt, if any, with OUTCOME.  */
void
exchange_end_engine_run (struct exchange *exchange,
                         enum jc_engine_outcome outcome)
{
  if (exchange->engine_run != NULL)
    jc_engine_run_end (exchange->engine_run, outcome, jc_now_ms ());
  exchange->engine_run = NULL;
}

/* Return what RESULT of the current attempt means for the accounting of its
   engine.  */
static enum jc_engine_outcome
engine_outcome_of (const struct exchange *exchange,
                   const struct jc_relay_result *result)
{
  if (!result->sent)
    return JC_ENGINE_UNREACHABLE;
  if (result->whole && result->not_run)
    return JC_ENGINE_REFUSED;
  if (jc_relay_is_usable_answer (result) && exchange->answer_head.status < 500)
    return JC_ENGINE_SERVED;
  return JC_ENGINE_FAILED;
}

/* Return what RESULT of the current attempt tells of its slot at the endpoint.
   One that misdirected requests reach refuses them whatever room it has.  */
static enum jc_share_end
share_end_of (const struct exchange *exchange,
              const struct jc_relay_result *result)
{
  if (!result->whole)
    return result->sent ? JC_SHARE_ABANDONED : JC_SHARE_ENDED;
  return result->not_run && exchange->answer_head.status != HTTP_MISDIRECTED
             ? JC_SHARE_REFUSED
             : JC_SHARE_ENDED;
}

/* End EXCHANGE with STATUS because no further attempt is possible.  */
static void
end_without_attempt (struct exchange *exchange, enum jc_status status)
{
  if (exchange->relay.begun)
    outcome_end_stream (exchange, false);
  else if (jc_relay_may_have_run (&exchange->relay))
    outcome_give_up (exchange,
                     jc_relay_failure (&exchange->relay, jc_now_ms ()));
  else
    outcome_fail (exchange, status);
}

/* End EXCHANGE because another instance, whose configuration is newer, knows no
   workspace with its key.  */
static void
fail_for_key (struct exchange *exchange)
{
  callerkeys_count_refusal (exchange->router,
                            jc_key_fault_name (JC_KEY_FAULT_UNKNOWN));
  end_without_attempt (
      exchange,
      jc_fail (JC_API_KEY_REFUSED, "No workspace has the request's key."));
}

/* Decide what follows after the current attempt ended with RESULT: another
   attempt, the answer, or an error.  */
void
exchange_attempt_ended (struct exchange *exchange,
                        const struct jc_relay_result *result)
{
  int64_t now = jc_now_ms ();
  enum jc_relay_step step;

  resumptions_attempt_ended (exchange);
  quotas_note_attempt_ended (
      exchange, !result->sent || (result->whole && result->not_run));
  shares_note_end (exchange, share_end_of (exchange, result));
  fullservices_note_end (exchange, result);
  if (!exchange->remote && jc_relay_is_usable_answer (result))
    jc_slot_room_note_answer (exchange->router->slot_room, exchange->service,
                              now - exchange->attempt_started_ms);
  exchange_end_engine_run (exchange, engine_outcome_of (exchange, result));
  exchange->any_sent
      = exchange->any_sent || (result->sent && !exchange->refused_at_head);
  step = jc_relay_next_step (&exchange->relay, result, now);
  jc_event (JC_EVENT_ATTEMPT_END,
            "id=%s place=%s whole=%d sent=%d not_run=%d states=%s genuine=%d "
            "http=%d late=%d ms=%" PRId64 " step=%d",
            exchange_id (exchange), exchange->target_name, result->whole,
            result->sent, result->not_run,
            jc_statement_name (exchange->statement), result->genuine,
            result->http, result->late, now - exchange->attempt_started_ms,
            step);
  if (step == JC_RELAY_ATTEMPT && !exchange->relay.begun
      && jc_relay_is_usable_answer (result))
    outcome_save_fallback (exchange);
  switch (step)
    {
    case JC_RELAY_ATTEMPT:
      if (exchange->key_refused)
        fail_for_key (exchange);
      else
        exchange_attempt (exchange);
      break;
    case JC_RELAY_FORWARD:
      outcome_forward_answer (exchange, "answer");
      break;
    case JC_RELAY_FAIL:
      if (exchange->key_refused)
        fail_for_key (exchange);
      else
        outcome_give_up (exchange, jc_relay_failure (&exchange->relay, now));
      break;
    case JC_RELAY_END_STREAM:
    case JC_RELAY_BREAK_STREAM:
      outcome_end_stream (exchange, step == JC_RELAY_END_STREAM);
      break;
    }
}

/* Reduce the demand of EXCHANGE to what is left of its stream.  A stream that
   has begun goes before new ones.  */
static void
update_demand (struct exchange *exchange)
{
  struct jc_demand *demand = &exchange->demand;
  int64_t sent_tokens
      = (exchange->relay.last_event + 1) * (int64_t)demand->event_tokens;

  demand->priority
      = exchange->route->priority + (exchange->waiter.late ? 1 : 0);
  if (exchange->relay.last_event < 0)
    return;
  demand->priority = 0;
  demand->answer_tokens
      = (unsigned int)MAX (exchange->answer_tokens - sent_tokens, 1);
}

/* Return until when EXCHANGE may wait for an endpoint.  Where the endpoints
   have refusal limits, waiting here takes the place of waiting there: it may
   last as long as the answer can still meet its objective.  */
static int64_t
wait_until_ms (const struct exchange *exchange)
{
  const struct jc_hostroute *route = exchange->route;

  if (!shares_apply (exchange->router, exchange->service))
    return exchange->wait_until_ms;
  if (exchange->relay.begun)
    return exchange->last_event_ms + route->gap_ms;
  return exchange->started_ms
         + (PERCENT - SHARED_ANSWER_PERCENT) * route->objective_ms / PERCENT;
}

/* Return whether EXCHANGE may wait for an endpoint after NOW_MS.  */
bool
exchange_may_wait (const struct exchange *exchange, int64_t now_ms)
{
  return now_ms < wait_until_ms (exchange);
}

/* Return the input of balancer_pick for the next target of EXCHANGE at NOW_MS.
   It refers to the demand in EXCHANGE, which is updated.  */
struct balancer_query
exchange_balancer_query (struct exchange *exchange, int64_t now_ms)
{
  int64_t wait_left_ms = wait_until_ms (exchange) - now_ms;

  exchange->demand.time_left_ms = exchange->relay.deadline_ms - now_ms;
  update_demand (exchange);
  copies_find (exchange, now_ms);
  return (struct balancer_query){ .route = exchange->route,
                                  .workspace = exchange->workspace,
                                  .service = exchange->service,
                                  .demand = &exchange->demand,
                                  .software = exchange->software,
                                  .new_stream = resumptions_is_bound (exchange),
                                  .tried = exchange->tried,
                                  .avoided_regions = exchange->avoided_regions,
                                  .local_only = exchange->handed_over,
                                  .endpoints_only = exchange->endpoints_only,
                                  .may_wait = wait_left_ms > 0,
                                  .queued = exchange->waiter.waits,
                                  .wait_left_ms = wait_left_ms,
                                  .now_ms = now_ms };
}

/* Make the next attempt, or queue EXCHANGE if it should wait, and return
   whether it does.  Each attempt after the first one that may have reached an
   endpoint takes a retry from the service's budget.  */
bool
exchange_attempt (struct exchange *exchange)
{
  struct router *router = exchange->router;
  int64_t now = jc_now_ms ();
  struct balancer_query query;
  struct balancer_target target;
  enum jc_status status;

  status = quotas_charge (exchange);
  if (status == JC_CROWDED)
    return false;
  /* Time ends in the wait queue too.  */
  if (status != JC_OK)
    ;
  else if (jc_relay_may_attempt (&exchange->relay, now))
    status = resumptions_prepare (exchange);
  else
    status = jc_fail (jc_relay_failure (&exchange->relay, now),
                      "No time is left for another attempt.");
  if (status == JC_CROWDED)
    {
      holding_remove (exchange);
      return false;
    }
  if (status == JC_OK && !jc_relay_may_have_run (&exchange->relay))
    status
        = stopping_check (router, exchange->route, exchange->service,
                          &exchange->demand, exchange->relay.deadline_ms - now);
  if (status == JC_OK)
    status = crashes_check_request (exchange);
  query = exchange_balancer_query (exchange, now);
  if (status == JC_OK)
    status = balancer_pick (router, &query, &target);
  if (status == JC_NO_ENDPOINT && versionsearch_wait (exchange))
    {
      /* It is tried again by that search alone.  */
      holding_remove (exchange);
      return false;
    }
  if (status == JC_CROWDED
      || (status == JC_OVERLOADED && holding_allows (exchange)))
    {
      quotas_note_waits (exchange);
      holding_add (exchange);
      return true;
    }
  if (status == JC_OK)
    status = quotas_renew_charge (exchange);
  if (status == JC_CROWDED)
    return false;
  holding_remove (exchange);
  if (status == JC_OK && exchange->any_sent
      && !jc_budgets_take_retry (router->budgets, exchange->service, now))
    status = jc_fail (JC_OVERLOADED, "The budget of retries is spent.");
  if (status == JC_OK && target.endpoint != NULL)
    holding_note_sent (exchange);
  if (status == JC_OK)
    {
      exchange->charge_used = true;
      attempt_start (exchange, &target);
    }
  else
    end_without_attempt (exchange, status);
  return false;
}

/* Return until when EXCHANGE may take.  The time that another instance told ran
   while it sent the body.  */
static int64_t
deadline_ms (const struct exchange *exchange)
{
  const struct jc_request_info *info = &exchange->request_info;
  int64_t deadline
      = exchange->started_ms + heads_limit_ms (exchange->route, info);

  if (!exchange->handed_over || info->timeout_ms == 0)
    return deadline;
  return MIN (deadline, jc_http_head_ms (exchange->req) + info->timeout_ms);
}

/* Limit EXCHANGE, whose request was handed over, to what the sending instance
   allows.  */
static void
limit_handed_over (struct exchange *exchange)
{
  const char *allowed = jc_http_header (exchange->req, HEADER_ENDPOINTS);

  if (allowed != NULL && jc_relay_limit (&exchange->relay, allowed))
    jc_metrics_counter_add (exchange->router->entry->metrics,
                            "jaycove_stricter_handovers_total", "", 1);
}

/* Set what the demand of EXCHANGE has from the configuration of its service.
   Parts of prompts are copied only where the route limits the pauses of its
   streams, which prefilling makes longer.  */
static void
set_engine_demand (struct exchange *exchange)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (exchange->routes, exchange->service);

  if (service == NULL)
    return;
  exchange->demand.event_tokens = service->engine.event_tokens;
  if (exchange->route->gap_ms > 0)
    exchange->demand.copy_ms_per_token = service->engine.copy_ms_per_token;
}

static void
init_fingerprints (struct exchange *exchange)
{
  const char *host = jc_http_header (exchange->req, "Host");
  const struct jc_request_identity identity
      = { .method = jc_http_method (exchange->req),
          .host = host != NULL ? host : "",
          .target = jc_http_target (exchange->req),
          .body = jc_http_body (exchange->req) };

  jc_fingerprints_init (&exchange->fingerprints, exchange->service,
                        &exchange->request_info, &identity);
}

/* Start the exchange for REQ, whose body is complete.  With HANDED_OVER another
   entry instance sent it, and it is not passed on to a further one.  */
void
exchange_start (struct router *router, struct jc_http_req *req,
                bool handed_over)
{
  struct exchange *exchange;
  struct jc_request_info info;
  struct jc_key_verdict verdict;
  enum jc_status status;
  /* The configuration may have changed while the body was read.  */
  const struct jc_hostroute *route
      = heads_find_route (router, req, handed_over, &verdict, &status);

  if (status == JC_OK)
    status = router->protocol->parse_request (jc_http_head (req), &info);
  if (status != JC_OK || route == NULL)
    {
      heads_log_refused (router, req, status);
      jc_http_fail (req, status, jc_last_message (), 0);
      return;
    }
  exchange = g_new0 (struct exchange, 1);
  exchange->router = router;
  exchange->req = req;
  exchange->handed_over = handed_over;
  exchange->routes = jc_routetable_ref (router->routes);
  exchange->route = route;
  exchange->workspace = verdict.workspace;
  exchange->key_note = verdict.note;
  exchange->request_info = info;
  exchange->service
      = jc_hostroute_pick_service (route, heads_split_number (&info));
  exchange->started_ms = jc_now_ms ();
  exchange->tried = g_ptr_array_new_with_free_func (g_free);
  exchange->avoided_regions = g_ptr_array_new ();
  exchange->answer_body = g_string_new (NULL);
  exchange->fallback_body = g_string_new (NULL);
  exchange->batch = g_string_new (NULL);
  exchange->held_comments = g_string_new (NULL);
  jc_sse_init (&exchange->sse);
  init_fingerprints (exchange);
  jc_demand_init (&info, &exchange->demand);
  exchange->demand.first_event_limit_ms = route->objective_ms;
  exchange->demand.gap_limit_ms = route->gap_ms;
  /* Room at engines is kept for what has least time; the rank of workspaces
     orders the wait queue.  */
  exchange->demand.priority = route->priority;
  set_engine_demand (exchange);
  exchange->answer_tokens = exchange->demand.answer_tokens;
  exchange->wait_until_ms
      = exchange->started_ms + route->objective_ms / WAIT_DIVISOR;
  jc_relay_init (&exchange->relay, route, deadline_ms (exchange),
                 info.resume_after);
  exchange->passed_event = info.resume_after;
  resumptions_init (exchange);
  holding_init (exchange);
  jc_http_set_data (req, exchange);
  router->entry->in_flight++;
  exchange->link.data = exchange;
  g_queue_push_tail_link (&router->exchanges, &exchange->link);
  exchange->endpoints_only
      = handed_over && jc_http_header (req, HEADER_WITHIN_REGION) == NULL;
  /* The instance that the caller is connected to has paid.  */
  exchange->charged = handed_over;
  if (handed_over)
    {
      limit_handed_over (exchange);
      guests_begin (exchange);
    }
  else
    {
      jc_budgets_note_request (router->budgets, exchange->service,
                               exchange->started_ms);
      remotes_count_request (router, exchange->service, exchange->started_ms);
    }
  if (!holding_joins (exchange))
    exchange_attempt (exchange);
}

/* The caller of REQ read some of what was buffered for it: resume reading the
   answer once half of the room for it is free.  */
void
exchange_caller_writable (struct jc_http_req *req)
{
  struct exchange *exchange = jc_http_data (req);

  if (exchange == NULL || !exchange->paused || exchange->call == NULL
      || jc_http_stream_buffered (req)
             > jc_buffers_ahead_limit (BUFFERED_BYTES_MAX) / 2)
    return;
  exchange->paused = false;
  jc_httpc_call_pause (exchange->call, false);
}
