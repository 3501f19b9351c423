/* Passage: one caller's request from its head to its answer.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"

enum
{
  /* An instance that stops takes streams while it has this much time.  */
  DRAIN_STREAM_MS = 5000,
  /* When a refused caller may come back: the least, and over how long those
     that come at once are spread.  */
  /* A request waits for its turn at an engine for one of so many parts of its
     objective, so that there is time to read it.  */
  WAIT_PARTS = 3,
  RETRY_LEAST_MS = 200,
  RETRY_SPREAD_MS = 400
};

/* Return the id of PASSAGE as log lines carry it.  */
const char *
exchange_id (const struct exchange *exchange)
{
  return exchange->request_info.attempt_id != NULL
             ? exchange->request_info.attempt_id
             : "-";
}

static void
count (struct exchange *exchange, const char *outcome)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "route=\"%s\",outcome=\"%s\"",
              exchange->route->name, outcome);
  jc_metrics_counter_add (exchange->hosts->entry->metrics,
                          "jaycove_requests_total", labels, 1);
  jc_metrics_observe (exchange->hosts->entry->metrics, "jaycove_request_ms",
                      labels, (uint64_t)(jc_now_ms () - exchange->started_ms));
}

static void
passage_free (struct exchange *exchange)
{
  exchange->hosts->entry->in_flight--;
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
  g_free (exchange->target);
  g_free (exchange);
}

static void
log_end (const struct exchange *exchange, enum jc_event event,
         const char *outcome)
{
  jc_event (event,
            "id=%s route=%s service=%s outcome=%s place=%s tried=%u sent=%u "
            "ms=%" PRId64 " left_ms=%" PRId64 " version=%" PRIu64
            " guest=%d heard=%d last_event=%" PRId64 " first_ms=%" PRId64
            " gap_ms=%" PRId64,
            exchange_id (exchange), exchange->route->name, exchange->service,
            outcome, exchange->target != NULL ? exchange->target : "-",
            exchange->relay.attempts_reached, exchange->relay.endpoints_sent,
            jc_now_ms () - exchange->started_ms,
            exchange->relay.deadline_ms - jc_now_ms (),
            exchange->routes->version, exchange->handed_over,
            exchange->head_received, exchange->relay.last_event,
            exchange->first_event_ms, exchange->max_gap_ms);
}

/* Answer by a failure of this gateway's own.  */
static void
passage_fail (struct exchange *exchange, enum jc_status status)
{
  const struct jc_status_info *row = jc_status_info (status);
  bool later = row->run == JC_NOT_RUN && row->retry == JC_RETRY_AFTER;
  int64_t after_ms = RETRY_LEAST_MS + g_random_int_range (0, RETRY_SPREAD_MS);
  char after[24];

  log_end (exchange,
           row->run == JC_NOT_RUN ? JC_EVENT_REFUSED : JC_EVENT_FAILED,
           row->name);
  count (exchange, row->name);
  exchange->hosts->protocol->format_retry_after (after_ms, after, sizeof after);
  jc_http_fail_after (exchange->req, status, jc_last_message (),
                      later ? after : NULL, later ? after_ms : 0);
  passage_free (exchange);
}

static bool
goes_down (const struct exchange *exchange, const char *name)
{
  return exchange->hosts->protocol->forward_to_caller (name)
         && !jc_head_is_hop_by_hop (&exchange->answer_head, name)
         && (exchange->remote
             || (g_ascii_strcasecmp (name, HEADER_ERROR) != 0
                 && g_ascii_strcasecmp (name, HEADER_RUN) != 0));
}

/* Fill HEADERS, which ends with a NULL name, from the endpoint's head.  */
void
exchange_answer_headers (const struct exchange *exchange,
                         struct jc_http_header *headers)
{
  const struct jc_head *head = &exchange->answer_head;
  unsigned int count = 0;

  for (unsigned int i = 0; i < head->field_count; i++)
    if (goes_down (exchange, head->fields[i].name))
      headers[count++] = (struct jc_http_header){ head->fields[i].name,
                                                  head->fields[i].value };
  headers[count].name = NULL;
}

