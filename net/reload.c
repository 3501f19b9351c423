/* Reload of settings.  */

#include <signal.h>
#include <sys/stat.h>

#include "base/event.h"
#include "base/log.h"
#include "net/reload.h"

#define LOG_COMPONENT "settings"

enum
{
  /* Interval of checks of the file, which may change without a signal.  */
  CHECK_INTERVAL_MS = 1000,
  MS_PER_S = 1000
};

/* Attributes of the file that differ after a change.  */
struct file_stamp
{
  struct timespec modified;
  off_t size;
  ino_t inode;
};

static struct
{
  const struct jc_program *program;
  jc_reload_fn *fn;
  void *ctx;
  struct file_stamp file_stamp;
  ev_signal sighup;
  ev_timer check_timer;
} reload;

/* Read the attributes of the settings file into FILE_STAMP.  Return false,
   with FILE_STAMP unchanged, if it can't be read.  */
static bool
file_stamp_read (struct file_stamp *file_stamp)
{
  struct stat info;

  if (stat (jc_program_settings_file (), &info) != 0)
    return false;
  *file_stamp = (struct file_stamp){ .modified = info.st_mtim,
                                     .size = info.st_size,
                                     .inode = info.st_ino };
  return true;
}

static bool
file_stamp_equal (const struct file_stamp *a, const struct file_stamp *b)
{
  return a->modified.tv_sec == b->modified.tv_sec
         && a->modified.tv_nsec == b->modified.tv_nsec && a->size == b->size
         && a->inode == b->inode;
}

/* Load the settings and pass them on.  If they have faults, these are logged
   and the settings in use stay.  WHY is the reason in the log.  */
static void
reload_settings (const char *why)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  void *settings = jc_table_load (reload.program->table,
                                  jc_program_settings_file (), faults);

  jc_event (JC_EVENT_RELOAD, "why=%s faults=%u first=\"%.100s\"", why,
            faults->len,
            faults->len > 0 ? (const char *)g_ptr_array_index (faults, 0) : "");
  for (guint i = 0; i < faults->len; i++)
    jc_error (LOG_COMPONENT, "%s", (const char *)g_ptr_array_index (faults, i));
  if (faults->len == 0 && settings != NULL)
    reload.fn (reload.ctx, settings);
  jc_table_unref (reload.program->table, settings);
  g_ptr_array_free (faults, TRUE);
}

static void
on_sighup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  file_stamp_read (&reload.file_stamp);
  reload_settings ("signal");
}

static void
on_check_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct file_stamp file_stamp;

  (void)loop;
  (void)watcher;
  (void)events;
  if (!file_stamp_read (&file_stamp)
      || file_stamp_equal (&file_stamp, &reload.file_stamp))
    return;
  reload.file_stamp = file_stamp;
  reload_settings ("file");
}

/* Watch the settings file of PROGRAM from LOOP.  FN gets CTX and the new
   settings each time they changed and have no faults.  */
void
jc_reload_start (struct ev_loop *loop, const struct jc_program *program,
                 jc_reload_fn *fn, void *ctx)
{
  double interval_s = (double)CHECK_INTERVAL_MS / MS_PER_S;

  reload.program = program;
  reload.fn = fn;
  reload.ctx = ctx;
  file_stamp_read (&reload.file_stamp);
  ev_signal_init (&reload.sighup, on_sighup, SIGHUP);
  ev_signal_start (loop, &reload.sighup);
  ev_timer_init (&reload.check_timer, on_check_timer, interval_s, interval_s);
  ev_timer_start (loop, &reload.check_timer);
}

/* Stop watching the settings file.  */
void
jc_reload_stop (struct ev_loop *loop)
{
  ev_signal_stop (loop, &reload.sighup);
  ev_timer_stop (loop, &reload.check_timer);
}
