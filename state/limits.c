/* Limits: entry instances request slots of the limits that endpoints name; the
   log decides who gets them.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "member/quotaslots.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Changes of all requests of this time become one log entry, so that the
     number of entries doesn't grow with that of entry instances.  */
  PROPOSE_INTERVAL_MS = 100,
  CLEANUP_INTERVAL_MS = 1000,
  /* As many as a log entry may have; entry instances repeat the request for the
     rest.  */
  CHANGES_MAX = 4096,
  /* A lease is reported to an instance that requested slots here within this
     time.  */
  REQUESTER_MS = 2 * JC_LIMIT_LEASE_MS,
  STRINGS_BLOCK_BYTES = 1024
};

/* CHANGES are to be proposed when PROPOSE_TIMER ends; their strings are in
   STRINGS.  REQUESTED_MS maps names of entry instances to when they requested
   slots here last.  CLEANUP_TIMER runs while there are slots.  */
struct limits
{
  GArray *changes;
  GStringChunk *strings;
  GHashTable *requested_ms;
  ev_timer propose_timer;
  ev_timer cleanup_timer;
};

static void
on_proposed (void *ctx, enum jc_status status)
{
  (void)ctx;
  if (status != JC_OK)
    jc_event (JC_EVENT_LIMIT, "what=proposal outcome=%s",
              jc_status_name (status));
}

/* Propose the changes that have gathered.  */
static void
on_propose_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct limits *limits = state->limits;
  GString *data = jc_limit_changes_encode (limits->changes);

  (void)loop;
  (void)events;
  g_array_set_size (limits->changes, 0);
  g_string_chunk_clear (limits->strings);
  log_propose (state, LOG_LIMITS, jc_str_from_gstring (data), on_proposed,
               state);
  g_string_free (data, TRUE);
}

/* Add CHANGES to those that are proposed next.  */
void
limits_gather (struct state *state, const GArray *changes)
{
  struct limits *limits = state->limits;

  for (guint i = 0; i < changes->len && limits->changes->len < CHANGES_MAX; i++)
    {
      struct rpc_limit_change change
          = g_array_index (changes, struct rpc_limit_change, i);

      change.endpoint
          = g_string_chunk_insert_const (limits->strings, change.endpoint);
      change.instance
          = g_string_chunk_insert_const (limits->strings, change.instance);
      g_array_append_val (limits->changes, change);
    }
  if (limits->changes->len > 0)
    timer_start_once (state, &limits->propose_timer, PROPOSE_INTERVAL_MS);
}

static gboolean
is_old_request (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(const int64_t *)now_ms - *(const int64_t *)value > REQUESTER_MS;
}

/* Forget instances that request nothing any more.  The leader removes slots
   that nobody uses.  */
static void
on_cleanup_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct limits *limits = state->limits;
  int64_t now = jc_now_ms ();
  GArray *changes;

  (void)loop;
  (void)events;
  g_hash_table_foreach_remove (limits->requested_ms, is_old_request, &now);
  changes = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  if (log_is_leader (state))
    jc_limit_slots_plan_cleanup (state->limit_slots, now, changes);
  quotas_cleanup (state, log_is_leader (state), changes);
  limits_gather (state, changes);
  g_array_free (changes, TRUE);
  if (jc_limit_slots_count (state->limit_slots) > 0)
    timer_start_once (state, &limits->cleanup_timer, CLEANUP_INTERVAL_MS);
}

/* Start the module.  */
void
limits_start (struct state *state)
{
  struct limits *limits = g_new0 (struct limits, 1);

  limits->changes
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  limits->strings = g_string_chunk_new (STRINGS_BLOCK_BYTES);
  limits->requested_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->limits = limits;
  ev_init (&limits->propose_timer, on_propose_timer);
  limits->propose_timer.data = state;
  ev_init (&limits->cleanup_timer, on_cleanup_timer);
  limits->cleanup_timer.data = state;
  timer_start_once (state, &limits->cleanup_timer, CLEANUP_INTERVAL_MS);
}

/* Stop the module.  */
void
limits_stop (struct state *state)
{
  struct limits *limits = state->limits;

  if (limits == NULL)
    return;
  ev_timer_stop (state->loop, &limits->propose_timer);
  ev_timer_stop (state->loop, &limits->cleanup_timer);
  g_array_free (limits->changes, TRUE);
  g_string_chunk_free (limits->strings);
  g_hash_table_destroy (limits->requested_ms);
  g_free (limits);
  state->limits = NULL;
}

static void
send_ended (struct jc_rpc_conn *conn, GArray *ended)
{
  struct rpc_packet packet = { .body.type = RPC_LIMIT_REPLY };
  struct rpc_limit_reply *reply = &packet.body.rpc_body_u.limit_reply;

  reply->ended.ended_val = (struct rpc_limited *)ended->data;
  reply->ended.ended_len = ended->len;
  if (ended->len > 0)
    jc_rpc_send (conn, &packet);
}

