/* Runs a script of attempts and reports concerning paths to other availability
   zones with a simulated clock, and prints the state of the paths.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/paths.h"

enum
{
  WORDS_MAX = 6,
  LINE_BYTES = 256
};

struct state
{
  struct jc_paths *paths;
  int64_t now_ms;
};

/* Return the target named by WORD, "REGION-ZONE/INSTANCE".  */
static struct jc_path_target
parse_target (const char *word)
{
  char **parts = g_strsplit_set (word, "-/", 3);
  char *zone = g_strndup (word, strcspn (word, "/"));
  struct jc_path_target target = { .instance = word,
                                   .zone = g_intern_string (zone),
                                   .region = g_intern_string (parts[0]) };

  g_free (zone);
  g_strfreev (parts);
  return target;
}

static void
print_change (bool changed, const char *change)
{
  printf ("%s\n", changed ? change : "no change");
}

/* "fail TARGET [STARTED]": an attempt did not reach the target.  */
static void
run_fail (struct state *state, char **words)
{
  struct jc_path_target target = parse_target (words[1]);
  int64_t started_ms
      = words[2][0] != '\0' ? atoll (words[2]) : state->now_ms - 400;

  print_change (
      jc_paths_failed (state->paths, &target, started_ms, state->now_ms),
      "closed");
}

static void
run_answer (struct state *state, char **words)
{
  struct jc_path_target target = parse_target (words[1]);

  print_change (jc_paths_answered (state->paths, &target, state->now_ms),
                "opened");
}

static void
run_refuse (struct state *state, char **words)
{
  struct jc_path_target target = parse_target (words[1]);

  jc_paths_refused (state->paths, &target, state->now_ms);
  printf ("refused\n");
}

/* "connection TARGET up|down".  */
static void
run_connection (struct state *state, char **words)
{
  struct jc_path_target target = parse_target (words[1]);

  print_change (jc_paths_connection_changed (state->paths, &target,
                                             words[2][0] == 'u', state->now_ms),
                "opened");
}

/* "reported REPORTER TARGET AGE".  */
static void
run_reported (struct state *state, char **words)
{
  struct jc_path_target target = parse_target (words[2]);

  print_change (jc_paths_reported (state->paths, words[1], &target,
                                   atoll (words[3]), state->now_ms),
                "closed");
}

static void
run_ask (struct state *state, char **words)
{
  printf ("%s is %s\n", words[1],
          jc_paths_is_open (state->paths, words[1]) ? "open" : "closed");
}

static void
run_backoff (struct state *state, char **words)
{
  printf ("%s %s\n", words[1],
          jc_paths_in_backoff (state->paths, words[1], state->now_ms)
              ? "is in backoff"
              : "is usable");
}

static void
run_probe (struct state *state, char **words)
{
  printf ("%s\n", jc_paths_take_probe (state->paths, words[1], state->now_ms)
                      ? "probe"
                      : "no probe yet");
}

static void
run_new (struct state *state, char **words)
{
  (void)words;
  jc_paths_free (state->paths);
  state->paths = jc_paths_new ();
  state->now_ms = 0;
}

static void
run_at (struct state *state, char **words)
{
  state->now_ms = atoll (words[1]);
}

static const struct
{
  const char *name;
  void (*run) (struct state *state, char **words);
} verbs[] = { { "new", run_new },           { "at", run_at },
              { "fail", run_fail },         { "answer", run_answer },
              { "refuse", run_refuse },     { "connection", run_connection },
              { "reported", run_reported }, { "ask", run_ask },
              { "backoff", run_backoff },   { "probe", run_probe } };

static void
run_line (struct state *state, char *line)
{
  char *words[WORDS_MAX + 1];
  int count = 0;

  for (int i = 0; i <= WORDS_MAX; i++)
    words[i] = (char *)"";
  for (char *word = strtok (line, " \n"); word != NULL && count < WORDS_MAX;
       word = strtok (NULL, " \n"))
    words[count++] = word;
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (words[0], verbs[i].name) == 0)
      verbs[i].run (state, words);
}

int
main (int argc, char **argv)
{
  FILE *script = argc == 2 ? fopen (argv[1], "r") : NULL;
  struct state state = { .paths = jc_paths_new () };
  char line[LINE_BYTES];

  if (script == NULL)
    return 2;
  while (fgets (line, sizeof line, script) != NULL)
    {
      if (line[0] == '#')
        printf ("%s", line);
      else
        run_line (&state, line);
    }
  fclose (script);
  jc_paths_free (state.paths);
  return 0;
}
