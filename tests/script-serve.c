/* Runs a script of a request's attempts on virtual time and prints every
   effect.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/request.h"

enum
{
  WORDS_MAX = 8,
  LINE_BYTES = 512
};

/* The world of a script: the endpoints that may be picked and the retries
   left.  */
struct world
{
  struct jc_request request;
  int64_t now_ms;
  int64_t usual_ms;
  int retries;
  char *endpoints[WORDS_MAX];
  int count;
  bool on;
};

static enum jc_status
on_pick (void *ctx, const struct jc_request *request, int64_t now_ms,
         struct jc_attempt_target *target)
{
  struct world *world = ctx;

  (void)now_ms;
  target->first_byte_peak_ms = world->usual_ms;
  for (int i = 0; i < world->count; i++)
    if (!jc_request_tried (request, world->endpoints[i]))
      {
        target->name = world->endpoints[i];
        return JC_OK;
      }
  target->name = world->count > 0 ? world->endpoints[0] : NULL;
  if (world->count == 0)
    return jc_fail (JC_NO_ENDPOINT, "No endpoint serves this route.");
  return JC_OK;
}

static bool
on_may_retry (void *ctx, int64_t now_ms)
{
  struct world *world = ctx;

  (void)now_ms;
  return world->retries-- > 0;
}

static void
on_start (void *ctx, const struct jc_attempt *attempt)
{
  const struct world *world = ctx;

  printf ("%d start %d at %s first-byte %d total %d resume %d%s\n",
          (int)world->now_ms, (int)attempt->id, attempt->target.name,
          (int)attempt->first_byte_limit_ms, (int)attempt->total_limit_ms,
          (int)attempt->resume_from, attempt->new_connection ? " fresh" : "");
}

static void
on_cancel (void *ctx, uint64_t attempt)
{
  const struct world *world = ctx;

  printf ("%d cancel %d\n", (int)world->now_ms, (int)attempt);
}

static void
on_avoid (void *ctx, const char *name, bool sent, int64_t now_ms)
{
  (void)ctx;
  printf ("%d avoid %s%s\n", (int)now_ms, name, sent ? "" : " unreachable");
}

static void
on_begin (void *ctx, int http, const char *content_type)
{
  const struct world *world = ctx;

  printf ("%d begin %d %s\n", (int)world->now_ms, http, content_type);
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
  const struct world *world = ctx;

  printf ("%d write ", (int)world->now_ms);
  print_bytes (data);
}

static void
on_answer (void *ctx, int http, const char *content_type, struct jc_str body)
{
  const struct world *world = ctx;

  printf ("%d answer %d %s ", (int)world->now_ms, http, content_type);
  print_bytes (body);
}

static void
on_end (void *ctx)
{
  const struct world *world = ctx;

  printf ("%d end whole\n", (int)world->now_ms);
}

static void
on_fail (void *ctx, enum jc_status status, const char *message)
{
  const struct world *world = ctx;

  printf ("%d fail %s %s: %s\n", (int)world->now_ms, jc_status_name (status),
          jc_run_state_name (jc_status_row (status)->run), message);
}

static const struct jc_request_ops ops = { .pick = on_pick,
                                           .may_retry = on_may_retry,
                                           .start = on_start,
                                           .cancel = on_cancel,
                                           .note_failure = on_avoid,
                                           .begin = on_begin,
                                           .write = on_write,
                                           .answer = on_answer,
                                           .end = on_end,
                                           .fail = on_fail };

static void
world_clear (struct world *world)
{
  if (world->on)
    jc_request_clear (&world->request);
  world->on = false;
}

static void
do_request (struct world *world, char **words)
{
  world_clear (world);
  world->on = true;
  jc_request_init (&world->request, &ops, world,
                   world->now_ms + atoi (words[1]));
  jc_request_start (&world->request, world->now_ms);
}

static void
do_at (struct world *world, char **words)
{
  world->now_ms = atoi (words[1]);
}

static void
do_endpoints (struct world *world, char **words)
{
  for (int i = 0; i < world->count; i++)
    g_free (world->endpoints[i]);
  world->count = 0;
  for (char **word = words + 1; *word != NULL; word++)
    world->endpoints[world->count++] = g_strdup (*word);
}

static void
do_retries (struct world *world, char **words)
{
  world->retries = atoi (words[1]);
}

static void
do_usual (struct world *world, char **words)
{
  world->usual_ms = atoi (words[1]);
}

static void
do_head (struct world *world, char **words)
{
  jc_request_head (&world->request, (uint64_t)atoi (words[1]), atoi (words[2]),
                   words[3], words[4] != NULL, world->now_ms);
}

/* Data names its bytes with "_" for a space and "\n" for a line end.  */
static void
do_data (struct world *world, char **words)
{
  char *text = g_strcompress (words[2]);

  g_strdelimit (text, "_", ' ');
  jc_request_data (&world->request, (uint64_t)atoi (words[1]),
                   jc_str_from (text), world->now_ms);
  g_free (text);
}

static void
do_done (struct world *world, char **words)
{
  struct jc_attempt_end end
      = { .status = jc_status_by_name (words[2]),
          .sent = words[3] == NULL || strcmp (words[3], "unsent") != 0,
          .length_known
          = words[3] == NULL || strcmp (words[3], "unframed") != 0,
          .message = words[2] };

  jc_request_done (&world->request, (uint64_t)atoi (words[1]), &end,
                   world->now_ms);
}

static void
do_gone (struct world *world, char **words)
{
  (void)words;
  jc_request_caller_left (&world->request);
}

/* A command and the words that it needs.  */
struct command
{
  const char *word;
  unsigned int words;
  void (*run) (struct world *world, char **words);
};

static const struct command commands[]
    = { { "at", 2, do_at },           { "endpoints", 1, do_endpoints },
        { "retries", 2, do_retries }, { "usual", 2, do_usual },
        { "request", 2, do_request }, { "head", 4, do_head },
        { "data", 3, do_data },       { "done", 3, do_done },
        { "gone", 1, do_gone } };

static void
run_line (struct world *world, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", WORDS_MAX);

  if (line[0] == '#')
    puts (line);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (words[0] != NULL && strcmp (words[0], commands[i].word) == 0
        && g_strv_length (words) >= commands[i].words)
      commands[i].run (world, words);
  g_strfreev (words);
}

int
main (int argc, char **argv)
{
  struct world world = { 0 };
  char line[LINE_BYTES];
  FILE *file = argc > 1 ? fopen (argv[1], "r") : NULL;

  if (file == NULL)
    return 2;
  while (fgets (line, sizeof line, file) != NULL)
    run_line (&world, line);
  world_clear (&world);
  do_endpoints (&world, (char *[]){ "endpoints", NULL });
  fclose (file);
  return 0;
}
