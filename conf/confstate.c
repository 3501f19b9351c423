/* Changes.  All decisions here depend on the order of the log alone, so that
   every replica comes to the same answers.  */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "conf/confstate.h"

enum
{
  ANSWERS_MAX = 20000,
  RECENT_MAX = 2000,
  DIGEST_BYTES = 16
};

static void
answer_free (gpointer data)
{
  struct jc_submit_result *answer = data;

  g_free (answer->change_id);
  g_free (answer->digest);
  g_free (answer->faults);
  g_free (answer);
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

/* Return the state before any change.  */
struct jc_confstate *
jc_confstate_new (void)
{
  struct jc_confstate *changes = g_new0 (struct jc_confstate, 1);

  changes->config = jc_config_empty ();
  changes->results = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&changes->results_by_age);
  g_queue_init (&changes->recent_changes);
  return changes;
}

static void
changes_clear (struct jc_confstate *changes)
{
  g_hash_table_remove_all (changes->results);
  g_queue_clear_full (&changes->results_by_age, answer_free);
  g_queue_clear_full (&changes->recent_changes, change_free);
}

/* Free CHANGES.  */
void
jc_confstate_free (struct jc_confstate *changes)
{
  if (changes == NULL)
    return;
  changes_clear (changes);
  g_hash_table_destroy (changes->results);
  jc_config_free (changes->config);
  g_free (changes);
}

/* Return SUBMIT as an entry of the log.  */
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
digest_of (const struct rpc_submit *submit)
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
remember_answer (struct jc_confstate *changes, struct jc_submit_result *answer)
{
  g_hash_table_insert (changes->results, answer->change_id, answer);
  g_queue_push_tail (&changes->results_by_age, answer);
  if (g_queue_get_length (&changes->results_by_age) <= ANSWERS_MAX)
    return;
  answer = g_queue_pop_head (&changes->results_by_age);
  if (answer->status == JC_OK)
    changes->pruned_version = answer->version;
  g_hash_table_remove (changes->results, answer->change_id);
  answer_free (answer);
}

static void
remember_change (struct jc_confstate *changes, const struct rpc_submit *submit,
                 const json_t *json)
{
  struct jc_change *change = g_new0 (struct jc_change, 1);

  change->version = changes->config->version;
  change->change_id = g_strdup (submit->change_id);
  change->author = g_strdup (submit->author);
  change->objects = jc_config_delta (json);
  g_queue_push_tail (&changes->recent_changes, change);
  if (g_queue_get_length (&changes->recent_changes) > RECENT_MAX)
    change_free (g_queue_pop_head (&changes->recent_changes));
}

static char *
faults_text (const GPtrArray *faults)
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

/* Put the objects of SUBMIT in force where they pass the checks.  */
static enum jc_status
publish (struct jc_confstate *changes, const struct rpc_submit *submit,
         GPtrArray *faults)
{
  json_t *json = json_loadb (submit->json.rpc_bytes_val,
                             submit->json.rpc_bytes_len, 0, NULL);
  struct jc_config *next = NULL;

  if (json == NULL)
    jc_fault (faults, "change", "is not JSON");
  else
    next = jc_config_apply (changes->config, json, changes->config->version + 1,
                            faults);
  if (next != NULL)
    {
      jc_config_free (changes->config);
      changes->config = next;
      remember_change (changes, submit, json);
    }
  json_decref (json);
  return next != NULL ? JC_OK : JC_CHECK_FAILED;
}

static enum jc_status
decide (struct jc_confstate *changes, const struct rpc_submit *submit,
        GPtrArray *faults)
{
  if (submit->expected_version < changes->pruned_version)
    return JC_OUTCOME_UNKNOWN;
  if (submit->expected_version != changes->config->version)
    return JC_VERSION_CONFLICT;
  return publish (changes, submit, faults);
}

static const struct jc_submit_result *
answer_first (struct jc_confstate *changes, const struct rpc_submit *submit)
{
  struct jc_submit_result *answer = g_new0 (struct jc_submit_result, 1);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);

  answer->change_id = g_strdup (submit->change_id);
  answer->digest = digest_of (submit);
  answer->status = decide (changes, submit, faults);
  answer->version = changes->config->version;
  answer->faults = faults_text (faults);
  g_ptr_array_free (faults, TRUE);
  remember_answer (changes, answer);
  return answer;
}

/* Return the answer for a change id that was used with other content.  */
static const struct jc_submit_result *
answer_reuse (const struct jc_confstate *changes)
{
  static struct jc_submit_result reuse
      = { .status = JC_KEY_CONFLICT,
          .faults = "[\"change: its id was used with other content\"]" };

  reuse.version = changes->config->version;
  return &reuse;
}

/* Apply the submission DATA and return its answer, which is the first answer
   where its change id was seen before.  The answer lasts until the next
   call.  DATA that can't be read, which no replica proposes, returns NULL.  */
