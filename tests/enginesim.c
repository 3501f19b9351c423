/* Simulation of engines and entry instances.  */

#include <math.h>
#include <string.h>

#include "tests/enginesim.h"

enum
{
  SLOTS = 64,
  CHUNK_TOKENS = 4096,
  EVENT_TOKENS = 8,
  LOAD_INTERVAL_MS = 100,
  FULL_LOAD_INTERVAL_MS = 500,
  CACHED_PARTS_MAX = 40,
  MS_PER_S = 1000
};

/* A request at an engine.  PREFILL_TOKENS of its prompt are left to prefill,
   after the first DEPTH tokens, from READY_AT on.  */
struct job
{
  const struct enginesim_kind *kind;
  struct enginesim_result *result;
  struct jc_engine_run *run;
  double arrived;
  unsigned int event_tokens;
  double prefill_tokens;
  double depth;
  double ready_at;
  unsigned int tokens_made;
  double last_event;
  bool late;
};

/* An engine.  Its current step ends at FREE_AT.  CACHED_PARTS is a ring of the
   shared parts cached last.  OWN_REQUESTS[i] is the number of requests that
   instance i has sent to it.  */
struct sim_engine
{
  struct jc_endpoint endpoint;
  char name[16];
  double slowdown;
  double free_at;
  GQueue jobs;
  uint64_t cached_parts[CACHED_PARTS_MAX];
  unsigned int cached_next;
  unsigned int own_requests[ENGINESIM_INSTANCES_MAX];
};

/* A request that arrived at INSTANCE.  */
struct arrival
{
  const struct enginesim_kind *kind;
  struct enginesim_result *result;
  unsigned int instance;
  uint64_t prefix;
  struct jc_demand demand;
  double arrived;
};

/* Whether INSTANCE of SIM is to report its loads, or those of its zone, before
   the next round.  */
struct watch
{
  bool due;
  bool zone_due;
};

/* VIEWS[i] is what instance i knows of the engines.  EVER_PREFILLED is the set
   of shared parts that some engine has prefilled.  */
struct sim
{
  const struct enginesim_plan *plan;
  struct enginesim_report *report;
  GRand *rand;
  struct sim_engine engines[ENGINESIM_ENGINES_MAX];
  GPtrArray *endpoints;
  struct jc_engines *views[ENGINESIM_INSTANCES_MAX];
  struct watch watches[ENGINESIM_INSTANCES_MAX];
  GHashTable *ever_prefilled;
};

static bool
cache_has (const struct sim_engine *engine, uint64_t part)
{
  for (unsigned int i = 0; i < CACHED_PARTS_MAX; i++)
    if (engine->cached_parts[i] == part)
      return true;
  return false;
}

/* Return whether ENGINE has cached PART, which it has from now on.  */
static bool
cache_lookup (struct sim_engine *engine, uint64_t part)
{
  if (cache_has (engine, part))
    return true;
  engine->cached_parts[engine->cached_next++ % CACHED_PARTS_MAX] = part;
  return false;
}

static void
job_end (struct sim_engine *engine, struct job *job, bool complete, double now)
{
  if (!complete)
    job->result->failed++;
  else if (job->late)
    job->result->late++;
  else
    job->result->on_time++;
  jc_engine_run_end (job->run,
                     complete ? JC_ENGINE_SERVED : JC_ENGINE_CALLER_LEFT,
                     (int64_t)now);
  g_queue_remove (&engine->jobs, job);
  g_free (job);
}

/* Count a token generated for JOB.  */
static void
job_token (struct job *job, double now)
{
  if (job->tokens_made == 0)
    {
      jc_engine_run_first_event (job->run, (int64_t)now);
      job->late = now - job->arrived > (double)job->kind->first_event_limit_ms;
      job->last_event = now;
    }
  job->tokens_made++;
  if (job->tokens_made % job->event_tokens != 0)
    return;
  job->late
      = job->late || now - job->last_event > (double)job->kind->gap_limit_ms;
  job->last_event = now;
}

/* Return the oldest job with prompt tokens to prefill at NOW.  */
static struct job *
next_prefill (const struct sim_engine *engine, double now)
{
  struct job *next = NULL;

  for (GList *item = engine->jobs.head; item != NULL; item = item->next)
    {
      struct job *job = item->data;

      if (job->prefill_tokens > 0 && job->ready_at <= now && next == NULL)
        next = job;
    }
  return next;
}

/* Simulate one step: a chunk of a prompt and a token for each running
   request.  */
