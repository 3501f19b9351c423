/* Verbs of jaycove-ctl and what they share.  */

#ifndef VERBS_H
#define VERBS_H

#include <glib.h>

#include "net/program.h"

enum
{
  VERB_WORDS_MAX = 64,
  /* A verb that needs two arguments or more.  */
  VERB_ARGS_MIN_2 = -1,
  /* A verb that needs one argument or more.  */
  VERB_ARGS_MIN_1 = -2
};

/* The command line once read.  ARGS are the words after the verb.  */
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

/* One verb: a word, perhaps a second one, and the number of arguments that it
   needs, or one of the above.  */
struct verb
{
  const char *name;
  const char *subverb;
  const char *args_help;
  int arg_count;
  const char *help;
  int (*run) (const struct options *options);
};

/* The verbs of one part; the list ends with a NULL word.  */
extern const struct verb config_verbs[];
extern const struct verb replica_verbs[];
extern const struct verb entry_verbs[];
extern const struct verb ledger_verbs[];
extern const struct verb trace_verbs[];
extern const struct verb accuracy_verbs[];

/* ask: requests to an operators' listener.  */
long request_send (const struct options *options, const char *path,
                   const char *body, GString *answer);
int request_exit_code (long http, const char *answer);
int request_and_print (const struct options *options, const char *path,
                       const char *body);
int request_state_instance (const struct options *options, const char *verb,
                            const char *json);

#endif
