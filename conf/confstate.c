/* Configuration state machine.  Every result depends only on the order of the
   log, so that all replicas arrive at the same one.  */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "conf/confstate.h"

enum
{
  RESULTS_MAX = 20000,
  RECENT_CHANGES_MAX = 2000,
  DIGEST_BYTES = 16
};

static void
result_free (gpointer data)
{
  struct jc_submit_result *result = data;

  g_free (result->change_id);
  g_free (result->digest);
  g_free (result->faults);
  g_free (result);
}

static void
change_free (gpointer data)
{
  struct jc_change *change = data;

  g_free (change->change_id);
  g_free (change->author);
  json_decref (change->objects);
  g_free (change);
}

/* Return the initial state: an empty configuration at version 0.  */
struct jc_confstate *
jc_confstate_new (void)
{
  struct jc_confstate *confstate = g_new0 (struct jc_confstate, 1);

  confstate->config = jc_config_empty ();
  confstate->results = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&confstate->results_by_age);
  g_queue_init (&confstate->recent_changes);
  return confstate;
}

static void
confstate_clear (struct jc_confstate *confstate)
{
  g_hash_table_remove_all (confstate->results);
  g_queue_clear_full (&confstate->results_by_age, result_free);
  g_queue_clear_full (&confstate->recent_changes, change_free);
}

/* Free CONFSTATE; NULL is allowed.  */
void
jc_confstate_free (struct jc_confstate *confstate)
{
  if (confstate == NULL)
    return;
  confstate_clear (confstate);
  g_hash_table_destroy (confstate->results);
  jc_config_free (confstate->config);
  g_free (confstate);
}

/* Return SUBMIT in the encoding of a log entry.  */
GString *
jc_confstate_encode_submit (const struct rpc_submit *submit)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_submit, (void *)submit);
  GString *out = g_string_sized_new (size + 1);
  XDR xdr;

  g_string_set_size (out, size);
  xdrmem_create (&xdr, out->str, (u_int)size, XDR_ENCODE);
  xdr_rpc_submit (&xdr, (struct rpc_submit *)submit);
  xdr_destroy (&xdr);
  return out;
}

static char *
compute_digest (const struct rpc_submit *submit)
{
  unsigned char sum[DIGEST_BYTES];
  char hex[2 * DIGEST_BYTES + 1];
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof sum);
  crypto_generichash_update (&state,
                             (const unsigned char *)&submit->expected_version,
                             sizeof submit->expected_version);
  crypto_generichash_update (&state,
                             (const unsigned char *)submit->json.rpc_bytes_val,
                             submit->json.rpc_bytes_len);
  crypto_generichash_final (&state, sum, sizeof sum);
  return g_strdup (sodium_bin2hex (hex, sizeof hex, sum, sizeof sum));
}

static void
store_result (struct jc_confstate *confstate, struct jc_submit_result *result)
{
  g_hash_table_insert (confstate->results, result->change_id, result);
  g_queue_push_tail (&confstate->results_by_age, result);
  if (g_queue_get_length (&confstate->results_by_age) <= RESULTS_MAX)
    return;
  result = g_queue_pop_head (&confstate->results_by_age);
  if (result->status == JC_OK)
    confstate->pruned_version = result->version;
  g_hash_table_remove (confstate->results, result->change_id);
  result_free (result);
}

static void
store_change (struct jc_confstate *confstate, const struct rpc_submit *submit,
              const json_t *json)
{
  struct jc_change *change = g_new0 (struct jc_change, 1);

  change->version = confstate->config->version;
  change->change_id = g_strdup (submit->change_id);
  change->author = g_strdup (submit->author);
  change->objects = jc_config_delta (json);
  g_queue_push_tail (&confstate->recent_changes, change);
  if (g_queue_get_length (&confstate->recent_changes) > RECENT_CHANGES_MAX)
    change_free (g_queue_pop_head (&confstate->recent_changes));
}

