/* Grouping: which state instances the log has as replicas, and which of them
   vote.  It decides one change at a time for the leader.  */

#ifndef JC_GROUPING_H
#define JC_GROUPING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A state instance as the leader sees it: a replica, or one that is connected
   and is none yet.  STANDING tells that it votes or is to, CAUGHT_UP that it
   holds all that is committed, SILENT_MS how long it has not answered.  */
struct jc_grouping_peer
{
  const char *name;
  bool replica;
  bool standing;
  bool caught_up;
  int64_t silent_ms;
};

enum jc_grouping_kind
{
  JC_GROUPING_NOTHING,
  JC_GROUPING_PUT,
  JC_GROUPING_DROP
};

/* One change: make NAME a replica that STANDS or does not, or drop it.  NAME
   borrows from the peer.  */
struct jc_grouping_step
{
  enum jc_grouping_kind kind;
  const char *name;
  bool stands;
  const char *why;
  int64_t silent_ms;
};

unsigned int jc_grouping_wanted (unsigned int losses);
struct jc_grouping_step jc_grouping_next (const struct jc_grouping_peer *peers,
                                          guint count, unsigned int losses);
bool jc_grouping_lasts (unsigned int voters, unsigned int known,
                        unsigned int losses);

#endif
