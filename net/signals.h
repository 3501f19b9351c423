/* Blocking of signals until a daemon has installed its handlers.  */

#ifndef JC_SIGNALS_H
#define JC_SIGNALS_H

void jc_signals_unblock (void);

#endif
