/* Verbs of jaycove-ctl, and the requests that they send.  */

#ifndef VERBS_H
#define VERBS_H

#include <glib.h>

#include "net/program.h"

enum
{
  VERB_WORDS_MAX = 64,
  /* Values of a verb's ARG_COUNT: at least two arguments.  */
  VERB_ARGS_MIN_2 = -1,
  /* At least one argument.  */
  VERB_ARGS_MIN_1 = -2
};

/* The parsed command line.  ARGS holds ARG_COUNT words that follow the verb.
   CHANGE_ID, BASE_FILE and STATE_INSTANCE are NULL if not given; TOKEN is then
   empty and EXPECTED_VERSION 0.  */
struct options
{
  const char *args[VERB_WORDS_MAX];
  int arg_count;
  const char *server;
  const char *token;
  const char *change_id;
  const char *base_file;
  const char *state_instance;
  bool non_voting;
  int expected_version;
};

/* One verb: its name, a second word or NULL, the exact number of arguments or
   one of the values above, and its help text.  RUN returns the exit code.  */
struct verb
{
  const char *name;
  const char *subverb;
  const char *args_help;
  int arg_count;
  const char *help;
  int (*run) (const struct options *options);
};

/* Each table ends with an entry whose NAME is NULL.  */
extern const struct verb config_verbs[];
extern const struct verb replica_verbs[];
extern const struct verb entry_verbs[];
extern const struct verb ledger_verbs[];
extern const struct verb trace_verbs[];
extern const struct verb accuracy_verbs[];
extern const struct verb build_verbs[];
extern const struct verb quota_verbs[];
extern const struct verb outcome_verbs[];

/* request.c: requests to the operators' listener of an entry instance */
long request_send (const struct options *options, const char *path,
                   const char *body, GString *answer);
int request_exit_code (long http_status, const char *answer);
int request_and_print (const struct options *options, const char *path,
                       const char *body);
int request_state_instance (const struct options *options, const char *verb,
                            const char *json);

#endif
