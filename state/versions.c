/* Software versions of endpoints.  The log adds each version of a service that
   an endpoint reports; entry instances begin resumable streams only at versions
   that were added.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "serve/streamstarts.h"
#include "state/call.h"
#include "state/state.h"

enum
{
  /* Shortest interval between two proposals.  One may be lost; an endpoint's
     next report proposes again.  */
  PROPOSE_INTERVAL_MS = 300,
  READ_TIMEOUT_MS = 800,
  RETRY_AFTER_MS = 200,
  BATCH_ROWS = 64
};

/* FOLLOWERS are the connections to entry instances that asked for versions.
   READS are calls for the newest table that wait for the round of READS_RUNNING
   to end.  PROPOSED_MS is the time of the last proposal of the version
   PROPOSED.
 */
struct versions
{
  GPtrArray *followers;
  GPtrArray *reads;
  GPtrArray *reads_running;
  uint64_t proposed;
  int64_t proposed_ms;
};

static void reads_start (struct state *state);

/* Start the module, without followers.  */
void
versions_start (struct state *state)
{
  state->versions = g_new0 (struct versions, 1);
  state->versions->followers = g_ptr_array_new ();
  state->versions->reads = g_ptr_array_new ();
  state->versions->reads_running = g_ptr_array_new ();
}

/* Stop the module.  */
void
versions_stop (struct state *state)
{
  if (state->versions == NULL)
    return;
  g_ptr_array_free (state->versions->followers, TRUE);
  g_ptr_array_free (state->versions->reads, TRUE);
  g_ptr_array_free (state->versions->reads_running, TRUE);
  g_free (state->versions);
  state->versions = NULL;
}

static void
send_table (struct state *state, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_VERSIONS };
  struct rpc_versions *table = &packet.body.rpc_body_u.versions;

  jc_versions_to_message (state->version_table, table);
  jc_rpc_send (conn, &packet);
  g_free (table->list.list_val);
}

static bool
is_follower (const struct state *state, const struct jc_rpc_conn *conn)
{
  return g_ptr_array_find (state->versions->followers, conn, NULL);
}

static void
send_rows (struct jc_rpc_conn *conn, struct rpc_endpoint_version *rows,
           u_int count)
{
  struct rpc_packet packet = { .body.type = RPC_ENDPOINT_VERSIONS };

  packet.body.rpc_body_u.endpoint_versions.list.list_val = rows;
  packet.body.rpc_body_u.endpoint_versions.list.list_len = count;
  jc_rpc_send (conn, &packet);
}

static struct rpc_endpoint_version
endpoint_to_row (const struct jc_endpoint *endpoint)
{
  return (struct rpc_endpoint_version){ .endpoint = endpoint->name,
                                        .endpoint_incarnation
                                        = endpoint->incarnation,
                                        .software = endpoint->software };
}

/* Send the versions of ENDPOINTS, an array of struct jc_endpoint, to CONN if it
   asked for versions.  */
void
versions_send_endpoints (struct state *state, struct jc_rpc_conn *conn,
                         const GPtrArray *endpoints)
{
  struct rpc_endpoint_version rows[BATCH_ROWS];
  u_int count = 0;

  if (!is_follower (state, conn))
    return;
  for (guint i = 0; i < endpoints->len; i++)
    {
      rows[count++] = endpoint_to_row (g_ptr_array_index (endpoints, i));
      if (count < BATCH_ROWS)
        continue;
      send_rows (conn, rows, count);
      count = 0;
    }
  if (count > 0)
    send_rows (conn, rows, count);
}

static void
on_proposed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;

  if (status != JC_OK)
    jc_event (JC_EVENT_VERSION, "what=proposal versions=%u outcome=%s",
              jc_versions_count (state->version_table),
              jc_status_name (status));
}

/* Propose the version of ENDPOINT to the log unless it has it.  */
void
versions_propose (struct state *state, const struct jc_endpoint *endpoint)
{
  struct versions *versions = state->versions;
  const struct rpc_service_version added
      = { .service = endpoint->service, .software = endpoint->software };
  int64_t now = jc_now_ms ();
  GString *data;

  if (!jc_versions_contains (state->version_table, added.service,
                             added.software)
      && !jc_versions_can_add (state->version_table, &added))
    jc_event (JC_EVENT_VERSION,
              "endpoint=%s software=%016" PRIx64 " versions=%u outcome=full",
              endpoint->name, added.software,
              jc_versions_count (state->version_table));
  if (!jc_versions_can_add (state->version_table, &added)
      || (versions->proposed == added.software
          && now - versions->proposed_ms < PROPOSE_INTERVAL_MS))
    return;
  versions->proposed = added.software;
  versions->proposed_ms = now;
  data = jc_versions_encode (&added);
  log_propose (state, LOG_VERSION, jc_str_from_gstring (data), on_proposed,
               state);
  g_string_free (data, TRUE);
}

