/* Parser that splits a byte stream into server-sent events.  */

#ifndef JC_SSE_H
#define JC_SSE_H

#include <stdint.h>

#include "base/status.h"
#include "base/str.h"

/* PARTIAL holds the bytes of an incomplete event; its first SCANNED bytes
   contain no event end.  */
struct jc_sse
{
  GString *partial;
  size_t scanned;
};

/* Receives a complete event including its blank line.  Returns false to
   stop.  */
typedef bool jc_sse_event_fn (void *ctx, struct jc_str event);

void jc_sse_init (struct jc_sse *sse);
void jc_sse_clear (struct jc_sse *sse);
void jc_sse_free (struct jc_sse *sse);
enum jc_status jc_sse_feed (struct jc_sse *sse, struct jc_str data,
                            jc_sse_event_fn *event, void *ctx);
bool jc_sse_is_end (struct jc_str event);
bool jc_sse_has_data (struct jc_str event);

#endif
