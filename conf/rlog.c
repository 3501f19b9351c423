/* Replicated log: opening, proposals, changes of the replica set, and the
   flush that makes state durable before any message that depends on it is
   sent.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

enum
{
  UNCOMMITTED_ENTRIES_MAX = 4096
};

/* A proposal of this replica that is in its log and not yet applied.  */
struct proposal
{
  uint64_t index;
  jc_rlog_done_fn *done;
  void *ctx;
};

/* A message queued for the next flush.  */
struct outgoing_message
{
  char *to;
  struct rpc_body body;
};

static void
outgoing_message_free (gpointer data)
{
  struct outgoing_message *message = data;

  g_free (message->to);
  g_free (message);
}

/* Return the name of ROLE, as metrics, status output and events show it.  */
const char *
jc_rlog_role_name (enum jc_rlog_role role)
{
  static const char *const names[]
      = { [JC_RLOG_FOLLOWER] = "follower",
          [JC_RLOG_PRE_CANDIDATE] = "pre-candidate",
          [JC_RLOG_CANDIDATE] = "candidate",
          [JC_RLOG_LEADER] = "leader",
          [JC_RLOG_FAILED] = "failed" };

  return names[role];
}

/* Return whether this replica is a voter.  After its disk was replaced it is
   not one until the new disk is promoted.  */
bool
jc_rlog_is_voter (const struct jc_rlog *log)
{
  const struct rpc_replica *self = jc_replicas_find (&log->replicas, log->name);

  return self != NULL && self->voter
         && self->incarnation == log->store->incarnation;
}

/* Set the role to ROLE and call the role_changed callback if it is new.  */
void
jc_rlog_set_role (struct jc_rlog *log, enum jc_rlog_role role)
{
  if (log->role == role)
    return;
  log->role = role;
  log->klass->role_changed (log->ctx, role);
}

/* Queue BODY for the replica TO until the next flush.  BODY is copied
   shallowly, so it must not contain pointers.  */
void
jc_rlog_queue_message (struct jc_rlog *log, const char *to,
                       const struct rpc_body *body)
{
  struct outgoing_message *message = g_new0 (struct outgoing_message, 1);

  message->to = g_strdup (to);
  message->body = *body;
  g_queue_push_tail (&log->outbox, message);
}

static void
fail_proposals (struct jc_rlog *log)
{
  struct proposal *proposal;

  while ((proposal = g_queue_pop_head (&log->proposals)) != NULL)
    {
      proposal->done (proposal->ctx, JC_OUTCOME_UNKNOWN);
      g_free (proposal);
    }
}

static void
set_leader (struct jc_rlog *log, const char *leader)
{
  char *copy = g_strdup (leader);

  g_free (log->leader);
  log->leader = copy;
}

/* Become a follower in TERM.  LEADER is the leader of the term, "" if it is
   not known.  Pending proposals of a leader that steps down end with
   JC_OUTCOME_UNKNOWN.  */
void
jc_rlog_become_follower (struct jc_rlog *log, uint64_t term, const char *leader)
{
  bool was_leader = log->role == JC_RLOG_LEADER;

  if (term > log->store->term)
    jc_rlogstore_set_hard_state (log->store, term, "");
  set_leader (log, leader);
  if (leader[0] != '\0')
    log->leader_contact_ms = log->now_ms;
  if (was_leader || log->role != JC_RLOG_FOLLOWER || leader[0] != '\0')
    jc_rlog_reset_election_timer (log);
  g_ptr_array_set_size (log->votes, 0);
  g_ptr_array_set_size (log->peers, 0);
  jc_rlog_set_role (log, JC_RLOG_FOLLOWER);
  if (was_leader)
    fail_proposals (log);
}

/* Reload the replica set from the last JC_RLOG_REPLICAS entry of the log,
   committed or not, or from the snapshot if the log has none.  */
void
jc_rlog_reload_replicas (struct jc_rlog *log)
{
  const struct jc_rlogstore *store = log->store;
  uint64_t index = jc_rlogstore_last_index (store);
  const struct rpc_log_entry *entry = NULL;

  for (; index > store->snapshot_index; index--)
    {
      entry = jc_rlogstore_entry (store, index);
      if (entry->kind == JC_RLOG_REPLICAS)
        break;
    }
  jc_replicas_clear (&log->replicas);
  log->replicas_index = index;
  if (index > store->snapshot_index)
    jc_replicas_decode ((struct jc_str){ .data = entry->data.rpc_bytes_val,
                                         .len = entry->data.rpc_bytes_len },
                        &log->replicas);
  else
    jc_replicas_copy (&log->replicas, &store->snapshot_replicas);
}

