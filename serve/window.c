/* Event counter over a sliding time window.  */

#include <string.h>

#include "serve/window.h"

/* Initialize WINDOW, of LENGTH_MS, without events.  */
void
jc_window_init (struct jc_window *window, int64_t length_ms)
{
  memset (window, 0, sizeof *window);
  window->length_ms = length_ms;
}

/* Return the length of a cell, ms.  The window is one cell shorter than the
   ring, so that the ring also holds a cell that is only partly in it.  */
static int64_t
cell_ms (const struct jc_window *window)
{
  int64_t length = window->length_ms / (JC_WINDOW_CELLS - 1);

  return length > 0 ? length : 1;
}

/* Count one event at NOW_MS.  */
void
jc_window_add (struct jc_window *window, int64_t now_ms)
{
  int64_t cell = now_ms / cell_ms (window) + 1;
  unsigned int slot = (unsigned int)(cell % JC_WINDOW_CELLS);

  if (window->cell[slot] != cell)
    {
      window->cell[slot] = cell;
      window->count[slot] = 0;
    }
  window->count[slot]++;
}

/* Return an upper bound on the number of events in the window that ends at
   NOW_MS: events of a cell that is only partly in the window are included.  */
unsigned int
jc_window_upper_bound (const struct jc_window *window, int64_t now_ms)
{
  int64_t first = (now_ms - window->length_ms) / cell_ms (window) + 1;
  unsigned int sum = 0;

  for (unsigned int i = 0; i < JC_WINDOW_CELLS; i++)
    if (window->cell[i] >= first)
      sum += window->count[i];
  return sum;
}
