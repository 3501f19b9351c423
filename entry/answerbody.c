/* Answer body: keeps the body of a plain answer, or passes it on as it comes.
 */

#include "entry/exchange.h"
#include "net/program.h"

enum
{
  /* Body of an answer that can't be used: so many bytes of it are read and
     dropped before the attempt is given up.  */
  UNUSABLE_BYTES_MAX = 1024 * 1024,
  /* An answer with a greater Content-Length is unusual on any route.  */
  LENGTH_USUAL_MAX = 16 * 1024 * 1024,
  /* An answer that no other attempt could replace is passed on from this size
     on: smaller ones cost the caller one write.  */
  PASS_ON_BYTES = 64 * 1024
};

/* Report what EXCHANGE has buffered of answers.  */
void
answerbody_count (struct exchange *exchange)
{
  jc_buffered_set (&exchange->buffered,
                   exchange->answer_body->allocated_len
                       + exchange->fallback_body->allocated_len
                       + exchange->batch->allocated_len
                       + exchange->held_comments->allocated_len
                       + exchange->sse.partial->allocated_len);
}

/* Stop reading the answer while the caller of EXCHANGE is slow and there is no
   room: an endpoint may cut off an answer that isn't read.  */
void
answerbody_pace (struct exchange *exchange)
{
  if (exchange->paused || exchange->call == NULL
      || jc_http_stream_buffered (exchange->req)
             <= jc_buffers_ahead_limit (BUFFERED_BYTES_MAX))
    return;
  exchange->paused = true;
  jc_httpc_call_pause (exchange->call, true);
}

/* Return true if the answer that EXCHANGE reads may go to its caller.  */
static bool
is_usable (const struct exchange *exchange)
{
  const struct jc_relay_result if_whole
      = { .whole = true,
          .genuine = exchange->answer_info.genuine && !exchange->relay.begun,
          .not_run = exchange->answer_info.not_run,
          .http = exchange->answer_head.status };

  return jc_relay_is_usable_answer (&if_whole);
}

/* Return the size up to which the body is kept, so that another attempt can
   replace an answer that breaks off.  */
static size_t
kept_bytes_max (struct exchange *exchange)
{
  size_t most
      = jc_relay_is_idempotent (&exchange->relay)
            ? answersizes_usual_max (exchange->router, exchange->route->name)
            : PASS_ON_BYTES;

  return jc_buffers_limit (most);
}

/* Return true if EXCHANGE should try another target: its answer is far larger
   than usual for its route, so that it may never end, and another target may do
   better.  */
static bool
is_unusual (struct exchange *exchange)
{
  const char *text = jc_head_field (&exchange->answer_head, "Content-Length");
  size_t usual
      = answersizes_usual_max (exchange->router, exchange->route->name);

  if (text != NULL ? g_ascii_strtoull (text, NULL, 10) <= LENGTH_USUAL_MAX
                   : exchange->body_bytes <= usual)
    return false;
  return jc_relay_is_idempotent (&exchange->relay)
         && answer_missing_alternative (exchange, jc_now_ms ()) == NULL;
}

/* Begin to pass on the answer of EXCHANGE: no other attempt can replace it from
   now on.  */
static void
pass_on (struct exchange *exchange)
{
  struct jc_http_header headers[EXCHANGE_HEADERS_MAX];

  exchange_answer_headers (exchange, headers);
  jc_http_stream_begin (exchange->req, exchange->answer_head.status, NULL,
                        headers);
  exchange->relay.begun = true;
  exchange->relay.plain = true;
  jc_http_stream_write (exchange->req,
                        jc_str_from_gstring (exchange->answer_body));
  g_string_free (exchange->answer_body, TRUE);
  exchange->answer_body = g_string_new (NULL);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_answers_passed_on_total", "", 1);
}

/* Take DATA of the body of the plain answer of EXCHANGE.  Return false if the
   attempt is to be given up since there is too much of it.  */
bool
answerbody_take (struct exchange *exchange, struct jc_str data)
{
  exchange->body_bytes += data.len;
  if (exchange->relay.plain)
    {
      jc_http_stream_write (exchange->req, data);
      answerbody_pace (exchange);
      return true;
    }
  if (!is_usable (exchange))
    return exchange->body_bytes <= UNUSABLE_BYTES_MAX;
  g_string_append_len (exchange->answer_body, data.data, (gssize)data.len);
  if (exchange->answer_body->len > kept_bytes_max (exchange))
    {
      if (is_unusual (exchange))
        return false;
      pass_on (exchange);
      answerbody_pace (exchange);
    }
  answerbody_count (exchange);
  return true;
}
