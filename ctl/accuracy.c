/* Verb that compares predicted and observed times of streams, from the logs of
   entry instances.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  FIELD_BYTES_MAX = 64,
  PERCENT = 100,
  MS_PER_S = 1000
};

/* Lower bounds of the load bands after the first, in requests that run at the
   endpoint when one more is sent to it.  */
static const unsigned int band_bounds[] = { 8, 16, 32, 64 };

/* The log line of a request's first attempt: when it was written, how many
   requests ran at the endpoint, and the predicted times.  A field that is
   missing is -1.  */
struct attempt
{
  double logged_ms;
  double running;
  double first_ms;
  double answer_ms;
  double pause_ms;
};

/* The predicted and the observed value of one time of a stream.  */
struct sample
{
  double predicted_ms;
  double observed_ms;
};

/* The times that are compared: to the first event, from there to the end, and
   the longest gap between two events.  */
enum metric
{
  METRIC_FIRST,
  METRIC_ANSWER,
  METRIC_PAUSE,
  METRIC_COUNT
};

static const char *const metric_names[] = {
  [METRIC_FIRST] = "first", [METRIC_ANSWER] = "answer", [METRIC_PAUSE] = "pause"
};

/* The samples of one route and load band.  */
struct group
{
  char *route;
  unsigned int band;
  GArray *samples[METRIC_COUNT];
};

/* Copy the value of the field NAME of LINE to OUT, cut to its size.  Return
   false, with OUT unchanged, if LINE has no such field.  */
static bool
field_text (const char *line, const char *name, char out[FIELD_BYTES_MAX])
{
  char *prefix = g_strconcat (" ", name, "=", NULL);
  const char *value = strstr (line, prefix);

  if (value != NULL)
    {
      value += strlen (prefix);
      g_strlcpy (out, value,
                 MIN (strcspn (value, " \r\n") + 1, FIELD_BYTES_MAX));
    }
  g_free (prefix);
  return value != NULL;
}

/* Return the number in the field NAME of LINE, -1 if the field is missing.  */
static double
field_number (const char *line, const char *name)
{
  char text[FIELD_BYTES_MAX];

  return field_text (line, name, text) ? g_ascii_strtod (text, NULL) : -1;
}

/* Return the time stamp of LINE in ms, 0 if it has none.  */
static double
line_time_ms (const char *line)
{
  const char *time = strstr (line, "time=");

  return time != NULL
             ? g_ascii_strtod (time + strlen ("time="), NULL) * MS_PER_S
             : 0;
}

/* Return the load band of RUNNING requests, from 0 to the number of bounds.  */
static unsigned int
load_band (double running)
{
  unsigned int band = 0;

  while (band < G_N_ELEMENTS (band_bounds) && running >= band_bounds[band])
    band++;
  return band;
}

/* Return the group of ROUTE and BAND, created in GROUPS if it is new.  */
static struct group *
group_get (GPtrArray *groups, const char *route, unsigned int band)
{
  struct group *group;

  for (guint i = 0; i < groups->len; i++)
    {
      group = g_ptr_array_index (groups, i);
      if (group->band == band && strcmp (group->route, route) == 0)
        return group;
    }
  group = g_new0 (struct group, 1);
  group->route = g_strdup (route);
  group->band = band;
  for (int i = 0; i < METRIC_COUNT; i++)
    group->samples[i] = g_array_new (FALSE, FALSE, sizeof (struct sample));
  g_ptr_array_add (groups, group);
  return group;
}

static void
group_free (gpointer data)
{
  struct group *group = data;

  for (int i = 0; i < METRIC_COUNT; i++)
    g_array_free (group->samples[i], TRUE);
  g_free (group->route);
  g_free (group);
}

/* Add a sample to GROUP, unless one of the times is missing (negative).  */
static void
group_add_sample (struct group *group, enum metric metric, double predicted_ms,
                  double observed_ms)
{
  const struct sample sample
      = { .predicted_ms = predicted_ms, .observed_ms = observed_ms };

  if (predicted_ms >= 0 && observed_ms >= 0)
    g_array_append_val (group->samples[metric], sample);
}

/* Store the attempt in LINE under the request's ID, unless it is a retry or
   went to another region.  */
static void
add_attempt (GHashTable *attempts, const char *line, const char *id)
{
  struct attempt *attempt;

  if (field_number (line, "number") != 1 || field_number (line, "away") != 0)
    return;
  attempt = g_new (struct attempt, 1);
  *attempt = (struct attempt){ .logged_ms = line_time_ms (line),
                               .running = field_number (line, "running"),
                               .first_ms = field_number (line, "first"),
                               .answer_ms = field_number (line, "answer"),
                               .pause_ms = field_number (line, "pause") };
  g_hash_table_replace (attempts, g_strdup (id), attempt);
}

/* Add the samples of the request ID, whose end is logged in LINE, to GROUPS if
   it was a stream with a single attempt.  */
