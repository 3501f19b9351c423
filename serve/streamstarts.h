/* Stream starts: the software versions that began streams.  A stream may go on
   only at the version that began it.  */

#ifndef JC_STREAMSTARTS_H
#define JC_STREAMSTARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "schema/gen/messages.h"

enum
{
  /* A start is kept for longer than any stream may last with all tries of its
     caller.  */
  JC_STREAM_START_KEEP_MS = 60000
};

/* A start.  SOFTWARE is the version that began the stream if CERTAIN is set;
   otherwise it is so if the incarnation of an endpoint with ENDPOINT_TAG still
   ran at STARTED_MS.  CONFLICT is set once two versions were recorded.  */
struct jc_stream_start
{
  uint64_t stream;
  uint64_t software;
  uint64_t endpoint_tag;
  int64_t started_ms;
  bool certain;
  bool conflict;
};

/* Called for a start of a table.  */
typedef void jc_stream_start_visit (void *ctx,
                                    const struct jc_stream_start *start);

struct jc_stream_starts;

uint64_t jc_stream_hash (const char *attempt_id);
uint64_t jc_version_hash (const char *service, const char *version);

struct jc_stream_starts *jc_stream_starts_new (size_t starts_max);
void jc_stream_starts_free (struct jc_stream_starts *starts);
void jc_stream_starts_record (struct jc_stream_starts *starts,
                              const struct jc_stream_start *recorded);
const struct jc_stream_start *
jc_stream_starts_find (struct jc_stream_starts *starts, uint64_t stream,
                       int64_t now_ms);
size_t jc_stream_starts_count (const struct jc_stream_starts *starts);
void jc_stream_starts_foreach (const struct jc_stream_starts *starts,
                               jc_stream_start_visit *visit, void *ctx);
struct rpc_stream_claim
jc_stream_start_to_rpc (const struct jc_stream_start *start, int64_t now_ms);
void jc_stream_starts_expire (struct jc_stream_starts *starts, int64_t now_ms);

#endif
