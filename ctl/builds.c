/* Verb that shows how far a rollout is: which build each instance runs.  */

#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"

#define BUILD_PREFIX "jaycove_build{name=\""
#define LEVEL_PREFIX "jaycove_rpc_level{} "
#define BEHIND_PREFIX "jaycove_rpc_peer_behind{peer=\""

/* Return what stands behind PREFIX at the beginning of the first line of
   METRICS that begins so, up to one of the characters of END; "-" if no line
   does, as in builds that don't tell it.  The caller frees it.  */
static char *
find_value (const char *metrics, const char *prefix, const char *end)
{
  const char *at = strstr (metrics, prefix);

  while (at != NULL && at != metrics && at[-1] != '\n')
    at = strstr (at + 1, prefix);
  if (at == NULL)
    return g_strdup ("-");
  at += strlen (prefix);
  return g_strndup (at, strcspn (at, end));
}

/* Append to LINE the names of the peers that METRICS has as behind.  */
static void
append_behind (GString *line, const char *metrics)
{
  const char *separator = "";
  const char *at = metrics;

  while ((at = strstr (at, BEHIND_PREFIX)) != NULL)
    {
      at += strlen (BEHIND_PREFIX);
      g_string_append (line, separator);
      g_string_append_len (line, at, (gssize)strcspn (at, "\""));
      separator = ",";
    }
  if (*separator == '\0')
    g_string_append_c (line, '-');
}

/* Print the build and level of the instance whose operators' listener is at the
   server of OPTIONS, and its peers that are behind.  Return the exit code.  */
static int
print_build (const struct options *options)
{
  GString *answer = g_string_new (NULL);
  GString *line = g_string_new (options->server);
  int code = request_exit_code (
      request_send (options, "/metrics", NULL, answer), answer->str);
  g_autofree char *build = find_value (answer->str, BUILD_PREFIX, "\"");
  g_autofree char *level = find_value (answer->str, LEVEL_PREFIX, "\r\n");

  if (code == JC_EXIT_OK)
    {
      g_string_append_printf (line, " build=%s level=%s behind=", build, level);
      append_behind (line, answer->str);
    }
  else
    g_string_append (line, code == JC_EXIT_UNKNOWN ? " no answer" : " refused");
  printf ("%s\n", line->str);
  g_string_free (line, TRUE);
  g_string_free (answer, TRUE);
  return code;
}

static int
run_builds (const struct options *options)
{
  int worst = JC_EXIT_OK;

  for (int i = 0; i < options->arg_count; i++)
    {
      struct options one = *options;
      int code;

      one.server = options->args[i];
      code = print_build (&one);
      worst = MAX (worst, code);
    }
  return worst;
}

const struct verb build_verbs[]
    = { { "builds", NULL, "IP:PORT...", VERB_ARGS_MIN_1,
          "show build and protocol level of instances, and peers behind",
          run_builds },
        { NULL, NULL, NULL, 0, NULL, NULL } };
