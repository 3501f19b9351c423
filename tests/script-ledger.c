/* Runs a script against the simulation of a ledger on virtual time.

     at MS ask NODE KEY BODY   send a caller's request to an entry instance
     at MS FAULT NODE          inject kill, wipe, freeze, freeze-long, cut, disk
     at MS show                print the ledger and its keys
     at MS accept-loss         accept the loss of records as an operator
     at MS end                 run until then and check for violations

   Prints the answers to callers with their time, and what show prints.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/ledgersim.h"

enum
{
  WORDS_MAX = 6,
  STEP_MS = 20
};

/* A running script.  UNANSWERED are the requests without an answer yet.  */
struct script
{
  struct ledgersim *sim;
  GPtrArray *unanswered;
};

static void
print_answered (struct script *script)
{
  for (guint i = 0; i < script->unanswered->len;)
    {
      const struct ledgersim_request *request
          = g_ptr_array_index (script->unanswered, i);

      if (!request->answered)
        {
          i++;
          continue;
        }
      printf ("%" G_GINT64_FORMAT " request %u of %s: %s%s%s\n",
              ledgersim_now_ms (script->sim), request->number, request->key,
              jc_status_name (request->status),
              request->answer[0] != '\0' ? ", " : "", request->answer);
      g_ptr_array_remove_index (script->unanswered, i);
    }
}

static void
advance_to (struct script *script, int64_t until_ms)
{
  while (ledgersim_now_ms (script->sim) < until_ms)
    {
      ledgersim_run_until (
          script->sim,
          MIN (ledgersim_now_ms (script->sim) + STEP_MS, until_ms));
      print_answered (script);
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
run_show (struct script *script, char **words)
{
  const struct jc_ledger *ledger = ledgersim_ledger (script->sim);
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  (void)words;
  if (ledger == NULL)
    printf ("%" G_GINT64_FORMAT " ledger down\n",
            ledgersim_now_ms (script->sim));
  else
    {
      printf ("%" G_GINT64_FORMAT " ledger %s, %u copies\n",
              ledgersim_now_ms (script->sim),
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
run_ask (struct script *script, char **words)
{
  g_ptr_array_add (script->unanswered,
                   ledgersim_send_request (script->sim,
                                           ledgersim_find_node (words[3]),
                                           words[4], words[5]));
}

static void
run_accept_loss (struct script *script, char **words)
{
  (void)words;
  printf ("%" G_GINT64_FORMAT " accept-loss: %s\n",
          ledgersim_now_ms (script->sim),
          jc_status_name (jc_ledger_accept_loss (
              ledgersim_ledger (script->sim), ledgersim_now_ms (script->sim))));
}

static void
run_end (struct script *script, char **words)
{
  const char *violation = ledgersim_violation (script->sim);

  (void)words;
  printf ("%s\n", violation != NULL ? violation : "no violation");
}

/* A verb and the number of words on its line.  Without RUN it injects
   FAULT.  */
struct verb
{
  const char *name;
  void (*run) (struct script *script, char **words);
  guint words;
  enum ledgersim_fault_kind fault;
};

static const struct verb verbs[]
    = { { "ask", run_ask, 6, LEDGERSIM_NO_FAULT },
        { "show", run_show, 3, LEDGERSIM_NO_FAULT },
        { "accept-loss", run_accept_loss, 3, LEDGERSIM_NO_FAULT },
        { "end", run_end, 3, LEDGERSIM_NO_FAULT },
        { "kill", NULL, 4, LEDGERSIM_KILL },
        { "wipe", NULL, 4, LEDGERSIM_WIPE },
        { "freeze", NULL, 4, LEDGERSIM_FREEZE },
        { "freeze-long", NULL, 4, LEDGERSIM_FREEZE_LONG },
        { "cut", NULL, 4, LEDGERSIM_CUT },
        { "disk", NULL, 4, LEDGERSIM_DISK_FAIL } };

/* Run the line of WORDS.  Return false if its verb or the number of words is
   wrong.  */
static bool
run_line (struct script *script, char **words)
{
  guint count = g_strv_length (words);

  for (size_t i = 0; count >= 3 && i < G_N_ELEMENTS (verbs); i++)
    {
      if (strcmp (verbs[i].name, words[2]) != 0 || count != verbs[i].words)
        continue;
      advance_to (script, g_ascii_strtoll (words[1], NULL, 10));
      if (verbs[i].run != NULL)
        verbs[i].run (script, words);
      else
        ledgersim_inject_fault (script->sim, verbs[i].fault,
                                ledgersim_find_node (words[3]));
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
  script.sim = ledgersim_new (NULL, 0);
  script.unanswered = g_ptr_array_new ();
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char **words = g_strsplit (lines[i], " ", WORDS_MAX);

      if (lines[i][0] != '\0' && lines[i][0] != '#'
          && !run_line (&script, words))
        {
          printf ("line %u: unknown verb or wrong number of words\n", i + 1);
          code = EXIT_FAILURE;
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  g_ptr_array_free (script.unanswered, TRUE);
  ledgersim_free (script.sim);
  return code;
}
