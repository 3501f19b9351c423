/* Replicated log: Raft-style consensus on one ordered sequence of entries,
   each replica with its own disk.  A replica is a deterministic state machine:
   messages, ticks and proposals are its input, each with the current time, and
   jc_rlog_flush writes to disk, sends messages and applies committed
   entries.  */

#ifndef JC_RLOG_H
#define JC_RLOG_H

#include <stdint.h>

#include "base/disk.h"
#include "schema/gen/messages.h"

struct jc_rlog;

/* Entry kinds that the log itself interprets.  All other values are for its
   user.  */
enum jc_rlog_entry_kind
{
  JC_RLOG_NOOP = 0,
  JC_RLOG_REPLICAS = 2
};

enum jc_rlog_role
{
  JC_RLOG_FOLLOWER,
  JC_RLOG_PRE_CANDIDATE,
  JC_RLOG_CANDIDATE,
  JC_RLOG_LEADER,
  JC_RLOG_FAILED
};

/* Callbacks to the user of a log.  SEND transmits BODY to the replica TO;
   delivery is not guaranteed.  RESET replaces the applied state by that before
   the first entry; it is called when a log is opened, before all others, and
   may be NULL where that state is the one at hand.  RESTORE replaces the
   applied state by SNAPSHOT, which covers the entries up to INDEX; if it fails,
   the log is not used any more, so that what is on the disk stays.  APPLY is
   called for each committed entry in order, once its commit index is durable on
   this replica.  SNAPSHOT appends the serialized applied state to OUT.
   ROLE_CHANGED reports the new role of this replica.  */
struct jc_rlog_class
{
  void (*send) (void *ctx, const char *to, const struct rpc_body *body);
  void (*reset) (void *ctx);
  enum jc_status (*restore) (void *ctx, uint64_t index, struct jc_str snapshot);
  void (*apply) (void *ctx, uint64_t index, uint32_t kind, struct jc_str data);
  void (*snapshot) (void *ctx, GString *out);
  void (*role_changed) (void *ctx, enum jc_rlog_role role);
};

/* Receives the outcome of a proposal: JC_OK right after its entry was applied,
   JC_NOT_LEADER or JC_OVERLOADED if it is certainly not in the log,
   JC_OUTCOME_UNKNOWN otherwise.  A change of replicas may also be refused with
   JC_NOT_FOUND or JC_BAD_REQUEST.  */
typedef void jc_rlog_done_fn (void *ctx, enum jc_status status);

/* Options of jc_rlog_open.  SEED seeds the election timeouts; NEW_INCARNATION
   becomes the incarnation of the disk if the disk is empty.  An election
   starts after a random time from ELECTION_MS to twice that without a leader.
   The log is compacted when it is opened, and once SNAPSHOT_ENTRIES entries
   were applied since the last snapshot or the file has grown by some megabytes;
   a snapshot is sent in chunks of at most
   SNAPSHOT_CHUNK_BYTES.  */
struct jc_rlog_options
{
  const char *name;
  uint64_t seed;
  uint64_t new_incarnation;
  int64_t election_ms;
  int64_t heartbeat_ms;
  uint64_t snapshot_entries;
  size_t snapshot_chunk_bytes;
};

/* What a log takes, in bytes: its file, and in memory its snapshot and its
   ENTRIES entries.  */
struct jc_rlog_usage
{
  size_t file_bytes;
  size_t snapshot_bytes;
  size_t entry_bytes;
  unsigned int entries;
};

struct jc_rlog *jc_rlog_open (struct jc_disk *disk,
                              const struct jc_rlog_options *options,
                              const struct jc_rlog_class *klass, void *ctx,
                              int64_t now_ms, enum jc_status *status);
void jc_rlog_free (struct jc_rlog *log);
enum jc_status jc_rlog_bootstrap (struct jc_rlog *log, uint64_t log_id,
                                  const struct rpc_replicas *others);
void jc_rlog_receive (struct jc_rlog *log, const char *from,
                      const struct rpc_body *body, int64_t now_ms);
void jc_rlog_tick (struct jc_rlog *log, int64_t now_ms);
void jc_rlog_propose (struct jc_rlog *log, uint32_t kind, struct jc_str data,
                      jc_rlog_done_fn *done, void *ctx);
void jc_rlog_put_replica (struct jc_rlog *log, const char *name, bool standing,
                          jc_rlog_done_fn *done, void *ctx);
void jc_rlog_remove_replica (struct jc_rlog *log, const char *name,
                             jc_rlog_done_fn *done, void *ctx);
void jc_rlog_flush (struct jc_rlog *log, int64_t now_ms);

enum jc_rlog_role jc_rlog_role (const struct jc_rlog *log);
const char *jc_rlog_role_name (enum jc_rlog_role role);
const char *jc_rlog_leader (const struct jc_rlog *log);
bool jc_rlog_is_initialized (const struct jc_rlog *log);
uint64_t jc_rlog_term (const struct jc_rlog *log);
uint64_t jc_rlog_applied_index (const struct jc_rlog *log);
uint64_t jc_rlog_last_index (const struct jc_rlog *log);
uint64_t jc_rlog_snapshot_index (const struct jc_rlog *log);
struct jc_rlog_usage jc_rlog_usage (const struct jc_rlog *log);
uint64_t jc_rlog_incarnation (const struct jc_rlog *log);
int64_t jc_rlog_silent_ms (const struct jc_rlog *log, const char *name,
                           int64_t now_ms);
bool jc_rlog_caught_up (const struct jc_rlog *log, const char *name);
const struct rpc_replicas *jc_rlog_replicas (const struct jc_rlog *log);

#endif
