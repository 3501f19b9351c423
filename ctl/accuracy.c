/* Verb that holds what entry instances predicted of streams against what came
   of them, from their logs.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  FIELD_BYTES = 64,
  PERCENT = 100,
  MS_PER_S = 1000
};

/* Bounds of the classes of load: requests at the endpoint when one more was
   sent.  */
static const unsigned int load_bounds[] = { 8, 16, 32, 64 };

/* A first attempt at an endpoint, as its log line tells.  */
struct attempt
{
  double at_ms;
  double running;
  double first_ms;
  double answer_ms;
  double pause_ms;
};

/* A quantity of one route and class of load: predicted and seen.  */
struct pair
{
  double predicted;
  double seen;
};

enum quantity
{
  FIRST,
  REST,
  PAUSE,
  QUANTITIES
};

static const char *const quantity_names[]
    = { [FIRST] = "first", [REST] = "answer", [PAUSE] = "pause" };

/* What one line of the table rests on.  */
struct class
{
  char *route;
  unsigned int load;
  GArray *pairs[QUANTITIES];
};

/* Write the field NAME of LINE to OUT.  Return whether it is there.  */
static bool
field_text (const char *line, const char *name, char out[FIELD_BYTES])
{
  char *key = g_strconcat (" ", name, "=", NULL);
  const char *at = strstr (line, key);

  if (at != NULL)
    {
      at += strlen (key);
      g_strlcpy (out, at, MIN (strcspn (at, " \r\n") + 1, FIELD_BYTES));
    }
  g_free (key);
  return at != NULL;
}

/* Return the number in the field NAME of LINE, -1 where there is none.  */
static double
field_number (const char *line, const char *name)
{
  char text[FIELD_BYTES];

  return field_text (line, name, text) ? g_ascii_strtod (text, NULL) : -1;
}

/* Return the time of LINE, ms.  */
static double
line_ms (const char *line)
{
  const char *time = strstr (line, "time=");

  return time != NULL
             ? g_ascii_strtod (time + strlen ("time="), NULL) * MS_PER_S
             : 0;
}

static unsigned int
load_class (double running)
{
  unsigned int load = 0;

  while (load < G_N_ELEMENTS (load_bounds) && running >= load_bounds[load])
    load++;
  return load;
}

static struct class *
class_of (GPtrArray *classes, const char *route, unsigned int load)
{
  struct class *fresh;

  for (guint i = 0; i < classes->len; i++)
    {
      struct class *one = g_ptr_array_index (classes, i);

      if (one->load == load && strcmp (one->route, route) == 0)
        return one;
    }
  fresh = g_new0 (struct class, 1);
  fresh->route = g_strdup (route);
  fresh->load = load;
  for (int i = 0; i < QUANTITIES; i++)
    fresh->pairs[i] = g_array_new (FALSE, FALSE, sizeof (struct pair));
  g_ptr_array_add (classes, fresh);
  return fresh;
}

static void
class_free (gpointer data)
{
  struct class *one = data;

  for (int i = 0; i < QUANTITIES; i++)
    g_array_free (one->pairs[i], TRUE);
  g_free (one->route);
  g_free (one);
}

static void
add_pair (struct class *one, enum quantity quantity, double predicted,
          double seen)
{
  const struct pair pair = { .predicted = predicted, .seen = seen };

  if (predicted >= 0 && seen >= 0)
    g_array_append_val (one->pairs[quantity], pair);
}

/* LINE tells of an attempt: keep it by the request's id.  */
static void
take_attempt (GHashTable *attempts, const char *line, const char *id)
{
  struct attempt *attempt;

  if (field_number (line, "number") != 1 || field_number (line, "away") != 0)
    return;
  attempt = g_new (struct attempt, 1);
  *attempt = (struct attempt){ .at_ms = line_ms (line),
                               .running = field_number (line, "running"),
                               .first_ms = field_number (line, "first"),
                               .answer_ms = field_number (line, "answer"),
                               .pause_ms = field_number (line, "pause") };
  g_hash_table_replace (attempts, g_strdup (id), attempt);
}

