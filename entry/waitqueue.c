/* Queue of requests whose prompts would stall running streams at the endpoint
   picked for them.  While they wait here, no engine begins to process their
   prompts, and the streams go on.  */

#include "entry/exchange.h"

/* Order exchanges by priority, then by age, the oldest first.  */
static int
compare_order (gconstpointer left, gconstpointer right, gpointer unused)
{
  const struct exchange *a = left;
  const struct exchange *b = right;

  (void)unused;
  if (a->route->priority != b->route->priority)
    return a->route->priority < b->route->priority ? -1 : 1;
  return a->started_ms < b->started_ms ? -1 : a->started_ms > b->started_ms;
}

void
waitqueue_start (struct router *router)
{
  g_queue_init (&router->wait_queue);
}

/* Empty the queue without freeing the exchanges: their owners are notified by
   the HTTP listeners.  */
void
waitqueue_stop (struct router *router)
{
  g_queue_clear (&router->wait_queue);
}

/* Queue EXCHANGE, unless it is queued already.  */
void
waitqueue_add (struct router *router, struct exchange *exchange)
{
  if (exchange->queued)
    return;
  exchange->queued = true;
  g_queue_insert_sorted (&router->wait_queue, exchange, compare_order, NULL);
}

/* Remove EXCHANGE from the queue if it is there.  */
void
waitqueue_remove (struct router *router, struct exchange *exchange)
{
  if (!exchange->queued)
    return;
  exchange->queued = false;
  g_queue_remove (&router->wait_queue, exchange);
}

/* Try to send each queued request, in order of priority.  */
void
waitqueue_tick (struct router *router)
{
  GList *item = router->wait_queue.head;

  while (item != NULL)
    {
      struct exchange *exchange = item->data;

      item = item->next;
      exchange_attempt (exchange);
    }
}
