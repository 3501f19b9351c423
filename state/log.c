/* Runs the replicated log of the state instances.
   Entries that arrive in the same iteration of the event loop are written with
   one sync.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "conf/placement.h"
#include "conf/replicas.h"
#include "conf/rlog.h"
#include "net/program.h"
#include "state/call.h"
#include "state/state.h"

#define LOG_COMPONENT "log"

enum
{
  HEARTBEATS_PER_ELECTION = 5,
  TICKS_PER_HEARTBEAT = 4,
  SNAPSHOT_CHUNK_BYTES = 256 * 1024,
  /* Messages to a peer with more unsent bytes than this are dropped.  */
  BACKLOG_MAX_BYTES = 8 * 1024 * 1024,
  /* Maximum number of voters in a new log, including this instance.  */
  VOTERS_MAX = 5,
  PROPOSE_TIMEOUT_MS = 3000,
  /* Interval at which a log is opened again after its disk failed; the disk
     may only have been full, or slow to answer.  */
  REOPEN_MS = 500,
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

/* The log of this instance.  RUNNING is set once the log has been replayed.
   REOPEN_DUE_MS is the time from which a log whose disk failed may be opened
   again.  FLUSHED_INDEX is the last entry that was flushed.  */
struct log
{
  int64_t reopen_due_ms;
  struct jc_rlog *rlog;
  ev_timer tick;
  ev_prepare flush;
  uint64_t flushed_index;
  bool running;
};

static void
send_to_peer (void *ctx, const char *to, const struct rpc_body *body)
{
  struct state *state = ctx;
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, to);
  struct rpc_packet packet = { .body = *body };

  if (conn != NULL && jc_rpc_conn_backlog_bytes (conn) < BACKLOG_MAX_BYTES)
    jc_rpc_send (conn, &packet);
}

static void
on_role_change (void *ctx, enum jc_rlog_role role)
{
  const struct state *state = ctx;

  jc_info (LOG_COMPONENT, "The role of this replica is now %s.",
           jc_rlog_role_name (role));
  if (role == JC_RLOG_FAILED)
    jc_event (JC_EVENT_STORAGE, "what=failed why=\"%.150s\"",
              jc_last_message ());
  if (state->log == NULL || state->log->rlog == NULL)
    return;
  jc_event (JC_EVENT_ROLE, "role=%s term=%" PRIu64 " last=%" PRIu64,
            jc_rlog_role_name (role), jc_rlog_term (state->log->rlog),
            jc_rlog_last_index (state->log->rlog));
}

static const struct jc_rlog_class log_class
    = { .send = send_to_peer,
        .reset = logentries_reset,
        .restore = logentries_restore,
        .apply = logentries_apply,
        .snapshot = logentries_snapshot,
        .role_changed = on_role_change };

/* Write a line about WHAT was done to RLOG in MS milliseconds.  */
static void
report_usage (const char *what, const struct jc_rlog *rlog, int64_t ms)
{
  struct jc_rlog_usage usage = jc_rlog_usage (rlog);

  jc_event (JC_EVENT_STORAGE,
            "what=%s snapshot=%" PRIu64 " last=%" PRIu64
            " file_bytes=%zu snapshot_bytes=%zu entries=%u entry_bytes=%zu"
            " ms=%" PRId64 " peak_memory_bytes=%" PRIu64,
            what, jc_rlog_snapshot_index (rlog), jc_rlog_last_index (rlog),
            usage.file_bytes, usage.snapshot_bytes, usage.entries,
            usage.entry_bytes, ms, jc_peak_memory_bytes ());
}

/* Open the log on this instance's disk and apply its committed entries.  */
static struct jc_rlog *
open_rlog (struct state *state, enum jc_status *status)
{
  const struct jc_state_settings *s = state->settings;
  const struct jc_rlog_options options
      = { .name = s->name,
          .seed = jc_random_id (),
          .new_incarnation = jc_random_id (),
          .election_ms = s->election_ms,
          .heartbeat_ms = s->election_ms / HEARTBEATS_PER_ELECTION,
          .snapshot_entries = (uint64_t)s->snapshot_entries,
          .snapshot_chunk_bytes = SNAPSHOT_CHUNK_BYTES };
  int64_t started_ms = jc_now_ms ();
  struct jc_rlog *rlog = jc_rlog_open (state->disk, &options, &log_class, state,
                                       started_ms, status);

  if (rlog != NULL)
    report_usage ("open", rlog, jc_now_ms () - started_ms);
  return rlog;
}

