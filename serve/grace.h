/* Which requests an instance that is about to stop still sends on.  */

#ifndef JC_GRACE_H
#define JC_GRACE_H

#include <stdbool.h>
#include <stdint.h>

/* A request that waits to be sent on.  It is over in TIME_LEFT_MS at the
   latest.  Its answer is estimated to take ANSWER_MS, 0 if that is not known or
   the request may not rest on an estimate.  */
struct jc_grace_request
{
  int64_t time_left_ms;
  int64_t answer_ms;
};

bool jc_grace_allows (int64_t grace_left_ms,
                      const struct jc_grace_request *request);

#endif
