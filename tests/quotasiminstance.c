/* Simulation of quotas: entry instances.  */

#include "member/endpoints.h"
#include "tests/quotasimprivate.h"

void
quotasim_event_free (gpointer data)
{
  struct quotasim_event *event = data;

  if (event->released != NULL)
    g_array_free (event->released, TRUE);
  if (event->data != NULL)
    g_string_free (event->data, TRUE);
  g_free (event);
}

int64_t
quotasim_random_between (struct quotasim *sim, int64_t min, int64_t max)
{
  return g_rand_int_range (sim->rand, (gint32)min, (gint32)max + 1);
}

struct quotasim_event *
quotasim_schedule (struct quotasim *sim, enum event_kind kind, int64_t min_ms,
                   int64_t max_ms)
{
  struct quotasim_event *event = g_new0 (struct quotasim_event, 1);

  event->kind = kind;
  event->due_ms = sim->now_ms + quotasim_random_between (sim, min_ms, max_ms);
  g_ptr_array_add (sim->events, event);
  return event;
}

int64_t
quotasim_clock_of (const struct quotasim *sim,
                   const struct quotasim_instance *instance)
{
  return sim->now_ms + instance->clock_start_ms;
}

bool
quotasim_is_running (const struct quotasim *sim,
                     const struct quotasim_instance *instance)
{
  return instance->started_ms <= sim->now_ms
         && instance->busy_until_ms <= sim->now_ms;
}

double
quotasim_limit_of (const struct quotasim *sim, unsigned int workspace,
                   bool later)
{
  return quotasim_parts[workspace]
         * (later ? sim->plan.later_per_s : sim->plan.per_s);
}

double
quotasim_burst_of (const struct quotasim *sim, unsigned int workspace,
                   bool later)
{
  return quotasim_limit_of (sim, workspace, later) * sim->plan.burst
         / sim->plan.per_s;
}

void
quotasim_instance_start (struct quotasim *sim, unsigned int index,
                         int64_t pause_ms)
{
  struct quotasim_instance *instance = &sim->instances[index];

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
  instance->clock_start_ms = quotasim_random_between (sim, 1000, 1000000);
  instance->started_ms = sim->now_ms + pause_ms;
  instance->busy_until_ms = 0;
  instance->failed_ms = -SILENT_MS;
  instance->has_later
      = sim->plan.change_ms > 0 && sim->now_ms >= sim->plan.change_ms;
}

/* Return the owner of WORKSPACE in ZONE as the others see it.  */
unsigned int
quotasim_pick_owner (const struct quotasim *sim, unsigned int zone,
                     unsigned int workspace)
{
  unsigned int best = G_MAXUINT;
  uint64_t best_hash = 0;

  for (unsigned int i = zone; i < sim->plan.instances; i += QUOTASIM_ZONES)
    {
      const struct quotasim_instance *instance = &sim->instances[i];
      uint64_t hash
          = jc_name_pair_hash (instance->name, quotasim_names[workspace]);

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

struct jc_quotaowner *
quotasim_owner_of (struct quotasim *sim, struct quotasim_instance *instance,
                   unsigned int workspace)
{
  int64_t clock = quotasim_clock_of (sim, instance);

  if (instance->owners[workspace] == NULL)
    {
      instance->owners[workspace] = jc_quotaowner_new (clock);
      jc_quotabucket_set_limit (
          jc_quotaowner_bucket (instance->owners[workspace]),
          quotasim_limit_of (sim, workspace, instance->has_later),
          quotasim_burst_of (sim, workspace, instance->has_later), clock);
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
void
quotasim_use_grant (struct quotasim *sim, struct quotasim_instance *instance,
                    const struct quotasim_event *event, double granted)
{
  if (granted < event->units
      || quotasim_clock_of (sim, instance) - event->requested_ms
             >= JC_QUOTACREDIT_MS)
    return;
  run_request (sim, event->workspace, event->units);
  jc_quotacredit_add (instance->credits[event->workspace],
                      granted - event->units, event->requested_ms);
}

static void
take_here (struct quotasim *sim, struct quotasim_instance *instance,
           const struct quotasim_event *event, struct jc_quota_decision *out)
{
  double ahead
      = jc_quotacredit_ahead (instance->credits[event->workspace], event->units,
                              quotasim_clock_of (sim, instance));

  jc_quotabucket_take (jc_quotaowner_bucket (
                           quotasim_owner_of (sim, instance, event->workspace)),
                       event->units, ahead, quotasim_clock_of (sim, instance),
                       out);
}

/* Instance INDEX needs UNITS of WORKSPACE for a request, after TRIES owners
   left it without an answer.  */
void
quotasim_ask_owner (struct quotasim *sim, unsigned int index,
                    unsigned int workspace, double units, unsigned int tries)
{
  struct quotasim_instance *instance = &sim->instances[index];
  unsigned int owner = quotasim_pick_owner (sim, instance->zone, workspace);
  const struct quotasim_event request
      = { .workspace = workspace,
          .units = units,
          .requested_ms = quotasim_clock_of (sim, instance) };
  struct quotasim_event *take;
  struct quotasim_event *timeout;
  struct jc_quota_decision decision;

  if (owner == index || owner == G_MAXUINT || tries >= 2)
    {
      take_here (sim, instance, &request, &decision);
      quotasim_use_grant (sim, instance, &request, decision.granted);
      return;
    }
  sim->messages += 2;
  take = quotasim_schedule (sim, EVENT_TAKE, 0, NEAR_MAX_MS);
  take->instance = owner;
  take->incarnation = sim->instances[owner].incarnation;
  take->other = index;
  take->workspace = workspace;
  take->units = units;
  take->requested_ms = request.requested_ms;
  take->answered = g_rc_box_new0 (bool);
  timeout = quotasim_schedule (sim, EVENT_TIMEOUT, ANSWER_TIMEOUT_MS,
                               ANSWER_TIMEOUT_MS);
  timeout->instance = index;
  timeout->incarnation = instance->incarnation;
  timeout->other = owner;
  timeout->workspace = workspace;
  timeout->units = units;
  timeout->tries = tries;
  timeout->answered = g_rc_box_acquire (take->answered);
}

/* A caller's request for UNITS of WORKSPACE comes to instance INDEX.  */
void
quotasim_offer (struct quotasim *sim, unsigned int index,
                unsigned int workspace, double units)
{
  struct quotasim_instance *instance = &sim->instances[index];
  int64_t asked_ms;

  if (!quotasim_is_running (sim, instance))
    return;
  if (jc_quotacredit_take (instance->credits[workspace], units,
                           quotasim_clock_of (sim, instance), &asked_ms))
    run_request (sim, workspace, units);
  else
    quotasim_ask_owner (sim, index, workspace, units, 0);
}

void
quotasim_handle_take (struct quotasim *sim, struct quotasim_event *event)
{
  struct quotasim_instance *instance = &sim->instances[event->instance];
  struct jc_quota_decision decision;
  struct quotasim_event *grant;

  take_here (sim, instance, event, &decision);
  grant = quotasim_schedule (sim, EVENT_GRANT, 0, NEAR_MAX_MS);
  grant->instance = event->other;
  grant->incarnation = sim->instances[event->other].incarnation;
  grant->workspace = event->workspace;
  grant->units = event->units;
  grant->granted = decision.granted;
  grant->requested_ms = event->requested_ms;
  grant->answered = event->answered;
  event->answered = NULL;
}
