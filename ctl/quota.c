/* Verb that shows the quota of a workspace, what is used of it, and which
   instance has which share.  */

#include <jansson.h>
#include <stdio.h>

#include "ctl/verbs.h"

/* Sums over the instances that answered.  */
struct totals
{
  double slots;
  double used_per_s;
  double per_s;
};

/* Print the row of the instance at the server of OPTIONS for WORKSPACE, and add
   it to TOTALS.  Return the exit code.  */
static int
print_instance (const struct options *options, const char *workspace,
                struct totals *totals)
{
  GString *answer = g_string_new (NULL);
  g_autofree char *name = g_uri_escape_string (workspace, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/quotas?workspace=%s", name);
  int code = request_exit_code (request_send (options, path, NULL, answer),
                                answer->str);
  json_t *row = json_loads (answer->str, 0, NULL);

  if (code == JC_EXIT_OK && row != NULL)
    {
      double per_s = json_number_value (json_object_get (row, "per_s"));
      double slots = json_number_value (json_object_get (row, "slots"));
      double used = json_number_value (json_object_get (row, "used_per_s"));

      printf ("%s limit=%.0f/s burst=%.0f unit=%s slots=%.0f credit=%.0f "
              "used=%.1f/s\n",
              options->server, per_s,
              json_number_value (json_object_get (row, "burst")),
              json_string_value (json_object_get (row, "unit")), slots,
              json_number_value (json_object_get (row, "credit")), used);
      totals->slots += slots;
      totals->used_per_s += used;
      totals->per_s = per_s;
    }
  else
    printf ("%s %s\n", options->server,
            code == JC_EXIT_UNKNOWN ? "no answer" : "no such limit");
  json_decref (row);
  g_string_free (answer, TRUE);
  return code;
}

static int
run_quota (const struct options *options)
{
  struct totals totals = { 0 };
  int worst = JC_EXIT_OK;

  if (options->arg_count < 2)
    {
      fprintf (stderr, "Name a workspace and the instances to ask.\n");
      return JC_EXIT_USAGE;
    }
  for (int i = 1; i < options->arg_count; i++)
    {
      struct options one = *options;
      int code;

      one.server = options->args[i];
      code = print_instance (&one, options->args[0], &totals);
      worst = MAX (worst, code);
    }
  printf ("all limit=%.0f/s slots=%.0f used=%.1f/s\n", totals.per_s,
          totals.slots, totals.used_per_s);
  return worst;
}

const struct verb quota_verbs[]
    = { { "quota", NULL, "WORKSPACE IP:PORT...", VERB_ARGS_MIN_1,
          "show a workspace's limit, use and shares at instances", run_quota },
        { NULL, NULL, NULL, 0, NULL, NULL } };
