/* Verbs that show, check and change the configuration.  */

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "conf/config.h"
#include "ctl/verbs.h"

enum
{
  CHANGE_ID_BYTES = 12
};

static int
run_show (const struct options *options)
{
  return request_and_print (options, "/config", NULL);
}

static int
run_history (const struct options *options)
{
  return request_state_instance (options, "config.history", "{}");
}

static int
run_diff (const struct options *options)
{
  char *json = g_strdup_printf ("{\"version\":%lu}",
                                strtoul (options->args[0], NULL, 10));
  int code = request_state_instance (options, "config.diff", json);

  g_free (json);
  return code;
}

/* Return the JSON in FILE, or NULL after adding a fault to FAULTS.  */
static json_t *
load_json (const char *file, GPtrArray *faults)
{
  json_error_t error;
  json_t *json = json_load_file (file, JSON_REJECT_DUPLICATES, &error);

  if (json == NULL)
    jc_faults_add_json (faults, file, &error);
  return json;
}

/* Return the configuration to check a change against: the one in the file of
   --base, as "config show" prints it, or the empty one without --base.  Return
   NULL after adding to FAULTS if the file is not valid.  */
static struct jc_config *
load_base (const struct options *options, GPtrArray *faults)
{
  struct jc_config *base;
  json_t *json;

  if (options->base_file == NULL)
    return jc_config_empty ();
  json = load_json (options->base_file, faults);
  base = json != NULL ? jc_config_from_json (json, 1, faults) : NULL;
  json_decref (json);
  return base;
}

/* check FILE: apply the change to the base configuration and print either its
   faults, one a line, or "ok".  */
static int
run_check (const struct options *options)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *base = load_base (options, faults);
  json_t *change = load_json (options->args[0], faults);
  struct jc_config *config = NULL;

  if (base != NULL && change != NULL)
    config = jc_config_apply (base, change, base->version + 1, faults);
  for (guint i = 0; i < faults->len; i++)
    printf ("%s\n", (const char *)g_ptr_array_index (faults, i));
  if (config != NULL)
    printf ("ok\n");
  jc_config_free (base);
  jc_config_free (config);
  json_decref (change);
  g_ptr_array_free (faults, TRUE);
  return config != NULL ? JC_EXIT_OK : JC_EXIT_REFUSED;
}

static char *
random_change_id (void)
{
  unsigned char bytes[CHANGE_ID_BYTES];
  char hex[2 * CHANGE_ID_BYTES + 1];

  randombytes_buf (bytes, sizeof bytes);
  return g_strdup (sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes));
}

/* apply FILE: submit the change.  Where the outcome is unknown, name the change
   id on stderr: sent again under that id, the change is applied only once.  */
static int
run_apply (const struct options *options)
{
  char *id = options->change_id != NULL ? g_strdup (options->change_id)
                                        : random_change_id ();
  char *path = g_strdup_printf ("/config?expected_version=%d&change_id=%s",
                                options->expected_version, id);
  char *body = NULL;
  int code = JC_EXIT_REFUSED;

  if (!g_file_get_contents (options->args[0], &body, NULL, NULL))
    printf ("%s can't be read\n", options->args[0]);
  else
    code = request_and_print (options, path, body);
  if (code == JC_EXIT_UNKNOWN)
    fprintf (stderr, "Resend with --change-id %s.\n", id);
  g_free (body);
  g_free (path);
  g_free (id);
  return code;
}

const struct verb config_verbs[] = {
  { "check", NULL, "FILE", 1, "check a change without a server", run_check },
  { "apply", NULL, "FILE", 1, "submit a change", run_apply },
  { "config", "show", "", 0, "show the configuration in force", run_show },
  { "config", "history", "", 0, "show the latest changes", run_history },
  { "config", "diff", "VERSION", 1, "show what a version changed", run_diff },
  { "config", NULL, "", 0, "same as config show", run_show },
  { NULL, NULL, NULL, 0, NULL, NULL }
};
