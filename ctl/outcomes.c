/* Verb that shows how requests ended, from the logs of entry instances: who is
   served in time, late, refused or not at all, by route, availability zone,
   workspace and second.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  FIELD_BYTES_MAX = 64,
  MS_PER_S = 1000
};

/* What requests are counted by.  */
enum dimension
{
  BY_ROUTE,
  BY_ZONE,
  BY_WORKSPACE,
  BY_SECOND,
  DIMENSION_COUNT
};

static const char *const dimension_names[] = { [BY_ROUTE] = "route",
                                               [BY_ZONE] = "zone",
                                               [BY_WORKSPACE] = "workspace",
                                               [BY_SECOND] = "second" };

/* Requests that ended: served within their objective, later, refused, failed,
   or left by their callers.  FIRST_MS holds the times to the first event of
   those that were served, or to a plain answer.  */
struct tally
{
  char *key;
  unsigned int asked;
  unsigned int in_time;
  unsigned int late;
  unsigned int refused;
  unsigned int failed;
  unsigned int left;
  GArray *first_ms;
};

/* TALLIES maps keys to struct tally.  ZONE is that of the instance whose lines
   are being read.  */
struct report
{
  GHashTable *tallies[DIMENSION_COUNT];
  char zone[FIELD_BYTES_MAX];
};

static void
tally_free (gpointer data)
{
  struct tally *tally = data;

  g_array_free (tally->first_ms, TRUE);
  g_free (tally->key);
  g_free (tally);
}

/* Copy the value of the field NAME of LINE to OUT, cut to its size, "-" if LINE
   has no such field.  */
static void
field_text (const char *line, const char *name, char out[FIELD_BYTES_MAX])
{
  char prefix[FIELD_BYTES_MAX];
  const char *value;

  g_snprintf (prefix, sizeof prefix, " %s=", name);
  value = strstr (line, prefix);
  g_strlcpy (out, "-", FIELD_BYTES_MAX);
  if (value == NULL)
    return;
  value += strlen (prefix);
  g_strlcpy (out, value, MIN (strcspn (value, " \r\n") + 1, FIELD_BYTES_MAX));
}

/* Return the number in the field NAME of LINE, 0 if there is none.  */
static int64_t
field_number (const char *line, const char *name)
{
  char text[FIELD_BYTES_MAX];

  field_text (line, name, text);
  return g_ascii_strtoll (text, NULL, 10);
}

static bool
has_event (const char *line, const char *name)
{
  char text[FIELD_BYTES_MAX];

  field_text (line, "event", text);
  return strcmp (text, name) == 0;
}

static struct tally *
tally_get (struct report *report, enum dimension dimension, const char *key)
{
  struct tally *tally = g_hash_table_lookup (report->tallies[dimension], key);

  if (tally != NULL)
    return tally;
  tally = g_new0 (struct tally, 1);
  tally->key = g_strdup (key);
  tally->first_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_hash_table_insert (report->tallies[dimension], tally->key, tally);
  return tally;
}

/* Return the time from the start of the request of LINE to its first event, or
   to its answer if that is no stream, ms.  */
static int64_t
first_event_ms (const char *line)
{
  int64_t first = field_number (line, "first_ms");

  return first > 0 ? first : field_number (line, "ms");
}

/* Return whether the answer of LINE was within the objective of its route, as
   far as this instance can tell.  */
static bool
is_in_time (const char *line)
{
  int64_t objective = field_number (line, "objective_ms");
  int64_t pause = field_number (line, "pause_max_ms");

  return (objective <= 0 || first_event_ms (line) <= objective)
         && (pause <= 0 || field_number (line, "gap_ms") <= pause);
}

/* Count LINE, the end of a request, in TALLY.  */
static void
count_end (struct tally *tally, const char *line)
{
  int64_t first = first_event_ms (line);

  tally->asked++;
  if (has_event (line, "refused"))
    tally->refused++;
  else if (has_event (line, "failed"))
    tally->failed++;
  else if (has_event (line, "gone"))
    tally->left++;
  else if (is_in_time (line))
    tally->in_time++;
  else
    tally->late++;
  if (has_event (line, "served"))
    g_array_append_val (tally->first_ms, first);
}

