/* Simulation of entry instances and callers of workspaces with quotas: its run,
   callers and faults.  */

#include "tests/quotasimprivate.h"

const char *const quotasim_names[QUOTASIM_WORKSPACES]
    = { "large", "middle", "small" };
const double quotasim_parts[QUOTASIM_WORKSPACES] = { 1, 0.5, 0.2 };

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
  struct quotasim_instance *instance = &sim->instances[index];

  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    {
      bool is_owner = quotasim_pick_owner (sim, instance->zone, w) == index;
      const struct jc_quotaowner_input input
          = { .standing = is_owner ? STANDING : 0,
              .now_ms = quotasim_clock_of (sim, instance) };
      struct rpc_quota_ask ask = { 0 };
      GArray *released;
      struct quotasim_event *event;

      if (is_owner)
        quotasim_owner_of (sim, instance, w);
      if (instance->owners[w] == NULL)
        continue;
      released = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_slot));
      if (!jc_quotaowner_next_ask (instance->owners[w], &input, &ask, released)
          || sim->cut_until_ms[instance->zone] > sim->now_ms)
        {
          g_array_free (released, TRUE);
          continue;
        }
      event = quotasim_schedule_to_instance (sim, EVENT_ASK, index,
                                             pick_replica (sim, w));
      event->workspace = w;
      event->wanted = ask.wanted;
      event->spare = ask.spare;
      event->released = released;
      event->requested_ms = quotasim_clock_of (sim, instance);
    }
}

/* Return the zone that the callers of WORKSPACE use now.  */
static unsigned int
pick_zone (struct quotasim *sim, unsigned int workspace)
{
  static const int weights[QUOTASIM_ZONES] = { 40, 25, 15, 10, 7, 3 };
  int left = (int)quotasim_random_between (sim, 0, 99);
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
      double due = quotasim_limit_of (sim, w, later) * sim->plan.offered
                   * STEP_MS / MS_PER_S / mean;
      int count
          = (int)due + (g_rand_double (sim->rand) < due - (double)(int)due);

      for (; count > 0; count--)
        {
          unsigned int per_zone = sim->plan.instances / QUOTASIM_ZONES;
          unsigned int zone = pick_zone (sim, w);
          unsigned int nth
              = (unsigned int)quotasim_random_between (sim, 0, per_zone - 1);

          quotasim_offer (sim, zone + nth * QUOTASIM_ZONES, w,
                          (double)quotasim_random_between (
                              sim, sim->plan.units_min, sim->plan.units_max));
        }
    }
}

static bool
happens (struct quotasim *sim, int64_t every_ms)
{
  return every_ms > 0
         && quotasim_random_between (sim, 0, every_ms / STEP_MS) == 0;
}

static unsigned int
random_instance (struct quotasim *sim)
{
  return (unsigned int)quotasim_random_between (sim, 0,
                                                sim->plan.instances - 1);
}

/* Suspend the owner of a workspace, or any instance.  */
static unsigned int
pick_victim (struct quotasim *sim)
{
  unsigned int owner = quotasim_pick_owner (
      sim, (unsigned int)quotasim_random_between (sim, 0, QUOTASIM_ZONES - 1),
      (unsigned int)quotasim_random_between (sim, 0, QUOTASIM_WORKSPACES - 1));

  return owner != G_MAXUINT && quotasim_random_between (sim, 0, 1) == 0
             ? owner
             : random_instance (sim);
}

static void
inject_faults (struct quotasim *sim)
{
  const struct quotasim_plan *plan = &sim->plan;

  if (happens (sim, plan->suspend_ms / 2))
    {
      struct quotasim_instance *victim = &sim->instances[pick_victim (sim)];

      victim->busy_since_ms = sim->now_ms;
      victim->busy_until_ms = sim->now_ms + plan->suspend_ms;
    }
  if (happens (sim, plan->cut_every_ms))
    sim->cut_until_ms[quotasim_random_between (sim, 0, QUOTASIM_ZONES - 1)]
        = sim->now_ms + plan->cut_ms;
  if (happens (sim, plan->replica_freeze_ms / 3))
    sim->replicas[quotasim_random_between (sim, 0, REPLICAS - 1)]
        .frozen_until_ms
        = sim->now_ms + plan->replica_freeze_ms;
  if (happens (sim, 2 * plan->leaderless_ms))
    sim->leaderless_until_ms = sim->now_ms + plan->leaderless_ms;
  if (happens (sim, plan->restart_ms))
    quotasim_instance_start (sim, pick_victim (sim), RESTART_PAUSE_MS);
  if (plan->change_ms > 0 && sim->now_ms == plan->change_ms)
    for (unsigned int i = 0; i < plan->instances; i++)
      {
        struct quotasim_event *event
            = quotasim_schedule (sim, EVENT_LIMIT, 0, QUOTASIM_APPLY_MS);

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
  sim->log = g_ptr_array_new_with_free_func (quotasim_event_free);
  sim->events = g_ptr_array_new_with_free_func (quotasim_event_free);
  for (unsigned int i = 0; i < plan->instances; i++)
    quotasim_instance_start (sim, i, 0);
  for (unsigned int i = 0; i < REPLICAS; i++)
    {
      sim->replicas[i].slots = jc_limit_slots_new ();
      sim->replicas[i].asks = jc_quota_asks_new ();
    }
  for (sim->now_ms = 0; sim->now_ms < QUOTASIM_RUN_MS; sim->now_ms += STEP_MS)
    {
      inject_faults (sim);
      quotasim_handle_events (sim);
      offer_requests (sim);
      if (sim->now_ms % TICK_MS == 0)
        for (unsigned int i = 0; i < plan->instances; i++)
          if (quotasim_is_running (sim, &sim->instances[i]))
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
      struct quotasim_event *event = g_ptr_array_index (sim->events, i);

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
