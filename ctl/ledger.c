/* Verbs of the ledger.  */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/verbs.h"
#include "ledger/record.h"

/* Ask for the keys of STATE, or called NAME; NULL for any.  */
static int
list (const struct options *options, const char *state, const char *name)
{
  json_t *asked = json_object ();
  char *text;
  int code;

  if (state != NULL)
    json_object_set_new (asked, "state", json_string (state));
  if (name != NULL)
    json_object_set_new (asked, "key", json_string (name));
  text = json_dumps (asked, JSON_COMPACT);
  code = request_state_instance (options, "ledger.list", text);
  free (text);
  json_decref (asked);
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

/* List keys.  A state of keys may stand after --state, too, where it asks the
   nearest instance.  */
static int
run_list (const struct options *options)
{
  struct options nearest = *options;

  if (options->state_instance == NULL
      || !is_key_state (options->state_instance))
    return list (options, NULL, NULL);
  nearest.state_instance = NULL;
  return list (&nearest, options->state_instance, NULL);
}

static int
run_list_state (const struct options *options)
{
  return list (options, options->args[0], NULL);
}

static int
run_show (const struct options *options)
{
  return list (options, NULL, options->args[0]);
}

static int
run_accept_loss (const struct options *options)
{
  return request_state_instance (options, "ledger.accept-loss", "{}");
}

const struct verb ledger_verbs[]
    = { { "ledger", "show", "KEY", 1, "show a key of the ledger", run_show },
        { "ledger", "list", "", 0, "list the keys of the ledger", run_list },
        { "ledger", "list", "STATE", 1,
          "list its keys that are granted, done, unknown or free",
          run_list_state },
        { "ledger", "accept-loss", "", 0,
          "go on although records of the ledger are lost", run_accept_loss },
        { NULL, NULL, NULL, 0, NULL, NULL } };
