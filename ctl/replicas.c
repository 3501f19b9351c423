/* Verbs of the replicated log.  */

#include "ctl/verbs.h"

static int
run_list (const struct options *options)
{
  return request_state_instance (options, "replicas.list", "{}");
}

static int
run_add (const struct options *options)
{
  char *json
      = g_strdup_printf ("{\"name\":\"%s\",\"voting\":%s}", options->args[0],
                         options->non_voting ? "false" : "true");
  int code = request_state_instance (options, "replicas.add", json);

  g_free (json);
  return code;
}

static int
run_remove (const struct options *options)
{
  char *json = g_strdup_printf ("{\"name\":\"%s\"}", options->args[0]);
  int code = request_state_instance (options, "replicas.remove", json);

  g_free (json);
  return code;
}

const struct verb replica_verbs[]
    = { { "replicas", "list", "", 0, "show the replicas of the log", run_list },
        { "replicas", "add", "NAME", 1, "add a replica", run_add },
        { "replicas", "remove", "NAME", 1, "remove a replica", run_remove },
        { NULL, NULL, NULL, 0, NULL, NULL } };
