/* Inside of the replicated log, shared by its modules only.  */

#ifndef JC_RLOGCORE_H
#define JC_RLOGCORE_H

#include "conf/rlog.h"
#include "conf/rlogstore.h"
#include "conf/replicas.h"

/* Offset by which a follower says that it holds the whole snapshot.  */
#define INSTALLED_OFFSET UINT64_MAX

/* What the leader knows of one other replica.  INCARNATION is the disk that
   answered last; only answers to rounds after BOUND_ROUND may change it.
   Refusals of rounds up to RETRY_ROUND are dealt with.  The part of the
   snapshot under way is not sent again before CHUNK_UNTIL_MS.
   DUE asks for a message at the next flush.  */
struct jc_rlog_peer
{
  char *name;
  uint64_t incarnation;
  uint64_t bound_round;
  uint64_t next;
  uint64_t match;
  uint64_t install_index;
  uint64_t install_offset;
  uint64_t retry_round;
  int64_t chunk_until_ms;
  int64_t acked_ms;
  bool due;
};

struct jc_rlog
{
  const struct jc_rlog_class *klass;
  void *ctx;
  struct jc_rlogstore *store;
  char *name;
  struct jc_rlog_options options;
  uint64_t random;
  int64_t now_ms;

  enum jc_rlog_role role;
  char *leader;
  int64_t leader_heard_ms;
  int64_t election_at_ms;
  int64_t beat_at_ms;

  /* Latest replicas of the log and the index of their entry.  */
  struct rpc_replicas replicas;
  uint64_t replicas_index;

  uint64_t commit;
  uint64_t applied;
  uint64_t round;
  uint64_t term_start;
  GPtrArray *peers;
  GPtrArray *votes;
  GQueue pending;
  GQueue outbox;

  GByteArray *install;
  uint64_t install_index;
  uint64_t install_term;
  GString *snapshot_message;
  bool flushing;
};

bool jc_rlog_is_voter (const struct jc_rlog *log);
void jc_rlog_set_role (struct jc_rlog *log, enum jc_rlog_role role);
void jc_rlog_post (struct jc_rlog *log, const char *to,
                   const struct rpc_body *body);
void jc_rlog_follow (struct jc_rlog *log, uint64_t term, const char *leader);
void jc_rlog_append (struct jc_rlog *log, uint32_t kind, struct jc_str data);
void jc_rlog_learn_replicas (struct jc_rlog *log);

bool jc_rlog_may_change (const struct jc_rlog *log);
void jc_rlog_put (struct jc_rlog *log, const struct rpc_replica *replica,
                  jc_rlog_done_fn *done, void *ctx);

/* Elections.  */
void jc_rlog_arm_election (struct jc_rlog *log);
void jc_rlog_campaign (struct jc_rlog *log);
void jc_rlog_take_vote (struct jc_rlog *log, const char *from,
                        const struct rpc_vote *vote);
void jc_rlog_take_vote_reply (struct jc_rlog *log, const char *from,
                              const struct rpc_vote_reply *reply);

/* Leader.  */
void jc_rlog_lead (struct jc_rlog *log);
void jc_rlog_peer_free (gpointer data);
void jc_rlog_sync_peers (struct jc_rlog *log);
void jc_rlog_set_due (struct jc_rlog *log);
bool jc_rlog_send_due (struct jc_rlog *log);
bool jc_rlog_advance_commit (struct jc_rlog *log);
bool jc_rlog_has_quorum (const struct jc_rlog *log);
void jc_rlog_tend_replicas (struct jc_rlog *log);
void jc_rlog_take_append_reply (struct jc_rlog *log, const char *from,
                                const struct rpc_append_reply *reply);
void jc_rlog_take_install_reply (struct jc_rlog *log, const char *from,
                                 const struct rpc_install_reply *reply);

/* Follower.  */
void jc_rlog_take_append (struct jc_rlog *log, const char *from,
                          const struct rpc_append *append);
void jc_rlog_take_install (struct jc_rlog *log, const char *from,
                           const struct rpc_install *install);

#endif
