/* Buffered bytes: the sum of what this process keeps of messages that it has
   not passed on yet, over all connections and requests.  Each keeper has a
   limit of its own; these limits shrink as the sum grows, so that the sum stays
   within its bound however many keepers there are.  */

#ifndef JC_BUFFERS_H
#define JC_BUFFERS_H

#include <stdbool.h>
#include <stddef.h>

/* What one keeper has buffered, as it was reported last.  */
struct jc_buffered
{
  size_t bytes;
};

void jc_buffered_set (struct jc_buffered *buffered, size_t bytes);
size_t jc_buffers_total (void);
size_t jc_buffers_left (void);
size_t jc_buffers_limit (size_t most);
size_t jc_buffers_ahead_limit (size_t least);
bool jc_buffers_have_room (const struct jc_buffered *buffered, size_t more);

#endif
