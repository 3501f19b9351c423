/* Grouping of state instances.  */

#include "conf/grouping.h"

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
jc_grouping_wanted (unsigned int losses)
{
  return 2 * losses + 1;
}

/* Tell whether an order lasts whatever LOSSES may be lost at once: a quorum of
   VOTERS has more disks than that, and without them there still is a quorum.
   Until all of a small group of KNOWN instances vote, there are fewer.  */
bool
jc_grouping_lasts (unsigned int voters, unsigned int known, unsigned int losses)
{
  return voters >= MIN (jc_grouping_wanted (losses), known)
         && voters / 2 + 1 > losses;
}

static unsigned int
standing (const struct jc_grouping_peer *peers, guint count)
{
  unsigned int standing = 0;

  for (guint i = 0; i < count; i++)
    standing += peers[i].standing ? 1 : 0;
  return standing;
}

static struct jc_grouping_step
put (const struct jc_grouping_peer *peer, bool stands, const char *why)
{
  return (struct jc_grouping_step){
    .kind = JC_GROUPING_PUT, .name = peer->name, .stands = stands, .why = why
  };
}

static struct jc_grouping_step
drop (const struct jc_grouping_peer *peer, const char *why)
{
  return (struct jc_grouping_step){ .kind = JC_GROUPING_DROP,
                                    .name = peer->name,
                                    .why = why,
                                    .silent_ms = peer->silent_ms };
}

/* Have a caught-up replica without a vote stand, or make room for it where a
   standing one is silent.  */
static struct jc_grouping_step
promote (const struct jc_grouping_peer *peers, guint count, bool full)
{
  const struct jc_grouping_peer *fresh = NULL;
  const struct jc_grouping_peer *silent = NULL;

  for (guint i = 0; i < count; i++)
    {
      const struct jc_grouping_peer *peer = &peers[i];

      if (peer->replica && !peer->standing && peer->silent_ms < FRESH_MS
          && peer->caught_up)
        fresh = peer;
      if (peer->standing
          && peer->silent_ms
                 > (silent != NULL ? silent->silent_ms : REPLACE_MS))
        silent = peer;
    }
  if (fresh != NULL && !full)
    return put (fresh, true, "place");
  if (fresh != NULL && silent != NULL)
    return drop (silent, "silent");
  return (struct jc_grouping_step){ .kind = JC_GROUPING_NOTHING };
}

/* Return the change that the COUNT PEERS of a group need that is to bear
   LOSSES.  A newcomer is made a replica first, so that it catches up.  */
struct jc_grouping_step
jc_grouping_next (const struct jc_grouping_peer *peers, guint count,
                  unsigned int losses)
{
  bool full = standing (peers, count) >= jc_grouping_wanted (losses);
  struct jc_grouping_step step;

  for (guint i = 0; i < count; i++)
    if (!peers[i].replica)
      return put (&peers[i], !full, "newcomer");
  step = promote (peers, count, full);
  if (step.kind != JC_GROUPING_NOTHING)
    return step;
  for (guint i = 0; i < count; i++)
    if (!peers[i].standing && peers[i].silent_ms >= FORGET_MS)
      return drop (&peers[i], "forgotten");
  return step;
}
