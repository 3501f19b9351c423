/* Structured log of a process with a loop: lines leave between its turns.  */

#ifndef JC_EVENTFLUSH_H
#define JC_EVENTFLUSH_H

#include <ev.h>

void jc_eventflush_start (struct ev_loop *loop);
void jc_eventflush_stop (struct ev_loop *loop);

#endif
