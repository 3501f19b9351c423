/* Event counter over a sliding time window.  */

#ifndef JC_WINDOW_H
#define JC_WINDOW_H

#include <stdint.h>

enum
{
  JC_WINDOW_CELLS = 32
};

/* CELL and COUNT form a ring of time cells of equal length: the number of the
   cell and its count of events.  */
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
