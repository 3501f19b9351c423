/* Replicated log, elections: pre-vote, then vote.  */

#include <string.h>

#include "conf/rlogprivate.h"

/* Return the next number of LOG's pseudo-random sequence (SplitMix64).  */
static uint64_t
next_random (struct jc_rlog *log)
{
  uint64_t z = log->random_state += 0x9E3779B97F4A7C15U;

  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9U;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBU;
  return z ^ (z >> 31);
}

/* Restart the election timer with a new random timeout.  */
void
jc_rlog_reset_election_timer (struct jc_rlog *log)
{
  int64_t span = log->options.election_ms;

  log->election_due_ms
      = log->now_ms + span + (int64_t)(next_random (log) % (uint64_t)span);
}

static bool
has_vote_of (const struct jc_rlog *log, const char *name)
{
  return g_ptr_array_find_with_equal_func (log->votes, name, g_str_equal, NULL);
}

static bool
has_majority (const struct jc_rlog *log)
{
  return log->votes->len > jc_replicas_count_voters (&log->replicas) / 2;
}

static void
request_votes (struct jc_rlog *log, bool pre)
{
  const struct jc_rlogstore *store = log->store;
  struct rpc_body body = { .type = RPC_VOTE };
  struct rpc_vote *vote = &body.rpc_body_u.vote;

  vote->term = store->term + (pre ? 1 : 0);
  vote->pre = pre;
  vote->last_index = jc_rlogstore_last_index (store);
  vote->last_term = jc_rlogstore_term_at (store, vote->last_index);
  vote->log_id = store->log_id;
  for (u_int i = 0; i < log->replicas.list.list_len; i++)
    {
      const struct rpc_replica *replica = &log->replicas.list.list_val[i];

      if (replica->voter && strcmp (replica->name, log->name) != 0)
        jc_rlog_queue_message (log, replica->name, &body);
    }
}

static void
restart_votes (struct jc_rlog *log, enum jc_rlog_role role)
{
  g_ptr_array_set_size (log->votes, 0);
  g_ptr_array_add (log->votes, g_strdup (log->name));
  jc_rlog_set_role (log, role);
  jc_rlog_reset_election_timer (log);
}

/* Start an election in a new term, after a majority of the voters granted a
   pre-vote.  */
static void
start_election (struct jc_rlog *log)
{
  jc_rlogstore_set_hard_state (log->store, log->store->term + 1, log->name);
  restart_votes (log, JC_RLOG_CANDIDATE);
  if (has_majority (log))
    jc_rlog_become_leader (log);
  else
    request_votes (log, false);
}

/* Ask the voters for a pre-vote.  The term does not change, so a replica that
   was partitioned does not disrupt the others when it returns.  */
void
jc_rlog_start_pre_vote (struct jc_rlog *log)
{
  if (!jc_rlog_is_voter (log))
    {
      jc_rlog_reset_election_timer (log);
      return;
    }
  jc_rlog_become_follower (log, log->store->term, "");
  restart_votes (log, JC_RLOG_PRE_CANDIDATE);
  if (has_majority (log))
    start_election (log);
  else
    request_votes (log, true);
}

static bool
candidate_is_up_to_date (const struct jc_rlog *log, const struct rpc_vote *vote)
{
  uint64_t last = jc_rlogstore_last_index (log->store);
  uint64_t last_term = jc_rlogstore_term_at (log->store, last);

  if (vote->last_term != last_term)
    return vote->last_term > last_term;
  return vote->last_index >= last;
}

/* Return whether there is an active leader as far as this replica knows.  */
static bool
leader_is_active (const struct jc_rlog *log)
{
  if (log->role == JC_RLOG_LEADER)
    return jc_rlog_has_quorum (log);
  return log->leader[0] != '\0'
         && log->now_ms - log->leader_contact_ms < log->options.election_ms;
}

