/* Answer: what comes of an attempt, and what of it the caller gets.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/passage.h"
#include "net/program.h"
#include "serve/elsewhere.h"

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
note_given_up (struct passage *passage, enum jc_progress_fault fault)
{
  const char *reason = jc_progress_fault_name (fault);
  char labels[64];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  jc_metrics_count (passage->hosts->entry->metrics,
                    "jaycove_answers_given_up_total", labels, 1);
  jc_event (JC_EVENT_GIVEN_UP,
            "id=%s place=%s reason=%s heard=%d body=%zu last_event=%" PRId64
            " ms=%" PRId64,
            passage_id (passage), passage->place, reason, passage->heard,
            passage->body->len, passage->relay.last_event,
            jc_now_ms () - passage->attempt_ms);
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

/* The instance that was asked refused with HEAD.  */
static void
note_refused_there (struct passage *passage, const struct jc_head *head)
{
  passage->signs.not_run = true;
  if (jc_elsewhere_refuses_all (jc_head_field (head, HEADER_ERROR)))
    g_ptr_array_add (passage->avoided, (gpointer)passage->place_region);
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
    note_refused_there (passage, head);
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

/* Take an event with the number ID, which must follow on the last one that the
   caller has; one that it has already is left out.  */
static bool
take_numbered (struct passage *passage, struct jc_str event, int64_t id)
{
  int64_t *last = &passage->relay.last_event;

  if (*last >= 0 && id <= *last)
    return true;
  if (*last >= 0 && id != *last + 1)
    {
      passage->out_of_order = true;
      return false;
    }
  *last = id;
  passage->numbered = true;
  passage->step = true;
  g_string_append_len (passage->burst, passage->held->str,
                       (gssize)passage->held->len);
  g_string_truncate (passage->held, 0);
  g_string_append_len (passage->burst, event.data, (gssize)event.len);
  return true;
}

/* Take a whole event.  Comments and blank lines are held until the next event
   comes or the stream ends: alone they are no answer.  */
static bool
take_event (void *ctx, struct jc_str event)
{
  struct passage *passage = ctx;
  bool has_data = jc_sse_has_data (event);
  int64_t id;

  if (passage->hosts->dialect->event_id (event, &id))
    return take_numbered (passage, event, id);
  passage->step = passage->step || (has_data && !passage->numbered);
  g_string_append_len (has_data ? passage->burst : passage->held, event.data,
                       (gssize)event.len);
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

/* The stream is whole: pass on what was held.  */
static void
pass_rest (struct passage *passage)
{
  begin_stream (passage);
  if (passage->held->len > 0)
    jc_http_stream_write (passage->req, jc_str_of (passage->held));
  g_string_truncate (passage->held, 0);
}

static void
pass_burst (struct passage *passage)
{
  if (passage->burst->len == 0)
    return;
  if (passage->step)
    {
      note_event (passage);
      jc_call_step (passage->call);
      passage->step = false;
    }
  begin_stream (passage);
  jc_http_stream_write (passage->req, jc_str_of (passage->burst));
  g_string_truncate (passage->burst, 0);
  if (!passage->paused && jc_http_stream_buffered (passage->req) > BUFFERED_MAX)
    {
      passage->paused = true;
      jc_call_pause (passage->call, true);
    }
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

/* Tell whether the plain answer has grown over all bounds.  One that is far
   larger than the route's usual ones and says no length may be without end: it
   is given up at once where another place may do better.  */
static bool
is_too_large (struct passage *passage)
{
  const char *said = jc_head_field (&passage->head, "Content-Length");
  size_t len = passage->body->len;

  if (len > ANSWER_BYTES_MAX
      || (said != NULL && g_ascii_strtoull (said, NULL, 10) > ANSWER_BYTES_MAX))
    return true;
  if (said != NULL || passage->large
      || len <= sizes_usual (passage->hosts, passage->route->name))
    return false;
  passage->large = true;
  return jc_relay_is_idempotent (&passage->relay)
         && has_other_place (passage, jc_now_ms ());
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct passage *passage = ctx;
  enum jc_status status;

  if (!passage->streaming)
    {
      g_string_append_len (passage->body, data.data, (gssize)data.len);
      if (!is_too_large (passage))
        return;
      note_given_up (passage, JC_PROGRESS_ENDLESS);
      passage_reject (passage, "The answer is too large.");
      return;
    }
  status = jc_sse_feed (&passage->sse, data, take_event, passage);
  pass_burst (passage);
  if (status != JC_OK)
    {
      note_given_up (passage, JC_PROGRESS_ENDLESS);
      passage_reject (passage, jc_last_message ());
    }
  else if (passage->out_of_order)
    passage_reject (passage, "An event of the stream is missing.");
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
  if (result->fault != JC_PROGRESS_SOUND)
    note_given_up (passage, result->fault);
  if (!passage->heard && (result->lost || !result->sent))
    note_unreached (passage, result);
  if (passage->streaming && passage->sse.partial->len > 0)
    end.whole = false;
  if (passage->relay.begun && !passage->streaming)
    end.genuine = false;
  if (end.whole && passage->streaming && end.genuine)
    pass_rest (passage);
  if (end.whole && end.genuine && !passage->streaming)
    sizes_note (passage->hosts, passage->route->name, passage->body->len);
  jc_fail (result->status != JC_OK ? result->status : JC_ENDPOINT_FAILED, "%s",
           end.whole ? "The endpoint's answer can't be used."
                     : result->message);
  passage_step (passage, &end);
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

/* What the client does with an attempt's answer.  */
const struct jc_call_ops answer_ops = {
  .heads = on_heads, .data = on_data, .silent = on_silent, .done = on_done
};
