/* Quota leases: slots of workspaces' quotas that this instance asks state
   instances for as the owner of the workspaces in its zone.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/quotas.h"
#include "member/quotaslots.h"
#include "net/program.h"

enum
{
  /* A state instance that was not heard for this long is asked nothing.  */
  SILENT_MS = 1500,
  /* While this many workspaces or fewer have quotas, all slots that nobody has
     a use for are spread over the zones, or one is held in each, so that
     requests find credit.  */
  SPREAD_WORKSPACES_MAX = 32,
  STANDING_WORKSPACES_MAX = 256,
  ASKS_MAX = 4096
};

static bool
is_owner (const struct router *router, const char *workspace)
{
  const char *owner = quotas_pick_owner (router, workspace, NULL);

  return owner != NULL && strcmp (owner, router->entry->settings->name) == 0;
}

/* Return how many slots this instance holds without demand of the workspaces
   that it owns.  */
static unsigned int
count_standing (const struct router *router)
{
  const struct entry_quotas *quotas = router->quotas;

  if (quotas->limited > STANDING_WORKSPACES_MAX)
    return 0;
  if (quotas->limited > SPREAD_WORKSPACES_MAX)
    return 1;
  return (JC_QUOTA_SLOTS + quotas->zones - 1) / quotas->zones;
}

/* Add what is to be asked for of QUOTA to ASKS, an array of struct
   rpc_quota_ask, and the slots that it names to RELEASED, an array of
   arrays.  */
static void
collect_ask (const struct router *router, struct workspace_quota *quota,
             int64_t now, GArray *asks, GPtrArray *released)
{
  const struct jc_quotaowner_input input
      = { .ends = router->entry->draining,
          .standing
          = is_owner (router, quota->name) ? count_standing (router) : 0,
          .now_ms = now };
  struct rpc_quota_ask ask = { .workspace = quota->name };
  GArray *slots;

  if (asks->len >= ASKS_MAX)
    return;
  slots = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_slot));
  g_ptr_array_add (released, slots);
  if (jc_quotaowner_next_ask (quota->owner, &input, &ask, slots))
    g_array_append_val (asks, ask);
}

/* Return the state instances that can be asked.  */
static GPtrArray *
list_states (const struct router *router)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (router->entry->rpc, "state", conns);
  for (guint i = conns->len; i > 0; i--)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (conns, i - 1);

      if (jc_rpc_conn_level (conn) < QUOTAS_LEVEL
          || jc_rpc_conn_silent_ms (conn) >= SILENT_MS)
        g_ptr_array_remove_index_fast (conns, i - 1);
    }
  return conns;
}

/* Return the one of STATES that all instances ask for slots of WORKSPACE, since
   it shares them out by what they want.  */
static struct jc_rpc_conn *
pick_state (const GPtrArray *states, const char *workspace)
{
  struct jc_rpc_conn *best = NULL;
  uint64_t best_hash = 0;

  for (guint i = 0; i < states->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (states, i);
      uint64_t hash = jc_name_pair_hash (jc_rpc_conn_name (conn), workspace);

      if (best != NULL && hash <= best_hash)
        continue;
      best = conn;
      best_hash = hash;
    }
  return best;
}

/* Send CONN those of ASKS that it is the one of STATES for.  */
static void
send_asks (const GPtrArray *states, struct jc_rpc_conn *conn,
           const GArray *asks, int64_t now)
{
  struct rpc_packet packet = { .body.type = RPC_QUOTA_REQUEST };
  struct rpc_quota_request *request = &packet.body.rpc_body_u.quota_request;
  GArray *own = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_ask));

  for (guint i = 0; i < asks->len; i++)
    {
      const struct rpc_quota_ask *ask
          = &g_array_index (asks, struct rpc_quota_ask, i);

      if (pick_state (states, ask->workspace) == conn)
        g_array_append_val (own, *ask);
    }
  request->requested_ms = (uint64_t)now;
  request->list.list_val = (struct rpc_quota_ask *)own->data;
  request->list.list_len = own->len;
  if (own->len > 0)
    jc_rpc_send (conn, &packet);
  g_array_free (own, TRUE);
}

/* Begin to own the workspaces that this instance holds standing slots of.  */
static void
begin_standing (struct router *router)
{
  GPtrArray *names = g_ptr_array_new ();

  if (count_standing (router) > 0 && !router->entry->draining)
    jc_workspaces_list_limited (router->routes->workspaces, names);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      struct workspace_quota *quota
          = is_owner (router, name) ? quotas_find (router, name) : NULL;

      if (quota != NULL)
        quotas_begin_owning (quota);
    }
  g_ptr_array_free (names, TRUE);
}

static void
free_slots (gpointer data)
{
  g_array_free (data, TRUE);
}

/* Ask for what is due.  */
static void
ask_due (struct router *router)
{
  GPtrArray *states = list_states (router);
  GArray *asks = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_ask));
  GPtrArray *released = g_ptr_array_new_with_free_func (free_slots);
  int64_t now = jc_boot_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->quotas->by_name);
  while (states->len > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct workspace_quota *)value)->owner != NULL)
      collect_ask (router, value, now, asks, released);
  for (guint i = 0; i < states->len && asks->len > 0; i++)
    send_asks (states, g_ptr_array_index (states, i), asks, now);
  g_ptr_array_free (released, TRUE);
  g_array_free (asks, TRUE);
  g_ptr_array_free (states, TRUE);
}

/* Begin to own what this instance holds standing slots of, and ask for what is
   due.  */
void
quotaleases_tick (struct router *router)
{
  begin_standing (router);
  ask_due (router);
}

/* Apply LEASE, which lasts for LEASE_MS.  */
static void
apply_lease (struct router *router, const struct rpc_quota_lease *lease,
             int64_t lease_ms)
{
  struct workspace_quota *quota
      = g_hash_table_lookup (router->quotas->by_name, lease->workspace);
  int64_t now = jc_boot_ms ();
  struct jc_quotabucket *bucket;
  unsigned int before;
  unsigned int after;

  if (quota == NULL || quota->owner == NULL)
    return;
  bucket = jc_quotaowner_bucket (quota->owner);
  before = jc_quotabucket_slots (bucket, now);
  jc_quotabucket_note_lease (bucket, &lease->slot, (int64_t)lease->requested_ms,
                             lease_ms, now);
  after = jc_quotabucket_slots (bucket, now);
  if (after != before)
    jc_event (JC_EVENT_QUOTA,
              "workspace=%s what=slots slots=%u credit=%.0f per_s=%.0f",
              quota->name, after, jc_quotabucket_credit (bucket, now),
              quota->per_s);
}

/* Apply REPLY of a state instance to a request for slots.  */
void
quotaleases_handle_reply (struct router *router,
                          const struct rpc_quota_reply *reply)
{
  int64_t lease_ms = MIN (reply->lease_ms, JC_QUOTA_LEASE_MS);

  for (u_int i = 0; i < reply->leases.leases_len; i++)
    apply_lease (router, &reply->leases.leases_val[i], lease_ms);
  for (u_int i = 0; i < reply->shares.shares_len; i++)
    {
      const struct rpc_quota_share *share = &reply->shares.shares_val[i];
      struct workspace_quota *quota
          = g_hash_table_lookup (router->quotas->by_name, share->workspace);

      if (quota != NULL && quota->owner != NULL)
        jc_quotaowner_note_share (quota->owner, share->slots, jc_boot_ms ());
    }
  if (reply->shares.shares_len > 0)
    ask_due (router);
}
