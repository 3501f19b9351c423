/* Strict check of a chunked body's framing.  */

#include <string.h>

#include "net/chunks.h"

enum
{
  DIGITS_MAX = 15
};

/* Make CHUNKS ready for the first byte after a head.  */
void
jc_chunks_init (struct jc_chunks *chunks)
{
  memset (chunks, 0, sizeof *chunks);
}

/* Take the byte C of a chunk's size, or of what follows it.  */
static bool
take_size (struct jc_chunks *chunks, char c)
{
  int digit = g_ascii_xdigit_value (c);

  if (digit >= 0)
    {
      chunks->chunk_left = chunks->chunk_left * 16 + (uint64_t)digit;
      return ++chunks->size_digits <= DIGITS_MAX;
    }
  if (chunks->size_digits == 0)
    return false;
  chunks->last_chunk = chunks->chunk_left == 0;
  if (c == '\r')
    chunks->state = JC_CHUNKS_SIZE_LF;
  else if (c == ';' || c == ' ' || c == '\t')
    chunks->state = JC_CHUNKS_EXTENSION;
  else
    return false;
  return true;
}

static bool
expect (struct jc_chunks *chunks, char c, char wanted,
        enum jc_chunks_state next)
{
  chunks->state = next;
  return c == wanted;
}

/* Take the byte C of a line: NEXT comes after its CR.  */
static bool
take_line (struct jc_chunks *chunks, char c, enum jc_chunks_state stay,
           enum jc_chunks_state next)
{
  chunks->state = c == '\r' ? next : stay;
  return c != '\n' && c != '\0';
}

static bool
take_byte (struct jc_chunks *chunks, char c)
{
  switch (chunks->state)
    {
    case JC_CHUNKS_SIZE:
      return take_size (chunks, c);
    case JC_CHUNKS_EXTENSION:
      return take_line (chunks, c, JC_CHUNKS_EXTENSION, JC_CHUNKS_SIZE_LF);
    case JC_CHUNKS_SIZE_LF:
      return expect (chunks, c, '\n',
                     chunks->last_chunk ? JC_CHUNKS_TRAILER_START
                                        : JC_CHUNKS_DATA);
    case JC_CHUNKS_DATA_CR:
      return expect (chunks, c, '\r', JC_CHUNKS_DATA_LF);
    case JC_CHUNKS_DATA_LF:
      chunks->size_digits = 0;
      return expect (chunks, c, '\n', JC_CHUNKS_SIZE);
    case JC_CHUNKS_TRAILER_START:
      return take_line (chunks, c, JC_CHUNKS_TRAILER, JC_CHUNKS_END_LF);
    case JC_CHUNKS_TRAILER:
      return take_line (chunks, c, JC_CHUNKS_TRAILER, JC_CHUNKS_TRAILER_LF);
    case JC_CHUNKS_TRAILER_LF:
      return expect (chunks, c, '\n', JC_CHUNKS_TRAILER_START);
    case JC_CHUNKS_END_LF:
      return expect (chunks, c, '\n', JC_CHUNKS_END);
    default:
      return false;
    }
}

/* Take DATA, the next bytes of the body.  Return false where its framing is
   not exactly as it must be.  */
bool
jc_chunks_feed (struct jc_chunks *chunks, struct jc_str data)
{
  size_t i = 0;

  while (i < data.len)
    {
      if (chunks->state == JC_CHUNKS_DATA)
        {
          size_t skip = (size_t)MIN (chunks->chunk_left, data.len - i);

          i += skip;
          chunks->chunk_left -= skip;
          if (chunks->chunk_left == 0)
            chunks->state = JC_CHUNKS_DATA_CR;
          continue;
        }
      if (!take_byte (chunks, data.data[i++]))
        return false;
    }
  return true;
}
