/* Logger.  */

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/log.h"

enum
{
  LINE_BYTES = 1024,
  STAMP_BYTES = 40
};

static const char *const level_names[] = { [JC_LOG_DEBUG] = "debug",
                                           [JC_LOG_INFO] = "info",
                                           [JC_LOG_WARN] = "warn",
                                           [JC_LOG_ERROR] = "error" };

static enum jc_log_level least_level = JC_LOG_INFO;
static bool as_json;

/* Print only lines of LEAST or above; with JSON_LINES each line is one JSON
   object.  */
void
jc_log_setup (enum jc_log_level least, bool json_lines)
{
  least_level = least;
  as_json = json_lines;
}

/* Return the level called NAME; an unknown name reads as info.  */
enum jc_log_level
jc_log_level_by_name (const char *name)
{
  for (int i = JC_LOG_DEBUG; i <= JC_LOG_ERROR; i++)
    if (strcmp (level_names[i], name) == 0)
      return (enum jc_log_level)i;
  return JC_LOG_INFO;
}

static void
log_stamp (char *out)
{
  struct timespec now;
  struct tm tm;
  char date[STAMP_BYTES];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &tm);
  strftime (date, sizeof date, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out, STAMP_BYTES, "%.20s.%03ldZ", date, now.tv_nsec / 1000000);
}

static void
log_json (enum jc_log_level level, const char *part, const char *stamp,
          const char *line)
{
  json_t *obj = json_pack ("{s:s,s:s,s:s,s:s}", "time", stamp, "level",
                           level_names[level], "part", part, "text", line);

  if (obj == NULL)
    return;
  json_dumpf (obj, stderr, JSON_COMPACT);
  fputc ('\n', stderr);
  json_decref (obj);
}

/* Write one line to standard error.  PART is the fixed prefix of the part
   that speaks; FMT makes one short sentence, without bodies or keys.  */
void
jc_log (enum jc_log_level level, const char *part, const char *fmt, ...)
{
  char line[LINE_BYTES];
  char stamp[STAMP_BYTES];
  va_list ap;

  if (level < least_level)
    return;
  va_start (ap, fmt);
  vsnprintf (line, sizeof line, fmt, ap);
  va_end (ap);
  log_stamp (stamp);
  if (as_json)
    log_json (level, part, stamp, line);
  else
    fprintf (stderr, "%s %-5s %s: %s\n", stamp, level_names[level], part, line);
}
