/* Ledger: its copies, its entry of the replicated log, and a lost disk.

   The log's entry names the disk that is the ledger and the members that hold
   copies.  A member counts by name and incarnation.  Records wait for every
   member of the entry in force and of every proposal that may have been
   committed, so each member of the last entry has all that was granted.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  MEMBERS_MAX = 16,
  PART_BYTES = 1024 * 1024,
  TRANSFER_RETRY_MS = 2000,
  PROPOSE_RETRY_MS = 1000,
  PULL_RETRY_MS = 500
};

/* Return the process NAME, or NULL where none of that name was seen.  */
struct peer *
ledger_find_peer (const struct jc_ledger *ledger, const char *name)
{
  return g_hash_table_lookup (ledger->peers, name);
}

/* Note that MEMBER may be one of the copy set.  */
void
ledger_add_pending_member (struct jc_ledger *ledger, const char *name,
                           uint64_t incarnation)
{
  struct rpc_ledger_member *member;

  for (guint i = 0; i < ledger->pending_members->len; i++)
    {
      member = g_ptr_array_index (ledger->pending_members, i);
      if (member->incarnation == incarnation
          && strcmp (member->name, name) == 0)
        return;
    }
  member = g_new0 (struct rpc_ledger_member, 1);
  member->name = g_strdup (name);
  member->incarnation = incarnation;
  g_ptr_array_add (ledger->pending_members, member);
}

/* Call FN with each member that records must wait for.  Stop and return false
   where it returns false.  */
static bool
each_awaited (const struct jc_ledger *ledger,
              bool (*fn) (const struct jc_ledger *ledger,
                          const struct rpc_ledger_member *member, void *ctx),
              void *ctx)
{
  const struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (!fn (ledger, &set->members.members_val[i], ctx))
      return false;
  for (guint i = 0; i < ledger->pending_members->len; i++)
    if (!fn (ledger, g_ptr_array_index (ledger->pending_members, i), ctx))
      return false;
  return true;
}

static const struct peer *
member_peer (const struct jc_ledger *ledger,
             const struct rpc_ledger_member *member)
{
  const struct peer *peer = ledger_find_peer (ledger, member->name);

  return peer != NULL && peer->incarnation == member->incarnation ? peer : NULL;
}

static bool
least_acked (const struct jc_ledger *ledger,
             const struct rpc_ledger_member *member, void *ctx)
{
  const struct peer *peer = member_peer (ledger, member);
  uint64_t *least = ctx;

  *least = MIN (*least, peer != NULL ? peer->acked : 0);
  return true;
}

/* Return the sequence up to which all records are synced and held by every
   member of the copy set.  */
uint64_t
ledger_committed_sequence (const struct jc_ledger *ledger)
{
  uint64_t least = ledger->synced_sequence;

  each_awaited (ledger, least_acked, &least);
  return least;
}

static bool
is_caught_up (const struct jc_ledger *ledger,
              const struct rpc_ledger_member *member, void *ctx)
{
  const struct peer *peer = member_peer (ledger, member);

  (void)ctx;
  return peer != NULL && peer->connected && peer->synced;
}

/* Tell whether a claim has a chance now: copies are there or their absence is
   recorded and no copy was out of reach for long.  */
bool
ledger_can_grant (const struct jc_ledger *ledger)
{
  int64_t now = ledger->now_ms;

  if (ledger->set.members.members_len == 0 && ledger->options.copies > 0
      && now - ledger->serving_since_ms < ledger->options.no_copies_wait_ms)
    return false;
  return ledger->degraded_since_ms == 0
         || now - ledger->degraded_since_ms < ledger->options.copy_lost_ms;
}

static uint64_t
fence_of (const struct jc_ledger *ledger, bool pull)
{
  return 2 * ledger->set.revision + (pull ? 1 : 0);
}

static struct rpc_ledger_copy
message_new (const struct jc_ledger *ledger)
{
  return (struct rpc_ledger_copy){ .home = (char *)ledger->options.home,
                                   .ledger_incarnation = ledger->incarnation,
                                   .sequence = ledger->sequence,
                                   .fence = fence_of (ledger, false) };
}

