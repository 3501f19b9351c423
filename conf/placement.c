/* Grouping of state instances.  */

#include "conf/placement.h"

enum
{
  /* A replica silent for so long makes way for one that has caught up; over
     an election, and under the time in which a newcomer counts as well.  */
  REPLACE_MS = 2500,
  /* One that has answered this lately may take a place.  */
  FRESH_MS = 1000,
  /* A replica without a vote that is silent for so long is forgotten.  */
  FORGET_MS = 30000
};

/* Return how many voters the group aims at: with one more than half of them,
   LOSSES disks may be lost.  */
unsigned int
jc_placement_target_voters (unsigned int losses)
{
  return 2 * losses + 1;
}

/* Tell whether an order lasts whatever LOSSES may be lost at once: a quorum of
   VOTERS has more disks than that, and without them there still is a quorum.
   Until all of a small group of KNOWN instances vote, there are fewer.  */
bool
jc_placement_survives_losses (unsigned int voters, unsigned int known,
                              unsigned int losses)
{
  return voters >= MIN (jc_placement_target_voters (losses), known)
         && voters / 2 + 1 > losses;
}

static unsigned int
standing (const struct jc_placement_peer *peers, guint count)
{
  unsigned int standing = 0;

  for (guint i = 0; i < count; i++)
    standing += peers[i].designated_voter ? 1 : 0;
  return standing;
}

static struct jc_placement_change
put (const struct jc_placement_peer *peer, bool stands, const char *why)
{
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_PUT,
                                       .name = peer->name,
                                       .designated_voter = stands,
                                       .reason = why };
}

static struct jc_placement_change
drop (const struct jc_placement_peer *peer, const char *why)
{
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_REMOVE,
                                       .name = peer->name,
                                       .reason = why,
                                       .silent_ms = peer->silent_ms };
}

/* Have a caught-up replica without a vote stand, or make room for it where a
   standing one is silent.  */
static struct jc_placement_change
promote (const struct jc_placement_peer *peers, guint count, bool full)
{
  const struct jc_placement_peer *fresh = NULL;
  const struct jc_placement_peer *silent = NULL;

  for (guint i = 0; i < count; i++)
    {
      const struct jc_placement_peer *peer = &peers[i];

      if (peer->is_replica && !peer->designated_voter
          && peer->silent_ms < FRESH_MS && peer->caught_up)
        fresh = peer;
      if (peer->designated_voter
          && peer->silent_ms
                 > (silent != NULL ? silent->silent_ms : REPLACE_MS))
        silent = peer;
    }
  if (fresh != NULL && !full)
    return put (fresh, true, "place");
  if (fresh != NULL && silent != NULL)
    return drop (silent, "silent");
  return (struct jc_placement_change){ .kind = JC_PLACEMENT_NO_CHANGE };
}

/* Return the change that the COUNT PEERS of a group need that is to bear
   LOSSES.  A newcomer is made a replica first, so that it catches up.  */
struct jc_placement_change
jc_placement_next_change (const struct jc_placement_peer *peers, guint count,
                          unsigned int losses)
{
  bool full = standing (peers, count) >= jc_placement_target_voters (losses);
  struct jc_placement_change step;

  for (guint i = 0; i < count; i++)
    if (!peers[i].is_replica)
      return put (&peers[i], !full, "newcomer");
  step = promote (peers, count, full);
  if (step.kind != JC_PLACEMENT_NO_CHANGE)
    return step;
  for (guint i = 0; i < count; i++)
    if (!peers[i].designated_voter && peers[i].silent_ms >= FORGET_MS)
      return drop (&peers[i], "forgotten");
  return step;
}
