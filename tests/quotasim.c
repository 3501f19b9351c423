/* Simulation of entry instances and callers of workspaces with quotas.  */

#include <glib.h>
#include <string.h>

#include "member/endpoints.h"
#include "member/quotaslots.h"
#include "serve/quotacredit.h"
#include "serve/quotaowner.h"
#include "tests/quotasim.h"

enum
{
  REPLICAS = 6,
  STEP_MS = 5,
  STEPS = QUOTASIM_RUN_MS / STEP_MS,
  TICK_MS = 100,
  ANSWER_TIMEOUT_MS = 100,
  SILENT_MS = 1000,
  REPLICA_SILENT_MS = 1500,
  STANDING = 4,
  PROPOSE_MS = 100,
  COMMIT_MIN_MS = 90,
  COMMIT_MAX_MS = 250,
  FAR_MIN_MS = 80,
  FAR_MAX_MS = 100,
  NEAR_MAX_MS = 5,
  RESTART_PAUSE_MS = 1000,
  /* A share that moved is measured this long after, for the same time.  */
  MOVED_MS = 2000,
  MS_PER_S = 1000
};

/* An instance.  It runs from STARTED_MS and is suspended until BUSY_UNTIL_MS,
   since BUSY_SINCE_MS.  FAILED_MS is when it last left a request unanswered. */
struct instance
{
  char name[16];
  unsigned int zone;
  uint64_t incarnation;
  int64_t clock_start_ms;
  int64_t started_ms;
  int64_t busy_since_ms;
  int64_t busy_until_ms;
  int64_t failed_ms;
  int64_t version_heard_ms;
  bool has_later;
  struct jc_quotacredit *credits[QUOTASIM_WORKSPACES];
  struct jc_quotaowner *owners[QUOTASIM_WORKSPACES];
};

struct replica
{
  struct jc_limit_slots *slots;
  struct jc_quota_asks *asks;
  guint applied;
  int64_t frozen_until_ms;
};

enum event_kind
{
  EVENT_TAKE,
  EVENT_GRANT,
  EVENT_TIMEOUT,
  EVENT_ASK,
  EVENT_COMMIT,
  EVENT_LEASE,
  EVENT_SHARE,
  EVENT_LIMIT
};

/* An event at DUE_MS for INSTANCE of INCARNATION, about one at OTHER.  */
struct event
{
  enum event_kind kind;
  int64_t due_ms;
  unsigned int instance;
  uint64_t incarnation;
  unsigned int other;
  unsigned int replica;
  unsigned int workspace;
  double units;
  double granted;
  unsigned int tries;
  unsigned int wanted;
  unsigned int spare;
  GArray *released;
  struct rpc_quota_slot slot;
  int64_t requested_ms;
  unsigned int share;
  GString *data;
  bool *answered;
};

struct quotasim
{
  struct quotasim_plan plan;
  GRand *rand;
  int64_t now_ms;
  struct instance instances[QUOTASIM_INSTANCES_MAX];
  struct replica replicas[REPLICAS];
  GPtrArray *log;
  GPtrArray *events;
  int64_t cut_until_ms[QUOTASIM_ZONES];
  int64_t leaderless_until_ms;
  uint64_t messages;
  double ran[QUOTASIM_WORKSPACES][STEPS];
};

static const char *const workspace_names[QUOTASIM_WORKSPACES]
    = { "large", "middle", "small" };
/* Parts of the limit of the first workspace.  */
static const double workspace_parts[QUOTASIM_WORKSPACES] = { 1, 0.5, 0.2 };

static void
event_free (gpointer data)
{
  struct event *event = data;

  if (event->released != NULL)
    g_array_free (event->released, TRUE);
  if (event->data != NULL)
    g_string_free (event->data, TRUE);
  g_free (event);
}

static int64_t
random_between (struct quotasim *sim, int64_t min, int64_t max)
{
  return g_rand_int_range (sim->rand, (gint32)min, (gint32)max + 1);
}