/* Keep the answer of the current attempt, an endpoint's own failure.  */
static void
keep_answer (struct exchange *exchange)
{
  jc_head_clear (&exchange->fallback_head);
  jc_head_copy (&exchange->fallback_head, &exchange->answer_head);
  g_string_truncate (exchange->fallback_body, 0);
  g_string_append_len (exchange->fallback_body, exchange->answer_body->str,
                       (gssize)exchange->answer_body->len);
  exchange->fallback_remote = exchange->remote;
}

/* Answer with what the endpoint said.  */
static void
passage_pass (struct exchange *exchange, const char *outcome)
{
  struct jc_http_header headers[EXCHANGE_HEADERS_MAX];

  log_end (exchange, JC_EVENT_SERVED, outcome);
  count (exchange,
         exchange->answer_head.status < 500 ? "served" : "endpoint_error");
  exchange_answer_headers (exchange, headers);
  jc_http_reply (exchange->req, exchange->answer_head.status, NULL,
                 jc_str_from_gstring (exchange->answer_body), headers);
  passage_free (exchange);
}

/* Give up for STATUS.  What an endpoint itself answered before tells the
   caller more than a failure of this gateway's own.  */
static void
passage_give_up (struct exchange *exchange, enum jc_status status)
{
  GString *body = exchange->answer_body;

  if (exchange->fallback_head.bytes == NULL)
    {
      passage_fail (exchange, status);
      return;
    }
  jc_head_clear (&exchange->answer_head);
  exchange->answer_head = exchange->fallback_head;
  exchange->fallback_head.bytes = NULL;
  exchange->answer_body = exchange->fallback_body;
  exchange->fallback_body = body;
  exchange->remote = exchange->fallback_remote;
  passage_pass (exchange, "kept_answer");
}

/* End the stream that has begun.  */
static void
passage_end_stream (struct exchange *exchange, bool whole)
{
  log_end (exchange, whole ? JC_EVENT_SERVED : JC_EVENT_FAILED,
           whole ? "stream" : "stream_broken");
  count (exchange, whole ? "served" : "stream_broken");
  jc_http_stream_end (exchange->req, whole);
  passage_free (exchange);
}

/* The current attempt no longer runs: it ended as HOW says.  */
void
exchange_end_engine_run (struct exchange *exchange, enum jc_engine_outcome how)
{
  if (exchange->engine_run != NULL)
    jc_engine_run_end (exchange->engine_run, how, jc_now_ms ());
  exchange->engine_run = NULL;
}

static enum jc_engine_outcome
engine_end_of (const struct exchange *exchange,
               const struct jc_relay_result *end)
{
  if (!end->sent)
    return JC_ENGINE_UNREACHABLE;
  if (end->whole && end->not_run)
    return JC_ENGINE_REFUSED;
  if (end->whole && end->genuine && exchange->answer_head.status < 500)
    return JC_ENGINE_SERVED;
  return JC_ENGINE_FAILED;
}

/* Take the next step after the current attempt ended as END says.  */
void
exchange_attempt_ended (struct exchange *exchange,
                        const struct jc_relay_result *end)
{
  int64_t now = jc_now_ms ();
  enum jc_relay_step step;

  exchange_end_engine_run (exchange, engine_end_of (exchange, end));
  exchange->any_sent = exchange->any_sent || end->sent;
  step = jc_relay_next_step (&exchange->relay, end, now);
  jc_event (JC_EVENT_ATTEMPT_END,
            "id=%s place=%s whole=%d sent=%d not_run=%d genuine=%d http=%d "
            "late=%d ms=%" PRId64 " step=%d",
            exchange_id (exchange), exchange->target, end->whole, end->sent,
            end->not_run, end->genuine, end->http, end->late,
            now - exchange->attempt_started_ms, step);
  if (step == JC_RELAY_ATTEMPT && !exchange->relay.begun && end->whole
      && end->genuine && !end->not_run)
    keep_answer (exchange);
  switch (step)
    {
    case JC_RELAY_ATTEMPT:
      exchange_attempt (exchange);
      break;
    case JC_RELAY_FORWARD:
      passage_pass (exchange, "answer");
      break;
    case JC_RELAY_FAIL:
      passage_give_up (exchange, jc_relay_failure (&exchange->relay, now));
      break;
    case JC_RELAY_END_STREAM:
    case JC_RELAY_BREAK_STREAM:
      passage_end_stream (exchange, step == JC_RELAY_END_STREAM);
      break;
    }
}

