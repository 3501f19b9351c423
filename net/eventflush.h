/* Periodic flush of the structured log from a libev loop.  */

#ifndef JC_EVENTFLUSH_H
#define JC_EVENTFLUSH_H

#include <ev.h>

void jc_eventflush_start (struct ev_loop *loop);
void jc_eventflush_stop (struct ev_loop *loop);

#endif
