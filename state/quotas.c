/* Quotas: entry instances request slots of workspaces' quotas; the log decides
   who gets them.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "member/quotaslots.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* First level of peers that know quotas.  */
  QUOTAS_LEVEL = 3,
  /* State instances before that level remove what nobody has renewed for 6 s,
     so leases are shorter beside them.  */
  SHORT_LEASE_MS = 5000,
  STRINGS_BLOCK_BYTES = 1024,
  /* A lease is reported to an instance that requested slots here within this
     time.  */
  REQUESTER_MS = JC_QUOTA_LEASE_MS
};

/* REQUESTED_MS maps names of entry instances to when they requested slots here
   last.  */
struct quotas
{
  struct jc_quota_asks *asks;
  GHashTable *requested_ms;
};

/* Start the module.  */
void
quotas_start (struct state *state)
{
  state->quotas = g_new0 (struct quotas, 1);
  state->quotas->asks = jc_quota_asks_new ();
  state->quotas->requested_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Stop the module.  */
void
quotas_stop (struct state *state)
{
  if (state->quotas == NULL)
    return;
  jc_quota_asks_free (state->quotas->asks);
  g_hash_table_destroy (state->quotas->requested_ms);
  g_free (state->quotas);
  state->quotas = NULL;
}

/* Return for how long leases are given.  */
static unsigned int
lease_ms (const struct state *state)
{
  GPtrArray *conns = g_ptr_array_new ();
  unsigned int ms = JC_QUOTA_LEASE_MS;

  jc_rpc_list_conns (state->rpc, "state", conns);
  for (guint i = 0; i < conns->len; i++)
    if (jc_rpc_conn_level (g_ptr_array_index (conns, i)) < QUOTAS_LEVEL)
      ms = SHORT_LEASE_MS;
  g_ptr_array_free (conns, TRUE);
  return ms;
}

static void
log_share (const struct jc_limit_holder *holder,
           const struct rpc_quota_ask *ask, unsigned int share)
{
  if (share < ask->wanted)
    jc_event (JC_EVENT_QUOTA,
              "workspace=%s what=share instance=%s slots=%u wanted=%u",
              ask->workspace, holder->instance, share, ask->wanted);
}

/* Tell the instances in OVER, an array of struct jc_quota_share, how many slots
   of WORKSPACE they may hold.  */
static void
send_shares (struct state *state, const char *workspace, const GArray *over)
{
  for (guint i = 0; i < over->len; i++)
    {
      const struct jc_quota_share *row
          = &g_array_index (over, struct jc_quota_share, i);
      struct rpc_quota_share share
          = { .workspace = (char *)workspace, .slots = row->slots };
      struct rpc_packet packet = { .body.type = RPC_QUOTA_REPLY };
      struct rpc_quota_reply *reply = &packet.body.rpc_body_u.quota_reply;
      struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, row->instance);

      reply->lease_ms = lease_ms (state);
      reply->shares.shares_val = &share;
      reply->shares.shares_len = 1;
      if (conn != NULL && jc_rpc_conn_level (conn) >= QUOTAS_LEVEL)
        jc_rpc_send (conn, &packet);
    }
}

/* Handle a request for slots of the entry instance CONN.  Other messages are
   ignored.  */