/* End a passage for which there is no further attempt, by STATUS.  */
static void
no_attempt (struct exchange *exchange, enum jc_status status)
{
  if (exchange->relay.begun)
    passage_end_stream (exchange, false);
  else if (exchange->relay.endpoints_sent > 0)
    passage_give_up (exchange,
                     jc_relay_failure (&exchange->relay, jc_now_ms ()));
  else
    passage_fail (exchange, status);
}

/* Return what the choice of PASSAGE's next place rests on at NOW_MS.  */
struct balancer_query
exchange_balancer_query (struct exchange *exchange, int64_t now_ms)
{
  exchange->demand.time_left_ms = exchange->relay.deadline_ms - now_ms;
  return (struct balancer_query){ .route = exchange->route,
                                  .service = exchange->service,
                                  .demand = &exchange->demand,
                                  .tried = exchange->tried,
                                  .avoided_regions = exchange->avoided_regions,
                                  .local_only = exchange->handed_over,
                                  .may_wait = now_ms < exchange->wait_until_ms,
                                  .now_ms = now_ms };
}

/* Make the next attempt, or wait for its turn.  One more that arrives at an
   endpoint is taken from the budget of retries.  */
void
exchange_attempt (struct exchange *exchange)
{
  struct hosts *hosts = exchange->hosts;
  int64_t now = jc_now_ms ();
  const struct balancer_query query = exchange_balancer_query (exchange, now);
  struct choice choice;
  enum jc_status status;

  status = balancer_pick (hosts, &query, &choice);
  if (status == JC_CROWDED)
    {
      waitqueue_add (hosts, exchange);
      return;
    }
  waitqueue_remove (hosts, exchange);
  if (status == JC_OK && exchange->any_sent
      && !jc_budgets_take_retry (hosts->budgets, exchange->service, now))
    status = jc_fail (JC_OVERLOADED, "The budget of retries is spent.");
  if (status == JC_OK)
    attempt_start (exchange, &choice);
  else
    no_attempt (exchange, status);
}

/* Return the route of REQ, or NULL with the reason in STATUS.  */
static const struct jc_hostroute *
find_route (const struct hosts *hosts, const struct jc_http_req *req,
            enum jc_status *status)
{
  const char *host = jc_http_header (req, "Host");
  const struct jc_hostroute *route = NULL;

  if (hosts->routes == NULL)
    {
      *status = jc_fail (JC_NOT_READY, "No configuration is in force yet.");
      return NULL;
    }
  route = jc_routetable_find (hosts->routes, host != NULL ? host : "",
                              jc_http_path (req));
  *status = route != NULL ? JC_OK
                          : jc_fail (JC_UNKNOWN_ROUTE,
                                     "No route has this host and path.");
  return route;
}

/* Tell whether an instance that drains has the time for a request of ROUTE.
   How long a stream lasts is not known; most end in the time that is left
   soon after the start.  */
static bool
drain_allows (const struct entry *entry, const struct jc_hostroute *route)
{
  int64_t left = router_drain_left_ms (entry);

  if (!entry->draining)
    return true;
  if (route->kind == JC_ROUTE_STREAM)
    return left >= DRAIN_STREAM_MS;
  return left >= route->timeout_ms;
}

/* Log that REQ is refused for STATUS by its head.  */
static void
note_refused_head (const struct hosts *hosts, const struct jc_http_req *req,
                   enum jc_status status)
{
  const char *host = jc_http_header (req, "Host");

  jc_event (JC_EVENT_REFUSED,
            "id=- method=%s path=%.80s host=%.60s outcome=%s version=%" PRIu64,
            jc_http_method (req), jc_http_path (req), host != NULL ? host : "-",
            jc_status_name (status), hosts->orders->table_version);
}

/* Check the head of REQ before its body is read.  */
enum jc_status
exchange_check_head (struct hosts *hosts, struct jc_http_req *req)
{
  struct jc_request_info ask;
  enum jc_status status;
  const struct jc_hostroute *route = find_route (hosts, req, &status);

  if (route != NULL && !drain_allows (hosts->entry, route))
    status = jc_fail (JC_DRAINING, "This instance is about to stop.");
  if (status == JC_OK)
    status = hosts->protocol->parse_request (jc_http_head (req), &ask);
  if (status != JC_OK)
    note_refused_head (hosts, req, status);
  return status;
}

/* Return a number that spreads a route's requests over its services; the
   same for each instance that the request passes.  */