/* Append an entry of KIND with DATA in the current term.  Only a leader or the
   replica that bootstraps the log may do so.  */
void
jc_rlog_append (struct jc_rlog *log, uint32_t kind, struct jc_str data)
{
  struct rpc_log_entry entry = { .term = log->store->term,
                                 .kind = kind,
                                 .data = { .rpc_bytes_val = (char *)data.data,
                                           .rpc_bytes_len = (u_int)data.len } };

  jc_rlogstore_put_entry (log->store, jc_rlogstore_last_index (log->store) + 1,
                          &entry);
  if (kind != JC_RLOG_REPLICAS)
    return;
  jc_rlog_reload_replicas (log);
  if (log->role == JC_RLOG_LEADER)
    jc_rlog_sync_peers (log);
}

static void
apply_next (struct jc_rlog *log)
{
  uint64_t index = log->applied_index + 1;
  const struct rpc_log_entry *entry = jc_rlogstore_entry (log->store, index);
  struct jc_str data
      = { .data = entry->data.rpc_bytes_val, .len = entry->data.rpc_bytes_len };
  struct proposal *proposal = g_queue_peek_head (&log->proposals);

  log->applied_index = index;
  log->klass->apply (log->ctx, index, entry->kind, data);
  if (proposal == NULL || proposal->index != index)
    return;
  g_queue_pop_head (&log->proposals);
  proposal->done (proposal->ctx, JC_OK);
  g_free (proposal);
}

static void
restore_snapshot (struct jc_rlog *log)
{
  log->applied_index = log->store->snapshot_index;
  log->klass->restore (log->ctx, log->applied_index,
                       jc_str_from_gstring (log->store->snapshot));
}

/* Open the log on DISK with OPTIONS.  The applied state is passed to the
   callbacks of KLASS, called with CTX, before this returns.  Return NULL and
   set STATUS if the disk fails or its data is corrupt.  */
struct jc_rlog *
jc_rlog_open (struct jc_disk *disk, const struct jc_rlog_options *options,
              const struct jc_rlog_class *klass, void *ctx, int64_t now_ms,
              enum jc_status *status)
{
  struct jc_rlogstore *store
      = jc_rlogstore_open (disk, options->new_incarnation, status);
  struct jc_rlog *log;

  if (store == NULL)
    return NULL;
  log = g_new0 (struct jc_rlog, 1);
  log->klass = klass;
  log->ctx = ctx;
  log->store = store;
  log->name = g_strdup (options->name);
  log->options = *options;
  log->options.name = log->name;
  log->random_state = options->seed;
  log->now_ms = now_ms;
  log->leader = g_strdup ("");
  log->leader_contact_ms = now_ms - options->election_ms;
  log->peers = g_ptr_array_new_with_free_func (jc_rlog_peer_free);
  log->votes = g_ptr_array_new_with_free_func (g_free);
  log->install_buffer = g_byte_array_new ();
  log->encoded_snapshot = g_string_new (NULL);
  g_queue_init (&log->proposals);
  g_queue_init (&log->outbox);
  jc_rlog_reload_replicas (log);
  jc_rlog_reset_election_timer (log);
  log->commit_index = store->commit_index;
  if (klass->reset != NULL)
    klass->reset (ctx);
  if (store->snapshot_index > 0)
    restore_snapshot (log);
  while (log->applied_index < log->commit_index)
    apply_next (log);
  return log;
}

/* Free LOG; NULL is allowed.  Pending proposals end with
   JC_OUTCOME_UNKNOWN.  */
void
jc_rlog_free (struct jc_rlog *log)
{
  if (log == NULL)
    return;
  fail_proposals (log);
  g_queue_clear_full (&log->outbox, outgoing_message_free);
  jc_replicas_clear (&log->replicas);
  jc_rlogstore_free (log->store);
  g_ptr_array_free (log->peers, TRUE);
  g_ptr_array_free (log->votes, TRUE);
  g_byte_array_free (log->install_buffer, TRUE);
  g_string_free (log->encoded_snapshot, TRUE);
  g_free (log->leader);
  g_free (log->name);
  g_free (log);
}

/* Create the log LOG_ID with this replica as its only voter.  OTHERS are added
   without a vote; each is bound to its disk at its first answer and promoted
   if it is designated as a voter.  Fail with JC_USAGE if the disk holds a log
   already, or with the status of the disk.  */
