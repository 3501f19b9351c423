/* Signals that come before a daemon has its handlers.  */

#ifndef JC_SIGNALS_H
#define JC_SIGNALS_H

void jc_signals_unblock (void);

#endif
