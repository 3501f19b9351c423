/* Exchange: one caller's request from its head to the end of its answer.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"

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

/* Decide what follows after the current attempt ended with RESULT: another
   attempt, the answer, or an error.  */
void
exchange_attempt_ended (struct exchange *exchange,
                        const struct jc_relay_result *result)
{
  int64_t now = jc_now_ms ();
  enum jc_relay_step step;

  resumptions_attempt_ended (exchange);
  shares_note_end (exchange, share_end_of (exchange, result));
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
      exchange_attempt (exchange);
      break;
    case JC_RELAY_FORWARD:
      outcome_forward_answer (exchange, "answer");
      break;
    case JC_RELAY_FAIL:
      outcome_give_up (exchange, jc_relay_failure (&exchange->relay, now));
      break;
    case JC_RELAY_END_STREAM:
    case JC_RELAY_BREAK_STREAM:
      outcome_end_stream (exchange, step == JC_RELAY_END_STREAM);
      break;
    }
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

/* Reduce the demand of EXCHANGE to what is left of its stream.  A stream that
   has begun goes before new ones.  */
static void
update_demand (struct exchange *exchange)
{
  struct jc_demand *demand = &exchange->demand;
  int64_t sent_tokens
      = (exchange->relay.last_event + 1) * (int64_t)demand->event_tokens;

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
  return (struct balancer_query){ .route = exchange->route,
                                  .service = exchange->service,
                                  .demand = &exchange->demand,
                                  .software = exchange->software,
                                  .new_stream = resumptions_is_bound (exchange),
                                  .tried = exchange->tried,
                                  .avoided_regions = exchange->avoided_regions,
                                  .local_only = exchange->handed_over,
                                  .endpoints_only = exchange->endpoints_only,
                                  .may_wait = wait_left_ms > 0,
                                  .queued = exchange->queued,
                                  .wait_left_ms = wait_left_ms,
                                  .now_ms = now_ms };
}

/* Make the next attempt, or queue EXCHANGE if it should wait.  Each attempt
   after the first one that may have reached an endpoint takes a retry from the
   service's budget.  */
void
exchange_attempt (struct exchange *exchange)
{
  struct router *router = exchange->router;
  int64_t now = jc_now_ms ();
  struct balancer_query query;
  struct balancer_target target;
  enum jc_status status;

  /* Time ends in the wait queue too.  */
  if (jc_relay_may_attempt (&exchange->relay, now))
    status = resumptions_prepare (exchange);
  else
    status = jc_fail (jc_relay_failure (&exchange->relay, now),
                      "No time is left for another attempt.");
  if (status == JC_CROWDED)
    {
      waitqueue_remove (router, exchange);
      return;
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
      waitqueue_remove (router, exchange);
      return;
    }
  if (status == JC_CROWDED)
    {
      waitqueue_add (router, exchange);
      return;
    }
  waitqueue_remove (router, exchange);
  if (status == JC_OK && exchange->any_sent
      && !jc_budgets_take_retry (router->budgets, exchange->service, now))
    status = jc_fail (JC_OVERLOADED, "The budget of retries is spent.");
  if (status == JC_OK)
    attempt_start (exchange, &target);
  else
    end_without_attempt (exchange, status);
}

/* Return the route of REQ, or NULL.  STATUS is set to JC_OK or to the
   reason.  */
static const struct jc_hostroute *
find_route (const struct router *router, const struct jc_http_req *req,
            enum jc_status *status)
{
  const char *host = jc_http_header (req, "Host");
  const struct jc_hostroute *route = NULL;

  if (router->routes == NULL)
    {
      *status = jc_fail (JC_NOT_READY, "No configuration is in force yet.");
      return NULL;
    }
  route = jc_routetable_find (router->routes, host != NULL ? host : "",
                              jc_http_path (req));
  *status = route != NULL ? JC_OK
                          : jc_fail (JC_UNKNOWN_ROUTE,
                                     "No route has this host and path.");
  return route;
}

/* Log that REQ is refused with STATUS because of its head.  */
static void
log_refused_head (const struct router *router, const struct jc_http_req *req,
                  enum jc_status status)
{
  const char *host = jc_http_header (req, "Host");

