/* Waiting: requests whose turn at an engine has not come.  While they wait
   here their prompts are not read, so that the streams that run there go
   on.  */

#include "entry/passage.h"

/* Tell whether LEFT goes before RIGHT: the more urgent, then the older.  */
static int
compare_turns (gconstpointer left, gconstpointer right, gpointer unused)
{
  const struct passage *a = left;
  const struct passage *b = right;

  (void)unused;
  if (a->route->priority != b->route->priority)
    return a->route->priority < b->route->priority ? -1 : 1;
  return a->started_ms < b->started_ms ? -1 : a->started_ms > b->started_ms;
}

/* Begin with nothing that waits.  */
void
waiting_start (struct hosts *hosts)
{
  g_queue_init (&hosts->waiting);
}

/* Forget what waits; its owners are told by their listeners.  */
void
waiting_stop (struct hosts *hosts)
{
  g_queue_clear (&hosts->waiting);
}

/* Have PASSAGE wait.  */
void
waiting_add (struct hosts *hosts, struct passage *passage)
{
  if (passage->waiting)
    return;
  passage->waiting = true;
  g_queue_insert_sorted (&hosts->waiting, passage, compare_turns, NULL);
}

/* PASSAGE no longer waits, if it did.  */
void
waiting_remove (struct hosts *hosts, struct passage *passage)
{
  if (!passage->waiting)
    return;
  passage->waiting = false;
  g_queue_remove (&hosts->waiting, passage);
}

/* Give each request that waits the chance of its turn, the more urgent ones
   first.  */
void
waiting_tick (struct hosts *hosts)
{
  GList *item = hosts->waiting.head;

  while (item != NULL)
    {
      struct passage *passage = item->data;

      item = item->next;
      passage_attempt (passage);
    }
}