/* Send the records since the last flush to every process that follows.  */
void
ledger_send_batch_to_copies (struct jc_ledger *ledger)
{
  struct rpc_ledger_copy message = message_new (ledger);
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

/* Keys of a transfer, cut into parts of whole records.  */
struct transfer
{
  struct jc_ledger *ledger;
  const struct peer *peer;
  struct rpc_ledger_copy message;
  GByteArray *part;
};

static void
transfer_send (struct transfer *transfer, bool last)
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
transfer_key (gpointer key, gpointer ctx)
{
  struct transfer *transfer = ctx;

  append_key (key, transfer->part);
  if (transfer->part->len >= PART_BYTES)
    transfer_send (transfer, false);
}

/* Send everything to PEER.  */
static void
transfer_start (struct jc_ledger *ledger, struct peer *peer)
{
  struct transfer transfer = { .ledger = ledger,
                               .peer = peer,
                               .message = message_new (ledger),
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
  jc_keytable_foreach (ledger->key_table, transfer_key, &transfer);
  transfer_send (&transfer, true);
  g_byte_array_free (transfer.part, TRUE);
}

/* Send everything anew to a process whose acknowledgement is overdue.  */
static void
lag_check (const struct jc_ledger *ledger, struct peer *peer)
{
  if (!peer->synced || peer->acked >= ledger->synced_sequence)
    peer->lag_since_ms = 0;
  else if (peer->lag_since_ms == 0)
    peer->lag_since_ms = ledger->now_ms;
  else if (ledger->now_ms - peer->lag_since_ms >= TRANSFER_RETRY_MS)
    peer->synced = false;
}

static bool
is_member (const struct jc_ledger *ledger, const struct peer *peer)
{
  const struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (strcmp (set->members.members_val[i].name, peer->name) == 0
        && set->members.members_val[i].incarnation == peer->incarnation)
      return true;
  return false;
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

/* Return the processes that may hold copies, ordered by name.  */
static GList *
candidates (const struct jc_ledger *ledger)
{
  GList *names = g_list_sort (g_hash_table_get_keys (ledger->peers),
                              (GCompareFunc)strcmp);
  GList *out = NULL;

  for (GList *at = names; at != NULL; at = at->next)
    {
      struct peer *peer = ledger_find_peer (ledger, at->data);

      if (peer->connected && peer->may_copy)
        out = g_list_append (out, peer);
    }
  g_list_free (names);
  return out;
}

/* Start transfers to members that lack something, and to candidates while
   members are missing.  */
static void
transfers_tick (struct jc_ledger *ledger)
{
  GList *list = candidates (ledger);
  unsigned int wanted = ledger->options.copies;

  for (GList *at = list; at != NULL; at = at->next)
    {
      const struct peer *peer = at->data;

      if (is_member (ledger, peer) && wanted > 0)
        wanted--;
    }
  for (GList *at = list; at != NULL; at = at->next)
    {
      struct peer *peer = at->data;
      bool awaited = is_member (ledger, peer) || is_pending (ledger, peer);
      bool due;

      lag_check (ledger, peer);
      due = peer->transfer_started_ms == 0
            || ledger->now_ms - peer->transfer_started_ms >= TRANSFER_RETRY_MS;

      if (!awaited && wanted == 0)
        continue;
      if (!awaited)
        wanted--;
      if (!peer->synced && due)
        transfer_start (ledger, peer);
    }
  g_list_free (list);
}

/* Tell whether MEMBER should stay: it is there, or was until just now.  */
static bool
member_stays (const struct jc_ledger *ledger,
              const struct rpc_ledger_member *member)
{
  const struct peer *peer = ledger_find_peer (ledger, member->name);
  int64_t since = ledger->serving_since_ms;

  if (peer != NULL && peer->incarnation != member->incarnation)
    return false;
  if (peer != NULL && peer->connected && peer->synced)
    return true;
  if (ledger->degraded_since_ms != 0)
    since = MAX (since, ledger->degraded_since_ms);
  return ledger->now_ms - since < ledger->options.copy_lost_ms;
}

static void
member_put (struct rpc_ledger_set *set, const char *name, uint64_t incarnation)
{
  struct rpc_ledger_member *member
      = &set->members.members_val[set->members.members_len++];

  member->name = (char *)name;
  member->incarnation = incarnation;
}

/* Fill TARGET with the members that there should be.  Return whether they
   differ from those in force.  */
static bool
target_fill (const struct jc_ledger *ledger, struct rpc_ledger_set *target)
{
  const struct rpc_ledger_set *set = &ledger->set;
  GList *list = candidates (ledger);
  uint64_t committed = ledger_committed_sequence (ledger);
  bool changed = false;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (member_stays (ledger, &set->members.members_val[i]))
      member_put (target, set->members.members_val[i].name,
                  set->members.members_val[i].incarnation);
    else
      changed = true;
  for (GList *at = list; at != NULL; at = at->next)
    {
      const struct peer *peer = at->data;

      if (target->members.members_len >= ledger->options.copies
          || is_member (ledger, peer) || !peer->synced
          || peer->acked < committed)
        continue;
      member_put (target, peer->name, peer->incarnation);
      changed = true;
    }
  g_list_free (list);
  return changed;
}

/* Propose TARGET's members for this disk.  What
   the proposal may add is durable before it goes out, since its outcome may
   never be learnt.  */
static void
propose (struct jc_ledger *ledger, struct rpc_ledger_set *target)
{
  target->home = (char *)ledger->options.home;
  target->ledger = (char *)ledger->options.name;
  target->revision = ledger->set.revision + 1;
  target->ledger_incarnation = ledger->incarnation;
  for (u_int i = 0; i < target->members.members_len; i++)
    ledger_add_pending_member (ledger, target->members.members_val[i].name,
                               target->members.members_val[i].incarnation);
  ledger->pending_revision = ledger->set.revision;
  if (ledger->pending_members->len > MEMBERS_MAX
      || ledger_save_pending (ledger) != JC_OK)
    return;
  ledger->proposed_ms = ledger->now_ms;
  ledger->ops->propose_set (ledger->ctx, target);
}

static bool
propose_due (const struct jc_ledger *ledger)
{
  return ledger->proposed_ms == 0
         || ledger->now_ms - ledger->proposed_ms >= PROPOSE_RETRY_MS;
}

static void
serving_tick (struct jc_ledger *ledger)
{
  struct rpc_ledger_member members[MEMBERS_MAX];
  struct rpc_ledger_set target
      = { .epoch = ledger->set.epoch, .members.members_val = members };
  bool whole = each_awaited (ledger, is_caught_up, NULL);

  if (whole)
    ledger->degraded_since_ms = 0;
  else if (ledger->degraded_since_ms == 0)
    ledger->degraded_since_ms = ledger->now_ms;
  transfers_tick (ledger);
  if (ledger->state == JC_LEDGER_SERVING && propose_due (ledger)
      && (target_fill (ledger, &target) || ledger->pending_members->len > 0))
    propose (ledger, &target);
}

/* Propose this disk as the ledger, with the members that held the copies: all
   of them hold what it rebuilt.  */
static void
propose_self (struct jc_ledger *ledger, bool with_members)
{
  struct rpc_ledger_set target = { .epoch = ledger->set.epoch + 1 };

  if (!propose_due (ledger))
    return;
  if (with_members)
    target.members = ledger->set.members;
  ledger->pending_revision = ledger->set.revision;
  ledger->disk = DISK_PROPOSED;
  if (ledger_rewrite (ledger) != JC_OK)
    return;
  propose (ledger, &target);
}

static void
pull_next (struct jc_ledger *ledger)
{
  g_byte_array_set_size (ledger->pulled_records, 0);
  ledger->pull_sent_ms = 0;
  ledger->pull_member++;
}

static void
pull_send (struct jc_ledger *ledger)
{
  const struct rpc_ledger_set *set = &ledger->set;
  const struct rpc_ledger_member *member
      = &set->members
             .members_val[ledger->pull_member % set->members.members_len];
  struct rpc_ledger_copy message = message_new (ledger);

  ledger->pull_sent_ms = ledger->now_ms;
  if (member_peer (ledger, member) == NULL)
    return;
  message.pull = TRUE;
  message.part = ledger->pulled_records->len;
  message.fence = fence_of (ledger, true);
  ledger->ops->send_copy (ledger->ctx, member->name, &message);
}

static void
recovering_tick (struct jc_ledger *ledger)
{
  if (ledger->disk != DISK_EMPTY || ledger->set.members.members_len == 0)
    return;
  if (ledger->pull_sent_ms != 0
      && ledger->now_ms - ledger->pull_sent_ms < PULL_RETRY_MS)
    return;
  if (ledger->pull_sent_ms != 0)
    pull_next (ledger);
  pull_send (ledger);
}

static void
forget_peers (struct jc_ledger *ledger)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ledger->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      peer->acked = 0;
      peer->synced = false;
      peer->transfer_started_ms = 0;
      peer->lag_since_ms = 0;
    }
}

/* The log's entry names this disk: serve.  */
static void
serve (struct jc_ledger *ledger)
{
  ledger->disk = DISK_CURRENT;
  ledger->serving_since_ms = ledger->now_ms;
  ledger->last_sweep_ms = ledger->now_ms;
  ledger->degraded_since_ms = 0;
  ledger->state = JC_LEDGER_SERVING;
  forget_peers (ledger);
  ledger_index_granted (ledger);
  ledger_rewrite (ledger);
}

/* The log's entry names another disk: what was proposed is proposed again
   unless the entry has changed since, and else pulled anew under another
   incarnation.  */
static void
give_way (struct jc_ledger *ledger)
{
  ledger->state = JC_LEDGER_RECOVERING;
  if (ledger->disk == DISK_PROPOSED
      && ledger->pending_revision == ledger->set.revision)
    ledger->state = JC_LEDGER_REBUILT;
  else if (ledger->disk == DISK_PROPOSED)
    {
      ledger->disk = DISK_EMPTY;
      ledger->incarnation++;
      ledger_rewrite (ledger);
    }
}

/* Decide from the log's entry what this disk is.  */
static void
state_decide (struct jc_ledger *ledger)
{
  if (ledger->set.revision == 0)
    ledger->state = JC_LEDGER_STARTING;
  else if (ledger->set.ledger_incarnation == ledger->incarnation)
    serve (ledger);
  else
    give_way (ledger);
}

/* Do what is due for the copies and the log's entry.  */
void
ledger_copyset_tick (struct jc_ledger *ledger)
{
  if (ledger->state == JC_LEDGER_STARTING
      || ledger->state == JC_LEDGER_RECOVERING)
    state_decide (ledger);
  if (ledger->state == JC_LEDGER_SERVING)
    serving_tick (ledger);
  else if (ledger->state == JC_LEDGER_STARTING)
    propose_self (ledger, false);
  else if (ledger->state == JC_LEDGER_REBUILT)
    propose_self (ledger, true);
  else if (ledger->state == JC_LEDGER_RECOVERING)
    recovering_tick (ledger);
}

static void
put_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct jc_ledger *ledger = ctx;
  uint64_t counter = record->fence & ((1ULL << LEDGER_FENCE_EPOCH_SHIFT) - 1);

  ledger->fence_counter = MAX (ledger->fence_counter, counter);
  ledger->sequence = MAX (ledger->sequence, record->sequence);
  jc_keytable_put (ledger->key_table, record);
}