  jc_event (JC_EVENT_REFUSED,
            "id=- method=%s path=%.80s host=%.60s outcome=%s version=%" PRIu64,
            jc_http_method (req), jc_http_path (req), host != NULL ? host : "-",
            jc_status_name (status), router->orders->table_version);
}

/* Return a number that spreads a route's requests over its services.  It
   depends on the attempt id only, for a resumed stream on that of its first
   attempt, so that each instance that the request passes picks the same
   service; without an id it is random.  */
static uint64_t
split_number (const struct jc_request_info *info)
{
  const char *id = info->resumes != NULL ? info->resumes : info->attempt_id;

  return id != NULL ? jc_name_pair_hash (id, "split")
                    : (uint64_t)g_random_int ();
}

/* Return the time that a request of ROUTE with INFO may take, ms.  */
static int64_t
limit_ms (const struct jc_hostroute *route, const struct jc_request_info *info)
{
  return info->timeout_ms > 0 ? MIN (info->timeout_ms, route->timeout_ms)
                              : route->timeout_ms;
}

/* Return until when EXCHANGE may take.  The time that another instance told ran
   while it sent the body.  */
static int64_t
deadline_ms (const struct exchange *exchange)
{
  const struct jc_request_info *info = &exchange->request_info;
  int64_t deadline = exchange->started_ms + limit_ms (exchange->route, info);

  if (!exchange->handed_over || info->timeout_ms == 0)
    return deadline;
  return MIN (deadline, jc_http_head_ms (exchange->req) + info->timeout_ms);
}

/* Check that this instance has time for a request of ROUTE with INFO.  */
static enum jc_status
check_time (struct router *router, const struct jc_hostroute *route,
            const struct jc_request_info *info)
{
  struct jc_demand demand;

  jc_demand_init (info, &demand);
  return stopping_check (router, route,
                         jc_hostroute_pick_service (route, split_number (info)),
                         &demand, limit_ms (route, info));
}

/* Check the head of REQ before its body is read: it must have a route, and a
   stopping instance must have time for it.  */
enum jc_status
exchange_check_head (struct router *router, struct jc_http_req *req)
{
  struct jc_request_info info;
  enum jc_status status;
  const struct jc_hostroute *route = find_route (router, req, &status);

  if (status == JC_OK)
    status = router->protocol->parse_request (jc_http_head (req), &info);
  if (status == JC_OK)
    status = check_time (router, route, &info);
  if (status != JC_OK)
    {
      log_refused_head (router, req, status);
      refusal_prepare (router, req, status);
    }
  return status;
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

/* Return the number of tokens per event of the service, 0 if it is unknown.  */
static unsigned int
service_event_tokens (const struct exchange *exchange)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (exchange->routes, exchange->service);

  return service != NULL ? service->engine.event_tokens : 0;
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
  enum jc_status status;
  /* The configuration may have changed while the body was read.  */
  const struct jc_hostroute *route = find_route (router, req, &status);

  if (status == JC_OK)
    status = router->protocol->parse_request (jc_http_head (req), &info);
  if (status != JC_OK || route == NULL)
    {
      log_refused_head (router, req, status);
      jc_http_fail (req, status, jc_last_message (), 0);
      return;
    }
  exchange = g_new0 (struct exchange, 1);
  exchange->router = router;
  exchange->req = req;
  exchange->handed_over = handed_over;
  exchange->routes = jc_routetable_ref (router->routes);
  exchange->route = route;
  exchange->request_info = info;
  exchange->service = jc_hostroute_pick_service (route, split_number (&info));
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
  exchange->demand.priority = route->priority;
  exchange->demand.event_tokens = service_event_tokens (exchange);
  exchange->answer_tokens = exchange->demand.answer_tokens;
  exchange->wait_until_ms
      = exchange->started_ms + route->objective_ms / WAIT_DIVISOR;
  jc_relay_init (&exchange->relay, route, deadline_ms (exchange),
                 info.resume_after);
  exchange->passed_event = info.resume_after;
  resumptions_init (exchange);
  jc_http_set_data (req, exchange);
  router->entry->in_flight++;
  exchange->link.data = exchange;
  g_queue_push_tail_link (&router->exchanges, &exchange->link);
  exchange->endpoints_only
      = handed_over && jc_http_header (req, HEADER_WITHIN_REGION) == NULL;
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
