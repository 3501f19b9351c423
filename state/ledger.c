/* Runs the ledger of this instance's region if this instance is its authority,
   and holds copies of the ledgers of other instances.  */

#include <string.h>

#include "base/log.h"
#include "ledger/copy.h"
#include "ledger/ledger.h"
#include "net/program.h"
#include "state/ledger.h"

#define LOG_COMPONENT "ledger"

enum
{
  TICK_MS = 100,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  RETRY_AFTER_MS = 1000
};

/* The newest copy set of one home region that the log has committed: its
   revision and the log entry that holds it.  */
struct home_entry
{
  uint64_t revision;
  GBytes *entry;
};

/* The ledger and copies of this instance.  LEDGER is NULL if this instance is
   not the authority of its region.  HOMES maps names of regions to struct
   home_entry.  LOGGED_STATE is the ledger state that was logged last.  */
struct ledgers
{
  struct jc_ledger *ledger;
  struct jc_copies *copies;
  GHashTable *homes;
  ev_timer tick;
  ev_prepare flush;
  enum jc_ledger_state logged_state;
};

/* A call that waits for the ledger's reply.  NAME and INCARNATION identify its
   sender.  */
struct ledger_call
{
  char *name;
  uint64_t incarnation;
  uint64_t xid;
};

static void
ledger_call_free (struct ledger_call *call)
{
  g_free (call->name);
  g_free (call);
}

/* Send ANSWER to the sender of CALL if the same process is still connected, and
   free CALL.  */
static void
ledger_call_answer (struct state *state, struct ledger_call *call,
                    struct rpc_packet *answer)
{
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, call->name);
  struct rpc_packet request = { .head.xid = call->xid };

  if (conn != NULL && jc_rpc_conn_incarnation (conn) == call->incarnation)
    jc_rpc_reply (conn, &request, answer);
  ledger_call_free (call);
}

static void
send_claim_reply (void *ctx, void *call, const struct rpc_claim_reply *reply)
{
  struct rpc_packet packet = { .body.type = RPC_CLAIM_REPLY };

  packet.body.rpc_body_u.claim_reply = *reply;
  ledger_call_answer (ctx, call, &packet);
}

static void
send_result_reply (void *ctx, void *call, enum jc_status status)
{
  struct rpc_packet packet = { .body.type = RPC_RESULT_REPLY };

  packet.body.rpc_body_u.result_reply.status = (int)status;
  ledger_call_answer (ctx, call, &packet);
}

static void
drop_call (void *ctx, void *call)
{
  (void)ctx;
  ledger_call_free (call);
}

static void
send_copy (void *ctx, const char *member, const struct rpc_ledger_copy *message)
{
  struct state *state = ctx;
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, member);
  struct rpc_packet packet = { .body.type = RPC_LEDGER_COPY };

  packet.body.rpc_body_u.ledger_copy = *message;
  if (conn != NULL)
    jc_rpc_send (conn, &packet);
}

/* Log a failure.  Nothing else is to be done: a committed proposal is applied
   as an entry of the log, and the ledger repeats one that was not
   committed.  */
static void
on_proposed (void *ctx, enum jc_status status)
{
  (void)ctx;
  if (status != JC_OK)
    jc_debug (LOG_COMPONENT, "The log did not commit a proposed copy set: %s.",
              jc_status_name (status));
}

static struct jc_str
bytes_to_str (GBytes *bytes)
{
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  return (struct jc_str){ .data = data, .len = len };
}

static void
propose_set (void *ctx, const struct rpc_ledger_set *set)
{
  GBytes *bytes = jc_copyset_encode (set);

  log_propose (ctx, LOG_LEDGER_SET, bytes_to_str (bytes), on_proposed, NULL);
  g_bytes_unref (bytes);
}

static const struct jc_ledger_ops ledger_ops
    = { .send_claim_reply = send_claim_reply,
        .send_result_reply = send_result_reply,
        .drop_call = drop_call,
        .send_copy = send_copy,
        .propose_set = propose_set };

/* Return whether this instance is the authority of its region's ledger: the
   state instance of the region whose name sorts first.  */
static bool
is_authority (const struct state *state)
{
  const struct jc_state_settings *s = state->settings;

  for (guint i = 0; i < s->state_peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (s->state_peers, i);

      if (strcmp (peer->region, s->region) == 0
          && strcmp (peer->name, s->name) < 0)
        return false;
    }
  return true;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct ledgers *ledgers = state->ledgers;
  enum jc_ledger_state ledger_state;

  (void)loop;
  (void)events;
  jc_ledger_tick (ledgers->ledger, jc_now_ms (),
                  g_get_real_time () / US_PER_MS);
  ledger_state = jc_ledger_state (ledgers->ledger);
  if (ledger_state != ledgers->logged_state)
    jc_info (LOG_COMPONENT, "The ledger of %s is %s with %u copies.",
             state->settings->region, jc_ledger_state_name (ledger_state),
             jc_ledger_count_members (ledgers->ledger));
  ledgers->logged_state = ledger_state;
}

