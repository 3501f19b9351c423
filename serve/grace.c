/* Which requests an instance that is about to stop still sends on.  */

#include "serve/grace.h"

enum
{
  /* Endpoints that get busier may take this many times the estimate.  */
  ESTIMATE_FACTOR = 2,
  /* With less time left than this nothing rests on an estimate: one that is far
     too short would have the answer cut.  */
  ESTIMATE_LEFT_MIN_MS = 5000
};

/* Return whether REQUEST, sent on now, ends within GRACE_LEFT_MS: by its own
   deadline, or else, early in the grace, by an ample estimate.  */
bool
jc_grace_allows (int64_t grace_left_ms, const struct jc_grace_request *request)
{
  if (grace_left_ms <= 0)
    return false;
  if (request->time_left_ms <= grace_left_ms)
    return true;
  return request->answer_ms > 0 && grace_left_ms >= ESTIMATE_LEFT_MIN_MS
         && request->answer_ms <= grace_left_ms / ESTIMATE_FACTOR;
}
