/* Verbs that list the idempotency keys of a ledger.  */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"
#include "ledger/record.h"

/* List the ledger's keys that are in STATE and called NAME; NULL matches any.
   Return the exit code.  */
static int
list_keys (const struct options *options, const char *state, const char *name)
{
  json_t *query = json_object ();
  char *text;
  int code;

  if (state != NULL)
    json_object_set_new (query, "state", json_string (state));
  if (name != NULL)
    json_object_set_new (query, "key", json_string (name));
  text = json_dumps (query, JSON_COMPACT);
  code = request_state_instance (options, "ledger.list", text);
  free (text);
  json_decref (query);
  return code;
}

static bool
is_key_state (const char *word)
{
  for (int i = JC_KEY_GRANTED; i <= JC_KEY_FREE; i++)
    if (strcmp (jc_key_state_name ((enum jc_key_state)i), word) == 0)
      return true;
  return false;
}

/* ledger list: --state names the state instance to ask.  A key state given
   there instead selects the keys, and the first connected instance is
   asked.  */
static int
run_list (const struct options *options)
{
  struct options any_instance = *options;

  if (options->state_instance == NULL
      || !is_key_state (options->state_instance))
    return list_keys (options, NULL, NULL);
  any_instance.state_instance = NULL;
  return list_keys (&any_instance, options->state_instance, NULL);
}

static int
run_list_state (const struct options *options)
{
  return list_keys (options, options->args[0], NULL);
}

static int
run_show (const struct options *options)
{
  return list_keys (options, NULL, options->args[0]);
}

static int
run_accept_loss (const struct options *options)
{
  return request_state_instance (options, "ledger.accept-loss", "{}");
}

const struct verb ledger_verbs[] = {
  { "ledger", "show", "KEY", 1, "show a key of the ledger", run_show },
  { "ledger", "list", "", 0, "list the keys of the ledger", run_list },
  { "ledger", "list", "STATE", 1,
    "list the keys that are granted, done, unknown or free", run_list_state },
  { "ledger", "accept-loss", "", 0,
    "resume the ledger although records of it are lost", run_accept_loss },
  { NULL, NULL, NULL, 0, NULL, NULL }
};