/* Flush the ledger before the event loop waits, so that records that arrived in
   the same iteration share one sync.  */
static void
on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  jc_ledger_flush (state->ledgers->ledger);
}

static enum jc_status
open_ledger (struct state *state)
{
  const struct jc_state_settings *s = state->settings;
  struct ledgers *ledgers = state->ledgers;
  struct jc_ledger_options options = jc_ledger_defaults;
  enum jc_status status;

  options.home = s->region;
  options.name = s->name;
  options.incarnation = jc_random_id ();
  options.copies = (unsigned int)s->ledger_copies;
  options.owner_lost_ms = s->ledger_owner_lost_ms;
  options.answer_keep_ms = s->ledger_answer_keep_s * MS_PER_S;
  options.key_keep_ms = s->ledger_key_keep_s * MS_PER_S;
  ledgers->ledger = jc_ledger_open (state->disk, &options, &ledger_ops, state,
                                    jc_now_ms (), &status);
  if (status != JC_OK)
    return status;
  ev_timer_init (&ledgers->tick, on_tick, (double)TICK_MS / MS_PER_S,
                 (double)TICK_MS / MS_PER_S);
  ledgers->tick.data = state;
  ev_timer_start (state->loop, &ledgers->tick);
  ev_prepare_init (&ledgers->flush, on_flush);
  ledgers->flush.data = state;
  ev_prepare_start (state->loop, &ledgers->flush);
  return JC_OK;
}

static void
home_entry_free (gpointer data)
{
  struct home_entry *home = data;

  g_bytes_unref (home->entry);
  g_free (home);
}

/* Open the copies that this instance holds, and its ledger if it is the
   authority.  */
enum jc_status
ledger_start (struct state *state)
{
  struct ledgers *ledgers = g_new0 (struct ledgers, 1);

  state->ledgers = ledgers;
  ledgers->copies = jc_copies_new ();
  ledgers->homes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          home_entry_free);
  return is_authority (state) ? open_ledger (state) : JC_OK;
}

/* Close the ledger and free the copies.  */
void
ledger_stop (struct state *state)
{
  struct ledgers *ledgers = state->ledgers;

  if (ledgers == NULL)
    return;
  if (ledgers->ledger != NULL)
    {
      ev_timer_stop (state->loop, &ledgers->tick);
      ev_prepare_stop (state->loop, &ledgers->flush);
    }
  jc_ledger_free (ledgers->ledger);
  jc_copies_free (ledgers->copies);
  g_hash_table_destroy (ledgers->homes);
  g_free (ledgers);
  state->ledgers = NULL;
}

/* Handle the new connection CONN of a peer.  */
void
ledger_conn_up (struct state *state, struct jc_rpc_conn *conn)
{
  struct ledgers *ledgers = state->ledgers;
  bool same_region
      = strcmp (jc_rpc_conn_region (conn), state->settings->region) == 0;

  if (ledgers != NULL && ledgers->ledger != NULL)
    jc_ledger_peer_up (ledgers->ledger, jc_rpc_conn_name (conn),
                       jc_rpc_conn_incarnation (conn), same_region,
                       jc_now_ms ());
}

/* Handle the end of the connection CONN of a peer.  If another connection has
   replaced it, the peer is still there, but messages may have been lost, so the
   ledger handles the other one as a new connection.  */
void
ledger_conn_down (struct state *state, struct jc_rpc_conn *conn)
{
  struct ledgers *ledgers = state->ledgers;
  struct jc_rpc_conn *other;

  if (ledgers == NULL || ledgers->ledger == NULL)
    return;
  other = jc_rpc_find_conn (state->rpc, jc_rpc_conn_name (conn));
  if (other != NULL && other != conn)
    ledger_conn_up (state, other);
  else
    jc_ledger_peer_down (ledgers->ledger, jc_rpc_conn_name (conn),
                         jc_rpc_conn_incarnation (conn), jc_now_ms ());
}

static struct ledger_call *
ledger_call_new (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  struct ledger_call *call = g_new0 (struct ledger_call, 1);

  call->name = g_strdup (jc_rpc_conn_name (conn));
  call->incarnation = jc_rpc_conn_incarnation (conn);
  call->xid = packet->head.xid;
  return call;
}

static void
flush_unless_group_commit (struct state *state)
{
  if (!state->settings->ledger_group_commit)
    jc_ledger_flush (state->ledgers->ledger);
}

