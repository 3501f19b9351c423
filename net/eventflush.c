/* Structured log of a process with a loop.  */

#include "base/event.h"
#include "net/eventflush.h"

enum
{
  /* Longest time that a line waits for others to leave with.  */
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

/* Write what is logged, from LOOP.  */
void
jc_eventflush_start (struct ev_loop *loop)
{
  double every_s = (double)FLUSH_MS / MS_PER_S;

  jc_event_set_enabled (true);
  ev_timer_init (&flush_timer, on_flush, every_s, every_s);
  ev_timer_start (loop, &flush_timer);
}

/* Write what is left.  */
void
jc_eventflush_stop (struct ev_loop *loop)
{
  if (ev_is_active (&flush_timer))
    ev_timer_stop (loop, &flush_timer);
  jc_event_flush (true);
}
