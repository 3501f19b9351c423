/* Log task: the replicated log between the state instances.  What came in
   one turn of the loop shares one sync.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "conf/placement.h"
#include "conf/replicas.h"
#include "conf/rlog.h"
#include "net/program.h"
#include "state/call.h"
#include "state/state.h"

#define PART "log"

enum
{
  BEATS_IN_ELECTION = 5,
  TICKS_IN_BEAT = 4,
  CHUNK_BYTES = 256 * 1024,
  BACKLOG_MAX = 8 * 1024 * 1024,
  VOTERS_MAX = 5,
  PROPOSE_MS = 3000,
  RETRY_AFTER_MS = 500,
  /* A disk that failed, being full or slow to answer, is tried again.  */
  REOPEN_MS = 500,
  MS_PER_S = 1000
};

/* The log of this instance.  RUNNING says that the log was replayed,
   REOPEN_MS when it is opened anew after its disk failed, FLUSHED up to which
   entry it was flushed.  */
struct log
{
  int64_t reopen_ms;
  struct jc_rlog *rlog;
  ev_timer tick;
  ev_prepare flush;
  uint64_t flushed;
  bool running;
};

static void
on_send (void *ctx, const char *to, const struct rpc_body *body)
{
  struct state *state = ctx;
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, to);
  struct rpc_packet packet = { .body = *body };

  if (conn != NULL && jc_rpc_conn_backlog_bytes (conn) < BACKLOG_MAX)
    jc_rpc_send (conn, &packet);
}

/* Take over the configuration that the log came to.  */
static void
take_config (struct state *state)
{
  if (state->config == state->confstate->config)
    return;
  state->config = state->confstate->config;
  jc_rpc_set_config_version (state->rpc, state->config->version);
  if (state->log != NULL && state->log->running)
    ledger_config_changed (state);
}

/* Read the route table that the log came to; it was checked before.  */
static void
take_routes (struct state *state)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);

  if (state->orders->table_version > 0
      && (state->route_table == NULL
          || state->route_table->version != state->orders->table_version))
    {
      jc_routetable_unref (state->route_table);
      state->route_table = state->protocol->parse_routes (
          jc_str_from_gstring (state->orders->table_text), faults);
    }
  g_ptr_array_free (faults, TRUE);
}

/* Tell entry instances of the orders that the log came to.  */
static void
take_orders (struct state *state)
{
  take_routes (state);
  jc_event (JC_EVENT_IN_FORCE,
            "position=%" PRIu64 " version=%" PRIu64 " evacuated=%u",
            state->orders->position, state->orders->table_version,
            g_hash_table_size (state->orders->evacuated_zones));
  if (state->log != NULL && state->log->running)
    orders_publish (state);
  coldgrants_orders_changed (state);
}

static void
on_applied (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  struct state *state = ctx;

  if (kind == LOG_CONFIG_CHANGE)
    state->last_submit_result = jc_confstate_apply (state->confstate, data);
  else if (kind == LOG_LEDGER_SET)
    ledger_apply_entry (state, data);
  else if (kind == LOG_GRANT)
    coldgrants_apply (state, data);
  else if (kind == LOG_ORDER && jc_orders_apply (state->orders, index, data))
    take_orders (state);
  take_config (state);
}

static void
restore_ledger (struct state *state, const json_t *entries)
{
  const json_t *entry;
  size_t i;

  json_array_foreach ((json_t *)entries, i, entry)
  {
    gsize len;
    guchar *data = g_base64_decode (json_string_value (entry), &len);

    ledger_restore_entry (
        state, (struct jc_str){ .data = (const char *)data, .len = len });
    g_free (data);
  }
}