static struct event *
schedule (struct quotasim *sim, enum event_kind kind, int64_t min_ms,
          int64_t max_ms)
{
  struct event *event = g_new0 (struct event, 1);

  event->kind = kind;
  event->due_ms = sim->now_ms + random_between (sim, min_ms, max_ms);
  g_ptr_array_add (sim->events, event);
  return event;
}

static int64_t
clock_of (const struct quotasim *sim, const struct instance *instance)
{
  return sim->now_ms + instance->clock_start_ms;
}

static bool
is_running (const struct quotasim *sim, const struct instance *instance)
{
  return instance->started_ms <= sim->now_ms
         && instance->busy_until_ms <= sim->now_ms;
}

static double
limit_of (const struct quotasim *sim, unsigned int workspace, bool later)
{
  return workspace_parts[workspace]
         * (later ? sim->plan.later_per_s : sim->plan.per_s);
}

static double
burst_of (const struct quotasim *sim, unsigned int workspace, bool later)
{
  return limit_of (sim, workspace, later) * sim->plan.burst / sim->plan.per_s;
}

static void
instance_start (struct quotasim *sim, unsigned int index, int64_t pause_ms)
{
  struct instance *instance = &sim->instances[index];

  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      jc_quotacredit_free (instance->credits[w]);
      jc_quotaowner_free (instance->owners[w]);
      instance->credits[w] = jc_quotacredit_new ();
      instance->owners[w] = NULL;
    }
  g_snprintf (instance->name, sizeof instance->name, "e%u", index);
  instance->zone = index % QUOTASIM_ZONES;
  instance->incarnation++;
  instance->clock_start_ms = random_between (sim, 1000, 1000000);
  instance->started_ms = sim->now_ms + pause_ms;
  instance->busy_until_ms = 0;
  instance->failed_ms = -SILENT_MS;
  instance->has_later
      = sim->plan.change_ms > 0 && sim->now_ms >= sim->plan.change_ms;
}

/* Return the owner of WORKSPACE in ZONE as the others see it.  */
static unsigned int
pick_owner (const struct quotasim *sim, unsigned int zone,
            unsigned int workspace)
{
  unsigned int best = G_MAXUINT;
  uint64_t best_hash = 0;

  for (unsigned int i = zone; i < sim->plan.instances; i += QUOTASIM_ZONES)
    {
      const struct instance *instance = &sim->instances[i];
      uint64_t hash
          = jc_name_pair_hash (instance->name, workspace_names[workspace]);

      if (instance->started_ms > sim->now_ms
          || (instance->busy_until_ms > sim->now_ms
              && sim->now_ms - instance->busy_since_ms >= SILENT_MS)
          || sim->now_ms - instance->failed_ms < SILENT_MS
          || (best != G_MAXUINT && hash <= best_hash))
        continue;
      best = i;
      best_hash = hash;
    }
  return best;
}

static struct jc_quotaowner *
owner_of (struct quotasim *sim, struct instance *instance,
          unsigned int workspace)
{
  int64_t clock = clock_of (sim, instance);

  if (instance->owners[workspace] == NULL)
    {
      instance->owners[workspace] = jc_quotaowner_new (clock);
      jc_quotabucket_set_limit (
          jc_quotaowner_bucket (instance->owners[workspace]),
          limit_of (sim, workspace, instance->has_later),
          burst_of (sim, workspace, instance->has_later), clock);
    }
  return instance->owners[workspace];
}

static void
run_request (struct quotasim *sim, unsigned int workspace, double units)
{
  sim->ran[workspace][sim->now_ms / STEP_MS] += units;
}

/* The instance gets GRANTED units that it asked for at ASKED_MS of its clock,
   and runs the request for UNITS if they suffice.  */
