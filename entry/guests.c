/* Guests: requests that other entry instances handed over.  One whose sender is
   cut off is ended: the cancellation of the request wouldn't arrive.  */

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"

/* Return how long the answer to the request of EXCHANGE may pause, ms.  */
static int64_t
pause_ms (const struct exchange *exchange)
{
  const struct jc_hostroute *route = exchange->route;

  return exchange->relay.kind == JC_ROUTE_STREAM
             ? ATTEMPT_GAP_FACTOR * route->gap_ms
             : route->objective_ms;
}

/* Return whether the instance that handed EXCHANGE over is cut off, at
   NOW_MS.  */
static bool
sender_is_cut_off (struct exchange *exchange, int64_t now_ms)
{
  bool owes;
  int64_t ack_ms_ago;

  if (!jc_http_peer_acks (exchange->req, &owes, &ack_ms_ago))
    return false;
  return jc_peersilence_note (&exchange->sender_silence, owes, ack_ms_ago,
                              now_ms)
         >= jc_peersilence_limit_ms (pause_ms (exchange));
}

/* Begin to watch the sender of EXCHANGE.  A request that may not be repeated
   isn't ended, since its answer may still be delivered.  */
void
guests_begin (struct exchange *exchange)
{
  exchange->watched = jc_relay_is_idempotent (&exchange->relay);
  if (exchange->watched)
    jc_http_probe_peer (exchange->req);
}

/* End the requests whose senders are cut off.  */
void
guests_tick (struct router *router)
{
  GList *item = router->exchanges.head;
  int64_t now = jc_now_ms ();

  while (item != NULL)
    {
      struct exchange *exchange = item->data;

      item = item->next;
      if (!exchange->watched || !sender_is_cut_off (exchange, now))
        continue;
      jc_metrics_counter_add (router->entry->metrics,
                              "jaycove_guests_cut_off_total", "", 1);
      jc_http_drop_silent (exchange->req);
    }
}
