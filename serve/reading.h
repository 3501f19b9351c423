/* Account of the prompts that an engine has to read, and of how long it has
   read without a pause.  The streams of an engine make hardly any progress
   while it reads.  */

#ifndef JC_READING_H
#define JC_READING_H

#include <stdint.h>

/* LEFT_MS of reading were left at AT_MS, after DONE_MS without a pause.  */
struct jc_reading
{
  int64_t at_ms;
  double left_ms;
  double done_ms;
};

void jc_reading_advance (struct jc_reading *reading, double event_ms,
                         int64_t now_ms);
void jc_reading_add (struct jc_reading *reading, double added_ms,
                     double event_ms, int64_t now_ms);

#endif
