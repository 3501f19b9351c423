/* Ledger task: the ledger of this instance's region, where this instance is
   its authority, and copies of others' ledgers.  */

#include <string.h>

#include "base/log.h"
#include "ledger/copy.h"
#include "ledger/ledger.h"
#include "net/program.h"
#include "state/ledger.h"

#define PART "ledger"

enum
{
  TICK_MS = 100,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  RETRY_AFTER_MS = 1000
};

/* The log's entry in force for one home.  */
struct home
{
  uint64_t revision;
  GBytes *entry;
};

/* What the task keeps.  LEDGER is NULL where this instance is no
   authority.  */
struct ledgers
{
  struct jc_ledger *ledger;
  struct jc_copies *copies;
  GHashTable *homes;
  ev_timer tick;
  ev_prepare flush;
  enum jc_ledger_state told;
};

/* A call that waits for the ledger's reply.  */
struct call
{
  char *name;
  uint64_t incarnation;
  uint64_t xid;
};

static void
call_free (struct call *call)
{
  g_free (call->name);
  g_free (call);
}

/* Send ANSWER to CALL's sender, if that is still there, and free CALL.  */
static void
call_answer (struct state *state, struct call *call, struct rpc_packet *answer)
{
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, call->name);
  struct rpc_packet question = { .head.xid = call->xid };

  if (conn != NULL && jc_rpc_conn_incarnation (conn) == call->incarnation)
    jc_rpc_reply (conn, &question, answer);
  call_free (call);
}

static void
on_claim_reply (void *ctx, void *call, const struct rpc_claim_reply *reply)
{
  struct rpc_packet packet = { .body.type = RPC_CLAIM_REPLY };

  packet.body.rpc_body_u.claim_reply = *reply;
  call_answer (ctx, call, &packet);
}

static void
on_result_reply (void *ctx, void *call, enum jc_status status)
{
  struct rpc_packet packet = { .body.type = RPC_RESULT_REPLY };

  packet.body.rpc_body_u.result_reply.status = (int)status;
  call_answer (ctx, call, &packet);
}

static void
on_drop (void *ctx, void *call)
{
  (void)ctx;
  call_free (call);
}

static void
on_copy (void *ctx, const char *member, const struct rpc_ledger_copy *message)
{
  struct state *state = ctx;
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, member);
  struct rpc_packet packet = { .body.type = RPC_LEDGER_COPY };

  packet.body.rpc_body_u.ledger_copy = *message;
  if (conn != NULL)
    jc_rpc_send (conn, &packet);
}

/* A proposal whose fate is known either shows as an applied entry or is made
   again by the ledger.  */
static void
on_proposed (void *ctx, enum jc_status status)
{
  (void)ctx;
  if (status != JC_OK)
    jc_debug (PART, "A copy set was not recorded: %s.",
              jc_status_name (status));
}

static struct jc_str
bytes_str (GBytes *bytes)
{
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  return (struct jc_str){ .data = data, .len = len };
}

static void
on_propose (void *ctx, const struct rpc_ledger_set *set)
{
  GBytes *bytes = jc_copyset_encode (set);

  log_propose (ctx, LOG_LEDGER_SET, bytes_str (bytes), on_proposed, NULL);
  g_bytes_unref (bytes);
}

static const struct jc_ledger_ops ledger_ops
    = { .send_claim_reply = on_claim_reply,
        .send_result_reply = on_result_reply,
        .drop_call = on_drop,
        .send_copy = on_copy,
        .propose_set = on_propose };

/* Tell whether this instance is the first by name of its region.  */
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
  enum jc_ledger_state now;

  (void)loop;
  (void)events;
  jc_ledger_tick (ledgers->ledger, jc_now_ms (),
                  g_get_real_time () / US_PER_MS);
  now = jc_ledger_state (ledgers->ledger);
  if (now != ledgers->told)
    jc_info (PART, "The ledger of %s is %s with %u copies.",
             state->settings->region, jc_ledger_state_name (now),
             jc_ledger_count_members (ledgers->ledger));
  ledgers->told = now;
}

/* Before the loop waits: what came in this turn shares one sync.  */
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
home_free (gpointer data)
{
  struct home *home = data;

  g_bytes_unref (home->entry);
  g_free (home);
}

/* Open what this instance keeps of ledgers.  */
enum jc_status
ledger_start (struct state *state)
{
  struct ledgers *ledgers = g_new0 (struct ledgers, 1);

  state->ledgers = ledgers;
  ledgers->copies = jc_copies_new ();
  ledgers->homes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, home_free);
  return is_authority (state) ? open_ledger (state) : JC_OK;
}

/* Close the ledgers.  */
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

