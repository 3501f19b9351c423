/* I/O watchers whose events are handled before timers.  */

#ifndef JC_IOWATCH_H
#define JC_IOWATCH_H

#include <ev.h>

void jc_iowatch_init (ev_io *io, void (*fn) (struct ev_loop *, ev_io *, int),
                      int fd, int events);

#endif
