/* Account of the prompts that an engine has to read.  */

#include <glib.h>

#include "serve/reading.h"

/* Advance READING to NOW_MS.  EVENT_MS is the time in which the streams of the
   engine get one event if nothing is read: a shorter pause between prompts
   brings them only a part of one.  */
void
jc_reading_advance (struct jc_reading *reading, double event_ms, int64_t now_ms)
{
  double elapsed_ms = (double)MAX (now_ms - reading->at_ms, 0);
  double read_ms = MIN (reading->left_ms, elapsed_ms);
  double idle_ms = elapsed_ms - read_ms;

  reading->at_ms = MAX (now_ms, reading->at_ms);
  reading->left_ms -= read_ms;
  reading->done_ms += read_ms;
  if (idle_ms > 0)
    reading->done_ms *= MAX (1 - idle_ms / MAX (event_ms, 1), 0);
}

/* Add ADDED_MS of reading to READING at NOW_MS.  EVENT_MS is as above.  */
void
jc_reading_add (struct jc_reading *reading, double added_ms, double event_ms,
                int64_t now_ms)
{
  jc_reading_advance (reading, event_ms, now_ms);
  reading->left_ms += MAX (added_ms, 0);
}
