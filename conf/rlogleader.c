/* Leader of the replicated log: feeds the other replicas, counts what they
   hold and tends their membership.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define PART "log"

enum
{
  BATCH_ENTRIES = 512,
  BATCH_BYTES = 1024 * 1024,
  WINDOW_ENTRIES = 4096,
  FRESH_BEATS = 3,
  CHUNK_BEATS = 4
};

/* Free a struct jc_rlog_peer.  */
void
jc_rlog_peer_free (gpointer data)
{
  struct jc_rlog_peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

static struct jc_rlog_peer *
find_peer (const struct jc_rlog *log, const char *name)
{
  for (guint i = 0; i < log->peers->len; i++)
    {
      struct jc_rlog_peer *peer = g_ptr_array_index (log->peers, i);

      if (strcmp (peer->name, name) == 0)
        return peer;
    }
  return NULL;
}

static void
add_peer (struct jc_rlog *log, const char *name)
{
  struct jc_rlog_peer *peer = g_new0 (struct jc_rlog_peer, 1);

  peer->name = g_strdup (name);
  peer->next_index = jc_rlogstore_last_index (log->store) + 1;
  peer->last_ack_ms = log->now_ms;
  peer->send_due = true;
  g_ptr_array_add (log->peers, peer);
}

/* Make the peers agree with the replicas.  */
void
jc_rlog_sync_peers (struct jc_rlog *log)
{
  for (guint i = log->peers->len; i > 0; i--)
    {
      const struct jc_rlog_peer *peer = g_ptr_array_index (log->peers, i - 1);

      if (jc_replicas_find (&log->replicas, peer->name) == NULL)
        g_ptr_array_remove_index (log->peers, i - 1);
    }
  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const char *name = log->replicas.list.list_val[i].name;

      if (strcmp (name, log->name) != 0 && find_peer (log, name) == NULL)
        add_peer (log, name);
    }
}

/* Become the leader of the current term.  */
void
jc_rlog_become_leader (struct jc_rlog *log)
{
  g_ptr_array_set_size (log->votes, 0);
  g_ptr_array_set_size (log->peers, 0);
  jc_rlog_set_role (log, JC_RLOG_LEADER);
  jc_rlog_append (log, JC_RLOG_NOOP, JC_STR_LIT (""));
  log->term_start_index = jc_rlogstore_last_index (log->store);
  jc_rlog_sync_peers (log);
  log->heartbeat_due_ms = log->now_ms + log->options.heartbeat_ms;
}

/* Ask for a message to every other replica.  */
void
jc_rlog_mark_peers_due (struct jc_rlog *log)
{
  for (guint i = 0; i < log->peers->len; i++)
    ((struct jc_rlog_peer *)g_ptr_array_index (log->peers, i))->send_due = true;
}

static void
send_chunk (struct jc_rlog *log, struct jc_rlog_peer *peer)
{
  const struct jc_rlogstore *store = log->store;
  struct rpc_body body = { .type = RPC_INSTALL };
  struct rpc_install *install = &body.rpc_body_u.install;
  size_t left;

  if (peer->install_index == store->snapshot_index
      && log->now_ms < peer->chunk_resend_ms)
    return;
  peer->chunk_resend_ms = log->now_ms + CHUNK_BEATS * log->options.heartbeat_ms;
  if (log->encoded_snapshot->len == 0)
    jc_rlogstore_encode_snapshot (store, log->encoded_snapshot);
  if (peer->install_index != store->snapshot_index)
    {
      peer->install_index = store->snapshot_index;
      peer->install_offset = 0;
    }
  left = log->encoded_snapshot->len - peer->install_offset;
  install->term = store->term;
  install->last_index = store->snapshot_index;
  install->last_term = store->snapshot_term;
  install->offset = peer->install_offset;
  install->done = left <= log->options.snapshot_chunk_bytes;
  install->data.rpc_bytes_val
      = log->encoded_snapshot->str + peer->install_offset;
  install->data.rpc_bytes_len
      = (u_int)MIN (left, log->options.snapshot_chunk_bytes);
  install->log_id = store->log_id;
  install->round = ++log->last_round;
  log->klass->send (log->ctx, peer->name, &body);
}

/* Copy the entries for PEER into BATCH, which has room for BATCH_ENTRIES.
   Return how many; a peer that has not yet answered gets none.  */
static u_int
fill_batch (const struct jc_rlog *log, const struct jc_rlog_peer *peer,
            struct rpc_log_entry *batch)
{
  size_t bytes = 0;
  u_int count = 0;