static void
use_grant (struct quotasim *sim, struct instance *instance,
           const struct event *event, double granted)
{
  if (granted < event->units
      || clock_of (sim, instance) - event->requested_ms >= JC_QUOTACREDIT_MS)
    return;
  run_request (sim, event->workspace, event->units);
  jc_quotacredit_add (instance->credits[event->workspace],
                      granted - event->units, event->requested_ms);
}

static void
take_here (struct quotasim *sim, struct instance *instance,
           const struct event *event, struct jc_quota_decision *out)
{
  double ahead = jc_quotacredit_ahead (instance->credits[event->workspace],
                                       event->units, clock_of (sim, instance));

  jc_quotabucket_take (
      jc_quotaowner_bucket (owner_of (sim, instance, event->workspace)),
      event->units, ahead, clock_of (sim, instance), out);
}

/* Instance INDEX needs UNITS of WORKSPACE for a request, after TRIES owners
   left it without an answer.  */
static void
ask_owner (struct quotasim *sim, unsigned int index, unsigned int workspace,
           double units, unsigned int tries)
{
  struct instance *instance = &sim->instances[index];
  unsigned int owner = pick_owner (sim, instance->zone, workspace);
  const struct event request = { .workspace = workspace,
                                 .units = units,
                                 .requested_ms = clock_of (sim, instance) };
  struct event *take;
  struct event *timeout;
  struct jc_quota_decision decision;

  if (owner == index || owner == G_MAXUINT || tries >= 2)
    {
      take_here (sim, instance, &request, &decision);
      use_grant (sim, instance, &request, decision.granted);
      return;
    }
  sim->messages += 2;
  take = schedule (sim, EVENT_TAKE, 0, NEAR_MAX_MS);
  take->instance = owner;
  take->incarnation = sim->instances[owner].incarnation;
  take->other = index;
  take->workspace = workspace;
  take->units = units;
  take->requested_ms = request.requested_ms;
  take->answered = g_rc_box_new0 (bool);
  timeout = schedule (sim, EVENT_TIMEOUT, ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
  timeout->instance = index;
  timeout->incarnation = instance->incarnation;
  timeout->other = owner;
  timeout->workspace = workspace;
  timeout->units = units;
  timeout->tries = tries;
  timeout->answered = g_rc_box_acquire (take->answered);
}

/* A caller's request for UNITS of WORKSPACE comes to instance INDEX.  */
static void
offer (struct quotasim *sim, unsigned int index, unsigned int workspace,
       double units)
{
  struct instance *instance = &sim->instances[index];
  int64_t asked_ms;

  if (!is_running (sim, instance))
    return;
  if (jc_quotacredit_take (instance->credits[workspace], units,
                           clock_of (sim, instance), &asked_ms))
    run_request (sim, workspace, units);
  else
    ask_owner (sim, index, workspace, units, 0);
}

static void
handle_take (struct quotasim *sim, struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];
  struct jc_quota_decision decision;
  struct event *grant;

  take_here (sim, instance, event, &decision);
  grant = schedule (sim, EVENT_GRANT, 0, NEAR_MAX_MS);
  grant->instance = event->other;
  grant->incarnation = sim->instances[event->other].incarnation;
  grant->workspace = event->workspace;
  grant->units = event->units;
  grant->granted = decision.granted;
  grant->requested_ms = event->requested_ms;
  grant->answered = event->answered;
  event->answered = NULL;
}

static unsigned int
instance_index (const char *name)
{
  return (unsigned int)g_ascii_strtoull (name + 1, NULL, 10);
}

/* Return the time that a message between INSTANCE and REPLICA takes at least
   and at most.  */
static struct event *
schedule_to_instance (struct quotasim *sim, enum event_kind kind,
                      unsigned int index, unsigned int replica)
{
  bool near = sim->instances[index].zone == replica;
  struct event *event = schedule (sim, kind, near ? 0 : FAR_MIN_MS,
                                  near ? NEAR_MAX_MS : FAR_MAX_MS);

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
  struct event *event
      = schedule_to_instance (sim, EVENT_SHARE, instance_index (name), replica);

  event->workspace = workspace;
  event->share = slots;
}

