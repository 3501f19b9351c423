/* Work pace of an endpoint: an average over time.  */

#include <math.h>

#include <glib.h>

#include "serve/workpace.h"

enum
{
  /* Time constant of the average.  */
  AVERAGE_MS = 500,
  /* Without a figure for this long the pace isn't known.  */
  KEEP_MS = 5000
};

/* Note that an answer told PERCENT at NOW_MS.  */
void
jc_workpace_note (struct jc_workpace *pace, unsigned int percent,
                  int64_t now_ms)
{
  double age_ms = (double)MAX (now_ms - pace->heard_ms, 1);

  if (jc_workpace_at (pace, now_ms) == 0)
    pace->percent = percent;
  else
    pace->percent
        += (percent - pace->percent) * (1 - exp (-age_ms / AVERAGE_MS));
  pace->heard_ms = MAX (pace->heard_ms, now_ms);
}

/* Return the pace at NOW_MS, percent of the usual time, 0 if it isn't known. */
double
jc_workpace_at (const struct jc_workpace *pace, int64_t now_ms)
{
  return pace->percent > 0 && now_ms - pace->heard_ms < KEEP_MS ? pace->percent
                                                                : 0;
}
