/* Blocking of signals until a daemon has installed its handlers.  */

#include <signal.h>
#include <stddef.h>

#include "net/signals.h"

static void
change_mask (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

static void
block_signals (void)
{
  change_mask (SIG_BLOCK);
}

/* Blocks the signals before any other code of a program that links this
   module: the loader calls it before the constructors of libraries.  */
__attribute__ ((section (".preinit_array"),
                used)) static void (*const block_signals_first) (void)
    = block_signals;

/* Unblock SIGTERM, SIGINT and SIGHUP, which are blocked from the start of the
   process.  Signals that came meanwhile are delivered.  Call this once their
   handlers are installed.  */
void
jc_signals_unblock (void)
{
  change_mask (SIG_UNBLOCK);
}
