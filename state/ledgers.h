/* What the ledger's task offers to its own part for operators.  */

#ifndef LEDGERS_H
#define LEDGERS_H

#include "ledger/ledger.h"
#include "state/state.h"

struct jc_ledger *state_ledger (const struct state *state);

#endif
