/* Quotas: which instance owns a workspace in this zone, and what it grants.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/quotas.h"
#include "net/program.h"

enum
{
  /* An instance that was not heard for this long, or that left as many requests
     in a row unanswered within this time, owns nothing.  */
  SILENT_MS = 1000,
  UNANSWERED_MAX = 3,
  /* What nobody used for this long is forgotten.  */
  FORGET_MS = 20000,
  /* The log tells of refused requests of other instances at this interval, for
     each workspace.  */
  TELL_MS = 1000,
  MILLI = 1000
};

static void
quota_free (gpointer data)
{
  struct workspace_quota *quota = data;

  jc_quotacredit_free (quota->credit);
  jc_quotaowner_free (quota->owner);
  g_free (quota->name);
  g_free (quota);
}

/* Start the module.  */
void
quotas_start (struct router *router)
{
  struct entry_quotas *quotas = g_new0 (struct entry_quotas, 1);

  quotas->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, quota_free);
  quotas->owners = g_ptr_array_new_with_free_func (g_free);
  quotas->failures
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  router->quotas = quotas;
}

/* Stop the module.  */
void
quotas_stop (struct router *router)
{
  struct entry_quotas *quotas = router->quotas;

  if (quotas == NULL)
    return;
  g_hash_table_destroy (quotas->by_name);
  g_ptr_array_free (quotas->owners, TRUE);
  g_hash_table_destroy (quotas->failures);
  jc_routetable_unref (quotas->routes);
  g_free (quotas);
  router->quotas = NULL;
}

/* Return the limit of WORKSPACE in the configuration in force, or NULL if it
   has none.  */
static const struct jc_quota *
limit_of (const struct router *router, const char *workspace)
{
  const struct jc_workspace *found
      = router->routes != NULL && router->routes->workspaces != NULL
            ? jc_workspaces_find (router->routes->workspaces, workspace)
            : NULL;

  return found != NULL && found->quota.per_s > 0 ? &found->quota : NULL;
}

/* Take over LIMIT for QUOTA.  What was granted under another one isn't
   used.  */
static void
set_limit (struct workspace_quota *quota, const struct jc_quota *limit)
{
  if (quota->per_s == limit->per_s && quota->burst == limit->burst)
    return;
  if (quota->per_s > 0)
    jc_event (JC_EVENT_QUOTA,
              "workspace=%s what=limit per_s=%.0f burst=%.0f old_per_s=%.0f "
              "old_burst=%.0f",
              quota->name, limit->per_s, limit->burst, quota->per_s,
              quota->burst);
  quota->per_s = limit->per_s;
  quota->burst = limit->burst;
  jc_quotacredit_clear (quota->credit);
  if (quota->owner != NULL)
    jc_quotabucket_set_limit (jc_quotaowner_bucket (quota->owner), quota->per_s,
                              quota->burst, jc_boot_ms ());
}

/* Return the quota of the workspace NAME, created on first use, or NULL if it
   has none.  */
struct workspace_quota *
quotas_find (struct router *router, const char *name)
{
  struct workspace_quota *quota
      = g_hash_table_lookup (router->quotas->by_name, name);
  const struct jc_quota *limit;

  if (quota != NULL)
    return quota;
  limit = limit_of (router, name);
  if (limit == NULL)
    return NULL;
  quota = g_new0 (struct workspace_quota, 1);
  quota->name = g_strdup (name);
  quota->credit = jc_quotacredit_new ();
  quota->used_ms = jc_boot_ms ();
  set_limit (quota, limit);
  g_hash_table_insert (router->quotas->by_name, quota->name, quota);
  return quota;
}

/* Note that OWNER left a request unanswered.  */
void
quotas_note_unanswered (struct router *router, const char *owner)
{
  GHashTable *failures = router->quotas->failures;
  struct owner_failure *failure = g_hash_table_lookup (failures, owner);

  if (failure == NULL)
    {
      failure = g_new0 (struct owner_failure, 1);
      g_hash_table_insert (failures, g_strdup (owner), failure);
    }
  failure->unanswered++;
  failure->last_ms = jc_boot_ms ();
}

/* Note that OWNER answered.  */
void
quotas_note_answered (struct router *router, const char *owner)
{
  g_hash_table_remove (router->quotas->failures, owner);
}

