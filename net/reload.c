/* Settings that change while a daemon runs.  */

#include <signal.h>
#include <sys/stat.h>

#include "base/event.h"
#include "base/log.h"
#include "net/reload.h"

#define PART "settings"

enum
{
  /* How often the file is looked at: it may change without a signal.  */
  LOOK_MS = 1000,
  MS_PER_S = 1000
};

/* What tells one state of the file from another.  */
struct mark
{
  struct timespec changed;
  off_t size;
  ino_t inode;
};

static struct
{
  const struct jc_program *program;
  jc_reload_fn *fn;
  void *ctx;
  struct mark mark;
  ev_signal hangup;
  ev_timer look;
} reload;

static bool
mark_take (struct mark *mark)
{
  struct stat info;

  if (stat (jc_program_settings_file (), &info) != 0)
    return false;
  *mark = (struct mark){ .changed = info.st_mtim,
                         .size = info.st_size,
                         .inode = info.st_ino };
  return true;
}

static bool
mark_equal (const struct mark *a, const struct mark *b)
{
  return a->changed.tv_sec == b->changed.tv_sec
         && a->changed.tv_nsec == b->changed.tv_nsec && a->size == b->size
         && a->inode == b->inode;
}

/* Read the settings; where they are faulty those in force stay.  */
static void
read_again (const char *why)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  void *settings = jc_table_load (reload.program->table,
                                  jc_program_settings_file (), faults);

  jc_event (JC_EVENT_RELOAD, "why=%s faults=%u first=\"%.100s\"", why,
            faults->len,
            faults->len > 0 ? (const char *)g_ptr_array_index (faults, 0) : "");
  for (guint i = 0; i < faults->len; i++)
    jc_error (PART, "%s", (const char *)g_ptr_array_index (faults, i));
  if (faults->len == 0 && settings != NULL)
    reload.fn (reload.ctx, settings);
  jc_table_unref (reload.program->table, settings);
  g_ptr_array_free (faults, TRUE);
}

static void
on_hangup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  mark_take (&reload.mark);
  read_again ("signal");
}

static void
on_look (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct mark mark;

  (void)loop;
  (void)watcher;
  (void)events;
  if (!mark_take (&mark) || mark_equal (&mark, &reload.mark))
    return;
  reload.mark = mark;
  read_again ("file");
}

/* Watch the settings file of PROGRAM from LOOP; FN gets CTX and settings
   without faults each time they change.  */
void
jc_reload_start (struct ev_loop *loop, const struct jc_program *program,
                 jc_reload_fn *fn, void *ctx)
{
  double every_s = (double)LOOK_MS / MS_PER_S;

  reload.program = program;
  reload.fn = fn;
  reload.ctx = ctx;
  mark_take (&reload.mark);
  ev_signal_init (&reload.hangup, on_hangup, SIGHUP);
  ev_signal_start (loop, &reload.hangup);
  ev_timer_init (&reload.look, on_look, every_s, every_s);
  ev_timer_start (loop, &reload.look);
}

/* Watch no longer.  */
void
jc_reload_stop (struct ev_loop *loop)
{
  ev_signal_stop (loop, &reload.hangup);
  ev_timer_stop (loop, &reload.look);
}
