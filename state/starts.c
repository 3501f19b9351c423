/* Starts of streams that entry instances report, and their searches for them.
   They outlive the entry instances but not this process, which gets them again
   from the entry instances that are still there.  */

#include <string.h>

#include "net/program.h"
#include "serve/streamstarts.h"
#include "state/state.h"

enum
{
  /* Starts of a minute at the size of docs/CAPACITY.md, each at four of 25
     state instances, with room for fewer of these.  */
  STARTS_MAX = 200000
};

/* Start the module, with no start recorded.  */
void
starts_start (struct state *state)
{
  state->starts = jc_stream_starts_new (STARTS_MAX);
}

/* Stop the module; it need not have been started.  */
void
starts_stop (struct state *state)
{
  jc_stream_starts_free (state->starts);
  state->starts = NULL;
}

/* Record ROW, whose version is certain unless ENDPOINT_TAG is other than 0.  */
static void
record_start (struct state *state, const struct rpc_stream_start *row,
              uint64_t endpoint_tag, int64_t now_ms)
{
  const struct jc_stream_start start
      = { .stream = row->stream,
          .software = row->software,
          .endpoint_tag = endpoint_tag,
          .started_ms = now_ms - (int64_t)row->age_ms,
          .certain = endpoint_tag == 0 };

  jc_stream_starts_record (state->starts, &start);
}

static void
record_starts (struct state *state, const struct rpc_stream_starts *reported)
{
  int64_t now = jc_now_ms ();

  for (u_int i = 0; i < reported->list.list_len; i++)
    record_start (state, &reported->list.list_val[i], 0, now);
  for (u_int i = 0; i < reported->claims.claims_len; i++)
    {
      const struct rpc_stream_claim *claim = &reported->claims.claims_val[i];

      record_start (state, &claim->start, claim->endpoint_tag, now);
    }
  jc_stream_starts_expire (state->starts, now);
}

static void
answer_search (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct jc_stream_start *start = jc_stream_starts_find (
      state->starts, packet->body.rpc_body_u.stream_find.stream, jc_now_ms ());
  struct rpc_packet reply = { .body.type = RPC_STREAM_FOUND };
  struct rpc_stream_found *found = &reply.body.rpc_body_u.stream_found;

  if (start != NULL)
    {
      found->known = true;
      found->certain = start->certain || fleet_confirms_start (state, start);
      found->claim = jc_stream_start_to_rpc (start, jc_now_ms ());
    }
  jc_rpc_reply (conn, packet, &reply);
}

/* Handle a message of the entry instance CONN about starts of streams.  Other
   messages are ignored.  */
void
starts_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  if (packet->body.type == RPC_STREAM_STARTS)
    record_starts (state, &packet->body.rpc_body_u.stream_starts);
  else if (packet->body.type == RPC_STREAM_FIND)
    answer_search (state, conn, packet);
}