static uint64_t
draw_of (const struct jc_request_info *ask)
{
  return ask->attempt_id != NULL ? jc_name_pair_hash (ask->attempt_id, "split")
                                 : (uint64_t)g_random_int ();
}

/* Keep RELAY, of a request that was handed over, to the endpoints that the
   instance before allows.  */
static void
take_endpoints (struct jc_relay *relay, const struct jc_http_req *req)
{
  const char *allowed = jc_http_header (req, HEADER_ENDPOINTS);

  if (allowed != NULL)
    relay->endpoints_max
        = MIN (relay->endpoints_max,
               (unsigned int)g_ascii_strtoull (allowed, NULL, 10));
}

static unsigned int
event_tokens (const struct exchange *exchange)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (exchange->routes, exchange->service);

  return service != NULL ? service->engine.event_tokens : 0;
}

/* Begin with REQ, whose body is read.  A GUEST was handed over by another
   entry instance and goes to no other.  */
void
exchange_start (struct hosts *hosts, struct jc_http_req *req, bool guest)
{
  struct exchange *exchange;
  struct jc_request_info ask;
  int64_t wait_ms;
  enum jc_status status;
  /* The configuration may have changed while the body was read.  */
  const struct jc_hostroute *route = find_route (hosts, req, &status);

  if (status == JC_OK)
    status = hosts->protocol->parse_request (jc_http_head (req), &ask);
  if (status != JC_OK || route == NULL)
    {
      note_refused_head (hosts, req, status);
      jc_http_fail (req, status, jc_last_message (), 0);
      return;
    }
  exchange = g_new0 (struct exchange, 1);
  exchange->hosts = hosts;
  exchange->req = req;
  exchange->handed_over = guest;
  exchange->routes = jc_routetable_ref (hosts->routes);
  exchange->route = route;
  exchange->request_info = ask;
  exchange->service = jc_hostroute_pick_service (route, draw_of (&ask));
  exchange->started_ms = jc_now_ms ();
  exchange->tried = g_ptr_array_new_with_free_func (g_free);
  exchange->avoided_regions = g_ptr_array_new ();
  exchange->answer_body = g_string_new (NULL);
  exchange->fallback_body = g_string_new (NULL);
  exchange->batch = g_string_new (NULL);
  exchange->held_comments = g_string_new (NULL);
  jc_sse_init (&exchange->sse);
  jc_demand_init (&ask, &exchange->demand);
  exchange->demand.first_event_limit_ms = route->objective_ms;
  exchange->demand.gap_limit_ms = route->gap_ms;
  exchange->demand.priority = route->priority;
  exchange->demand.event_tokens = event_tokens (exchange);
  wait_ms = ask.timeout_ms > 0 ? MIN (ask.timeout_ms, route->timeout_ms)
                               : route->timeout_ms;
  exchange->wait_until_ms
      = exchange->started_ms + route->objective_ms / WAIT_PARTS;
  jc_relay_init (&exchange->relay, route, exchange->started_ms + wait_ms,
                 ask.resume_after);
  jc_http_set_data (req, exchange);
  hosts->entry->in_flight++;
  if (guest)
    take_endpoints (&exchange->relay, req);
  else
    {
      jc_budgets_note_request (hosts->budgets, exchange->service,
                               exchange->started_ms);
      balancer_count_request (hosts, exchange->service, exchange->started_ms);
    }
  exchange_attempt (exchange);
}

/* The caller of REQ left: nothing goes on for it.  */
void
exchange_caller_closed (struct jc_http_req *req)
{
  struct exchange *exchange = jc_http_data (req);

  if (exchange == NULL)
    return;
  log_end (exchange, JC_EVENT_GONE, "caller_left");
  count (exchange, "caller_left");
  waitqueue_remove (exchange->hosts, exchange);
  if (exchange->call != NULL)
    jc_httpc_call_cancel (exchange->call);
  exchange_end_engine_run (exchange, JC_ENGINE_CALLER_LEFT);
  passage_free (exchange);
}

/* The caller of REQ took what was buffered for it.  */
void
exchange_caller_writable (struct jc_http_req *req)
{
  struct exchange *exchange = jc_http_data (req);

  if (exchange == NULL || !exchange->paused || exchange->call == NULL)
    return;
  exchange->paused = false;
  jc_httpc_call_pause (exchange->call, false);
}
