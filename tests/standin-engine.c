/* Stand-in model engine: chat completions, streamed or not, with continuous
   batching and an LRU prefix cache.  */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standin.h"

enum
{
  TOKENS_DEFAULT = 8,
  FIRST_TOKEN_DEFAULT_MS = 20,
  TOKEN_DEFAULT_MS = 5,
  BATCH_SLOWDOWN_DEFAULT_PERCENT = 3,
  WARM_PREFILL_DEFAULT_PERCENT = 20,
  PREFIXES_DEFAULT = 64,
  FULL_PERCENT = 100,
  MS_PER_S = 1000
};

/* A decoding step takes TOKEN_MS for a batch of one completion and
   BATCH_PERCENT more for each additional one.  Prefill takes FIRST_TOKEN_MS,
   or WARM_PERCENT of that if the prefix of the prompt is cached.  PREFIXES
   holds up to PREFIXES_MAX cached prefixes, the most recently used last.  */
struct engine
{
  struct standin standin;
  int first_token_ms;
  int token_ms;
  int batch_percent;
  int warm_percent;
  guint prefixes_max;
  GQueue waiting;
  GQueue batch;
  GQueue prefixes;
  ev_timer step_timer;
};

/* A completion that is queued, in prefill or decoding.  HAS_SLOT is set from
   the start of prefill.  TOKENS_DONE counts those of TOKENS that are
   generated or, in a resumed stream, skipped.  */
struct completion
{
  struct engine *engine;
  struct jc_http_req *req;
  char *id;
  char *prefix;
  bool stream;
  bool started;
  bool has_slot;
  enum standin_fault fault;
  int tokens;
  int tokens_done;
  ev_timer prefill_timer;
};

static void engine_fill_slots (struct engine *engine);

static void
completion_free (struct completion *completion)
{
  struct engine *engine = completion->engine;

  ev_timer_stop (engine->standin.loop, &completion->prefill_timer);
  if (completion->has_slot)
    engine->standin.running--;
  if (g_queue_remove (&engine->waiting, completion))
    engine->standin.queued--;
  g_queue_remove (&engine->batch, completion);
  g_free (completion->id);
  g_free (completion->prefix);
  g_free (completion);
  engine_fill_slots (engine);
}

static void
completion_reply (const struct completion *completion)
{
  GString *text = g_string_new (NULL);
  json_t *answer;
  char *body;

  for (int i = 0; i < completion->tokens; i++)
    g_string_append_printf (text, "%sw%d", i > 0 ? " " : "", i);
  answer = json_pack ("{s:s,s:s,s:s,s:[{s:i,s:s,s:{s:s,s:s}}],s:{s:i}}", "id",
                      completion->id, "object", "chat.completion", "model",
                      completion->engine->standin.model, "choices", "index", 0,
                      "finish_reason", "stop", "message", "role", "assistant",
                      "content", text->str, "usage", "completion_tokens",
                      completion->tokens);
  body = json_dumps (answer, JSON_COMPACT);
  jc_http_reply (completion->req, 200, "application/json",
                 jc_str_from_cstr (body), NULL);
  free (body);
  json_decref (answer);
  g_string_free (text, TRUE);
}

static void
completion_finish (struct completion *completion)
{
  if (completion->stream)
    {
      jc_http_stream_write (completion->req, JC_STR_LIT ("data: [DONE]\n\n"));
      jc_http_stream_end (completion->req, true);
    }
  else
    completion_reply (completion);
  completion_free (completion);
}

/* Send the head of the stream of COMPLETION, with the position of its first
   event in X-Resume-From.  */
static void
completion_start_stream (const struct completion *completion)
{
  const char *resume = jc_http_header (completion->req, "X-Resume-From");
  struct jc_http_header headers[]
      = { { "X-Resume-From", resume != NULL ? resume : "0" }, { NULL, NULL } };

  jc_http_stream_begin (completion->req, 200, "text/event-stream", headers);
}

/* Generate the next token of COMPLETION and send it if COMPLETION is a
   stream.  Return whether all tokens are generated.  */