/* Count LINE if a caller's request ends there.  Those that other instances
   handed over are counted where they came from.  */
static void
read_line (struct report *report, const char *line)
{
  char keys[DIMENSION_COUNT][FIELD_BYTES_MAX];
  const char *time = strstr (line, "time=");

  if (has_event (line, "start"))
    field_text (line, "zone", report->zone);
  if (!(has_event (line, "served") || has_event (line, "refused")
        || has_event (line, "failed") || has_event (line, "gone"))
      || strstr (line, " guest=0") == NULL || time == NULL)
    return;
  field_text (line, "route", keys[BY_ROUTE]);
  field_text (line, "workspace", keys[BY_WORKSPACE]);
  g_strlcpy (keys[BY_ZONE], report->zone, FIELD_BYTES_MAX);
  g_snprintf (keys[BY_SECOND], FIELD_BYTES_MAX, "%" G_GINT64_FORMAT,
              g_ascii_strtoll (time + strlen ("time="), NULL, 10));
  for (int i = 0; i < DIMENSION_COUNT; i++)
    count_end (tally_get (report, (enum dimension)i, keys[i]), line);
}

/* Read the log FILE, "-" for the standard input.  Return false if it can't be
   read.  */
static bool
read_log (struct report *report, const char *file)
{
  FILE *stream = strcmp (file, "-") == 0 ? stdin : fopen (file, "r");
  char *line = NULL;
  size_t size = 0;
  bool whole;

  if (stream == NULL)
    return false;
  g_strlcpy (report->zone, "-", FIELD_BYTES_MAX);
  while (getline (&line, &size, stream) >= 0)
    read_line (report, line);
  whole = ferror (stream) == 0;
  free (line);
  if (stream != stdin)
    fclose (stream);
  return whole;
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct tally *const *)a)->key,
                 (*(struct tally *const *)b)->key);
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Return the PERCENT percentile of TIMES, which are sorted, 0 if empty.  */
static int64_t
percentile (const GArray *times, unsigned int percent)
{
  return times->len == 0
             ? 0
             : g_array_index (times, int64_t, (times->len - 1) * percent / 100);
}

/* Print the tallies of DIMENSION.  */
static void
print_tallies (const struct report *report, enum dimension dimension)
{
  GPtrArray *rows = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, report->tallies[dimension]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (rows, value);
  g_ptr_array_sort (rows, compare_keys);
  printf ("%-16s %7s %7s %7s %7s %7s %7s %7s %7s\n", dimension_names[dimension],
          "asked", "in time", "late", "refused", "failed", "left", "p50 ms",
          "p99 ms");
  for (guint i = 0; i < rows->len; i++)
    {
      const struct tally *row = g_ptr_array_index (rows, i);

      g_array_sort (row->first_ms, compare_times);
      printf ("%-16s %7u %7u %7u %7u %7u %7u %7" G_GINT64_FORMAT
              " %7" G_GINT64_FORMAT "\n",
              row->key, row->asked, row->in_time, row->late, row->refused,
              row->failed, row->left, percentile (row->first_ms, 50),
              percentile (row->first_ms, 99));
    }
  g_ptr_array_free (rows, TRUE);
}

/* outcomes FILE...: print how requests ended.  */
static int
run_outcomes (const struct options *options)
{
  struct report report = { .zone = "-" };
  int code = JC_EXIT_OK;

  for (int i = 0; i < DIMENSION_COUNT; i++)
    report.tallies[i]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tally_free);
  for (int i = 0; i < options->arg_count; i++)
    if (!read_log (&report, options->args[i]))
      {
        fprintf (stderr, "jaycove-ctl: can't read %s\n", options->args[i]);
        code = JC_EXIT_FAILED;
      }
  for (int i = 0; i < DIMENSION_COUNT; i++)
    {
      if (i > 0)
        printf ("\n");
      print_tallies (&report, (enum dimension)i);
      g_hash_table_destroy (report.tallies[i]);
    }
  return code;
}

const struct verb outcome_verbs[]
    = { { "outcomes", NULL, "FILE...", VERB_ARGS_MIN_1,
          "show how requests ended, - for standard input", run_outcomes },
        { 0 } };
