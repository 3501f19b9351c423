/* Log store: one journal with the incarnation of the disk, term and vote, a
   snapshot, the entries after it and the commit index.  */

#include <string.h>

#include "base/journal.h"
#include "conf/rlogstore.h"
#include "conf/replicas.h"

#define JOURNAL_NAME "log"

static void
entry_free (gpointer data)
{
  struct rpc_log_entry *entry = data;

  g_free (entry->data.rpc_bytes_val);
  g_free (entry);
}

static struct rpc_log_entry *
entry_copy (const struct rpc_log_entry *entry)
{
  struct rpc_log_entry *copy = g_memdup2 (entry, sizeof *entry);

  copy->data.rpc_bytes_val
      = g_memdup2 (entry->data.rpc_bytes_val, entry->data.rpc_bytes_len);
  return copy;
}

static GString *
record_encode (struct rpc_record *record)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_record, record);
  GString *out = g_string_sized_new (size + 1);
  XDR xdr;

  g_string_set_size (out, size);
  xdrmem_create (&xdr, out->str, (u_int)size, XDR_ENCODE);
  xdr_rpc_record (&xdr, record);
  xdr_destroy (&xdr);
  return out;
}

/* Append RECORD to the journal.  A write error is kept by the journal and
   returned by the next sync.  */
static void
append_record (struct jc_rlogstore *store, struct rpc_record *record)
{
  GString *bytes = record_encode (record);

  store->dirty = true;
  jc_journal_append (store->journal, jc_str_from_gstring (bytes));
  g_string_free (bytes, TRUE);
}

/* Return the size of the file in bytes.  */
size_t
jc_rlogstore_file_bytes (const struct jc_rlogstore *store)
{
  return jc_journal_size (store->journal);
}

uint64_t
jc_rlogstore_last_index (const struct jc_rlogstore *store)
{
  return store->snapshot_index + store->entries->len;
}

/* Return the entry at INDEX, or NULL if it is compacted or past the end.  */
const struct rpc_log_entry *
jc_rlogstore_entry (const struct jc_rlogstore *store, uint64_t index)
{
  if (index <= store->snapshot_index || index > jc_rlogstore_last_index (store))
    return NULL;
  return g_ptr_array_index (store->entries, index - store->snapshot_index - 1);
}

/* Return the term of the entry at INDEX, or 0 if it is not known.  The term of
   the last compacted entry is known.  */
uint64_t
jc_rlogstore_term_at (const struct jc_rlogstore *store, uint64_t index)
{
  const struct rpc_log_entry *entry = jc_rlogstore_entry (store, index);

  if (entry != NULL)
    return entry->term;
  return index == store->snapshot_index ? store->snapshot_term : 0;
}

/* Free COUNT entries in memory from the one at POSITION of the array on.  */
static void
free_entries (struct jc_rlogstore *store, guint position, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      const struct rpc_log_entry *entry
          = g_ptr_array_index (store->entries, position + i);

      store->entry_bytes -= entry->data.rpc_bytes_len;
    }
  if (count > 0)
    g_ptr_array_remove_range (store->entries, position, count);
}

/* Store ENTRY at INDEX in memory, discarding the entries from INDEX on.  */
static void
set_entry (struct jc_rlogstore *store, uint64_t index,
           const struct rpc_log_entry *entry)
{
  guint position = (guint)(index - store->snapshot_index - 1);

  free_entries (store, position, store->entries->len - position);
  g_ptr_array_add (store->entries, entry_copy (entry));
  store->entry_bytes += entry->data.rpc_bytes_len;
  store->synced_index = MIN (store->synced_index, index - 1);
}

static void
store_set_vote (struct jc_rlogstore *store, const char *vote)
{
  char *copy = g_strdup (vote);

  g_free (store->voted_for);
  store->voted_for = copy;
}

static void
store_set_snapshot (struct jc_rlogstore *store,
                    const struct rpc_record_snapshot *record)
{
  jc_replicas_clear (&store->snapshot_replicas);
  jc_replicas_copy (&store->snapshot_replicas, &record->replicas);
  store->snapshot_index = record->index;
  store->snapshot_term = record->term;
  g_string_truncate (store->snapshot, 0);
  g_string_append_len (store->snapshot, record->data.rpc_bytes_val,
                       record->data.rpc_bytes_len);
}

static enum jc_status
replay_entry (struct jc_rlogstore *store, const struct rpc_record_entry *record)
{
  if (record->index <= store->commit_index
      || record->index > jc_rlogstore_last_index (store) + 1)
    return jc_fail (JC_CORRUPT, "The log has a gap at its entry %lu.",
                    (unsigned long)record->index);
  set_entry (store, record->index, &record->entry);
  return JC_OK;
}

