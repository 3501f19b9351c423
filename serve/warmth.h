/* Whether an endpoint is warm, by what is known of the process that answers at
   its address.  */

#ifndef JC_WARMTH_H
#define JC_WARMTH_H

#include <stdbool.h>
#include <stdint.h>

/* What one instance knows of the process at an endpoint's address.  Times are
   in ms of the monotonic clock, -1 for never.  Its incarnation has been known
   since KNOWN_MS; REPORTED_MS is when its last report was received, by which it
   is warm from WARM_AT_MS.  Connections show that the process has been the same
   since SINCE_MS.  At LOST_MS the last of them broke or a new one was
   refused.  A process is cold for COLD_MS after its start.  */
struct jc_warmth
{
  int64_t known_ms;
  int64_t reported_ms;
  int64_t warm_at_ms;
  int64_t since_ms;
  int64_t lost_ms;
  int64_t cold_ms;
};

bool jc_warmth_is_proven (const struct jc_warmth *warmth, int64_t now_ms);

#endif