static void
engine_step (struct sim_engine *engine, double now)
{
  struct job *prefilling = next_prefill (engine, now);
  unsigned int running = MIN (g_queue_get_length (&engine->jobs), SLOTS);
  double step_ms = 3.09 + 0.102 * running;
  unsigned int index = 0;

  if (prefilling != NULL)
    {
      double chunk = MIN (prefilling->prefill_tokens, CHUNK_TOKENS);

      step_ms += chunk / 56.9 + chunk * prefilling->depth * 0.165e-6;
      prefilling->depth += chunk;
      prefilling->prefill_tokens -= chunk;
    }
  engine->free_at = now + step_ms * engine->slowdown;
  for (GList *item = engine->jobs.head; item != NULL && index < SLOTS; index++)
    {
      struct job *job = item->data;

      item = item->next;
      if (engine->free_at - job->arrived > (double)job->kind->deadline_ms)
        {
          job_end (engine, job, false, engine->free_at);
          continue;
        }
      if (job->prefill_tokens > 0)
        continue;
      job_token (job, engine->free_at);
      if (job->tokens_made >= job->kind->answer_tokens)
        job_end (engine, job, true, engine->free_at);
    }
}

static struct sim_engine *
choose_engine (struct sim *sim, unsigned int instance, struct jc_demand *demand,
               int64_t now_ms)
{
  const struct enginesim_plan *plan = sim->plan;
  struct sim_engine *best = &sim->engines[0];
  GPtrArray *list;
  struct jc_endpoint *picked;

  if (plan->policy == ENGINESIM_RANDOM)
    return &sim->engines[g_rand_int_range (sim->rand, 0, (int)plan->engines)];
  if (plan->policy == ENGINESIM_FEWEST_OWN)
    {
      for (unsigned int i = 1; i < plan->engines; i++)
        if (sim->engines[i].own_requests[instance]
            < best->own_requests[instance])
          best = &sim->engines[i];
      return best;
    }
  list = g_ptr_array_copy (sim->endpoints, NULL, NULL);
  jc_engines_find_kept (sim->views[instance], list, demand, now_ms);
  jc_engines_filter (sim->views[instance], demand, list, now_ms);
  picked = jc_engines_pick (sim->views[instance], list, demand, now_ms);
  g_ptr_array_free (list, TRUE);
  return (struct sim_engine *)picked;
}

static void
fill_demand (const struct enginesim_kind *kind, uint64_t prefix,
             uint64_t suffix, struct jc_demand *demand)
{
  struct jc_request_info info = { .prompt_tokens = kind->prompt_tokens,
                                  .answer_tokens = kind->answer_tokens };

  if (kind->shared_tokens > 0)
    info.parts[info.parts_count++]
        = (struct jc_prompt_part){ .id = prefix,
                                   .tokens = kind->shared_tokens };
  info.parts[info.parts_count++] = (struct jc_prompt_part){
    .id = suffix, .tokens = kind->prompt_tokens - kind->shared_tokens
  };
  jc_demand_init (&info, demand);
  demand->first_event_limit_ms = kind->first_event_limit_ms;
  demand->gap_limit_ms = kind->gap_limit_ms;
  demand->time_left_ms = kind->deadline_ms;
  demand->priority = kind->priority;
}

/* Return the length of a prompt of KIND.  */
static unsigned int
draw_prompt_tokens (struct sim *sim, const struct enginesim_kind *kind)
{
  double normal = 0;

  if (kind->spread <= 0)
    return kind->prompt_tokens;
  for (unsigned int i = 0; i < 12; i++)
    normal += g_rand_double (sim->rand) - 0.5;
  return MAX (kind->shared_tokens + 1,
              (unsigned int)(kind->prompt_tokens
                             * exp (kind->spread * normal
                                    - kind->spread * kind->spread / 2)));
}

/* Have ENGINE copy what JOB, the request of ARRIVAL, shares from SOURCE.  */
static void
job_copy (struct sim *sim, struct job *job, const struct arrival *arrival,
          const struct sim_engine *source, double now)
{
  unsigned int tokens = arrival->kind->shared_tokens;

  job->ready_at = now + tokens * sim->plan->copy_ms_per_token;
  if (sim->plan->sources_lost || !cache_has (source, arrival->prefix))
    return;
  job->prefill_tokens -= tokens;
  job->depth = tokens;
  sim->report->copied_tokens += tokens;
}