static void
add_stream (GHashTable *attempts, const char *line, const char *id,
            GPtrArray *groups)
{
  const struct attempt *attempt = g_hash_table_lookup (attempts, id);
  double total_ms = field_number (line, "ms");
  double first_ms = field_number (line, "first_ms");
  char route[FIELD_BYTES_MAX];
  char outcome[FIELD_BYTES_MAX];
  struct group *group;
  double queued_ms;

  if (attempt == NULL || field_number (line, "tried") != 1
      || !field_text (line, "outcome", outcome)
      || strcmp (outcome, "stream") != 0 || !field_text (line, "route", route))
    return;
  group = group_get (groups, route, load_band (attempt->running));
  /* ms and first_ms count from the arrival of the request, and the prediction
     from the attempt; the request may have been queued in between.  */
  queued_ms = attempt->logged_ms - (line_time_ms (line) - total_ms);
  group_add_sample (group, METRIC_FIRST, attempt->first_ms,
                    MAX (first_ms - queued_ms, 0));
  group_add_sample (group, METRIC_ANSWER, attempt->answer_ms,
                    total_ms - first_ms);
  group_add_sample (group, METRIC_PAUSE, attempt->pause_ms,
                    field_number (line, "gap_ms"));
}

/* Add the streams of the log FILE to GROUPS.  Return whether FILE could be
   opened.  */
static bool
read_log (const char *file, GPtrArray *groups)
{
  GHashTable *attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  FILE *in = fopen (file, "r");
  char *line = NULL;
  size_t size = 0;
  char event[FIELD_BYTES_MAX];
  char id[FIELD_BYTES_MAX];

  while (in != NULL && getline (&line, &size, in) >= 0)
    {
      if (!field_text (line, "event", event) || !field_text (line, "id", id))
        continue;
      if (strcmp (event, "attempt") == 0)
        add_attempt (attempts, line, id);
      else if (strcmp (event, "served") == 0)
        add_stream (attempts, line, id, groups);
    }
  free (line);
  if (in != NULL)
    fclose (in);
  g_hash_table_destroy (attempts);
  return in != NULL;
}

static int
compare_numbers (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Return the PERCENT-th percentile of NUMBERS, sorted and not empty.  */
static double
percentile (const GArray *numbers, unsigned int percent)
{
  return g_array_index (numbers, double,
                        (numbers->len - 1) * percent / PERCENT);
}

/* Print the line of GROUP for METRIC: times in ms, and percentiles of the ratio
   of observed to predicted.  Print nothing if there are no samples.  */
static void
print_metric (const struct group *group, enum metric metric)
{
  const GArray *samples = group->samples[metric];
  GArray *predicted = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *observed = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < samples->len; i++)
    {
      const struct sample *sample = &g_array_index (samples, struct sample, i);
      double ratio = sample->observed_ms / MAX (sample->predicted_ms, 1);

      g_array_append_val (predicted, sample->predicted_ms);
      g_array_append_val (observed, sample->observed_ms);
      g_array_append_val (ratios, ratio);
    }
  g_array_sort (predicted, compare_numbers);
  g_array_sort (observed, compare_numbers);
  g_array_sort (ratios, compare_numbers);
  if (samples->len > 0)
    printf ("%-16s %4u+ %-6s %7u %9.0f %9.0f %9.0f %6.2f %6.2f %6.2f\n",
            group->route, group->band > 0 ? band_bounds[group->band - 1] : 0,
            metric_names[metric], samples->len, percentile (predicted, 50),
            percentile (observed, 50), percentile (observed, 99),
            percentile (ratios, 50), percentile (ratios, 90),
            percentile (ratios, 99));
  g_array_free (predicted, TRUE);
  g_array_free (observed, TRUE);
  g_array_free (ratios, TRUE);
}

static int
compare_groups (gconstpointer a, gconstpointer b)
{
  const struct group *left = *(struct group *const *)a;
  const struct group *right = *(struct group *const *)b;
  int order = strcmp (left->route, right->route);

  if (order != 0)
    return order;
  return left->band < right->band ? -1 : left->band > right->band;
}

/* accuracy FILE...: print predicted and observed times of streams by route and
   load band.  */
static int
run_accuracy (const struct options *options)
{
  GPtrArray *groups = g_ptr_array_new_with_free_func (group_free);
  int code = JC_EXIT_OK;

  for (int i = 0; i < options->arg_count; i++)
    if (!read_log (options->args[i], groups))
      {
        fprintf (stderr, "jaycove-ctl: can't read %s\n", options->args[i]);
        code = JC_EXIT_FAILED;
      }
  g_ptr_array_sort (groups, compare_groups);
  printf ("%-16s %5s %-6s %7s %9s %9s %9s %6s %6s %6s\n", "route", "load",
          "what", "streams", "predicted", "seen", "seen p99", "ratio", "p90",
          "p99");
  for (guint i = 0; i < groups->len; i++)
    for (int metric = 0; metric < METRIC_COUNT; metric++)
      print_metric (g_ptr_array_index (groups, i), (enum metric)metric);
  g_ptr_array_free (groups, TRUE);
  return code;
}

const struct verb accuracy_verbs[]
    = { { "accuracy", NULL, "FILE...", VERB_ARGS_MIN_1,
          "compare predicted and observed times of streams", run_accuracy },
        { 0 } };
