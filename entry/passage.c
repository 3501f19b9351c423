/* Passage: one caller's request from its head to its answer.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/passage.h"
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
passage_id (const struct passage *passage)
{
  return passage->ask.id != NULL ? passage->ask.id : "-";
}

static void
count (struct passage *passage, const char *outcome)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "route=\"%s\",outcome=\"%s\"",
              passage->route->name, outcome);
  jc_metrics_count (passage->hosts->entry->metrics, "jaycove_requests_total",
                    labels, 1);
  jc_metrics_observe (passage->hosts->entry->metrics, "jaycove_request_ms",
                      labels, (uint64_t)(jc_now_ms () - passage->started_ms));
}

static void
passage_free (struct passage *passage)
{
  passage->hosts->entry->in_flight--;
  if (passage->heard || passage->head.bytes != NULL)
    jc_head_clear (&passage->head);
  jc_routetable_free (passage->table);
  g_ptr_array_free (passage->tried, TRUE);
  g_ptr_array_free (passage->avoided, TRUE);
  g_string_free (passage->body, TRUE);
  jc_head_clear (&passage->kept);
  g_string_free (passage->kept_body, TRUE);
  g_string_free (passage->burst, TRUE);
  g_string_free (passage->held, TRUE);
  jc_sse_free (&passage->sse);
  g_free (passage->place);
  g_free (passage);
}

static void
log_end (const struct passage *passage, enum jc_event event,
         const char *outcome)
{
  jc_event (event,
            "id=%s route=%s service=%s outcome=%s place=%s tried=%u sent=%u "
            "ms=%" PRId64 " left_ms=%" PRId64 " version=%" PRIu64
            " guest=%d heard=%d last_event=%" PRId64 " first_ms=%" PRId64
            " gap_ms=%" PRId64,
            passage_id (passage), passage->route->name, passage->service,
            outcome, passage->place != NULL ? passage->place : "-",
            passage->relay.tried, passage->relay.sent,
            jc_now_ms () - passage->started_ms,
            passage->relay.deadline_ms - jc_now_ms (), passage->table->version,
            passage->guest, passage->heard, passage->relay.last_event,
            passage->first_ms, passage->gap_ms);
}

/* Answer by a failure of this gateway's own.  */
static void
passage_fail (struct passage *passage, enum jc_status status)
{
  const struct jc_status_row *row = jc_status_row (status);
  bool later = row->run == JC_NOT_RUN && row->retry == JC_RETRY_AFTER;
  int64_t after_ms = RETRY_LEAST_MS + g_random_int_range (0, RETRY_SPREAD_MS);
  char after[24];

  log_end (passage, row->run == JC_NOT_RUN ? JC_EVENT_REFUSED : JC_EVENT_FAILED,
           row->name);
  count (passage, row->name);
  passage->hosts->dialect->retry_after (after_ms, after, sizeof after);
  jc_http_fail_after (passage->req, status, jc_last_message (),
                      later ? after : NULL, later ? after_ms : 0);
  passage_free (passage);
}

static bool
goes_down (const struct passage *passage, const char *name)
{
  return passage->hosts->dialect->to_caller (name)
         && !jc_head_is_hop (&passage->head, name)
         && (passage->away
             || (g_ascii_strcasecmp (name, HEADER_ERROR) != 0
                 && g_ascii_strcasecmp (name, HEADER_RUN) != 0));
}

/* Fill HEADERS, which ends with a NULL name, from the endpoint's head.  */
void
passage_headers (const struct passage *passage, struct jc_http_header *headers)
{
  const struct jc_head *head = &passage->head;
  unsigned int count = 0;

  for (unsigned int i = 0; i < head->count; i++)
    if (goes_down (passage, head->fields[i].name))
      headers[count++] = (struct jc_http_header){ head->fields[i].name,
                                                  head->fields[i].value };
  headers[count].name = NULL;
}

/* Keep the answer of the current attempt, an endpoint's own failure.  */
static void
keep_answer (struct passage *passage)
{
  jc_head_clear (&passage->kept);
  jc_head_copy (&passage->kept, &passage->head);
  g_string_truncate (passage->kept_body, 0);
  g_string_append_len (passage->kept_body, passage->body->str,
                       (gssize)passage->body->len);
  passage->kept_away = passage->away;
}

/* Answer with what the endpoint said.  */
static void
passage_pass (struct passage *passage, const char *outcome)
{
  struct jc_http_header headers[PASSAGE_HEADERS_MAX];

  log_end (passage, JC_EVENT_SERVED, outcome);
  count (passage, passage->head.status < 500 ? "served" : "endpoint_error");
  passage_headers (passage, headers);
  jc_http_reply (passage->req, passage->head.status, NULL,
                 jc_str_of (passage->body), headers);
  passage_free (passage);
}

