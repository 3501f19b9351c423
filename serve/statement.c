/* Statement: what an answer states about whether its request ran.  */

#include <string.h>

#include "base/status.h"
#include "serve/statement.h"

enum
{
  HTTP_BAD_REQUEST = 400
};

/* Return the statement of an endpoint's answer.  */
static enum jc_statement
endpoint_statement (const struct jc_statement_input *input)
{
  if (input->not_run_fields == 0)
    return jc_http_status_promises_not_run (input->http) ? JC_STATEMENT_STATUS
                                                         : JC_STATEMENT_NONE;
  return input->not_run_fields == 1 && !input->is_signed
                 && input->http >= HTTP_BAD_REQUEST
             ? JC_STATEMENT_ENDPOINT
             : JC_STATEMENT_CONTRADICTORY;
}

/* Return the statement of another entry instance's answer.  Its own errors have
   the status of their row in the table of errors; a name that is not in this
   build's table is another build's.  */
static enum jc_statement
instance_statement (const struct jc_statement_input *input)
{
  const struct jc_status_info *row;
  bool is_known;

  if (input->run == NULL || input->error == NULL
      || strcmp (input->run, jc_run_state_name (JC_NOT_RUN)) != 0)
    return jc_http_status_promises_not_run (input->http) ? JC_STATEMENT_STATUS
                                                         : JC_STATEMENT_NONE;
  row = jc_status_info (jc_status_by_name (input->error));
  is_known = strcmp (row->name, input->error) == 0;
  if (input->run_fields != 1 || input->error_fields != 1 || input->is_signed
      || input->http < HTTP_BAD_REQUEST
      || (is_known
          && (row->run != JC_NOT_RUN || row->http_status != input->http)))
    return JC_STATEMENT_CONTRADICTORY;
  return JC_STATEMENT_INSTANCE;
}

/* Return what an answer with the parts INPUT states.  */
enum jc_statement
jc_statement_of (const struct jc_statement_input *input)
{
  return input->from_instance ? instance_statement (input)
                              : endpoint_statement (input);
}

/* Return true if STATEMENT promises that the request of a complete answer has
   not run and never will.  */
bool
jc_statement_is_not_run (enum jc_statement statement)
{
  return statement == JC_STATEMENT_ENDPOINT
         || statement == JC_STATEMENT_INSTANCE;
}

/* Return the name of STATEMENT in logs.  */
const char *
jc_statement_name (enum jc_statement statement)
{
  static const char *const names[]
      = { [JC_STATEMENT_NONE] = "none",
          [JC_STATEMENT_ENDPOINT] = "endpoint",
          [JC_STATEMENT_INSTANCE] = "instance",
          [JC_STATEMENT_STATUS] = "status",
          [JC_STATEMENT_CONTRADICTORY] = "contradictory" };

  return names[statement];
}