/* A peer came up.  */
void
ledger_conn_up (struct state *state, struct jc_rpc_conn *conn)
{
  struct ledgers *ledgers = state->ledgers;
  bool near = strcmp (jc_rpc_conn_region (conn), state->settings->region) == 0;

  if (ledgers != NULL && ledgers->ledger != NULL)
    jc_ledger_peer_up (ledgers->ledger, jc_rpc_conn_name (conn),
                       jc_rpc_conn_incarnation (conn), near, jc_now_ms ());
}

/* A peer's connection went down.  Where another one has replaced it, what was
   under way may be lost, but the peer is there.  */
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

static struct call *
call_new (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  struct call *call = g_new0 (struct call, 1);

  call->name = g_strdup (jc_rpc_conn_name (conn));
  call->incarnation = jc_rpc_conn_incarnation (conn);
  call->xid = packet->head.xid;
  return call;
}

static void
flush_unless_grouped (struct state *state)
{
  if (!state->settings->ledger_group_commit)
    jc_ledger_flush (state->ledgers->ledger);
}

static void
take_claim (struct state *state, struct jc_rpc_conn *conn,
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
                          call_new (conn, packet), jc_now_ms ());
  flush_unless_grouped (state);
}

static void
take_result (struct state *state, struct jc_rpc_conn *conn,
             const struct rpc_packet *packet)
{
  if (state->ledgers->ledger == NULL)
    return;
  jc_ledger_handle_result (state->ledgers->ledger,
                           &packet->body.rpc_body_u.result,
                           call_new (conn, packet));
  flush_unless_grouped (state);
}

static void
take_copy (struct state *state, struct jc_rpc_conn *conn,
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
take_copy_reply (struct state *state, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  if (state->ledgers->ledger != NULL)
    jc_ledger_handle_copy_reply (state->ledgers->ledger,
                                 jc_rpc_conn_name (conn),
                                 jc_rpc_conn_incarnation (conn),
                                 &packet->body.rpc_body_u.ledger_copy_reply);
}

/* Take a message of an owner, a ledger or a copy.  */
void
ledger_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  static const struct
  {
    enum rpc_type type;
    void (*take) (struct state *state, struct jc_rpc_conn *conn,
                  const struct rpc_packet *packet);
  } takers[] = { { RPC_CLAIM, take_claim },
                 { RPC_RESULT, take_result },
                 { RPC_LEDGER_COPY, take_copy },
                 { RPC_LEDGER_COPY_REPLY, take_copy_reply } };

  for (size_t i = 0; i < G_N_ELEMENTS (takers); i++)
    if (takers[i].type == packet->body.type)
      takers[i].take (state, conn, packet);
}

/* A new configuration is in force.  */
void
ledger_config_changed (struct state *state)
{
  (void)state;
}

static void
entry_keep (struct ledgers *ledgers, const struct rpc_ledger_set *set,
            struct jc_str data)
{
  struct home *home = g_new0 (struct home, 1);

  home->revision = set->revision;
  home->entry = g_bytes_new (data.data, data.len);
  g_hash_table_replace (ledgers->homes, g_strdup (set->home), home);
}

static void
entry_take (struct state *state, struct jc_str data, bool snapshot)
{
  struct ledgers *ledgers = state->ledgers;
  struct rpc_ledger_set set;
  const struct home *home;
  uint64_t revision;

  if (!jc_copyset_decode (data, &set))
    {
      jc_error (PART, "An entry of the log can't be read.");
      return;
    }
  home = g_hash_table_lookup (ledgers->homes, set.home);
  revision = home != NULL ? home->revision : 0;
  if (set.revision == revision + 1 || (snapshot && set.revision > revision))
    entry_keep (ledgers, &set, data);
  if (ledgers->ledger != NULL && snapshot)
    jc_ledger_restore_set (ledgers->ledger, &set);
  else if (ledgers->ledger != NULL)
    jc_ledger_apply_set (ledgers->ledger, &set);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

/* A LOG_LEDGER_SET entry was committed.  */
void
ledger_apply_entry (struct state *state, struct jc_str data)
{
  entry_take (state, data, false);
}

/* A snapshot of the log holds DATA, one of what ledger_snapshot gave.  */
void
ledger_restore_entry (struct state *state, struct jc_str data)
{
  entry_take (state, data, true);
}

/* Add the log's entry in force of each home to ENTRIES, as new references to
   GBytes, for a snapshot of the log.  */
void
ledger_snapshot (const struct state *state, GPtrArray *entries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->ledgers->homes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (entries,
                     g_bytes_ref (((const struct home *)value)->entry));
}

/* Return the ledger that this instance is the authority of, or NULL.  */
struct jc_ledger *
ledger_local (const struct state *state)
{
  return state->ledgers != NULL ? state->ledgers->ledger : NULL;
}
