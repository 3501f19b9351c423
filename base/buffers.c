/* Sum of the buffered bytes of a process.  */

#include <glib.h>

#include "base/buffers.h"

enum
{
  /* Bound on the sum: under a third of the memory of the smallest instance,
     160 MB.  */
  TOTAL_MAX_BYTES = 48 * 1024 * 1024,
  /* What is kept only so that its sender needn't wait leaves the rest of the
     sum to others.  */
  AHEAD_MAX_BYTES = 36 * 1024 * 1024,
  /* A keeper may have this part of what is left: then many greedy keepers leave
     room for small ones.  */
  SHARE_DIVISOR = 8,
  /* Any keeper may have this much: the head of a message, or a read.  */
  SHARE_MIN_BYTES = 16 * 1024
};

/* Memory is a resource of the process, which has one thread.  */
static size_t total;

/* Report that the keeper of BUFFERED has BYTES now.  */
void
jc_buffered_set (struct jc_buffered *buffered, size_t bytes)
{
  total = total - buffered->bytes + bytes;
  buffered->bytes = bytes;
}

/* Return the sum over all keepers.  */
size_t
jc_buffers_total (void)
{
  return total;
}

/* Return how many bytes are left until the sum is at its bound.  */
size_t
jc_buffers_left (void)
{
  return total < TOTAL_MAX_BYTES ? TOTAL_MAX_BYTES - total : 0;
}

/* Return the limit, in bytes, for a keeper that would have MOST if it were
   alone.  */
size_t
jc_buffers_limit (size_t most)
{
  return MIN (
      most, MAX (jc_buffers_left () / SHARE_DIVISOR, (size_t)SHARE_MIN_BYTES));
}

/* Return the limit, in bytes, for a keeper that has LEAST as its limit and may
   have more while there is room, so that its sender needn't wait.  */
size_t
jc_buffers_ahead_limit (size_t least)
{
  size_t spare = total < AHEAD_MAX_BYTES ? AHEAD_MAX_BYTES - total : 0;

  return MAX (jc_buffers_limit (least), spare / SHARE_DIVISOR);
}

/* Return true if the keeper of BUFFERED, which can't stop in the middle, may
   have MORE bytes: it leaves as much as it has to all others.  */
bool
jc_buffers_have_room (const struct jc_buffered *buffered, size_t more)
{
  size_t wanted = buffered->bytes + more;

  return wanted <= SHARE_MIN_BYTES
         || wanted <= (jc_buffers_left () + buffered->bytes) / 2;
}
