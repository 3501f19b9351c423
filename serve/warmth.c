/* Evidence that an endpoint is warm.  */

#include "serve/warmth.h"

enum
{
  /* A report reaches an instance within this time, unless it is held up on its
     way.  */
  REPORT_DELAY_MS = 250,
  /* Longest time for which a report is held up by a link that is cut.  */
  REPORT_LATE_MS = 3000,
  /* Age up to which a report stands for the process that answers now, where no
     connection tells more.  */
  REPORT_FRESH_MS = 3000
};

/* Return whether WARMTH shows that the endpoint's process was not started so
   lately that it may be cold: it has answered for as long as a process is cold,
   or a report is certainly its own.  After a loss the process may be another
   one under the same name, and a report that was sent before may still arrive.
   Without a loss, a report counts while it is fresh or where the connection is
   older.  */
static bool
is_settled (const struct jc_warmth *warmth, int64_t now_ms)
{
  if (warmth->since_ms >= 0 && now_ms - warmth->since_ms >= warmth->cold_ms)
    return true;
  if (warmth->lost_ms >= warmth->known_ms)
    return warmth->reported_ms - warmth->lost_ms >= REPORT_LATE_MS;
  if (warmth->since_ms >= 0
      && warmth->reported_ms - warmth->since_ms >= REPORT_DELAY_MS)
    return true;
  return now_ms - warmth->reported_ms <= REPORT_FRESH_MS;
}

/* Return whether WARMTH proves that the endpoint is warm at NOW_MS.  If not, it
   may get only what a cold one may.  */
bool
jc_warmth_is_proven (const struct jc_warmth *warmth, int64_t now_ms)
{
  return warmth->warm_at_ms <= now_ms && is_settled (warmth, now_ms);
}
