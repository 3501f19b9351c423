/* Copies of ledgers that an instance holds in memory for their homes.  */

#ifndef JC_COPY_H
#define JC_COPY_H

#include "ledger/keytable.h"

struct jc_copies;

struct jc_copies *jc_copies_new (void);
void jc_copies_free (struct jc_copies *copies);
void jc_copies_handle_message (struct jc_copies *copies,
                               const struct rpc_ledger_copy *message,
                               struct rpc_ledger_copy_reply *reply);
guint jc_copies_count_keys (const struct jc_copies *copies, const char *home);

#endif
