/* Structured log.  */

#include <inttypes.h>
#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/event.h"

enum
{
  /* What waits for a reader that is slow; beyond it lines are dropped.  */
  BUFFER_BYTES = 256 * 1024,
  /* Held back for lines about failures, so that successes go first.  */
  RESERVE_BYTES = 64 * 1024,
  /* A pipe that polls writable takes this much without waiting.  */
  WRITE_BYTES = 4096,
  LINE_BYTES = 512,
  NS_PER_MS = 1000000
};

/* A kind's name and how many lines of it may be written a second.  */
struct kind
{
  const char *name;
  unsigned int per_s;
  bool reserve;
};

static const struct kind kinds[JC_EVENT_COUNT] = {
  [JC_EVENT_START] = { "start", 100, true },
  [JC_EVENT_STOP] = { "stop", 100, true },
  [JC_EVENT_RELOAD] = { "reload", 20, true },
  [JC_EVENT_PEER_UP] = { "peer_up", 100, true },
  [JC_EVENT_PEER_DOWN] = { "peer_down", 100, true },
  [JC_EVENT_ROLE] = { "role", 50, true },
  [JC_EVENT_REPLICAS] = { "replicas", 50, true },
  [JC_EVENT_STORAGE] = { "storage", 20, true },
  [JC_EVENT_ORDER] = { "order", 100, true },
  [JC_EVENT_READ] = { "read", 50, false },
  [JC_EVENT_IN_FORCE] = { "in_force", 100, true },
  [JC_EVENT_ORDERS_ASKED] = { "orders_asked", 10, true },
  [JC_EVENT_ENDPOINT] = { "endpoint", 100, true },
  [JC_EVENT_ENTRY] = { "entry", 100, true },
  [JC_EVENT_ADMIT] = { "admit", 50, false },
  [JC_EVENT_COLD] = { "cold", 50, true },
  [JC_EVENT_PATH] = { "path", 50, true },
  [JC_EVENT_ATTEMPT] = { "attempt", 100, false },
  [JC_EVENT_SILENT] = { "silent", 50, false },
  [JC_EVENT_GIVEN_UP] = { "given_up", 50, true },
  [JC_EVENT_ATTEMPT_END] = { "attempt_end", 100, false },
  [JC_EVENT_SERVED] = { "served", 100, false },
  [JC_EVENT_REFUSED] = { "refused", 100, true },
  [JC_EVENT_FAILED] = { "failed", 200, true },
  [JC_EVENT_GONE] = { "gone", 100, true },
  [JC_EVENT_BAD_INPUT] = { "bad_input", 50, true },
};

/* What a kind has left in the current second, and lines dropped in all and
   since the last line that told of it.  */
struct budget
{
  int64_t second;
  unsigned int used;
  uint64_t dropped;
  uint64_t untold;
};

static struct budget budgets[JC_EVENT_COUNT];
static char buffer[BUFFER_BYTES];
static size_t buffered;
static bool is_enabled;

/* Return the name of EVENT as lines carry it.  */
const char *
jc_event_name (enum jc_event event)
{
  return kinds[event].name;
}

/* Write lines from now on, or none.  */
void
jc_event_set_enabled (bool enabled)
{
  is_enabled = enabled;
}

/* Return how many lines of EVENT were dropped.  */
uint64_t
jc_event_dropped (enum jc_event event)
{
  return budgets[event].dropped;
}

/* Append to OUT, as text of metrics, how many lines of each kind were
   dropped.  */
void
jc_event_append_metrics (GString *out)
{
  for (int i = 0; i < JC_EVENT_COUNT; i++)
    g_string_append_printf (
        out, "jaycove_log_dropped_total{event=\"%s\"} %" PRIu64 "\n",
        kinds[i].name, budgets[i].dropped);
}

static bool
spend (enum jc_event event, int64_t second)
{
  struct budget *budget = &budgets[event];

  if (budget->second != second)
    {
      budget->second = second;
      budget->used = 0;
    }
  if (budget->used >= kinds[event].per_s)
    return false;
  budget->used++;
  return true;
}

/* Write one line: the time, the kind and what FMT makes, "key=value" pairs
   split by spaces.  It leaves with a later flush.  */
void
jc_event (enum jc_event event, const char *fmt, ...)
{
  struct budget *budget = &budgets[event];
  size_t limit = BUFFER_BYTES - (kinds[event].reserve ? 0 : RESERVE_BYTES);
  char line[LINE_BYTES];
  struct timespec now;
  va_list ap;
  int len;

  if (!is_enabled)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!spend (event, now.tv_sec) || buffered + LINE_BYTES > limit)
    {
      budget->dropped++;
      budget->untold++;
      return;
    }
  len = snprintf (line, sizeof line, "time=%lld.%03ld event=%s ",
                  (long long)now.tv_sec, now.tv_nsec / NS_PER_MS,
                  kinds[event].name);
  va_start (ap, fmt);
  len += vsnprintf (line + len, sizeof line - (size_t)len, fmt, ap);
  va_end (ap);
  if ((size_t)len > sizeof line - 32)
    len = (int)sizeof line - 32;
  if (budget->untold > 0)
    len += snprintf (line + len, sizeof line - (size_t)len, " dropped=%llu",
                     (unsigned long long)budget->untold);
  budget->untold = 0;
  line[len++] = '\n';
  memcpy (buffer + buffered, line, (size_t)len);
  buffered += (size_t)len;
}

static bool
is_writable (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/* Write what waits, without waiting: whole blocks, or ALL.  Return whether
   anything is left.  */
bool
jc_event_flush (bool all)
{
  size_t done = 0;

  while (buffered - done >= (all ? 1 : WRITE_BYTES) && is_writable ())
    {
      size_t want
          = buffered - done < WRITE_BYTES ? buffered - done : WRITE_BYTES;
      ssize_t put = write (STDOUT_FILENO, buffer + done, want);

      if (put < 0 && errno == EINTR)
        continue;
      if (put <= 0)
        break;
      done += (size_t)put;
    }
  if (done > 0)
    memmove (buffer, buffer + done, buffered - done);
  buffered -= done;
  return buffered > 0;
}
