/* Follower of the replicated log: takes entries and snapshots.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define PART "log"

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

/* Put ENTRY at INDEX unless it is there.  Return whether the replicas may
   have changed.  */
static bool
take_entry (struct jc_rlog *log, uint64_t index,
            const struct rpc_log_entry *entry)
{
  bool overwrites = index <= jc_rlogstore_last_index (log->store);

  if (index <= log->store->snapshot_index
      || jc_rlogstore_term_at (log->store, index) == entry->term)
    return false;
  jc_rlogstore_put_entry (log->store, index, entry);
  return overwrites || entry->kind == JC_RLOG_REPLICAS;
}

/* Tell whether the entries of APPEND contradict what is committed here,
   which no leader of this log can say.  */
static bool
contradicts (const struct jc_rlog *log, const struct rpc_append *append)
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
take_entries (struct jc_rlog *log, const struct rpc_append *append)
{
  u_int count = append->entries.entries_len;
  uint64_t last = append->prev_index + count;
  bool changed = false;

  for (u_int i = 0; i < count; i++)
    changed = take_entry (log, append->prev_index + 1 + i,
                          &append->entries.entries_val[i])
              || changed;
  if (changed)
    jc_rlog_reload_replicas (log);
  log->commit_index = MAX (log->commit_index, MIN (append->commit, last));
}

/* Take entries of the leader FROM.  The answer leaves once they are
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
  else if (contradicts (log, append))
    jc_error (PART, "%s contradicts a committed entry and is refused.", from);
  else
    {
      take_entries (log, append);
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

/* Put the whole snapshot that was gathered in place.  A store that fails is
   told by the next flush.  */
static bool
install_whole (struct jc_rlog *log)
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

static void
gather (struct jc_rlog *log, const struct rpc_install *install)
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

/* Take a part of the snapshot of the leader FROM.  */
void
jc_rlog_handle_install (struct jc_rlog *log, const char *from,
                        const struct rpc_install *install)
{
  bool whole;

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
  gather (log, install);
  whole = install->done
          && log->install_buffer->len
                 == install->offset + install->data.rpc_bytes_len;
  if (whole && install_whole (log))
    reply_install (log, from, install, INSTALL_COMPLETE_OFFSET);
  else
    reply_install (log, from, install, log->install_buffer->len);
}
