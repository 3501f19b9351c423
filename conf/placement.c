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

static unsigned int
count_designated (const struct jc_placement_peer *peers, guint count)
{
  unsigned int designated = 0;

  for (guint i = 0; i < count; i++)
    designated += peers[i].designated_voter ? 1 : 0;
  return designated;
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

/* Designate CANDIDATE, if there is one, as a voter, or, if the group is FULL,
   remove a silent voter to make room for it.  */
static struct jc_placement_change
promote_or_replace (const struct jc_placement_peer *peers, guint count,
                    const struct jc_placement_peer *candidate, bool full)
{
  const struct jc_placement_peer *silent = find_silent (peers, count);

  if (candidate != NULL && !full)
    return put_change (candidate, true, "place");
  if (candidate != NULL && silent != NULL)
    return remove_change (silent, "silent");
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
  bool full
      = count_designated (peers, count) >= jc_placement_target_voters (losses);
  const struct jc_placement_peer *candidate = find_candidate (peers, count);
  struct jc_placement_change change;

  for (guint i = 0; i < count; i++)
    if (!peers[i].is_replica)
      return put_change (&peers[i], !full && candidate == NULL, "newcomer");
  change = promote_or_replace (peers, count, candidate, full);
  if (change.kind != JC_PLACEMENT_NO_CHANGE)
    return change;
  for (guint i = 0; i < count; i++)
    if (!peers[i].designated_voter && peers[i].silent_ms >= REMOVE_SILENT_MS)
      return remove_change (&peers[i], "forgotten");
  return change;
}
