/* Timers of deadlines that a peer has to keep.  */

#ifndef JC_DEADLINE_H
#define JC_DEADLINE_H

#include <ev.h>

void jc_deadline_init (ev_timer *timer,
                       void (*fn) (struct ev_loop *, ev_timer *, int));

#endif
