/* Requests to the operators' listener of an entry instance.  */

#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"
#include "net/httpc.h"

enum
{
  REQUEST_TIMEOUT_MS = 15000,
  HTTP_OK = 200
};

/* A request under way.  HTTP_STATUS stays 0 unless the whole answer came.  */
struct request
{
  struct ev_loop *loop;
  GString *answer;
  long http_status;
};

static void
on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;

  g_string_append_len (request->answer, data.data, (gssize)data.len);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct request *request = ctx;

  request->http_status = result->status == JC_OK ? result->http_status : 0;
  ev_break (request->loop, EVBREAK_ALL);
}

/* Request PATH from the server of OPTIONS and append the body of its answer to
   ANSWER.  The request is a POST with BODY, or a GET where BODY is NULL.
   Block until it ends, at most REQUEST_TIMEOUT_MS.  Return the HTTP status, 0
   if no whole answer came.  */
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
  struct request request = { .loop = ev_loop_new (0), .answer = answer };
  struct jc_httpc *httpc = jc_httpc_new (request.loop);

  jc_httpc_call_start (httpc, &spec, &ops, &request);
  ev_run (request.loop, 0);
  jc_httpc_free (httpc);
  ev_loop_destroy (request.loop);
  g_free (auth);
  g_free (url);
  return request.http_status;
}

/* Return the exit code for an ANSWER with HTTP_STATUS.  No answer (0) and the
   error kind outcome_unknown both mean that the request may have run.  */
int
request_exit_code (long http_status, const char *answer)
{
  if (http_status == HTTP_OK)
    return JC_EXIT_OK;
  if (http_status == 0 || strstr (answer, "outcome_unknown") != NULL)
    return JC_EXIT_UNKNOWN;
  return JC_EXIT_REFUSED;
}

/* Send a request as request_send does, print the answer to stdout and return
   the exit code.  */
int
request_and_print (const struct options *options, const char *path,
                   const char *body)
{
  GString *answer = g_string_new (NULL);
  long http_status = request_send (options, path, body, answer);
  int code = request_exit_code (http_status, answer->str);

  printf ("%s\n", http_status != 0 ? answer->str : "no answer");
  g_string_free (answer, TRUE);
  return code;
}

/* Send the admin call VERB with the JSON text to a state instance, forwarded by
   the server of OPTIONS: the named one, or the first connected one if none is
   named.  Print the answer and return the exit code.  */
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
