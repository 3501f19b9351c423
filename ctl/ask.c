/* Requests to an operators' listener.  */

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  REQUEST_TIMEOUT_S = 15,
  HTTP_OK = 200
};

static size_t
on_answer (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

/* Ask the server for PATH, with BODY as a POST unless it is NULL.  Return the
   HTTP status, 0 where no answer came.  */
long
ask_server (const struct options *options, const char *path, const char *body,
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

/* Return the exit code for the status HTTP with ANSWER.  */
int
ask_exit_code (long http, const char *answer)
{
  if (http == HTTP_OK)
    return JC_EXIT_OK;
  if (http == 0 || strstr (answer, "outcome_unknown") != NULL)
    return JC_EXIT_UNKNOWN;
  return JC_EXIT_REFUSED;
}

/* Ask for PATH as ask_server does, print the answer and return the exit
   code.  */
int
ask_and_print (const struct options *options, const char *path,
               const char *body)
{
  GString *answer = g_string_new (NULL);
  long http = ask_server (options, path, body, answer);
  int code = ask_exit_code (http, answer->str);

  printf ("%s\n", http != 0 ? answer->str : "no answer");
  g_string_free (answer, TRUE);
  return code;
}

/* Ask a state instance, by way of the server, for VERB with JSON.  */
int
ask_state (const struct options *options, const char *verb, const char *json)
{
  bool named = options->state != NULL;
  char *path = g_strconcat ("/admin?verb=", verb, named ? "&state=" : "",
                            named ? options->state : "", NULL);
  int code = ask_and_print (options, path, json);

  g_free (path);
  return code;
}