/* Handle a request for slots of the entry instance CONN.  Other messages are
   ignored.  */
void
limits_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet)
{
  const struct jc_limit_holder holder
      = { .instance = jc_rpc_conn_name (conn),
          .incarnation = jc_rpc_conn_incarnation (conn) };
  int64_t now = jc_now_ms ();
  GArray *changes;
  GArray *ended;

  if (packet->body.type != RPC_LIMIT_REQUEST
      || strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  g_hash_table_replace (state->limits->requested_ms, g_strdup (holder.instance),
                        g_memdup2 (&now, sizeof now));
  changes = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  ended = g_array_new (FALSE, FALSE, sizeof (struct rpc_limited));
  jc_limit_slots_plan (state->limit_slots, &holder,
                       &packet->body.rpc_body_u.limit_request, now, changes,
                       ended);
  limits_gather (state, changes);
  send_ended (conn, ended);
  g_array_free (changes, TRUE);
  g_array_free (ended, TRUE);
}

/* Report CHANGE, a lease, to the instance that gets the slot if it requested it
   here.  */
static void
report_lease (struct state *state, const struct rpc_limit_change *change)
{
  const int64_t *requested_ms
      = g_hash_table_lookup (state->limits->requested_ms, change->instance);
  struct jc_rpc_conn *conn = jc_rpc_find_conn (state->rpc, change->instance);
  struct rpc_limit_lease lease
      = { .endpoint = change->endpoint,
          .endpoint_incarnation = change->endpoint_incarnation,
          .slot = change->slot,
          .requested_ms = change->requested_ms };
  struct rpc_packet packet = { .body.type = RPC_LIMIT_REPLY };
  struct rpc_limit_reply *reply = &packet.body.rpc_body_u.limit_reply;

  if (requested_ms == NULL || jc_now_ms () - *requested_ms > REQUESTER_MS
      || conn == NULL
      || jc_rpc_conn_incarnation (conn) != change->instance_incarnation)
    return;
  reply->leases.leases_val = &lease;
  reply->leases.leases_len = 1;
  jc_rpc_send (conn, &packet);
}

/* Return whether CHANGE, which is to be applied, only renews a lease of a
   workspace's slot.  */
static bool
is_renewal (const struct state *state, const struct rpc_limit_change *change)
{
  unsigned int slot;
  const char *workspace = jc_quota_slots_workspace (change, &slot);
  struct jc_quota_slot_state held;

  return workspace != NULL && change->op == RPC_LIMIT_LEASE
         && jc_quota_slots_read (state->limit_slots, workspace, slot,
                                 jc_now_ms (), &held)
         && strcmp (held.holder, change->instance) == 0
         && held.incarnation == change->instance_incarnation;
}

/* Report CHANGE, which was applied, to the instance that it leases a slot
   to, and log it unless it RENEWS a lease of a workspace's slot.  */
static void
note_applied (struct state *state, const struct rpc_limit_change *change,
              bool renews)
{
  unsigned int slot;
  const char *workspace = jc_quota_slots_workspace (change, &slot);

  if (renews)
    ;
  else if (workspace != NULL)
    jc_event (JC_EVENT_QUOTA,
              "workspace=%s what=lease op=%d slot=%u instance=%s", workspace,
              change->op, slot,
              change->instance[0] != '\0' ? change->instance : "-");
  else
    jc_event (JC_EVENT_LIMIT,
              "endpoint=%s incarnation=%" PRIu64
              " op=%d slot=%u instance=%s revision=%" PRIu64,
              change->endpoint, change->endpoint_incarnation, change->op,
              change->slot, change->instance, change->revision);
  if (state->limits == NULL)
    return;
  timer_start_once (state, &state->limits->cleanup_timer, CLEANUP_INTERVAL_MS);
  if (change->op != RPC_LIMIT_LEASE)
    return;
  if (workspace != NULL)
    quotas_report_lease (state, workspace, slot, change);
  else
    report_lease (state, change);
}

/* Apply DATA, a committed entry of the kind LOG_LIMITS, and report the leases
   in it.  */
void
limits_apply (struct state *state, struct jc_str data)
{
  struct rpc_limit_changes changes;

  if (!jc_limit_changes_decode (data, &changes))
    jc_event (JC_EVENT_BAD_INPUT, "from=log what=limits why=\"malformed\"");
  else
    for (u_int i = 0; i < changes.list.list_len; i++)
      {
        const struct rpc_limit_change *change = &changes.list.list_val[i];
        bool renews = is_renewal (state, change);

        if (jc_limit_slots_apply (state->limit_slots, change, jc_now_ms ()))
          note_applied (state, change, renews);
      }
  xdr_free ((xdrproc_t)xdr_rpc_limit_changes, (char *)&changes);
}