static void
on_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct state *state = ctx;
  json_t *json = json_loadb (snapshot.data, snapshot.len, 0, NULL);

  (void)index;
  if (jc_confstate_restore (state->confstate, json) != JC_OK
      || jc_orders_restore (state->orders, json) != JC_OK
      || jc_grants_restore (state->grants, json) != JC_OK)
    {
      jc_error (PART, "The snapshot can't be read.");
      state->snapshot_invalid = true;
      ev_break (state->loop, EVBREAK_ALL);
    }
  else
    restore_ledger (state, json_object_get (json, "ledger"));
  take_config (state);
  take_orders (state);
  json_decref (json);
}

static void
on_snapshot (void *ctx, GString *out)
{
  const struct state *state = ctx;
  GPtrArray *entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  json_t *json = json_object ();
  json_t *ledger = json_array ();
  char *text;

  jc_confstate_snapshot (state->confstate, json);
  jc_orders_snapshot (state->orders, json);
  jc_grants_snapshot (state->grants, json);
  ledger_snapshot (state, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (entries->pdata[i], &len);
      char *coded = g_base64_encode (data, len);

      json_array_append_new (ledger, json_string (coded));
      g_free (coded);
    }
  json_object_set_new (json, "ledger", ledger);
  text = json_dumps (json, JSON_COMPACT);
  g_string_append (out, text);
  free (text);
  json_decref (json);
  g_ptr_array_free (entries, TRUE);
}

static void
on_role (void *ctx, enum jc_rlog_role role)
{
  const struct state *state = ctx;

  jc_info (PART, "This replica is %s.", jc_rlog_role_name (role));
  if (role == JC_RLOG_FAILED)
    jc_event (JC_EVENT_STORAGE, "what=failed why=\"%.150s\"",
              jc_last_message ());
  if (state->log == NULL || state->log->rlog == NULL)
    return;
  jc_event (JC_EVENT_ROLE, "role=%s term=%" PRIu64 " last=%" PRIu64,
            jc_rlog_role_name (role), jc_rlog_term (state->log->rlog),
            jc_rlog_last_index (state->log->rlog));
}

static const struct jc_rlog_class log_class = { .send = on_send,
                                                .restore = on_restore,
                                                .apply = on_applied,
                                                .snapshot = on_snapshot,
                                                .role_changed = on_role };

/* Open the log on this disk and take over what is committed there.  */
static struct jc_rlog *
open_rlog (struct state *state, enum jc_status *status)
{
  const struct jc_state_settings *s = state->settings;
  const struct jc_rlog_options options
      = { .name = s->name,
          .seed = jc_random_id (),
          .new_incarnation = jc_random_id (),
          .election_ms = s->election_ms,
          .heartbeat_ms = s->election_ms / BEATS_IN_ELECTION,
          .snapshot_entries = (uint64_t)s->snapshot_entries,
          .snapshot_chunk_bytes = CHUNK_BYTES };
  struct jc_rlog *rlog = jc_rlog_open (state->disk, &options, &log_class, state,
                                       jc_now_ms (), status);

  if (*status == JC_OK && state->snapshot_invalid)
    *status = jc_fail (JC_CORRUPT, "The snapshot on disk is not valid.");
  return rlog;
}

/* Open the log anew after its disk failed, each time it is due until that
   succeeds.  Opening writes all of it once more, so nothing rests on what the
   disk did before.  The ledgers of routing by products do not allow it.  */
static void
reopen (struct state *state)
{
  struct log *log = state->log;
  int64_t now = jc_now_ms ();
  struct jc_rlog *fresh;
  enum jc_status status;

  if (now < log->reopen_ms || strcmp (state->settings->routing, "hosts") != 0)
    return;
  log->reopen_ms = now + REOPEN_MS;
  log->running = false;
  fresh = open_rlog (state, &status);
  log->running = true;
  jc_event (JC_EVENT_STORAGE, "what=reopen outcome=%s position=%" PRIu64,
            jc_status_name (status), state->orders->position);
  if (status != JC_OK)
    {
      jc_rlog_free (fresh);
      return;
    }
  jc_rlog_free (log->rlog);
  log->rlog = fresh;
  orders_publish (state);
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

/* Flush the log, and note how long that takes where there is something to be
   written and synced.  */
static void
flush (struct state *state)
{
  struct log *log = state->log;
  uint64_t last = jc_rlog_last_index (log->rlog);
  int64_t begun_us;

  if (last == log->flushed)
    {
      jc_rlog_flush (log->rlog, jc_now_ms ());
      return;
    }
  begun_us = g_get_monotonic_time ();
  jc_rlog_flush (log->rlog, jc_now_ms ());
  log->flushed = last;
  jc_metrics_observe (state->metrics, "jaycove_log_flush_us", "",
                      (uint64_t)(g_get_monotonic_time () - begun_us));
}

static void
on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  flush (state);
  subscribers_push (state);
}

