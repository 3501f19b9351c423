/* Timers of deadlines that a peer has to keep.  */

#include "net/deadline.h"

/* Initialize TIMER to call FN after all input that is there at that moment was
   handled.  After a pause of the process both are due: what a peer sent in time
   must be read before it is judged late.  Other timers are called before I/O:
   RPC connections and leases are checked first after a pause.  */
void
jc_deadline_init (ev_timer *timer,
                  void (*fn) (struct ev_loop *, ev_timer *, int))
{
  ev_init (timer, fn);
  ev_set_priority (timer, EV_MINPRI);
}
