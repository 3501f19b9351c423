/* Replica placement: which state instances are replicas of the log, and which
   of them vote.  The leader makes the changes, one at a time.  */

#ifndef JC_PLACEMENT_H
#define JC_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A state instance as the leader sees it: a replica, or one that is connected
   but not a replica yet.  DESIGNATED_VOTER is set if it votes or is to vote
   once it has caught up, VOTES if it does, CAUGHT_UP if it holds all committed
   entries; SILENT_MS is the time since it last answered.  */
struct jc_placement_peer
{
  const char *name;
  bool is_replica;
  bool designated_voter;
  bool votes;
  bool caught_up;
  int64_t silent_ms;
};

enum jc_placement_kind
{
  JC_PLACEMENT_NO_CHANGE,
  JC_PLACEMENT_PUT,
  JC_PLACEMENT_REMOVE
};

/* One change: PUT makes NAME a replica, to vote if DESIGNATED_VOTER is set;
   REMOVE removes it.  NAME points into the peer.  REASON and SILENT_MS are for
   the event of the change.  */
struct jc_placement_change
{
  enum jc_placement_kind kind;
  const char *name;
  bool designated_voter;
  const char *reason;
  int64_t silent_ms;
};

unsigned int jc_placement_target_voters (unsigned int losses);
struct jc_placement_change
jc_placement_next_change (const struct jc_placement_peer *peers, guint count,
                          unsigned int losses);
bool jc_placement_survives_losses (unsigned int voters, unsigned int known,
                                   unsigned int losses);

#endif
