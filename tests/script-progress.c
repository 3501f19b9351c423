/* Runs a script of what an endpoint sends, on virtual time, and prints when
   the next step of its answer is due and whether the answer is aborted.
   Comments of the script are printed, too.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/progress.h"

enum
{
  WORDS_MAX = 4,
  LINE_BYTES = 256
};

/* The answer under way and the virtual time since its request.  */
struct run
{
  struct jc_progress progress;
  int64_t now_ms;
};

/* "answer bytes|blocks|steps FIRST PAUSE": begin an answer with these limits
   in ms.  */
static void
run_answer (struct run *run, char **words)
{
  struct jc_progress_limits limits = { .kind = JC_PROGRESS_BYTES,
                                       .first_ms = atoll (words[2]),
                                       .pause_ms = atoll (words[3]) };

  if (strcmp (words[1], "blocks") == 0)
    limits.kind = JC_PROGRESS_BLOCKS;
  else if (strcmp (words[1], "steps") == 0)
    limits.kind = JC_PROGRESS_STEPS;
  run->now_ms = 0;
  jc_progress_start (&run->progress, &limits, 0);
}

static void
print_abort (const struct run *run, bool continues)
{
  if (!continues)
    printf ("aborted at %lld: %s\n", (long long)run->now_ms,
            jc_progress_fault_name (run->progress.fault));
}

/* "drip COUNT EVERY UNTIL": receive COUNT bytes of a body every EVERY ms until
   the time UNTIL, or until a step is due or the answer is aborted.  */
static void
run_drip (struct run *run, char **words)
{
  size_t count = (size_t)atoll (words[1]);
  int64_t until = atoll (words[3]);

  for (; run->now_ms < until; run->now_ms += atoll (words[2]))
    {
      if (run->progress.due_ms > 0 && run->progress.due_ms <= run->now_ms)
        break;
      if (!jc_progress_count_bytes (&run->progress, count))
        break;
      if (run->progress.head_received)
        jc_progress_body (&run->progress, count, run->now_ms);
    }
  print_abort (run, run->progress.fault == JC_PROGRESS_NO_FAULT);
}

/* "interims COUNT": receive COUNT interim heads.  */
static void
run_interims (struct run *run, char **words)
{
  bool continues = true;

  for (int i = 0; i < atoi (words[1]) && continues; i++)
    continues = jc_progress_interim (&run->progress);
  print_abort (run, continues);
}

/* "due": print when the next step is due.  */
static void
run_due (struct run *run)
{
  if (run->progress.due_ms == 0)
    printf ("no limit\n");
  else if (run->progress.due_ms <= run->now_ms)
    printf ("due since %lld\n", (long long)run->progress.due_ms);
  else
    printf ("due at %lld\n", (long long)run->progress.due_ms);
}

/* Run the command in WORDS.  Besides those above: "at TIME" sets the time,
   "head" ends the head, "step" makes a step, "extend" allows the same time
   again.  */
static void
run_line (struct run *run, char **words)
{
  if (strcmp (words[0], "answer") == 0)
    run_answer (run, words);
  else if (strcmp (words[0], "at") == 0)
    run->now_ms = atoll (words[1]);
  else if (strcmp (words[0], "head") == 0)
    jc_progress_head (&run->progress, run->now_ms);
  else if (strcmp (words[0], "step") == 0)
    jc_progress_step (&run->progress, run->now_ms);
  else if (strcmp (words[0], "extend") == 0)
    jc_progress_extend (&run->progress, run->now_ms);
  else if (strcmp (words[0], "drip") == 0)
    run_drip (run, words);
  else if (strcmp (words[0], "interims") == 0)
    run_interims (run, words);
  else if (strcmp (words[0], "due") == 0)
    run_due (run);
}

int
main (int argc, char **argv)
{
  FILE *script = argc == 2 ? fopen (argv[1], "r") : NULL;
  struct run run = { 0 };
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
      run_line (&run, words);
    }
  fclose (script);
  return 0;
}
