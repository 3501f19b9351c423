/* Lag detection: whether the state instance that orders are followed from (the
   source) lags behind the others, judged by the positions in heartbeats.  */

#ifndef JC_LAG_H
#define JC_LAG_H

#include <stdbool.h>
#include <stdint.h>

/* BEHIND_SINCE_MS is when another instance was first seen ahead of this one, 0
   if none is.  WAIT_MS later, a heartbeat of the source that still shows an
   old position sets SOURCE_LAGS.  */
struct jc_lag
{
  int64_t behind_since_ms;
  int64_t wait_ms;
  bool source_lags;
};

/* A heartbeat.  FROM_SOURCE is set for the source and clear for other
   instances; POSITION is that of the sender, OWN_POSITION that of the
   receiver.  */
struct jc_lag_heartbeat
{
  bool from_source;
  uint64_t position;
  uint64_t own_position;
};

bool jc_lag_observe (struct jc_lag *lag,
                     const struct jc_lag_heartbeat *heartbeat, int64_t now_ms);
void jc_lag_reset (struct jc_lag *lag);

#endif
