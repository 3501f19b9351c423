/* Statement: what an answer states about whether its request ran.  */

#ifndef JC_STATEMENT_H
#define JC_STATEMENT_H

#include <stdbool.h>

/* What an answer rests on if it seems to say that its request did not run.
   JC_STATEMENT_ENDPOINT and JC_STATEMENT_INSTANCE state it.
   JC_STATEMENT_STATUS has only a status that callers would take for a promise,
   and JC_STATEMENT_CONTRADICTORY states it beside something that speaks against
   it.  */
enum jc_statement
{
  JC_STATEMENT_NONE,
  JC_STATEMENT_ENDPOINT,
  JC_STATEMENT_INSTANCE,
  JC_STATEMENT_STATUS,
  JC_STATEMENT_CONTRADICTORY
};

/* The parts of an answer's head that bear on it.  NOT_RUN_FIELDS is how often
   the endpoint says that it did not run the request, IS_SIGNED whether its
   signature is there, which it gives to what it ran.  FROM_INSTANCE means that
   another entry instance gave the answer: its own errors have ERROR_FIELDS
   fields with the name ERROR and RUN_FIELDS with RUN, whether the request ran;
   both NULL if there are none.  */
struct jc_statement_input
{
  int http;
  unsigned int not_run_fields;
  bool is_signed;
  bool from_instance;
  unsigned int error_fields;
  const char *error;
  unsigned int run_fields;
  const char *run;
};

enum jc_statement jc_statement_of (const struct jc_statement_input *input);
bool jc_statement_is_not_run (enum jc_statement statement);
const char *jc_statement_name (enum jc_statement statement);

#endif
