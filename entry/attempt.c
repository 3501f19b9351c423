/* Attempt: sends the request of an exchange to one target.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"

enum
{
  /* A connection attempt that takes longer than two round trips between regions
     is lost.  */
  CONNECT_MS = 400,
  /* An instance of another region that acknowledges no data for this long can't
     be reached: three round trips and two retransmissions of a packet.  */
  ACK_REMOTE_MS = 1000,
  /* Shortest timeout for the start of an answer to an attempt that may be
     repeated.  */
  FIRST_MIN_MS = 500,
  /* A stream's prompt may wait in the endpoint's queue: another endpoint, which
     would process the prompt again, is asked only after this many times the
     route's latency objective.  */
  STREAM_FIRST_FACTOR = 2,
  EXPLAIN_BYTES = 200
};

/* Return the timeout for the head of the next attempt's answer, or for a
   stream's first event, ms; 0 means no limit but the deadline.  It is limited
   only if another endpoint could be asked instead and LEFT_MS, the time to the
   deadline, is at least twice the timeout.  */
static long
first_timeout_ms (const struct exchange *exchange, int64_t left_ms)
{
  const struct jc_relay *relay = &exchange->relay;
  int64_t limit = MAX (exchange->route->objective_ms, FIRST_MIN_MS);

  if (relay->kind == JC_ROUTE_STREAM)
    limit *= STREAM_FIRST_FACTOR;
  if (exchange->remote || !jc_relay_is_idempotent (relay)
      || relay->endpoints_sent + 1 >= relay->endpoints_max
      || limit * 2 > left_ms)
    return 0;
  return (long)limit;
}

/* Return how long the answer may make no progress after its first byte, ms; 0
   means no limit.  It applies to the time between two events of a stream and
   between two blocks of a plain body.  */
static long
pause_timeout_ms (const struct exchange *exchange)
{
  const struct jc_hostroute *route = exchange->route;

  if (!jc_relay_is_idempotent (&exchange->relay))
    return 0;
  if (exchange->relay.kind == JC_ROUTE_STREAM)
    return (long)(ATTEMPT_GAP_FACTOR * route->gap_ms);
  return (long)MAX (route->objective_ms, FIRST_MIN_MS);
}

/* Return the header lines of the next attempt, ended by NULL: those of the
   caller that endpoints may see, without hop-by-hop fields, and those for
   INFO.  */
static GPtrArray *
request_headers (const struct exchange *exchange,
                 const struct jc_attempt_info *info)
{
  const struct jc_head *head = jc_http_head (exchange->req);
  const struct jc_protocol *protocol = exchange->router->protocol;
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  char limit[JC_RELAY_LIMIT_BYTES];

  for (unsigned int i = 0; i < head->field_count; i++)
    {
      const struct jc_head_field *field = &head->fields[i];

      if (protocol->forward_to_endpoint (field->name)
          && !callerkeys_hide (exchange->router, &exchange->key_note,
                               field->name)
          && g_ascii_strcasecmp (field->name, HEADER_ENDPOINTS) != 0
          && g_ascii_strcasecmp (field->name, HEADER_SOFTWARE) != 0
          && g_ascii_strcasecmp (field->name, HEADER_WITHIN_REGION) != 0
          && !jc_head_is_hop_by_hop (head, field->name))
        g_ptr_array_add (lines,
                         g_strconcat (field->name, ": ", field->value, NULL));
    }
  protocol->add_attempt_headers (info, lines);
  if (exchange->remote)
    {
      jc_relay_format_limit (&exchange->relay, limit, sizeof limit);
      g_ptr_array_add (lines, g_strconcat (HEADER_ENDPOINTS ": ", limit, NULL));
      callerkeys_append_note (exchange->router, &exchange->key_note, lines);
    }
  if (exchange->remote
      && strcmp (exchange->target_region,
                 exchange->router->entry->settings->region)
             != 0)
    g_ptr_array_add (lines, g_strdup (HEADER_WITHIN_REGION ": 1"));
  if (exchange->remote && exchange->software != 0)
    g_ptr_array_add (lines, g_strdup_printf (HEADER_SOFTWARE ": %016" PRIx64,
                                             exchange->software));
  g_ptr_array_add (lines, NULL);
  return lines;
}

/* Clear what the previous attempt left in EXCHANGE.  */
static void
attempt_reset (struct exchange *exchange)
{
  exchange->body_bytes = 0;
  exchange->refused_at_head = false;
  exchange->key_refused = false;
  exchange->head_received = false;
  exchange->streaming = false;
  exchange->has_event_gap = false;
  memset (&exchange->answer_info, 0, sizeof exchange->answer_info);
  exchange->statement = JC_STATEMENT_NONE;
  g_string_truncate (exchange->answer_body, 0);
  g_string_truncate (exchange->batch, 0);
  g_string_truncate (exchange->held_comments, 0);
  exchange->has_event_ids = false;
  exchange->ends_unnumbered = exchange->relay.unnumbered;
  exchange->continues = exchange->relay.begun;
  exchange->relay.last_event = exchange->passed_event;
  exchange->progressed = false;
  exchange->attempt_first_event_ms = 0;
  jc_sse_clear (&exchange->sse);
  answerbody_count (exchange);
}

