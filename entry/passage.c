/* Passage: one caller's request from its head to its answer.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/hosts.h"
#include "net/program.h"
#include "serve/relay.h"
#include "serve/sse.h"

enum
{
  CONNECT_MS = 400,
  CONNECT_AWAY_MS = 1000,
  /* Shortest wait for the first byte of an attempt that may be repeated.  */
  FIRST_BYTE_LEAST_MS = 500,
  /* A stream's prompt may wait its turn: a second endpoint, which would read
     it anew, is asked after this many times the objective.  */
  STREAM_OBJECTIVES = 2,
  /* A stream that pauses this many times its allowed pause goes on
     elsewhere.  */
  PAUSES_MAX = 3,
  ANSWER_BYTES_MAX = 16 * 1024 * 1024,
  BUFFERED_MAX = 256 * 1024,
  /* An answer shows that its endpoint is there, whatever its reports do.  */
  LEASE_BY_ANSWER_MS = 4000,
  /* An instance that stops takes streams while it has this much time.  */
  DRAIN_STREAM_MS = 5000,
  HEADERS_MAX = JC_HEAD_FIELDS_MAX + 2,
  /* When a refused caller may come back: the least, and over how long those
     that come at once are spread.  */
  RETRY_LEAST_MS = 200,
  RETRY_SPREAD_MS = 400,
  WHY_BYTES = 200,
  HTTP_OK = 200,
  HTTP_WRONG_ENDPOINT = 421
};

/* Headers that one entry instance sets for another.  */
#define HEADER_ERROR "X-Jaycove-Error"
#define HEADER_RUN "X-Jaycove-Run"
/* At how many endpoints the receiver may run the request.  */
#define HEADER_ENDPOINTS "X-Jaycove-Endpoints"

/* A request under way.  REQ lives as long as this.  TABLE is the one that
   ROUTE is of.  PLACE names where the current attempt goes, AWAY that it is
   another entry instance.  HEAD is that of the answer's first attempt that
   the caller was shown, or of the last one.  FIRST_MS is how long the first
   event took, GAP_MS the longest pause after it, EVENT_MS when the last one
   came.  */
struct passage
{
  struct hosts *hosts;
  struct jc_http_req *req;
  bool guest;
  struct jc_routetable *table;
  const struct jc_hostroute *route;
  const char *service;
  struct jc_ask ask;
  struct jc_demand demand;
  struct jc_relay relay;
  int64_t started_ms;
  GPtrArray *tried;

  struct jc_call *call;
  struct jc_engine_run *run;
  char *place;
  bool away;
  bool arrived;
  int64_t attempt_ms;

  struct jc_head head;
  struct jc_signs signs;
  bool heard;
  bool streaming;
  bool out_of_order;
  GString *body;
  struct jc_sse sse;
  GString *burst;
  bool paused;
  int64_t first_ms;
  int64_t event_ms;
  int64_t gap_ms;
};

static void passage_attempt (struct passage *passage);

static const char *
id_of (const struct passage *passage)
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
  g_string_free (passage->body, TRUE);
  g_string_free (passage->burst, TRUE);
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
            id_of (passage), passage->route->name, passage->service, outcome,
            passage->place != NULL ? passage->place : "-", passage->relay.tried,
            passage->relay.sent, jc_now_ms () - passage->started_ms,
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
static void
fill_headers (const struct passage *passage, struct jc_http_header *headers)
{
  const struct jc_head *head = &passage->head;
  unsigned int count = 0;

  for (unsigned int i = 0; i < head->count; i++)
    if (goes_down (passage, head->fields[i].name))
      headers[count++] = (struct jc_http_header){ head->fields[i].name,
                                                  head->fields[i].value };
  headers[count].name = NULL;
}