/* A replica gets an ask: it proposes changes and tells shares.  */
static void
handle_ask (struct quotasim *sim, const struct event *event)
{
  struct replica *replica = &sim->replicas[event->replica];
  const struct instance *instance = &sim->instances[event->instance];
  const struct jc_limit_holder holder
      = { .instance = instance->name, .incarnation = event->incarnation };
  const struct rpc_quota_ask ask
      = { .workspace = (char *)workspace_names[event->workspace],
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
      struct event *commit = schedule (sim, EVENT_COMMIT, COMMIT_MIN_MS,
                                       COMMIT_MAX_MS + PROPOSE_MS);

      commit->replica = event->replica;
      commit->data = jc_limit_changes_encode (changes);
    }
  g_array_free (over, TRUE);
  g_array_free (changes, TRUE);
  g_string_chunk_free (strings);
}

static void
handle_lease (struct quotasim *sim, const struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];

  if (instance->owners[event->workspace] != NULL)
    jc_quotabucket_note_lease (
        jc_quotaowner_bucket (instance->owners[event->workspace]), &event->slot,
        event->requested_ms,
        sim->plan.no_expiry ? QUOTASIM_RUN_MS : JC_QUOTA_LEASE_MS,
        clock_of (sim, instance));
}

static void
set_later (struct quotasim *sim, struct instance *instance)
{
  instance->has_later = true;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      jc_quotacredit_clear (instance->credits[w]);
      if (instance->owners[w] != NULL)
        jc_quotabucket_set_limit (
            jc_quotaowner_bucket (instance->owners[w]), limit_of (sim, w, true),
            burst_of (sim, w, true), clock_of (sim, instance));
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
  struct event *event;

  if (name == NULL || change->instance[0] == '\0'
      || !jc_quota_slots_read (sim->replicas[replica].slots, name, slot,
                               sim->now_ms, &state))
    return;
  event = schedule_to_instance (sim, EVENT_LEASE,
                                instance_index (change->instance), replica);
  event->incarnation = change->instance_incarnation;
  event->slot.slot = slot;
  event->slot.revision = state.revision;
  event->slot.credit_milli
      = jc_quota_asks_take_credit (sim->replicas[replica].asks, change);
  event->requested_ms = (int64_t)change->requested_ms;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    if (strcmp (name, workspace_names[w]) == 0)
      event->workspace = w;
}

/* Each entry of the log begins with the replica that proposed it.  */
static void
replica_apply (struct quotasim *sim, unsigned int index)
{
  struct replica *replica = &sim->replicas[index];

  while (replica->applied < sim->log->len)
    {
      const struct event *entry
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
must_wait (const struct quotasim *sim, const struct event *event)
{
  const struct instance *instance = &sim->instances[event->instance];

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
handle_instance_event (struct quotasim *sim, struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];

  if (instance->incarnation != event->incarnation
      || instance->started_ms > sim->now_ms)
    return;
  if (event->kind == EVENT_TAKE)
    handle_take (sim, event);
  else if (event->kind == EVENT_GRANT)
    {
      if (!*event->answered)
        use_grant (sim, instance, event, event->granted);
      *event->answered = true;
    }
  else if (event->kind == EVENT_TIMEOUT && !*event->answered)
    {
      *event->answered = true;
      sim->instances[event->other].failed_ms = sim->now_ms;
      ask_owner (sim, event->instance, event->workspace, event->units,
                 event->tries + 1);
    }
  else if (event->kind == EVENT_LEASE)
    handle_lease (sim, event);
  else if (event->kind == EVENT_SHARE
           && instance->owners[event->workspace] != NULL)
    jc_quotaowner_note_share (instance->owners[event->workspace], event->share,
                              clock_of (sim, instance));
  else if (event->kind == EVENT_LIMIT)
    set_later (sim, instance);
}

static void
handle_events (struct quotasim *sim)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = sim->events->len; i > 0; i--)
    {
      struct event *event = g_ptr_array_index (sim->events, i - 1);

      if (event->due_ms <= sim->now_ms && !must_wait (sim, event))
        g_ptr_array_add (due,
                         g_ptr_array_steal_index_fast (sim->events, i - 1));
    }
  for (guint i = 0; i < due->len; i++)
    {
      struct event *event = g_ptr_array_index (due, i);

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
      event_free (event);
    }
  g_ptr_array_free (due, TRUE);
  for (unsigned int i = 0; i < REPLICAS; i++)
    if (sim->replicas[i].frozen_until_ms <= sim->now_ms)
      replica_apply (sim, i);
}

