/* What the files of the ledger share; not for others.  */

#ifndef JC_LEDGER_PRIVATE_H
#define JC_LEDGER_PRIVATE_H

#include "base/journal.h"
#include "ledger/ledger.h"

enum
{
  LEDGER_FENCE_EPOCH_SHIFT = 40,
  LEDGER_SEQUENCE_RUN_SHIFT = 32
};

/* What the disk is: the ledger that the log's entry names, one that holds
   nothing yet, or one that is whole and was proposed.  */
enum disk_state
{
  DISK_CURRENT,
  DISK_EMPTY,
  DISK_PROPOSED
};

/* A process of the group as the ledger knows it.  ACKED is the sequence up
   to which this incarnation holds every record; SYNCED tells that records may
   be sent to it one by one.  */
struct peer
{
  char *name;
  uint64_t incarnation;
  bool connected;
  bool may_copy;
  int64_t conn_changed_ms;
  bool synced;
  uint64_t acked;
  int64_t transfer_started_ms;
  int64_t lag_since_ms;
};

struct jc_ledger
{
  struct jc_ledger_options options;
  const struct jc_ledger_ops *ops;
  void *ctx;
  enum jc_ledger_state state;
  struct jc_journal *journal;
  struct jc_keytable *key_table;
  GHashTable *granted;
  uint64_t incarnation;
  enum disk_state disk;
  uint64_t sequence;
  uint64_t synced_sequence;
  uint64_t fence_counter;
  GByteArray *batch;
  size_t compacted_bytes;
  GQueue replies;
  GPtrArray *waiting_claims;
  GHashTable *released_claims;
  GHashTable *peers;
  struct rpc_ledger_set set;
  GPtrArray *pending_members;
  uint64_t pending_revision;
  int64_t proposed_ms;
  int64_t degraded_since_ms;
  uint64_t transfer_count;
  GByteArray *pulled_records;
  guint pull_member;
  int64_t pull_sent_ms;
  int64_t now_ms;
  int64_t wall_ms;
  int64_t serving_since_ms;
  int64_t last_sweep_ms;
  struct jc_ledger_counts counts;
};

void ledger_fail (struct jc_ledger *ledger);
void ledger_drop_calls (struct jc_ledger *ledger);
void ledger_send_replies (struct jc_ledger *ledger);
enum jc_status ledger_save_pending (struct jc_ledger *ledger);
enum jc_status ledger_rewrite (struct jc_ledger *ledger);
void ledger_index_granted (struct jc_ledger *ledger);
uint64_t ledger_committed_sequence (const struct jc_ledger *ledger);
bool ledger_can_grant (const struct jc_ledger *ledger);
struct peer *ledger_find_peer (const struct jc_ledger *ledger,
                               const char *name);
void ledger_send_batch_to_copies (struct jc_ledger *ledger);
void ledger_copyset_tick (struct jc_ledger *ledger);
void ledger_clear_set (struct jc_ledger *ledger);
void ledger_add_pending_member (struct jc_ledger *ledger, const char *name,
                                uint64_t incarnation);

#endif
