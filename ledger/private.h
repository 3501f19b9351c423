/* Structures and functions shared by ledger.c, ledgerclaims.c, ledgerfile.c,
   copyset.c and copytransfers.c only.  */

#ifndef JC_LEDGER_PRIVATE_H
#define JC_LEDGER_PRIVATE_H

#include "base/journal.h"
#include "ledger/ledger.h"

/* A fence has the epoch of the copy set in the bits from
   LEDGER_FENCE_EPOCH_SHIFT up and a counter below.  Sequence numbers continue
   at the next multiple of 1 << LEDGER_SEQUENCE_RUN_SHIFT whenever the disk is
   opened or rebuilt, so that a record is never numbered like one that was
   sent to copies but lost before its sync.  */
enum
{
  LEDGER_FENCE_EPOCH_SHIFT = 40,
  LEDGER_SEQUENCE_RUN_SHIFT = 32
};

/* State of the local disk: the replicated log names it as the ledger, it is
   new or has to be rebuilt, or it is complete and was proposed as the ledger.
   The values are stored in the head record.  */
enum disk_state
{
  DISK_CURRENT,
  DISK_EMPTY,
  DISK_PROPOSED
};

/* An instance that is or was connected.  This incarnation of it holds every
   record up to the sequence ACKED; while SYNCED is set it needs new records
   only, no full transfer.  CONN_CHANGED_MS is when it connected or
   disconnected.  TRANSFER_STARTED_MS is 0 if no transfer is under way, and
   LAG_SINCE_MS is 0 if no acknowledgement is missing.  */
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

/* The ledger.  GRANTED is the set of keys in JC_KEY_GRANTED.  Records up to
   SYNCED_SEQUENCE are synced to the disk; BATCH has the encoded records since
   the last flush.  RELEASED_CLAIMS maps the id of a claim that was released
   without a run to the time until which it is refused.  SET is the copy set in
   force; PENDING_MEMBERS are those of proposals that build on PENDING_REVISION
   and may have been committed.  DEGRADED_SINCE_MS is 0 while all members are
   synced.  PULLED_RECORDS and PULL_MEMBER, an index into SET, belong to the
   rebuild of an empty disk; PULL_SENT_MS is 0 before the first pull from a
   member.  */
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

/* In ledgerclaims.c.  */
void ledger_waiting_claim_free (gpointer data);
void ledger_drop_calls (struct jc_ledger *ledger);
void ledger_send_replies (struct jc_ledger *ledger);
void ledger_retry_waiting_claims (struct jc_ledger *ledger,
                                  const unsigned char *id);
void ledger_expire_released_claims (struct jc_ledger *ledger);
void ledger_expire_waiting_claims (struct jc_ledger *ledger);
void ledger_set_key_state (struct jc_ledger *ledger, struct jc_key *key,
                           enum jc_key_state state);

/* In ledgerfile.c.  */
struct jc_str ledger_bytes_str (GBytes *bytes);
enum jc_status ledger_save_pending (struct jc_ledger *ledger);
enum jc_status ledger_rewrite (struct jc_ledger *ledger);
void ledger_write_key (struct jc_ledger *ledger, struct jc_key *key);
enum jc_status ledger_replay (void *ctx, uint64_t position,
                              struct jc_str record);

/* In ledger.c.  */
void ledger_fail (struct jc_ledger *ledger);
void ledger_index_granted (struct jc_ledger *ledger);

/* In copyset.c.  */
uint64_t ledger_committed_sequence (const struct jc_ledger *ledger);
bool ledger_can_grant (const struct jc_ledger *ledger);
struct peer *ledger_find_peer (const struct jc_ledger *ledger,
                               const char *name);
const struct peer *
ledger_find_member_peer (const struct jc_ledger *ledger,
                         const struct rpc_ledger_member *member);
bool ledger_is_member (const struct jc_ledger *ledger, const struct peer *peer);
GList *ledger_list_copy_candidates (const struct jc_ledger *ledger);
void ledger_propose_this_disk (struct jc_ledger *ledger, bool with_members);
void ledger_copyset_tick (struct jc_ledger *ledger);
void ledger_clear_set (struct jc_ledger *ledger);
void ledger_add_pending_member (struct jc_ledger *ledger, const char *name,
                                uint64_t incarnation);

/* In copytransfers.c.  */
void ledger_send_batch_to_copies (struct jc_ledger *ledger);
void ledger_start_due_transfers (struct jc_ledger *ledger);
void ledger_tick_recovering (struct jc_ledger *ledger);

#endif