/* Put what was pulled in place and make it durable.  */
static void
rebuild (struct jc_ledger *ledger)
{
  struct jc_str bytes = { .data = (const char *)ledger->pulled_records->data,
                          .len = ledger->pulled_records->len };

  jc_keytable_free (ledger->key_table);
  ledger->key_table = jc_keytable_new ();
  g_hash_table_remove_all (ledger->granted);
  if (jc_record_decode (bytes, put_record, ledger) != JC_OK)
    {
      pull_next (ledger);
      return;
    }
  g_byte_array_set_size (ledger->pulled_records, 0);
  ledger->sequence = ((ledger->sequence >> LEDGER_SEQUENCE_RUN_SHIFT) + 1)
                     << LEDGER_SEQUENCE_RUN_SHIFT;
  ledger->state = JC_LEDGER_REBUILT;
  ledger->proposed_ms = 0;
  propose_self (ledger, true);
}

static void
pulled_page (struct jc_ledger *ledger, const char *member,
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
      pull_next (ledger);
      return;
    }
  g_byte_array_append (ledger->pulled_records,
                       (const guint8 *)reply->records.rpc_bytes_val,
                       reply->records.rpc_bytes_len);
  if (reply->last)
    rebuild (ledger);
  else
    pull_send (ledger);
}