static void
attempt_send (struct exchange *exchange, const char *address,
              const char *endpoint, const char *copy_from,
              const char *explanation)
{
  const struct jc_relay *relay = &exchange->relay;
  int64_t left = relay->deadline_ms - exchange->attempt_started_ms;
  const struct jc_attempt_info info = { .endpoint = endpoint,
                                        .copy_from = copy_from,
                                        .workspace = exchange->key_note.name,
                                        .time_left_ms = left,
                                        .resume_after = relay->last_event,
                                        .priority = -1 };
  GPtrArray *lines = request_headers (exchange, &info);
  char *url
      = g_strconcat ("http://", address, jc_http_target (exchange->req), NULL);
  const struct jc_httpc_call_spec spec
      = { .method = jc_http_method (exchange->req),
          .url = url,
          .headers = (const char *const *)lines->pdata,
          .body = jc_http_body (exchange->req),
          .connect_timeout_ms = CONNECT_MS,
          .ack_timeout_ms = exchange->remote ? ACK_REMOTE_MS : 0,
          .first_progress_ms = first_timeout_ms (exchange, left),
          .progress_pause_ms = pause_timeout_ms (exchange),
          .progress_kind = relay->kind == JC_ROUTE_STREAM ? JC_PROGRESS_STEPS
                                                          : JC_PROGRESS_BLOCKS,
          .total_timeout_ms = (long)left,
          .no_resend = !jc_relay_is_idempotent (relay),
          .echo_name = exchange->router->protocol->echo_header,
          .echo_value = exchange->request_info.attempt_id != NULL
                            ? exchange->request_info.attempt_id
                            : "" };

  uint64_t software = exchange->software;

  if (!exchange->remote)
    software
        = jc_endpoints_find (exchange->router->endpoints, endpoint)->software;
  jc_event (JC_EVENT_ATTEMPT,
            "id=%s route=%s version=%" PRIu64
            " repeats=%d place=%s away=%d number=%u left_ms=%" PRId64
            " resume_after=%" PRId64 " software=%016" PRIx64 " %s",
            exchange_id (exchange), exchange->route->name,
            exchange->routes->version, jc_relay_is_idempotent (relay),
            exchange->target_name, exchange->remote,
            relay->attempts_reached + 1, left, relay->last_event, software,
            explanation);
  exchange->call = jc_httpc_call_start (exchange->router->entry->httpc, &spec,
                                        &answer_call_ops, exchange);
  g_ptr_array_free (lines, TRUE);
  g_free (url);
}

/* Send the request to TARGET.  */
void
attempt_start (struct exchange *exchange, const struct balancer_target *target)
{
  struct router *router = exchange->router;
  const struct jc_endpoint *endpoint = target->endpoint;
  char explanation[EXPLAIN_BYTES];
  const char *copy_from;

  attempt_reset (exchange);
  exchange->remote = endpoint == NULL;
  exchange->unproven_attempt = false;
  exchange->attempt_started_ms = jc_now_ms ();
  g_free (exchange->target_name);
  exchange->target_name = g_strdup (
      exchange->remote ? target->neighbour->presence.name : endpoint->name);
  exchange->target_zone = g_intern_string (
      exchange->remote ? target->neighbour->presence.zone : endpoint->zone);
  exchange->target_region
      = g_intern_string (exchange->remote ? target->neighbour->presence.region
                                          : router->entry->settings->region);
  g_ptr_array_add (exchange->tried, g_strdup (exchange->target_name));
  if (exchange->remote)
    {
      shares_note_handover (router, exchange->target_name, exchange->service);
      neighbours_note_handover (router, exchange->target_region,
                                exchange->service, &exchange->demand,
                                exchange->attempt_started_ms);
      attempt_send (exchange, target->neighbour->presence.handover_address,
                    NULL, NULL, "");
      return;
    }
  balancer_log_cold (router, endpoint, exchange_id (exchange),
                     exchange->attempt_started_ms);
  exchange->target_incarnation = endpoint->incarnation;
  resumptions_attempt_started (exchange, endpoint);
  misdirections_note_send (router, endpoint);
  exchange->send_number
      = backpressure_note_send (router, endpoint, exchange_id (exchange));
  shares_note_send (exchange, endpoint);
  copy_from = copies_source (exchange, endpoint, exchange->attempt_started_ms);
  jc_engines_explain (router->engines, endpoint, &exchange->demand,
                      exchange->attempt_started_ms, explanation,
                      sizeof explanation);
  exchange->engine_run
      = jc_engines_start (router->engines, endpoint, &exchange->demand,
                          exchange->attempt_started_ms);
  fleetclient_note_send (router, endpoint, exchange->attempt_started_ms);
  jc_budgets_note_cold_send (router->budgets, endpoint->name,
                             exchange->attempt_started_ms);
  attempt_send (exchange, endpoint->address, endpoint->name, copy_from,
                explanation);
}
