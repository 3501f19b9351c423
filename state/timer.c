/* Timers of the modules.  */

#include "state/state.h"

enum
{
  MS_PER_S = 1000
};

/* Start TIMER, which ends once after DELAY_MS, unless it runs already.  */
void
timer_start_once (struct state *state, ev_timer *timer, int64_t delay_ms)
{
  if (ev_is_active (timer))
    return;
  ev_timer_set (timer, (double)delay_ms / MS_PER_S, 0);
  ev_timer_start (state->loop, timer);
}