/* LINE tells that a stream was served: hold it against its only attempt.  */
static void
take_served (GHashTable *attempts, const char *line, const char *id,
             GPtrArray *classes)
{
  const struct attempt *attempt = g_hash_table_lookup (attempts, id);
  double took = field_number (line, "ms");
  double first = field_number (line, "first_ms");
  char route[FIELD_BYTES];
  char outcome[FIELD_BYTES];
  struct class *one;
  double waited;

  if (attempt == NULL || field_number (line, "tried") != 1
      || !field_text (line, "outcome", outcome)
      || strcmp (outcome, "stream") != 0 || !field_text (line, "route", route))
    return;
  one = class_of (classes, route, load_class (attempt->running));
  /* Both times count from when the request came; it may have waited here.  */
  waited = attempt->at_ms - (line_ms (line) - took);
  add_pair (one, FIRST, attempt->first_ms, MAX (first - waited, 0));
  add_pair (one, REST, attempt->answer_ms, took - first);
  add_pair (one, PAUSE, attempt->pause_ms, field_number (line, "gap_ms"));
}

/* Read FILE into CLASSES.  Return whether it could be read.  */
static bool
read_log (const char *file, GPtrArray *classes)
{
  GHashTable *attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  FILE *in = fopen (file, "r");
  char *line = NULL;
  size_t size = 0;
  char event[FIELD_BYTES];
  char id[FIELD_BYTES];

  while (in != NULL && getline (&line, &size, in) >= 0)
    {
      if (!field_text (line, "event", event) || !field_text (line, "id", id))
        continue;
      if (strcmp (event, "attempt") == 0)
        take_attempt (attempts, line, id);
      else if (strcmp (event, "served") == 0)
        take_served (attempts, line, id, classes);
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

static double
percentile (const GArray *numbers, unsigned int percent)
{
  return g_array_index (numbers, double,
                        (numbers->len - 1) * percent / PERCENT);
}

/* Print the line of ONE for QUANTITY: the medians, and what was seen as a
   multiple of what was predicted.  */
static void
print_quantity (const struct class *one, enum quantity quantity)
{
  const GArray *pairs = one->pairs[quantity];
  GArray *predicted = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *seen = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < pairs->len; i++)
    {
      const struct pair *pair = &g_array_index (pairs, struct pair, i);
      double ratio = pair->seen / MAX (pair->predicted, 1);

      g_array_append_val (predicted, pair->predicted);
      g_array_append_val (seen, pair->seen);
      g_array_append_val (ratios, ratio);
    }
  g_array_sort (predicted, compare_numbers);
  g_array_sort (seen, compare_numbers);
  g_array_sort (ratios, compare_numbers);
  if (pairs->len > 0)
    printf ("%-16s %4u+ %-6s %7u %9.0f %9.0f %9.0f %6.2f %6.2f %6.2f\n",
            one->route, one->load > 0 ? load_bounds[one->load - 1] : 0,
            quantity_names[quantity], pairs->len, percentile (predicted, 50),
            percentile (seen, 50), percentile (seen, 99),
            percentile (ratios, 50), percentile (ratios, 90),
            percentile (ratios, 99));
  g_array_free (predicted, TRUE);
  g_array_free (seen, TRUE);
  g_array_free (ratios, TRUE);
}

static int
compare_classes (gconstpointer a, gconstpointer b)
{
  const struct class *left = *(struct class *const *)a;
  const struct class *right = *(struct class *const *)b;
  int order = strcmp (left->route, right->route);

  if (order != 0)
    return order;
  return left->load < right->load ? -1 : left->load > right->load;
}

/* accuracy FILE...: print by route and load how long streams took against what
   was predicted when they were sent.  */
static int
run_accuracy (const struct options *options)
{
  GPtrArray *classes = g_ptr_array_new_with_free_func (class_free);
  int code = JC_EXIT_OK;

  for (int i = 0; i < options->arg_count; i++)
    if (!read_log (options->args[i], classes))
      {
        fprintf (stderr, "jaycove-ctl: can't read %s\n", options->args[i]);
        code = JC_EXIT_FAILED;
      }
  g_ptr_array_sort (classes, compare_classes);
  printf ("%-16s %5s %-6s %7s %9s %9s %9s %6s %6s %6s\n", "route", "load",
          "what", "streams", "predicted", "seen", "seen p99", "ratio", "p90",
          "p99");
  for (guint i = 0; i < classes->len; i++)
    for (int quantity = 0; quantity < QUANTITIES; quantity++)
      print_quantity (g_ptr_array_index (classes, i), (enum quantity)quantity);
  g_ptr_array_free (classes, TRUE);
  return code;
}

const struct verb accuracy_verbs[]
    = { { "accuracy", NULL, "FILE...", VERB_ARGS_MIN_1,
          "hold predictions against what streams took", run_accuracy },
        { 0 } };