/* Send the request of ARRIVAL to ENGINE.  */
static void
request_send (struct sim *sim, const struct arrival *arrival,
              struct sim_engine *engine, double now)
{
  const struct enginesim_kind *kind = arrival->kind;
  const struct jc_endpoint *source = jc_engines_copy_source (
      sim->views[arrival->instance], sim->endpoints, &engine->endpoint,
      &arrival->demand, (int64_t)now);
  struct job *job = g_new0 (struct job, 1);

  sim->report->arrivals[engine - sim->engines]++;
  job->kind = kind;
  job->result = arrival->result;
  job->arrived = arrival->arrived;
  job->event_tokens
      = sim->plan->event_tokens > 0 ? sim->plan->event_tokens : EVENT_TOKENS;
  job->prefill_tokens = arrival->demand.prompt_tokens;
  if (kind->shared_tokens > 0 && cache_lookup (engine, arrival->prefix))
    {
      job->prefill_tokens -= kind->shared_tokens;
      job->depth = kind->shared_tokens;
    }
  else if (kind->shared_tokens > 0 && source != NULL)
    job_copy (sim, job, arrival, (const struct sim_engine *)source, now);
  if (kind->shared_tokens > 0 && job->depth == 0
      && !g_hash_table_add (sim->ever_prefilled,
                            GUINT_TO_POINTER (arrival->prefix)))
    sim->report->duplicate_tokens += kind->shared_tokens;
  sim->report->prefilled_tokens += job->prefill_tokens;
  job->run = jc_engines_start (sim->views[arrival->instance], &engine->endpoint,
                               &arrival->demand, (int64_t)now);
  engine->own_requests[arrival->instance]++;
  g_queue_push_tail (&engine->jobs, job);
}

static void
request_arrive (struct sim *sim, unsigned int index, double now)
{
  const struct enginesim_kind *kind = &sim->plan->kinds[index];
  struct arrival arrival
      = { .kind = kind, .result = &sim->report->kinds[index], .arrived = now };
  struct enginesim_kind drawn = *kind;
  struct sim_engine *engine;

  arrival.instance = (unsigned int)g_rand_int_range (sim->rand, 0,
                                                     (int)sim->plan->instances);
  arrival.prefix = 1000 * (index + 1)
                   + (uint64_t)g_rand_int_range (sim->rand, 0,
                                                 (int)MAX (kind->prefixes, 1));
  arrival.result->requests++;
  drawn.prompt_tokens = draw_prompt_tokens (sim, kind);
  fill_demand (&drawn, arrival.prefix, g_rand_int (sim->rand) + 100000,
               &arrival.demand);
  arrival.demand.event_tokens = sim->plan->event_tokens;
  arrival.demand.copy_ms_per_token = sim->plan->copy_ms_per_token;
  engine = choose_engine (sim, arrival.instance, &arrival.demand, (int64_t)now);
  if (engine == NULL)
    arrival.result->refused++;
  else
    request_send (sim, &arrival, engine, now);
}

static unsigned int
instance_zone (const struct sim *sim, unsigned int instance)
{
  return instance % MAX (sim->plan->zones, 1);
}

static void
loads_set (const struct sim *sim, struct rpc_loads *loads, GArray *rows,
           GArray *parts)
{
  loads->rows.rows_val = (struct rpc_load *)rows->data;
  loads->rows.rows_len = rows->len;
  loads->parts.parts_val = (struct rpc_part_read *)parts->data;
  loads->parts.parts_len = sim->plan->unshared ? 0 : parts->len;
}

/* The first instance of ZONE sends the loads of the whole zone to the
   others.  */
static void
send_between_zones (struct sim *sim, unsigned int zone, int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_load));
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  struct rpc_loads loads = { .full = now_ms % FULL_LOAD_INTERVAL_MS == 0 };
  char name[16];

  jc_engines_collect_zone_loads (sim->views[zone], loads.full, now_ms, rows,
                                 parts);
  loads_set (sim, &loads, rows, parts);
  g_snprintf (name, sizeof name, "zone-%u", zone);
  for (unsigned int to = 0; to < sim->plan->instances; to++)
    if (instance_zone (sim, to) != zone)
      jc_engines_apply_zone_loads (sim->views[to], name, &loads, now_ms);
  g_array_free (rows, TRUE);
  g_array_free (parts, TRUE);
}

