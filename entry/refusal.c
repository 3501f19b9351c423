/* Refusal: when a refused caller should come back.  */

#include "entry/router.h"
#include "net/program.h"
#include "serve/returns.h"

enum
{
  /* A refused caller is told to retry after this time at the earliest.  */
  RETRY_AFTER_MIN_MS = 200,
  RETRY_AFTER_SPREAD_MS = 400,
  /* Callers wait for the part of the time that they have left which this
     divides it into.  */
  RETRY_LEFT_DIVISOR = 3,
  /* An instance without links to the endpoints finds out within this time when
     they are back, and the directory names another one by then.  */
  RETRY_OUT_OF_REACH_MS = 1000,
  /* A blocked request is hardly accepted again before an operator steps in.  */
  RETRY_BLOCKED_MS = 300000,
  /* Another instance takes the callers of one that stops at once; these come
     one by one.  */
  RETRY_STOPPING_MS = 50,
  RETRY_STOPPING_SPREAD_MS = 100,
  /* Time that an instance takes to start.  */
  RETRY_RESTART_MS = 1000,
  /* The spread is at least the time divided by this.  */
  RETRY_AFTER_SPREAD_DIVISOR = 4,
  RETRY_AFTER_BYTES = 24
};

/* Return the time until some instance takes the callers of ROUTER, which stops,
   ms.  */
static int64_t
stopping_ms (const struct router *router)
{
  if (neighbours_accept_callers (router))
    return RETRY_STOPPING_MS;
  return MAX (router_drain_left_ms (router->entry), 0) + RETRY_RESTART_MS;
}

/* Return the time AFTER_MS with a random part added, SPREAD_MIN_MS at least, so
   that callers refused at once do not come back at once.  */
static int64_t
spread_ms (int64_t after_ms, int64_t spread_min_ms)
{
  int64_t spread = MAX (after_ms / RETRY_AFTER_SPREAD_DIVISOR, spread_min_ms);

  return after_ms + g_random_int_range (0, (gint32)spread);
}

/* Return when a caller should come back for whom there was no room at SERVICE,
   ms: after the others who were told to, and once an endpoint accepts requests
   again, if that is known.  It gives up in LEFT_MS, 0 if that isn't known.  */
static int64_t
book_ms (struct router *router, const char *service, int64_t left_ms)
{
  int64_t now = jc_now_ms ();
  int64_t least
      = MAX (balancer_earliest_ms (router, service, now), RETRY_AFTER_MIN_MS);
  struct jc_returning caller = { .service = service,
                                 .limit_ms = left_ms / RETRY_LEFT_DIVISOR,
                                 .draw = g_random_double () };

  if (shares_apply (router, service))
    least = MAX (least, shares_wait_ms (router, service));
  if (left_ms <= 0)
    return spread_ms (least, RETRY_AFTER_SPREAD_MS);
  caller.least_ms = least;
  return jc_returns_book (router->returns, &caller, now);
}

/* Return when a caller refused with STATUS by SERVICE should come back, ms.  It
   gives up in LEFT_MS, 0 if that isn't known.  */
int64_t
refusal_retry_ms (struct router *router, const char *service,
                  enum jc_status status, int64_t left_ms)
{
  switch (status)
    {
    case JC_DRAINING:
      return spread_ms (stopping_ms (router), RETRY_STOPPING_SPREAD_MS);
    case JC_REQUEST_BLOCKED:
      return spread_ms (RETRY_BLOCKED_MS, RETRY_AFTER_SPREAD_MS);
    case JC_OUT_OF_REACH:
      return spread_ms (RETRY_OUT_OF_REACH_MS, RETRY_AFTER_SPREAD_MS);
    default:
      return book_ms (router, service, left_ms);
    }
}

/* Have the refusal of REQ with STATUS, before a service was chosen, tell when
   its caller should come back.  */
void
refusal_prepare (struct router *router, struct jc_http_req *req,
                 enum jc_status status)
{
  char text[RETRY_AFTER_BYTES];
  int64_t after_ms;

  if (status != JC_DRAINING)
    return;
  after_ms = refusal_retry_ms (router, "", status, 0);
  router->protocol->format_retry_after (after_ms, text, sizeof text);
  jc_http_set_retry_after (req, text, after_ms);
}
