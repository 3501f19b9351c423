/* Relay: decides after each attempt at an endpoint what to do with the caller's
   request.  */

#ifndef JC_RELAY_H
#define JC_RELAY_H

#include "base/status.h"
#include "conf/routetable.h"

enum
{
  /* Bytes for what jc_relay_format_limit writes.  */
  JC_RELAY_LIMIT_BYTES = 24,
  /* Attempts per request that reached an endpoint, including those it
     refused.  */
  JC_RELAY_ATTEMPTS_MAX = 4,
  /* Additional attempts that reached no endpoint.  Each costs a connect, and
     the deadline limits them too.  */
  JC_RELAY_UNREACHABLE_MAX = 8
};

/* The result of an attempt.  WHOLE is true if the answer is complete; HTTP is
   its status code.  SENT is false only if no byte can have reached the
   endpoint.  GENUINE is true if the answer has the endpoint's signature,
   NOT_RUN if it promises that the request did not run, LATE if the attempt
   timed out.  ENDPOINTS is the number of endpoints that the request may have
   run at, if more than one.  */
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

/* The next step: start another attempt, forward the endpoint's answer, fail
   with an error of the gateway, or end a stream that has begun, complete or
   broken.  */
enum jc_relay_step
{
  JC_RELAY_ATTEMPT,
  JC_RELAY_FORWARD,
  JC_RELAY_FAIL,
  JC_RELAY_END_STREAM,
  JC_RELAY_BREAK_STREAM
};

/* A request in progress.  ATTEMPTS_REACHED counts the attempts that reached an
   endpoint, ATTEMPTS_UNREACHED the others.  SENDINGS counts how often the
   request began to be handed over to a connection, ATTEMPT_SENDINGS how often
   in the current attempt, REFUSED how many of these were answered by a promise
   that the request did not run.  Such an answer speaks for its own connection
   alone, so the request may have run once SENDINGS is more.  ENDPOINTS_SENT is
   the number of endpoints that the request may have run at.  BEGUN is true once
   a stream to the caller has begun; LAST_EVENT is the last event that the
   caller has, -1 for none.  UNNUMBERED means that the caller got events without
   an id after that one, so that no other attempt can go on with the stream.
   ONCE means that the instance which handed the request over may not repeat
   it.  PLAIN means that it is a plain answer, passed on as it comes, which no
   other attempt can go on with either.  */
struct jc_relay
{
  enum jc_route_kind kind;
  bool resumable;
  bool once;
  unsigned int endpoints_max;
  int64_t deadline_ms;
  unsigned int attempts_reached;
  unsigned int attempts_unreached;
  unsigned int sendings;
  unsigned int attempt_sendings;
  unsigned int refused;
  unsigned int endpoints_sent;
  bool begun;
  int64_t last_event;
  bool unnumbered;
  bool plain;
};

void jc_relay_init (struct jc_relay *relay, const struct jc_hostroute *route,
                    int64_t deadline_ms, int64_t resume_after);
bool jc_relay_limit (struct jc_relay *relay, const char *allowed);
void jc_relay_format_limit (const struct jc_relay *relay, char *out,
                            size_t size);
bool jc_relay_is_idempotent (const struct jc_relay *relay);
bool jc_relay_is_usable_answer (const struct jc_relay_result *result);
bool jc_relay_may_attempt (const struct jc_relay *relay, int64_t now_ms);
unsigned int jc_relay_endpoints_left (const struct jc_relay *relay);
bool jc_relay_may_have_run (const struct jc_relay *relay);
void jc_relay_note_sent (struct jc_relay *relay);
enum jc_relay_step jc_relay_next_step (struct jc_relay *relay,
                                       const struct jc_relay_result *result,
                                       int64_t now_ms);
enum jc_status jc_relay_failure (const struct jc_relay *relay, int64_t now_ms);

#endif
