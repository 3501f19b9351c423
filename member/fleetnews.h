/* Which reports of an endpoint its followers, the entry instances that may send
   requests to it, must hear at once.  */

#ifndef JC_FLEETNEWS_H
#define JC_FLEETNEWS_H

#include "member/endpoints.h"

enum
{
  /* Difference of the times at which two reports say that an endpoint becomes
     warm that is put down to the reports' way here.  */
  JC_FLEETNEWS_WARM_DIFFERENCE_MS = 100
};

bool jc_fleetnews_is_news (const struct jc_endpoint *known,
                           const struct rpc_endpoint *report, int64_t now_ms);
bool jc_fleetnews_needs_row (const struct jc_endpoint *endpoint,
                             int64_t now_ms);

#endif
