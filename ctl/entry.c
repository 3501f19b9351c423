/* Verbs that ask the entry instance of --server itself.  */

#include "ctl/verbs.h"

static int
run_status (const struct options *options)
{
  return request_and_print (options, "/status", NULL);
}

static int
run_metrics (const struct options *options)
{
  return request_and_print (options, "/metrics", NULL);
}

static int
run_drain (const struct options *options)
{
  return request_and_print (options, "/drain", "");
}

static int
run_explain (const struct options *options)
{
  char *path = g_strdup_printf ("/explain?product=%s&route=%s",
                                options->args[0], options->args[1]);
  int code = request_and_print (options, path, NULL);

  g_free (path);
  return code;
}

static int
run_suspects (const struct options *options)
{
  return request_and_print (options, "/suspects", NULL);
}

static int
run_unblock (const struct options *options)
{
  char *path
      = g_strdup_printf ("/suspects/clear?fingerprint=%s", options->args[0]);
  int code = request_and_print (options, path, "");

  g_free (path);
  return code;
}

const struct verb entry_verbs[] = {
  { "status", NULL, "", 0, "show the status of an entry instance", run_status },
  { "metrics", NULL, "", 0, "show counters and histograms", run_metrics },
  { "drain", NULL, "", 0, "shut down an entry instance gracefully", run_drain },
  { "explain", NULL, "PRODUCT ROUTE", 2, "show where a request would go",
    run_explain },
  { "suspects", NULL, "", 0,
    "list fingerprints of requests that crash endpoints", run_suspects },
  { "unblock", NULL, "FINGERPRINT", 1,
    "accept requests with a fingerprint again", run_unblock },
  { NULL, NULL, NULL, 0, NULL, NULL }
};
