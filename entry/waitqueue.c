/* Queue of requests whose prompts would stall running streams at the endpoint
   picked for them.  While they wait here, no engine begins to process their
   prompts, and the streams go on.  */

#include "entry/exchange.h"
#include "net/program.h"

/* Order exchanges by priority, then by age, the oldest first.  */
static int
compare_order (gconstpointer left, gconstpointer right, gpointer unused)
{
  const struct exchange *a = left;
  const struct exchange *b = right;

  (void)unused;
  if (exchange_priority (a) != exchange_priority (b))
    return exchange_priority (a) < exchange_priority (b) ? -1 : 1;
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

/* Return whether EXCHANGE is behind one of FULL, the services that have no slot
   left, and may wait on.  */
static bool
is_behind (const struct exchange *exchange, const GPtrArray *full,
           int64_t now_ms)
{
  return balancer_contains_name (full, exchange->service)
         && exchange_may_wait (exchange, now_ms);
}

/* Try to send each queued request, in order of priority.  Where slots are
   shared out and one that any endpoint may serve gets none, those behind it
   wouldn't either.  */
void
waitqueue_tick (struct router *router)
{
  GList *item = router->wait_queue.head;
  GPtrArray *full = g_ptr_array_new ();
  int64_t now = jc_now_ms ();

  while (item != NULL)
    {
      struct exchange *exchange = item->data;
      const char *service = g_intern_string (exchange->service);
      bool any_endpoint = exchange->software == 0 && exchange->tried->len == 0;
      guint length = g_queue_get_length (&router->wait_queue);

      item = item->next;
      if (is_behind (exchange, full, now))
        continue;
      exchange_attempt (exchange);
      /* One that was sent or refused is no longer in the queue.  */
      if (any_endpoint && g_queue_get_length (&router->wait_queue) == length
          && shares_apply (router, service))
        g_ptr_array_add (full, (gpointer)service);
    }
  g_ptr_array_free (full, TRUE);
}