static bool
has_failed (const struct router *router, const char *name)
{
  const struct owner_failure *failure
      = g_hash_table_lookup (router->quotas->failures, name);

  return failure != NULL && failure->unanswered >= UNANSWERED_MAX
         && jc_boot_ms () - failure->last_ms < SILENT_MS;
}

/* Return the instance of this zone that owns WORKSPACE, NULL if none does.
   EXCEPT, which may be NULL, is passed over.  */
const char *
quotas_pick_owner (const struct router *router, const char *workspace,
                   const char *except)
{
  const char *best = NULL;
  uint64_t best_hash = 0;

  for (guint i = 0; i < router->quotas->owners->len; i++)
    {
      const char *name = g_ptr_array_index (router->quotas->owners, i);
      uint64_t hash = jc_name_pair_hash (name, workspace);

      if ((best != NULL && hash <= best_hash) || has_failed (router, name)
          || (except != NULL && strcmp (name, except) == 0))
        continue;
      best = name;
      best_hash = hash;
    }
  return best;
}

static bool
is_draining (const struct router *router, const char *name)
{
  const struct neighbour *neighbour
      = g_hash_table_lookup (router->neighbours, name);

  return neighbour != NULL && neighbour->presence.draining;
}

/* Find the instances of this zone that may own workspaces.  */
static void
update_owners (struct router *router)
{
  const struct jc_entry_settings *settings = router->entry->settings;
  GPtrArray *owners = router->quotas->owners;
  GPtrArray *conns = g_ptr_array_new ();

  g_ptr_array_set_size (owners, 0);
  if (!router->entry->draining)
    g_ptr_array_add (owners, g_strdup (settings->name));
  jc_rpc_list_conns (router->entry->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (jc_rpc_conn_level (conn) >= QUOTAS_LEVEL
          && strcmp (jc_rpc_conn_zone (conn), settings->availability_zone) == 0
          && strcmp (jc_rpc_conn_region (conn), settings->region) == 0
          && jc_rpc_conn_silent_ms (conn) < SILENT_MS
          && !is_draining (router, jc_rpc_conn_name (conn)))
        g_ptr_array_add (owners, g_strdup (jc_rpc_conn_name (conn)));
    }
  g_ptr_array_free (conns, TRUE);
}

/* Return the number of zones with entry instances, this one included.  */
static unsigned int
count_zones (const struct router *router)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  unsigned int count;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_add (zones, router->entry->settings->availability_zone);
  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (jc_now_ms () - ((const struct neighbour *)value)->last_seen_ms
        < NEIGHBOUR_FRESH_MS)
      g_hash_table_add (zones, ((struct neighbour *)value)->presence.zone);
  count = g_hash_table_size (zones);
  g_hash_table_destroy (zones);
  return count;
}

/* Apply the quotas of the configuration in force.  */
static void
apply_routes (struct router *router)
{
  struct entry_quotas *quotas = router->quotas;
  GHashTableIter iter;
  gpointer value;

  if (quotas->routes == router->routes)
    return;
  jc_routetable_unref (quotas->routes);
  quotas->routes = jc_routetable_ref (router->routes);
  quotas->limited
      = router->routes->workspaces != NULL
            ? jc_workspaces_count_limited (router->routes->workspaces)
            : 0;
  g_hash_table_iter_init (&iter, quotas->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct workspace_quota *quota = value;
      const struct jc_quota *limit = limit_of (router, quota->name);

      if (limit == NULL)
        g_hash_table_iter_remove (&iter);
      else
        set_limit (quota, limit);
    }
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer ctx)
{
  const struct workspace_quota *quota = value;
  int64_t now = *(const int64_t *)ctx;

  (void)key;
  return now - quota->used_ms >= FORGET_MS
         && (quota->owner == NULL
             || jc_quotaowner_is_unused (quota->owner, now));
}

static gboolean
is_old_failure (gpointer key, gpointer value, gpointer ctx)
{
  const struct owner_failure *failure = value;

  (void)key;
  return *(const int64_t *)ctx - failure->last_ms >= FORGET_MS;
}

/* Keep up with the configuration and the instances of the zone, ask for slots,
   and forget what is old.  */
void
quotas_tick (struct router *router)
{
  int64_t now = jc_boot_ms ();

  if (router->routes == NULL)
    return;
  apply_routes (router);
  if (router->quotas->limited == 0)
    return;
  update_owners (router);
  router->quotas->zones = count_zones (router);
  quotaleases_tick (router);
  g_hash_table_foreach_remove (router->quotas->by_name, is_forgotten, &now);
  g_hash_table_foreach_remove (router->quotas->failures, is_old_failure, &now);
}

