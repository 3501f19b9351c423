/* jaycove-ctl: the operators' command.  */

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/verbs.h"

enum
{
  HELP_NAME_CHARS = 24
};

static const struct verb *const parts[]
    = { config_verbs, replica_verbs, entry_verbs,
        ledger_verbs, trace_verbs,   accuracy_verbs };

static void
print_verb (const struct verb *verb)
{
  char *name = g_strjoin (
      " ", verb->name, verb->subverb != NULL ? verb->subverb : verb->args_help,
      verb->subverb != NULL ? verb->args_help : NULL, NULL);

  printf ("  %-*s %s\n", HELP_NAME_CHARS, name, verb->help);
  g_free (name);
}

static void
print_help (void **table)
{
  printf ("Usage: jaycove-ctl");
  arg_print_syntax (stdout, table, "\n\nVerbs:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    for (const struct verb *verb = parts[i]; verb->name != NULL; verb++)
      print_verb (verb);
  printf ("\nOptions:\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  printf ("\nExit codes:\n"
          "  0  done, and in effect\n"
          "  1  failed here\n"
          "  2  wrong usage\n"
          "  4  refused: surely not done\n"
          "  5  outcome unknown or no answer: send the same again\n");
}

static bool
takes (const struct verb *verb, int args)
{
  if (verb->arg_count == VERB_ARGS_MIN_1)
    return args >= 1;
  return verb->arg_count == VERB_ARGS_MIN_2 ? args >= 2
                                            : args == verb->arg_count;
}

/* Return the verb that the words of OPTIONS name, and leave its arguments.  */
static const struct verb *
take_verb (struct options *options, const char **words, int count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    for (const struct verb *verb = parts[i]; verb->name != NULL; verb++)
      {
        int used = verb->subverb != NULL ? 2 : 1;

        if (count < used || strcmp (verb->name, words[0]) != 0
            || (used == 2 && strcmp (verb->subverb, words[1]) != 0)
            || !takes (verb, count - used))
          continue;
        options->arg_count = count - used;
        for (int k = used; k < count; k++)
          options->args[k - used] = words[k];
        return verb;
      }
  return NULL;
}

static int
run_words (struct options *options, const char **words, int count)
{
  const struct verb *verb = take_verb (options, words, count);

  if (verb != NULL)
    return verb->run (options);
  fprintf (stderr, "jaycove-ctl: unknown verb or wrong arguments: %s\n",
           words[0]);
  return JC_EXIT_USAGE;
}

static const char *
text_or (const struct arg_str *arg, const char *preset)
{
  return arg->count > 0 ? arg->sval[0] : preset;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_str *server
      = arg_str0 (NULL, "server", "IP:PORT", "operators' listener to ask");
  struct arg_str *token = arg_str0 (NULL, "token", "TOKEN", "its token");
  struct arg_int *expected = arg_int0 (NULL, "expected-version", "N",
                                       "version that the change builds on");
  struct arg_str *id
      = arg_str0 (NULL, "change-id", "ID", "id of the change, for resending");
  struct arg_str *base = arg_str0 (NULL, "base", "FILE",
                                   "configuration to check a change against");
  struct arg_str *state
      = arg_str0 (NULL, "state", "NAME", "state instance to ask");
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

      code = run_words (&options, words->sval, words->count);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return code;
}