/* Take the answer of MEMBER to a copy message.  */
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
      pulled_page (ledger, member, reply);
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

/* A process is connected.  MAY_COPY tells whether it stands where the home's
   records may be.  */
void
jc_ledger_peer_up (struct jc_ledger *ledger, const char *name,
                   uint64_t incarnation, bool may_copy, int64_t now_ms)
{
  struct peer *peer = ledger_find_peer (ledger, name);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->name = g_strdup (name);
      g_hash_table_insert (ledger->peers, peer->name, peer);
    }
  if (peer->incarnation != incarnation)
    peer->acked = 0;
  peer->incarnation = incarnation;
  peer->connected = true;
  peer->may_copy = may_copy;
  peer->conn_changed_ms = now_ms;
  peer->synced = false;
  peer->transfer_started_ms = 0;
}

/* A process is no longer connected.  */
void
jc_ledger_peer_down (struct jc_ledger *ledger, const char *name,
                     uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = ledger_find_peer (ledger, name);

  if (peer == NULL || peer->incarnation != incarnation)
    return;
  peer->connected = false;
  peer->synced = false;
  peer->conn_changed_ms = now_ms;
}

/* Free what the set in force holds.  */
void
ledger_clear_set (struct jc_ledger *ledger)
{
  struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    g_free (set->members.members_val[i].name);
  g_free (set->members.members_val);
  memset (set, 0, sizeof *set);
}

