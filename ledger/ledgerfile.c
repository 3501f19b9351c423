/* Records of a ledger on its disk: appending, rewriting and reading them.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  /* The ledger flushes early once more than this is unsent.  */
  BATCH_MAX_BYTES = 4 * 1024 * 1024
};

static GBytes *
encode_head (const struct jc_ledger *ledger)
{
  struct rpc_ledger_record head
      = { .state = JC_KEY_HEAD,
          .sequence = ledger->sequence,
          .product = "",
          .route = "",
          .key = "",
          .claim_id
          = ledger->options.home != NULL ? (char *)ledger->options.home : "",
          .fence = ledger->fence_counter,
          .http_status = (int)ledger->disk,
          .content_type = "",
          .changed_ms = ledger->incarnation };

  return jc_record_encode (&head);
}

/* Return the bytes of BYTES, which owns them.  */
struct jc_str
ledger_bytes_str (GBytes *bytes)
{
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  return (struct jc_str){ .data = data, .len = len };
}

static void
add_key_record (gpointer key, gpointer list)
{
  g_ptr_array_add (list, jc_key_encode (key));
}

/* Return the pending members, which an outstanding proposal may have added to
   the copy set, as a JC_KEY_SET record; the caller unrefs it.  */
static GBytes *
encode_pending_members (const struct jc_ledger *ledger)
{
  struct rpc_ledger_set set = ledger->set;
  struct rpc_ledger_record record = { .state = JC_KEY_SET,
                                      .sequence = ledger->sequence,
                                      .product = "",
                                      .route = "",
                                      .key = "",
                                      .claim_id = "",
                                      .content_type = "",
                                      .answer_kept = TRUE };
  GBytes *bytes;
  GBytes *encoded;

  set.home = (char *)ledger->options.home;
  set.ledger = (char *)ledger->options.name;
  set.revision = ledger->pending_revision;
  set.members.members_len = ledger->pending_members->len;
  set.members.members_val
      = g_new0 (struct rpc_ledger_member, ledger->pending_members->len + 1);
  for (guint i = 0; i < ledger->pending_members->len; i++)
    set.members.members_val[i]
        = *(const struct rpc_ledger_member *)g_ptr_array_index (
            ledger->pending_members, i);
  bytes = jc_copyset_encode (&set);
  g_free (set.members.members_val);
  record.answer.rpc_bytes_val = (char *)ledger_bytes_str (bytes).data;
  record.answer.rpc_bytes_len = (u_int)g_bytes_get_size (bytes);
  encoded = jc_record_encode (&record);
  g_bytes_unref (bytes);
  return encoded;
}

/* Append the pending members to the journal and sync it.  Return the error of
   the journal after entering JC_LEDGER_FAILED.  */
enum jc_status
ledger_save_pending (struct jc_ledger *ledger)
{
  GBytes *record = encode_pending_members (ledger);
  enum jc_status status
      = jc_journal_append (ledger->journal, ledger_bytes_str (record));

  if (status == JC_OK)
    status = jc_journal_sync (ledger->journal);
  if (status != JC_OK)
    ledger_fail (ledger);
  g_bytes_unref (record);
  return status;
}

/* Replace the journal by the current state: the head, the pending members and
   one record for each key.  Return the error of the journal after entering
   JC_LEDGER_FAILED.  */
enum jc_status
ledger_rewrite (struct jc_ledger *ledger)
{
  GPtrArray *encoded
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GPtrArray *views = g_ptr_array_new_with_free_func (g_free);
  enum jc_status status;

  g_ptr_array_add (encoded, encode_head (ledger));
  g_ptr_array_add (encoded, encode_pending_members (ledger));
  jc_keytable_foreach (ledger->key_table, add_key_record, encoded);
  for (guint i = 0; i < encoded->len; i++)
    {
      struct jc_str *view = g_new (struct jc_str, 1);

      *view = ledger_bytes_str (g_ptr_array_index (encoded, i));
      g_ptr_array_add (views, view);
    }
  status = jc_journal_rewrite (ledger->journal, views);
  g_ptr_array_free (views, TRUE);
  g_ptr_array_free (encoded, TRUE);
  if (status != JC_OK)
    ledger_fail (ledger);
  ledger->compacted_bytes = jc_journal_size (ledger->journal);
  ledger->synced_sequence = ledger->sequence;
  return status;
}

static void
append_record (struct jc_ledger *ledger, GBytes *record)
{
  if (jc_journal_append (ledger->journal, ledger_bytes_str (record)) != JC_OK)
    ledger_fail (ledger);
  else
    g_byte_array_append (ledger->batch, g_bytes_get_data (record, NULL),
                         (guint)g_bytes_get_size (record));
  g_bytes_unref (record);
}

/* Append the state of KEY as a new record with the next sequence number, and
   update the set of granted keys.  */
void
ledger_write_key (struct jc_ledger *ledger, struct jc_key *key)
{
  key->sequence = ++ledger->sequence;
  if (key->state == JC_KEY_GRANTED)
    g_hash_table_add (ledger->granted, key);
  else
    g_hash_table_remove (ledger->granted, key);
  append_record (ledger, jc_key_encode (key));
  if (ledger->batch->len > BATCH_MAX_BYTES)
    jc_ledger_flush (ledger);
}

/* Send the records appended since the last flush to the copies, sync them to
   the disk, and send the replies that are committed now.  */
void
jc_ledger_flush (struct jc_ledger *ledger)
{
  if (ledger->state != JC_LEDGER_SERVING)
    return;
  if (ledger->batch->len > 0)
    {
      ledger_send_batch_to_copies (ledger);
      g_byte_array_set_size (ledger->batch, 0);
      if (jc_journal_sync (ledger->journal) != JC_OK)
        {
          ledger_fail (ledger);
          return;
        }
      ledger->counts.syncs++;
      ledger->synced_sequence = ledger->sequence;
    }
  ledger_send_replies (ledger);
}

static void
replay_pending (struct jc_ledger *ledger,
                const struct rpc_ledger_record *record)
{
  struct rpc_ledger_set set;

  if (!jc_copyset_decode (
          (struct jc_str){ .data = record->answer.rpc_bytes_val,
                           .len = record->answer.rpc_bytes_len },
          &set))
    return;
  g_ptr_array_set_size (ledger->pending_members, 0);
  ledger->pending_revision = set.revision;
  for (u_int i = 0; i < set.members.members_len; i++)
    ledger_add_pending_member (ledger, set.members.members_val[i].name,
                               set.members.members_val[i].incarnation);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

static void
replay_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct jc_ledger *ledger = ctx;
  uint64_t counter = record->fence & ((1ULL << LEDGER_FENCE_EPOCH_SHIFT) - 1);

  ledger->sequence = MAX (ledger->sequence, record->sequence);
  ledger->fence_counter = MAX (ledger->fence_counter, counter);
  if (record->state == JC_KEY_HEAD)
    {
      ledger->incarnation = record->changed_ms;
      ledger->disk = (enum disk_state)record->http_status;
    }
  else if (record->state == JC_KEY_SET)
    replay_pending (ledger, record);
  else
    jc_keytable_put (ledger->key_table, record);
}

/* Apply RECORD, read from the disk, to the ledger CTX.  */
enum jc_status
ledger_replay (void *ctx, uint64_t position, struct jc_str record)
{
  (void)position;
  return jc_record_decode (record, replay_record, ctx);
}
