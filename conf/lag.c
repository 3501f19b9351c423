/* Detects that the state instance from which orders are followed lags.  */

#include <glib.h>

#include "conf/lag.h"

enum
{
  /* The source may be behind the others for this long: four times as long as a
     commit across regions and its heartbeat take.  Each time another instance
     is asked without result the wait is doubled, up to the maximum.  */
  WAIT_MIN_MS = 2000,
  WAIT_MAX_MS = 32000
};

static bool
wait_is_over (const struct jc_lag *lag, int64_t now_ms)
{
  return lag->behind_since_ms != 0
         && now_ms - lag->behind_since_ms >= lag->wait_ms;
}

/* Process HEARTBEAT at NOW_MS.  Return whether its sender is to be asked for
   orders.

   The source sends its messages in order, so a heartbeat of it with an old
   position shows that it has not begun to send the newer one.  Then another
   instance is asked, once; a receiver that knows no order yet does not wait
   before that.  While the source is sending a large text no heartbeat of it
   arrives, so nobody else is asked.  A heartbeat of the source with a newer
   position may have crossed the request for it; if the position stays newer,
   the source is asked again.  */
bool
jc_lag_observe (struct jc_lag *lag, const struct jc_lag_heartbeat *heartbeat,
                int64_t now_ms)
{
  if (heartbeat->position <= heartbeat->own_position)
    {
      if (heartbeat->from_source && wait_is_over (lag, now_ms))
        lag->source_lags = true;
      return false;
    }
  if (lag->behind_since_ms == 0)
    {
      lag->behind_since_ms = now_ms;
      lag->wait_ms = heartbeat->own_position == 0 && !heartbeat->from_source
                         ? 0
                         : WAIT_MIN_MS;
    }
  if (heartbeat->from_source ? !wait_is_over (lag, now_ms) || lag->wait_ms == 0
                             : !lag->source_lags)
    return false;
  lag->behind_since_ms = now_ms;
  lag->wait_ms = CLAMP (2 * lag->wait_ms, WAIT_MIN_MS, WAIT_MAX_MS);
  lag->source_lags = false;
  return true;
}

/* Reset LAG after newer orders were received.  */
void
jc_lag_reset (struct jc_lag *lag)
{
  *lag = (struct jc_lag){ .behind_since_ms = 0 };
}
