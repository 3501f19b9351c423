/* Attempt: a passage's request as it goes to one place.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
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
first_ms (const struct exchange *exchange, int64_t left_ms)
{
  const struct jc_relay *relay = &exchange->relay;
  int64_t limit = MAX (exchange->route->objective_ms, FIRST_LEAST_MS);

  if (relay->kind == JC_ROUTE_STREAM)
    limit *= STREAM_OBJECTIVES;
  if (exchange->remote || !jc_relay_is_idempotent (relay)
      || relay->endpoints_sent + 1 >= relay->endpoints_max
      || limit * 2 > left_ms)
    return 0;
  return (long)limit;
}

/* Return how long the answer may stand still after that, ms, 0 for no limit: a
   stream between two events, a plain one between two blocks of its body.  */
static long
pause_ms (const struct exchange *exchange)
{
  const struct jc_hostroute *route = exchange->route;

  if (!jc_relay_is_idempotent (&exchange->relay))
    return 0;
  if (exchange->relay.kind == JC_ROUTE_STREAM)
    return (long)(PAUSES_MAX * route->gap_ms);
  return (long)MAX (route->objective_ms, FIRST_LEAST_MS);
}

static GPtrArray *
request_headers (const struct exchange *exchange,
                 const struct jc_attempt_info *terms)
{
  const struct jc_head *head = jc_http_head (exchange->req);
  const struct jc_protocol *dialect = exchange->hosts->protocol;
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  for (unsigned int i = 0; i < head->field_count; i++)
    {
      const struct jc_head_field *field = &head->fields[i];

      if (dialect->forward_to_endpoint (field->name)
          && g_ascii_strcasecmp (field->name, HEADER_ENDPOINTS) != 0
          && !jc_head_is_hop_by_hop (head, field->name))
        g_ptr_array_add (lines,
                         g_strconcat (field->name, ": ", field->value, NULL));
    }
  dialect->add_attempt_headers (terms, lines);
  if (exchange->remote)
    g_ptr_array_add (
        lines, g_strdup_printf (HEADER_ENDPOINTS ": %u",
                                jc_relay_endpoints_left (&exchange->relay)));
  g_ptr_array_add (lines, NULL);
  return lines;
}

static void
attempt_reset (struct exchange *exchange)
{
  exchange->oversized = false;
  exchange->head_received = false;
  exchange->streaming = false;
  exchange->has_event_gap = false;
  memset (&exchange->answer_info, 0, sizeof exchange->answer_info);
  g_string_truncate (exchange->answer_body, 0);
  g_string_truncate (exchange->batch, 0);
  g_string_truncate (exchange->held_comments, 0);
  exchange->has_event_ids = false;
  exchange->progressed = false;
  jc_sse_clear (&exchange->sse);
}

static void
attempt_send (struct exchange *exchange, const char *address,
              const char *endpoint, const char *why)
{
  const struct jc_relay *relay = &exchange->relay;
  int64_t left = relay->deadline_ms - exchange->attempt_started_ms;
  const struct jc_attempt_info terms = { .endpoint = endpoint,
                                         .time_left_ms = left,
                                         .resume_after = relay->last_event,
                                         .priority = -1 };
  GPtrArray *lines = request_headers (exchange, &terms);
  char *url
      = g_strconcat ("http://", address, jc_http_target (exchange->req), NULL);
  const struct jc_httpc_call_spec spec
      = { .method = jc_http_method (exchange->req),
          .url = url,
          .headers = (const char *const *)lines->pdata,
          .body = jc_http_body (exchange->req),
          .connect_timeout_ms = CONNECT_MS,
          .ack_timeout_ms = exchange->remote ? ACK_AWAY_MS : 0,
          .first_progress_ms = first_ms (exchange, left),
          .progress_pause_ms = pause_ms (exchange),
          .progress_kind = relay->kind == JC_ROUTE_STREAM ? JC_PROGRESS_STEPS
                                                          : JC_PROGRESS_BLOCKS,
          .total_timeout_ms = (long)left,
          .no_resend = !jc_relay_is_idempotent (relay),
          .echo_name = exchange->hosts->protocol->echo_header,
          .echo_value = exchange->request_info.attempt_id != NULL
                            ? exchange->request_info.attempt_id
                            : "" };

  jc_event (JC_EVENT_ATTEMPT,
            "id=%s route=%s place=%s away=%d number=%u left_ms=%" PRId64
            " resume_after=%" PRId64 " %s",
            exchange_id (exchange), exchange->route->name, exchange->target,
            exchange->remote, relay->attempts_reached + 1, left,
            relay->last_event, why);
  exchange->call = jc_httpc_call_start (exchange->hosts->entry->httpc, &spec,
                                        &answer_call_ops, exchange);
  g_ptr_array_free (lines, TRUE);
  g_free (url);
}

/* Send the request to the place that CHOICE names.  */
void
attempt_start (struct exchange *exchange, const struct choice *choice)
{
  struct hosts *hosts = exchange->hosts;
  const struct jc_endpoint *endpoint = choice->endpoint;
  char why[WHY_BYTES];

  attempt_reset (exchange);
  exchange->remote = endpoint == NULL;
  exchange->attempt_started_ms = jc_now_ms ();
  g_free (exchange->target);
  exchange->target = g_strdup (
      exchange->remote ? choice->neighbour->presence.name : endpoint->name);
  exchange->target_zone = g_intern_string (
      exchange->remote ? choice->neighbour->presence.zone : endpoint->zone);
  exchange->target_region
      = g_intern_string (exchange->remote ? choice->neighbour->presence.region
                                          : hosts->entry->settings->region);
  g_ptr_array_add (exchange->tried, g_strdup (exchange->target));
  if (exchange->remote)
    {
      attempt_send (exchange, choice->neighbour->presence.handover_address,
                    NULL, "");
      return;
    }
  balancer_log_cold (hosts, endpoint, exchange_id (exchange),
                     exchange->attempt_started_ms);
  jc_engines_explain (hosts->engines, endpoint, &exchange->demand,
                      exchange->attempt_started_ms, why, sizeof why);
  exchange->engine_run
      = jc_engines_start (hosts->engines, endpoint, &exchange->demand,
                          exchange->attempt_started_ms);
  jc_budgets_note_cold_send (hosts->budgets, endpoint->name,
                             exchange->attempt_started_ms);
  attempt_send (exchange, endpoint->address, endpoint->name, why);
}