static enum jc_status
replay_commit (struct jc_rlogstore *store, uint64_t commit)
{
  if (commit < store->commit_index || commit > jc_rlogstore_last_index (store))
    return jc_fail (JC_CORRUPT, "The log lacks its committed entry %lu.",
                    (unsigned long)commit);
  store->commit_index = commit;
  return JC_OK;
}

static enum jc_status
replay_record (struct jc_rlogstore *store, const struct rpc_record *record)
{
  switch (record->type)
    {
    case RPC_RECORD_META:
      store->incarnation = record->rpc_record_u.meta.incarnation;
      store->log_id = record->rpc_record_u.meta.log_id;
      return JC_OK;
    case RPC_RECORD_HARD:
      store->term = record->rpc_record_u.hard.term;
      store_set_vote (store, record->rpc_record_u.hard.vote);
      return JC_OK;
    case RPC_RECORD_SNAPSHOT:
      store_set_snapshot (store, &record->rpc_record_u.snapshot);
      store->commit_index = store->snapshot_index;
      return JC_OK;
    case RPC_RECORD_ENTRY:
      return replay_entry (store, &record->rpc_record_u.entry);
    default:
      return replay_commit (store, record->rpc_record_u.commit);
    }
}

static enum jc_status
replay_bytes (void *ctx, struct jc_str bytes)
{
  struct rpc_record record = { 0 };
  enum jc_status status = JC_CORRUPT;
  XDR xdr;

  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  if (xdr_rpc_record (&xdr, &record))
    status = replay_record (ctx, &record);
  else
    jc_fail (JC_CORRUPT, "The log has a record that can't be read.");
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_record, (char *)&record);
  return status;
}

static struct rpc_record
meta_record (const struct jc_rlogstore *store)
{
  struct rpc_record record = { .type = RPC_RECORD_META };

  record.rpc_record_u.meta.incarnation = store->incarnation;
  record.rpc_record_u.meta.log_id = store->log_id;
  return record;
}

static struct rpc_record
hard_record (const struct jc_rlogstore *store)
{
  struct rpc_record record = { .type = RPC_RECORD_HARD };

  record.rpc_record_u.hard.term = store->term;
  record.rpc_record_u.hard.vote = store->voted_for;
  return record;
}

static struct rpc_record
snapshot_record (const struct jc_rlogstore *store)
{
  struct rpc_record record = { .type = RPC_RECORD_SNAPSHOT };
  struct rpc_record_snapshot *snapshot = &record.rpc_record_u.snapshot;

  snapshot->index = store->snapshot_index;
  snapshot->term = store->snapshot_term;
  snapshot->replicas = store->snapshot_replicas;
  snapshot->data.rpc_bytes_val = store->snapshot->str;
  snapshot->data.rpc_bytes_len = (u_int)store->snapshot->len;
  return record;
}

static struct rpc_record
entry_record (uint64_t index, const struct rpc_log_entry *entry)
{
  struct rpc_record record = { .type = RPC_RECORD_ENTRY };

  record.rpc_record_u.entry.index = index;
  record.rpc_record_u.entry.entry = *entry;
  return record;
}

static void
append_record_bytes (GPtrArray *list, struct rpc_record record)
{
  GString *bytes = record_encode (&record);
  struct jc_str *record_bytes = g_new (struct jc_str, 1);

  record_bytes->len = bytes->len;
  record_bytes->data = g_string_free (bytes, FALSE);
  g_ptr_array_add (list, record_bytes);
}

static void
record_bytes_free (gpointer data)
{
  struct jc_str *record_bytes = data;

  g_free ((char *)record_bytes->data);
  g_free (record_bytes);
}

/* Rewrite the whole journal.  All state in memory is durable afterwards.  */
static enum jc_status
store_rewrite (struct jc_rlogstore *store)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (record_bytes_free);
  struct rpc_record commit = { .type = RPC_RECORD_COMMIT };
  enum jc_status status;

  append_record_bytes (list, meta_record (store));
  append_record_bytes (list, hard_record (store));
  if (store->snapshot_index > 0)
    append_record_bytes (list, snapshot_record (store));
  for (guint i = 0; i < store->entries->len; i++)
    append_record_bytes (list,
                         entry_record (store->snapshot_index + i + 1,
                                       g_ptr_array_index (store->entries, i)));
  commit.rpc_record_u.commit = store->commit_index;
  append_record_bytes (list, commit);
  store->dirty = true;
  status = jc_journal_rewrite (store->journal, list);
  g_ptr_array_free (list, TRUE);
  if (status != JC_OK)
    return status;
  store->synced_index = jc_rlogstore_last_index (store);
  store->dirty = false;
  return JC_OK;
}

