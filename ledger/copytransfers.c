/* Transfers to the members of the copy set of a ledger, and the rebuild of a
   lost disk from them.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  PART_BYTES = 1024 * 1024,
  TRANSFER_RETRY_MS = 2000,
  PULL_RETRY_MS = 500
};

/* Return the fence of a copy message.  A pull counts as later than every
   record sent under the copy set that it pulls from.  */
static uint64_t
message_fence (const struct jc_ledger *ledger, bool pull)
{
  return 2 * ledger->set.revision + (pull ? 1 : 0);
}

static struct rpc_ledger_copy
new_copy_message (const struct jc_ledger *ledger)
{
  return (struct rpc_ledger_copy){ .home = (char *)ledger->options.home,
                                   .ledger_incarnation = ledger->incarnation,
                                   .sequence = ledger->sequence,
                                   .fence = message_fence (ledger, false) };
}

/* Send the records appended since the last flush to every connected instance
   that is synced or has a transfer under way.  */
void
ledger_send_batch_to_copies (struct jc_ledger *ledger)
{
  struct rpc_ledger_copy message = new_copy_message (ledger);
  GHashTableIter iter;
  gpointer value;

  message.records.rpc_bytes_val = (char *)ledger->batch->data;
  message.records.rpc_bytes_len = ledger->batch->len;
  g_hash_table_iter_init (&iter, ledger->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->connected && (peer->synced || peer->transfer_started_ms != 0))
        ledger->ops->send_copy (ledger->ctx, peer->name, &message);
    }
}

