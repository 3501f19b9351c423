/* Simulation of quotas: replicas, and events of all kinds.  */

#include <string.h>

#include "tests/quotasimprivate.h"

static unsigned int
instance_index (const char *name)
{
  return (unsigned int)g_ascii_strtoull (name + 1, NULL, 10);
}

/* Return the time that a message between INSTANCE and REPLICA takes at least
   and at most.  */
struct quotasim_event *
quotasim_schedule_to_instance (struct quotasim *sim, enum event_kind kind,
                               unsigned int index, unsigned int replica)
{
  bool near = sim->instances[index].zone == replica;
  struct quotasim_event *event = quotasim_schedule (
      sim, kind, near ? 0 : FAR_MIN_MS, near ? NEAR_MAX_MS : FAR_MAX_MS);

  sim->messages++;
  event->instance = index;
  event->incarnation = sim->instances[index].incarnation;
  event->replica = replica;
  return event;
}

static void
send_share (struct quotasim *sim, const char *name, unsigned int workspace,
            unsigned int slots, unsigned int replica)
{
  struct quotasim_event *event = quotasim_schedule_to_instance (
      sim, EVENT_SHARE, instance_index (name), replica);

  event->workspace = workspace;
  event->share = slots;
}

/* A replica gets an ask: it proposes changes and tells shares.  */
static void
handle_ask (struct quotasim *sim, const struct quotasim_event *event)
{
  struct quotasim_replica *replica = &sim->replicas[event->replica];
  const struct quotasim_instance *instance = &sim->instances[event->instance];
  const struct jc_limit_holder holder
      = { .instance = instance->name, .incarnation = event->incarnation };
  const struct rpc_quota_ask ask
      = { .workspace = (char *)quotasim_names[event->workspace],
          .wanted = event->wanted,
          .spare = event->spare,
          .released.released_val
          = (struct rpc_quota_slot *)event->released->data,
          .released.released_len = event->released->len };
  GStringChunk *strings = g_string_chunk_new (256);
  GArray *changes
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  GArray *over = g_array_new (FALSE, FALSE, sizeof (struct jc_quota_share));
  unsigned int share = jc_quota_slots_plan (
      replica->slots, replica->asks, &holder, &ask,
      (uint64_t)event->requested_ms, sim->now_ms, strings, changes, over);

  send_share (sim, holder.instance, event->workspace, share, event->replica);
  for (guint i = 0; i < over->len; i++)
    {
      const struct jc_quota_share *row
          = &g_array_index (over, struct jc_quota_share, i);

      send_share (sim, row->instance, event->workspace, row->slots,
                  event->replica);
    }
  if (changes->len > 0)
    {
      struct quotasim_event *commit = quotasim_schedule (
          sim, EVENT_COMMIT, COMMIT_MIN_MS, COMMIT_MAX_MS + PROPOSE_MS);

      commit->replica = event->replica;
      commit->data = jc_limit_changes_encode (changes);
    }
  g_array_free (over, TRUE);
  g_array_free (changes, TRUE);
  g_string_chunk_free (strings);
}

static void
handle_lease (struct quotasim *sim, const struct quotasim_event *event)
{
  struct quotasim_instance *instance = &sim->instances[event->instance];

  if (instance->owners[event->workspace] != NULL)
    jc_quotabucket_note_lease (
        jc_quotaowner_bucket (instance->owners[event->workspace]), &event->slot,
        event->requested_ms,
        sim->plan.no_expiry ? QUOTASIM_RUN_MS : JC_QUOTA_LEASE_MS,
        quotasim_clock_of (sim, instance));
}

static void
set_later (struct quotasim *sim, struct quotasim_instance *instance)
{
  instance->has_later = true;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      jc_quotacredit_clear (instance->credits[w]);
      if (instance->owners[w] != NULL)
        jc_quotabucket_set_limit (jc_quotaowner_bucket (instance->owners[w]),
                                  quotasim_limit_of (sim, w, true),
                                  quotasim_burst_of (sim, w, true),
                                  quotasim_clock_of (sim, instance));
    }
}

