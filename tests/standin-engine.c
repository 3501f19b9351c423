/* Stand-in model engine: chat completions, plain and as a stream.  */

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standin.h"

enum
{
  TOKENS_DEFAULT = 8,
  MS_PER_S = 1000
};

/* The engine's pace, in ms.  */
struct engine
{
  struct standin standin;
  int first_token_ms;
  int token_ms;
};

/* A completion that runs.  */
struct completion
{
  struct engine *engine;
  struct jc_http_req *req;
  bool stream;
  int tokens;
  int made;
  ev_timer timer;
};

static void
completion_free (struct completion *completion)
{
  ev_timer_stop (completion->engine->standin.loop, &completion->timer);
  completion->engine->standin.running--;
  g_free (completion);
}

static void
completion_finish (struct completion *completion)
{
  const struct standin *standin = &completion->engine->standin;
  GString *text = g_string_new (NULL);

  if (completion->stream)
    {
      jc_http_stream_write (completion->req, JC_STR_LIT ("data: [DONE]\n\n"));
      jc_http_stream_end (completion->req, true);
    }
  else
    {
      for (int i = 0; i < completion->tokens; i++)
        g_string_append_printf (text, "%sw%d", i > 0 ? " " : "", i);
      json_t *answer = json_pack (
          "{s:s,s:s,s:[{s:i,s:s,s:{s:s,s:s}}],s:{s:i}}", "object",
          "chat.completion", "model", standin->model, "choices", "index", 0,
          "finish_reason", "stop", "message", "role", "assistant", "content",
          text->str, "usage", "completion_tokens", completion->tokens);
      char *body = json_dumps (answer, JSON_COMPACT);

      jc_http_reply (completion->req, 200, "application/json",
                     jc_str_from (body), NULL);
      free (body);
      json_decref (answer);
    }
  g_string_free (text, TRUE);
  completion_free (completion);
}

static void
on_token (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct completion *completion = watcher->data;
  char *event;

  (void)loop;
  (void)events;
  if (completion->stream && completion->made == 0)
    jc_http_stream_begin (completion->req, 200, "text/event-stream", NULL);
  if (completion->stream)
    {
      event = g_strdup_printf (
          "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%sw%d\"}"
          "}]}\n\n",
          completion->made > 0 ? " " : "", completion->made);
      jc_http_stream_write (completion->req, jc_str_from (event));
      g_free (event);
    }
  if (++completion->made >= completion->tokens)
    completion_finish (completion);
}

static void
engine_body (void *ctx, struct jc_http_req *req)
{
  struct engine *engine = ctx;
  struct jc_str body = jc_http_body (req);
  json_t *json = json_loadb (body.data, body.len, 0, NULL);
  json_int_t tokens = json_integer_value (json_object_get (json, "max_tokens"));
  struct completion *completion;

  if (json == NULL)
    {
      jc_http_fail (req, JC_BAD_JSON, "The body is not JSON.", 0);
      return;
    }
  completion = g_new0 (struct completion, 1);
  completion->engine = engine;
  completion->req = req;
  completion->tokens = tokens > 0 ? (int)tokens : TOKENS_DEFAULT;
  completion->stream = json_is_true (json_object_get (json, "stream"));
  json_decref (json);
  jc_http_set_data (req, completion);
  engine->standin.running++;
  engine->standin.executions++;
  ev_timer_init (&completion->timer, on_token,
                 (double)engine->first_token_ms / MS_PER_S,
                 (double)engine->token_ms / MS_PER_S);
  completion->timer.data = completion;
  ev_timer_start (engine->standin.loop, &completion->timer);
}

static void
engine_gone (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  if (jc_http_data (req) != NULL)
    completion_free (jc_http_data (req));
}

int
main (int argc, char **argv)
{
  static const struct jc_httpd_class klass
      = { .body = engine_body, .gone = engine_gone };
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name");
  struct arg_str *service = arg_str1 (NULL, "service", "NAME", "service");
  struct arg_str *model = arg_str1 (NULL, "model", "NAME", "model version");
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "listener");
  struct arg_str *entries = arg_strn (NULL, "entry", "IP:PORT", 0,
                                      STANDIN_ENTRIES_MAX, "entry instance");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "batch slots");
  struct arg_int *first = arg_int0 (NULL, "first-token-ms", "N", "prefill");
  struct arg_int *each = arg_int0 (NULL, "token-ms", "N", "per token");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { name, service, model, listen, entries, slots, first, each, end };
  struct engine engine = { 0 };

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "standin-engine");
      return 2;
    }
  engine.standin.name = name->sval[0];
  engine.standin.service = service->sval[0];
  engine.standin.model = model->sval[0];
  engine.standin.slots = slots->count > 0 ? (unsigned int)slots->ival[0] : 8;
  engine.first_token_ms = first->count > 0 ? first->ival[0] : 20;
  engine.token_ms = each->count > 0 ? each->ival[0] : 5;
  for (int i = 0; i < entries->count; i++)
    engine.standin.entries[engine.standin.entry_count++] = entries->sval[i];
  standin_start (&engine.standin, listen->sval[0], &klass, &engine);
  return 0;
}