  if (peer->incarnation == 0)
    return 0;
  while (count < BATCH_ENTRIES && bytes < BATCH_BYTES)
    {
      const struct rpc_log_entry *entry
          = jc_rlogstore_entry (log->store, peer->next_index + count);

      if (entry == NULL
          || peer->next_index + count > peer->match_index + WINDOW_ENTRIES)
        break;
      batch[count++] = *entry;
      bytes += entry->data.rpc_bytes_len;
    }
  return count;
}

static void
send_entries (struct jc_rlog *log, struct jc_rlog_peer *peer)
{
  const struct jc_rlogstore *store = log->store;
  struct rpc_log_entry batch[BATCH_ENTRIES];
  struct rpc_body body = { .type = RPC_APPEND };
  struct rpc_append *append = &body.rpc_body_u.append;
  u_int count = fill_batch (log, peer, batch);

  append->term = store->term;
  append->prev_index = peer->next_index - 1;
  append->prev_term = jc_rlogstore_term_at (store, append->prev_index);
  append->commit = log->commit_index;
  append->round = ++log->last_round;
  append->entries.entries_val = batch;
  append->entries.entries_len = count;
  append->log_id = store->log_id;
  peer->next_index += count;
  peer->send_due = count == BATCH_ENTRIES;
  log->klass->send (log->ctx, peer->name, &body);
}

/* Send to each replica that is due.  Return whether there was any.  */
bool
jc_rlog_send_to_due_peers (struct jc_rlog *log)
{
  bool any = false;

  for (guint i = 0; i < log->peers->len; i++)
    {
      struct jc_rlog_peer *peer = g_ptr_array_index (log->peers, i);

      if (!peer->send_due)
        continue;
      peer->send_due = false;
      any = true;
      if (peer->next_index <= log->store->snapshot_index)
        send_chunk (log, peer);
      else
        send_entries (log, peer);
    }
  return any;
}

/* Return the last index that REPLICA holds durably on the disk that its name
   is bound to.  */
static uint64_t
held_by (const struct jc_rlog *log, const struct rpc_replica *replica)
{
  const struct jc_rlog_peer *peer;

  if (strcmp (replica->name, log->name) == 0)
    return log->store->synced_index;
  peer = find_peer (log, replica->name);
  if (peer == NULL || peer->incarnation != replica->incarnation)
    return 0;
  return peer->match_index;
}

static bool
most_hold (const struct jc_rlog *log, uint64_t index)
{
  unsigned int holding = 0;

  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];

      if (replica->voter && held_by (log, replica) >= index)
        holding++;
    }
  return holding > jc_replicas_count_voters (&log->replicas) / 2;
}

/* Move the commit position on as far as most voters hold the log; entries of
   earlier terms only together with one of this term.  */
bool
jc_rlog_advance_commit (struct jc_rlog *log)
{
  uint64_t index = jc_rlogstore_last_index (log->store);

  while (index > log->commit_index && !most_hold (log, index))
    index--;
  if (index <= log->commit_index
      || jc_rlogstore_term_at (log->store, index) != log->store->term)
    return false;
  log->commit_index = index;
  return true;
}

/* Tell whether most voters answered within the last election time.  */
bool
jc_rlog_has_quorum (const struct jc_rlog *log)
{
  unsigned int heard = 0;

  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];
      const struct jc_rlog_peer *peer = find_peer (log, replica->name);
      bool self = strcmp (replica->name, log->name) == 0;

      if (replica->voter
          && (self
              || (peer != NULL
                  && log->now_ms - peer->last_ack_ms
                         < log->options.election_ms)))
        heard++;
    }
  return heard > jc_replicas_count_voters (&log->replicas) / 2;
}

/* Return for how long the replica NAME has not answered this leader at
   NOW_MS, 0 for this replica and where it does not lead.  */
int64_t
jc_rlog_silent_ms (const struct jc_rlog *log, const char *name, int64_t now_ms)
{
  const struct jc_rlog_peer *peer = find_peer (log, name);

  if (log->role != JC_RLOG_LEADER || peer == NULL)
    return 0;
  return MAX (now_ms - peer->last_ack_ms, 0);
}

/* Tell whether the replica NAME holds all that this leader has committed.  */
bool
jc_rlog_caught_up (const struct jc_rlog *log, const char *name)
{
  const struct jc_rlog_peer *peer = find_peer (log, name);

  return log->role == JC_RLOG_LEADER && peer != NULL && peer->incarnation != 0
         && peer->match_index >= log->commit_index;
}

