/* Strict check of the framing of chunked bodies.  */

#include <string.h>

#include "net/chunks.h"

enum
{
  /* 15 hexadecimal digits can't overflow 64 bits.  */
  SIZE_DIGITS_MAX = 15
};

/* Initialize CHUNKS for the first byte after a head.  */
void
jc_chunks_init (struct jc_chunks *chunks)
{
  memset (chunks, 0, sizeof *chunks);
}

/* Process C, a byte of the size of a chunk or the one after it.  Return false
   if it is not valid.  */
static bool
parse_size_byte (struct jc_chunks *chunks, char c)
{
  int digit = g_ascii_xdigit_value (c);

  if (digit >= 0)
    {
      chunks->chunk_left = chunks->chunk_left * 16 + (uint64_t)digit;
      return ++chunks->size_digits <= SIZE_DIGITS_MAX;
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

/* Enter the state NEXT and return whether C is the byte WANTED.  */
static bool
expect_byte (struct jc_chunks *chunks, char c, char wanted,
             enum jc_chunks_state next)
{
  chunks->state = next;
  return c == wanted;
}

/* Process C, a byte of a line whose content does not matter: enter NEXT after a
   CR, otherwise STAY.  Return false if it is not valid.  */
static bool
parse_line_byte (struct jc_chunks *chunks, char c, enum jc_chunks_state stay,
                 enum jc_chunks_state next)
{
  chunks->state = c == '\r' ? next : stay;
  return c != '\n' && c != '\0';
}

/* Process C, any byte but the data of a chunk.  Return false if it is not
   valid.  */
static bool
parse_byte (struct jc_chunks *chunks, char c)
{
  switch (chunks->state)
    {
    case JC_CHUNKS_SIZE:
      return parse_size_byte (chunks, c);
    case JC_CHUNKS_EXTENSION:
      return parse_line_byte (chunks, c, JC_CHUNKS_EXTENSION,
                              JC_CHUNKS_SIZE_LF);
    case JC_CHUNKS_SIZE_LF:
      return expect_byte (chunks, c, '\n',
                          chunks->last_chunk ? JC_CHUNKS_TRAILER_START
                                             : JC_CHUNKS_DATA);
    case JC_CHUNKS_DATA_CR:
      return expect_byte (chunks, c, '\r', JC_CHUNKS_DATA_LF);
    case JC_CHUNKS_DATA_LF:
      chunks->size_digits = 0;
      return expect_byte (chunks, c, '\n', JC_CHUNKS_SIZE);
    case JC_CHUNKS_TRAILER_START:
      return parse_line_byte (chunks, c, JC_CHUNKS_TRAILER, JC_CHUNKS_END_LF);
    case JC_CHUNKS_TRAILER:
      return parse_line_byte (chunks, c, JC_CHUNKS_TRAILER,
                              JC_CHUNKS_TRAILER_LF);
    case JC_CHUNKS_TRAILER_LF:
      return expect_byte (chunks, c, '\n', JC_CHUNKS_TRAILER_START);
    case JC_CHUNKS_END_LF:
      return expect_byte (chunks, c, '\n', JC_CHUNKS_END);
    default:
      return false;
    }
}

/* Check DATA, the next bytes of the body.  Return false if its framing is not
   valid; CHUNKS must not be fed any further then.  */
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
      if (!parse_byte (chunks, data.data[i++]))
        return false;
    }
  return true;
}