/* Give up for STATUS.  What an endpoint itself answered before tells the
   caller more than a failure of this gateway's own.  */
static void
passage_give_up (struct passage *passage, enum jc_status status)
{
  GString *body = passage->body;

  if (passage->kept.bytes == NULL)
    {
      passage_fail (passage, status);
      return;
    }
  jc_head_clear (&passage->head);
  passage->head = passage->kept;
  passage->kept.bytes = NULL;
  passage->body = passage->kept_body;
  passage->kept_body = body;
  passage->away = passage->kept_away;
  passage_pass (passage, "kept_answer");
}

/* End the stream that has begun.  */
static void
passage_end_stream (struct passage *passage, bool whole)
{
  log_end (passage, whole ? JC_EVENT_SERVED : JC_EVENT_FAILED,
           whole ? "stream" : "stream_broken");
  count (passage, whole ? "served" : "stream_broken");
  jc_http_stream_end (passage->req, whole);
  passage_free (passage);
}

/* The current attempt no longer runs: it ended as HOW says.  */
void
passage_run_over (struct passage *passage, enum jc_engine_end how)
{
  if (passage->run != NULL)
    jc_engine_run_end (passage->run, how, jc_now_ms ());
  passage->run = NULL;
}

static enum jc_engine_end
engine_end_of (const struct passage *passage, const struct jc_relay_end *end)
{
  if (!end->sent)
    return JC_ENGINE_UNREACHABLE;
  if (end->whole && end->not_run)
    return JC_ENGINE_REFUSED;
  if (end->whole && end->genuine && passage->head.status < 500)
    return JC_ENGINE_SERVED;
  return JC_ENGINE_BROKEN;
}

/* Take the next step after the current attempt ended as END says.  */
void
passage_step (struct passage *passage, const struct jc_relay_end *end)
{
  int64_t now = jc_now_ms ();
  enum jc_relay_step step;

  passage_run_over (passage, engine_end_of (passage, end));
  passage->arrived = passage->arrived || end->sent;
  step = jc_relay_after (&passage->relay, end, now);
  jc_event (JC_EVENT_ATTEMPT_END,
            "id=%s place=%s whole=%d sent=%d not_run=%d genuine=%d http=%d "
            "late=%d ms=%" PRId64 " step=%d",
            passage_id (passage), passage->place, end->whole, end->sent,
            end->not_run, end->genuine, end->http, end->late,
            now - passage->attempt_ms, step);
  if (step == JC_RELAY_TRY && !passage->relay.begun && end->whole
      && end->genuine && !end->not_run)
    keep_answer (passage);
  switch (step)
    {
    case JC_RELAY_TRY:
      passage_attempt (passage);
      break;
    case JC_RELAY_PASS:
      passage_pass (passage, "answer");
      break;
    case JC_RELAY_FAIL:
      passage_give_up (passage, jc_relay_failure (&passage->relay, now));
      break;
    case JC_RELAY_END:
    case JC_RELAY_BREAK:
      passage_end_stream (passage, step == JC_RELAY_END);
      break;
    }
}

/* End a passage for which there is no further attempt, by STATUS.  */
static void
no_attempt (struct passage *passage, enum jc_status status)
{
  if (passage->relay.begun)
    passage_end_stream (passage, false);
  else if (passage->relay.sent > 0)
    passage_give_up (passage, jc_relay_failure (&passage->relay, jc_now_ms ()));
  else
    passage_fail (passage, status);
}

/* Return what the choice of PASSAGE's next place rests on at NOW_MS.  */
struct choice_query
passage_query (struct passage *passage, int64_t now_ms)
{
  passage->demand.left_ms = passage->relay.deadline_ms - now_ms;
  return (struct choice_query){ .route = passage->route,
                                .service = passage->service,
                                .demand = &passage->demand,
                                .tried = passage->tried,
                                .avoided = passage->avoided,
                                .here_only = passage->guest,
                                .may_wait = now_ms < passage->wait_until_ms,
                                .now_ms = now_ms };
}

/* Make the next attempt, or wait for its turn.  One more that arrives at an
   endpoint is taken from the budget of retries.  */
