/* Private interface of the replicated log, shared by the rlog modules
   only.  */

#ifndef JC_RLOGPRIVATE_H
#define JC_RLOGPRIVATE_H

#include "conf/rlog.h"
#include "conf/rlogstore.h"
#include "conf/rlogtransfer.h"
#include "conf/replicas.h"

/* Offset in an install reply of a follower that has the whole snapshot.  */
#define INSTALL_COMPLETE_OFFSET UINT64_MAX

/* The leader's view of one other replica.  INCARNATION is the incarnation of
   the disk that answered last, 0 before the first answer; only replies to
   rounds after INCARNATION_ROUND may change it.  Rejections of rounds up to
   REJECTED_ROUND have been handled already.  NEXT_INDEX is the next entry to
   send, MATCH_INDEX the last entry known to be durable there.  TRANSFER
   and INSTALL_OFFSET are the snapshot being sent, NULL if there is none, and
   the offset of its next chunk, which is not sent again before CHUNK_RESEND_MS.
   SEND_DUE requests a message at the next flush.  */
struct jc_rlog_peer
{
  char *name;
  uint64_t incarnation;
  uint64_t incarnation_round;
  uint64_t next_index;
  uint64_t match_index;
  struct jc_rlog_transfer *transfer;
  uint64_t install_offset;
  uint64_t rejected_round;
  int64_t chunk_resend_ms;
  int64_t last_ack_ms;
  bool send_due;
};

/* A message queued for the next flush.  */
struct jc_rlog_message
{
  char *to;
  struct rpc_body body;
};

struct jc_rlog
{
  const struct jc_rlog_class *klass;
  void *ctx;
  struct jc_rlogstore *store;
  char *name;
  struct jc_rlog_options options;
  uint64_t random_state;
  int64_t now_ms;

  enum jc_rlog_role role;
  char *leader;
  int64_t leader_contact_ms;
  int64_t election_due_ms;
  int64_t heartbeat_due_ms;

  /* The latest replica set of the log and the index of its entry.  */
  struct rpc_replicas replicas;
  uint64_t replicas_index;

  /* TERM_START_INDEX is the first entry of this leader's term; LAST_ROUND is
     the number of the last message that this replica sent as a leader.  */
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t last_round;
  uint64_t term_start_index;
  GPtrArray *peers;
  GPtrArray *votes;
  GQueue proposals;
  size_t proposed_bytes;
  GQueue outbox;

  /* The part received so far of the snapshot that the leader is sending.  */
  GByteArray *install_buffer;
  uint64_t install_index;
  uint64_t install_term;
  /* The transfer that was begun last, or NULL.  */
  struct jc_rlog_transfer *transfer;
  bool flushing;
};

bool jc_rlog_is_voter (const struct jc_rlog *log);
void jc_rlog_set_role (struct jc_rlog *log, enum jc_rlog_role role);
void jc_rlog_queue_message (struct jc_rlog *log, const char *to,
                            const struct rpc_body *body);
void jc_rlog_become_follower (struct jc_rlog *log, uint64_t term,
                              const char *leader);
void jc_rlog_append (struct jc_rlog *log, uint32_t kind, struct jc_str data);
void jc_rlog_reload_replicas (struct jc_rlog *log);

bool jc_rlog_may_change_replicas (const struct jc_rlog *log);
void jc_rlog_propose_replica (struct jc_rlog *log,
                              const struct rpc_replica *replica,
                              jc_rlog_done_fn *done, void *ctx);

void jc_rlog_message_free (gpointer data);
void jc_rlog_fail_proposals (struct jc_rlog *log);
void jc_rlog_set_leader (struct jc_rlog *log, const char *leader);
void jc_rlog_apply_next (struct jc_rlog *log);
enum jc_status jc_rlog_restore_snapshot (struct jc_rlog *log);
enum jc_status jc_rlog_compact (struct jc_rlog *log);

/* Elections.  */
void jc_rlog_reset_election_timer (struct jc_rlog *log);
void jc_rlog_start_pre_vote (struct jc_rlog *log);
void jc_rlog_handle_vote (struct jc_rlog *log, const char *from,
                          const struct rpc_vote *vote);
void jc_rlog_handle_vote_reply (struct jc_rlog *log, const char *from,
                                const struct rpc_vote_reply *reply);

/* Leader.  */
void jc_rlog_become_leader (struct jc_rlog *log);
void jc_rlog_peer_free (gpointer data);
void jc_rlog_sync_peers (struct jc_rlog *log);
void jc_rlog_mark_peers_due (struct jc_rlog *log);
bool jc_rlog_send_to_due_peers (struct jc_rlog *log);
bool jc_rlog_advance_commit (struct jc_rlog *log);
bool jc_rlog_has_quorum (const struct jc_rlog *log);
void jc_rlog_update_replicas (struct jc_rlog *log);
void jc_rlog_handle_append_reply (struct jc_rlog *log, const char *from,
                                  const struct rpc_append_reply *reply);
void jc_rlog_handle_install_reply (struct jc_rlog *log, const char *from,
                                   const struct rpc_install_reply *reply);

/* Transfer of snapshots.  */
void jc_rlog_drop_idle_transfer (struct jc_rlog *log);
void jc_rlog_end_transfer (struct jc_rlog *log, struct jc_rlog_peer *peer);
void jc_rlog_send_snapshot_chunk (struct jc_rlog *log,
                                  struct jc_rlog_peer *peer);

/* Follower.  */
void jc_rlog_handle_append (struct jc_rlog *log, const char *from,
                            const struct rpc_append *append);
void jc_rlog_handle_install (struct jc_rlog *log, const char *from,
                             const struct rpc_install *install);

#endif