static enum jc_status
bootstrap (struct state *state)
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
  double tick_s = (double)state->settings->election_ms / BEATS_IN_ELECTION
                  / TICKS_IN_BEAT / MS_PER_S;

  ev_timer_init (&log->tick, on_tick, tick_s, tick_s);
  log->tick.data = state;
  ev_timer_start (state->loop, &log->tick);
  ev_prepare_init (&log->flush, on_flush);
  log->flush.data = state;
  ev_prepare_start (state->loop, &log->flush);
}

/* Open the log and take over what is committed on this disk; FOUND founds a
   new log with the peers of the settings.  */
enum jc_status
log_start (struct state *state, bool found)
{
  enum jc_status status;

  state->log = g_new0 (struct log, 1);
  state->log->rlog = open_rlog (state, &status);
  if (status == JC_OK && !found && !jc_rlog_is_initialized (state->log->rlog))
    found = group_is_founder (state);
  if (status == JC_OK && found)
    status = bootstrap (state);
  if (status != JC_OK)
    return status;
  if (!jc_rlog_is_initialized (state->log->rlog))
    jc_info (PART, "The data folder is empty; waiting for a leader.");
  state->log->running = true;
  start_watchers (state);
  ledger_config_changed (state);
  return JC_OK;
}

/* Close the log.  */
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

/* Return the connection to the leader, or NULL where none is known or this
   replica leads.  */
struct jc_rpc_conn *
log_leader_conn (struct state *state)
{
  const char *leader;

  if (state->log->rlog == NULL)
    return NULL;
  leader = jc_rlog_leader (state->log->rlog);
  return leader[0] != '\0' ? jc_rpc_find_conn (state->rpc, leader) : NULL;
}

/* Tell whether this replica leads; it does not while it is opened.  */
bool
log_is_leader (const struct state *state)
{
  return state->log->rlog != NULL
         && jc_rlog_role (state->log->rlog) == JC_RLOG_LEADER;
}

/* Return the term that this replica knows.  */
uint64_t
log_term (const struct state *state)
{
  return jc_rlog_term (state->log->rlog);
}

/* Tell whether orders last here whatever may be lost at once.  */
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

/* Return the replicas of the log.  */
const struct rpc_replicas *
log_replicas (const struct state *state)
{
  return jc_rlog_replicas (state->log->rlog);
}

/* Return for how long the replica NAME has not answered this leader, ms.  */
int64_t
log_replica_silent_ms (const struct state *state, const char *name)
{
  return jc_rlog_silent_ms (state->log->rlog, name, jc_now_ms ());
}

/* Tell whether the replica NAME holds all that is committed.  */
bool
log_replica_caught_up (const struct state *state, const char *name)
{
  return jc_rlog_caught_up (state->log->rlog, name);
}

/* A proposal that was handed to the leader.  */
struct handed
{
  log_done_fn *done;
  void *ctx;
};

static void
on_handed (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct handed *handed = ctx;

  if (status == JC_OK && reply->body.type == RPC_PROPOSE_REPLY)
    status = (enum jc_status)reply->body.rpc_body_u.propose_reply.status;
  else if (status != JC_NOT_LEADER && status != JC_OVERLOADED)
    status = JC_OUTCOME_UNKNOWN;
  handed->done (handed->ctx, status);
  g_free (handed);
}