void
passage_attempt (struct passage *passage)
{
  struct hosts *hosts = passage->hosts;
  int64_t now = jc_now_ms ();
  const struct choice_query query = passage_query (passage, now);
  struct choice choice;
  enum jc_status status;

  status = choice_make (hosts, &query, &choice);
  if (status == JC_CROWDED)
    {
      waiting_add (hosts, passage);
      return;
    }
  waiting_remove (hosts, passage);
  if (status == JC_OK && passage->arrived
      && !jc_budgets_retry (hosts->budgets, passage->service, now))
    status = jc_fail (JC_OVERLOADED, "The budget of retries is spent.");
  if (status == JC_OK)
    attempt_start (passage, &choice);
  else
    no_attempt (passage, status);
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
  int64_t left = hosts_drain_left_ms (entry);

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
            jc_status_name (status), hosts->orders->version);
}

/* Check the head of REQ before its body is read.  */
enum jc_status
passage_head (struct hosts *hosts, struct jc_http_req *req)
{
  struct jc_ask ask;
  enum jc_status status;
  const struct jc_hostroute *route = find_route (hosts, req, &status);

  if (route != NULL && !drain_allows (hosts->entry, route))
    status = jc_fail (JC_DRAINING, "This instance is about to stop.");
  if (status == JC_OK)
    status = hosts->dialect->ask (jc_http_head (req), &ask);
  if (status != JC_OK)
    note_refused_head (hosts, req, status);
  return status;
}

/* Return a number that spreads a route's requests over its services; the
   same for each instance that the request passes.  */
static uint64_t
draw_of (const struct jc_ask *ask)
{
  return ask->id != NULL ? jc_member_hash (ask->id, "split")
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
event_tokens (const struct passage *passage)
{
  const struct jc_hostservice *service
      = jc_routetable_service (passage->table, passage->service);

  return service != NULL ? service->engine.event_tokens : 0;
}

/* Begin with REQ, whose body is read.  A GUEST was handed over by another
   entry instance and goes to no other.  */
void
passage_start (struct hosts *hosts, struct jc_http_req *req, bool guest)
{
  struct passage *passage;
  struct jc_ask ask;
  int64_t wait_ms;
  enum jc_status status;
  /* The configuration may have changed while the body was read.  */
  const struct jc_hostroute *route = find_route (hosts, req, &status);

  if (status == JC_OK)
    status = hosts->dialect->ask (jc_http_head (req), &ask);
  if (status != JC_OK || route == NULL)
    {
      note_refused_head (hosts, req, status);
      jc_http_fail (req, status, jc_last_message (), 0);
      return;
    }
  passage = g_new0 (struct passage, 1);
  passage->hosts = hosts;
  passage->req = req;
  passage->guest = guest;
  passage->table = jc_routetable_hold (hosts->routes);
  passage->route = route;
  passage->ask = ask;
  passage->service = jc_hostroute_pick (route, draw_of (&ask));
  passage->started_ms = jc_now_ms ();
  passage->tried = g_ptr_array_new_with_free_func (g_free);
  passage->avoided = g_ptr_array_new ();
  passage->body = g_string_new (NULL);
  passage->kept_body = g_string_new (NULL);
  passage->burst = g_string_new (NULL);
  passage->held = g_string_new (NULL);
  jc_sse_init (&passage->sse);
  jc_demand_of (&ask, &passage->demand);
  passage->demand.objective_ms = route->objective_ms;
  passage->demand.gap_ms = route->gap_ms;
  passage->demand.priority = route->priority;
  passage->demand.event_tokens = event_tokens (passage);
  wait_ms = ask.wait_ms > 0 ? MIN (ask.wait_ms, route->timeout_ms)
                            : route->timeout_ms;
  passage->wait_until_ms
      = passage->started_ms + route->objective_ms / WAIT_PARTS;
  jc_relay_init (&passage->relay, route, passage->started_ms + wait_ms,
                 ask.resume_after);
  jc_http_set_data (req, passage);
  hosts->entry->in_flight++;
  if (guest)
    take_endpoints (&passage->relay, req);
  else
    {
      jc_budgets_request (hosts->budgets, passage->service,
                          passage->started_ms);
      choice_count (hosts, passage->service, passage->started_ms);
    }
  passage_attempt (passage);
}

/* The caller of REQ left: nothing goes on for it.  */
void
passage_gone (struct jc_http_req *req)
{
  struct passage *passage = jc_http_data (req);

  if (passage == NULL)
    return;
  log_end (passage, JC_EVENT_GONE, "caller_left");
  count (passage, "caller_left");
  waiting_remove (passage->hosts, passage);
  if (passage->call != NULL)
    jc_call_cancel (passage->call);
  passage_run_over (passage, JC_ENGINE_LEFT);
  passage_free (passage);
}

/* The caller of REQ took what was buffered for it.  */
void
passage_room (struct jc_http_req *req)
{
  struct passage *passage = jc_http_data (req);

  if (passage == NULL || !passage->paused || passage->call == NULL)
    return;
  passage->paused = false;
  jc_call_pause (passage->call, false);
}
