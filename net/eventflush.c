/* Periodic flush of the structured log.  */

#include "base/event.h"
#include "net/eventflush.h"

enum
{
  /* Longest time that a line stays in the buffer.  */
  FLUSH_MS = 200,
  MS_PER_S = 1000
};

static ev_timer flush_timer;

static void
on_flush (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  jc_event_flush (true);
}

/* Buffer structured log lines and write them from LOOP.  */
void
jc_eventflush_start (struct ev_loop *loop)
{
  double interval_s = (double)FLUSH_MS / MS_PER_S;

  jc_event_set_enabled (true);
  ev_timer_init (&flush_timer, on_flush, interval_s, interval_s);
  ev_timer_start (loop, &flush_timer);
}

/* Stop the periodic flush and write what is buffered.  */
void
jc_eventflush_stop (struct ev_loop *loop)
{
  if (ev_is_active (&flush_timer))
    ev_timer_stop (loop, &flush_timer);
  jc_event_flush (true);
}