static void
hand_to_leader (struct state *state, enum log_entry_kind kind,
                struct jc_str data, log_done_fn *done, void *ctx)
{
  struct rpc_packet packet = { .body.type = RPC_PROPOSE };
  struct rpc_propose *propose = &packet.body.rpc_body_u.propose;
  struct handed *handed = g_new0 (struct handed, 1);

  propose->kind = kind;
  propose->data.rpc_bytes_val = (char *)data.data;
  propose->data.rpc_bytes_len = (u_int)data.len;
  handed->done = done;
  handed->ctx = ctx;
  if (jc_rpc_call (log_leader_conn (state), &packet, PROPOSE_MS, on_handed,
                   handed)
      != 0)
    return;
  g_free (handed);
  done (ctx, JC_NOT_LEADER);
}

/* Propose DATA as an entry of KIND; DONE gets CTX and what became of it.  A
   replica that does not lead hands it to the leader.  */
void
log_propose (struct state *state, enum log_entry_kind kind, struct jc_str data,
             log_done_fn *done, void *ctx)
{
  if (log_is_leader (state))
    jc_rlog_propose (state->log->rlog, kind, data, done, ctx);
  else
    hand_to_leader (state, kind, data, done, ctx);
}

static void
on_proposed (void *ctx, enum jc_status status)
{
  struct rpc_packet answer = { .body.type = RPC_PROPOSE_REPLY };

  answer.body.rpc_body_u.propose_reply.status = (int)status;
  call_answer (ctx, &answer);
}

static void
take_proposal (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_propose *propose = &packet->body.rpc_body_u.propose;

  jc_rlog_propose (state->log->rlog, propose->kind,
                   (struct jc_str){ .data = propose->data.rpc_bytes_val,
                                    .len = propose->data.rpc_bytes_len },
                   on_proposed,
                   call_defer (state->deferred_calls, conn, packet));
}

/* Changes of the configuration and of the replicas go other ways.  */
static bool
may_be_handed (const struct rpc_packet *packet)
{
  u_int kind = packet->body.rpc_body_u.propose.kind;

  return kind == LOG_LEDGER_SET || kind == LOG_ORDER || kind == LOG_GRANT;
}

/* Take a message of another replica.  */
void
log_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet)
{
  enum rpc_type type = packet->body.type;

  if (strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  if (type == RPC_PROPOSE && may_be_handed (packet))
    take_proposal (state, conn, packet);
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

/* Put what this replica knows of the log into SAID.  */
void
log_status_to_json (const struct state *state, json_t *said)
{
  const struct jc_rlog *rlog = state->log->rlog;
  const struct rpc_replicas *rows = jc_rlog_replicas (rlog);
  json_t *list = json_array ();

  for (u_int i = 0; i < rows->list.list_len; i++)
    json_array_append_new (list, replica_json (&rows->list.list_val[i]));
  json_object_set_new (said, "replica", json_string (state->settings->name));
  json_object_set_new (said, "role",
                       json_string (jc_rlog_role_name (jc_rlog_role (rlog))));
  json_object_set_new (said, "leader", json_string (jc_rlog_leader (rlog)));
  json_object_set_new (said, "term",
                       json_integer ((json_int_t)jc_rlog_term (rlog)));
  json_object_set_new (said, "applied",
                       json_integer ((json_int_t)jc_rlog_applied_index (rlog)));
  json_object_set_new (said, "version",
                       json_integer ((json_int_t)state->config->version));
  json_object_set_new (said, "replicas", list);
}

/* Add the replica NAME, STANDING for promotion or not.  */
void
log_put_replica (struct state *state, const char *name, bool standing,
                 log_done_fn *done, void *ctx)
{
  jc_rlog_put_replica (state->log->rlog, name, standing, done, ctx);
}

/* Remove the replica NAME.  */
void
log_remove_replica (struct state *state, const char *name, log_done_fn *done,
                    void *ctx)
{
  jc_rlog_remove_replica (state->log->rlog, name, done, ctx);
}