/* Open the log again after its disk failed, at intervals until that succeeds.
   Opening compacts and rewrites the log, so that it does not depend on writes
   from before the failure.  Not done where requests are routed by products,
   because the ledgers there do not allow it.  */
static void
reopen (struct state *state)
{
  struct log *log = state->log;
  int64_t now = jc_now_ms ();
  struct jc_rlog *reopened;
  enum jc_status status;

  if (now < log->reopen_due_ms
      || strcmp (state->settings->routing, "hosts") != 0)
    return;
  log->reopen_due_ms = now + REOPEN_MS;
  log->running = false;
  reopened = open_rlog (state, &status);
  log->running = true;
  jc_event (JC_EVENT_STORAGE, "what=reopen outcome=%s position=%" PRIu64,
            jc_status_name (status), state->orders->position);
  if (status != JC_OK)
    {
      jc_rlog_free (reopened);
      return;
    }
  jc_rlog_free (log->rlog);
  log->rlog = reopened;
  logentries_opened (state);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  if (jc_rlog_role (state->log->rlog) == JC_RLOG_FAILED)
    reopen (state);
  else
    jc_rlog_tick (state->log->rlog, jc_now_ms ());
}

/* Flush the log.  If there are new entries to write and sync, record in the
   metrics how long that takes.  */
static void
flush_log (struct state *state)
{
  struct log *log = state->log;
  uint64_t last = jc_rlog_last_index (log->rlog);
  uint64_t snapshot = jc_rlog_snapshot_index (log->rlog);
  int64_t started_us = jc_now_us ();
  int64_t took_us;

  jc_rlog_flush (log->rlog, jc_now_ms ());
  took_us = jc_now_us () - started_us;
  if (jc_rlog_snapshot_index (log->rlog) != snapshot)
    report_usage ("compact", log->rlog, took_us / US_PER_MS);
  if (last == log->flushed_index)
    return;
  log->flushed_index = last;
  jc_metrics_observe (state->metrics, "jaycove_log_flush_us", "",
                      (uint64_t)took_us);
}

static void
on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  flush_log (state);
  subscribers_push (state);
}

static enum jc_status
bootstrap_log (struct state *state)
{
  const GPtrArray *peers = state->settings->state_peers;
  struct rpc_replicas others = { 0 };
  enum jc_status status;

  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);
      struct rpc_replica row
          = { .name = peer->name, .standing = i + 1 < VOTERS_MAX };

      jc_replicas_put (&others, &row);
    }
  status = jc_rlog_bootstrap (state->log->rlog, jc_random_id (), &others);
  jc_replicas_clear (&others);
  return status;
}

static void
start_watchers (struct state *state)
{
  struct log *log = state->log;
  double tick_s = (double)state->settings->election_ms / HEARTBEATS_PER_ELECTION
                  / TICKS_PER_HEARTBEAT / MS_PER_S;

  ev_timer_init (&log->tick, on_tick, tick_s, tick_s);
  log->tick.data = state;
  ev_timer_start (state->loop, &log->tick);
  ev_prepare_init (&log->flush, on_flush);
  log->flush.data = state;
  ev_prepare_start (state->loop, &log->flush);
}

/* Open the log and apply its committed entries.  If CREATE is set, create a new
   log with the peers of the settings as its replicas.  */
enum jc_status
log_start (struct state *state, bool create)
{
  enum jc_status status;

  state->log = g_new0 (struct log, 1);
  state->log->rlog = open_rlog (state, &status);
  if (status == JC_OK && !create && !jc_rlog_is_initialized (state->log->rlog))
    create = group_is_founder (state);
  if (status == JC_OK && create)
    status = bootstrap_log (state);
  if (status != JC_OK)
    return status;
  if (!jc_rlog_is_initialized (state->log->rlog))
    jc_info (LOG_COMPONENT,
             "The data folder has no log yet; waiting for a leader.");
  state->log->running = true;
  logentries_opened (state);
  start_watchers (state);
  ledger_config_changed (state);
  return JC_OK;
}

/* Close the log and free what log_start allocated.  */
void
log_stop (struct state *state)
{
  struct log *log = state->log;

  if (log == NULL)
    return;
  if (log->running)
    {
      ev_timer_stop (state->loop, &log->tick);
      ev_prepare_stop (state->loop, &log->flush);
    }
  jc_rlog_free (log->rlog);
  g_free (log);
  state->log = NULL;
}

