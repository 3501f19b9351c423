/* What the ledger's task offers to its own part for operators.  */

#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include "ledger/ledger.h"
#include "state/state.h"

struct jc_ledger *ledger_local (const struct state *state);

#endif
