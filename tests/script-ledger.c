/* Runs a script of a ledger, its owners and copies on virtual time.

     at MS ask NODE KEY BODY   a caller's request to an entry instance
     at MS FAULT NODE          kill, wipe, freeze, freeze-long, cut, disk
     at MS show                the ledger and its keys
     at MS accept-loss         an operator's way out
     at MS end                 go on until then

   Prints what callers are told when, and what is shown.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/ledgersim.h"

enum
{
  WORDS_MAX = 6,
  STEP_MS = 20
};

/* A script under way; OPEN holds the requests not yet told anything.  */
struct script
{
  struct sim *sim;
  GPtrArray *open;
};

static void
print_told (struct script *script)
{
  for (guint i = 0; i < script->open->len;)
    {
      const struct sim_request *it = g_ptr_array_index (script->open, i);

      if (!it->told)
        {
          i++;
          continue;
        }
      printf ("%" G_GINT64_FORMAT " request %u of %s: %s%s%s\n",
              sim_now (script->sim), it->number, it->key,
              jc_status_name (it->status), it->answer[0] != '\0' ? ", " : "",
              it->answer);
      g_ptr_array_remove_index (script->open, i);
    }
}

static void
go_on (struct script *script, int64_t until_ms)
{
  while (sim_now (script->sim) < until_ms)
    {
      sim_run (script->sim, MIN (sim_now (script->sim) + STEP_MS, until_ms));
      print_told (script);
    }
}

static void
print_key (gpointer data, gpointer ctx)
{
  const struct jc_key *key = data;
  GPtrArray *lines = ctx;

  g_ptr_array_add (lines, g_strdup_printf ("  %s %s", key->key,
                                           jc_key_state_name (key->state)));
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static void
do_show (struct script *script, char **words)
{
  const struct jc_ledger *ledger = sim_ledger (script->sim);
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  (void)words;
  if (ledger == NULL)
    printf ("%" G_GINT64_FORMAT " ledger down\n", sim_now (script->sim));
  else
    {
      printf ("%" G_GINT64_FORMAT " ledger %s, %u copies\n",
              sim_now (script->sim),
              jc_ledger_state_name (jc_ledger_state (ledger)),
              jc_ledger_count_members (ledger));
      jc_keytable_foreach (jc_ledger_keys (ledger), print_key, lines);
    }
  g_ptr_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    printf ("%s\n", (const char *)g_ptr_array_index (lines, i));
  g_ptr_array_free (lines, TRUE);
}

static void
do_ask (struct script *script, char **words)
{
  g_ptr_array_add (script->open, sim_ask (script->sim, sim_node (words[3]),
                                          words[4], words[5]));
}

static void
do_accept_loss (struct script *script, char **words)
{
  (void)words;
  printf ("%" G_GINT64_FORMAT " accept-loss: %s\n", sim_now (script->sim),
          jc_status_name (jc_ledger_accept_loss (sim_ledger (script->sim),
                                                 sim_now (script->sim))));
}

static void
do_end (struct script *script, char **words)
{
  const char *broken = sim_check (script->sim);

  (void)words;
  printf ("%s\n", broken != NULL ? broken : "nothing is broken");
}

/* One verb and the words that it needs.  */
struct verb
{
  const char *name;
  void (*run) (struct script *script, char **words);
  guint words;
  enum sim_fault fault;
};

static const struct verb verbs[]
    = { { "ask", do_ask, 6, SIM_NONE },
        { "show", do_show, 3, SIM_NONE },
        { "accept-loss", do_accept_loss, 3, SIM_NONE },
        { "end", do_end, 3, SIM_NONE },
        { "kill", NULL, 4, SIM_KILL },
        { "wipe", NULL, 4, SIM_WIPE },
        { "freeze", NULL, 4, SIM_FREEZE },
        { "freeze-long", NULL, 4, SIM_FREEZE_LONG },
        { "cut", NULL, 4, SIM_CUT },
        { "disk", NULL, 4, SIM_DISK } };

/* Run the line of WORDS.  Return false where it is none.  */
static bool
run_line (struct script *script, char **words)
{
  guint count = g_strv_length (words);

  for (size_t i = 0; count >= 3 && i < G_N_ELEMENTS (verbs); i++)
    {
      if (strcmp (verbs[i].name, words[2]) != 0 || count != verbs[i].words)
        continue;
      go_on (script, g_ascii_strtoll (words[1], NULL, 10));
      if (verbs[i].run != NULL)
        verbs[i].run (script, words);
      else
        sim_strike (script->sim, verbs[i].fault, sim_node (words[3]));
      return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  struct script script = { 0 };
  char *text = NULL;
  char **lines;
  int code = EXIT_SUCCESS;

  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    return EXIT_FAILURE;
  script.sim = sim_new (NULL, 0);
  script.open = g_ptr_array_new ();
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char **words = g_strsplit (lines[i], " ", WORDS_MAX);

      if (lines[i][0] != '\0' && lines[i][0] != '#'
          && !run_line (&script, words))
        {
          printf ("line %u: not understood\n", i + 1);
          code = EXIT_FAILURE;
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  g_ptr_array_free (script.open, TRUE);
  sim_free (script.sim);
  return code;
}
