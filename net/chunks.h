/* Strict check of a chunked body's framing.  http-parser, as Debian builds it,
   takes any byte for the LF after a CR and for the CR LF after a chunk.  */

#ifndef JC_CHUNKS_H
#define JC_CHUNKS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/* What the next byte is a part of.  */
enum jc_chunks_state
{
  JC_CHUNKS_SIZE,
  JC_CHUNKS_EXTENSION,
  JC_CHUNKS_SIZE_LF,
  JC_CHUNKS_DATA,
  JC_CHUNKS_DATA_CR,
  JC_CHUNKS_DATA_LF,
  JC_CHUNKS_TRAILER_START,
  JC_CHUNKS_TRAILER,
  JC_CHUNKS_TRAILER_LF,
  JC_CHUNKS_END_LF,
  JC_CHUNKS_END
};

/* LEFT bytes of the current chunk are to come; LAST tells that it is the one
   of size 0.  */
struct jc_chunks
{
  enum jc_chunks_state state;
  uint64_t chunk_left;
  unsigned int size_digits;
  bool last_chunk;
};

void jc_chunks_init (struct jc_chunks *chunks);
bool jc_chunks_feed (struct jc_chunks *chunks, struct jc_str data);

#endif
