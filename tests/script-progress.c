/* Runs a script of what an endpoint sends, on virtual time, and prints whether
   that brings its answer forward.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/progress.h"

enum
{
  WORDS_MAX = 4,
  LINE_BYTES = 256
};

struct world
{
  struct jc_progress progress;
  int64_t now_ms;
};

/* "answer bytes|blocks|steps FIRST PAUSE": an attempt begins.  */
static void
run_answer (struct world *world, char **words)
{
  struct jc_progress_limits limits = { .kind = JC_PROGRESS_BYTES,
                                       .first_ms = atoll (words[2]),
                                       .pause_ms = atoll (words[3]) };

  if (strcmp (words[1], "blocks") == 0)
    limits.kind = JC_PROGRESS_BLOCKS;
  else if (strcmp (words[1], "steps") == 0)
    limits.kind = JC_PROGRESS_STEPS;
  world->now_ms = 0;
  jc_progress_start (&world->progress, &limits, 0);
}

static void
print_fault (const struct world *world, bool sound)
{
  if (!sound)
    printf ("given up at %lld: %s\n", (long long)world->now_ms,
            jc_progress_fault_name (world->progress.fault));
}

/* "drip COUNT EVERY UNTIL": COUNT bytes of a body each EVERY ms.  */
static void
run_drip (struct world *world, char **words)
{
  size_t count = (size_t)atoll (words[1]);
  int64_t until = atoll (words[3]);

  for (; world->now_ms < until; world->now_ms += atoll (words[2]))
    {
      if (world->progress.due_ms > 0 && world->progress.due_ms <= world->now_ms)
        break;
      if (!jc_progress_count_bytes (&world->progress, count))
        break;
      if (world->progress.head_received)
        jc_progress_body (&world->progress, count, world->now_ms);
    }
  print_fault (world, world->progress.fault == JC_PROGRESS_NO_FAULT);
}

static void
run_interims (struct world *world, char **words)
{
  bool sound = true;

  for (int i = 0; i < atoi (words[1]) && sound; i++)
    sound = jc_progress_interim (&world->progress);
  print_fault (world, sound);
}

static void
run_due (struct world *world)
{
  if (world->progress.due_ms == 0)
    printf ("no time is set\n");
  else if (world->progress.due_ms <= world->now_ms)
    printf ("due since %lld\n", (long long)world->progress.due_ms);
  else
    printf ("due at %lld\n", (long long)world->progress.due_ms);
}

static void
run_line (struct world *world, char **words)
{
  if (strcmp (words[0], "answer") == 0)
    run_answer (world, words);
  else if (strcmp (words[0], "at") == 0)
    world->now_ms = atoll (words[1]);
  else if (strcmp (words[0], "head") == 0)
    jc_progress_head (&world->progress, world->now_ms);
  else if (strcmp (words[0], "step") == 0)
    jc_progress_step (&world->progress, world->now_ms);
  else if (strcmp (words[0], "wait") == 0)
    jc_progress_extend (&world->progress, world->now_ms);
  else if (strcmp (words[0], "drip") == 0)
    run_drip (world, words);
  else if (strcmp (words[0], "interims") == 0)
    run_interims (world, words);
  else if (strcmp (words[0], "due") == 0)
    run_due (world);
}

int
main (int argc, char **argv)
{
  FILE *script = argc == 2 ? fopen (argv[1], "r") : NULL;
  struct world world = { 0 };
  char line[LINE_BYTES];

  if (script == NULL)
    return 2;
  while (fgets (line, sizeof line, script) != NULL)
    {
      char *words[WORDS_MAX];
      int count = 0;

      if (line[0] == '#')
        printf ("%s", line);
      for (int i = 0; i < WORDS_MAX; i++)
        words[i] = (char *)"";
      for (char *word = strtok (line, " \n"); word != NULL && count < WORDS_MAX;
           word = strtok (NULL, " \n"))
        words[count++] = word;
      run_line (&world, words);
    }
  fclose (script);
  return 0;
}
