/* Elections of the replicated log.  */

#include <string.h>

#include "conf/rlogprivate.h"

/* Return the next number of LOG's random sequence.  */
static uint64_t
next_random (struct jc_rlog *log)
{
  uint64_t z = log->random_state += 0x9E3779B97F4A7C15U;

  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9U;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBU;
  return z ^ (z >> 31);
}

/* Draw the time of the next election.  */
void
jc_rlog_reset_election_timer (struct jc_rlog *log)
{
  int64_t span = log->options.election_ms;

  log->election_due_ms
      = log->now_ms + span + (int64_t)(next_random (log) % (uint64_t)span);
}

static bool
voted (const struct jc_rlog *log, const char *name)
{
  return g_ptr_array_find_with_equal_func (log->votes, name, g_str_equal, NULL);
}

static bool
votes_suffice (const struct jc_rlog *log)
{
  return log->votes->len > jc_replicas_count_voters (&log->replicas) / 2;
}

static void
ask_votes (struct jc_rlog *log, bool pre)
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

/* Stand for election in a new term; most voters have said that they would
   agree.  */
static void
stand (struct jc_rlog *log)
{
  jc_rlogstore_set_hard_state (log->store, log->store->term + 1, log->name);
  restart_votes (log, JC_RLOG_CANDIDATE);
  if (votes_suffice (log))
    jc_rlog_become_leader (log);
  else
    ask_votes (log, false);
}

/* Ask the voters whether they would elect this replica.  The term stays, so
   that a replica that was cut off disturbs nobody.  */
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
  if (votes_suffice (log))
    stand (log);
  else
    ask_votes (log, true);
}

static bool
up_to_date (const struct jc_rlog *log, const struct rpc_vote *vote)
{
  uint64_t last = jc_rlogstore_last_index (log->store);
  uint64_t last_term = jc_rlogstore_term_at (log->store, last);

  if (vote->last_term != last_term)
    return vote->last_term > last_term;
  return vote->last_index >= last;
}

/* Tell whether a leader is at work as far as this replica knows.  */
static bool
leader_lives (const struct jc_rlog *log)
{
  if (log->role == JC_RLOG_LEADER)
    return jc_rlog_has_quorum (log);
  return log->leader[0] != '\0'
         && log->now_ms - log->leader_contact_ms < log->options.election_ms;
}

static bool
grant (struct jc_rlog *log, const char *from, const struct rpc_vote *vote)
{
  const struct jc_rlogstore *store = log->store;

  if (vote->term != store->term || !up_to_date (log, vote))
    return false;
  if (store->voted_for[0] != '\0' && strcmp (store->voted_for, from) != 0)
    return false;
  if (store->voted_for[0] == '\0')
    jc_rlogstore_set_hard_state (log->store, store->term, from);
  jc_rlog_reset_election_timer (log);
  return true;
}

/* Tell whether FROM goes first where it and this replica ask for votes at the
   same time: the one that holds more does, else the one whose name sorts
   first.  If each agreed to the other, both would stand and neither win.  */
static bool
goes_first (const struct jc_rlog *log, const char *from,
            const struct rpc_vote *vote)
{
  uint64_t last = jc_rlogstore_last_index (log->store);

  return vote->last_term != jc_rlogstore_term_at (log->store, last)
         || vote->last_index != last || strcmp (from, log->name) < 0;
}

/* Tell whether this replica would elect FROM in a new term.  One that asks for
   votes itself gives way by that.  */
static bool
agree (struct jc_rlog *log, const char *from, const struct rpc_vote *vote)
{
  if (vote->term <= log->store->term || !up_to_date (log, vote))
    return false;
  if (log->role == JC_RLOG_PRE_CANDIDATE)
    {
      if (!goes_first (log, from, vote))
        return false;
      jc_rlog_become_follower (log, log->store->term, "");
    }
  return true;
}

/* Answer the candidate FROM.  While a leader is at work nobody is elected,
   and no term is taken over from a candidate.  */
void
jc_rlog_handle_vote (struct jc_rlog *log, const char *from,
                     const struct rpc_vote *vote)
{
  struct rpc_body body = { .type = RPC_VOTE_REPLY };
  struct rpc_vote_reply *reply = &body.rpc_body_u.vote_reply;

  reply->pre = vote->pre;
  reply->disk_incarnation = log->store->incarnation;
  if (vote->term > log->store->term && leader_lives (log))
    return;
  if (vote->pre)
    reply->granted = agree (log, from, vote);
  else
    {
      if (vote->term > log->store->term)
        jc_rlog_become_follower (log, vote->term, "");
      reply->granted = grant (log, from, vote);
    }
  reply->term = vote->pre && reply->granted ? vote->term : log->store->term;
  jc_rlog_queue_message (log, from, &body);
}

/* Tell whether the vote of REPLY counts: a voter whose disk was lost has lost
   its promises with it.  */
static bool
vote_counts (const struct jc_rlog *log, const char *from,
             const struct rpc_vote_reply *reply)
{
  const struct rpc_replica *replica = jc_replicas_find (&log->replicas, from);

  return reply->granted && replica != NULL && replica->voter
         && replica->incarnation == reply->disk_incarnation
         && !voted (log, from);
}

/* Count the vote of FROM.  */
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
  if (!votes_suffice (log))
    return;
  if (reply->pre)
    stand (log);
  else
    jc_rlog_become_leader (log);
}
