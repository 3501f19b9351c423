/* Runs a script against simulated replicas of the log on virtual time and
   prints what is observed.  Lines: replicas N; run MS; submit sN ID EXPECTED;
   show; kill|kill-wipe|freeze|cut-in|cut-out|cut-both|disk-fail sN; and the
   same with "undo" before it.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/logsim.h"

enum
{
  SEED = 7,
  WORDS_MAX = 4
};

static struct logsim *sim;
static int replicas;

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  (void)ctx;
  printf ("%5ld %s: %s", (long)logsim_now (sim), id, jc_status_name (status));
  if (version > 0)
    printf (" %lu", (unsigned long)version);
  printf ("\n");
}

static int
replica_of (const char *word)
{
  return atoi (word + 1) - 1;
}

static void
run_submit (char **words)
{
  logsim_submit (sim, replica_of (words[1]), words[2],
                 strtoull (words[3], NULL, 10), words[2], on_answer, NULL);
}

static void
show_replica (int i)
{
  const struct jc_rlog *log = logsim_log (sim, i);
  const struct rpc_replicas *rows;

  printf ("%5ld s%d", (long)logsim_now (sim), i + 1);
  if (log == NULL)
    {
      printf (" down\n");
      return;
    }
  rows = jc_rlog_replicas (log);
  printf (" %s term %lu version %lu voters",
          jc_rlog_role_name (jc_rlog_role (log)),
          (unsigned long)jc_rlog_term (log),
          (unsigned long)logsim_version (sim, i));
  for (u_int k = 0; k < rows->list.list_len; k++)
    if (rows->list.list_val[k].voter)
      printf (" %s", rows->list.list_val[k].name);
  printf ("\n");
}

static void
run_show (char **words)
{
  (void)words;
  for (int i = 0; i < replicas; i++)
    show_replica (i);
}

static void
run_replicas (char **words)
{
  replicas = atoi (words[1]);
  sim = logsim_new (replicas, SEED);
}

static void
run_time (char **words)
{
  logsim_run (sim, atoi (words[1]));
}

static bool
run_fault (char **words)
{
  bool undo = strcmp (words[0], "undo") == 0;
  char **rest = undo ? words + 1 : words;

  for (int kind = 0; kind < LOGSIM_DUPLICATE; kind++)
    {
      if (strcmp (rest[0], logsim_fault_name ((enum logsim_fault_kind)kind))
          != 0)
        continue;
      if (undo)
        logsim_clear_fault (sim, (enum logsim_fault_kind)kind,
                            replica_of (rest[1]));
      else
        logsim_inject_fault (sim, (enum logsim_fault_kind)kind,
                             replica_of (rest[1]));
      return true;
    }
  return false;
}

/* A command of a script.  */
struct script_command
{
  const char *name;
  void (*run) (char **words);
};

static const struct script_command commands[] = { { "replicas", run_replicas },
                                                  { "run", run_time },
                                                  { "submit", run_submit },
                                                  { "show", run_show } };

static bool
run_line (char **words)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, words[0]) == 0)
      {
        commands[i].run (words);
        return true;
      }
  return run_fault (words);
}

int
main (int argc, char **argv)
{
  char *text = NULL;
  char **lines;
  bool ok = argc == 2 && g_file_get_contents (argv[1], &text, NULL, NULL);

  if (!ok)
    return EXIT_FAILURE;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; ok && *line != NULL; line++)
    {
      char **words = g_strsplit (*line, " ", WORDS_MAX);

      if (words[0] != NULL && words[0][0] != '#')
        ok = run_line (words);
      if (!ok)
        printf ("unknown line: %s\n", *line);
      g_strfreev (words);
    }
  if (sim != NULL && logsim_violation (sim) != NULL)
    printf ("VIOLATED: %s\n", logsim_violation (sim));
  g_strfreev (lines);
  g_free (text);
  if (sim != NULL)
    logsim_free (sim);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