static bool
completion_add_token (struct completion *completion)
{
  char *event;

  if (completion->stream && !completion->started)
    completion_start_stream (completion);
  completion->started = true;
  if (completion->tokens_done >= completion->tokens)
    return true;
  if (completion->stream)
    {
      event = g_strdup_printf (
          "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{"
          "\"content\":\"%sw%d\"}}]}\n\n",
          completion->id, completion->tokens_done > 0 ? " " : "",
          completion->tokens_done);
      jc_http_stream_write (completion->req, jc_str_from_cstr (event));
      g_free (event);
    }
  return ++completion->tokens_done >= completion->tokens;
}

/* Abort the stream or the answer of COMPLETION before its end.  */
static void
completion_truncate (struct completion *completion)
{
  if (completion->stream)
    jc_http_stream_end (completion->req, false);
  else
    standin_apply_fault (STANDIN_FAULT_TRUNCATE, completion->req);
  completion_free (completion);
}

static void
engine_schedule_step (struct engine *engine)
{
  guint others = MAX (g_queue_get_length (&engine->batch), 1) - 1;
  double percent = FULL_PERCENT + (double)engine->batch_percent * others;

  if (ev_is_active (&engine->step_timer))
    return;
  ev_timer_set (&engine->step_timer,
                engine->token_ms * percent / FULL_PERCENT / MS_PER_S, 0);
  ev_timer_start (engine->standin.loop, &engine->step_timer);
}

/* Run one decoding step: generate a token for each completion in the batch.
   A silent completion stops after half of its tokens, a truncated one is
   aborted there.  */
static void
on_step (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct engine *engine = watcher->data;
  GList *item = engine->batch.head;

  (void)loop;
  (void)events;
  while (item != NULL)
    {
      struct completion *completion = item->data;
      bool last;

      item = item->next;
      if (completion->fault == STANDIN_FAULT_SILENT
          && completion->tokens_done > completion->tokens / 2)
        continue;
      last = completion_add_token (completion);
      if (completion->fault == STANDIN_FAULT_TRUNCATE
          && completion->tokens_done > completion->tokens / 2)
        completion_truncate (completion);
      else if (last && completion->fault != STANDIN_FAULT_SILENT)
        completion_finish (completion);
    }
  if (!g_queue_is_empty (&engine->batch))
    engine_schedule_step (engine);
}

static void
on_prefill_done (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct completion *completion = watcher->data;

  (void)loop;
  (void)events;
  g_queue_push_tail (&completion->engine->batch, completion);
  engine_schedule_step (completion->engine);
}

/* Return whether PREFIX is cached and make it the most recently used prefix,
   evicting the least recently used one if the cache is full.  */
static bool
engine_use_prefix (struct engine *engine, const char *prefix)
{
  GList *found
      = g_queue_find_custom (&engine->prefixes, prefix, (GCompareFunc)strcmp);

  if (found != NULL)
    {
      g_queue_unlink (&engine->prefixes, found);
      g_queue_push_tail_link (&engine->prefixes, found);
      return true;
    }
  g_queue_push_tail (&engine->prefixes, g_strdup (prefix));
  if (g_queue_get_length (&engine->prefixes) > engine->prefixes_max)
    g_free (g_queue_pop_head (&engine->prefixes));
  return false;
}

static void
completion_start_prefill (struct completion *completion)
{
  struct engine *engine = completion->engine;
  double ms = engine->first_token_ms;

  completion->has_slot = true;
  engine->standin.running++;
  if (engine_use_prefix (engine, completion->prefix))
    ms = ms * engine->warm_percent / FULL_PERCENT;
  if (completion->fault == STANDIN_FAULT_DELAY)
    ms += engine->standin.fault_delay_ms;
  ev_timer_init (&completion->prefill_timer, on_prefill_done, ms / MS_PER_S, 0);
  completion->prefill_timer.data = completion;
  ev_timer_start (engine->standin.loop, &completion->prefill_timer);
}

/* Start queued completions while there are free slots.  */
static void
engine_fill_slots (struct engine *engine)
{
  while (engine->standin.running < engine->standin.slots
         && !g_queue_is_empty (&engine->waiting))
    {
      engine->standin.queued--;
      completion_start_prefill (g_queue_pop_head (&engine->waiting));
    }
}