static void
set_take (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  u_int len = set->members.members_len;

  ledger_clear_set (ledger);
  ledger->set.revision = set->revision;
  ledger->set.epoch = set->epoch;
  ledger->set.ledger_incarnation = set->ledger_incarnation;
  ledger->set.members.members_len = len;
  ledger->set.members.members_val = g_new0 (struct rpc_ledger_member, len + 1);
  for (u_int i = 0; i < len; i++)
    {
      ledger->set.members.members_val[i].name
          = g_strdup (set->members.members_val[i].name);
      ledger->set.members.members_val[i].incarnation
          = set->members.members_val[i].incarnation;
    }
}

static void
set_in_force (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  bool own = set->ledger_incarnation == ledger->incarnation;

  set_take (ledger, set);
  if (set->revision > ledger->pending_revision)
    g_ptr_array_set_size (ledger->pending_members, 0);
  ledger->proposed_ms = 0;
  if (ledger->state == JC_LEDGER_FAILED)
    return;
  if (!own || ledger->state != JC_LEDGER_SERVING)
    {
      ledger_drop_calls (ledger);
      ledger->state = JC_LEDGER_RECOVERING;
    }
  ledger_send_replies (ledger);
}

/* The replicated log committed SET.  It counts only as the successor of the
   entry in force; proposals that built on an older one are void.  */
void
jc_ledger_apply_set (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  if (strcmp (set->home, ledger->options.home) == 0
      && set->revision == ledger->set.revision + 1)
    set_in_force (ledger, set);
}

/* A snapshot of the replicated log has SET as the entry in force.  */
void
jc_ledger_restore_set (struct jc_ledger *ledger,
                       const struct rpc_ledger_set *set)
{
  if (strcmp (set->home, ledger->options.home) == 0
      && set->revision > ledger->set.revision)
    set_in_force (ledger, set);
}

/* Go on with what is on disk although records may be lost: the operator's way
   out where no copy is left.  JC_NOT_FOUND where nothing is to be
   recovered.  */
enum jc_status
jc_ledger_accept_loss (struct jc_ledger *ledger, int64_t now_ms)
{
  ledger->now_ms = now_ms;
  if (ledger->state != JC_LEDGER_RECOVERING)
    return jc_fail (JC_NOT_FOUND, "The ledger is %s; no loss to accept.",
                    jc_ledger_state_name (ledger->state));
  ledger->proposed_ms = 0;
  ledger->state = JC_LEDGER_REBUILT;
  propose_self (ledger, true);
  return ledger->state == JC_LEDGER_FAILED ? JC_STORAGE_FAILED : JC_OK;
}

/* Return how many copies the log's entry counts.  */
guint
jc_ledger_count_members (const struct jc_ledger *ledger)
{
  return ledger->set.members.members_len;
}

/* Return how many of these copies are there and caught up.  */
guint
jc_ledger_count_synced_members (const struct jc_ledger *ledger)
{
  const struct rpc_ledger_set *set = &ledger->set;
  guint held = 0;

  for (u_int i = 0; i < set->members.members_len; i++)
    held += is_caught_up (ledger, &set->members.members_val[i], NULL);
  return held;
}