/* Open the store on DISK.  An empty disk gets the incarnation NEW_INCARNATION.
   The journal is rewritten, so that nothing depends on an earlier sync that
   may have failed.  Return NULL and set STATUS if the store cannot be
   opened.  */
struct jc_rlogstore *
jc_rlogstore_open (struct jc_disk *disk, uint64_t new_incarnation,
                   enum jc_status *status)
{
  struct jc_rlogstore *store = g_new0 (struct jc_rlogstore, 1);

  store->incarnation = new_incarnation;
  store->voted_for = g_strdup ("");
  store->snapshot = g_string_new (NULL);
  store->entries = g_ptr_array_new_with_free_func (entry_free);
  store->journal
      = jc_journal_open (disk, JOURNAL_NAME, replay_bytes, store, status);
  if (*status == JC_OK)
    *status = store_rewrite (store);
  if (*status == JC_OK)
    return store;
  jc_rlogstore_free (store);
  return NULL;
}

/* Free STORE; its files are kept.  */
void
jc_rlogstore_free (struct jc_rlogstore *store)
{
  jc_journal_free (store->journal);
  jc_replicas_clear (&store->snapshot_replicas);
  g_string_free (store->snapshot, TRUE);
  g_ptr_array_free (store->entries, TRUE);
  g_free (store->voted_for);
  g_free (store);
}

/* Record that STORE belongs to the log LOG_ID.  */
void
jc_rlogstore_set_log_id (struct jc_rlogstore *store, uint64_t log_id)
{
  struct rpc_record record;

  store->log_id = log_id;
  record = meta_record (store);
  append_record (store, &record);
}

/* Set the current TERM and the candidate voted for in it, "" for none.  */
void
jc_rlogstore_set_hard_state (struct jc_rlogstore *store, uint64_t term,
                             const char *vote)
{
  struct rpc_record record;

  store->term = term;
  store_set_vote (store, vote);
  record = hard_record (store);
  append_record (store, &record);
}

/* Store a copy of ENTRY at INDEX, discarding the entries from INDEX on.  INDEX
   must be after the commit index and at most one past the last entry.  */
void
jc_rlogstore_put_entry (struct jc_rlogstore *store, uint64_t index,
                        const struct rpc_log_entry *entry)
{
  struct rpc_record record = entry_record (index, entry);

  append_record (store, &record);
  set_entry (store, index, entry);
}

/* Set the commit index to COMMIT, which is not below the current one.  */
void
jc_rlogstore_set_commit_index (struct jc_rlogstore *store, uint64_t commit)
{
  struct rpc_record record = { .type = RPC_RECORD_COMMIT };

  store->commit_index = commit;
  record.rpc_record_u.commit = commit;
  append_record (store, &record);
}

/* Make all changes so far durable.  On failure return the status of the
   journal.  */
enum jc_status
jc_rlogstore_sync (struct jc_rlogstore *store)
{
  enum jc_status status = jc_journal_sync (store->journal);

  if (status != JC_OK)
    return status;
  store->synced_index = jc_rlogstore_last_index (store);
  store->dirty = false;
  return JC_OK;
}

/* Replace the entries up to INDEX by SNAPSHOT, which the store takes ownership
   of.  REPLICAS is the replica set as of INDEX.  */
enum jc_status
jc_rlogstore_compact (struct jc_rlogstore *store, uint64_t index,
                      const struct rpc_replicas *replicas, GString *snapshot)
{
  uint64_t term = jc_rlogstore_term_at (store, index);

  free_entries (store, 0, (guint)(index - store->snapshot_index));
  jc_replicas_clear (&store->snapshot_replicas);
  jc_replicas_copy (&store->snapshot_replicas, replicas);
  g_string_free (store->snapshot, TRUE);
  store->snapshot = snapshot;
  store->snapshot_index = index;
  store->snapshot_term = term;
  return store_rewrite (store);
}

/* Install the snapshot RECORD of a leader, which is after the commit index.
   Entries after it are kept only if the term of the entry at its index
   matches.  */
enum jc_status
jc_rlogstore_install (struct jc_rlogstore *store,
                      const struct rpc_record_snapshot *record)
{
  if (jc_rlogstore_term_at (store, record->index) == record->term)
    free_entries (store, 0, (guint)(record->index - store->snapshot_index));
  else
    free_entries (store, 0, store->entries->len);
  store_set_snapshot (store, record);
  store->commit_index = record->index;
  return store_rewrite (store);
}

/* Append the snapshot to OUT in the encoding that a leader sends.  */
void
jc_rlogstore_encode_snapshot (const struct jc_rlogstore *store, GString *out)
{
  struct rpc_record record = snapshot_record (store);
  GString *bytes = record_encode (&record);

  g_string_append_len (out, bytes->str, (gssize)bytes->len);
  g_string_free (bytes, TRUE);
}
