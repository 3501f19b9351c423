/* Ledger of a home region: it alone decides which claim may run a request
   with an idempotency key.  A deterministic state machine; times are
   monotonic ms except for those named wall_ms, which are wall clock ms.  */

#ifndef JC_LEDGER_H
#define JC_LEDGER_H

#include "base/disk.h"
#include "ledger/keytable.h"

struct jc_ledger;

/* STARTING: the replicated log names no ledger yet.  RECOVERING: it names
   another disk, so the records are pulled from the copies.  REBUILT: they were
   pulled and this disk is proposed as the ledger.  SERVING: claims are
   decided.  FAILED: the disk returned an error.  */
enum jc_ledger_state
{
  JC_LEDGER_STARTING,
  JC_LEDGER_RECOVERING,
  JC_LEDGER_REBUILT,
  JC_LEDGER_SERVING,
  JC_LEDGER_FAILED
};

/* Callbacks of a ledger.  CALL is the argument that came with the claim or the
   result; it is passed back exactly once, to one of the first three.
   drop_call means that no reply is sent.  send_copy sends MESSAGE to the
   instance MEMBER, and propose_set proposes SET to the replicated log.  */
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

/* Options of a ledger.  HOME is the home region and NAME this instance.
   INCARNATION is a random number for a disk that has none yet.  COPIES is the
   number of members that the copy set should have.  An owner that is
   disconnected for OWNER_LOST_MS is lost and the outcome of its runs unknown.
   A member that is not synced for COPY_LOST_MS is removed from the copy set.
   A ledger without members grants nothing in its first NO_COPIES_WAIT_MS.  A
   claim waits for a key at most CLAIM_WAIT_MAX_MS.  Answers of more than
   ANSWER_MAX_BYTES are not kept.  */
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

/* Counts since the ledger was opened: grants, claims of a key that is not
   free, keys whose outcome became unknown, recorded answers, claims released
   without a run, and syncs of the journal by a flush.  */
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
