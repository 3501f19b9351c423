/* Hash table of the idempotency keys of a ledger.  */

#include <string.h>

#include "ledger/keytable.h"

struct jc_keytable
{
  GHashTable *by_id;
};

static guint
id_hash (gconstpointer id)
{
  guint hash;

  memcpy (&hash, id, sizeof hash);
  return hash;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, JC_KEY_ID_BYTES) == 0;
}

static void
key_free (gpointer data)
{
  struct jc_key *key = data;

  g_free (key->product);
  g_free (key->route);
  g_free (key->key);
  g_free (key->claim_id);
  g_free (key->content_type);
  g_bytes_unref (key->digest);
  if (key->answer != NULL)
    g_bytes_unref (key->answer);
  g_free (key);
}

struct jc_keytable *
jc_keytable_new (void)
{
  struct jc_keytable *table = g_new0 (struct jc_keytable, 1);

  table->by_id = g_hash_table_new_full (id_hash, id_equal, NULL, key_free);
  return table;
}

/* Free TABLE, which may be NULL, and its keys.  */
void
jc_keytable_free (struct jc_keytable *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->by_id);
  g_free (table);
}

/* Return the key with ID, or NULL.  TABLE owns it.  */
struct jc_key *
jc_keytable_find (const struct jc_keytable *table, const unsigned char *id)
{
  return g_hash_table_lookup (table->by_id, id);
}

/* Return the key with ID.  If there is none, add one with empty fields in state
   JC_KEY_FREE.  */
struct jc_key *
jc_keytable_get_or_add (struct jc_keytable *table, const unsigned char *id)
{
  struct jc_key *key = jc_keytable_find (table, id);

  if (key != NULL)
    return key;
  key = g_new0 (struct jc_key, 1);
  memcpy (key->id, id, JC_KEY_ID_BYTES);
  key->state = JC_KEY_FREE;
  key->digest = g_bytes_new (NULL, 0);
  key->claim_id = g_strdup ("");
  key->product = g_strdup ("");
  key->route = g_strdup ("");
  key->content_type = g_strdup ("");
  g_hash_table_insert (table->by_id, key->id, key);
  return key;
}

/* Remove and free the key with ID, if there is one.  */
void
jc_keytable_remove (struct jc_keytable *table, const unsigned char *id)
{
  g_hash_table_remove (table->by_id, id);
}

static void
set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

/* Set the key of RECORD to what RECORD says, or remove it if the state is
   JC_KEY_FORGOTTEN.  */
void
jc_keytable_put (struct jc_keytable *table,
                 const struct rpc_ledger_record *record)
{
  const unsigned char *id = (const unsigned char *)record->id.rpc_bytes_val;
  struct jc_key *key;

  if (record->state == JC_KEY_FORGOTTEN)
    {
      jc_keytable_remove (table, id);
      return;
    }
  key = jc_keytable_get_or_add (table, id);
  key->state = (enum jc_key_state)record->state;
  key->sequence = record->sequence;
  set_text (&key->product, record->product);
  set_text (&key->route, record->route);
  set_text (&key->key, record->key[0] != '\0' ? record->key : NULL);
  set_text (&key->claim_id, record->claim_id);
  set_text (&key->content_type, record->content_type);
  g_bytes_unref (key->digest);
  key->digest = g_bytes_new (record->digest.rpc_bytes_val,
                             record->digest.rpc_bytes_len);
  key->fence = record->fence;
  key->http_status = record->http_status;
  if (key->answer != NULL)
    g_bytes_unref (key->answer);
  key->answer = record->answer_kept ? g_bytes_new (record->answer.rpc_bytes_val,
                                                   record->answer.rpc_bytes_len)
                                    : NULL;
  key->changed_ms = (int64_t)record->changed_ms;
}

/* Call FN with each key and CTX, in no particular order.  FN may not add or
   remove keys.  */
void
jc_keytable_foreach (const struct jc_keytable *table, GFunc fn, void *ctx)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &key))
    fn (key, ctx);
}

guint
jc_keytable_size (const struct jc_keytable *table)
{
  return g_hash_table_size (table->by_id);
}

static rpc_bytes
bytes_view (GBytes *bytes)
{
  gsize len = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &len) : NULL;

  return (rpc_bytes){ .rpc_bytes_val = (char *)data,
                      .rpc_bytes_len = (u_int)len };
}

/* Return KEY encoded as an rpc_ledger_record; the caller unrefs it.  */
GBytes *
jc_key_encode (const struct jc_key *key)
{
  struct rpc_ledger_record record
      = { .state = (int)key->state,
          .sequence = key->sequence,
          .id = { .rpc_bytes_val = (char *)key->id,
                  .rpc_bytes_len = JC_KEY_ID_BYTES },
          .product = key->product,
          .route = key->route,
          .key = key->key != NULL ? key->key : "",
          .digest = bytes_view (key->digest),
          .claim_id = key->claim_id,
          .fence = key->fence,
          .http_status = key->http_status,
          .content_type = key->content_type,
          .answer_kept = key->answer != NULL,
          .answer = bytes_view (key->answer),
          .changed_ms = (uint64_t)key->changed_ms };

  return jc_record_encode (&record);
}