/* Return the replica that is asked for slots of WORKSPACE: the first one that
   doesn't stand still for long.  */
static unsigned int
pick_replica (const struct quotasim *sim, unsigned int workspace)
{
  for (unsigned int i = 0; i < REPLICAS; i++)
    {
      unsigned int index = (workspace + i) % REPLICAS;
      int64_t frozen_until_ms = sim->replicas[index].frozen_until_ms;

      if (frozen_until_ms <= sim->now_ms
          || sim->now_ms - (frozen_until_ms - sim->plan.replica_freeze_ms)
                 < REPLICA_SILENT_MS)
        return index;
    }
  return workspace % REPLICAS;
}

/* The instance INDEX asks for slots.  */
static void
tick (struct quotasim *sim, unsigned int index)
{
  struct instance *instance = &sim->instances[index];

  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      bool is_owner = pick_owner (sim, instance->zone, w) == index;
      const struct jc_quotaowner_input input
          = { .standing = is_owner ? STANDING : 0,
              .now_ms = clock_of (sim, instance) };
      struct rpc_quota_ask ask = { 0 };
      GArray *released;
      struct event *event;

      if (is_owner)
        owner_of (sim, instance, w);
      if (instance->owners[w] == NULL)
        continue;
      released = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_slot));
      if (!jc_quotaowner_next_ask (instance->owners[w], &input, &ask, released)
          || sim->cut_until_ms[instance->zone] > sim->now_ms)
        {
          g_array_free (released, TRUE);
          continue;
        }
      event
          = schedule_to_instance (sim, EVENT_ASK, index, pick_replica (sim, w));
      event->workspace = w;
      event->wanted = ask.wanted;
      event->spare = ask.spare;
      event->released = released;
      event->requested_ms = clock_of (sim, instance);
    }
}

/* Return the zone that the callers of WORKSPACE use now.  */
static unsigned int
pick_zone (struct quotasim *sim, unsigned int workspace)
{
  static const int weights[QUOTASIM_ZONES] = { 40, 25, 15, 10, 7, 3 };
  int left = (int)random_between (sim, 0, 99);
  unsigned int zone = 0;

  if (sim->plan.move_ms > 0)
    return (unsigned int)(sim->now_ms / sim->plan.move_ms + workspace)
           % QUOTASIM_ZONES;
  while (zone + 1 < QUOTASIM_ZONES && left >= weights[zone])
    left -= weights[zone++];
  return (zone + workspace) % QUOTASIM_ZONES;
}

static void
offer_requests (struct quotasim *sim)
{
  bool later = sim->plan.change_ms > 0 && sim->now_ms >= sim->plan.change_ms;
  double mean = (sim->plan.units_min + sim->plan.units_max) / 2.0;

  if (sim->now_ms < QUOTASIM_TRAFFIC_MS)
    return;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      double due = limit_of (sim, w, later) * sim->plan.offered * STEP_MS
                   / MS_PER_S / mean;
      int count
          = (int)due + (g_rand_double (sim->rand) < due - (double)(int)due);

      for (; count > 0; count--)
        {
          unsigned int per_zone = sim->plan.instances / QUOTASIM_ZONES;
          unsigned int zone = pick_zone (sim, w);
          unsigned int nth
              = (unsigned int)random_between (sim, 0, per_zone - 1);

          offer (sim, zone + nth * QUOTASIM_ZONES, w,
                 (double)random_between (sim, sim->plan.units_min,
                                         sim->plan.units_max));
        }
    }
}

