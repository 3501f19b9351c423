/* Tests of the structured log: bounded, and never waiting for its reader.  */

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"

enum
{
  LINES = 20000,
  READ_BYTES = 1 << 20
};

/* Standard output in place of a pipe while a test runs.  */
struct piped
{
  int saved;
  int reader;
};

static void
pipe_begin (struct piped *piped)
{
  int ends[2];

  fflush (stdout);
  g_assert_cmpint (pipe (ends), ==, 0);
  piped->saved = dup (STDOUT_FILENO);
  piped->reader = ends[0];
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  fcntl (piped->reader, F_SETFL, O_NONBLOCK);
  jc_event_set_enabled (true);
}

/* Return what was written.  */
static char *
pipe_end (struct piped *piped)
{
  char *text = g_malloc0 (READ_BYTES + 1);
  size_t len = 0;
  ssize_t got;
  bool more = true;

  while (more)
    {
      more = jc_event_flush (true);
      while ((got = read (piped->reader, text + len, READ_BYTES - len)) > 0)
        len += (size_t)got;
    }
  jc_event_set_enabled (false);
  dup2 (piped->saved, STDOUT_FILENO);
  close (piped->saved);
  close (piped->reader);
  return text;
}

static void
test_line (void)
{
  struct piped piped;
  char *text;

  pipe_begin (&piped);
  jc_event (JC_EVENT_SERVED, "id=%s ms=%d", "feed", 7);
  text = pipe_end (&piped);
  g_assert_nonnull (strstr (text, " event=served id=feed ms=7\n"));
  g_free (text);
}

/* Nobody reads: writing and flushing return, and what was lost is counted.  */
static void
test_blocked_reader (void)
{
  struct piped piped;
  uint64_t before = jc_event_dropped (JC_EVENT_SERVED);
  char *text;

  pipe_begin (&piped);
  for (int i = 0; i < LINES; i++)
    {
      jc_event (JC_EVENT_SERVED, "id=%d", i);
      jc_event_flush (false);
    }
  text = pipe_end (&piped);
  g_assert_cmpuint (jc_event_dropped (JC_EVENT_SERVED), >, before);
  g_free (text);
}

/* A flood of one kind leaves room for another.  */
static void
test_budgets (void)
{
  struct piped piped;
  char *text;

  pipe_begin (&piped);
  for (int i = 0; i < LINES; i++)
    jc_event (JC_EVENT_ATTEMPT, "id=%d", i);
  jc_event (JC_EVENT_FAILED, "id=needle");
  text = pipe_end (&piped);
  g_assert_nonnull (strstr (text, "id=needle"));
  g_free (text);
}

/* A line that is too long is cut, not lost, and stays one line.  */
static void
test_long_line (void)
{
  struct piped piped;
  char *big = g_strnfill (5000, 'x');
  char *text;

  pipe_begin (&piped);
  jc_event (JC_EVENT_STOP, "why=%s", big);
  text = pipe_end (&piped);
  g_assert_nonnull (strstr (text, "event=stop why=xxx"));
  g_assert_cmpuint (strlen (text), <, 600);
  g_assert_true (g_str_has_suffix (text, "\n"));
  g_free (text);
  g_free (big);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/event/line", test_line);
  g_test_add_func ("/event/blocked-reader", test_blocked_reader);
  g_test_add_func ("/event/budgets", test_budgets);
  g_test_add_func ("/event/long-line", test_long_line);
  return g_test_run ();
}
