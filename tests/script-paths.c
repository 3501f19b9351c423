/* Runs a script of what happens on the ways to other availability zones, on
   virtual time, and prints what an instance believes of them.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/paths.h"

enum
{
  WORDS_MAX = 6,
  LINE_BYTES = 256
};

struct world
{
  struct jc_paths *paths;
  int64_t now_ms;
};

/* Return the end that the words from the second on name: its instance is
   "REGION-ZONE/INSTANCE", so that a script says all in one word.  */
static struct jc_path_target
end_of (const char *word)
{
  char **parts = g_strsplit_set (word, "-/", 3);
  char *zone = g_strndup (word, strcspn (word, "/"));
  struct jc_path_target end = { .instance = word,
                                .zone = g_intern_string (zone),
                                .region = g_intern_string (parts[0]) };

  g_free (zone);
  g_strfreev (parts);
  return end;
}

static void
print_change (bool changed, const char *change)
{
  printf ("%s\n", changed ? change : "no change");
}

/* "fail END [BEGUN]": an attempt reached nobody.  */
static void
run_fail (struct world *world, char **words)
{
  struct jc_path_target end = end_of (words[1]);
  int64_t begun = words[2][0] != '\0' ? atoll (words[2]) : world->now_ms - 400;

  print_change (jc_paths_failed (world->paths, &end, begun, world->now_ms),
                "closed");
}

static void
run_answer (struct world *world, char **words)
{
  struct jc_path_target end = end_of (words[1]);

  print_change (jc_paths_answered (world->paths, &end, world->now_ms),
                "opened");
}

static void
run_refuse (struct world *world, char **words)
{
  struct jc_path_target end = end_of (words[1]);

  jc_paths_refused (world->paths, &end, world->now_ms);
  printf ("refused\n");
}

/* "link END up|down".  */
static void
run_link (struct world *world, char **words)
{
  struct jc_path_target end = end_of (words[1]);

  print_change (jc_paths_connection_changed (world->paths, &end,
                                             words[2][0] == 'u', world->now_ms),
                "opened");
}

/* "reported REPORTER END AGE".  */
static void
run_reported (struct world *world, char **words)
{
  struct jc_path_target end = end_of (words[2]);

  print_change (jc_paths_reported (world->paths, words[1], &end,
                                   atoll (words[3]), world->now_ms),
                "closed");
}

static void
run_ask (struct world *world, char **words)
{
  printf ("%s is %s\n", words[1],
          jc_paths_is_open (world->paths, words[1]) ? "open" : "closed");
}

static void
run_rests (struct world *world, char **words)
{
  printf ("%s %s\n", words[1],
          jc_paths_in_backoff (world->paths, words[1], world->now_ms)
              ? "rests"
              : "is used");
}

static void
run_probe (struct world *world, char **words)
{
  printf ("%s\n", jc_paths_take_probe (world->paths, words[1], world->now_ms)
                      ? "probe"
                      : "no probe yet");
}

static void
run_new (struct world *world, char **words)
{
  (void)words;
  jc_paths_free (world->paths);
  world->paths = jc_paths_new ();
  world->now_ms = 0;
}

static void
run_at (struct world *world, char **words)
{
  world->now_ms = atoll (words[1]);
}

static const struct
{
  const char *name;
  void (*run) (struct world *world, char **words);
} verbs[] = { { "new", run_new },           { "at", run_at },
              { "fail", run_fail },         { "answer", run_answer },
              { "refuse", run_refuse },     { "link", run_link },
              { "reported", run_reported }, { "ask", run_ask },
              { "rests", run_rests },       { "probe", run_probe } };

static void
run_line (struct world *world, char *line)
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
      verbs[i].run (world, words);
}

int
main (int argc, char **argv)
{
  FILE *script = argc == 2 ? fopen (argv[1], "r") : NULL;
  struct world world = { .paths = jc_paths_new () };
  char line[LINE_BYTES];

  if (script == NULL)
    return 2;
  while (fgets (line, sizeof line, script) != NULL)
    {
      if (line[0] == '#')
        printf ("%s", line);
      else
        run_line (&world, line);
    }
  fclose (script);
  jc_paths_free (world.paths);
  return 0;
}
