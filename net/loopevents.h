/* Structured log of a process with a loop: lines leave between its turns.  */

#ifndef JC_LOOPEVENTS_H
#define JC_LOOPEVENTS_H

#include <ev.h>

void jc_loopevents_start (struct ev_loop *loop);
void jc_loopevents_stop (struct ev_loop *loop);

#endif