static bool
happens (struct quotasim *sim, int64_t every_ms)
{
  return every_ms > 0 && random_between (sim, 0, every_ms / STEP_MS) == 0;
}

static unsigned int
random_instance (struct quotasim *sim)
{
  return (unsigned int)random_between (sim, 0, sim->plan.instances - 1);
}

/* Suspend the owner of a workspace, or any instance.  */
static unsigned int
pick_victim (struct quotasim *sim)
{
  unsigned int owner = pick_owner (
      sim, (unsigned int)random_between (sim, 0, QUOTASIM_ZONES - 1),
      (unsigned int)random_between (sim, 0, QUOTASIM_WORKSPACES - 1));

  return owner != G_MAXUINT && random_between (sim, 0, 1) == 0
             ? owner
             : random_instance (sim);
}

static void
inject_faults (struct quotasim *sim)
{
  const struct quotasim_plan *plan = &sim->plan;

  if (happens (sim, plan->suspend_ms / 2))
    {
      struct instance *victim = &sim->instances[pick_victim (sim)];

      victim->busy_since_ms = sim->now_ms;
      victim->busy_until_ms = sim->now_ms + plan->suspend_ms;
    }
  if (happens (sim, plan->cut_every_ms))
    sim->cut_until_ms[random_between (sim, 0, QUOTASIM_ZONES - 1)]
        = sim->now_ms + plan->cut_ms;
  if (happens (sim, plan->replica_freeze_ms / 3))
    sim->replicas[random_between (sim, 0, REPLICAS - 1)].frozen_until_ms
        = sim->now_ms + plan->replica_freeze_ms;
  if (happens (sim, 2 * plan->leaderless_ms))
    sim->leaderless_until_ms = sim->now_ms + plan->leaderless_ms;
  if (happens (sim, plan->restart_ms))
    instance_start (sim, pick_victim (sim), RESTART_PAUSE_MS);
  if (plan->change_ms > 0 && sim->now_ms == plan->change_ms)
    for (unsigned int i = 0; i < plan->instances; i++)
      {
        struct event *event = schedule (sim, EVENT_LIMIT, 0, QUOTASIM_APPLY_MS);

        event->instance = i;
        event->incarnation = sim->instances[i].incarnation;
      }
}

/* Play PLAN with the random numbers of SEED.  */
struct quotasim *
quotasim_run (const struct quotasim_plan *plan, uint32_t seed)
{
  struct quotasim *sim = g_new0 (struct quotasim, 1);

  sim->plan = *plan;
  sim->rand = g_rand_new_with_seed (seed);
  sim->log = g_ptr_array_new_with_free_func (event_free);
  sim->events = g_ptr_array_new_with_free_func (event_free);
  for (unsigned int i = 0; i < plan->instances; i++)
    instance_start (sim, i, 0);
  for (unsigned int i = 0; i < REPLICAS; i++)
    {
      sim->replicas[i].slots = jc_limit_slots_new ();
      sim->replicas[i].asks = jc_quota_asks_new ();
    }
  for (sim->now_ms = 0; sim->now_ms < QUOTASIM_RUN_MS; sim->now_ms += STEP_MS)
    {
      inject_faults (sim);
      handle_events (sim);
      offer_requests (sim);
      if (sim->now_ms % TICK_MS == 0)
        for (unsigned int i = 0; i < plan->instances; i++)
          if (is_running (sim, &sim->instances[i]))
            tick (sim, i);
    }
  return sim;
}

