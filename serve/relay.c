/* Attempts and retries of a relayed request.  */

#include <string.h>

#include "serve/relay.h"

/* What follows the number of endpoints in a limit.  */
#define LIMIT_ONCE "; once"
#define LIMIT_REPEATS "; repeats"

enum
{
  /* With less time left than this no answer can arrive.  */
  ATTEMPT_MIN_MS = 20,
  HTTP_OK = 200,
  HTTP_SERVER_ERROR = 500
};

/* Initialize RELAY for a request of ROUTE with its deadline at DEADLINE_MS.
   The caller has received events up to RESUME_AFTER, -1 for none.  */
void
jc_relay_init (struct jc_relay *relay, const struct jc_hostroute *route,
               int64_t deadline_ms, int64_t resume_after)
{
  *relay = (struct jc_relay){ .kind = route->kind,
                              .resumable = route->resumable,
                              .endpoints_max = route->endpoints_max,
                              .deadline_ms = deadline_ms,
                              .last_event = resume_after };
}

static bool
route_is_idempotent (const struct jc_relay *relay)
{
  return relay->kind == JC_ROUTE_IDEMPOTENT
         || (relay->kind == JC_ROUTE_STREAM && relay->resumable);
}

/* Return true if the request may run more than once.  */
bool
jc_relay_is_idempotent (const struct jc_relay *relay)
{
  return !relay->once && route_is_idempotent (relay);
}

/* Limit RELAY to ALLOWED, what jc_relay_format_limit wrote at the instance that
   handed its request over: the two may hold different configurations, and the
   stricter one applies.  An earlier build tells only how many endpoints are
   left; the last one may be all that a request has which may not be repeated.
   Return true if the request may be repeated by its route here, but not by the
   other instance's.  */
bool
jc_relay_limit (struct jc_relay *relay, const char *allowed)
{
  char *rest;
  unsigned int endpoints = (unsigned int)g_ascii_strtoull (allowed, &rest, 10);
  bool is_told_once = strcmp (rest, LIMIT_ONCE) == 0;

  relay->endpoints_max = MIN (relay->endpoints_max, endpoints);
  relay->once
      = is_told_once || (endpoints <= 1 && strcmp (rest, LIMIT_REPEATS) != 0);
  return is_told_once && route_is_idempotent (relay);
}

/* Write to OUT, of SIZE bytes, what an instance that the request is handed over
   to may do.  */
void
jc_relay_format_limit (const struct jc_relay *relay, char *out, size_t size)
{
  g_snprintf (out, size, "%u%s", jc_relay_endpoints_left (relay),
              jc_relay_is_idempotent (relay) ? LIMIT_REPEATS : LIMIT_ONCE);
}

/* Return true if the answer of RESULT may be forwarded.  An endpoint that ran
   the request may give it a status which callers take as a promise that it has
   not run; such an answer is as good as none.  */
bool
jc_relay_is_usable_answer (const struct jc_relay_result *result)
{
  return result->whole && result->genuine && !result->not_run
         && !jc_http_status_promises_not_run (result->http);
}

/* Return true unless each time that the request was sent was answered by a
   promise that it did not run.  */
bool
jc_relay_may_have_run (const struct jc_relay *relay)
{
  return relay->sendings > relay->refused;
}

/* Return true if another attempt is allowed at NOW_MS.  */
bool
jc_relay_may_attempt (const struct jc_relay *relay, int64_t now_ms)
{
  if (relay->attempts_reached >= JC_RELAY_ATTEMPTS_MAX
      || relay->attempts_unreached >= JC_RELAY_UNREACHABLE_MAX
      || relay->deadline_ms - now_ms < ATTEMPT_MIN_MS)
    return false;
  if (relay->endpoints_sent == 0)
    return true;
  return jc_relay_is_idempotent (relay)
         && relay->endpoints_sent < relay->endpoints_max;
}

/* Return the number of further endpoints that the request may run at.  */
unsigned int
jc_relay_endpoints_left (const struct jc_relay *relay)
{
  if (!jc_relay_is_idempotent (relay))
    return relay->endpoints_sent == 0 ? 1 : 0;
  return relay->endpoints_max > relay->endpoints_sent
             ? relay->endpoints_max - relay->endpoints_sent
             : 0;
}

static enum jc_relay_step
attempt_or (const struct jc_relay *relay, enum jc_relay_step otherwise,
            int64_t now_ms)
{
  return jc_relay_may_attempt (relay, now_ms) ? JC_RELAY_ATTEMPT : otherwise;
}

/* Record that the request begins to be handed over to a connection.  */
void
jc_relay_note_sent (struct jc_relay *relay)
{
  relay->sendings++;
  relay->attempt_sendings++;
}

/* Count the attempt that ended with RESULT and return the next step.  */
enum jc_relay_step
jc_relay_next_step (struct jc_relay *relay,
                    const struct jc_relay_result *result, int64_t now_ms)
{
  bool answered = jc_relay_is_usable_answer (result);
  unsigned int refused
      = relay->attempt_sendings > 0 && result->whole && result->not_run ? 1 : 0;

  if (relay->attempt_sendings > 0)
    relay->attempts_reached++;
  else
    relay->attempts_unreached++;
  if (relay->attempt_sendings > refused)
    relay->endpoints_sent += result->endpoints > 1 ? result->endpoints : 1;
  relay->refused += refused;
  relay->attempt_sendings = 0;
  if (relay->begun && answered && (relay->plain || result->http == HTTP_OK))
    return JC_RELAY_END_STREAM;
  if (relay->begun)
    return relay->unnumbered || relay->plain
               ? JC_RELAY_BREAK_STREAM
               : attempt_or (relay, JC_RELAY_BREAK_STREAM, now_ms);
  if (result->whole && result->not_run)
    return attempt_or (relay, JC_RELAY_FAIL, now_ms);
  if (answered && result->http < HTTP_SERVER_ERROR)
    return JC_RELAY_FORWARD;
  return attempt_or (relay, answered ? JC_RELAY_FORWARD : JC_RELAY_FAIL,
                     now_ms);
}

/* Return the status of a request that is given up.  It promises that the
   request did not run only if no attempt can have run.  */
enum jc_status
jc_relay_failure (const struct jc_relay *relay, int64_t now_ms)
{
  bool late = relay->deadline_ms - now_ms < ATTEMPT_MIN_MS;

  if (relay->begun)
    return JC_STREAM_BROKEN;
  if (jc_relay_may_have_run (relay))
    return late ? JC_DEADLINE_EXCEEDED : JC_ENDPOINT_FAILED;
  return late ? JC_DEADLINE_UNMEETABLE : JC_NO_ENDPOINT;
}