/* Send the table to all entry instances that asked for versions.  */
void
versions_publish (struct state *state)
{
  if (state->versions == NULL)
    return;
  for (guint i = 0; i < state->versions->followers->len; i++)
    send_table (state, g_ptr_array_index (state->versions->followers, i));
}

/* Apply DATA, the committed entry at POSITION of the kind LOG_VERSION.  */
void
versions_apply (struct state *state, uint64_t position, struct jc_str data)
{
  if (!jc_versions_apply (state->version_table, position, data))
    return;
  jc_event (JC_EVENT_VERSION, "position=%" PRIu64 " versions=%u outcome=added",
            position, jc_versions_count (state->version_table));
  versions_publish (state);
}

/* Answer the calls of the round that ends with ANSWER, or with STATUS if that
   is not JC_OK, and start the next round if calls wait.  */
static void
reads_end (struct state *state, enum jc_status status,
           struct rpc_packet *answer)
{
  GPtrArray *calls = state->versions->reads_running;

  state->versions->reads_running = g_ptr_array_new ();
  for (guint i = 0; i < calls->len; i++)
    {
      if (status == JC_OK)
        call_answer (g_ptr_array_index (calls, i), answer);
      else
        call_fail (g_ptr_array_index (calls, i), status, RETRY_AFTER_MS);
    }
  g_ptr_array_free (calls, TRUE);
  reads_start (state);
}

/* This instance leads and an entry that was proposed after the calls came is
   committed, or could not be.  */
static void
on_confirmed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;
  struct rpc_packet answer = { .body.type = RPC_VERSIONS };
  struct rpc_versions *table = &answer.body.rpc_body_u.versions;

  if (state->versions == NULL)
    return;
  jc_versions_to_message (state->version_table, table);
  reads_end (state, status, &answer);
  g_free (table->list.list_val);
}

static void
on_leader_answer (void *ctx, enum jc_status status,
                  const struct rpc_packet *reply)
{
  struct state *state = ctx;
  struct rpc_packet answer = { .body.type = RPC_VERSIONS };

  if (state->versions == NULL)
    return;
  if (status == JC_OK && reply->body.type == RPC_VERSIONS)
    answer.body = reply->body;
  else if (status == JC_OK)
    status = jc_fail (JC_NOT_LEADER, "The leader gave no versions.");
  reads_end (state, status, &answer);
}

/* Read the newest table for the calls that wait, unless a round is under way,
   which may have begun before they came.  */
static void
reads_start (struct state *state)
{
  struct versions *versions = state->versions;
  struct rpc_packet packet = { .body.type = RPC_VERSIONS_READ };
  GPtrArray *waiting = versions->reads;

  if (versions->reads_running->len > 0 || waiting->len == 0)
    return;
  versions->reads = versions->reads_running;
  versions->reads_running = waiting;
  if (log_is_leader (state))
    log_propose (state, LOG_NOOP, JC_STR_LIT (""), on_confirmed, state);
  else if (jc_rpc_call (log_leader_conn (state), &packet, READ_TIMEOUT_MS,
                        on_leader_answer, state)
           == 0)
    reads_end (state, jc_fail (JC_NOT_LEADER, "No leader is known here."),
               NULL);
}

/* Handle a message of CONN about versions.  Other messages are ignored.  */
void
versions_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet)
{
  bool from_state = strcmp (jc_rpc_conn_role (conn), "state") == 0;

  if (packet->body.type == RPC_VERSIONS_FOLLOW && !from_state
      && !is_follower (state, conn))
    {
      g_ptr_array_add (state->versions->followers, conn);
      send_table (state, conn);
      fleet_send_versions (state, conn);
    }
  if (packet->body.type != RPC_VERSIONS_READ)
    return;
  if (from_state && !log_is_leader (state))
    {
      jc_rpc_reply_error (conn, packet, JC_NOT_LEADER, "I don't lead.",
                          RETRY_AFTER_MS);
      return;
    }
  g_ptr_array_add (state->versions->reads,
                   call_defer (state->deferred_calls, conn, packet));
  reads_start (state);
}

/* CONN went down: it gets no more versions.  */
void
versions_conn_down (struct state *state, struct jc_rpc_conn *conn)
{
  g_ptr_array_remove (state->versions->followers, conn);
}
