/* When availability zones were readmitted after an evacuation.  Their endpoints
   may be cold from then on.  */

#ifndef JC_READMISSIONS_H
#define JC_READMISSIONS_H

#include "conf/orders.h"

struct jc_readmissions;

struct jc_readmissions *jc_readmissions_new (void);
void jc_readmissions_free (struct jc_readmissions *readmissions);
bool jc_readmissions_note (struct jc_readmissions *readmissions,
                           const char *zone, uint64_t position, int64_t at_ms);
void jc_readmissions_follow (struct jc_readmissions *readmissions,
                             const struct jc_orders *orders, int64_t now_ms,
                             GPtrArray *noted);
int64_t
jc_readmissions_cold_until_ms (const struct jc_readmissions *readmissions,
                               const char *zone, int64_t cold_ms);
void jc_readmissions_to_message (const struct jc_readmissions *readmissions,
                                 int64_t now_ms, struct rpc_orders *out);
void jc_readmissions_update (struct jc_readmissions *readmissions,
                             const struct rpc_orders *message, int64_t now_ms);

#endif
