/* Event log.  */

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
  /* Lines that a slow reader has not taken yet; further lines are dropped.  */
  BUFFER_BYTES = 256 * 1024,
  /* Part of the buffer that only kinds with use_reserve may fill, so that
     frequent lines about successes are dropped before those about failures.  */
  RESERVED_BYTES = 64 * 1024,
  /* A pipe that polls writable accepts this much without blocking.  */
  WRITE_BLOCK_BYTES = 4096,
  LINE_BYTES_MAX = 512,
  /* Room at the end of a line for " dropped=N", a newline and a NUL.  */
  LINE_TAIL_BYTES = 32,
  NS_PER_MS = 1000000
};

/* Properties of a kind of event.  LINES_PER_S is the most lines written per
   second; USE_RESERVE allows them to fill the reserve of the buffer.  */
struct event_kind
{
  const char *name;
  unsigned int lines_per_s;
  bool use_reserve;
};

static const struct event_kind event_kinds[JC_EVENT_COUNT] = {
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
  [JC_EVENT_CONTACT] = { "contact", 5, true },
  [JC_EVENT_LIMIT] = { "limit", 100, true },
  [JC_EVENT_PAUSE] = { "pause", 50, true },
  [JC_EVENT_SHARE] = { "share", 100, true },
  [JC_EVENT_QUOTA] = { "quota", 100, true },
  [JC_EVENT_MISDIRECTED] = { "misdirected", 50, true },
  [JC_EVENT_PATH] = { "path", 50, true },
  [JC_EVENT_REACH] = { "reach", 50, true },
  [JC_EVENT_ATTEMPT] = { "attempt", 100, false },
  [JC_EVENT_SENT_AGAIN] = { "sent_again", 50, true },
  [JC_EVENT_SILENT] = { "silent", 50, false },
  [JC_EVENT_GIVEN_UP] = { "given_up", 50, true },
  [JC_EVENT_BROKEN] = { "broken", 200, true },
  [JC_EVENT_CRASH] = { "crash", 100, true },
  [JC_EVENT_VERSION] = { "version", 50, true },
  [JC_EVENT_RESUME] = { "resume", 100, true },
  [JC_EVENT_IDENTITY] = { "identity", 100, true },
  [JC_EVENT_ATTEMPT_END] = { "attempt_end", 100, false },
  [JC_EVENT_SERVED] = { "served", 100, false },
  [JC_EVENT_REFUSED] = { "refused", 100, true },
  [JC_EVENT_FAILED] = { "failed", 200, true },
  [JC_EVENT_GONE] = { "gone", 100, true },
  [JC_EVENT_UNANSWERED] = { "unanswered", 100, true },
  [JC_EVENT_BAD_INPUT] = { "bad_input", 50, true },
  [JC_EVENT_DESCRIPTORS] = { "descriptors", 5, true },
};

/* Rate limit of a kind of event.  USED counts its lines in SECOND, a Unix time.
   DROPPED is the number of lines dropped so far; UNREPORTED of them have not
   yet been reported by the suffix dropped=N of a line.  */
struct budget
{
  int64_t second;
  unsigned int used;
  uint64_t dropped;
  uint64_t unreported;
};

static struct budget budgets[JC_EVENT_COUNT];
static char buffer[BUFFER_BYTES];
static size_t buffered;
static bool is_enabled;

/* Return the name of EVENT as written to the log.  */
const char *
jc_event_name (enum jc_event event)
{
  return event_kinds[event].name;
}

/* Switch the event log on or off; it starts switched off.  */
void
jc_event_set_enabled (bool enabled)
{
  is_enabled = enabled;
}

/* Return how many lines of EVENT were dropped since the start of the
   process.  */
uint64_t
jc_event_dropped (enum jc_event event)
{
  return budgets[event].dropped;
}

/* Append the numbers of dropped lines to OUT in the text format of
   /metrics.  */
void
jc_event_append_metrics (GString *out)
{
  for (int i = 0; i < JC_EVENT_COUNT; i++)
    g_string_append_printf (
        out, "jaycove_log_dropped_total{event=\"%s\"} %" PRIu64 "\n",
        event_kinds[i].name, budgets[i].dropped);
}

/* Count a line of EVENT in SECOND.  Return false if its kind has reached its
   limit for that second.  */
static bool
take_from_budget (enum jc_event event, int64_t second)
{
  struct budget *budget = &budgets[event];

  if (budget->second != second)
    {
      budget->second = second;
      budget->used = 0;
    }
  if (budget->used >= event_kinds[event].lines_per_s)
    return false;
  budget->used++;
  return true;
}

/* Add a line to the buffer: the time, the name of EVENT and the text of FMT,
   which consists of key=value pairs separated by spaces.  Each line is
   truncated to at most 512 bytes.  jc_event_flush writes the buffer.  */
void
jc_event (enum jc_event event, const char *fmt, ...)
{
  struct budget *budget = &budgets[event];
  size_t limit
      = BUFFER_BYTES - (event_kinds[event].use_reserve ? 0 : RESERVED_BYTES);
  char line[LINE_BYTES_MAX];
  struct timespec now;
  va_list ap;
  int len;

  if (!is_enabled)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!take_from_budget (event, now.tv_sec)
      || buffered + LINE_BYTES_MAX > limit)
    {
      budget->dropped++;
      budget->unreported++;
      return;
    }
  len = snprintf (line, sizeof line, "time=%lld.%03ld event=%s ",
                  (long long)now.tv_sec, now.tv_nsec / NS_PER_MS,
                  event_kinds[event].name);
  va_start (ap, fmt);
  len += vsnprintf (line + len, sizeof line - (size_t)len, fmt, ap);
  va_end (ap);
  if ((size_t)len > sizeof line - LINE_TAIL_BYTES)
    len = (int)sizeof line - LINE_TAIL_BYTES;
  if (budget->unreported > 0)
    len += snprintf (line + len, sizeof line - (size_t)len, " dropped=%llu",
                     (unsigned long long)budget->unreported);
  budget->unreported = 0;
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

/* Write buffered lines to standard output without blocking: only whole blocks
   of 4096 bytes, or everything if ALL is true.  Return true if lines are left
   in the buffer.  */
bool
jc_event_flush (bool all)
{
  size_t done = 0;

  while (buffered - done >= (all ? 1 : WRITE_BLOCK_BYTES) && is_writable ())
    {
      size_t len = buffered - done < WRITE_BLOCK_BYTES ? buffered - done
                                                       : WRITE_BLOCK_BYTES;
      ssize_t written = write (STDOUT_FILENO, buffer + done, len);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      done += (size_t)written;
    }
  if (done > 0)
    memmove (buffer, buffer + done, buffered - done);
  buffered -= done;
  return buffered > 0;
}
