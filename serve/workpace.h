/* Work pace of an endpoint: how long work takes on its machine now, as its
   answers tell, in percent of the usual.  The figure changes many times a
   second, so that a single one says little of the next request.  */

#ifndef JC_WORKPACE_H
#define JC_WORKPACE_H

#include <stdint.h>

enum
{
  JC_WORKPACE_USUAL = 100
};

/* PERCENT is the average, heard last at HEARD_MS; 0 if none was heard.  */
struct jc_workpace
{
  double percent;
  int64_t heard_ms;
};

void jc_workpace_note (struct jc_workpace *pace, unsigned int percent,
                       int64_t now_ms);
double jc_workpace_at (const struct jc_workpace *pace, int64_t now_ms);

#endif