/* REPLICA applied CHANGE, which it proposed itself if OWN: report a lease.  */
static void
report_lease (struct quotasim *sim, unsigned int replica,
              const struct rpc_limit_change *change)
{
  unsigned int slot;
  const char *name = jc_quota_slots_workspace (change, &slot);
  struct jc_quota_slot_state state;
  struct quotasim_event *event;

  if (name == NULL || change->instance[0] == '\0'
      || !jc_quota_slots_read (sim->replicas[replica].slots, name, slot,
                               sim->now_ms, &state))
    return;
  event = quotasim_schedule_to_instance (
      sim, EVENT_LEASE, instance_index (change->instance), replica);
  event->incarnation = change->instance_incarnation;
  event->slot.slot = slot;
  event->slot.revision = state.revision;
  event->slot.credit_milli
      = jc_quota_asks_take_credit (sim->replicas[replica].asks, change);
  event->requested_ms = (int64_t)change->requested_ms;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    if (strcmp (name, quotasim_names[w]) == 0)
      event->workspace = w;
}

/* Each entry of the log begins with the replica that proposed it.  */
static void
replica_apply (struct quotasim *sim, unsigned int index)
{
  struct quotasim_replica *replica = &sim->replicas[index];

  while (replica->applied < sim->log->len)
    {
      const struct quotasim_event *entry
          = g_ptr_array_index (sim->log, replica->applied++);
      struct rpc_limit_changes changes;

      g_assert_true (jc_limit_changes_decode (jc_str_from_gstring (entry->data),
                                              &changes));
      for (u_int i = 0; i < changes.list.list_len; i++)
        if (jc_limit_slots_apply (replica->slots, &changes.list.list_val[i],
                                  sim->now_ms)
            && changes.list.list_val[i].op == RPC_LIMIT_LEASE
            && entry->replica == index)
          report_lease (sim, index, &changes.list.list_val[i]);
      xdr_free ((xdrproc_t)xdr_rpc_limit_changes, (char *)&changes);
    }
}

/* Return whether EVENT has to wait for its receiver.  */
static bool
must_wait (const struct quotasim *sim, const struct quotasim_event *event)
{
  const struct quotasim_instance *instance = &sim->instances[event->instance];

  if (event->kind == EVENT_COMMIT)
    return sim->leaderless_until_ms > sim->now_ms;
  if (event->kind == EVENT_ASK)
    return sim->replicas[event->replica].frozen_until_ms > sim->now_ms
           || sim->cut_until_ms[instance->zone] > sim->now_ms;
  return instance->busy_until_ms > sim->now_ms
         || ((event->kind == EVENT_LEASE || event->kind == EVENT_SHARE)
             && sim->cut_until_ms[instance->zone] > sim->now_ms);
}

static void
handle_instance_event (struct quotasim *sim, struct quotasim_event *event)
{
  struct quotasim_instance *instance = &sim->instances[event->instance];

  if (instance->incarnation != event->incarnation
      || instance->started_ms > sim->now_ms)
    return;
  if (event->kind == EVENT_TAKE)
    quotasim_handle_take (sim, event);
  else if (event->kind == EVENT_GRANT)
    {
      if (!*event->answered)
        quotasim_use_grant (sim, instance, event, event->granted);
      *event->answered = true;
    }
  else if (event->kind == EVENT_TIMEOUT && !*event->answered)
    {
      *event->answered = true;
      sim->instances[event->other].failed_ms = sim->now_ms;
      quotasim_ask_owner (sim, event->instance, event->workspace, event->units,
                          event->tries + 1);
    }
  else if (event->kind == EVENT_LEASE)
    handle_lease (sim, event);
  else if (event->kind == EVENT_SHARE
           && instance->owners[event->workspace] != NULL)
    jc_quotaowner_note_share (instance->owners[event->workspace], event->share,
                              quotasim_clock_of (sim, instance));
  else if (event->kind == EVENT_LIMIT)
    set_later (sim, instance);
}

void
quotasim_handle_events (struct quotasim *sim)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = sim->events->len; i > 0; i--)
    {
      struct quotasim_event *event = g_ptr_array_index (sim->events, i - 1);

      if (event->due_ms <= sim->now_ms && !must_wait (sim, event))
        g_ptr_array_add (due,
                         g_ptr_array_steal_index_fast (sim->events, i - 1));
    }
  for (guint i = 0; i < due->len; i++)
    {
      struct quotasim_event *event = g_ptr_array_index (due, i);

      if (event->kind == EVENT_COMMIT)
        {
          g_ptr_array_add (sim->log, event);
          continue;
        }
      if (event->kind == EVENT_ASK)
        handle_ask (sim, event);
      else
        handle_instance_event (sim, event);
      if (event->answered != NULL)
        g_rc_box_release (event->answered);
      quotasim_event_free (event);
    }
  g_ptr_array_free (due, TRUE);
  for (unsigned int i = 0; i < REPLICAS; i++)
    if (sim->replicas[i].frozen_until_ms <= sim->now_ms)
      replica_apply (sim, i);
}
