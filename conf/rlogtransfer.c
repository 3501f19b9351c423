/* Replicated log: a snapshot on its way to replicas.  */

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

enum
{
  /* An unanswered chunk is sent again after so many heartbeats.  */
  CHUNK_RESEND_HEARTBEATS = 4
};

/* Return a transfer of the snapshot that STORE has now, with one reference.  */
static struct jc_rlog_transfer *
transfer_new (const struct jc_rlogstore *store)
{
  struct jc_rlog_transfer *transfer = g_new0 (struct jc_rlog_transfer, 1);

  transfer->refs = 1;
  transfer->index = store->snapshot_index;
  transfer->term = store->snapshot_term;
  transfer->bytes = g_string_new (NULL);
  jc_rlogstore_encode_snapshot (store, transfer->bytes);
  return transfer;
}

/* Drop a reference to TRANSFER, which may be NULL, and free it with the last
   one.  */
void
jc_rlog_transfer_unref (struct jc_rlog_transfer *transfer)
{
  if (transfer == NULL || --transfer->refs > 0)
    return;
  g_string_free (transfer->bytes, TRUE);
  g_free (transfer);
}

/* Free the transfer that was begun last unless a peer still needs it.  */
void
jc_rlog_drop_idle_transfer (struct jc_rlog *log)
{
  if (log->transfer == NULL || log->transfer->refs > 1)
    return;
  jc_rlog_transfer_unref (log->transfer);
  log->transfer = NULL;
}

/* Return whether the entries after TRANSFER are in memory, so that a replica
   that has it can go on with them.  */
static bool
is_followed_up (const struct jc_rlog *log,
                const struct jc_rlog_transfer *transfer)
{
  return transfer != NULL
         && transfer->index >= jc_rlogstore_base_index (log->store);
}

/* Begin to send PEER a snapshot: the one that another peer is being sent, if it
   will do.  */
static void
begin_transfer (struct jc_rlog *log, struct jc_rlog_peer *peer)
{
  jc_rlog_transfer_unref (peer->transfer);
  peer->transfer = NULL;
  if (!is_followed_up (log, log->transfer))
    {
      jc_rlog_transfer_unref (log->transfer);
      log->transfer = transfer_new (log->store);
    }
  peer->transfer = log->transfer;
  peer->transfer->refs++;
  peer->install_offset = 0;
  peer->chunk_resend_ms = 0;
  jc_info (LOG_COMPONENT, "Sending %s the snapshot of entry %lu, %zu bytes.",
           peer->name, (unsigned long)peer->transfer->index,
           peer->transfer->bytes->len);
}

/* End the transfer to PEER, which has it or doesn't need it any more.  */
void
jc_rlog_end_transfer (struct jc_rlog *log, struct jc_rlog_peer *peer)
{
  jc_rlog_transfer_unref (peer->transfer);
  peer->transfer = NULL;
  jc_rlog_drop_idle_transfer (log);
}

/* Send the next chunk of the snapshot to PEER unless one is awaiting its
   reply.  */
void
jc_rlog_send_snapshot_chunk (struct jc_rlog *log, struct jc_rlog_peer *peer)
{
  const struct jc_rlogstore *store = log->store;
  struct rpc_body body = { .type = RPC_INSTALL };
  struct rpc_install *install = &body.rpc_body_u.install;
  size_t left;

  if (!is_followed_up (log, peer->transfer))
    begin_transfer (log, peer);
  if (log->now_ms < peer->chunk_resend_ms)
    return;
  peer->chunk_resend_ms
      = log->now_ms + CHUNK_RESEND_HEARTBEATS * log->options.heartbeat_ms;
  left = peer->transfer->bytes->len - peer->install_offset;
  install->term = store->term;
  install->last_index = peer->transfer->index;
  install->last_term = peer->transfer->term;
  install->offset = peer->install_offset;
  install->done = left <= log->options.snapshot_chunk_bytes;
  install->data.rpc_bytes_val
      = peer->transfer->bytes->str + peer->install_offset;
  install->data.rpc_bytes_len
      = (u_int)MIN (left, log->options.snapshot_chunk_bytes);
  install->log_id = store->log_id;
  install->round = ++log->last_round;
  log->klass->send (log->ctx, peer->name, &body);
}