enum jc_status
jc_rlog_bootstrap (struct jc_rlog *log, uint64_t log_id,
                   const struct rpc_replicas *others)
{
  struct rpc_replica self = { .name = log->name,
                              .incarnation = log->store->incarnation,
                              .standing = true,
                              .voter = true };
  struct rpc_replicas all;
  GString *data;

  if (jc_rlog_is_initialized (log))
    return jc_fail (JC_USAGE, "The data folder holds a log already.");
  jc_replicas_copy (&all, others);
  jc_replicas_put (&all, &self);
  data = g_string_new (NULL);
  jc_replicas_encode (&all, data);
  jc_rlogstore_set_log_id (log->store, log_id);
  jc_rlogstore_set_hard_state (log->store, 1, "");
  jc_rlog_append (log, JC_RLOG_REPLICAS, jc_str_from_gstring (data));
  jc_replicas_clear (&all);
  g_string_free (data, TRUE);
  return jc_rlogstore_sync (log->store);
}

static bool
check_log_id (struct jc_rlog *log, const char *from, uint64_t log_id)
{
  if (log->store->log_id == log_id)
    return true;
  if (log->store->log_id != 0)
    jc_warn (LOG_COMPONENT,
             "Ignored a message from %s, which belongs to a different log.",
             from);
  return false;
}

/* Check LOG_ID like check_log_id, but let an empty disk adopt it.  Only a
   leader that has this replica in its set sends it entries, so an empty disk
   joins the log of the first leader that does.  */
static bool
adopt_log_id (struct jc_rlog *log, const char *from, uint64_t log_id)
{
  if (log->store->log_id == 0 && log_id != 0)
    jc_rlogstore_set_log_id (log->store, log_id);
  return check_log_id (log, from, log_id);
}

/* Process the message BODY of the replica FROM.  Messages of other types than
   those of the log are ignored.  */
void
jc_rlog_receive (struct jc_rlog *log, const char *from,
                 const struct rpc_body *body, int64_t now_ms)
{
  log->now_ms = now_ms;
  if (log->role == JC_RLOG_FAILED)
    return;
  switch (body->type)
    {
    case RPC_VOTE:
      if (check_log_id (log, from, body->rpc_body_u.vote.log_id))
        jc_rlog_handle_vote (log, from, &body->rpc_body_u.vote);
      break;
    case RPC_VOTE_REPLY:
      jc_rlog_handle_vote_reply (log, from, &body->rpc_body_u.vote_reply);
      break;
    case RPC_APPEND:
      if (adopt_log_id (log, from, body->rpc_body_u.append.log_id))
        jc_rlog_handle_append (log, from, &body->rpc_body_u.append);
      break;
    case RPC_APPEND_REPLY:
      jc_rlog_handle_append_reply (log, from, &body->rpc_body_u.append_reply);
      break;
    case RPC_INSTALL:
      if (adopt_log_id (log, from, body->rpc_body_u.install.log_id))
        jc_rlog_handle_install (log, from, &body->rpc_body_u.install);
      break;
    case RPC_INSTALL_REPLY:
      jc_rlog_handle_install_reply (log, from, &body->rpc_body_u.install_reply);
      break;
    default:
      break;
    }
}

/* Step down if the quorum is lost or an applied change removed the vote of
   this replica.  Otherwise do what is due: changes of replicas and
   heartbeats.  */
static void
tick_leader (struct jc_rlog *log)
{
  if (!jc_rlog_has_quorum (log)
      || (!jc_rlog_is_voter (log) && log->replicas_index <= log->applied_index))
    {
      jc_rlog_become_follower (log, log->store->term, "");
      return;
    }
  jc_rlog_update_replicas (log);
  if (log->now_ms < log->heartbeat_due_ms)
    return;
  log->heartbeat_due_ms = log->now_ms + log->options.heartbeat_ms;
  jc_rlog_mark_peers_due (log);
}

/* Advance the time to NOW_MS: start an election or send heartbeats if they are
   due.  */
void
jc_rlog_tick (struct jc_rlog *log, int64_t now_ms)
{
  log->now_ms = now_ms;
  if (log->role == JC_RLOG_FAILED)
    return;
  if (log->role == JC_RLOG_LEADER)
    tick_leader (log);
  else if (now_ms >= log->election_due_ms)
    jc_rlog_start_pre_vote (log);
}

/* Propose an entry of KIND with DATA.  DONE is called with CTX and the
   outcome, also from within this call if the proposal is refused.  The entry
   is sent with the next flush.  */