static char *
encode_faults (const GPtrArray *faults)
{
  json_t *list = json_array ();
  char *dumped;
  char *text;

  for (guint i = 0; i < faults->len; i++)
    json_array_append_new (list, json_string (g_ptr_array_index (faults, i)));
  dumped = json_dumps (list, JSON_COMPACT);
  text = g_strdup (dumped);
  free (dumped);
  json_decref (list);
  return text;
}

/* Put the objects of SUBMIT in force if they pass the checks; add what is
   wrong with them to FAULTS otherwise.  */
static enum jc_status
apply_objects (struct jc_confstate *confstate, const struct rpc_submit *submit,
               GPtrArray *faults)
{
  json_t *json = json_loadb (submit->json.rpc_bytes_val,
                             submit->json.rpc_bytes_len, 0, NULL);
  struct jc_config *next = NULL;

  if (json == NULL)
    jc_faults_add (faults, "change", "is not JSON");
  else
    next = jc_config_apply (confstate->config, json,
                            confstate->config->version + 1, faults);
  if (next != NULL)
    {
      jc_config_free (confstate->config);
      confstate->config = next;
      store_change (confstate, submit, json);
    }
  json_decref (json);
  return next != NULL ? JC_OK : JC_CHECK_FAILED;
}

/* Return the status of SUBMIT.  Below PRUNED_VERSION the result of an earlier
   submission with its change id may have been dropped, so the outcome is
   unknown.  */
static enum jc_status
evaluate_submit (struct jc_confstate *confstate,
                 const struct rpc_submit *submit, GPtrArray *faults)
{
  if (submit->expected_version < confstate->pruned_version)
    return JC_OUTCOME_UNKNOWN;
  if (submit->expected_version != confstate->config->version)
    return JC_VERSION_CONFLICT;
  return apply_objects (confstate, submit, faults);
}

static const struct jc_submit_result *
evaluate_first (struct jc_confstate *confstate, const struct rpc_submit *submit)
{
  struct jc_submit_result *result = g_new0 (struct jc_submit_result, 1);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);

  result->change_id = g_strdup (submit->change_id);
  result->digest = compute_digest (submit);
  result->status = evaluate_submit (confstate, submit, faults);
  result->version = confstate->config->version;
  result->faults = encode_faults (faults);
  g_ptr_array_free (faults, TRUE);
  store_result (confstate, result);
  return result;
}

/* Return the result for a change id that was used with other content.  */
static const struct jc_submit_result *
conflict_result (const struct jc_confstate *confstate)
{
  static struct jc_submit_result conflict
      = { .status = JC_KEY_CONFLICT,
          .faults = "[\"change: its id was used with other content\"]" };

  conflict.version = confstate->config->version;
  return &conflict;
}

/* Apply the submission encoded in DATA and return its result.  If its change
   id was seen before, this is the first result.  The result is valid until the
   next call.  Return NULL if DATA cannot be decoded; no replica proposes such
   data.  */
const struct jc_submit_result *
jc_confstate_apply (struct jc_confstate *confstate, struct jc_str data)
{
  struct rpc_submit submit = { 0 };
  const struct jc_submit_result *result = NULL;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  if (xdr_rpc_submit (&xdr, &submit))
    {
      char *digest = compute_digest (&submit);

      result = g_hash_table_lookup (confstate->results, submit.change_id);
      if (result == NULL)
        result = evaluate_first (confstate, &submit);
      else if (strcmp (result->digest, digest) != 0)
        result = conflict_result (confstate);
      g_free (digest);
    }
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_submit, (char *)&submit);
  return result;
}

static json_t *
result_json (const struct jc_submit_result *result)
{
  return json_pack ("{s:s,s:s,s:s,s:I,s:s}", "id", result->change_id, "digest",
                    result->digest, "status", jc_status_name (result->status),
                    "version", (json_int_t)result->version, "faults",
                    result->faults);
}

static json_t *
change_json (const struct jc_change *change)
{
  return json_pack ("{s:I,s:s,s:s,s:O}", "version", (json_int_t)change->version,
                    "id", change->change_id, "author", change->author,
                    "objects", change->objects);
}

