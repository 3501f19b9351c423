/* Log store: one journal with the incarnation of the disk, term and vote, a
   snapshot, the entries after it and the commit index.  */

#include <string.h>

#include "base/journal.h"
#include "conf/rlog.h"
#include "conf/rlogstore.h"
#include "conf/replicas.h"

#define JOURNAL_NAME "log"

enum
{
  /* Data of entries that the snapshot covers and that stay in memory, so that a
     replica that lags a little needs no snapshot.  */
  KEPT_BYTES_MAX = 8 * 1024 * 1024,
  /* Data of entries in memory while a journal is read.  */
  UNLOADED_ABOVE_BYTES = 16 * 1024 * 1024
};

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

/* Return by how many bytes the file has grown since it was last rewritten.  */
size_t
jc_rlogstore_growth (const struct jc_rlogstore *store)
{
  return jc_journal_size (store->journal) - store->rewritten_bytes;
}

uint64_t
jc_rlogstore_last_index (const struct jc_rlogstore *store)
{
  return jc_rlogentries_last_index (&store->entries);
}

/* Return the index of the last entry before those in memory.  */
uint64_t
jc_rlogstore_base_index (const struct jc_rlogstore *store)
{
  return store->entries.base_index;
}

/* Return the entry at INDEX, or NULL if it is not in memory any more or past
   the end.  */
const struct rpc_log_entry *
jc_rlogstore_entry (const struct jc_rlogstore *store, uint64_t index)
{
  return jc_rlogentries_get (&store->entries, index);
}

/* Return the term of the entry at INDEX, or 0 if it is not known.  The term of
   the last entry before those in memory is known.  */
uint64_t
jc_rlogstore_term_at (const struct jc_rlogstore *store, uint64_t index)
{
  const struct rpc_log_entry *entry = jc_rlogstore_entry (store, index);

  if (entry != NULL)
    return entry->term;
  return index == store->entries.base_index ? store->entries.base_term : 0;
}

/* Store ENTRY at INDEX in memory, discarding the entries from INDEX on.
   POSITION is that in the journal if it was read from there.  */
static void
set_entry (struct jc_rlogstore *store, uint64_t index,
           const struct rpc_log_entry *entry, uint64_t position)
{
  jc_rlogentries_put (&store->entries, index, entry, position);
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
replay_entry (struct jc_rlogstore *store, const struct rpc_record_entry *record,
              uint64_t position)
{
  if (record->index <= store->commit_index
      || record->index > jc_rlogstore_last_index (store) + 1)
    return jc_fail (JC_CORRUPT, "The log has a gap at its entry %lu.",
                    (unsigned long)record->index);
  set_entry (store, record->index, &record->entry, position);
  jc_rlogstore_unload (store, record->index - 1);
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
replay_record (struct jc_rlogstore *store, const struct rpc_record *record,
               uint64_t position)
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
      jc_rlogentries_reset (&store->entries, store->snapshot_index,
                            store->snapshot_term);
      store->commit_index = store->snapshot_index;
      return JC_OK;
    case RPC_RECORD_ENTRY:
      return replay_entry (store, &record->rpc_record_u.entry, position);
    default:
      return replay_commit (store, record->rpc_record_u.commit);
    }
}

/* Decode BYTES into RECORD, which the caller frees with XDR.  */
static enum jc_status
record_decode (struct jc_str bytes, struct rpc_record *record)
{
  enum jc_status status = JC_OK;
  XDR xdr;

  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  if (!xdr_rpc_record (&xdr, record))
    status = jc_fail (JC_CORRUPT, "The log has a record that can't be read.");
  xdr_destroy (&xdr);
  return status;
}

static enum jc_status
replay_bytes (void *ctx, uint64_t position, struct jc_str bytes)
{
  struct rpc_record record = { 0 };
  enum jc_status status = record_decode (bytes, &record);

  if (status == JC_OK)
    status = replay_record (ctx, &record, position);
  xdr_free ((xdrproc_t)xdr_rpc_record, (char *)&record);
  return status;
}

/* Read the data of the entry at INDEX, which is after the snapshot, from the
   disk if it was unloaded.  */
enum jc_status
jc_rlogstore_load (struct jc_rlogstore *store, uint64_t index)
{
  struct rpc_record record = { 0 };
  GByteArray *bytes;
  enum jc_status status;

  if (jc_rlogentries_is_loaded (&store->entries, index))
    return JC_OK;
  bytes = g_byte_array_new ();
  status = jc_journal_read (
      store->journal, jc_rlogentries_position (&store->entries, index), bytes);
  if (status == JC_OK)
    status = record_decode (
        (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len },
        &record);
  if (status == JC_OK)
    jc_rlogentries_load (&store->entries, index,
                         &record.rpc_record_u.entry.entry);
  xdr_free ((xdrproc_t)xdr_rpc_record, (char *)&record);
  g_byte_array_free (bytes, TRUE);
  return status;
}

