/* Runs a script of a request's attempts with a simulated clock and prints every
   operation called.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/request.h"

enum
{
  WORDS_MAX = 8,
  LINE_BYTES = 512
};

/* State of a script: the request, the endpoints to pick from and the retries
   left.  */
struct state
{
  struct jc_request request;
  int64_t now_ms;
  int64_t peak_ms;
  int retries;
  char *endpoints[WORDS_MAX];
  int count;
  bool active;
};

static enum jc_status
on_pick (void *ctx, const struct jc_request *request, int64_t now_ms,
         struct jc_attempt_target *target)
{
  struct state *state = ctx;

  (void)now_ms;
  target->first_byte_peak_ms = state->peak_ms;
  for (int i = 0; i < state->count; i++)
    if (!jc_request_tried (request, state->endpoints[i]))
      {
        target->name = state->endpoints[i];
        return JC_OK;
      }
  target->name = state->count > 0 ? state->endpoints[0] : NULL;
  if (state->count == 0)
    return jc_fail (JC_NO_ENDPOINT, "No endpoint serves this route.");
  return JC_OK;
}

static bool
on_may_retry (void *ctx, int64_t now_ms)
{
  struct state *state = ctx;

  (void)now_ms;
  return state->retries-- > 0;
}

static void
on_start (void *ctx, const struct jc_attempt *attempt)
{
  const struct state *state = ctx;

  printf ("%d start %d at %s first-byte %d total %d resume %d%s\n",
          (int)state->now_ms, (int)attempt->id, attempt->target.name,
          (int)attempt->first_byte_limit_ms, (int)attempt->total_limit_ms,
          (int)attempt->resume_from,
          attempt->new_connection ? " new-connection" : "");
}

static void
on_cancel (void *ctx, uint64_t attempt)
{
  const struct state *state = ctx;

  printf ("%d cancel %d\n", (int)state->now_ms, (int)attempt);
}

static void
on_note_failure (void *ctx, const char *name, bool sent, int64_t now_ms)
{
  (void)ctx;
  printf ("%d failure at %s%s\n", (int)now_ms, name,
          sent ? "" : " unreachable");
}

static void
on_begin (void *ctx, int http, const char *content_type)
{
  const struct state *state = ctx;

  printf ("%d begin %d %s\n", (int)state->now_ms, http, content_type);
}

static void
print_bytes (struct jc_str data)
{
  for (size_t i = 0; i < data.len; i++)
    if (data.data[i] == '\n')
      printf ("\\n");
    else
      putchar (data.data[i]);
  putchar ('\n');
}

static void
on_write (void *ctx, struct jc_str data)
{
  const struct state *state = ctx;

  printf ("%d write ", (int)state->now_ms);
  print_bytes (data);
}

static void
on_answer (void *ctx, int http, const char *content_type, struct jc_str body)
{
  const struct state *state = ctx;

  printf ("%d answer %d %s ", (int)state->now_ms, http, content_type);
  print_bytes (body);
}

static void
on_end (void *ctx)
{
  const struct state *state = ctx;

  printf ("%d end complete\n", (int)state->now_ms);
}

static void
on_fail (void *ctx, enum jc_status status, const char *message)
{
  const struct state *state = ctx;

  printf ("%d fail %s %s: %s\n", (int)state->now_ms, jc_status_name (status),
          jc_run_state_name (jc_status_info (status)->run), message);
}

static const struct jc_request_ops ops = { .pick = on_pick,
                                           .may_retry = on_may_retry,
                                           .start = on_start,
                                           .cancel = on_cancel,
                                           .note_failure = on_note_failure,
                                           .begin = on_begin,
                                           .write = on_write,
                                           .answer = on_answer,
                                           .end = on_end,
                                           .fail = on_fail };

static void
state_clear (struct state *state)
{
  if (state->active)
    jc_request_clear (&state->request);
  state->active = false;
}

static void
do_request (struct state *state, char **words)
{
  state_clear (state);
  state->active = true;
  jc_request_init (&state->request, &ops, state,
                   state->now_ms + atoi (words[1]));
  jc_request_start (&state->request, state->now_ms);
}

static void
do_at (struct state *state, char **words)
{
  state->now_ms = atoi (words[1]);
}

static void
do_endpoints (struct state *state, char **words)
{
  for (int i = 0; i < state->count; i++)
    g_free (state->endpoints[i]);
  state->count = 0;
  for (char **word = words + 1; *word != NULL; word++)
    state->endpoints[state->count++] = g_strdup (*word);
}

static void
do_retries (struct state *state, char **words)
{
  state->retries = atoi (words[1]);
}

static void
do_peak (struct state *state, char **words)
{
  state->peak_ms = atoi (words[1]);
}

static void
do_head (struct state *state, char **words)
{
  uint64_t attempt = (uint64_t)atoi (words[1]);
  const char *more = words[4] != NULL ? words[4] : "";

  if (strcmp (more, "refused") == 0)
    jc_request_note_refused (&state->request, attempt);
  jc_request_head (&state->request, attempt, atoi (words[2]), words[3],
                   strcmp (more, "resumed") == 0, state->now_ms);
}

/* In the data of a script "_" stands for a space and "\n" for a line end.  */
static void
do_data (struct state *state, char **words)
{
  char *text = g_strcompress (words[2]);

  g_strdelimit (text, "_", ' ');
  jc_request_data (&state->request, (uint64_t)atoi (words[1]),
                   jc_str_from_cstr (text), state->now_ms);
  g_free (text);
}

static void
do_done (struct state *state, char **words)
{
  struct jc_attempt_end end
      = { .status = jc_status_by_name (words[2]),
          .sent = words[3] == NULL || strcmp (words[3], "unsent") != 0,
          .sent_again
          = words[3] != NULL && strcmp (words[3], "sent-again") == 0,
          .length_known
          = words[3] == NULL || strcmp (words[3], "unknown-length") != 0,
          .message = words[2] };

  jc_request_done (&state->request, (uint64_t)atoi (words[1]), &end,
                   state->now_ms);
}

static void
do_caller_left (struct state *state, char **words)
{
  (void)words;
  jc_request_caller_left (&state->request);
}

/* A command and the minimum number of its words, including its name.  */
struct command
{
  const char *word;
  unsigned int words;
  void (*run) (struct state *state, char **words);
};

static const struct command commands[]
    = { { "at", 2, do_at },
        { "endpoints", 1, do_endpoints },
        { "retries", 2, do_retries },
        { "peak", 2, do_peak },
        { "request", 2, do_request },
        { "head", 4, do_head },
        { "data", 3, do_data },
        { "done", 3, do_done },
        { "caller-left", 1, do_caller_left } };

static void
run_line (struct state *state, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", WORDS_MAX);

  if (line[0] == '#')
    puts (line);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (words[0] != NULL && strcmp (words[0], commands[i].word) == 0
        && g_strv_length (words) >= commands[i].words)
      commands[i].run (state, words);
  g_strfreev (words);
}

int
main (int argc, char **argv)
{
  struct state state = { 0 };
  char line[LINE_BYTES];
  FILE *file = argc > 1 ? fopen (argv[1], "r") : NULL;

  if (file == NULL)
    return 2;
  while (fgets (line, sizeof line, file) != NULL)
    run_line (&state, line);
  state_clear (&state);
  do_endpoints (&state, (char *[]){ "endpoints", NULL });
  fclose (file);
  return 0;
}
