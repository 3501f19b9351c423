/* Replica placement.  */

#include "conf/placement.h"

enum
{
  /* A designated voter that is silent for longer is replaced by a replica that
     has caught up.  This is longer than an election takes, and shorter than the
     time within which a new instance must become a member.  */
  REPLACE_SILENT_MS = 2500,
  /* A replica is designated as a voter only if it answered within this
     time.  */
  PROMOTE_ANSWER_MS = 1000,
  /* A replica that is not designated is removed if it is silent for so
     long.  */
  REMOVE_SILENT_MS = 30000
};

/* Return the target number of voters, of which LOSSES may be lost while a
   majority remains.  */
unsigned int
jc_placement_target_voters (unsigned int losses)
{
  return 2 * losses + 1;
}

/* Return whether a committed order survives the loss of any LOSSES instances
   at once: a quorum of VOTERS must have more disks than that, and the
   remaining voters must still form a quorum.  In a group of fewer KNOWN
   instances than the target all of them must vote.  */
bool
jc_placement_survives_losses (unsigned int voters, unsigned int known,
                              unsigned int losses)
{
  return voters >= MIN (jc_placement_target_voters (losses), known)
         && voters / 2 + 1 > losses;
}

/* Return how many designated voters are not silent.  */
static unsigned int
count_designated (const struct jc_placement_peer *peers, guint count)
{
  unsigned int designated = 0;

  for (guint i = 0; i < count; i++)
    designated
        += peers[i].designated_voter && peers[i].silent_ms <= REPLACE_SILENT_MS
               ? 1
               : 0;
  return designated;
}

/* Return how many voters hold all committed entries and answer.  */
static unsigned int
count_voting (const struct jc_placement_peer *peers, guint count)
{
  unsigned int voting = 0;

  for (guint i = 0; i < count; i++)
    voting += peers[i].votes && peers[i].caught_up
                      && peers[i].silent_ms < PROMOTE_ANSWER_MS
                  ? 1
                  : 0;
  return voting;
}

static struct jc_placement_change
put_change (const struct jc_placement_peer *peer, bool designated_voter,
            const char *reason)
{
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_PUT,
                                       .name = peer->name,
                                       .designated_voter = designated_voter,
                                       .reason = reason };
}

static struct jc_placement_change
remove_change (const struct jc_placement_peer *peer, const char *reason)
{
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_REMOVE,
                                       .name = peer->name,
                                       .reason = reason,
                                       .silent_ms = peer->silent_ms };
}

/* Return the replica that could become a designated voter at once, or NULL.  */
static const struct jc_placement_peer *
find_candidate (const struct jc_placement_peer *peers, guint count)
{
  const struct jc_placement_peer *candidate = NULL;

  for (guint i = 0; i < count; i++)
    {
      const struct jc_placement_peer *peer = &peers[i];

      if (peer->is_replica && !peer->designated_voter
          && peer->silent_ms < PROMOTE_ANSWER_MS && peer->caught_up)
        candidate = peer;
    }
  return candidate;
}

/* Return the designated voter that has been silent longest, for so long that it
   should be replaced, or NULL.  */
static const struct jc_placement_peer *
find_silent (const struct jc_placement_peer *peers, guint count)
{
  const struct jc_placement_peer *silent = NULL;

  for (guint i = 0; i < count; i++)
    {
      const struct jc_placement_peer *peer = &peers[i];

      if (peer->designated_voter
          && peer->silent_ms
                 > (silent != NULL ? silent->silent_ms : REPLACE_SILENT_MS))
        silent = peer;
    }
  return silent;
}

/* Return the voter that may go because there are more than TARGET: the one that
   answered longest ago, or NULL.  */
static const struct jc_placement_peer *
find_surplus (const struct jc_placement_peer *peers, guint count,
              unsigned int target)
{
  const struct jc_placement_peer *surplus = NULL;

  if (count_voting (peers, count) <= target)
    return NULL;
  for (guint i = 0; i < count; i++)
    if (peers[i].votes && peers[i].silent_ms > 0
        && (surplus == NULL || peers[i].silent_ms > surplus->silent_ms))
      surplus = &peers[i];
  return surplus;
}

/* Designate CANDIDATE as a voter if the group of TARGET voters is not FULL, and
   remove a silent one once it is not needed: a group that loses a voter before
   another one votes in its place may depend on one that fails next.  */
static struct jc_placement_change
promote_or_replace (const struct jc_placement_peer *peers, guint count,
                    const struct jc_placement_peer *candidate, bool full,
                    unsigned int target)
{
  const struct jc_placement_peer *silent = find_silent (peers, count);
  const struct jc_placement_peer *surplus = find_surplus (peers, count, target);

  if (candidate != NULL && !full)
    return put_change (candidate, true, "place");
  if (silent != NULL && count_voting (peers, count) >= target)
    return remove_change (silent, "silent");
  if (silent == NULL && surplus != NULL)
    return put_change (surplus, false, "surplus");
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_NO_CHANGE };
}

/* Return the next change needed so that the group of COUNT PEERS tolerates the
   loss of LOSSES instances.  A new instance is made a replica first, so that it
   catches up, even while there are enough voters.  It is designated as a voter
   only if no replica can vote at once: it may be the voter that was replaced,
   and still be unable to write.  */
struct jc_placement_change
jc_placement_next_change (const struct jc_placement_peer *peers, guint count,
                          unsigned int losses)
{
  unsigned int target = jc_placement_target_voters (losses);
  bool full = count_designated (peers, count) >= target;
  const struct jc_placement_peer *candidate = find_candidate (peers, count);
  struct jc_placement_change change;

  for (guint i = 0; i < count; i++)
    if (!peers[i].is_replica)
      return put_change (&peers[i], !full && candidate == NULL, "newcomer");
  change = promote_or_replace (peers, count, candidate, full, target);
  if (change.kind != JC_PLACEMENT_NO_CHANGE)
    return change;
  for (guint i = 0; i < count; i++)
    if (!peers[i].designated_voter && peers[i].silent_ms >= REMOVE_SILENT_MS)
      return remove_change (&peers[i], "forgotten");
  return change;
}