/* Unload data of entries up to INDEX, all of which are in the journal, where
   the entries take too much memory.  */
void
jc_rlogstore_unload (struct jc_rlogstore *store, uint64_t index)
{
  jc_rlogentries_unload (&store->entries, index, JC_RLOG_REPLICAS,
                         UNLOADED_ABOVE_BYTES);
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

/* Rewrite the whole journal, so that nothing depends on an earlier sync that
   may have failed.  All entries after the snapshot must be in memory.  All
   state in memory is durable afterwards.  */
enum jc_status
jc_rlogstore_rewrite (struct jc_rlogstore *store)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (record_bytes_free);
  struct rpc_record commit = { .type = RPC_RECORD_COMMIT };
  enum jc_status status;

  append_record_bytes (list, meta_record (store));
  append_record_bytes (list, hard_record (store));
  if (store->snapshot_index > 0)
    append_record_bytes (list, snapshot_record (store));
  for (uint64_t i = store->snapshot_index + 1;
       i <= jc_rlogstore_last_index (store); i++)
    append_record_bytes (list, entry_record (i, jc_rlogstore_entry (store, i)));
  commit.rpc_record_u.commit = store->commit_index;
  append_record_bytes (list, commit);
  store->dirty = true;
  status = jc_journal_rewrite (store->journal, list);
  g_ptr_array_free (list, TRUE);
  if (status != JC_OK)
    return status;
  store->rewritten_bytes = jc_journal_size (store->journal);
  store->synced_index = jc_rlogstore_last_index (store);
  store->dirty = false;
  return JC_OK;
}

/* Open the store on DISK.  An empty disk gets the incarnation NEW_INCARNATION.
   The caller compacts or rewrites it before it changes it: what was read may
   not be durable.  Return NULL and set STATUS if the store cannot be
   opened.  */
struct jc_rlogstore *
jc_rlogstore_open (struct jc_disk *disk, uint64_t new_incarnation,
                   enum jc_status *status)
{
  struct jc_rlogstore *store = g_new0 (struct jc_rlogstore, 1);

  store->incarnation = new_incarnation;
  store->voted_for = g_strdup ("");
  store->snapshot = g_string_new (NULL);
  jc_rlogentries_init (&store->entries);
  store->journal
      = jc_journal_open (disk, JOURNAL_NAME, replay_bytes, store, status);
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
  jc_rlogentries_clear (&store->entries);
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
  set_entry (store, index, entry, 0);
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

/* Return the status of the disk for a small write, which changes nothing: term
   and vote once more.  */
enum jc_status
jc_rlogstore_check_writable (struct jc_rlogstore *store)
{
  struct rpc_record record = hard_record (store);

  append_record (store, &record);
  return jc_rlogstore_sync (store);
}

/* Replace the entries up to INDEX by SNAPSHOT, which the store takes ownership
   of.  REPLICAS is the replica set as of INDEX.  The last of these entries are
   kept in memory.  */
enum jc_status
jc_rlogstore_compact (struct jc_rlogstore *store, uint64_t index,
                      const struct rpc_replicas *replicas, GString *snapshot)
{
  store->snapshot_term = jc_rlogstore_term_at (store, index);
  store->snapshot_index = index;
  jc_replicas_clear (&store->snapshot_replicas);
  jc_replicas_copy (&store->snapshot_replicas, replicas);
  g_string_free (store->snapshot, TRUE);
  store->snapshot = snapshot;
  jc_rlogentries_trim (&store->entries, index, KEPT_BYTES_MAX);
  return jc_rlogstore_rewrite (store);
}

/* Install the snapshot RECORD of a leader, which is after the commit index.
   Entries after it are kept only if the term of the entry at its index
   matches.  */
enum jc_status
jc_rlogstore_install (struct jc_rlogstore *store,
                      const struct rpc_record_snapshot *record)
{
  if (jc_rlogstore_term_at (store, record->index) == record->term)
    jc_rlogentries_trim (&store->entries, record->index, KEPT_BYTES_MAX);
  else
    jc_rlogentries_reset (&store->entries, record->index, record->term);
  store_set_snapshot (store, record);
  store->commit_index = record->index;
  return jc_rlogstore_rewrite (store);
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
