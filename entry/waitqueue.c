/* Queue of requests that wait here for room at endpoints, since their prompts
   would stall running streams there or no slot is free in time.  */

#include "entry/waitqueue.h"

struct waitqueue
{
  const struct waitqueue_ops *ops;
  struct jc_waiting *waiting;
};

/* Return an empty queue whose requests are tried with OPS.  */
struct waitqueue *
waitqueue_new (const struct waitqueue_ops *ops)
{
  struct waitqueue *queue = g_new0 (struct waitqueue, 1);

  queue->ops = ops;
  queue->waiting = jc_waiting_new ();
  return queue;
}

/* Free QUEUE, which may be NULL, without its requests: their owners are
   notified by the HTTP listeners.  */
void
waitqueue_free (struct waitqueue *queue)
{
  if (queue == NULL)
    return;
  jc_waiting_free (queue->waiting);
  g_free (queue);
}

/* Return the order of QUEUE.  */
struct jc_waiting *
waitqueue_waiting (struct waitqueue *queue)
{
  return queue->waiting;
}

/* Try to send the requests of QUEUE, in their order.  */
void
waitqueue_dispatch (struct waitqueue *queue, int64_t now_ms)
{
  struct jc_waiter_slot *slot;

  if (jc_waiting_length (queue->waiting) == 0)
    return;
  jc_waiting_begin_turn (queue->waiting, now_ms);
  while ((slot = jc_waiting_next (queue->waiting)) != NULL)
    {
      bool alike = queue->ops->finds_room_alike (slot->owner);

      if (queue->ops->try (slot->owner) && alike)
        jc_waiting_note_no_room (queue->waiting, slot);
    }
}
