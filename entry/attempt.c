/* Attempt: a passage's request at one place, and what comes of it.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/passage.h"
#include "net/program.h"

enum
{
  /* A connect over two round trips between regions is lost.  */
  CONNECT_MS = 400,
  /* An instance of another region that acknowledges nothing for so long can't
     be reached: three round trips and a packet sent again twice.  */
  ACK_AWAY_MS = 1000,
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
  WHY_BYTES = 200,
  HTTP_WRONG_ENDPOINT = 421
};

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

static struct jc_path_end
path_end (const struct passage *passage)
{
  return (struct jc_path_end){ .instance = passage->place,
                               .zone = passage->place_zone,
                               .region = passage->place_region };
}

static void
on_heads (void *ctx, const struct jc_head *head)
{
  struct passage *passage = ctx;
  const char *type = jc_head_field (head, "Content-Type");
  const struct jc_path_end end = path_end (passage);

  passage->hosts->dialect->signs (head, &passage->signs);
  passage->heard = true;
  paths_answered (passage->hosts, &end);
  if (passage->away && refused_there (head))
    passage->signs.not_run = true;
  passage->streaming
      = passage->relay.kind == JC_ROUTE_STREAM
        && head->status == PASSAGE_HTTP_OK && passage->signs.genuine
        && type != NULL
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
  struct jc_http_header headers[PASSAGE_HEADERS_MAX];

  if (passage->relay.begun)
    return;
  passage_headers (passage, headers);
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

/* Return how the current attempt would end now, sent but not WHOLE or whole. An
   instance of another region may have used all endpoints that were left.  */
static struct jc_relay_end
attempt_end (const struct passage *passage, bool whole)
{
  return (struct jc_relay_end){
    .whole = whole,
    .sent = true,
    .not_run = passage->signs.not_run,
    .genuine = passage->signs.genuine,
    .endpoints = passage->away ? jc_relay_left (&passage->relay) : 1
  };
}

/* The attempt ended with RESULT and without an answer.  */
static void
note_unreached (struct passage *passage, const struct jc_call_result *result)
{
  const struct jc_path_end end = path_end (passage);

  paths_unreached (passage->hosts, &end, passage->attempt_ms, result);
  if (result->lost && passage->away)
    g_ptr_array_add (passage->avoided, (gpointer)passage->place_region);
}

static void
on_done (void *ctx, const struct jc_call_result *result)
{
  struct passage *passage = ctx;
  struct jc_relay_end end = attempt_end (passage, result->status == JC_OK);

  end.sent = result->sent;
  end.late = result->status == JC_TIMEOUT;
  end.http = result->http;
  passage->call = NULL;
  passage->paused = false;
  if (!passage->heard && (result->lost || !result->sent))
    note_unreached (passage, result);
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

/* Tell whether the request could go to another place now.  */
static bool
has_other_place (struct passage *passage, int64_t now_ms)
{
  struct hosts *hosts = passage->hosts;
  struct jc_relay after = passage->relay;
  const struct jc_relay_end end = attempt_end (passage, false);
  struct choice_query query;
  struct choice choice;

  if (jc_relay_after (&after, &end, now_ms) != JC_RELAY_TRY
      || !jc_budgets_may_retry (hosts->budgets, passage->service, now_ms))
    return false;
  query = passage_query (passage, now_ms);
  query.may_wait = false;
  return choice_make (hosts, &query, &choice) == JC_OK;
}

/* The endpoint is silent for long.  Its answer may still come, so that it is
   given up only where there is another place for the request.  */
static bool
on_silent (void *ctx)
{
  struct passage *passage = ctx;
  int64_t now = jc_now_ms ();
  bool leaves = has_other_place (passage, now);

  jc_event (JC_EVENT_SILENT,
            "id=%s place=%s ms=%" PRId64 " last_event=%" PRId64 " leaves=%d",
            passage_id (passage), passage->place, now - passage->attempt_ms,
            passage->relay.last_event, leaves);
  return leaves;
}

static const struct jc_call_ops call_ops = {
  .heads = on_heads, .data = on_data, .silent = on_silent, .done = on_done
};

/* Return how long the first byte of the next attempt may take, ms; 0 for as
   long as there is.  Only where another endpoint could be asked instead is
   there less than all the time.  */
static long
first_byte_ms (const struct passage *passage, int64_t left_ms)
{
  const struct jc_relay *relay = &passage->relay;
  int64_t limit = MAX (passage->route->objective_ms, FIRST_BYTE_LEAST_MS);

  if (relay->kind == JC_ROUTE_STREAM)
    limit *= STREAM_OBJECTIVES;
  if (passage->away || !jc_relay_is_idempotent (relay)
      || relay->sent + 1 >= relay->endpoints_max || limit * 2 > left_ms)
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
          .connect_ms = CONNECT_MS,
          .ack_ms = passage->away ? ACK_AWAY_MS : 0,
          .first_byte_ms = first_byte_ms (passage, left),
          .idle_ms = pause_ms (passage),
          .total_ms = (long)left,
          .once = !jc_relay_is_idempotent (relay),
          .echo_name = passage->hosts->dialect->echo_header,
          .echo_value = passage->ask.id != NULL ? passage->ask.id : "" };

  jc_event (JC_EVENT_ATTEMPT,
            "id=%s route=%s place=%s away=%d number=%u left_ms=%" PRId64
            " resume_after=%" PRId64 " %s",
            passage_id (passage), passage->route->name, passage->place,
            passage->away, relay->tried + 1, left, relay->last_event, why);
  passage->call
      = jc_call_start (passage->hosts->entry->httpc, &spec, &call_ops, passage);
  g_ptr_array_free (lines, TRUE);
  g_free (url);
}

/* Send the request to the place that CHOICE names.  */
void
attempt_start (struct passage *passage, const struct choice *choice)
{
  struct hosts *hosts = passage->hosts;
  const struct jc_endpoint *endpoint = choice->endpoint;
  char why[WHY_BYTES];

  attempt_reset (passage);
  passage->away = endpoint == NULL;
  passage->attempt_ms = jc_now_ms ();
  g_free (passage->place);
  passage->place = g_strdup (passage->away ? choice->neighbour->said.name
                                           : endpoint->name);
  passage->place_zone = g_intern_string (
      passage->away ? choice->neighbour->said.zone : endpoint->zone);
  passage->place_region
      = g_intern_string (passage->away ? choice->neighbour->said.region
                                       : hosts->entry->settings->region);
  g_ptr_array_add (passage->tried, g_strdup (passage->place));
  if (passage->away)
    {
      attempt_send (passage, choice->neighbour->said.handover_address, NULL,
                    "");
      return;
    }
  choice_log_cold (hosts, endpoint, passage_id (passage), passage->attempt_ms);
  jc_engines_explain (hosts->engines, endpoint, &passage->demand,
                      passage->attempt_ms, why, sizeof why);
  passage->run = jc_engines_start (hosts->engines, endpoint, &passage->demand,
                                   passage->attempt_ms);
  jc_budgets_cold_sent (hosts->budgets, endpoint->name, passage->attempt_ms);
  attempt_send (passage, endpoint->address, endpoint->name, why);
}