static void
append_key (gpointer key, gpointer ctx)
{
  GBytes *bytes = jc_key_encode (key);

  g_byte_array_append (ctx, g_bytes_get_data (bytes, NULL),
                       (guint)g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

/* A full transfer to PEER, sent in parts of about PART_BYTES with whole
   records.  */
struct transfer
{
  struct jc_ledger *ledger;
  const struct peer *peer;
  struct rpc_ledger_copy message;
  GByteArray *part;
};

static void
send_transfer_part (struct transfer *transfer, bool last)
{
  transfer->message.last = last;
  transfer->message.records.rpc_bytes_val = (char *)transfer->part->data;
  transfer->message.records.rpc_bytes_len = transfer->part->len;
  transfer->ledger->ops->send_copy (transfer->ledger->ctx, transfer->peer->name,
                                    &transfer->message);
  transfer->message.part++;
  g_byte_array_set_size (transfer->part, 0);
}

static void
add_key_to_transfer (gpointer key, gpointer ctx)
{
  struct transfer *transfer = ctx;

  append_key (key, transfer->part);
  if (transfer->part->len >= PART_BYTES)
    send_transfer_part (transfer, false);
}

/* Send a full transfer of all keys to PEER, after a flush.  */
static void
start_transfer (struct jc_ledger *ledger, struct peer *peer)
{
  struct transfer transfer = { .ledger = ledger,
                               .peer = peer,
                               .message = new_copy_message (ledger),
                               .part = g_byte_array_new () };

  jc_ledger_flush (ledger);
  if (ledger->state != JC_LEDGER_SERVING)
    {
      g_byte_array_free (transfer.part, TRUE);
      return;
    }
  transfer.message.full = TRUE;
  transfer.message.transfer = ++ledger->transfer_count;
  peer->synced = false;
  peer->transfer_started_ms = ledger->now_ms;
  jc_keytable_foreach (ledger->key_table, add_key_to_transfer, &transfer);
  send_transfer_part (&transfer, true);
  g_byte_array_free (transfer.part, TRUE);
}

/* Mark PEER for a new full transfer if its acknowledgement has been missing for
   TRANSFER_RETRY_MS.  */
static void
check_lag (const struct jc_ledger *ledger, struct peer *peer)
{
  if (!peer->synced || peer->acked >= ledger->synced_sequence)
    peer->lag_since_ms = 0;
  else if (peer->lag_since_ms == 0)
    peer->lag_since_ms = ledger->now_ms;
  else if (ledger->now_ms - peer->lag_since_ms >= TRANSFER_RETRY_MS)
    peer->synced = false;
}

static bool
is_pending (const struct jc_ledger *ledger, const struct peer *peer)
{
  for (guint i = 0; i < ledger->pending_members->len; i++)
    {
      const struct rpc_ledger_member *member
          = g_ptr_array_index (ledger->pending_members, i);

      if (strcmp (member->name, peer->name) == 0
          && member->incarnation == peer->incarnation)
        return true;
    }
  return false;
}

/* Start the transfers that are due: to members that are not synced, and to as
   many other candidates as the copy set lacks members.  */
void
ledger_start_due_transfers (struct jc_ledger *ledger)
{
  GList *list = ledger_list_copy_candidates (ledger);
  unsigned int wanted = ledger->options.copies;

  for (GList *at = list; at != NULL; at = at->next)
    {
      const struct peer *peer = at->data;

      if (ledger_is_member (ledger, peer) && wanted > 0)
        wanted--;
    }
  for (GList *at = list; at != NULL; at = at->next)
    {
      struct peer *peer = at->data;
      bool awaited
          = ledger_is_member (ledger, peer) || is_pending (ledger, peer);
      bool due;

      check_lag (ledger, peer);
      due = peer->transfer_started_ms == 0
            || ledger->now_ms - peer->transfer_started_ms >= TRANSFER_RETRY_MS;

      if (!awaited && wanted == 0)
        continue;
      if (!awaited)
        wanted--;
      if (!peer->synced && due)
        start_transfer (ledger, peer);
    }
  g_list_free (list);
}

static void
select_next_pull_member (struct jc_ledger *ledger)
{
  g_byte_array_set_size (ledger->pulled_records, 0);
  ledger->pull_sent_ms = 0;
  ledger->pull_member++;
}

static void
send_pull (struct jc_ledger *ledger)
{
  const struct rpc_ledger_set *set = &ledger->set;
  const struct rpc_ledger_member *member
      = &set->members
             .members_val[ledger->pull_member % set->members.members_len];
  struct rpc_ledger_copy message = new_copy_message (ledger);

  ledger->pull_sent_ms = ledger->now_ms;
  if (ledger_find_member_peer (ledger, member) == NULL)
    return;
  message.pull = TRUE;
  message.part = ledger->pulled_records->len;
  message.fence = message_fence (ledger, true);
  ledger->ops->send_copy (ledger->ctx, member->name, &message);
}

/* Pull the records of a lost disk from the members of its copy set.  */
void
ledger_tick_recovering (struct jc_ledger *ledger)
{
  if (ledger->disk != DISK_EMPTY || ledger->set.members.members_len == 0)
    return;
  if (ledger->pull_sent_ms != 0
      && ledger->now_ms - ledger->pull_sent_ms < PULL_RETRY_MS)
    return;
  if (ledger->pull_sent_ms != 0)
    select_next_pull_member (ledger);
  send_pull (ledger);
}

static void
put_pulled_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct jc_ledger *ledger = ctx;
  uint64_t counter = record->fence & ((1ULL << LEDGER_FENCE_EPOCH_SHIFT) - 1);

  ledger->fence_counter = MAX (ledger->fence_counter, counter);
  ledger->sequence = MAX (ledger->sequence, record->sequence);
  jc_keytable_put (ledger->key_table, record);
}

/* Replace the keys by the pulled records, write them to the disk and propose
   it.  Go on with the next member if the records can't be decoded.  */
static void
rebuild_from_pull (struct jc_ledger *ledger)
{
  struct jc_str bytes = { .data = (const char *)ledger->pulled_records->data,
                          .len = ledger->pulled_records->len };

  jc_keytable_free (ledger->key_table);
  ledger->key_table = jc_keytable_new ();
  g_hash_table_remove_all (ledger->granted);
  if (jc_record_decode (bytes, put_pulled_record, ledger) != JC_OK)
    {
      select_next_pull_member (ledger);
      return;
    }
  g_byte_array_set_size (ledger->pulled_records, 0);
  ledger->sequence = ((ledger->sequence >> LEDGER_SEQUENCE_RUN_SHIFT) + 1)
                     << LEDGER_SEQUENCE_RUN_SHIFT;
  ledger->state = JC_LEDGER_REBUILT;
  ledger->proposed_ms = 0;
  ledger_propose_this_disk (ledger, true);
}

static void
handle_pulled_page (struct jc_ledger *ledger, const char *member,
                    const struct rpc_ledger_copy_reply *reply)
{
  const struct rpc_ledger_set *set = &ledger->set;
  guint at;

  if (ledger->state != JC_LEDGER_RECOVERING || set->members.members_len == 0
      || ledger->pull_sent_ms == 0)
    return;
  at = ledger->pull_member % set->members.members_len;
  if (strcmp (set->members.members_val[at].name, member) != 0
      || reply->part != ledger->pulled_records->len)
    return;
  if (!reply->complete)
    {
      select_next_pull_member (ledger);
      return;
    }
  g_byte_array_append (ledger->pulled_records,
                       (const guint8 *)reply->records.rpc_bytes_val,
                       reply->records.rpc_bytes_len);
  if (reply->last)
    rebuild_from_pull (ledger);
  else
    send_pull (ledger);
}

/* Handle the REPLY of MEMBER with INCARNATION to a copy message or to a pull.
   It is ignored if that incarnation is not connected now, or if it replies to
   an earlier incarnation of this ledger.  */
void
jc_ledger_handle_copy_reply (struct jc_ledger *ledger, const char *member,
                             uint64_t incarnation,
                             const struct rpc_ledger_copy_reply *reply)
{
  struct peer *peer = ledger_find_peer (ledger, member);

  if (peer == NULL || peer->incarnation != incarnation || !peer->connected
      || reply->ledger_incarnation != ledger->incarnation)
    return;
  if (reply->pull)
    {
      handle_pulled_page (ledger, member, reply);
      return;
    }
  if (ledger->state != JC_LEDGER_SERVING)
    return;
  if (!reply->complete)
    {
      peer->synced = false;
      return;
    }
  peer->synced = true;
  peer->transfer_started_ms = 0;
  peer->lag_since_ms = 0;
  peer->acked = MAX (peer->acked, reply->sequence);
  ledger_send_replies (ledger);
}
