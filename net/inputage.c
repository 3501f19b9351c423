/* How long input that a process reads now may have waited for it.  While a
   process or its machine is suspended, input waits in the kernel, and nothing
   shows when it came.  */

#include <glib.h>

#include "net/inputage.h"
#include "net/program.h"

enum
{
  /* A poll that lasts this long had nothing ready when it began.  */
  QUIET_US = 1000,
  /* After a stop of this length all polls are in doubt for SETTLE_MS: on a busy
     machine one that finds input ready may take long, too.  */
  STOP_MS = 250,
  SETTLE_MS = 100
};

/* POLL_BEGAN_MS and POLL_BEGAN_US are when the last poll began, POLL_ENDED_MS
   when the one before the current iteration ended.  Whatever is read now came
   after QUIET_MS.  No poll counts as quiet before SETTLED_MS.  Times in ms are
   of the clock that runs through a suspension.  */
struct jc_inputage
{
  struct ev_loop *loop;
  ev_prepare before_poll;
  ev_check after_poll;
  int64_t poll_began_us;
  int64_t poll_began_ms;
  int64_t poll_ended_ms;
  int64_t quiet_ms;
  int64_t settled_ms;
};

static void
on_before_poll (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct jc_inputage *age = watcher->data;

  (void)loop;
  (void)events;
  age->poll_began_us = g_get_monotonic_time ();
  age->poll_began_ms = jc_boot_ms ();
}

static void
on_after_poll (struct ev_loop *loop, ev_check *watcher, int events)
{
  struct jc_inputage *age = watcher->data;
  int64_t now = jc_boot_ms ();

  (void)loop;
  (void)events;
  if (g_get_monotonic_time () - age->poll_began_us >= QUIET_US
      && age->poll_began_ms >= age->settled_ms)
    age->quiet_ms = age->poll_began_ms;
  if (now - age->poll_ended_ms >= STOP_MS)
    age->settled_ms = now + SETTLE_MS;
  age->poll_ended_ms = now;
}

/* Watch the polls of LOOP.  Free with jc_inputage_free.  */
struct jc_inputage *
jc_inputage_new (struct ev_loop *loop)
{
  struct jc_inputage *age = g_new0 (struct jc_inputage, 1);

  age->loop = loop;
  age->quiet_ms = age->poll_ended_ms = age->poll_began_ms = jc_boot_ms ();
  age->poll_began_us = g_get_monotonic_time ();
  ev_prepare_init (&age->before_poll, on_before_poll);
  ev_set_priority (&age->before_poll, EV_MINPRI);
  age->before_poll.data = age;
  ev_prepare_start (loop, &age->before_poll);
  ev_check_init (&age->after_poll, on_after_poll);
  ev_set_priority (&age->after_poll, EV_MAXPRI);
  age->after_poll.data = age;
  ev_check_start (loop, &age->after_poll);
  return age;
}

/* Free AGE, which may be NULL.  */
void
jc_inputage_free (struct jc_inputage *age)
{
  if (age == NULL)
    return;
  ev_prepare_stop (age->loop, &age->before_poll);
  ev_check_stop (age->loop, &age->after_poll);
  g_free (age);
}

/* Return for how many ms at most input that is read now has waited.  */
int64_t
jc_inputage_ms (const struct jc_inputage *age)
{
  return jc_boot_ms () - age->quiet_ms;
}
