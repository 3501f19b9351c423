/* Relay.  */

#include "serve/relay.h"

enum
{
  /* Less time than this is not enough for any answer.  */
  TRY_LEAST_MS = 20,
  HTTP_OK = 200,
  HTTP_SERVER_ERROR = 500
};

/* Make RELAY ready for a request of ROUTE that must be answered by
   DEADLINE_MS; the caller has events up to RESUME_AFTER, -1 for none.  */
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

/* Tell whether the request may run more than once.  */
bool
jc_relay_is_idempotent (const struct jc_relay *relay)
{
  return relay->kind == JC_ROUTE_IDEMPOTENT
         || (relay->kind == JC_ROUTE_STREAM && relay->resumable);
}

/* Tell whether another attempt may be made at NOW_MS.  */
bool
jc_relay_may_attempt (const struct jc_relay *relay, int64_t now_ms)
{
  if (relay->attempts_reached >= JC_RELAY_ATTEMPTS_MAX
      || relay->attempts_unreached >= JC_RELAY_UNREACHABLE_MAX
      || relay->deadline_ms - now_ms < TRY_LEAST_MS)
    return false;
  if (relay->endpoints_sent == 0)
    return true;
  return jc_relay_is_idempotent (relay)
         && relay->endpoints_sent < relay->endpoints_max;
}

/* Return at how many more endpoints the request may run.  */
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
try_or (const struct jc_relay *relay, enum jc_relay_step otherwise,
        int64_t now_ms)
{
  return jc_relay_may_attempt (relay, now_ms) ? JC_RELAY_ATTEMPT : otherwise;
}

/* Return what comes after an attempt that ended as END says.  */
enum jc_relay_step
jc_relay_next_step (struct jc_relay *relay, const struct jc_relay_result *end,
                    int64_t now_ms)
{
  bool answered = end->whole && end->genuine;

  if (end->sent)
    relay->attempts_reached++;
  else
    relay->attempts_unreached++;
  if (end->sent && !(end->whole && end->not_run))
    relay->endpoints_sent += end->endpoints > 1 ? end->endpoints : 1;
  if (relay->begun)
    return answered && end->http == HTTP_OK
               ? JC_RELAY_END_STREAM
               : try_or (relay, JC_RELAY_BREAK_STREAM, now_ms);
  if (end->whole && end->not_run)
    return try_or (relay, JC_RELAY_FAIL, now_ms);
  if (answered && end->http < HTTP_SERVER_ERROR)
    return JC_RELAY_FORWARD;
  return try_or (relay, answered ? JC_RELAY_FORWARD : JC_RELAY_FAIL, now_ms);
}

/* Return the kind of failure that a request is given up with: one that
   promises that it did not run only where no attempt can have run.  */
enum jc_status
jc_relay_failure (const struct jc_relay *relay, int64_t now_ms)
{
  bool late = relay->deadline_ms - now_ms < TRY_LEAST_MS;

  if (relay->begun)
    return JC_STREAM_BROKEN;
  if (relay->endpoints_sent > 0)
    return late ? JC_DEADLINE_EXCEEDED : JC_ENDPOINT_FAILED;
  return late ? JC_DEADLINE_UNMEETABLE : JC_NO_ENDPOINT;
}
