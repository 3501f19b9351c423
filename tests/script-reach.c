/* Runs a script of attempts at endpoints with a simulated clock, and prints
   which services are lost.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/reach.h"

enum
{
  WORDS_MAX = 5,
  LINE_BYTES = 256,
  /* Time that an attempt takes if the script names no start.  */
  ATTEMPT_MS = 400
};

/* ENDPOINTS is the number of endpoints of each service.  */
struct state
{
  struct jc_reach *reach;
  unsigned int endpoints;
  int64_t now_ms;
};

/* Return the attempt of "SERVICE/ENDPOINT [STARTED]".  */
static struct jc_reach_attempt
parse_attempt (const struct state *state, char **words)
{
  char *service = g_strndup (words[1], strcspn (words[1], "/"));
  const struct jc_reach_attempt attempt
      = { .service = g_intern_string (service),
          .endpoint = words[1],
          .started_ms = words[2][0] != '\0' ? atoll (words[2])
                                            : state->now_ms - ATTEMPT_MS };

  g_free (service);
  return attempt;
}

static void
run_fail (struct state *state, char **words)
{
  const struct jc_reach_attempt attempt = parse_attempt (state, words);

  printf ("%s\n", jc_reach_failed (state->reach, &attempt, state->endpoints,
                                   state->now_ms)
                      ? "lost"
                      : "no change");
}

static void
run_answer (struct state *state, char **words)
{
  const struct jc_reach_attempt attempt = parse_attempt (state, words);

  printf ("%s\n", jc_reach_answered (state->reach, &attempt, state->now_ms)
                      ? "regained"
                      : "no change");
}

static void
run_ask (struct state *state, char **words)
{
  printf ("%s is %s\n", words[1],
          jc_reach_is_lost (state->reach, words[1]) ? "lost" : "reached");
}

static void
run_probe (struct state *state, char **words)
{
  printf ("%s\n", jc_reach_take_probe (state->reach, words[1], state->now_ms)
                      ? "probe"
                      : "no probe yet");
}

static void
run_list (struct state *state, char **words)
{
  GPtrArray *services = g_ptr_array_new ();

  (void)words;
  jc_reach_list_lost (state->reach, services);
  printf ("%u lost\n", services->len);
  g_ptr_array_free (services, TRUE);
}

static void
run_forget (struct state *state, char **words)
{
  jc_reach_forget (state->reach, words[1]);
}

/* "new ENDPOINTS".  */
static void
run_new (struct state *state, char **words)
{
  jc_reach_free (state->reach);
  state->reach = jc_reach_new ();
  state->endpoints = (unsigned int)atoi (words[1]);
  state->now_ms = 0;
}

/* "endpoints COUNT": of each service from now on.  */
static void
run_endpoints (struct state *state, char **words)
{
  state->endpoints = (unsigned int)atoi (words[1]);
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
} verbs[] = { { "new", run_new },
              { "at", run_at },
              { "fail", run_fail },
              { "answer", run_answer },
              { "ask", run_ask },
              { "probe", run_probe },
              { "list", run_list },
              { "forget", run_forget },
              { "endpoints", run_endpoints } };

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
  struct state state = { .reach = jc_reach_new () };
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
  jc_reach_free (state.reach);
  return 0;
}
