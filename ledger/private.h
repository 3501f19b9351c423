/* What the files of the ledger share; not for others.  */

#ifndef JC_LEDGER_PRIVATE_H
#define JC_LEDGER_PRIVATE_H

#include "base/journal.h"
#include "ledger/ledger.h"

enum
{
  LEDGER_EPOCH_SHIFT = 40,
  LEDGER_RUN_SHIFT = 32
};

/* What the disk is: the ledger that the log's entry names, one that holds
   nothing yet, or one that is whole and was proposed.  */
enum disk_state
{
  DISK_FINAL,
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
  int64_t since_ms;
  bool synced;
  uint64_t acked;
  int64_t transfer_ms;
  int64_t lag_ms;
};

struct jc_ledger
{
  struct jc_ledger_options options;
  const struct jc_ledger_ops *ops;
  void *ctx;
  enum jc_ledger_state state;
  struct jc_journal *journal;
  struct jc_keys *keys;
  GHashTable *granted;
  uint64_t incarnation;
  enum disk_state disk;
  uint64_t sequence;
  uint64_t synced;
  uint64_t fence;
  GByteArray *batch;
  size_t compacted;
  GQueue replies;
  GPtrArray *parked;
  GHashTable *released;
  GHashTable *peers;
  struct rpc_ledger_set set;
  GPtrArray *pending;
  uint64_t pending_revision;
  int64_t proposed_ms;
  int64_t degraded_ms;
  uint64_t transfers;
  GByteArray *pulled;
  guint pull_member;
  int64_t pull_ms;
  int64_t now_ms;
  int64_t wall_ms;
  int64_t served_ms;
  int64_t swept_ms;
  struct jc_ledger_counts counts;
};

void ledger_fail (struct jc_ledger *ledger);
void ledger_drop_calls (struct jc_ledger *ledger);
void ledger_release (struct jc_ledger *ledger);
enum jc_status ledger_pending_save (struct jc_ledger *ledger);
enum jc_status ledger_rewrite (struct jc_ledger *ledger);
void ledger_count_granted (struct jc_ledger *ledger);
uint64_t ledger_committed (const struct jc_ledger *ledger);
bool ledger_covered (const struct jc_ledger *ledger);
struct peer *ledger_peer (const struct jc_ledger *ledger, const char *name);
void ledger_send_batch (struct jc_ledger *ledger);
void ledger_copies_tick (struct jc_ledger *ledger);
void ledger_set_clear (struct jc_ledger *ledger);
void ledger_pending_add (struct jc_ledger *ledger, const char *name,
                         uint64_t incarnation);

#endif
