/* Verb that follows one request through the logs of several processes.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"

/* One line that names the request, and the file that it stands in.  */
struct line
{
  double time_s;
  guint order;
  char *text;
};

static void
line_clear (gpointer data)
{
  g_free (((struct line *)data)->text);
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct line *left = a;
  const struct line *right = b;

  if (left->time_s != right->time_s)
    return left->time_s < right->time_s ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

/* Tell whether TEXT has the field "id=ID".  */
static bool
names_id (const char *text, const char *id)
{
  size_t len = strlen (id);
  const char *at = text;

  while ((at = strstr (at, " id=")) != NULL)
    {
      at += strlen (" id=");
      if (strncmp (at, id, len) == 0 && (at[len] == ' ' || at[len] == '\0'))
        return true;
    }
  return false;
}

/* Add the lines of FILE that name ID to LINES.  */
static bool
collect (const char *file, const char *id, GArray *lines)
{
  FILE *in = fopen (file, "r");
  char *text = NULL;
  size_t size = 0;

  if (in == NULL)
    return false;
  while (getline (&text, &size, in) >= 0)
    {
      const char *time = strstr (text, "time=");
      struct line line = { .order = lines->len };

      g_strchomp (text);
      if (time == NULL || !names_id (text, id))
        continue;
      line.time_s = g_ascii_strtod (time + strlen ("time="), NULL);
      line.text = g_strdup_printf ("%s: %s", file, text);
      g_array_append_val (lines, line);
    }
  free (text);
  fclose (in);
  return true;
}

/* trace ID FILE...: print what the logs say of the request, by time.  */
static int
run_trace (const struct options *options)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  int code = JC_EXIT_OK;

  g_array_set_clear_func (lines, line_clear);
  for (int i = 1; i < options->arg_count; i++)
    if (!collect (options->args[i], options->args[0], lines))
      {
        fprintf (stderr, "jaycove-ctl: can't read %s\n", options->args[i]);
        code = JC_EXIT_FAILED;
      }
  g_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    printf ("%s\n", g_array_index (lines, struct line, i).text);
  if (lines->len == 0 && code == JC_EXIT_OK)
    code = JC_EXIT_REFUSED;
  g_array_free (lines, TRUE);
  return code;
}

const struct verb trace_verbs[]
    = { { "trace", NULL, "ID FILE...", VERB_ARGS_MIN_2,
          "follow a request through logs", run_trace },
        { 0 } };
