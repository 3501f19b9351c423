/* Counts over a sliding window of time.  */

#ifndef JC_WINDOW_H
#define JC_WINDOW_H

#include <stdint.h>

enum
{
  JC_WINDOW_CELLS = 32
};

/* Cells of equal length; each holds the count of one stretch of time.  */
struct jc_window
{
  int64_t length_ms;
  int64_t cell[JC_WINDOW_CELLS];
  unsigned int count[JC_WINDOW_CELLS];
};

void jc_window_init (struct jc_window *window, int64_t length_ms);
void jc_window_add (struct jc_window *window, int64_t now_ms);
unsigned int jc_window_upper_bound (const struct jc_window *window,
                                    int64_t now_ms);

#endif
