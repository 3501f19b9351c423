/* Prefill pace.

   A request's time to its first event is at least that of reading its prompt;
   waits that this instance doesn't know of come on top.  So the pace follows
   the quicker ones of the measurements, not their mean.  */

#include "serve/prefillpace.h"

#include <glib.h>

#define PACE_MIN 0.2
#define PACE_MAX 2.0
/* The pace is that which this part of the requests is quicker than.  */
#define PACE_QUANTILE 0.25
/* Part of the pace by which one request changes it at most.  */
#define PACE_STEP 0.02

/* Return the time that reading takes divided by that of the data sheet.  */
double
jc_prefill_pace_get (const struct jc_prefill_pace *pace)
{
  return pace->pace > 0 ? pace->pace : 1;
}

/* Note that the prompt of a request was read in RATIO times the time of the
   data sheet, or less.  */
void
jc_prefill_pace_note (struct jc_prefill_pace *pace, double ratio)
{
  double now = jc_prefill_pace_get (pace);
  double step = ratio < now ? -(1 - PACE_QUANTILE) : PACE_QUANTILE;

  pace->pace = CLAMP (now * (1 + step * PACE_STEP), PACE_MIN, PACE_MAX);
}
