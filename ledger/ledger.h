/* Ledger of a home region: the single authority on which claim may run a
   key.  A deterministic state machine; times are monotonic ms but for wall
   clock ms where a name says so.  */

#ifndef JC_LEDGER_H
#define JC_LEDGER_H

#include "base/disk.h"
#include "ledger/keytable.h"

struct jc_ledger;

enum jc_ledger_state
{
  JC_LEDGER_STARTING,
  JC_LEDGER_RECOVERING,
  JC_LEDGER_REBUILT,
  JC_LEDGER_SERVING,
  JC_LEDGER_FAILED
};

/* What a ledger makes happen.  CALL is what came with the claim or result
   and is given back exactly once, by one of the first three.  */
struct jc_ledger_ops
{
  void (*send_claim_reply) (void *ctx, void *call,
                            const struct rpc_claim_reply *reply);
  void (*send_result_reply) (void *ctx, void *call, enum jc_status status);
  void (*drop_call) (void *ctx, void *call);
  void (*send_copy) (void *ctx, const char *member,
                     const struct rpc_ledger_copy *message);
  void (*propose_set) (void *ctx, const struct rpc_ledger_set *set);
};

/* How a ledger is set up.  INCARNATION is random, for a disk that has none;
   COPIES is how many copies are sought.  */
struct jc_ledger_options
{
  const char *home;
  const char *name;
  uint64_t incarnation;
  unsigned int copies;
  int64_t owner_lost_ms;
  int64_t copy_lost_ms;
  int64_t no_copies_wait_ms;
  int64_t claim_wait_max_ms;
  int64_t answer_keep_ms;
  int64_t key_keep_ms;
  size_t answer_max_bytes;
};

/* Counts since the ledger was opened.  */
struct jc_ledger_counts
{
  uint64_t granted;
  uint64_t repeated;
  uint64_t unknown;
  uint64_t done;
  uint64_t released;
  uint64_t syncs;
};

extern const struct jc_ledger_options jc_ledger_defaults;

struct jc_ledger *jc_ledger_open (struct jc_disk *disk,
                                  const struct jc_ledger_options *options,
                                  const struct jc_ledger_ops *ops, void *ctx,
                                  int64_t now_ms, enum jc_status *status);
void jc_ledger_free (struct jc_ledger *ledger);
void jc_ledger_peer_up (struct jc_ledger *ledger, const char *name,
                        uint64_t incarnation, bool may_copy, int64_t now_ms);
void jc_ledger_peer_down (struct jc_ledger *ledger, const char *name,
                          uint64_t incarnation, int64_t now_ms);
void jc_ledger_handle_claim (struct jc_ledger *ledger,
                             const struct rpc_claim *claim, void *call,
                             int64_t now_ms);
void jc_ledger_handle_result (struct jc_ledger *ledger,
                              const struct rpc_result *result, void *call);
void jc_ledger_handle_copy_reply (struct jc_ledger *ledger, const char *member,
                                  uint64_t incarnation,
                                  const struct rpc_ledger_copy_reply *reply);
void jc_ledger_apply_set (struct jc_ledger *ledger,
                          const struct rpc_ledger_set *set);
void jc_ledger_flush (struct jc_ledger *ledger);
void jc_ledger_tick (struct jc_ledger *ledger, int64_t now_ms, int64_t wall_ms);
void jc_ledger_restore_set (struct jc_ledger *ledger,
                            const struct rpc_ledger_set *set);
enum jc_status jc_ledger_accept_loss (struct jc_ledger *ledger, int64_t now_ms);
enum jc_ledger_state jc_ledger_state (const struct jc_ledger *ledger);
const char *jc_ledger_state_name (enum jc_ledger_state state);
const struct jc_keytable *jc_ledger_keys (const struct jc_ledger *ledger);
const struct jc_ledger_counts *
jc_ledger_counts (const struct jc_ledger *ledger);
guint jc_ledger_count_members (const struct jc_ledger *ledger);
guint jc_ledger_count_synced_members (const struct jc_ledger *ledger);

#endif
