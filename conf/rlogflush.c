/* Replicated log: what a flush writes, sends and applies.  */

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

enum
{
  /* The file grows by this much, whatever the number of entries, before it is
     rewritten.  */
  COMPACT_GROWTH_BYTES = 8 * 1024 * 1024
};

static void
handle_disk_failure (struct jc_rlog *log)
{
  jc_error (LOG_COMPONENT,
            "Disk failure; this replica stops until its log is reopened: %s",
            jc_last_message ());
  g_queue_clear_full (&log->outbox, jc_rlog_message_free);
  g_ptr_array_set_size (log->peers, 0);
  jc_rlog_set_leader (log, "");
  jc_rlog_set_role (log, JC_RLOG_FAILED);
  jc_rlog_fail_proposals (log);
}

/* Send the queued messages.  Return whether there were any.  */
static bool
send_outbox (struct jc_rlog *log)
{
  struct jc_rlog_message *message;
  bool progress = false;

  while ((message = g_queue_pop_head (&log->outbox)) != NULL)
    {
      log->klass->send (log->ctx, message->to, &message->body);
      jc_rlog_message_free (message);
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

/* Replace the applied entries by a snapshot, and rewrite the rest of the log.
   Return the status of the store.  */
enum jc_status
jc_rlog_compact (struct jc_rlog *log)
{
  struct rpc_replicas replicas;
  GString *snapshot;
  enum jc_status status;

  if (log->applied_index == log->store->snapshot_index)
    return jc_rlogstore_rewrite (log->store);
  snapshot = g_string_new (NULL);
  log->klass->snapshot (log->ctx, snapshot);
  replicas_at (log, log->applied_index, &replicas);
  status = jc_rlogstore_compact (log->store, log->applied_index, &replicas,
                                 snapshot);
  jc_rlog_drop_idle_transfer (log);
  jc_replicas_clear (&replicas);
  return status;
}

/* Compact the log once there are enough entries, or bytes of them.  */
static enum jc_status
compact_when_due (struct jc_rlog *log)
{
  if (log->applied_index - log->store->snapshot_index
          < log->options.snapshot_entries
      && jc_rlogstore_growth (log->store) < COMPACT_GROWTH_BYTES)
    return JC_OK;
  return jc_rlog_compact (log);
}

/* Apply the entries whose commit index is durable.  Return whether there were
   any.  */
static bool
apply_committed (struct jc_rlog *log)
{
  bool progress = false;

  while (log->applied_index < log->store->commit_index)
    {
      jc_rlog_apply_next (log);
      progress = true;
    }
  return progress;
}

/* Do one pass of a flush.  Return whether another one may be needed.  Nothing
   is sent or applied before everything it depends on is durable.  */
static bool
flush_step (struct jc_rlog *log)
{
  bool progress = log->applied_index < log->store->snapshot_index;

  if ((log->store->dirty && jc_rlogstore_sync (log->store) != JC_OK)
      || (progress && jc_rlog_restore_snapshot (log) != JC_OK))
    {
      handle_disk_failure (log);
      return false;
    }
  progress = apply_committed (log) || progress;
  progress = send_outbox (log) || progress;
  if (log->role == JC_RLOG_LEADER && jc_rlog_advance_commit (log))
    jc_rlog_mark_peers_due (log);
  if (log->commit_index > log->store->commit_index)
    jc_rlogstore_set_commit_index (log->store, log->commit_index);
  progress = jc_rlog_send_to_due_peers (log) || progress;
  if (compact_when_due (log) != JC_OK)
    {
      handle_disk_failure (log);
      return false;
    }
  /* Compacting makes the commit index durable too.  */
  return progress || log->store->dirty
         || log->applied_index < log->store->commit_index;
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