static void
ignore_done (void *ctx, enum jc_status status)
{
  (void)ctx;
  (void)status;
}

/* Change what must change of REPLICA: bind its name to the disk that answers,
   then promote it once that disk has caught up.  Return whether anything.  */
static bool
tend_replica (struct jc_rlog *log, const struct rpc_replica *replica,
              const struct jc_rlog_peer *peer)
{
  struct rpc_replica next = *replica;
  int64_t fresh_ms = FRESH_BEATS * log->options.heartbeat_ms;

  if (peer->incarnation == 0)
    return false;
  if (peer->incarnation != replica->incarnation)
    {
      next.incarnation = peer->incarnation;
      next.voter = false;
    }
  else if (replica->standing && !replica->voter
           && peer->match_index >= log->commit_index
           && log->now_ms - peer->last_ack_ms < fresh_ms)
    next.voter = true;
  else
    return false;
  next.name = g_strdup (replica->name);
  jc_info (PART, "%s is bound to disk %lx and %s.", next.name,
           (unsigned long)next.incarnation,
           next.voter ? "votes" : "does not vote");
  jc_rlog_propose_replica (log, &next, ignore_done, NULL);
  g_free (next.name);
  return true;
}

/* Make one change of the replicas where one is due and may be made.  */
void
jc_rlog_update_replicas (struct jc_rlog *log)
{
  if (!jc_rlog_may_change_replicas (log))
    return;
  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];
      const struct jc_rlog_peer *peer = find_peer (log, replica->name);

      if (peer != NULL && tend_replica (log, replica, peer))
        return;
    }
}

/* Note that the disk INCARNATION answered ROUND.  Return whether the answer
   is of the disk that answers now.  */
static bool
note_disk (struct jc_rlog *log, struct jc_rlog_peer *peer, uint64_t incarnation,
           uint64_t round)
{
  if (peer->incarnation == incarnation)
    return true;
  if (round <= peer->incarnation_round)
    return false;
  peer->incarnation = incarnation;
  peer->incarnation_round = log->last_round;
  peer->match_index = 0;
  peer->install_index = 0;
  return true;
}

/* Return the peer FROM, whose answer of TERM and ROUND this leader may count
   for the disk INCARNATION, or NULL.  */
static struct jc_rlog_peer *
replying_peer (struct jc_rlog *log, const char *from, uint64_t term,
               uint64_t incarnation, uint64_t round)
{
  struct jc_rlog_peer *peer = find_peer (log, from);

  if (term > log->store->term)
    {
      jc_rlog_become_follower (log, term, "");
      return NULL;
    }
  if (log->role != JC_RLOG_LEADER || term < log->store->term || peer == NULL
      || !note_disk (log, peer, incarnation, round))
    return NULL;
  peer->last_ack_ms = log->now_ms;
  return peer;
}

/* Take the answer of FROM to entries.  */
void
jc_rlog_handle_append_reply (struct jc_rlog *log, const char *from,
                             const struct rpc_append_reply *reply)
{
  struct jc_rlog_peer *peer = replying_peer (
      log, from, reply->term, reply->disk_incarnation, reply->round);

  if (peer == NULL)
    return;
  if (reply->ok)
    {
      peer->match_index = MAX (peer->match_index, reply->match_index);
      peer->next_index = MAX (peer->next_index, peer->match_index + 1);
    }
  else if (reply->round <= peer->rejected_round)
    return;
  else
    peer->next_index = MAX (peer->match_index,
                            MIN (peer->next_index - 1, reply->match_index))
                       + 1;
  if (!reply->ok)
    peer->rejected_round = log->last_round;
  if (!reply->ok || peer->next_index <= jc_rlogstore_last_index (log->store))
    peer->send_due = true;
}

/* Take the answer of FROM to a part of the snapshot.  */
void
jc_rlog_handle_install_reply (struct jc_rlog *log, const char *from,
                              const struct rpc_install_reply *reply)
{
  struct jc_rlog_peer *peer = replying_peer (
      log, from, reply->term, reply->disk_incarnation, reply->round);

  if (peer == NULL)
    return;
  peer->chunk_resend_ms = 0;
  if (reply->offset == INSTALL_COMPLETE_OFFSET)
    {
      peer->match_index = MAX (peer->match_index, reply->last_index);
      peer->next_index = MAX (peer->next_index, peer->match_index + 1);
    }
  else if (reply->last_index != peer->install_index
           || reply->offset > log->encoded_snapshot->len)
    return;
  else
    peer->install_offset = reply->offset;
  peer->send_due = true;
}
