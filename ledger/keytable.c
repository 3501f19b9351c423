/* Keys of a ledger in memory.  */

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

/* Return an empty table.  */
struct jc_keytable *
jc_keytable_new (void)
{
  struct jc_keytable *keys = g_new0 (struct jc_keytable, 1);

  keys->by_id = g_hash_table_new_full (id_hash, id_equal, NULL, key_free);
  return keys;
}

/* Free KEYS and what it holds.  */
void
jc_keytable_free (struct jc_keytable *keys)
{
  if (keys == NULL)
    return;
  g_hash_table_destroy (keys->by_id);
  g_free (keys);
}

/* Return the key of ID, or NULL.  */
struct jc_key *
jc_keytable_find (const struct jc_keytable *keys, const unsigned char *id)
{
  return g_hash_table_lookup (keys->by_id, id);
}

/* Return the key of ID, made free and empty where there is none.  */
struct jc_key *
jc_keytable_get_or_add (struct jc_keytable *keys, const unsigned char *id)
{
  struct jc_key *key = jc_keytable_find (keys, id);

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
  g_hash_table_insert (keys->by_id, key->id, key);
  return key;
}

/* Remove the key of ID.  */
void
jc_keytable_remove (struct jc_keytable *keys, const unsigned char *id)
{
  g_hash_table_remove (keys->by_id, id);
}

static void
set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

/* Put the key of RECORD in place of what KEYS has of it.  */
void
jc_keytable_put (struct jc_keytable *keys,
                 const struct rpc_ledger_record *record)
{
  const unsigned char *id = (const unsigned char *)record->id.rpc_bytes_val;
  struct jc_key *key;

  if (record->state == JC_KEY_FORGOTTEN)
    {
      jc_keytable_remove (keys, id);
      return;
    }
  key = jc_keytable_get_or_add (keys, id);
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

/* Call FN with each key and CTX.  FN may not add or remove keys.  */
void
jc_keytable_foreach (const struct jc_keytable *keys, GFunc fn, void *ctx)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, keys->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &key))
    fn (key, ctx);
}

/* Return how many keys there are.  */
guint
jc_keytable_size (const struct jc_keytable *keys)
{
  return g_hash_table_size (keys->by_id);
}

static rpc_bytes
bytes_view (GBytes *bytes)
{
  gsize len = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &len) : NULL;

  return (rpc_bytes){ .rpc_bytes_val = (char *)data,
                      .rpc_bytes_len = (u_int)len };
}

/* Return KEY encoded as a record; the caller unrefs it.  */
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
