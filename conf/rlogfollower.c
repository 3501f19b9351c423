/* Replicated log, follower: receives entries and snapshots.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

static void
reply_append (struct jc_rlog *log, const char *to, uint64_t round, bool ok,
              uint64_t match)
{
  struct rpc_body body = { .type = RPC_APPEND_REPLY };
  struct rpc_append_reply *reply = &body.rpc_body_u.append_reply;

  reply->term = log->store->term;
  reply->ok = ok;
  reply->match_index = match;
  reply->round = round;
  reply->disk_incarnation = log->store->incarnation;
  jc_rlog_queue_message (log, to, &body);
}

/* Store ENTRY at INDEX unless the log has it already.  Return whether the
   replica set may have changed.  */
static bool
store_entry (struct jc_rlog *log, uint64_t index,
             const struct rpc_log_entry *entry)
{
  bool overwrites = index <= jc_rlogstore_last_index (log->store);

  if (index <= log->store->snapshot_index
      || jc_rlogstore_term_at (log->store, index) == entry->term)
    return false;
  jc_rlogstore_put_entry (log->store, index, entry);
  return overwrites || entry->kind == JC_RLOG_REPLICAS;
}

/* Return whether the entries of APPEND differ from entries that are committed
   here.  No leader of this log can send such entries.  */
static bool
conflicts_with_committed (const struct jc_rlog *log,
                          const struct rpc_append *append)
{
  for (u_int i = 0; i < append->entries.entries_len; i++)
    {
      uint64_t index = append->prev_index + 1 + i;

      if (index > log->store->snapshot_index && index <= log->commit_index
          && jc_rlogstore_term_at (log->store, index)
                 != append->entries.entries_val[i].term)
        return true;
    }
  return false;
}

static void
store_entries (struct jc_rlog *log, const struct rpc_append *append)
{
  u_int count = append->entries.entries_len;
  uint64_t last = append->prev_index + count;
  bool changed = false;

  for (u_int i = 0; i < count; i++)
    changed = store_entry (log, append->prev_index + 1 + i,
                           &append->entries.entries_val[i])
              || changed;
  if (changed)
    jc_rlog_reload_replicas (log);
  log->commit_index = MAX (log->commit_index, MIN (append->commit, last));
}

/* Handle entries of the leader FROM.  The reply is sent once they are
   durable.  */
void
jc_rlog_handle_append (struct jc_rlog *log, const char *from,
                       const struct rpc_append *append)
{
  const struct jc_rlogstore *store = log->store;
  uint64_t prev = append->prev_index;
  uint64_t last = jc_rlogstore_last_index (store);

  if (append->term < store->term)
    {
      reply_append (log, from, append->round, false, 0);
      return;
    }
  if (append->term == store->term && log->role == JC_RLOG_LEADER)
    return;
  jc_rlog_become_follower (log, append->term, from);
  if (prev > last)
    reply_append (log, from, append->round, false, last);
  else if (prev >= store->snapshot_index
           && jc_rlogstore_term_at (store, prev) != append->prev_term)
    reply_append (log, from, append->round, false,
                  MIN (log->commit_index, prev - 1));
  else if (conflicts_with_committed (log, append))
    jc_error (LOG_COMPONENT,
              "Rejected entries from %s that conflict with a committed entry.",
              from);
  else
    {
      store_entries (log, append);
      reply_append (log, from, append->round, true,
                    prev + append->entries.entries_len);
    }
}

static void
reply_install (struct jc_rlog *log, const char *to,
               const struct rpc_install *install, uint64_t offset)
{
  struct rpc_body body = { .type = RPC_INSTALL_REPLY };
  struct rpc_install_reply *reply = &body.rpc_body_u.install_reply;

  reply->term = log->store->term;
  reply->last_index = install->last_index;
  reply->round = install->round;
  reply->offset = offset;
  reply->disk_incarnation = log->store->incarnation;
  jc_rlog_queue_message (log, to, &body);
}

/* Install the snapshot that was received completely.  Return whether it could
   be decoded; a failure of the store is reported by the next flush.  */
static bool
install_snapshot (struct jc_rlog *log)
{
  struct rpc_record record = { 0 };
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *)log->install_buffer->data,
                 log->install_buffer->len, XDR_DECODE);
  ok = xdr_rpc_record (&xdr, &record) && record.type == RPC_RECORD_SNAPSHOT;
  xdr_destroy (&xdr);
  if (ok
      && jc_rlogstore_install (log->store, &record.rpc_record_u.snapshot)
             == JC_OK)
    {
      log->commit_index = log->store->commit_index;
      jc_rlog_reload_replicas (log);
    }
  xdr_free ((xdrproc_t)xdr_rpc_record, (char *)&record);
  g_byte_array_set_size (log->install_buffer, 0);
  return ok;
}

/* Add the chunk in INSTALL to the snapshot being received, if it is the next
   one.  The first chunk of another snapshot discards what was received of the
   previous one.  */
static void
collect_chunk (struct jc_rlog *log, const struct rpc_install *install)
{
  if (log->install_index != install->last_index
      || log->install_term != install->last_term)
    {
      g_byte_array_set_size (log->install_buffer, 0);
      log->install_index = install->last_index;
      log->install_term = install->last_term;
    }
  if (install->offset == log->install_buffer->len)
    g_byte_array_append (log->install_buffer,
                         (const guint8 *)install->data.rpc_bytes_val,
                         install->data.rpc_bytes_len);
}

/* Handle a chunk of the snapshot of the leader FROM.  */
void
jc_rlog_handle_install (struct jc_rlog *log, const char *from,
                        const struct rpc_install *install)
{
  bool complete;

  if (install->term < log->store->term)
    {
      reply_install (log, from, install, 0);
      return;
    }
  if (install->term == log->store->term && log->role == JC_RLOG_LEADER)
    return;
  jc_rlog_become_follower (log, install->term, from);
  if (install->last_index <= log->commit_index)
    {
      reply_install (log, from, install, INSTALL_COMPLETE_OFFSET);
      return;
    }
  collect_chunk (log, install);
  complete = install->done
             && log->install_buffer->len
                    == install->offset + install->data.rpc_bytes_len;
  if (complete && install_snapshot (log))
    reply_install (log, from, install, INSTALL_COMPLETE_OFFSET);
  else
    reply_install (log, from, install, log->install_buffer->len);
}
