/* jaycove-ctl: command line for operators.  */

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  HELP_NAME_COLUMNS = 24
};

static const struct verb *const verb_tables[]
    = { config_verbs,   replica_verbs, entry_verbs, ledger_verbs, trace_verbs,
        accuracy_verbs, build_verbs,   quota_verbs, outcome_verbs };

static void
print_verb (const struct verb *verb)
{
  char *name = g_strjoin (
      " ", verb->name, verb->subverb != NULL ? verb->subverb : verb->args_help,
      verb->subverb != NULL ? verb->args_help : NULL, NULL);

  printf ("  %-*s %s\n", HELP_NAME_COLUMNS, name, verb->help);
  g_free (name);
}

static void
print_help (void **table)
{
  printf ("Usage: jaycove-ctl");
  arg_print_syntax (stdout, table, "\n\nVerbs:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (verb_tables); i++)
    for (const struct verb *verb = verb_tables[i]; verb->name != NULL; verb++)
      print_verb (verb);
  printf ("\nOptions:\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nExit codes:\n"
          "  0  done and in effect\n"
          "  1  local failure\n"
          "  2  wrong usage\n"
          "  4  refused: not done\n"
          "  5  outcome unknown or no answer: resend the same request\n");
}

static bool
accepts_arg_count (const struct verb *verb, int count)
{
  if (verb->arg_count == VERB_ARGS_MIN_1)
    return count >= 1;
  return verb->arg_count == VERB_ARGS_MIN_2 ? count >= 2
                                            : count == verb->arg_count;
}

/* Return the verb that the COUNT WORDS begin with, NULL if none accepts them,
   and store the words after it as arguments in OPTIONS.  */
static const struct verb *
find_verb (struct options *options, const char **words, int count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (verb_tables); i++)
    for (const struct verb *verb = verb_tables[i]; verb->name != NULL; verb++)
      {
        int name_words = verb->subverb != NULL ? 2 : 1;

        if (count < name_words || strcmp (verb->name, words[0]) != 0
            || (name_words == 2 && strcmp (verb->subverb, words[1]) != 0)
            || !accepts_arg_count (verb, count - name_words))
          continue;
        options->arg_count = count - name_words;
        for (int k = name_words; k < count; k++)
          options->args[k - name_words] = words[k];
        return verb;
      }
  return NULL;
}

static int
run_verb (struct options *options, const char **words, int count)
{
  const struct verb *verb = find_verb (options, words, count);

  if (verb != NULL)
    return verb->run (options);
  fprintf (stderr, "jaycove-ctl: unknown verb or wrong arguments: %s\n",
           words[0]);
  return JC_EXIT_USAGE;
}

static const char *
text_or (const struct arg_str *arg, const char *fallback)
{
  return arg->count > 0 ? arg->sval[0] : fallback;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_str *server = arg_str0 (NULL, "server", "IP:PORT",
                                     "operators' listener to connect to");
  struct arg_str *token = arg_str0 (NULL, "token", "TOKEN", "operator token");
  struct arg_int *expected = arg_int0 (NULL, "expected-version", "N",
                                       "configuration version to change");
  struct arg_str *id = arg_str0 (
      NULL, "change-id", "ID", "id of the change; resend it under the same id");
  struct arg_str *base = arg_str0 (NULL, "base", "FILE",
                                   "configuration to check a change against");
  struct arg_str *state = arg_str0 (NULL, "state", "NAME",
                                    "state instance to send the request to");
  struct arg_lit *non_voting
      = arg_lit0 (NULL, "non-voting", "add a replica that never votes");
  struct arg_str *words
      = arg_strn (NULL, NULL, "VERB [ARG]", 0, VERB_WORDS_MAX, NULL);
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, server,     token, expected, id,
                    base, state,   non_voting, words, end };
  int errors = arg_parse (argc, argv, table);
  int code = JC_EXIT_USAGE;

  if (sodium_init () < 0)
    code = JC_EXIT_FAILED;
  else if (help->count > 0)
    {
      print_help (table);
      code = JC_EXIT_OK;
    }
  else if (version->count > 0)
    {
      printf ("jaycove-ctl %s\n", JC_VERSION);
      code = JC_EXIT_OK;
    }
  else if (errors > 0 || words->count == 0)
    arg_print_errors (stderr, end, "jaycove-ctl");
  else
    {
      struct options options
          = { .server = text_or (server, "127.0.0.1:0"),
              .token = text_or (token, ""),
              .change_id = text_or (id, NULL),
              .base_file = text_or (base, NULL),
              .state_instance = text_or (state, NULL),
              .non_voting = non_voting->count > 0,
              .expected_version = expected->count > 0 ? expected->ival[0] : 0 };

      code = run_verb (&options, words->sval, words->count);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return code;
}