static void
handle_claim (struct state *state, struct jc_rpc_conn *conn,
              const struct rpc_packet *packet)
{
  if (state->ledgers->ledger == NULL)
    {
      jc_rpc_reply_error (conn, packet, JC_HOME_UNREACHABLE,
                          "This instance keeps no ledger.", RETRY_AFTER_MS);
      return;
    }
  jc_ledger_handle_claim (state->ledgers->ledger,
                          &packet->body.rpc_body_u.claim,
                          ledger_call_new (conn, packet), jc_now_ms ());
  flush_unless_group_commit (state);
}

static void
handle_result (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  if (state->ledgers->ledger == NULL)
    return;
  jc_ledger_handle_result (state->ledgers->ledger,
                           &packet->body.rpc_body_u.result,
                           ledger_call_new (conn, packet));
  flush_unless_group_commit (state);
}

static void
handle_copy (struct state *state, struct jc_rpc_conn *conn,
             const struct rpc_packet *packet)
{
  const struct rpc_ledger_copy *message = &packet->body.rpc_body_u.ledger_copy;
  struct rpc_packet answer = { .body.type = RPC_LEDGER_COPY_REPLY };

  if (strcmp (message->home, state->settings->region) != 0)
    return;
  jc_copies_handle_message (state->ledgers->copies, message,
                            &answer.body.rpc_body_u.ledger_copy_reply);
  jc_rpc_reply (conn, packet, &answer);
}

static void
handle_copy_reply (struct state *state, struct jc_rpc_conn *conn,
                   const struct rpc_packet *packet)
{
  if (state->ledgers->ledger != NULL)
    jc_ledger_handle_copy_reply (state->ledgers->ledger,
                                 jc_rpc_conn_name (conn),
                                 jc_rpc_conn_incarnation (conn),
                                 &packet->body.rpc_body_u.ledger_copy_reply);
}

/* Handle a message of a request owner, of a ledger or of a copy.  Others are
   ignored.  */
void
ledger_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  static const struct
  {
    enum rpc_type type;
    void (*handle) (struct state *state, struct jc_rpc_conn *conn,
                    const struct rpc_packet *packet);
  } handlers[] = { { RPC_CLAIM, handle_claim },
                   { RPC_RESULT, handle_result },
                   { RPC_LEDGER_COPY, handle_copy },
                   { RPC_LEDGER_COPY_REPLY, handle_copy_reply } };

  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (handlers[i].type == packet->body.type)
      handlers[i].handle (state, conn, packet);
}

/* Handle a new configuration.  The ledger does not depend on it.  */
void
ledger_config_changed (struct state *state)
{
  (void)state;
}

static void
store_entry (struct ledgers *ledgers, const struct rpc_ledger_set *set,
             struct jc_str data)
{
  struct home_entry *home = g_new0 (struct home_entry, 1);

  home->revision = set->revision;
  home->entry = g_bytes_new (data.data, data.len);
  g_hash_table_replace (ledgers->homes, g_strdup (set->home), home);
}

static void
apply_set (struct state *state, struct jc_str data, bool snapshot)
{
  struct ledgers *ledgers = state->ledgers;
  struct rpc_ledger_set set;
  const struct home_entry *home;
  uint64_t revision;

  if (!jc_copyset_decode (data, &set))
    {
      jc_error (LOG_COMPONENT,
                "A copy set in the log can't be decoded; it is ignored.");
      return;
    }
  home = g_hash_table_lookup (ledgers->homes, set.home);
  revision = home != NULL ? home->revision : 0;
  if (set.revision == revision + 1 || (snapshot && set.revision > revision))
    store_entry (ledgers, &set, data);
  if (ledgers->ledger != NULL && snapshot)
    jc_ledger_restore_set (ledgers->ledger, &set);
  else if (ledgers->ledger != NULL)
    jc_ledger_apply_set (ledgers->ledger, &set);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

/* Apply DATA, a committed entry of the kind LOG_LEDGER_SET.  */
void
ledger_apply_entry (struct state *state, struct jc_str data)
{
  apply_set (state, data, false);
}

/* Restore DATA, an entry that ledger_snapshot added to a snapshot.  */
void
ledger_restore_entry (struct state *state, struct jc_str data)
{
  apply_set (state, data, true);
}

/* Add the newest committed entry of each home region to ENTRIES, as new
   references to GBytes, for a snapshot of the log.  */
void
ledger_snapshot (const struct state *state, GPtrArray *entries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->ledgers->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (entries,
                     g_bytes_ref (((const struct home_entry *)value)->entry));
}

/* Return the ledger that this instance is the authority of, or NULL if there is
   none.  */
struct jc_ledger *
ledger_local (const struct state *state)
{
  return state->ledgers != NULL ? state->ledgers->ledger : NULL;
}