static bool
grant_vote (struct jc_rlog *log, const char *from, const struct rpc_vote *vote)
{
  const struct jc_rlogstore *store = log->store;

  if (vote->term != store->term || !candidate_is_up_to_date (log, vote))
    return false;
  if (store->voted_for[0] != '\0' && strcmp (store->voted_for, from) != 0)
    return false;
  if (store->voted_for[0] == '\0')
    jc_rlogstore_set_hard_state (log->store, store->term, from);
  jc_rlog_reset_election_timer (log);
  return true;
}

/* Return whether FROM takes precedence when it and this replica ask for votes
   at the same time: the one with the more complete log does, otherwise the one
   whose name sorts first.  If each granted the other a pre-vote, both would
   start an election and neither would win.  */
static bool
has_precedence (const struct jc_rlog *log, const char *from,
                const struct rpc_vote *vote)
{
  uint64_t last = jc_rlogstore_last_index (log->store);

  return vote->last_term != jc_rlogstore_term_at (log->store, last)
         || vote->last_index != last || strcmp (from, log->name) < 0;
}

/* Return whether this replica would vote for FROM in a new term.  If so, and it
   is asking for pre-votes itself, it becomes a follower.  */
static bool
grant_pre_vote (struct jc_rlog *log, const char *from,
                const struct rpc_vote *vote)
{
  if (vote->term <= log->store->term || !candidate_is_up_to_date (log, vote))
    return false;
  if (log->role == JC_RLOG_PRE_CANDIDATE)
    {
      if (!has_precedence (log, from, vote))
        return false;
      jc_rlog_become_follower (log, log->store->term, "");
    }
  return true;
}

/* Handle the vote request VOTE of the candidate FROM.  While there is an
   active leader, a request of a later term is not answered and its term is not
   adopted.  */
void
jc_rlog_handle_vote (struct jc_rlog *log, const char *from,
                     const struct rpc_vote *vote)
{
  struct rpc_body body = { .type = RPC_VOTE_REPLY };
  struct rpc_vote_reply *reply = &body.rpc_body_u.vote_reply;

  reply->pre = vote->pre;
  reply->disk_incarnation = log->store->incarnation;
  if (vote->term > log->store->term && leader_is_active (log))
    return;
  if (vote->pre)
    reply->granted = grant_pre_vote (log, from, vote);
  else
    {
      if (vote->term > log->store->term)
        jc_rlog_become_follower (log, vote->term, "");
      reply->granted = grant_vote (log, from, vote);
    }
  reply->term = vote->pre && reply->granted ? vote->term : log->store->term;
  jc_rlog_queue_message (log, from, &body);
}

/* Return whether the vote in REPLY counts.  A voter that lost its disk no
   longer knows which votes it gave, so a vote counts only from the disk that
   the voter is bound to.  */
static bool
vote_counts (const struct jc_rlog *log, const char *from,
             const struct rpc_vote_reply *reply)
{
  const struct rpc_replica *replica = jc_replicas_find (&log->replicas, from);

  return reply->granted && replica != NULL && replica->voter
         && replica->incarnation == reply->disk_incarnation
         && !has_vote_of (log, from);
}

/* Handle the vote reply of FROM.  A majority of pre-votes starts an election,
   a majority of votes makes this replica the leader.  */
void
jc_rlog_handle_vote_reply (struct jc_rlog *log, const char *from,
                           const struct rpc_vote_reply *reply)
{
  enum jc_rlog_role role
      = reply->pre ? JC_RLOG_PRE_CANDIDATE : JC_RLOG_CANDIDATE;
  uint64_t term = log->store->term + (reply->pre ? 1 : 0);

  if (reply->term > log->store->term && !reply->granted)
    {
      jc_rlog_become_follower (log, reply->term, "");
      return;
    }
  if (log->role != role || reply->term != term
      || !vote_counts (log, from, reply))
    return;
  g_ptr_array_add (log->votes, g_strdup (from));
  if (!has_majority (log))
    return;
  if (reply->pre)
    start_election (log);
  else
    jc_rlog_become_leader (log);
}
