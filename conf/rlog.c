/* Replicated log: opening, proposals, changes of the replica set, and the
   flush that makes state durable before any message that depends on it is
   sent.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

enum
{
  UNCOMMITTED_ENTRIES_MAX = 4096,
  /* Data of the proposals that are in the log and not yet applied.  */
  PROPOSED_BYTES_MAX = 16 * 1024 * 1024
};

/* A proposal of this replica that is in its log and not yet applied, with BYTES
   of data.  */
struct proposal
{
  uint64_t index;
  size_t bytes;
  jc_rlog_done_fn *done;
  void *ctx;
};

/* Free DATA, a struct jc_rlog_message.  */
void
jc_rlog_message_free (gpointer data)
{
  struct jc_rlog_message *message = data;

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
  struct jc_rlog_message *message = g_new0 (struct jc_rlog_message, 1);

  message->to = g_strdup (to);
  message->body = *body;
  g_queue_push_tail (&log->outbox, message);
}

/* End all proposals of this replica: their outcome is not known.  */
void
jc_rlog_fail_proposals (struct jc_rlog *log)
{
  struct proposal *proposal;

  log->proposed_bytes = 0;
  while ((proposal = g_queue_pop_head (&log->proposals)) != NULL)
    {
      proposal->done (proposal->ctx, JC_OUTCOME_UNKNOWN);
      g_free (proposal);
    }
}

/* Take LEADER for the leader of the term, "" if it is not known.  */
void
jc_rlog_set_leader (struct jc_rlog *log, const char *leader)
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
  jc_rlog_set_leader (log, leader);
  if (leader[0] != '\0')
    log->leader_contact_ms = log->now_ms;
  if (was_leader || log->role != JC_RLOG_FOLLOWER || leader[0] != '\0')
    jc_rlog_reset_election_timer (log);
  g_ptr_array_set_size (log->votes, 0);
  g_ptr_array_set_size (log->peers, 0);
  jc_rlog_set_role (log, JC_RLOG_FOLLOWER);
  if (was_leader)
    jc_rlog_fail_proposals (log);
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

/* Apply the next committed entry, and end its proposal if it is one of this
   replica.  */
void
jc_rlog_apply_next (struct jc_rlog *log)
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
  log->proposed_bytes -= proposal->bytes;
  proposal->done (proposal->ctx, JC_OK);
  g_free (proposal);
}

/* Apply the snapshot.  */
enum jc_status
jc_rlog_restore_snapshot (struct jc_rlog *log)
{
  log->applied_index = log->store->snapshot_index;
  return log->klass->restore (log->ctx, log->applied_index,
                              jc_str_from_gstring (log->store->snapshot));
}

/* Apply what the store of LOG has of committed entries.  Their data is read
   from the disk one by one where it takes too much memory.  */
static enum jc_status
apply_stored (struct jc_rlog *log)
{
  struct jc_rlogstore *store = log->store;
  enum jc_status status = JC_OK;

  if (log->klass->reset != NULL)
    log->klass->reset (log->ctx);
  if (store->snapshot_index > 0)
    status = jc_rlog_restore_snapshot (log);
  while (status == JC_OK && log->applied_index < log->commit_index)
    {
      status = jc_rlogstore_load (store, log->applied_index + 1);
      if (status != JC_OK)
        break;
      jc_rlog_apply_next (log);
      jc_rlogstore_unload (store, log->applied_index);
    }
  for (uint64_t i = log->commit_index + 1;
       status == JC_OK && i <= jc_rlogstore_last_index (store); i++)
    status = jc_rlogstore_load (store, i);
  return status;
}

/* Open the log on DISK with OPTIONS.  The applied state is passed to the
   callbacks of KLASS, called with CTX, before this returns.  The log is then
   compacted, which takes less room on the disk than to write it again in whole.
   Return NULL and set STATUS if the disk fails or its data is corrupt.  */
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
  g_queue_init (&log->proposals);
  g_queue_init (&log->outbox);
  jc_rlog_reload_replicas (log);
  jc_rlog_reset_election_timer (log);
  log->commit_index = store->commit_index;
  *status = jc_rlogstore_check_writable (store);
  if (*status == JC_OK)
    *status = apply_stored (log);
  if (*status == JC_OK)
    *status = jc_rlog_compact (log);
  if (*status == JC_OK)
    return log;
  jc_rlog_free (log);
  return NULL;
}

/* Free LOG; NULL is allowed.  Pending proposals end with
   JC_OUTCOME_UNKNOWN.  */
void
jc_rlog_free (struct jc_rlog *log)
{
  if (log == NULL)
    return;
  jc_rlog_fail_proposals (log);
  g_queue_clear_full (&log->outbox, jc_rlog_message_free);
  jc_replicas_clear (&log->replicas);
  jc_rlogstore_free (log->store);
  g_ptr_array_free (log->peers, TRUE);
  g_ptr_array_free (log->votes, TRUE);
  g_byte_array_free (log->install_buffer, TRUE);
  jc_rlog_transfer_unref (log->transfer);
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
      done (ctx, jc_fail (JC_OVERLOADED, "%d entries wait for their commit.",
                          UNCOMMITTED_ENTRIES_MAX));
      return;
    }
  if (log->proposed_bytes > 0
      && log->proposed_bytes + data.len > PROPOSED_BYTES_MAX)
    {
      done (ctx, jc_fail (JC_OVERLOADED,
                          "Proposals of %zu bytes wait for their commit.",
                          log->proposed_bytes));
      return;
    }
  jc_rlog_append (log, kind, data);
  jc_rlog_mark_peers_due (log);
  proposal = g_new0 (struct proposal, 1);
  proposal->index = jc_rlogstore_last_index (log->store);
  proposal->bytes = data.len;
  log->proposed_bytes += data.len;
  proposal->done = done;
  proposal->ctx = ctx;
  g_queue_push_tail (&log->proposals, proposal);
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

/* Return the index of the last entry that the snapshot covers, 0 if there is
   none.  */
uint64_t
jc_rlog_snapshot_index (const struct jc_rlog *log)
{
  return log->store->snapshot_index;
}

/* Return what LOG takes on the disk and in memory.  */
struct jc_rlog_usage
jc_rlog_usage (const struct jc_rlog *log)
{
  const struct jc_rlogstore *store = log->store;

  return (struct jc_rlog_usage){ .file_bytes = jc_rlogstore_file_bytes (store),
                                 .snapshot_bytes = store->snapshot->len,
                                 .entry_bytes = store->entries.bytes,
                                 .entries = store->entries.slots->len };
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
