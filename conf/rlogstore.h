/* Log store: the durable state of one replica of the log, kept on its
   disk.  */

#ifndef JC_RLOGSTORE_H
#define JC_RLOGSTORE_H

#include "base/disk.h"
#include "conf/rlogentries.h"

struct jc_journal;

/* The durable state of a replica and its copy in memory.  ENTRIES are those
   after the snapshot, and before them the last of those that it covers, which
   are kept for replicas that lag and not in the journal any more.  VOTED_FOR is
   the candidate voted for in TERM, "" for none.  Changes are durable once
   jc_rlogstore_sync succeeds: SYNCED_INDEX is the last durable entry, and DIRTY
   is set while there are unsynced changes.  REWRITTEN_BYTES is the size of the
   journal after it was last rewritten.  */
struct jc_rlogstore
{
  struct jc_journal *journal;
  uint64_t incarnation;
  uint64_t log_id;
  uint64_t term;
  char *voted_for;
  uint64_t commit_index;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  struct rpc_replicas snapshot_replicas;
  GString *snapshot;
  struct jc_rlogentries entries;
  size_t rewritten_bytes;
  uint64_t synced_index;
  bool dirty;
};

struct jc_rlogstore *jc_rlogstore_open (struct jc_disk *disk,
                                        uint64_t new_incarnation,
                                        enum jc_status *status);
void jc_rlogstore_free (struct jc_rlogstore *store);
size_t jc_rlogstore_file_bytes (const struct jc_rlogstore *store);
size_t jc_rlogstore_growth (const struct jc_rlogstore *store);
enum jc_status jc_rlogstore_load (struct jc_rlogstore *store, uint64_t index);
void jc_rlogstore_unload (struct jc_rlogstore *store, uint64_t index);
uint64_t jc_rlogstore_base_index (const struct jc_rlogstore *store);
uint64_t jc_rlogstore_last_index (const struct jc_rlogstore *store);
uint64_t jc_rlogstore_term_at (const struct jc_rlogstore *store,
                               uint64_t index);
const struct rpc_log_entry *
jc_rlogstore_entry (const struct jc_rlogstore *store, uint64_t index);
void jc_rlogstore_set_log_id (struct jc_rlogstore *store, uint64_t log_id);
void jc_rlogstore_set_hard_state (struct jc_rlogstore *store, uint64_t term,
                                  const char *vote);
void jc_rlogstore_put_entry (struct jc_rlogstore *store, uint64_t index,
                             const struct rpc_log_entry *entry);
void jc_rlogstore_set_commit_index (struct jc_rlogstore *store,
                                    uint64_t commit);
enum jc_status jc_rlogstore_check_writable (struct jc_rlogstore *store);
enum jc_status jc_rlogstore_rewrite (struct jc_rlogstore *store);
enum jc_status jc_rlogstore_sync (struct jc_rlogstore *store);
enum jc_status jc_rlogstore_compact (struct jc_rlogstore *store, uint64_t index,
                                     const struct rpc_replicas *replicas,
                                     GString *snapshot);
enum jc_status jc_rlogstore_install (struct jc_rlogstore *store,
                                     const struct rpc_record_snapshot *record);
void jc_rlogstore_encode_snapshot (const struct jc_rlogstore *store,
                                   GString *out);

#endif