static void
send_in_zone (struct sim *sim, unsigned int from, int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_load));
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  struct rpc_loads loads = { .full = now_ms % FULL_LOAD_INTERVAL_MS == 0 };
  char name[16];

  jc_engines_collect_loads (sim->views[from], loads.full, now_ms, rows, parts);
  loads_set (sim, &loads, rows, parts);
  g_snprintf (name, sizeof name, "entry-%u", from);
  for (unsigned int to = 0; to < sim->plan->instances; to++)
    if (to != from && instance_zone (sim, to) == instance_zone (sim, from))
      jc_engines_apply_loads (sim->views[to], name, &loads, now_ms);
  g_array_free (rows, TRUE);
  g_array_free (parts, TRUE);
}

static void
exchange_loads (struct sim *sim, int64_t now_ms)
{
  for (unsigned int zone = 0; sim->plan->zones > 1 && zone < sim->plan->zones;
       zone++)
    send_between_zones (sim, zone, now_ms);
  for (unsigned int from = 0; from < sim->plan->instances; from++)
    send_in_zone (sim, from, now_ms);
}

/* Send the reports that the engine module asked for.  */
static void
report_early (struct sim *sim, int64_t now_ms)
{
  for (unsigned int i = 0; i < sim->plan->instances; i++)
    {
      unsigned int zone = instance_zone (sim, i);

      if (!sim->watches[i].due)
        continue;
      sim->watches[i].due = false;
      send_in_zone (sim, i, now_ms);
      if (i == zone)
        sim->watches[i].zone_due = true;
    }
  for (unsigned int zone = 0; zone < sim->plan->zones && !sim->plan->early_lost;
       zone++)
    if (sim->watches[zone].zone_due)
      {
        sim->watches[zone].zone_due = false;
        send_between_zones (sim, zone, now_ms);
      }
}

static void
on_reading (void *data, bool of_zone, int64_t now_ms)
{
  struct watch *watch = data;

  (void)now_ms;
  watch->due = watch->due || !of_zone;
  watch->zone_due = watch->zone_due || of_zone;
}

static void
sim_start (struct sim *sim)
{
  for (unsigned int i = 0; i < sim->plan->engines; i++)
    {
      struct sim_engine *engine = &sim->engines[i];

      g_snprintf (engine->name, sizeof engine->name, "e%u", i);
      engine->endpoint.name = engine->name;
      engine->endpoint.slots = SLOTS;
      engine->slowdown
          = sim->plan->slowdown[i] > 0 ? sim->plan->slowdown[i] : 1;
      g_queue_init (&engine->jobs);
      g_ptr_array_add (sim->endpoints, &engine->endpoint);
    }
  for (unsigned int i = 0; i < sim->plan->instances; i++)
    {
      sim->views[i] = jc_engines_new ();
      if (sim->plan->early)
        jc_engines_watch_reading (sim->views[i], on_reading, &sim->watches[i]);
    }
}

/* Run the simulation PLAN and fill REPORT.  Requests still running at the end
   are not counted.  */
void
enginesim_run (const struct enginesim_plan *plan,
               struct enginesim_report *report)
{
  struct sim sim = { .plan = plan,
                     .report = report,
                     .rand = g_rand_new_with_seed (plan->seed),
                     .endpoints = g_ptr_array_new (),
                     .ever_prefilled = g_hash_table_new (NULL, NULL) };

  int64_t interval_ms
      = plan->load_interval_ms > 0 ? plan->load_interval_ms : LOAD_INTERVAL_MS;

  memset (report, 0, sizeof *report);
  sim_start (&sim);
  for (int64_t now = 0; now < plan->duration_ms; now++)
    {
      for (unsigned int i = 0; i < plan->kinds_count; i++)
        if (g_rand_double (sim.rand) < plan->kinds[i].per_s / MS_PER_S)
          request_arrive (&sim, i, (double)now);
      for (unsigned int i = 0; i < plan->engines; i++)
        while (sim.engines[i].jobs.length > 0
               && sim.engines[i].free_at <= (double)now)
          engine_step (&sim.engines[i],
                       MAX (sim.engines[i].free_at, (double)now - 1));
      if (now % interval_ms == 0)
        exchange_loads (&sim, now);
      report_early (&sim, now);
    }
  for (unsigned int i = 0; i < plan->engines; i++)
    while (sim.engines[i].jobs.length > 0)
      {
        struct job *job = sim.engines[i].jobs.head->data;

        job->result->requests--;
        job->result->failed--;
        job_end (&sim.engines[i], job, false, (double)plan->duration_ms);
      }
  for (unsigned int i = 0; i < plan->instances; i++)
    jc_engines_free (sim.views[i]);
  g_hash_table_destroy (sim.ever_prefilled);
  g_ptr_array_free (sim.endpoints, TRUE);
  g_rand_free (sim.rand);
}
