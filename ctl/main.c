/* jaycove-ctl: the operators' command.  */

#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/config.h"
#include "net/program.h"

enum
{
  REQUEST_TIMEOUT_S = 15,
  HTTP_OK = 200,
  CHANGE_ID_BYTES = 12
};

/* The command line once read.  */
struct options
{
  const char *verb;
  const char *arg;
  const char *server;
  const char *token;
  const char *change_id;
  int expected;
};

/* One verb of the command.  */
struct verb
{
  const char *name;
  const char *args;
  const char *what;
  int (*run) (const struct options *options);
};

static size_t
on_answer (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

/* Ask the server for PATH, with BODY as a POST unless it is NULL.  Return the
   HTTP status, 0 where no answer came.  */
static long
ask (const struct options *options, const char *path, const char *body,
     GString *answer)
{
  CURL *easy = curl_easy_init ();
  char *url = g_strconcat ("http://", options->server, path, NULL);
  char *auth = g_strconcat ("Authorization: Bearer ", options->token, NULL);
  struct curl_slist *headers = curl_slist_append (NULL, auth);
  long http = 0;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, (long)REQUEST_TIMEOUT_S);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  g_free (auth);
  g_free (url);
  return http;
}

static int
exit_code_of (long http, const char *answer)
{
  if (http == HTTP_OK)
    return JC_EXIT_OK;
  if (http == 0 || strstr (answer, "outcome_unknown") != NULL)
    return JC_EXIT_UNKNOWN;
  return JC_EXIT_REFUSED;
}

static int
show (const struct options *options, const char *path)
{
  GString *answer = g_string_new (NULL);
  long http = ask (options, path, NULL, answer);
  int code = exit_code_of (http, answer->str);

  printf ("%s\n", http != 0 ? answer->str : "no answer");
  g_string_free (answer, TRUE);
  return code;
}

static int
run_status (const struct options *options)
{
  return show (options, "/status");
}

static int
run_config (const struct options *options)
{
  return show (options, "/config");
}

static int
run_metrics (const struct options *options)
{
  return show (options, "/metrics");
}

static int
run_check (const struct options *options)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  json_error_t error;
  json_t *change = json_load_file (options->arg, 0, &error);
  struct jc_config *base = jc_config_empty ();
  struct jc_config *config = NULL;

  if (change == NULL)
    jc_fault (faults, options->arg, "line %d: %s", error.line, error.text);
  else
    config = jc_config_apply (base, change, 1, faults);
  for (guint i = 0; i < faults->len; i++)
    printf ("%s\n", (const char *)g_ptr_array_index (faults, i));
  if (config != NULL)
    printf ("ok\n");
  jc_config_free (base);
  jc_config_free (config);
  json_decref (change);
  g_ptr_array_free (faults, TRUE);
  return config != NULL ? JC_EXIT_OK : JC_EXIT_REFUSED;
}

static char *
random_change_id (void)
{
  unsigned char bytes[CHANGE_ID_BYTES];
  char hex[2 * CHANGE_ID_BYTES + 1];

  randombytes_buf (bytes, sizeof bytes);
  return g_strdup (sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes));
}

static int
run_apply (const struct options *options)
{
  GString *answer = g_string_new (NULL);
  char *id = options->change_id != NULL ? g_strdup (options->change_id)
                                        : random_change_id ();
  char *path = g_strdup_printf ("/config?expected_version=%d&change_id=%s",
                                options->expected, id);
  char *body = NULL;
  int code = JC_EXIT_REFUSED;
  long http;

  if (!g_file_get_contents (options->arg, &body, NULL, NULL))
    printf ("%s can't be read\n", options->arg);
  else
    {
      http = ask (options, path, body, answer);
      code = exit_code_of (http, answer->str);
      printf ("%s\n", http != 0 ? answer->str : "no answer");
      if (code == JC_EXIT_UNKNOWN)
        printf ("Resend with --change-id %s.\n", id);
    }
  g_free (body);
  g_free (path);
  g_free (id);
  g_string_free (answer, TRUE);
  return code;
}

static const struct verb verbs[]
    = { { "check", "FILE", "check a change without a server", run_check },
        { "apply", "FILE", "submit a change", run_apply },
        { "status", "", "show an entry instance", run_status },
        { "config", "", "show the configuration in force", run_config },
        { "metrics", "", "show counters and histograms", run_metrics } };

static void
print_help (void **table)
{
  printf ("Usage: jaycove-ctl");
  arg_print_syntax (stdout, table, "\n\nVerbs:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    printf ("  %-8s %-6s %s\n", verbs[i].name, verbs[i].args, verbs[i].what);
  printf ("\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nExit codes: 0 done, 2 usage, 4 refused, 5 outcome unknown.\n");
}

static int
run_verb (const struct options *options)
{
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, options->verb) == 0
        && (verbs[i].args[0] == '\0' || options->arg != NULL))
      return verbs[i].run (options);
  fprintf (stderr, "jaycove-ctl: unknown verb or missing argument: %s\n",
           options->verb);
  return JC_EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_str *server
      = arg_str0 (NULL, "server", "IP:PORT", "operators' listener to ask");
  struct arg_str *token = arg_str0 (NULL, "token", "TOKEN", "its token");
  struct arg_int *expected = arg_int0 (NULL, "expected-version", "N",
                                       "version that the change builds on");
  struct arg_str *id
      = arg_str0 (NULL, "change-id", "ID", "id of the change, for resending");
  struct arg_str *words = arg_strn (NULL, NULL, "VERB [ARG]", 0, 3, NULL);
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, server, token, expected, id, words, end };
  int errors = arg_parse (argc, argv, table);
  int code = JC_EXIT_USAGE;

  if (sodium_init () < 0)
    code = JC_EXIT_FAILED;
  else if (help->count > 0)
    {
      print_help (table);
      code = JC_EXIT_OK;
    }
  else if (version->count > 0)
    {
      printf ("jaycove-ctl %s\n", JC_VERSION);
      code = JC_EXIT_OK;
    }
  else if (errors > 0 || words->count == 0)
    arg_print_errors (stderr, end, "jaycove-ctl");
  else
    {
      struct options options
          = { .verb = words->sval[0],
              .arg = words->count > 1 ? words->sval[1] : NULL,
              .server = server->count > 0 ? server->sval[0] : "127.0.0.1:0",
              .token = token->count > 0 ? token->sval[0] : "",
              .change_id = id->count > 0 ? id->sval[0] : NULL,
              .expected = expected->count > 0 ? expected->ival[0] : 0 };

      code = run_verb (&options);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return code;
}
