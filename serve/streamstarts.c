/* Table of the software versions that began streams.  */

#include "member/endpoints.h"
#include "serve/streamstarts.h"

/* BY_STREAM maps the hash of a stream to its start in BY_AGE, which owns the
   starts and has them oldest first.  */
struct jc_stream_starts
{
  GHashTable *by_stream;
  GQueue by_age;
  size_t starts_max;
};

/* Return a hash of the names A and B that is never 0.  */
static uint64_t
hash_pair (const char *a, const char *b)
{
  uint64_t hash = jc_name_pair_hash (a, b);

  return hash != 0 ? hash : 1;
}

/* Return a hash, never 0, of the stream whose first event the caller's attempt
   ATTEMPT_ID brought.  It is the same in every process, and for each service
   that a route may name by the time at which the stream is resumed.  */
uint64_t
jc_stream_hash (const char *attempt_id)
{
  return hash_pair ("stream", attempt_id);
}

/* Return a hash, never 0, of the software version VERSION of SERVICE's
   endpoints.  It is the same in every process.  */
uint64_t
jc_version_hash (const char *service, const char *version)
{
  return hash_pair (service, version);
}

/* Return an empty table for at most STARTS_MAX starts, to be freed with
   jc_stream_starts_free.  */
struct jc_stream_starts *
jc_stream_starts_new (size_t starts_max)
{
  struct jc_stream_starts *starts = g_new0 (struct jc_stream_starts, 1);

  starts->by_stream = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&starts->by_age);
  starts->starts_max = starts_max;
  return starts;
}

/* Free STARTS; NULL is allowed.  */
void
jc_stream_starts_free (struct jc_stream_starts *starts)
{
  if (starts == NULL)
    return;
  g_hash_table_destroy (starts->by_stream);
  g_queue_clear_full (&starts->by_age, g_free);
  g_free (starts);
}

static void
drop_oldest (struct jc_stream_starts *starts)
{
  struct jc_stream_start *oldest = g_queue_pop_head (&starts->by_age);

  g_hash_table_remove (starts->by_stream, &oldest->stream);
  g_free (oldest);
}

/* Add RECORDED to START, which is of the same stream.  A certain version
   replaces an uncertain one; two certain or two uncertain ones that differ are
   a conflict, for good.  */
static void
start_merge (struct jc_stream_start *start,
             const struct jc_stream_start *recorded)
{
  if (start->certain && !recorded->certain)
    return;
  if (start->certain == recorded->certain
      && (start->software != recorded->software
          || (!start->certain
              && start->endpoint_tag != recorded->endpoint_tag)))
    start->conflict = true;
  start->software = recorded->software;
  start->endpoint_tag = recorded->endpoint_tag;
  start->certain = recorded->certain;
}

/* Record a copy of RECORDED.  Where the table is full the oldest start is
   dropped.  */
void
jc_stream_starts_record (struct jc_stream_starts *starts,
                         const struct jc_stream_start *recorded)
{
  struct jc_stream_start *start
      = g_hash_table_lookup (starts->by_stream, &recorded->stream);

  if (start != NULL)
    {
      start_merge (start, recorded);
      return;
    }
  if (starts->by_age.length >= starts->starts_max)
    drop_oldest (starts);
  start = g_memdup2 (recorded, sizeof *recorded);
  g_hash_table_insert (starts->by_stream, &start->stream, start);
  g_queue_push_tail (&starts->by_age, start);
}

/* Return the start of STREAM, or NULL if none is recorded at NOW_MS.  */
const struct jc_stream_start *
jc_stream_starts_find (struct jc_stream_starts *starts, uint64_t stream,
                       int64_t now_ms)
{
  jc_stream_starts_expire (starts, now_ms);
  return g_hash_table_lookup (starts->by_stream, &stream);
}

/* Return the number of starts.  */
size_t
jc_stream_starts_count (const struct jc_stream_starts *starts)
{
  return starts->by_age.length;
}

/* Call VISIT with CTX for each start, oldest first.  */
void
jc_stream_starts_foreach (const struct jc_stream_starts *starts,
                          jc_stream_start_visit *visit, void *ctx)
{
  for (const GList *item = starts->by_age.head; item != NULL; item = item->next)
    visit (ctx, item->data);
}

/* Drop the starts that are older than JC_STREAM_START_KEEP_MS at NOW_MS.  The
   order is that of recording, so that a start that was told late may stay a
   little longer.  */
void
jc_stream_starts_expire (struct jc_stream_starts *starts, int64_t now_ms)
{
  const struct jc_stream_start *oldest;

  while ((oldest = g_queue_peek_head (&starts->by_age)) != NULL
         && now_ms - oldest->started_ms > JC_STREAM_START_KEEP_MS)
    drop_oldest (starts);
}

/* Return START as a message tells it at NOW_MS.  */
struct rpc_stream_claim
jc_stream_start_to_rpc (const struct jc_stream_start *start, int64_t now_ms)
{
  return (struct rpc_stream_claim){
    .start = { .stream = start->stream,
               .software = start->conflict ? 0 : start->software,
               .age_ms = (u_int)MAX (now_ms - start->started_ms, 0) },
    .endpoint_tag = start->endpoint_tag
  };
}