/* Answer with what the endpoint said.  */
static void
passage_pass (struct passage *passage)
{
  struct jc_http_header headers[HEADERS_MAX];

  log_end (passage, JC_EVENT_SERVED, "answer");
  count (passage, passage->head.status < 500 ? "served" : "endpoint_error");
  fill_headers (passage, headers);
  jc_http_reply (passage->req, passage->head.status, NULL,
                 jc_str_of (passage->body), headers);
  passage_free (passage);
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

static void
run_over (struct passage *passage, enum jc_engine_end how)
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
static void
passage_step (struct passage *passage, const struct jc_relay_end *end)
{
  int64_t now = jc_now_ms ();
  enum jc_relay_step step;

  run_over (passage, engine_end_of (passage, end));
  passage->arrived = passage->arrived || end->sent;
  step = jc_relay_after (&passage->relay, end, now);
  jc_event (JC_EVENT_ATTEMPT_END,
            "id=%s place=%s whole=%d sent=%d not_run=%d genuine=%d http=%d "
            "late=%d ms=%" PRId64 " step=%d",
            id_of (passage), passage->place, end->whole, end->sent,
            end->not_run, end->genuine, end->http, end->late,
            now - passage->attempt_ms, step);
  switch (step)
    {
    case JC_RELAY_TRY:
      passage_attempt (passage);
      break;
    case JC_RELAY_PASS:
      passage_pass (passage);
      break;
    case JC_RELAY_FAIL:
      passage_fail (passage, jc_relay_failure (&passage->relay, now));
      break;
    case JC_RELAY_END:
    case JC_RELAY_BREAK:
      passage_end_stream (passage, step == JC_RELAY_END);
      break;
    }
}

/* Give up on what the endpoint is sending; it can't be used.  */
static void
passage_reject (struct passage *passage, const char *why)
{
  const struct jc_relay_end end
      = { .sent = true, .http = passage->head.status };

  jc_fail (JC_ENDPOINT_FAILED, "%s", why);
  jc_call_cancel (passage->call);
  passage->call = NULL;
  passage_step (passage, &end);
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

static void
note_endpoint (struct passage *passage)
{
  struct jc_endpoint *endpoint
      = jc_members_find (passage->hosts->endpoints, passage->place);
  const struct jc_signs *signs = &passage->signs;
  int64_t now = jc_now_ms ();

  if (signs->has_load && passage->run != NULL)
    jc_engine_run_load (passage->run, signs->running, signs->queued, now);
  if (endpoint == NULL)
    return;
  if (passage->head.status == HTTP_WRONG_ENDPOINT)
    {
      jc_members_leave (passage->hosts->endpoints, endpoint->name,
                        endpoint->incarnation);
      return;
    }
  endpoint->lease_until_ms
      = MAX (endpoint->lease_until_ms, now + LEASE_BY_ANSWER_MS);
  if (signs->cold_ms >= 0)
    endpoint->warm_ms = now + signs->cold_ms;
}

static void
on_heads (void *ctx, const struct jc_head *head)
{
  struct passage *passage = ctx;
  const char *type = jc_head_field (head, "Content-Type");

  passage->hosts->dialect->signs (head, &passage->signs);
  passage->heard = true;
  if (passage->away && refused_there (head))
    passage->signs.not_run = true;
  passage->streaming
      = passage->relay.kind == JC_ROUTE_STREAM && head->status == HTTP_OK
        && passage->signs.genuine && type != NULL
        && g_ascii_strncasecmp (type, "text/event-stream", 17) == 0;
  if (!passage->relay.begun)
    {
      jc_head_clear (&passage->head);
      jc_head_copy (&passage->head, head);
    }
  passage->signs.endpoint = NULL;
  if (!passage->away)
    note_endpoint (passage);
}

static void
begin_stream (struct passage *passage)
{
  struct jc_http_header headers[HEADERS_MAX];

  if (passage->relay.begun)
    return;
  fill_headers (passage, headers);
  jc_http_stream_begin (passage->req, passage->head.status, NULL, headers);
  passage->relay.begun = true;
}

/* Take a whole event.  Its id must follow on the last one that the caller
   has; one that it has already is left out.  */
static bool
take_event (void *ctx, struct jc_str event)
{
  struct passage *passage = ctx;
  int64_t *last = &passage->relay.last_event;
  int64_t id;

  if (passage->hosts->dialect->event_id (event, &id))
    {
      if (*last >= 0 && id <= *last)
        return true;
      if (*last >= 0 && id != *last + 1)
        {
          passage->out_of_order = true;
          return false;
        }
      *last = id;
    }
  g_string_append_len (passage->burst, event.data, (gssize)event.len);
  return true;
}

/* Note the time of an event: how fast the endpoint is.  */
static void
note_event (struct passage *passage)
{
  int64_t now = jc_now_ms ();

  if (passage->run != NULL)
    jc_engine_run_begun (passage->run, now);
  if (passage->event_ms == 0)
    passage->first_ms = now - passage->started_ms;
  else
    passage->gap_ms = MAX (passage->gap_ms, now - passage->event_ms);
  passage->event_ms = now;
}

static void
pass_burst (struct passage *passage)
{
  if (passage->burst->len == 0)
    return;
  note_event (passage);
  begin_stream (passage);
  jc_http_stream_write (passage->req, jc_str_of (passage->burst));
  g_string_truncate (passage->burst, 0);
  if (!passage->paused && jc_http_stream_buffered (passage->req) > BUFFERED_MAX)
    {
      passage->paused = true;
      jc_call_pause (passage->call, true);
    }
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct passage *passage = ctx;
  enum jc_status status;

  if (!passage->streaming)
    {
      g_string_append_len (passage->body, data.data, (gssize)data.len);
      if (passage->body->len > ANSWER_BYTES_MAX)
        passage_reject (passage, "The answer is too large.");
      return;
    }
  status = jc_sse_feed (&passage->sse, data, take_event, passage);
  pass_burst (passage);
  if (status != JC_OK)
    passage_reject (passage, jc_last_message ());
  else if (passage->out_of_order)
    passage_reject (passage, "An event of the stream is missing.");
}

static void
on_done (void *ctx, const struct jc_call_result *result)
{
  struct passage *passage = ctx;
  struct jc_relay_end end
      = { .whole = result->status == JC_OK,
          .sent = result->sent,
          .not_run = passage->signs.not_run,
          .genuine = passage->signs.genuine,
          .late = result->status == JC_TIMEOUT,
          .http = result->http,
          .endpoints = passage->away ? jc_relay_left (&passage->relay) : 1 };

  passage->call = NULL;
  passage->paused = false;
  if (passage->streaming && passage->sse.partial->len > 0)
    end.whole = false;
  if (passage->relay.begun && !passage->streaming)
    end.genuine = false;
  if (end.whole && passage->streaming && end.genuine)
    begin_stream (passage);
  jc_fail (result->status != JC_OK ? result->status : JC_ENDPOINT_FAILED, "%s",
           end.whole ? "The endpoint's answer can't be used."
                     : result->message);
  passage_step (passage, &end);
}

static const struct jc_call_ops call_ops
    = { .heads = on_heads, .data = on_data, .done = on_done };

/* Return how long the first byte of the next attempt may take, ms; 0 for as
   long as there is.  Only where another endpoint could be asked instead is
   there less than all the time.  */
static long
first_byte_ms (const struct passage *passage, int64_t left_ms)
{
  const struct jc_relay *relay = &passage->relay;
  int64_t limit = MAX (passage->route->objective_ms, FIRST_BYTE_LEAST_MS);

  if (!jc_relay_is_idempotent (relay) || relay->sent + 1 >= relay->endpoints_max
      || limit * 2 > left_ms)
    return 0;
  return (long)limit;
}

static long
pause_ms (const struct passage *passage)
{
  if (passage->relay.kind != JC_ROUTE_STREAM || passage->route->gap_ms == 0
      || !jc_relay_is_idempotent (&passage->relay))
    return 0;
  return (long)(PAUSES_MAX * passage->route->gap_ms);
}

static GPtrArray *
request_headers (const struct passage *passage, const struct jc_terms *terms)
{
  const struct jc_head *head = jc_http_head (passage->req);
  const struct jc_dialect *dialect = passage->hosts->dialect;
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  for (unsigned int i = 0; i < head->count; i++)
    {
      const struct jc_head_field *field = &head->fields[i];

      if (dialect->to_endpoint (field->name)
          && g_ascii_strcasecmp (field->name, HEADER_ENDPOINTS) != 0
          && !jc_head_is_hop (head, field->name))
        g_ptr_array_add (lines,
                         g_strconcat (field->name, ": ", field->value, NULL));
    }
  dialect->terms (terms, lines);
  if (passage->away)
    g_ptr_array_add (lines, g_strdup_printf (HEADER_ENDPOINTS ": %u",
                                             jc_relay_left (&passage->relay)));
  g_ptr_array_add (lines, NULL);
  return lines;
}

static void
attempt_reset (struct passage *passage)
{
  passage->heard = false;
  passage->streaming = false;
  passage->out_of_order = false;
  memset (&passage->signs, 0, sizeof passage->signs);
  g_string_truncate (passage->body, 0);
  g_string_truncate (passage->burst, 0);
  jc_sse_clear (&passage->sse);
}

static void
attempt_send (struct passage *passage, const char *address,
              const char *endpoint, const char *why)
{
  const struct jc_relay *relay = &passage->relay;
  int64_t left = relay->deadline_ms - passage->attempt_ms;
  const struct jc_terms terms = { .endpoint = endpoint,
                                  .left_ms = left,
                                  .resume_after = relay->last_event,
                                  .priority = -1 };
  GPtrArray *lines = request_headers (passage, &terms);
  char *url
      = g_strconcat ("http://", address, jc_http_target (passage->req), NULL);
  const struct jc_call_spec spec
      = { .method = jc_http_method (passage->req),
          .url = url,
          .headers = (const char *const *)lines->pdata,
          .body = jc_http_body (passage->req),
          .connect_ms = passage->away ? CONNECT_AWAY_MS : CONNECT_MS,
          .first_byte_ms = first_byte_ms (passage, left),
          .idle_ms = pause_ms (passage),
          .total_ms = (long)left,
          .once = !jc_relay_is_idempotent (relay),
          .echo_name = passage->hosts->dialect->echo_header,
          .echo_value = passage->ask.id != NULL ? passage->ask.id : "" };

  jc_event (JC_EVENT_ATTEMPT,
            "id=%s route=%s place=%s away=%d number=%u left_ms=%" PRId64
            " resume_after=%" PRId64 " %s",
            id_of (passage), passage->route->name, passage->place,
            passage->away, relay->tried + 1, left, relay->last_event, why);
  passage->call
      = jc_call_start (passage->hosts->entry->httpc, &spec, &call_ops, passage);
  g_ptr_array_free (lines, TRUE);
  g_free (url);
}

/* Send the request to the place that CHOICE names.  */
static void
attempt_start (struct passage *passage, const struct choice *choice)
{
  struct hosts *hosts = passage->hosts;
  const struct jc_endpoint *endpoint = choice->endpoint;
  const struct jc_hostservice *service
      = jc_routetable_service (passage->table, passage->service);
  char why[WHY_BYTES];

  attempt_reset (passage);
  passage->away = endpoint == NULL;
  passage->attempt_ms = jc_now_ms ();
  g_free (passage->place);
  passage->place = g_strdup (passage->away ? choice->neighbour->said.name
                                           : endpoint->name);
  g_ptr_array_add (passage->tried, g_strdup (passage->place));
  if (passage->away)
    {
      attempt_send (passage, choice->neighbour->said.handover_address, NULL,
                    "");
      return;
    }
  jc_engines_explain (hosts->engines, endpoint, &passage->demand,
                      passage->attempt_ms, why, sizeof why);
  passage->run = jc_engines_start (hosts->engines, endpoint, &passage->demand,
                                   passage->attempt_ms);
  if (service != NULL && service->cold_per_s > 0)
    jc_budgets_cold (hosts->budgets, endpoint->name, service->cold_per_s, true,
                     passage->attempt_ms);
  attempt_send (passage, endpoint->address, endpoint->name, why);
}

/* End a passage for which there is no further attempt, by STATUS.  */
static void
no_attempt (struct passage *passage, enum jc_status status)
{
  if (passage->relay.begun)
    passage_end_stream (passage, false);
  else if (passage->relay.sent > 0 && passage->heard && passage->signs.genuine
           && !passage->streaming && passage->head.status >= 500)
    passage_pass (passage);
  else if (passage->relay.sent > 0)
    passage_fail (passage, jc_relay_failure (&passage->relay, jc_now_ms ()));
  else
    passage_fail (passage, status);
}

/* Make the next attempt.  One more that arrives at an endpoint is taken from
   the budget of retries.  */
static void
passage_attempt (struct passage *passage)
{
  struct hosts *hosts = passage->hosts;
  const struct choice_query query = { .route = passage->route,
                                      .service = passage->service,
                                      .demand = &passage->demand,
                                      .tried = passage->tried,
                                      .here_only = passage->guest,
                                      .now_ms = jc_now_ms () };
  struct choice choice;
  enum jc_status status;

  passage->demand.left_ms = passage->relay.deadline_ms - query.now_ms;
  status = choice_make (hosts, &query, &choice);

  if (status == JC_OK && passage->arrived
      && !jc_budgets_retry (hosts->budgets, passage->service, query.now_ms))
    status = jc_fail (JC_OVERLOADED, "The budget of retries is spent.");
  if (status == JC_OK)
    attempt_start (passage, &choice);
  else
    no_attempt (passage, status);
}

/* Find the route of REQ, or say why there is none.  */
static enum jc_status
find_route (const struct hosts *hosts, const struct jc_http_req *req,
            const struct jc_hostroute **route)
{
  const char *host = jc_http_header (req, "Host");

  if (hosts->routes == NULL)
    return jc_fail (JC_NOT_READY, "No configuration is in force yet.");
  *route = jc_routetable_find (hosts->routes, host != NULL ? host : "",
                               jc_http_path (req));
  if (*route == NULL)
    return jc_fail (JC_UNKNOWN_ROUTE, "No route has this host and path.");
  return JC_OK;
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

/* Check the head of REQ before its body is read.  */
enum jc_status
passage_head (struct hosts *hosts, struct jc_http_req *req)
{
  const struct jc_hostroute *route = NULL;
  struct jc_ask ask;
  enum jc_status status = find_route (hosts, req, &route);

  if (status == JC_OK && !drain_allows (hosts->entry, route))
    status = jc_fail (JC_DRAINING, "This instance is about to stop.");
  if (status == JC_OK)
    status = hosts->dialect->ask (jc_http_head (req), &ask);
  if (status != JC_OK)
    jc_event (
        JC_EVENT_REFUSED,
        "id=- method=%s path=%.80s host=%.60s outcome=%s version=%" PRIu64,
        jc_http_method (req), jc_http_path (req),
        jc_http_header (req, "Host") != NULL ? jc_http_header (req, "Host")
                                             : "-",
        jc_status_name (status), hosts->orders->version);
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
  const struct jc_hostroute *route = NULL;
  struct jc_ask ask;
  int64_t wait_ms;

  /* The configuration may have changed while the body was read.  */
  if (find_route (hosts, req, &route) != JC_OK)
    {
      jc_http_fail (req, JC_UNKNOWN_ROUTE, jc_last_message (), 0);
      return;
    }
  if (hosts->dialect->ask (jc_http_head (req), &ask) != JC_OK)
    memset (&ask, 0, sizeof ask);
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
  passage->body = g_string_new (NULL);
  passage->burst = g_string_new (NULL);
  jc_sse_init (&passage->sse);
  jc_demand_of (&ask, &passage->demand);
  passage->demand.objective_ms = route->objective_ms;
  passage->demand.gap_ms = route->gap_ms;
  passage->demand.priority = route->priority;
  passage->demand.event_tokens = event_tokens (passage);
  wait_ms = ask.wait_ms > 0 ? MIN (ask.wait_ms, route->timeout_ms)
                            : route->timeout_ms;
  jc_relay_init (&passage->relay, route, passage->started_ms + wait_ms,
                 ask.resume_after);
  jc_http_set_data (req, passage);
  hosts->entry->in_flight++;
  if (guest)
    take_endpoints (&passage->relay, req);
  else
    jc_budgets_request (hosts->budgets, passage->service, passage->started_ms);
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
  if (passage->call != NULL)
    jc_call_cancel (passage->call);
  run_over (passage, JC_ENGINE_LEFT);
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
