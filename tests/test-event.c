/* Tests of the event log: the volume of lines is bounded and writing does not
   block.  */

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"

enum
{
  LINE_COUNT = 20000,
  OUTPUT_BYTES_MAX = 1 << 20
};

/* A pipe in place of standard output while a test runs.  SAVED is a copy of the
   original descriptor, READER the end to read from.  */
struct redirect
{
  int saved;
  int reader;
};

static void
redirect_begin (struct redirect *redirect)
{
  int ends[2];

  fflush (stdout);
  g_assert_cmpint (pipe (ends), ==, 0);
  redirect->saved = dup (STDOUT_FILENO);
  redirect->reader = ends[0];
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  fcntl (redirect->reader, F_SETFL, O_NONBLOCK);
  jc_event_set_enabled (true);
}

/* Restore standard output and return what was written; the caller frees it with
   g_free.  */
static char *
redirect_end (struct redirect *redirect)
{
  char *text = g_malloc0 (OUTPUT_BYTES_MAX + 1);
  size_t len = 0;
  ssize_t count;
  bool more = true;

  while (more)
    {
      more = jc_event_flush (true);
      while (
          (count = read (redirect->reader, text + len, OUTPUT_BYTES_MAX - len))
          > 0)
        len += (size_t)count;
    }
  jc_event_set_enabled (false);
  dup2 (redirect->saved, STDOUT_FILENO);
  close (redirect->saved);
  close (redirect->reader);
  return text;
}

static void
test_line (void)
{
  struct redirect redirect;
  char *text;

  redirect_begin (&redirect);
  jc_event (JC_EVENT_SERVED, "id=%s ms=%d", "feed", 7);
  text = redirect_end (&redirect);
  g_assert_nonnull (strstr (text, " event=served id=feed ms=7\n"));
  g_free (text);
}

/* While nobody reads from standard output, writing and flushing must not block,
   and dropped lines must be counted.  */
static void
test_blocked_reader (void)
{
  struct redirect redirect;
  uint64_t before = jc_event_dropped (JC_EVENT_SERVED);
  char *text;

  redirect_begin (&redirect);
  for (int i = 0; i < LINE_COUNT; i++)
    {
      jc_event (JC_EVENT_SERVED, "id=%d", i);
      jc_event_flush (false);
    }
  text = redirect_end (&redirect);
  g_assert_cmpuint (jc_event_dropped (JC_EVENT_SERVED), >, before);
  g_free (text);
}

/* A flood of events of one kind must not displace those of another.  */
static void
test_rate_limits (void)
{
  struct redirect redirect;
  char *text;

  redirect_begin (&redirect);
  for (int i = 0; i < LINE_COUNT; i++)
    jc_event (JC_EVENT_ATTEMPT, "id=%d", i);
  jc_event (JC_EVENT_FAILED, "id=needle");
  text = redirect_end (&redirect);
  g_assert_nonnull (strstr (text, "id=needle"));
  g_free (text);
}

/* A line that is too long is truncated, not dropped, and remains a single
   line.  */
static void
test_long_line (void)
{
  struct redirect redirect;
  char *long_text = g_strnfill (5000, 'x');
  char *text;

  redirect_begin (&redirect);
  jc_event (JC_EVENT_STOP, "why=%s", long_text);
  text = redirect_end (&redirect);
  g_assert_nonnull (strstr (text, "event=stop why=xxx"));
  g_assert_cmpuint (strlen (text), <, 600);
  g_assert_true (g_str_has_suffix (text, "\n"));
  g_free (text);
  g_free (long_text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/event/line", test_line);
  g_test_add_func ("/event/blocked-reader", test_blocked_reader);
  g_test_add_func ("/event/rate-limits", test_rate_limits);
  g_test_add_func ("/event/long-line", test_long_line);
  return g_test_run ();
}
