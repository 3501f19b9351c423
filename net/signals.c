/* Signals that come before a daemon has its handlers.  */

#include <signal.h>
#include <stddef.h>

#include "net/signals.h"

static void
mask (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

static void
hold (void)
{
  mask (SIG_BLOCK);
}

/* In each program that links this module, the first of its own code to run:
   the loader calls it before the constructors of libraries.  */
__attribute__ ((section (".preinit_array"),
                used)) static void (*const hold_first) (void)
    = hold;

/* Let through the signals that were held back since the start of the process.
   Call this once their handlers stand.  */
void
jc_signals_unblock (void)
{
  mask (SIG_UNBLOCK);
}
