/* Log on standard error.  */

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/log.h"

enum
{
  MESSAGE_BYTES_MAX = 1024,
  TIMESTAMP_BYTES = 40,
  NS_PER_MS = 1000000
};

static const char *const level_names[] = { [JC_LOG_DEBUG] = "debug",
                                           [JC_LOG_INFO] = "info",
                                           [JC_LOG_WARN] = "warn",
                                           [JC_LOG_ERROR] = "error" };

static enum jc_log_level log_min_level = JC_LOG_INFO;
static bool log_json_lines;

/* Write only messages of MIN_LEVEL or above.  With JSON_LINES each line is a
   JSON object with the keys time, level, part (the component) and text.  */
void
jc_log_setup (enum jc_log_level min_level, bool json_lines)
{
  log_min_level = min_level;
  log_json_lines = json_lines;
}

/* Return the level called NAME, or JC_LOG_INFO for an unknown name.  */
enum jc_log_level
jc_log_level_by_name (const char *name)
{
  for (int i = JC_LOG_DEBUG; i <= JC_LOG_ERROR; i++)
    if (strcmp (level_names[i], name) == 0)
      return (enum jc_log_level)i;
  return JC_LOG_INFO;
}

/* Write the current time to OUT, of TIMESTAMP_BYTES, as UTC in ISO 8601 with
   milliseconds.  */
static void
format_timestamp (char *out)
{
  struct timespec now;
  struct tm tm;
  char date[TIMESTAMP_BYTES];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &tm);
  strftime (date, sizeof date, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out, TIMESTAMP_BYTES, "%.20s.%03ldZ", date,
            now.tv_nsec / NS_PER_MS);
}

static void
log_json (enum jc_log_level level, const char *component, const char *timestamp,
          const char *message)
{
  json_t *obj
      = json_pack ("{s:s,s:s,s:s,s:s}", "time", timestamp, "level",
                   level_names[level], "part", component, "text", message);

  if (obj == NULL)
    return;
  json_dumpf (obj, stderr, JSON_COMPACT);
  fputc ('\n', stderr);
  json_decref (obj);
}

/* Write a message to standard error.  COMPONENT is the prefix of the line.  The
   text of FMT is one short sentence without request bodies or keys; it is
   truncated to 1023 bytes.  */
void
jc_log (enum jc_log_level level, const char *component, const char *fmt, ...)
{
  char message[MESSAGE_BYTES_MAX];
  char timestamp[TIMESTAMP_BYTES];
  va_list ap;

  if (level < log_min_level)
    return;
  va_start (ap, fmt);
  vsnprintf (message, sizeof message, fmt, ap);
  va_end (ap);
  format_timestamp (timestamp);
  if (log_json_lines)
    log_json (level, component, timestamp, message);
  else
    fprintf (stderr, "%s %-5s %s: %s\n", timestamp, level_names[level],
             component, message);
}
