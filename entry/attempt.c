/* Attempt: a passage's request as it goes to one place.  */

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
  /* Shortest wait for the head of an attempt that may be repeated.  */
  FIRST_LEAST_MS = 500,
  /* A stream's prompt may wait its turn: a second endpoint, which would read
     it anew, is asked after this many times the objective.  */
  STREAM_OBJECTIVES = 2,
  /* A stream that pauses this many times its allowed pause goes on
     elsewhere.  */
  PAUSES_MAX = 3,
  WHY_BYTES = 200
};

/* Return how long the head of the next attempt's answer, or a stream's first
   event, may take, ms; 0 for as long as there is.  Only where another endpoint
   could be asked instead is there less than all the time.  */
static long
first_ms (const struct passage *passage, int64_t left_ms)
{
  const struct jc_relay *relay = &passage->relay;
  int64_t limit = MAX (passage->route->objective_ms, FIRST_LEAST_MS);

  if (relay->kind == JC_ROUTE_STREAM)
    limit *= STREAM_OBJECTIVES;
  if (passage->away || !jc_relay_is_idempotent (relay)
      || relay->sent + 1 >= relay->endpoints_max || limit * 2 > left_ms)
    return 0;
  return (long)limit;
}

/* Return how long the answer may stand still after that, ms, 0 for no limit: a
   stream between two events, a plain one between two blocks of its body.  */
static long
pause_ms (const struct passage *passage)
{
  const struct jc_hostroute *route = passage->route;

  if (!jc_relay_is_idempotent (&passage->relay))
    return 0;
  if (passage->relay.kind == JC_ROUTE_STREAM)
    return (long)(PAUSES_MAX * route->gap_ms);
  return (long)MAX (route->objective_ms, FIRST_LEAST_MS);
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
  passage->large = false;
  passage->heard = false;
  passage->streaming = false;
  passage->out_of_order = false;
  memset (&passage->signs, 0, sizeof passage->signs);
  g_string_truncate (passage->body, 0);
  g_string_truncate (passage->burst, 0);
  g_string_truncate (passage->held, 0);
  passage->numbered = false;
  passage->step = false;
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
          .first_ms = first_ms (passage, left),
          .pause_ms = pause_ms (passage),
          .steps = relay->kind == JC_ROUTE_STREAM ? JC_PROGRESS_STEPS
                                                  : JC_PROGRESS_BLOCKS,
          .total_ms = (long)left,
          .once = !jc_relay_is_idempotent (relay),
          .echo_name = passage->hosts->dialect->echo_header,
          .echo_value = passage->ask.id != NULL ? passage->ask.id : "" };

  jc_event (JC_EVENT_ATTEMPT,
            "id=%s route=%s place=%s away=%d number=%u left_ms=%" PRId64
            " resume_after=%" PRId64 " %s",
            passage_id (passage), passage->route->name, passage->place,
            passage->away, relay->tried + 1, left, relay->last_event, why);
  passage->call = jc_call_start (passage->hosts->entry->httpc, &spec,
                                 &answer_ops, passage);
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
