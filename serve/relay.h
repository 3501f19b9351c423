/* Relay: what to do with a caller's request after each attempt at an
   endpoint.  */

#ifndef JC_RELAY_H
#define JC_RELAY_H

#include "base/status.h"
#include "conf/routetable.h"

enum
{
  /* Endpoints asked for one request, those included that refused it.  */
  JC_RELAY_ATTEMPTS_MAX = 4,
  /* Attempts that reached nobody, beside those: they cost a connect each, and
     the deadline bounds them too.  */
  JC_RELAY_UNREACHABLE_MAX = 8
};

/* How an attempt ended.  WHOLE: the answer came whole, with HTTP as its code.
   SENT is false only where no byte can have reached the endpoint; ENDPOINTS
   is at how many it may have run, where that is more than one.  */
struct jc_relay_result
{
  bool whole;
  bool sent;
  bool not_run;
  bool genuine;
  bool late;
  int http;
  unsigned int endpoints;
};

/* What comes next: another attempt, the endpoint's answer for the caller, a
   failure of the gateway's own, or the end of a stream that has begun, whole
   or broken off.  */
enum jc_relay_step
{
  JC_RELAY_ATTEMPT,
  JC_RELAY_FORWARD,
  JC_RELAY_FAIL,
  JC_RELAY_END_STREAM,
  JC_RELAY_BREAK_STREAM
};

/* A request under way.  TRIED counts attempts that reached somebody, UNREACHED
   the others, SENT endpoints where it may have run; LAST_EVENT is the last
   event that the caller has, -1 for none.  */
struct jc_relay
{
  enum jc_route_kind kind;
  bool resumable;
  unsigned int endpoints_max;
  int64_t deadline_ms;
  unsigned int attempts_reached;
  unsigned int attempts_unreached;
  unsigned int endpoints_sent;
  bool begun;
  int64_t last_event;
};

void jc_relay_init (struct jc_relay *relay, const struct jc_hostroute *route,
                    int64_t deadline_ms, int64_t resume_after);
bool jc_relay_is_idempotent (const struct jc_relay *relay);
bool jc_relay_may_attempt (const struct jc_relay *relay, int64_t now_ms);
unsigned int jc_relay_endpoints_left (const struct jc_relay *relay);
enum jc_relay_step jc_relay_next_step (struct jc_relay *relay,
                                       const struct jc_relay_result *end,
                                       int64_t now_ms);
enum jc_status jc_relay_failure (const struct jc_relay *relay, int64_t now_ms);

#endif
