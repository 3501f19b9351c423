/* I/O watchers whose events are handled before timers.  */

#include "net/iowatch.h"

/* Initialize IO to call FN for EVENTS of FD, before any timer that ends in the
   same iteration of the loop.  After a pause of the process both are due: what
   a peer sent in time must be read before it is judged late.  Without
   priorities libev calls timers first.  */
void
jc_iowatch_init (ev_io *io, void (*fn) (struct ev_loop *, ev_io *, int), int fd,
                 int events)
{
  ev_io_init (io, fn, fd, events);
  ev_set_priority (io, EV_MAXPRI);
}
