/* Parser of server-sent events.  */

#include <string.h>

#include "serve/sse.h"

enum
{
  EVENT_BYTES_MAX = 1024 * 1024
};

/* Initialize SSE for a stream.  */
void
jc_sse_init (struct jc_sse *sse)
{
  sse->partial = g_string_new (NULL);
  sse->scanned = 0;
}

/* Reset SSE for another stream.  */
void
jc_sse_clear (struct jc_sse *sse)
{
  g_string_truncate (sse->partial, 0);
  sse->scanned = 0;
}

/* Release the resources of SSE.  */
void
jc_sse_free (struct jc_sse *sse)
{
  g_string_free (sse->partial, TRUE);
}

/* Return the length of the line end at DATA[POS], 0 if there is none.  A CR at
   the end of the data is undecided until the next byte arrives.  */
static size_t
line_end (struct jc_str data, size_t pos)
{
  if (pos >= data.len)
    return 0;
  if (data.data[pos] == '\n')
    return 1;
  if (data.data[pos] == '\r' && pos + 1 < data.len)
    return data.data[pos + 1] == '\n' ? 2 : 1;
  return 0;
}

/* Return the length of the first event of DATA including its blank line, 0 if
   it is incomplete.  Bytes before FROM hold no event end.  */
static size_t
event_length (struct jc_str data, size_t from)
{
  for (size_t i = from; i < data.len; i++)
    {
      size_t first = line_end (data, i);
      size_t second = first > 0 ? line_end (data, i + first) : 0;

      if (second > 0)
        return i + first + second;
    }
  return 0;
}

/* Append DATA and call EVENT for each complete event until it returns false.
   Return JC_STREAM_BROKEN if an incomplete event exceeds EVENT_BYTES_MAX.  */
enum jc_status
jc_sse_feed (struct jc_sse *sse, struct jc_str data, jc_sse_event_fn *event,
             void *ctx)
{
  struct jc_str rest;
  size_t len;

  g_string_append_len (sse->partial, data.data, (gssize)data.len);
  rest = jc_str_from_gstring (sse->partial);
  while ((len = event_length (rest, sse->scanned)) > 0)
    {
      bool go_on = event (ctx, (struct jc_str){ rest.data, len });

      sse->scanned = 0;
      rest.data += len;
      rest.len -= len;
      if (!go_on)
        break;
    }
  g_string_erase (sse->partial, 0, (gssize)(sse->partial->len - rest.len));
  /* An event ends with up to four bytes, so three of them may have arrived.  */
  sse->scanned = sse->partial->len > 3 ? sse->partial->len - 3 : 0;
  if (sse->partial->len > EVENT_BYTES_MAX)
    return jc_fail (JC_STREAM_BROKEN, "An event is over %d bytes.",
                    EVENT_BYTES_MAX);
  return JC_OK;
}

static struct jc_str
strip (struct jc_str text)
{
  while (text.len > 0 && strchr (" \r\n", text.data[text.len - 1]) != NULL)
    text.len--;
  return text;
}

/* Return true if EVENT is the end marker of an engine's stream: one data field
   with [DONE] and nothing else.  */
bool
jc_sse_is_end (struct jc_str event)
{
  struct jc_str text = strip (event);

  return jc_str_equal (text, JC_STR_LIT ("data: [DONE]"))
         || jc_str_equal (text, JC_STR_LIT ("data:[DONE]"));
}

/* Return true if EVENT has a data field, not only comments and blank lines.  */
bool
jc_sse_has_data (struct jc_str event)
{
  size_t line = 0;

  for (size_t i = 0; i < event.len; i++)
    {
      if (i == line && event.len - i >= 4
          && memcmp (event.data + i, "data", 4) == 0)
        return true;
      if (event.data[i] == '\n' || event.data[i] == '\r')
        line = i + 1;
    }
  return false;
}