void
quotas_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  const struct jc_limit_holder holder
      = { .instance = jc_rpc_conn_name (conn),
          .incarnation = jc_rpc_conn_incarnation (conn) };
  const struct rpc_quota_request *request
      = &packet->body.rpc_body_u.quota_request;
  struct rpc_packet answer = { .body.type = RPC_QUOTA_REPLY };
  struct rpc_quota_reply *reply = &answer.body.rpc_body_u.quota_reply;
  int64_t now = jc_now_ms ();
  GStringChunk *strings;
  GArray *changes;
  GArray *shares;
  GArray *over;

  if (packet->body.type != RPC_QUOTA_REQUEST
      || strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  g_hash_table_replace (state->quotas->requested_ms, g_strdup (holder.instance),
                        g_memdup2 (&now, sizeof now));
  strings = g_string_chunk_new (STRINGS_BLOCK_BYTES);
  changes = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  shares = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_share));
  over = g_array_new (FALSE, FALSE, sizeof (struct jc_quota_share));
  for (u_int i = 0; i < request->list.list_len; i++)
    {
      const struct rpc_quota_ask *ask = &request->list.list_val[i];
      const struct rpc_quota_share share
          = { .workspace = ask->workspace,
              .slots = jc_quota_slots_plan (
                  state->limit_slots, state->quotas->asks, &holder, ask,
                  request->requested_ms, now, strings, changes, over) };

      log_share (&holder, ask, share.slots);
      g_array_append_val (shares, share);
      send_shares (state, ask->workspace, over);
      g_array_set_size (over, 0);
    }
  limits_gather (state, changes);
  reply->lease_ms = lease_ms (state);
  reply->shares.shares_val = (struct rpc_quota_share *)shares->data;
  reply->shares.shares_len = shares->len;
  jc_rpc_send (conn, &answer);
  g_array_free (over, TRUE);
  g_array_free (shares, TRUE);
  g_array_free (changes, TRUE);
  g_string_chunk_free (strings);
}

/* Return the connection to the instance that CHANGE leases a slot to, if it
   requested it here, or NULL.  */
static struct jc_rpc_conn *
requester_conn (struct state *state, const struct rpc_limit_change *change)
{
  const int64_t *requested_ms
      = g_hash_table_lookup (state->quotas->requested_ms, change->instance);
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, change->instance);

  if (requested_ms == NULL || jc_now_ms () - *requested_ms > REQUESTER_MS
      || conn == NULL || jc_rpc_conn_level (conn) < QUOTAS_LEVEL
      || jc_rpc_conn_incarnation (conn) != change->instance_incarnation)
    return NULL;
  return conn;
}

/* CHANGE, a lease of SLOT of WORKSPACE, was applied: report it to the instance
   that gets the slot if it requested it here.  */
void
quotas_report_lease (struct state *state, const char *workspace,
                     unsigned int slot, const struct rpc_limit_change *change)
{
  struct jc_quota_slot_state now_held;
  struct rpc_quota_lease lease = { .workspace = (char *)workspace,
                                   .slot.slot = slot,
                                   .requested_ms = change->requested_ms };
  struct rpc_packet packet = { .body.type = RPC_QUOTA_REPLY };
  struct rpc_quota_reply *reply = &packet.body.rpc_body_u.quota_reply;
  struct jc_rpc_conn *conn
      = state->quotas != NULL ? requester_conn (state, change) : NULL;

  if (conn == NULL
      || !jc_quota_slots_read (state->limit_slots, workspace, slot,
                               jc_now_ms (), &now_held))
    return;
  lease.slot.revision = now_held.revision;
  lease.slot.credit_milli
      = jc_quota_asks_take_credit (state->quotas->asks, change);
  reply->lease_ms = lease_ms (state);
  reply->leases.leases_val = &lease;
  reply->leases.leases_len = 1;
  jc_rpc_send (conn, &packet);
}

static gboolean
is_old_request (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(const int64_t *)now_ms - *(const int64_t *)value > REQUESTER_MS;
}

/* Forget what instances wanted that request nothing any more, and add to
   CHANGES what the leader should remove.  */
void
quotas_cleanup (struct state *state, bool is_leader, GArray *changes)
{
  int64_t now = jc_now_ms ();

  g_hash_table_foreach_remove (state->quotas->requested_ms, is_old_request,
                               &now);
  jc_quota_asks_expire (state->quotas->asks, now);
  if (is_leader)
    jc_quota_slots_plan_cleanup (state->limit_slots, now, changes);
}
