/* Replicated log, leader: replicates entries and snapshots, advances the
   commit index and maintains the replica set.  */

#include <string.h>

#include "base/log.h"
#include "conf/rlogprivate.h"

#define LOG_COMPONENT "log"

enum
{
  BATCH_ENTRIES_MAX = 512,
  BATCH_BYTES_MAX = 1024 * 1024,
  /* Entries in flight to a replica beyond its last acknowledged one.  */
  UNACKED_ENTRIES_MAX = 4096,
  /* A replica is promoted only if it answered within so many heartbeats.  */
  PROMOTE_ACK_HEARTBEATS = 3
};

void
jc_rlog_peer_free (gpointer data)
{
  struct jc_rlog_peer *peer = data;

  jc_rlog_transfer_unref (peer->transfer);
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

/* Create and remove peers so that there is one for each replica except this
   one.  */
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

/* Become the leader of the current term.  An empty entry is appended, since
   entries of earlier terms are committed only together with one of this
   term.  */
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

/* Schedule a message to every other replica for the next flush.  */
void
jc_rlog_mark_peers_due (struct jc_rlog *log)
{
  for (guint i = 0; i < log->peers->len; i++)
    ((struct jc_rlog_peer *)g_ptr_array_index (log->peers, i))->send_due = true;
}

/* Copy the next entries for PEER into BATCH, which has room for
   BATCH_ENTRIES_MAX.  Return their number; a peer that has not answered yet
   gets none.  */
static u_int
fill_batch (const struct jc_rlog *log, const struct jc_rlog_peer *peer,
            struct rpc_log_entry *batch)
{
  size_t bytes = 0;
  u_int count = 0;

  if (peer->incarnation == 0)
    return 0;
  while (count < BATCH_ENTRIES_MAX && bytes < BATCH_BYTES_MAX)
    {
      const struct rpc_log_entry *entry
          = jc_rlogstore_entry (log->store, peer->next_index + count);

      if (entry == NULL
          || peer->next_index + count > peer->match_index + UNACKED_ENTRIES_MAX)
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
  struct rpc_log_entry batch[BATCH_ENTRIES_MAX];
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
  peer->send_due = count == BATCH_ENTRIES_MAX;
  log->klass->send (log->ctx, peer->name, &body);
}

/* Return whether PEER needs the snapshot: it is being sent one, entries that it
   lacks are not in memory any more, or they take more than the snapshot.  */
static bool
needs_snapshot (const struct jc_rlog *log, const struct jc_rlog_peer *peer)
{
  const struct jc_rlogstore *store = log->store;

  if (peer->transfer != NULL
      || peer->next_index <= jc_rlogstore_base_index (store))
    return true;
  return peer->next_index <= store->snapshot_index
         && jc_rlogentries_size (&store->entries, peer->next_index,
                                 store->snapshot_index, store->snapshot->len)
                > store->snapshot->len;
}

/* Send to each replica for which a message is due.  Return whether there was
   one.  */
bool
jc_rlog_send_to_due_peers (struct jc_rlog *log)
{
  bool sent = false;

  for (guint i = 0; i < log->peers->len; i++)
    {
      struct jc_rlog_peer *peer = g_ptr_array_index (log->peers, i);

      if (!peer->send_due)
        continue;
      peer->send_due = false;
      sent = true;
      if (needs_snapshot (log, peer))
        jc_rlog_send_snapshot_chunk (log, peer);
      else
        send_entries (log, peer);
    }
  return sent;
}

/* Return the last index that is durable on the disk to which REPLICA is bound,
   as far as this leader knows.  */
static uint64_t
durable_index (const struct jc_rlog *log, const struct rpc_replica *replica)
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
quorum_holds (const struct jc_rlog *log, uint64_t index)
{
  unsigned int holders = 0;

  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];

      if (replica->voter && durable_index (log, replica) >= index)
        holders++;
    }
  return holders > jc_replicas_count_voters (&log->replicas) / 2;
}

/* Advance the commit index to the last entry that a majority of the voters
   holds durably.  Entries of earlier terms are committed only together with
   one of this term.  Return whether it advanced.  */
bool
jc_rlog_advance_commit (struct jc_rlog *log)
{
  uint64_t index = jc_rlogstore_last_index (log->store);

  while (index > log->commit_index && !quorum_holds (log, index))
    index--;
  if (index <= log->commit_index
      || jc_rlogstore_term_at (log->store, index) != log->store->term)
    return false;
  log->commit_index = index;
  return true;
}

/* Return whether a majority of the voters, this replica included, answered
   within the last election timeout.  */
bool
jc_rlog_has_quorum (const struct jc_rlog *log)
{
  unsigned int answered = 0;

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
        answered++;
    }
  return answered > jc_replicas_count_voters (&log->replicas) / 2;
}

