/* Requests to an operators' listener.  */

#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"
#include "net/httpc.h"

enum
{
  REQUEST_TIMEOUT_MS = 15000,
  HTTP_OK = 200
};

/* An answer under way.  HTTP is 0 until it is whole.  */
struct asked
{
  struct ev_loop *loop;
  GString *answer;
  long http;
};

static void
on_data (void *ctx, struct jc_str data)
{
  struct asked *asked = ctx;

  g_string_append_len (asked->answer, data.data, (gssize)data.len);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct asked *asked = ctx;

  asked->http = result->status == JC_OK ? result->http_status : 0;
  ev_break (asked->loop, EVBREAK_ALL);
}

/* Ask the server for PATH, with BODY as a POST unless it is NULL.  Return the
   HTTP status, 0 where no answer came.  */
long
request_send (const struct options *options, const char *path, const char *body,
              GString *answer)
{
  static const struct jc_httpc_call_ops ops
      = { .data = on_data, .done = on_done };
  char *url = g_strconcat ("http://", options->server, path, NULL);
  char *auth = g_strconcat ("Authorization: Bearer ", options->token, NULL);
  const char *headers[] = { auth, NULL };
  struct jc_httpc_call_spec spec
      = { .method = body != NULL ? "POST" : "GET",
          .url = url,
          .headers = headers,
          .body = jc_str_from_cstr (body != NULL ? body : ""),
          .total_timeout_ms = REQUEST_TIMEOUT_MS,
          .own_connection = true };
  struct asked asked = { .loop = ev_loop_new (0), .answer = answer };
  struct jc_httpc *httpc = jc_httpc_new (asked.loop);

  jc_httpc_call_start (httpc, &spec, &ops, &asked);
  ev_run (asked.loop, 0);
  jc_httpc_free (httpc);
  ev_loop_destroy (asked.loop);
  g_free (auth);
  g_free (url);
  return asked.http;
}

/* Return the exit code for the status HTTP with ANSWER.  */
int
request_exit_code (long http, const char *answer)
{
  if (http == HTTP_OK)
    return JC_EXIT_OK;
  if (http == 0 || strstr (answer, "outcome_unknown") != NULL)
    return JC_EXIT_UNKNOWN;
  return JC_EXIT_REFUSED;
}

/* Ask for PATH as request_send does, print the answer and return the exit
   code.  */
int
request_and_print (const struct options *options, const char *path,
                   const char *body)
{
  GString *answer = g_string_new (NULL);
  long http = request_send (options, path, body, answer);
  int code = request_exit_code (http, answer->str);

  printf ("%s\n", http != 0 ? answer->str : "no answer");
  g_string_free (answer, TRUE);
  return code;
}

/* Ask a state instance, by way of the server, for VERB with JSON.  */
int
request_state_instance (const struct options *options, const char *verb,
                        const char *json)
{
  bool named = options->state_instance != NULL;
  char *path = g_strconcat ("/admin?verb=", verb, named ? "&state=" : "",
                            named ? options->state_instance : "", NULL);
  int code = request_and_print (options, path, json);

  g_free (path);
  return code;
}