/* Free SIM, a result of quotasim_run.  */
void
quotasim_free (struct quotasim *sim)
{
  for (guint i = 0; i < sim->events->len; i++)
    {
      struct event *event = g_ptr_array_index (sim->events, i);

      if (event->answered != NULL)
        g_rc_box_release (event->answered);
    }
  g_ptr_array_free (sim->events, TRUE);
  g_ptr_array_free (sim->log, TRUE);
  for (unsigned int i = 0; i < sim->plan.instances; i++)
    for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
      {
        jc_quotacredit_free (sim->instances[i].credits[w]);
        jc_quotaowner_free (sim->instances[i].owners[w]);
      }
  for (unsigned int i = 0; i < REPLICAS; i++)
    {
      jc_limit_slots_free (sim->replicas[i].slots);
      jc_quota_asks_free (sim->replicas[i].asks);
    }
  g_rand_free (sim->rand);
  g_free (sim);
}

/* Return the limit of the first workspace that binds a window that begins at
   MS: a lower one binds once all instances have had it for QUOTASIM_APPLY_MS, a
   higher one at once.  */
static double
binding_limit (const struct quotasim *sim, int64_t from_ms)
{
  const struct quotasim_plan *plan = &sim->plan;

  if (plan->change_ms == 0 || from_ms + QUOTASIM_WINDOW_MS <= plan->change_ms)
    return plan->per_s;
  return from_ms >= plan->change_ms + QUOTASIM_APPLY_MS
             ? plan->later_per_s
             : MAX (plan->per_s, plan->later_per_s);
}

/* Return the largest sum of a window of any workspace, as a part of its rate
   and burst, and set BOUND to the part that may be reached: a tenth more.  */
double
quotasim_max_window (const struct quotasim *sim, double *bound)
{
  int64_t steps = QUOTASIM_WINDOW_MS / STEP_MS;
  double worst = 0;

  *bound = 1.1;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    for (int64_t from = 0; from + steps <= STEPS; from += 10)
      {
        double limit = workspace_parts[w] * binding_limit (sim, from * STEP_MS);
        double allowed = limit * QUOTASIM_WINDOW_MS / MS_PER_S
                         + limit * sim->plan.burst / sim->plan.per_s;
        double sum = 0;

        for (int64_t i = from; i < from + steps; i++)
          sum += sim->ran[w][i];
        worst = MAX (worst, sum / allowed);
      }
  return worst;
}

static double
used_share (const struct quotasim *sim, unsigned int workspace, int64_t from_ms,
            int64_t to_ms)
{
  double sum = 0;
  double allowed = 0;

  for (int64_t i = from_ms / STEP_MS; i < to_ms / STEP_MS; i++)
    {
      bool later
          = sim->plan.change_ms > 0 && i * STEP_MS >= sim->plan.change_ms;

      sum += sim->ran[workspace][i];
      allowed += limit_of (sim, workspace, later) * STEP_MS / MS_PER_S;
    }
  return sum / allowed;
}

/* Return the part of the limit that the workspace which got least of it could
   use from FROM_MS to TO_MS.  */
double
quotasim_used_share (const struct quotasim *sim, int64_t from_ms, int64_t to_ms)
{
  double least = 1e9;

  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    least = MIN (least, used_share (sim, w, from_ms, to_ms));
  return least;
}

/* Return the least part of its limit that a workspace used from MOVED_MS after
   its callers moved until they moved again.  */
double
quotasim_min_share_after_move (const struct quotasim *sim)
{
  int64_t every = sim->plan.move_ms;
  double least = 1e9;

  for (int64_t at = every * (QUOTASIM_TRAFFIC_MS / every + 1);
       at + every <= QUOTASIM_RUN_MS; at += every)
    least = MIN (least, quotasim_used_share (sim, at + MOVED_MS, at + every));
  return least;
}

/* Return the messages that all instances sent and got in a second.  */
double
quotasim_messages_per_s (const struct quotasim *sim)
{
  return (double)sim->messages * MS_PER_S / QUOTASIM_RUN_MS;
}