/* Return the connection to the leader, or NULL if there is none: no leader is
   known, it is not connected, or it is this replica.  */
struct jc_rpc_conn *
log_leader_conn (struct state *state)
{
  const char *leader;

  if (state->log->rlog == NULL)
    return NULL;
  leader = jc_rlog_leader (state->log->rlog);
  return leader[0] != '\0' ? jc_rpc_find_conn (state->rpc, leader) : NULL;
}

/* Return whether the log has been replayed.  */
bool
log_is_running (const struct state *state)
{
  return state->log != NULL && state->log->running;
}

/* Return whether this replica is the leader.  It is not while its log is being
   opened.  */
bool
log_is_leader (const struct state *state)
{
  return state->log->rlog != NULL
         && jc_rlog_role (state->log->rlog) == JC_RLOG_LEADER;
}

/* Return the current term of this replica.  */
uint64_t
log_term (const struct state *state)
{
  return jc_rlog_term (state->log->rlog);
}

/* Return the index of the last entry that this replica has applied, 0 while its
   log is being opened.  */
uint64_t
log_applied_index (const struct state *state)
{
  return state->log->rlog != NULL ? jc_rlog_applied_index (state->log->rlog)
                                  : 0;
}

/* Return whether a committed order survives the simultaneous loss of as many
   state instances as the setting "losses" says.  */
bool
log_survives_losses (const struct state *state)
{
  const struct jc_state_settings *settings = state->settings;
  const struct rpc_replicas *replicas = log_replicas (state);

  return jc_placement_survives_losses (
      jc_replicas_count_voters (replicas),
      MAX (replicas->list.list_len, settings->state_seeds->len),
      (unsigned int)settings->losses);
}

/* Return what the log takes on the disk and in memory.  */
struct jc_rlog_usage
log_usage (const struct state *state)
{
  return jc_rlog_usage (state->log->rlog);
}

/* Return the replicas of the log; the log owns them.  */
const struct rpc_replicas *
log_replicas (const struct state *state)
{
  return jc_rlog_replicas (state->log->rlog);
}

/* Return for how many milliseconds the replica NAME has not answered this
   leader.  */
int64_t
log_replica_silent_ms (const struct state *state, const char *name)
{
  return jc_rlog_silent_ms (state->log->rlog, name, jc_now_ms ());
}

/* Return whether the replica NAME has all committed entries.  */
bool
log_replica_caught_up (const struct state *state, const char *name)
{
  return jc_rlog_caught_up (state->log->rlog, name);
}

/* A proposal that was forwarded to the leader.  */
struct forwarded_proposal
{
  log_done_fn *done;
  void *ctx;
};

static void
on_forwarded (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct forwarded_proposal *proposal = ctx;

  if (status == JC_OK && reply->body.type == RPC_PROPOSE_REPLY)
    status = (enum jc_status)reply->body.rpc_body_u.propose_reply.status;
  else if (status != JC_NOT_LEADER && status != JC_OVERLOADED)
    status = JC_OUTCOME_UNKNOWN;
  proposal->done (proposal->ctx, status);
  g_free (proposal);
}

static void
forward_to_leader (struct state *state, enum log_entry_kind kind,
                   struct jc_str data, log_done_fn *done, void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_PROPOSE };
  struct rpc_propose *propose = &packet.body.rpc_body_u.propose;
  struct forwarded_proposal *proposal = g_new0 (struct forwarded_proposal, 1);

  propose->kind = kind;
  propose->data.rpc_bytes_val = (char *)data.data;
  propose->data.rpc_bytes_len = (u_int)data.len;
  proposal->done = done;
  proposal->ctx = ctx;
  if (jc_rpc_call (log_leader_conn (state), &packet, PROPOSE_TIMEOUT_MS,
                   on_forwarded, proposal)
      != 0)
    return;
  g_free (proposal);
  done (ctx, JC_NOT_LEADER);
}

/* Propose DATA as an entry of KIND, and call DONE with CTX and the outcome.  A
   replica that is not the leader forwards the proposal to the leader.  */
void
log_propose (struct state *state, enum log_entry_kind kind, struct jc_str data,
             log_done_fn *done, void *ctx)
{
  if (log_is_leader (state))
    jc_rlog_propose (state->log->rlog, kind, data, done, ctx);
  else
    forward_to_leader (state, kind, data, done, ctx);
}