const struct jc_submit_result *
jc_confstate_apply (struct jc_confstate *changes, struct jc_str data)
{
  struct rpc_submit submit = { 0 };
  const struct jc_submit_result *answer = NULL;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  if (xdr_rpc_submit (&xdr, &submit))
    {
      char *digest = digest_of (&submit);

      answer = g_hash_table_lookup (changes->results, submit.change_id);
      if (answer == NULL)
        answer = answer_first (changes, &submit);
      else if (strcmp (answer->digest, digest) != 0)
        answer = answer_reuse (changes);
      g_free (digest);
    }
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_submit, (char *)&submit);
  return answer;
}

static json_t *
answer_json (const struct jc_submit_result *answer)
{
  return json_pack ("{s:s,s:s,s:s,s:I,s:s}", "id", answer->change_id, "digest",
                    answer->digest, "status", jc_status_name (answer->status),
                    "version", (json_int_t)answer->version, "faults",
                    answer->faults);
}

static json_t *
change_json (const struct jc_change *change)
{
  return json_pack ("{s:I,s:s,s:s,s:O}", "version", (json_int_t)change->version,
                    "id", change->change_id, "author", change->author,
                    "objects", change->objects);
}

/* Put all of CHANGES into the object OUT.  */
void
jc_confstate_snapshot (const struct jc_confstate *changes, json_t *out)
{
  json_t *answers = json_array ();
  json_t *recent = json_array ();

  for (GList *at = changes->results_by_age.head; at != NULL; at = at->next)
    json_array_append_new (answers, answer_json (at->data));
  for (GList *at = changes->recent_changes.head; at != NULL; at = at->next)
    json_array_append_new (recent, change_json (at->data));
  json_object_set_new (out, "version",
                       json_integer ((json_int_t)changes->config->version));
  json_object_set_new (out, "forgotten",
                       json_integer ((json_int_t)changes->pruned_version));
  json_object_set (out, "objects", changes->config->json);
  json_object_set_new (out, "answers", answers);
  json_object_set_new (out, "recent", recent);
}

static const char *
text_at (const json_t *json, const char *key)
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
restore_answer (struct jc_confstate *changes, const json_t *json)
{
  struct jc_submit_result *answer = g_new0 (struct jc_submit_result, 1);

  answer->change_id = g_strdup (text_at (json, "id"));
  answer->digest = g_strdup (text_at (json, "digest"));
  answer->status = jc_status_by_name (text_at (json, "status"));
  answer->version = number_at (json, "version");
  answer->faults = g_strdup (text_at (json, "faults"));
  remember_answer (changes, answer);
}

static void
restore_change (struct jc_confstate *changes, const json_t *json)
{
  struct jc_change *change = g_new0 (struct jc_change, 1);

  change->version = number_at (json, "version");
  change->change_id = g_strdup (text_at (json, "id"));
  change->author = g_strdup (text_at (json, "author"));
  change->objects = json_incref (json_object_get (json, "objects"));
  g_queue_push_tail (&changes->recent_changes, change);
}

/* Replace CHANGES by IN, made by jc_confstate_snapshot.  */
enum jc_status
jc_confstate_restore (struct jc_confstate *changes, const json_t *in)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config = jc_config_from_json (
      json_object_get (in, "objects"), number_at (in, "version"), faults);
  const json_t *item;
  size_t i;

  g_ptr_array_free (faults, TRUE);
  if (config == NULL)
    return jc_fail (JC_CORRUPT, "The snapshot is not valid.");
  changes_clear (changes);
  jc_config_free (changes->config);
  changes->config = config;
  changes->pruned_version = number_at (in, "forgotten");
  json_array_foreach (json_object_get (in, "answers"), i, item)
      restore_answer (changes, item);
  json_array_foreach (json_object_get (in, "recent"), i, item)
      restore_change (changes, item);
  return JC_OK;
}

/* Return what turns version HAVE into the one in force, by path, null for
   what was deleted.  FROM becomes HAVE, or 0 where the whole set is
   returned.  */
json_t *
jc_confstate_delta (const struct jc_confstate *changes, uint64_t have,
                    uint64_t *from)
{
  const GList *first = changes->recent_changes.head;
  const struct jc_change *oldest = first != NULL ? first->data : NULL;
  json_t *delta;

  *from = 0;
  if (have == 0 || oldest == NULL || have + 1 < oldest->version)
    return json_incref (changes->config->json);
  *from = have;
  delta = json_object ();
  for (GList *at = changes->recent_changes.head; at != NULL; at = at->next)
    {
      const struct jc_change *change = at->data;

      if (change->version > have)
        json_object_update (delta, change->objects);
    }
  return delta;
}

/* Return the accepted change that made VERSION, or NULL where it is not kept
   any longer.  */
const struct jc_change *
jc_confstate_find_change (const struct jc_confstate *changes, uint64_t version)
{
  for (GList *at = changes->recent_changes.tail; at != NULL; at = at->prev)
    {
      const struct jc_change *change = at->data;

      if (change->version == version)
        return change;
    }
  return NULL;
}