/* Return how long the replica NAME has not answered this leader at NOW_MS.
   This is 0 for this replica itself, for an unknown one and if this replica is
   not the leader.  */
int64_t
jc_rlog_silent_ms (const struct jc_rlog *log, const char *name, int64_t now_ms)
{
  const struct jc_rlog_peer *peer = find_peer (log, name);

  if (log->role != JC_RLOG_LEADER || peer == NULL)
    return 0;
  return MAX (now_ms - peer->last_ack_ms, 0);
}

/* Return whether the replica NAME holds all entries that this leader has
   committed.  */
bool
jc_rlog_caught_up (const struct jc_rlog *log, const char *name)
{
  const struct jc_rlog_peer *peer = find_peer (log, name);

  if (log->role != JC_RLOG_LEADER)
    return false;
  if (strcmp (name, log->name) == 0)
    return true;
  return peer != NULL && peer->incarnation != 0
         && peer->match_index >= log->commit_index;
}

static void
ignore_outcome (void *ctx, enum jc_status status)
{
  (void)ctx;
  (void)status;
}

/* Propose the change that REPLICA needs, if any: bind its name to the disk
   that answers, without a vote, or promote it to voter once that disk has
   caught up.  Return whether a change was proposed.  */
static bool
update_replica (struct jc_rlog *log, const struct rpc_replica *replica,
                const struct jc_rlog_peer *peer)
{
  struct rpc_replica next = *replica;
  int64_t ack_limit_ms = PROMOTE_ACK_HEARTBEATS * log->options.heartbeat_ms;

  if (peer->incarnation == 0)
    return false;
  if (peer->incarnation != replica->incarnation)
    {
      next.incarnation = peer->incarnation;
      next.voter = false;
    }
  else if (replica->standing && !replica->voter
           && peer->match_index >= log->commit_index
           && log->now_ms - peer->last_ack_ms < ack_limit_ms)
    next.voter = true;
  else
    return false;
  next.name = g_strdup (replica->name);
  jc_info (LOG_COMPONENT, "Replica %s is bound to disk %lx as a %s.", next.name,
           (unsigned long)next.incarnation, next.voter ? "voter" : "non-voter");
  jc_rlog_propose_replica (log, &next, ignore_outcome, NULL);
  g_free (next.name);
  return true;
}

/* Propose one due change of the replica set if changes are allowed now.  */
void
jc_rlog_update_replicas (struct jc_rlog *log)
{
  if (!jc_rlog_may_change_replicas (log))
    return;
  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];
      const struct jc_rlog_peer *peer = find_peer (log, replica->name);

      if (peer != NULL && update_replica (log, replica, peer))
        return;
    }
}

/* Return whether a reply to ROUND from the disk INCARNATION is valid for PEER.
   A change of the incarnation is accepted only in reply to a round that was
   sent after the last such change, so that a delayed reply of an earlier disk
   does not count.  What was known of the old disk is then discarded.  */
static bool
check_incarnation (struct jc_rlog *log, struct jc_rlog_peer *peer,
                   uint64_t incarnation, uint64_t round)
{
  if (peer->incarnation == incarnation)
    return true;
  if (round <= peer->incarnation_round)
    return false;
  peer->incarnation = incarnation;
  peer->incarnation_round = log->last_round;
  peer->match_index = 0;
  jc_rlog_end_transfer (log, peer);
  return true;
}

/* Return the peer FROM if its reply, sent in TERM to ROUND by the disk
   INCARNATION, counts for this leader, or NULL.  A reply of a later term makes
   this replica a follower.  */
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
      || !check_incarnation (log, peer, incarnation, round))
    return NULL;
  peer->last_ack_ms = log->now_ms;
  return peer;
}

/* Handle the reply of FROM to entries.  */
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

/* Handle the reply of FROM to a chunk of the snapshot.  */
void
jc_rlog_handle_install_reply (struct jc_rlog *log, const char *from,
                              const struct rpc_install_reply *reply)
{
  struct jc_rlog_peer *peer = replying_peer (
      log, from, reply->term, reply->disk_incarnation, reply->round);

  if (peer == NULL)
    return;
  if (peer->transfer != NULL && reply->last_index == peer->transfer->index)
    peer->chunk_resend_ms = 0;
  if (reply->offset == INSTALL_COMPLETE_OFFSET)
    {
      peer->match_index = MAX (peer->match_index, reply->last_index);
      peer->next_index = MAX (peer->next_index, peer->match_index + 1);
      if (peer->transfer != NULL && peer->match_index >= peer->transfer->index)
        jc_rlog_end_transfer (log, peer);
    }
  else if (peer->transfer == NULL || reply->last_index != peer->transfer->index
           || reply->offset > peer->transfer->bytes->len)
    return;
  else
    peer->install_offset = reply->offset;
  peer->send_due = true;
}
