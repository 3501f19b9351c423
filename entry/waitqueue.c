/* Waiting: requests whose turn at an engine has not come.  While they wait
   here their prompts are not read, so that the streams that run there go
   on.  */

#include "entry/exchange.h"

/* Tell whether LEFT goes before RIGHT: the more urgent, then the older.  */
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

/* Begin with nothing that waits.  */
void
waitqueue_start (struct router *router)
{
  g_queue_init (&router->wait_queue);
}

/* Forget what waits; its owners are told by their listeners.  */
void
waitqueue_stop (struct router *router)
{
  g_queue_clear (&router->wait_queue);
}

/* Have PASSAGE wait.  */
void
waitqueue_add (struct router *router, struct exchange *exchange)
{
  if (exchange->queued)
    return;
  exchange->queued = true;
  g_queue_insert_sorted (&router->wait_queue, exchange, compare_order, NULL);
}

/* PASSAGE no longer waits, if it did.  */
void
waitqueue_remove (struct router *router, struct exchange *exchange)
{
  if (!exchange->queued)
    return;
  exchange->queued = false;
  g_queue_remove (&router->wait_queue, exchange);
}

/* Give each request that waits the chance of its turn, the more urgent ones
   first.  */
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
