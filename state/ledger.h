/* What state/ledger.c provides to the operators' commands on the ledger.  */

#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include "ledger/ledger.h"
#include "state/state.h"

struct jc_ledger *ledger_local (const struct state *state);

#endif
