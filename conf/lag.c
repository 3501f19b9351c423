/* Lag of the state instance that is followed.  */

#include <glib.h>

#include "conf/lag.h"

enum
{
  /* The instance that is followed may be behind the others for so long: four
     times what a commit over regions takes, with its heartbeat.  Each time
     that another one is asked in vain doubles it, up to the most.  */
  BEHIND_MS = 2000,
  BEHIND_MOST_MS = 32000
};

static bool
waited (const struct jc_lag *lag, int64_t now_ms)
{
  return lag->behind_since_ms != 0
         && now_ms - lag->behind_since_ms >= lag->wait_ms;
}

/* Take SIGN at NOW_MS and return whether its sender is to be asked.  What the
   source sends comes in order, so that a heartbeat of it that shows an old
   position says that it has not begun to send the newer one: then another one
   is asked, once, and without a wait by an instance that knows no order.
   While a large text is on its way from the source no heartbeat passes.  A
   newer position in its own heartbeat may have crossed the question for it;
   where that stays so, it is asked anew.  */
bool
jc_lag_observe (struct jc_lag *lag, const struct jc_lag_heartbeat *sign,
                int64_t now_ms)
{
  if (sign->position <= sign->own_position)
    {
      if (sign->from_source && waited (lag, now_ms))
        lag->source_lags = true;
      return false;
    }
  if (lag->behind_since_ms == 0)
    {
      lag->behind_since_ms = now_ms;
      lag->wait_ms
          = sign->own_position == 0 && !sign->from_source ? 0 : BEHIND_MS;
    }
  if (sign->from_source ? !waited (lag, now_ms) || lag->wait_ms == 0
                        : !lag->source_lags)
    return false;
  lag->behind_since_ms = now_ms;
  lag->wait_ms = CLAMP (2 * lag->wait_ms, BEHIND_MS, BEHIND_MOST_MS);
  lag->source_lags = false;
  return true;
}

/* Newer orders came.  */
void
jc_lag_reset (struct jc_lag *lag)
{
  *lag = (struct jc_lag){ .behind_since_ms = 0 };
}