void
jc_rlog_propose (struct jc_rlog *log, uint32_t kind, struct jc_str data,
                 jc_rlog_done_fn *done, void *ctx)
{
  struct proposal *proposal;

  if (log->role != JC_RLOG_LEADER)
    {
      done (ctx, JC_NOT_LEADER);
      return;
    }
  if (jc_rlogstore_last_index (log->store) - log->commit_index
      >= UNCOMMITTED_ENTRIES_MAX)
    {
      done (ctx, JC_OVERLOADED);
      return;
    }
  jc_rlog_append (log, kind, data);
  jc_rlog_mark_peers_due (log);
  proposal = g_new0 (struct proposal, 1);
  proposal->index = jc_rlogstore_last_index (log->store);
  proposal->done = done;
  proposal->ctx = ctx;
  g_queue_push_tail (&log->proposals, proposal);
}

static void
propose_replicas (struct jc_rlog *log, const struct rpc_replicas *replicas,
                  jc_rlog_done_fn *done, void *ctx)
{
  GString *data = g_string_new (NULL);

  jc_replicas_encode (replicas, data);
  jc_rlog_propose (log, JC_RLOG_REPLICAS, jc_str_from_gstring (data), done,
                   ctx);
  g_string_free (data, TRUE);
}

/* Return whether the replica set may be changed now.  A leader makes one change
   at a time, and none before an entry of its own term is committed.  */
bool
jc_rlog_may_change_replicas (const struct jc_rlog *log)
{
  return log->role == JC_RLOG_LEADER && log->replicas_index <= log->commit_index
         && log->commit_index >= log->term_start_index;
}

static void
change_replicas (struct jc_rlog *log, const struct rpc_replica *put,
                 const char *remove, jc_rlog_done_fn *done, void *ctx)
{
  struct rpc_replicas next;
  enum jc_status status = JC_OK;

  if (!jc_rlog_may_change_replicas (log))
    {
      done (ctx, JC_NOT_LEADER);
      return;
    }
  jc_replicas_copy (&next, &log->replicas);
  if (put != NULL)
    jc_replicas_put (&next, put);
  else if (!jc_replicas_remove (&next, remove))
    status = JC_NOT_FOUND;
  if (status == JC_OK && jc_replicas_count_voters (&next) == 0)
    status = JC_BAD_REQUEST;
  if (status == JC_OK)
    propose_replicas (log, &next, done, ctx);
  else
    done (ctx, status);
  jc_replicas_clear (&next);
}

/* Propose to add REPLICA to the replica set or to replace the entry of its
   name.  */
void
jc_rlog_propose_replica (struct jc_rlog *log, const struct rpc_replica *replica,
                         jc_rlog_done_fn *done, void *ctx)
{
  change_replicas (log, replica, NULL, done, ctx);
}

/* Propose to add the replica NAME, or to change whether it is STANDING, that
   is, designated to become a voter.  A replica that is in the set already
   keeps its disk incarnation, and its vote if it stays designated.  Refused
   with JC_NOT_LEADER while jc_rlog_may_change_replicas is false.  */
void
jc_rlog_put_replica (struct jc_rlog *log, const char *name, bool standing,
                     jc_rlog_done_fn *done, void *ctx)
{
  const struct rpc_replica *known = jc_replicas_find (&log->replicas, name);
  struct rpc_replica next = { .name = (char *)name, .standing = standing };

  if (known != NULL)
    {
      next.incarnation = known->incarnation;
      next.voter = known->voter && standing;
    }
  change_replicas (log, &next, NULL, done, ctx);
}

/* Propose to remove the replica NAME.  Refused with JC_NOT_LEADER while
   jc_rlog_may_change_replicas is false, with JC_NOT_FOUND if NAME is not in
   the set, and with JC_BAD_REQUEST if no voter would be left.  */
void
jc_rlog_remove_replica (struct jc_rlog *log, const char *name,
                        jc_rlog_done_fn *done, void *ctx)
{
  change_replicas (log, NULL, name, done, ctx);
}

static void
handle_disk_failure (struct jc_rlog *log)
{
  jc_error (LOG_COMPONENT,
            "Disk failure; this replica stops until its log is reopened: %s",
            jc_last_message ());
  g_queue_clear_full (&log->outbox, outgoing_message_free);
  g_ptr_array_set_size (log->peers, 0);
  set_leader (log, "");
  jc_rlog_set_role (log, JC_RLOG_FAILED);
  fail_proposals (log);
}

/* Send the queued messages.  Return whether there were any.  */
static bool
send_outbox (struct jc_rlog *log)
{
  struct outgoing_message *message;
  bool progress = false;

  while ((message = g_queue_pop_head (&log->outbox)) != NULL)
    {
      log->klass->send (log->ctx, message->to, &message->body);
      outgoing_message_free (message);
      progress = true;
    }
  return progress;
}