/* Let this instance keep the account of QUOTA for its zone.  */
void
quotas_begin_owning (struct workspace_quota *quota)
{
  int64_t now = jc_boot_ms ();

  if (quota->owner != NULL)
    return;
  quota->owner = jc_quotaowner_new (now);
  jc_quotabucket_set_limit (jc_quotaowner_bucket (quota->owner), quota->per_s,
                            quota->burst, now);
}

/* Decide, as the owner, on ASK of WORKSPACE.  */
void
quotas_decide (struct router *router, const char *workspace,
               const struct quota_ask *ask, struct jc_quota_decision *out)
{
  struct workspace_quota *quota = quotas_find (router, workspace);
  struct jc_quotabucket *bucket;
  int64_t now = jc_boot_ms ();

  *out = (struct jc_quota_decision){ .granted = ask->units };
  if (quota == NULL)
    return;
  quotas_begin_owning (quota);
  bucket = jc_quotaowner_bucket (quota->owner);
  if (ask->waiting > 0 && ask->units <= 0)
    jc_quotabucket_note_waits (bucket, ask->waiting, now);
  else if (ask->waiting > 0)
    jc_quotabucket_send (bucket, ask->units, now, out);
  else
    jc_quotabucket_take (bucket, ask->units, ask->ahead, now, out);
}

/* Log that this instance, the owner of WORKSPACE, refused ASK of the instance
   ASKER by DECISION.  The line of ASKER doesn't have what was used.  */
static void
log_refused_ask (struct router *router, const char *workspace,
                 const struct quota_ask *ask, const char *asker,
                 const struct jc_quota_decision *decision)
{
  struct workspace_quota *quota = quotas_find (router, workspace);
  int64_t now = jc_boot_ms ();

  if (quota == NULL || (quota->told_ms > 0 && now - quota->told_ms < TELL_MS))
    return;
  quota->told_ms = now;
  jc_event (JC_EVENT_QUOTA,
            "workspace=%s what=refused_ask asker=%s units=%.0f per_s=%.0f "
            "burst=%.0f used_per_s=%.0f slots=%u age_ms=%" PRId64,
            quota->name, asker, ask->units, quota->per_s, quota->burst,
            decision->used_per_s, decision->slots, decision->age_ms);
}

/* Answer PACKET, which asks this instance as the owner of a workspace.  */
static void
handle_take (struct router *router, struct jc_rpc_conn *conn,
             const struct rpc_packet *packet)
{
  const struct rpc_quota_take *take = &packet->body.rpc_body_u.quota_take;
  struct rpc_packet answer = { .body.type = RPC_QUOTA_GRANT };
  struct rpc_quota_grant *grant = &answer.body.rpc_body_u.quota_grant;
  const struct quota_ask ask
      = { .units = (double)take->milli / MILLI,
          .ahead = (double)take->ahead_milli / MILLI,
          .waiting = (double)take->waiting_milli / MILLI };
  struct jc_quota_decision decision;

  /* The sender asks another instance if this one gives no answer.  */
  if (router->routes == NULL)
    {
      jc_event (JC_EVENT_QUOTA,
                "workspace=%s what=no_configuration asker=%s units=%.0f",
                take->workspace, jc_rpc_conn_name (conn), ask.units);
      return;
    }
  quotas_decide (router, take->workspace, &ask, &decision);
  if (decision.granted < ask.units)
    log_refused_ask (router, take->workspace, &ask, jc_rpc_conn_name (conn),
                     &decision);
  grant->milli = (u_quad_t)(decision.granted * MILLI);
  grant->retry_ms = (u_int)decision.retry_ms;
  grant->slots = decision.slots;
  grant->age_ms = (u_int)MIN (decision.age_ms, G_MAXUINT32);
  jc_rpc_reply (conn, packet, &answer);
}

/* Handle a message on quotas of a state instance or an instance of this zone.
   Others are ignored.  */
void
quotas_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  if (packet->body.type == RPC_QUOTA_REPLY
      && strcmp (jc_rpc_conn_role (conn), "state") == 0)
    quotaleases_handle_reply (router, &packet->body.rpc_body_u.quota_reply);
  else if (packet->body.type == RPC_QUOTA_TAKE
           && strcmp (jc_rpc_conn_role (conn), "entry") == 0)
    handle_take (router, conn, packet);
}