static struct completion *
completion_new (struct engine *engine, struct jc_http_req *req,
                const json_t *json)
{
  struct completion *completion = g_new0 (struct completion, 1);
  json_int_t tokens = json_integer_value (json_object_get (json, "max_tokens"));
  json_t *messages = json_object_get (json, "messages");
  const char *resume = jc_http_header (req, "X-Resume-From");

  completion->engine = engine;
  completion->req = req;
  completion->tokens = tokens > 0 ? (int)tokens : TOKENS_DEFAULT;
  completion->tokens_done = resume != NULL ? atoi (resume) : 0;
  completion->stream = json_is_true (json_object_get (json, "stream"));
  completion->id = g_strdup (standin_json_string (json, "user"));
  completion->prefix = g_strdup (
      standin_json_string (json_array_get (messages, 0), "content"));
  return completion;
}

static void
engine_on_body (void *ctx, struct jc_http_req *req)
{
  struct engine *engine = ctx;
  struct jc_str body = jc_http_body (req);
  enum standin_fault fault;
  struct completion *completion;
  json_t *json;

  if (standin_handle_control (&engine->standin, req))
    return;
  fault = standin_take_fault (&engine->standin);
  if (fault != STANDIN_FAULT_TRUNCATE && fault != STANDIN_FAULT_SILENT
      && standin_apply_fault (fault, req))
    return;
  json = json_loadb (body.data, body.len, 0, NULL);
  if (json == NULL)
    {
      jc_http_fail (req, JC_BAD_JSON, "The body is not JSON.", 0);
      return;
    }
  completion = completion_new (engine, req, json);
  completion->fault = fault;
  json_decref (json);
  jc_http_set_data (req, completion);
  standin_count_execution (&engine->standin, req);
  g_queue_push_tail (&engine->waiting, completion);
  engine->standin.queued++;
  engine_fill_slots (engine);
}

static void
engine_on_gone (void *ctx, struct jc_http_req *req)
{
  struct engine *engine = ctx;

  if (jc_http_data (req) == NULL)
    return;
  engine->standin.cancelled++;
  completion_free (jc_http_data (req));
}

static int
int_option (const struct arg_int *given, int preset)
{
  return given->count > 0 ? given->ival[0] : preset;
}

int
main (int argc, char **argv)
{
  static const struct jc_httpd_class klass
      = { .body = engine_on_body, .peer_closed = engine_on_gone };
  struct arg_str *model = arg_str1 (NULL, "model", "NAME", "model version");
  struct arg_int *first = arg_int0 (NULL, "first-token-ms", "N", "prefill");
  struct arg_int *token = arg_int0 (NULL, "token-ms", "N", "per token");
  struct arg_int *batch
      = arg_int0 (NULL, "batch-percent", "N", "slower per further completion");
  struct arg_int *warm
      = arg_int0 (NULL, "warm-percent", "N", "prefill of a cached prefix");
  struct arg_int *prefixes
      = arg_int0 (NULL, "prefixes", "N", "prefixes the cache holds");
  void *table[] = { model, first, token, batch, warm, prefixes };
  struct engine engine = { 0 };

  if (!standin_parse_options (&engine.standin, argc, argv, table,
                              sizeof table / sizeof *table))
    return 2;
  engine.standin.model = model->sval[0];
  engine.first_token_ms = int_option (first, FIRST_TOKEN_DEFAULT_MS);
  engine.token_ms = int_option (token, TOKEN_DEFAULT_MS);
  engine.batch_percent = int_option (batch, BATCH_SLOWDOWN_DEFAULT_PERCENT);
  engine.warm_percent = int_option (warm, WARM_PREFILL_DEFAULT_PERCENT);
  engine.prefixes_max = (guint)int_option (prefixes, PREFIXES_DEFAULT);
  ev_init (&engine.step_timer, on_step);
  engine.step_timer.data = &engine;
  standin_run (&engine.standin, &klass, &engine);
  return 0;
}
