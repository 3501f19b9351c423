/* Lag: whether the state instance that is followed for orders lags behind the
   others, judged from the positions in heartbeats.  */

#ifndef JC_LAG_H
#define JC_LAG_H

#include <stdbool.h>
#include <stdint.h>

/* SINCE_MS is when another instance was first seen to know more, 0 for not;
   after WAIT_MS more a heartbeat of the source shows that it LAGS.  */
struct jc_lag
{
  int64_t behind_since_ms;
  int64_t wait_ms;
  bool source_lags;
};

/* A heartbeat: the position of its sender, which is the SOURCE or another
   instance, and the own one.  */
struct jc_lag_heartbeat
{
  bool from_source;
  uint64_t position;
  uint64_t own_position;
};

bool jc_lag_observe (struct jc_lag *lag, const struct jc_lag_heartbeat *sign,
                     int64_t now_ms);
void jc_lag_reset (struct jc_lag *lag);

#endif