/* Set REPLICAS to the replica set as of INDEX, which is committed.  */
static void
replicas_at (const struct jc_rlog *log, uint64_t index,
             struct rpc_replicas *replicas)
{
  for (uint64_t at = index; at > log->store->snapshot_index; at--)
    {
      const struct rpc_log_entry *entry = jc_rlogstore_entry (log->store, at);

      if (entry->kind != JC_RLOG_REPLICAS)
        continue;
      jc_replicas_decode ((struct jc_str){ .data = entry->data.rpc_bytes_val,
                                           .len = entry->data.rpc_bytes_len },
                          replicas);
      return;
    }
  jc_replicas_copy (replicas, &log->store->snapshot_replicas);
}

/* Replace the applied entries by a snapshot once there are enough of them.
   Return the status of the store.  */
static enum jc_status
compact_log (struct jc_rlog *log)
{
  struct rpc_replicas replicas;
  GString *snapshot;
  enum jc_status status;

  if (log->applied_index - log->store->snapshot_index
      < log->options.snapshot_entries)
    return JC_OK;
  snapshot = g_string_new (NULL);
  log->klass->snapshot (log->ctx, snapshot);
  replicas_at (log, log->applied_index, &replicas);
  status = jc_rlogstore_compact (log->store, log->applied_index, &replicas,
                                 snapshot);
  g_string_truncate (log->encoded_snapshot, 0);
  jc_replicas_clear (&replicas);
  return status;
}

/* Restore a snapshot that was installed since the last call, then apply the
   entries whose commit index is durable.  Return whether anything was done.  */
static bool
apply_committed (struct jc_rlog *log)
{
  bool progress = false;

  if (log->applied_index < log->store->snapshot_index)
    {
      restore_snapshot (log);
      progress = true;
    }
  while (log->applied_index < log->store->commit_index)
    {
      apply_next (log);
      progress = true;
    }
  return progress;
}

/* Do one pass of a flush.  Return whether another one may be needed.  Nothing
   is sent or applied before everything it depends on is durable.  */
static bool
flush_step (struct jc_rlog *log)
{
  bool progress;

  if (log->store->dirty && jc_rlogstore_sync (log->store) != JC_OK)
    {
      handle_disk_failure (log);
      return false;
    }
  progress = apply_committed (log);
  progress = send_outbox (log) || progress;
  if (log->role == JC_RLOG_LEADER && jc_rlog_advance_commit (log))
    jc_rlog_mark_peers_due (log);
  if (log->commit_index > log->store->commit_index)
    jc_rlogstore_set_commit_index (log->store, log->commit_index);
  progress = jc_rlog_send_to_due_peers (log) || progress;
  if (compact_log (log) != JC_OK)
    {
      handle_disk_failure (log);
      return false;
    }
  return progress || log->store->dirty;
}

/* Make pending changes durable, then send messages and apply committed
   entries.  On a disk failure this replica stops until it is opened again.  */
void
jc_rlog_flush (struct jc_rlog *log, int64_t now_ms)
{
  log->now_ms = now_ms;
  if (log->flushing || log->role == JC_RLOG_FAILED)
    return;
  log->flushing = true;
  while (flush_step (log))
    continue;
  log->flushing = false;
}

enum jc_rlog_role
jc_rlog_role (const struct jc_rlog *log)
{
  return log->role;
}

/* Return the name of the leader, or "" if it is not known.  */
const char *
jc_rlog_leader (const struct jc_rlog *log)
{
  return log->role == JC_RLOG_LEADER ? log->name : log->leader;
}

/* Return whether this disk holds a log, by bootstrap or by joining one.  */
bool
jc_rlog_is_initialized (const struct jc_rlog *log)
{
  return log->store->log_id != 0;
}

uint64_t
jc_rlog_term (const struct jc_rlog *log)
{
  return log->store->term;
}

/* Return the index of the last entry that was applied.  */
uint64_t
jc_rlog_applied_index (const struct jc_rlog *log)
{
  return log->applied_index;
}

/* Return the index of the last entry, committed or not.  */
uint64_t
jc_rlog_last_index (const struct jc_rlog *log)
{
  return jc_rlogstore_last_index (log->store);
}

/* Return the incarnation of the disk of this replica.  */
uint64_t
jc_rlog_incarnation (const struct jc_rlog *log)
{
  return log->store->incarnation;
}

/* Return the latest replica set, committed or not.  */
const struct rpc_replicas *
jc_rlog_replicas (const struct jc_rlog *log)
{
  return &log->replicas;
}