/* A proposal that another replica forwarded.  */
struct received_proposal
{
  struct state *state;
  struct call *call;
};

/* The proposal in CTX ended with STATUS.  If it is committed, its entry is the
   one applied last.  */
static void
on_proposed (void *ctx, enum jc_status status)
{
  struct received_proposal *proposal = ctx;
  struct rpc_packet answer = { .body.type = RPC_PROPOSE_REPLY };

  if (status == JC_OK)
    status = proposal->state->order_outcome;
  answer.body.rpc_body_u.propose_reply.status = (int)status;
  call_answer (proposal->call, &answer);
  g_free (proposal);
}

static void
handle_proposal (struct state *state, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  const struct rpc_propose *propose = &packet->body.rpc_body_u.propose;
  struct received_proposal *proposal = g_new0 (struct received_proposal, 1);

  proposal->state = state;
  proposal->call = call_defer (state->deferred_calls, conn, packet);
  jc_rlog_propose (state->log->rlog, propose->kind,
                   (struct jc_str){ .data = propose->data.rpc_bytes_val,
                                    .len = propose->data.rpc_bytes_len },
                   on_proposed, proposal);
}

/* Return whether the proposal in PACKET may be forwarded by another replica.
   Changes of the configuration and of the replicas may not: the requests of
   operators for them are forwarded instead.  */
static bool
may_be_forwarded (const struct rpc_packet *packet)
{
  u_int kind = packet->body.rpc_body_u.propose.kind;

  return kind == LOG_LEDGER_SET || kind == LOG_ORDER || kind == LOG_GRANT
         || kind == LOG_LIMITS || kind == LOG_CRASHES || kind == LOG_VERSION
         || kind == LOG_DEPARTURE || kind == LOG_ZONE_ORDER
         || kind == LOG_CRASH_PROOFS;
}

/* Handle a message about the log.  It is ignored unless another state instance
   sent it.  */
void
log_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet)
{
  enum rpc_type type = packet->body.type;

  if (strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  if (type == RPC_PROPOSE && may_be_forwarded (packet))
    handle_proposal (state, conn, packet);
  else if (type >= RPC_VOTE && type <= RPC_INSTALL_REPLY)
    jc_rlog_receive (state->log->rlog, jc_rpc_conn_name (conn), &packet->body,
                     jc_now_ms ());
}

static json_t *
replica_json (const struct rpc_replica *replica)
{
  char disk[2 * sizeof replica->incarnation + 1];

  g_snprintf (disk, sizeof disk, "%" G_GINT64_MODIFIER "x",
              (guint64)replica->incarnation);
  return json_pack ("{s:s,s:s,s:b,s:b}", "name", replica->name, "disk", disk,
                    "standing", replica->standing, "voter", replica->voter);
}

/* Add the status of the log, as this replica knows it, to OBJECT.  */
void
log_status_to_json (const struct state *state, json_t *object)
{
  const struct jc_rlog *rlog = state->log->rlog;
  const struct rpc_replicas *rows = jc_rlog_replicas (rlog);
  json_t *list = json_array ();

  for (u_int i = 0; i < rows->list.list_len; i++)
    json_array_append_new (list, replica_json (&rows->list.list_val[i]));
  json_object_set_new (object, "replica", json_string (state->settings->name));
  json_object_set_new (object, "role",
                       json_string (jc_rlog_role_name (jc_rlog_role (rlog))));
  json_object_set_new (object, "leader", json_string (jc_rlog_leader (rlog)));
  json_object_set_new (object, "term",
                       json_integer ((json_int_t)jc_rlog_term (rlog)));
  json_object_set_new (object, "applied",
                       json_integer ((json_int_t)jc_rlog_applied_index (rlog)));
  json_object_set_new (object, "version",
                       json_integer ((json_int_t)state->config->version));
  json_object_set_new (object, "replicas", list);
}

/* Add the replica NAME or change it, and call DONE with CTX and the outcome.
   If STANDING is set, it becomes a voter as soon as it may.  */
void
log_put_replica (struct state *state, const char *name, bool standing,
                 log_done_fn *done, void *ctx)
{
  jc_rlog_put_replica (state->log->rlog, name, standing, done, ctx);
}

/* Remove the replica NAME, and call DONE with CTX and the outcome.  */
void
log_remove_replica (struct state *state, const char *name, log_done_fn *done,
                    void *ctx)
{
  jc_rlog_remove_replica (state->log->rlog, name, done, ctx);
}