/* Write CONFSTATE into the JSON object OUT.  */
void
jc_confstate_snapshot (const struct jc_confstate *confstate, json_t *out)
{
  json_t *answers = json_array ();
  json_t *recent = json_array ();

  for (GList *at = confstate->results_by_age.head; at != NULL; at = at->next)
    json_array_append_new (answers, result_json (at->data));
  for (GList *at = confstate->recent_changes.head; at != NULL; at = at->next)
    json_array_append_new (recent, change_json (at->data));
  json_object_set_new (out, "version",
                       json_integer ((json_int_t)confstate->config->version));
  json_object_set_new (out, "forgotten",
                       json_integer ((json_int_t)confstate->pruned_version));
  json_object_set (out, "objects", confstate->config->json);
  json_object_set_new (out, "answers", answers);
  json_object_set_new (out, "recent", recent);
}

static const char *
string_at (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

static uint64_t
number_at (const json_t *json, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (json, key));
}

static void
restore_result (struct jc_confstate *confstate, const json_t *json)
{
  struct jc_submit_result *result = g_new0 (struct jc_submit_result, 1);

  result->change_id = g_strdup (string_at (json, "id"));
  result->digest = g_strdup (string_at (json, "digest"));
  result->status = jc_status_by_name (string_at (json, "status"));
  result->version = number_at (json, "version");
  result->faults = g_strdup (string_at (json, "faults"));
  store_result (confstate, result);
}

static void
restore_change (struct jc_confstate *confstate, const json_t *json)
{
  struct jc_change *change = g_new0 (struct jc_change, 1);

  change->version = number_at (json, "version");
  change->change_id = g_strdup (string_at (json, "id"));
  change->author = g_strdup (string_at (json, "author"));
  change->objects = json_incref (json_object_get (json, "objects"));
  g_queue_push_tail (&confstate->recent_changes, change);
}

/* Replace CONFSTATE by IN, which jc_confstate_snapshot made.  Return
   JC_CORRUPT and leave CONFSTATE unchanged if IN is invalid.  */
enum jc_status
jc_confstate_restore (struct jc_confstate *confstate, const json_t *in)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config = jc_config_from_json (
      json_object_get (in, "objects"), number_at (in, "version"), faults);
  const json_t *item;
  size_t i;

  g_ptr_array_free (faults, TRUE);
  if (config == NULL)
    return jc_fail (JC_CORRUPT, "The snapshot is not valid.");
  confstate_clear (confstate);
  jc_config_free (confstate->config);
  confstate->config = config;
  confstate->pruned_version = number_at (in, "forgotten");
  json_array_foreach (json_object_get (in, "answers"), i, item)
      restore_result (confstate, item);
  json_array_foreach (json_object_get (in, "recent"), i, item)
      restore_change (confstate, item);
  return JC_OK;
}

/* Return the objects changed between version HAVE and the one in force, by
   path, with null for deleted ones.  FROM is set to HAVE, or to 0 if all
   objects are returned because HAVE is 0 or too old.  */
json_t *
jc_confstate_delta (const struct jc_confstate *confstate, uint64_t have,
                    uint64_t *from)
{
  const GList *first = confstate->recent_changes.head;
  const struct jc_change *oldest = first != NULL ? first->data : NULL;
  json_t *delta;

  *from = 0;
  if (have == 0 || oldest == NULL || have + 1 < oldest->version)
    return json_incref (confstate->config->json);
  *from = have;
  delta = json_object ();
  for (GList *at = confstate->recent_changes.head; at != NULL; at = at->next)
    {
      const struct jc_change *change = at->data;

      if (change->version > have)
        json_object_update (delta, change->objects);
    }
  return delta;
}

/* Return the accepted change that made VERSION, or NULL if it is no longer
   kept.  */
const struct jc_change *
jc_confstate_find_change (const struct jc_confstate *confstate,
                          uint64_t version)
{
  for (GList *at = confstate->recent_changes.tail; at != NULL; at = at->prev)
    {
      const struct jc_change *change = at->data;

      if (change->version == version)
        return change;
    }
  return NULL;
}
