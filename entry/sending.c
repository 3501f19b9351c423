/* Sending: what it counts for that the request of an exchange is handed over to
   a connection.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"

/* Return the endpoint of the current attempt of EXCHANGE if it is still the
   same incarnation and may get a request now, or NULL.  */
static struct jc_endpoint *
usable_endpoint (const struct exchange *exchange, int64_t now_ms)
{
  struct jc_endpoint *endpoint
      = jc_endpoints_find (exchange->router->endpoints, exchange->target_name);

  return endpoint != NULL
                 && endpoint->incarnation == exchange->target_incarnation
                 && balancer_may_send_again (exchange->router, endpoint, now_ms)
             ? endpoint
             : NULL;
}

/* Record that the request is handed over to a connection, the first one of the
   attempt or a new one after that broke.  */
void
sending_begun (void *ctx)
{
  struct exchange *exchange = ctx;

  jc_relay_note_sent (&exchange->relay);
  if (exchange->relay.attempt_sendings == 1)
    return;
  jc_event (JC_EVENT_SENT_AGAIN, "id=%s place=%s sendings=%u ms=%" PRId64,
            exchange_id (exchange), exchange->target_name,
            exchange->relay.sendings,
            jc_now_ms () - exchange->attempt_started_ms);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_sent_again_total", "", 1);
}

/* Return true if the request, whose connection broke before any answer came,
   may be sent to the same target again over a new one.  That is a retry as any
   other: it counts towards the budget and the endpoint's limit.  */
bool
sending_may_repeat (void *ctx)
{
  struct exchange *exchange = ctx;
  struct router *router = exchange->router;
  int64_t now = jc_now_ms ();
  struct jc_endpoint *endpoint
      = exchange->remote ? NULL : usable_endpoint (exchange, now);

  if ((endpoint == NULL && !exchange->remote)
      || !jc_budgets_take_retry (router->budgets, exchange->service, now)
      || !quotas_charge_repeat (exchange))
    return false;
  if (endpoint != NULL)
    exchange->send_number
        = backpressure_note_send (router, endpoint, exchange_id (exchange));
  return true;
}
