/* Slots of rate limits: shared by limitslots.c, limitsnapshot.c and
   quotaslots.c, and private to them.  */

#ifndef LIMITSLOTSPRIVATE_H
#define LIMITSLOTSPRIVATE_H

#include "member/limitslots.h"

/* A slot and its holder.  INSTANCE is NULL if it was never leased or was given
   back.  REVISION is that of the change that it is due to, 0 for none;
   APPLIED_MS is when this replica applied that.  */
struct limit_slot
{
  char *instance;
  uint64_t instance_incarnation;
  uint64_t revision;
  int64_t applied_ms;
};

/* The slots of an incarnation of an endpoint.  ENDED is set if an instance got
   an answer without a limit; instances that have not heard of one since may
   send again without slots.  */
struct limit_row
{
  char *endpoint;
  uint64_t endpoint_incarnation;
  bool ended;
  uint64_t revision;
  int64_t applied_ms;
  struct limit_slot slots[JC_LIMIT_SLOTS];
};

/* BY_KEY maps "ENDPOINT INCARNATION" to struct limit_row.  REVISION is that of
   the last change.  */
struct jc_limit_slots
{
  GHashTable *by_key;
  uint64_t revision;
};

struct limit_row *limit_row_find (const struct jc_limit_slots *slots,
                                  const char *endpoint, uint64_t incarnation);
struct limit_row *limit_row_add (struct jc_limit_slots *slots,
                                 const char *endpoint, uint64_t incarnation,
                                 int64_t now_ms);

#endif
