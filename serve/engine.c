/* Tracking of the requests at each engine.  */

#include <math.h>
#include <string.h>

#include "serve/engineprivate.h"

/* Upper bound on the estimated fraction of time an engine spends on
   prefill.  */
#define PREFILL_BUSY_MAX 0.95
/* Bounds of an engine's slowdown, and the weight of one measurement in its
   average.  */
#define SLOWDOWN_MIN 0.7
#define SLOWDOWN_MAX 8.0
#define SLOWDOWN_SAMPLE_WEIGHT 0.1
/* Prefills shorter than this say little about the slowdown.  */
#define SLOWDOWN_MIN_PREFILL_MS 30.0

enum
{
  /* Assumed duration of a plain request until it is measured.  */
  PLAIN_INITIAL_MS = 40,
  ENGINE_EXPIRE_MS = 120000,
  /* First and longest backoff of an endpoint that can't be reached.  */
  BACKOFF_MIN_MS = 500,
  BACKOFF_MAX_MS = 4000,
  /* Time in which the weight of a failure halves.  */
  FAILURE_HALF_LIFE_MS = 2000
};

/* PREFILL_TOKENS is the prefill work still counted until the first event.
   HAD_FREE_SLOT is true if the engine had a free slot when the request was
   sent.  */
struct jc_engine_run
{
  struct engine *engine;
  struct jc_demand demand;
  uint64_t prefill_tokens;
  double expected_first_event_ms;
  int64_t started_ms;
  bool first_event_seen;
  bool had_free_slot;
};

static void
engine_unref (gpointer data)
{
  struct engine *engine = data;

  if (--engine->refs > 0)
    return;
  g_hash_table_destroy (engine->prefixes);
  g_free (engine->peer_loads);
  g_free (engine->name);
  g_free (engine);
}

/* Return an empty table of engines.  */
struct jc_engines *
jc_engines_new (void)
{
  struct jc_engines *engines = g_new0 (struct jc_engines, 1);

  engines->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_unref);
  engines->by_tag = g_hash_table_new (g_int64_hash, g_int64_equal);
  engines->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  engines->prefix_updates
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  engines->zone_prefix_updates
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  return engines;
}

/* Free ENGINES, which may be NULL.  Runs may still end afterwards.  */
void
jc_engines_free (struct jc_engines *engines)
{
  if (engines == NULL)
    return;
  g_hash_table_destroy (engines->by_tag);
  g_hash_table_destroy (engines->by_name);
  g_hash_table_destroy (engines->peers);
  g_array_free (engines->prefix_updates, TRUE);
  g_array_free (engines->zone_prefix_updates, TRUE);
  g_free (engines);
}

/* Remove engines that have not been used for ENGINE_EXPIRE_MS.  */
void
jc_engines_expire (struct jc_engines *engines, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;

      if (now_ms - engine->last_used_ms <= ENGINE_EXPIRE_MS)
        continue;
      g_hash_table_remove (engines->by_tag, &engine->tag);
      g_hash_table_iter_remove (&iter);
    }
}

struct engine *
engine_get (struct jc_engines *engines, const char *name)
{
  struct engine *engine = g_hash_table_lookup (engines->by_name, name);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->name = g_strdup (name);
  engine->plain_latency_ms = PLAIN_INITIAL_MS;
  engine->plain_service_ms = PLAIN_INITIAL_MS;
  engine->slowdown = 1;
  engine->refs = 1;
  engine->prefixes = engine_prefixes_new ();
  engine->tag = jc_name_pair_hash (name, "");
  g_hash_table_insert (engines->by_name, engine->name, engine);
  g_hash_table_insert (engines->by_tag, &engine->tag, engine);
  return engine;
}

/* Set DEMAND from the parsed request INFO, without limits or priority.  */
void
jc_demand_init (const struct jc_request_info *info, struct jc_demand *demand)
{
  uint64_t hash = 0;
  unsigned int tokens = 0;

  memset (demand, 0, sizeof *demand);
  demand->prompt_tokens = info->prompt_tokens;
  demand->answer_tokens = info->answer_tokens;
  for (unsigned int i = 0; i < info->parts_count; i++)
    {
      hash = (hash ^ info->parts[i].id) * 0x9E3779B97F4A7C15U;
      hash ^= hash >> 29;
      tokens = (unsigned int)MIN ((uint64_t)tokens + info->parts[i].tokens,
                                  info->prompt_tokens);
      demand->prefix_hash[i] = hash;
      demand->prefix_tokens[i] = tokens;
    }
  demand->parts_count = info->parts_count;
}

/* Return the number of failures of ENGINE, each decaying with
   FAILURE_HALF_LIFE_MS.  */
double
engine_recent_failures (const struct engine *engine, int64_t now_ms)
{
  double age = (double)(now_ms - engine->failures_ms);

  return engine->failures * exp2 (-age / FAILURE_HALF_LIFE_MS);
}

/* Return RATE, in tokens per second, after AGE_MS without new tokens.  */
double
engine_decayed_rate (double rate, int64_t age_ms)
{
  return rate * exp (-(double)age_ms / PREFILL_RATE_WINDOW_MS);
}

/* Have ENGINE included in the next load messages of this instance and of its
   zone.  */
static void
engine_mark_changed (struct engine *engine)
{
  engine->changed = true;
  engine->zone_changed = true;
}

/* Return the average tokens per second that this instance has lately sent
   ENGINE to prefill.  */
double
engine_prefill_rate (const struct engine *engine, int64_t now_ms)
{
  return engine_decayed_rate (engine->prefill_rate,
                              now_ms - engine->prefill_rate_ms);
}

static void
prefill_rate_add (struct engine *engine, uint64_t tokens, int64_t now_ms)
{
  engine->prefill_rate = engine_prefill_rate (engine, now_ms)
                         + (double)tokens * MS_PER_S / PREFILL_RATE_WINDOW_MS;
  engine->prefill_rate_ms = now_ms;
}

/* Return the load of ENGINE, summed over all instances.  The number of requests
   that the engine itself reported is used only if no peer sends loads.  */
struct load
engine_load (const struct engine *engine, int64_t now_ms)
{
  struct load load = { .running = engine->running,
                       .unread_tokens = (double)engine->unread_tokens,
                       .prefill_busy = engine_prefill_rate (engine, now_ms),
                       .slowdown = engine->slowdown };
  bool has_peer_loads = false;

  for (unsigned int i = 0; i < engine->peer_loads_count; i++)
    {
      const struct peer_load *peer_load = &engine->peer_loads[i];

      if (now_ms - peer_load->peer->heard_ms >= LOAD_MAX_AGE_MS)
        continue;
      has_peer_loads = true;
      load.running += peer_load->reported.running;
      load.unread_tokens += peer_load->reported.unread_tokens;
      load.prefill_busy += engine_decayed_rate (
          peer_load->reported.tokens_per_s, now_ms - peer_load->reported_ms);
    }
  if (!has_peer_loads && now_ms - engine->reported_ms < LOAD_MAX_AGE_MS)
    load.running = MAX (load.running, engine->reported_requests);
  load.prefill_busy = MIN (load.prefill_busy * load.slowdown
                               / (PREFILL_TOKENS_PER_MS * MS_PER_S),
                           PREFILL_BUSY_MAX);
  return load;
}

/* Return the requests that are at ENDPOINT, or wait there.  */
unsigned int
jc_engines_running (struct jc_engines *engines,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return (unsigned int)engine_load (engine_get (engines, endpoint->name),
                                    now_ms)
      .running;
}

/* Return the time to RUN's first event at data sheet speed, ms.  */
static double
run_expected_first_event_ms (const struct jc_engine_run *run, int64_t now_ms)
{
  struct load load = engine_load (run->engine, now_ms);
  double tokens = load.unread_tokens + (double)run->prefill_tokens;

  load.slowdown = 1;
  return tokens / PREFILL_TOKENS_PER_MS
         + tokens / PREFILL_CHUNK_TOKENS * engine_step_ms (&load);
}

/* Update the slowdown of RUN's engine from the time that the first event
   took.  */
static void
learn_slowdown (const struct jc_engine_run *run, int64_t now_ms)
{
  struct engine *engine = run->engine;
  double elapsed_ms = (double)(now_ms - run->started_ms) - FIRST_EVENT_DELAY_MS;
  double sample = CLAMP (elapsed_ms / run->expected_first_event_ms,
                         SLOWDOWN_MIN, SLOWDOWN_MAX);

  if (run->expected_first_event_ms >= SLOWDOWN_MIN_PREFILL_MS)
    engine->slowdown += (sample - engine->slowdown) * SLOWDOWN_SAMPLE_WEIGHT;
}

/* Count a request with DEMAND as sent to ENDPOINT.  Return its run, which
   jc_engine_run_end frees.  */
struct jc_engine_run *
jc_engines_start (struct jc_engines *engines,
                  const struct jc_endpoint *endpoint,
                  const struct jc_demand *demand, int64_t now_ms)
{
  struct jc_engine_run *run = g_new0 (struct jc_engine_run, 1);
  struct engine *engine = engine_get (engines, endpoint->name);

  run->engine = engine;
  run->demand = *demand;
  run->started_ms = now_ms;
  run->prefill_tokens = (uint64_t)engine_prefill_tokens (
      demand, engine_ready_tokens (engine, demand, now_ms));
  run->expected_first_event_ms = run_expected_first_event_ms (run, now_ms)
                                 + engine_copy_ms (engine, demand, now_ms);
  run->had_free_slot = engine_load (engine, now_ms).running < endpoint->slots;
  engine->refs++;
  engine_mark_changed (engine);
  engine->running++;
  engine->unread_tokens += run->prefill_tokens;
  engine->last_used_ms = now_ms;
  prefill_rate_add (engine, run->prefill_tokens, now_ms);
  engine_prefixes_note_sent (engines, engine, demand, now_ms);
  engine_note_reading (engines, demand, run->prefill_tokens, now_ms);
  return run;
}

/* Note that the first event of RUN arrived, so its prefill is done.  Later
   calls have no effect.  */
void
jc_engine_run_first_event (struct jc_engine_run *run, int64_t now_ms)
{
  if (run->first_event_seen)
    return;
  run->first_event_seen = true;
  learn_slowdown (run, now_ms);
  run->engine->unread_tokens -= run->prefill_tokens;
  engine_mark_changed (run->engine);
  run->engine->backoff_ms = 0;
  engine_prefixes_touch (run->engine, &run->demand, now_ms);
}

/* Note the load given in the answer to RUN: its endpoint runs RUNNING requests
   and has QUEUED more.  */
void
jc_engine_run_note_load (struct jc_engine_run *run, unsigned int running,
                         unsigned int queued, int64_t now_ms)
{
  run->engine->reported_requests = running + queued;
  run->engine->reported_ms = now_ms;
}

/* Note that the answer to RUN tells that work takes PERCENT of the usual time
   at its endpoint.  */
void
jc_engine_run_note_work (struct jc_engine_run *run, unsigned int percent,
                         int64_t now_ms)
{
  jc_workpace_note (&run->engine->workpace, percent, now_ms);
}
static void
note_failure (struct engine *engine, int64_t now_ms)
{
  engine->failures = engine_recent_failures (engine, now_ms) + 1;
  engine->failures_ms = now_ms;
}

static void
start_backoff (struct engine *engine, int64_t now_ms)
{
  engine->backoff_ms
      = CLAMP (2 * engine->backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  engine->backoff_until_ms = now_ms + engine->backoff_ms;
}

/* Return whether the engine NAME gets nothing because it could not be
   reached.  */
bool
jc_engines_in_backoff (struct jc_engines *engines, const char *name,
                       int64_t now_ms)
{
  return engine_get (engines, name)->backoff_until_ms > now_ms;
}

/* End the backoff of the engine NAME, which can be reached again.  */
void
jc_engines_end_backoff (struct jc_engines *engines, const char *name)
{
  struct engine *engine = engine_get (engines, name);

  engine->backoff_ms = 0;
  engine->backoff_until_ms = 0;
}

/* End RUN with OUTCOME and free it.  */
void
jc_engine_run_end (struct jc_engine_run *run, enum jc_engine_outcome outcome,
                   int64_t now_ms)
{
  struct engine *engine = run->engine;

  if (!run->first_event_seen)
    engine->unread_tokens -= run->prefill_tokens;
  engine->running--;
  engine_mark_changed (engine);
  if (outcome == JC_ENGINE_SERVED)
    {
      engine->backoff_ms = 0;
      if (run->demand.prompt_tokens == 0)
        {
          double elapsed_ms = (double)(now_ms - run->started_ms);

          engine->plain_latency_ms
              += (elapsed_ms - engine->plain_latency_ms) / 8;
          if (run->had_free_slot)
            engine->plain_service_ms
                += (elapsed_ms - engine->plain_service_ms) / 8;
        }
    }
  else if (outcome == JC_ENGINE_UNREACHABLE)
    start_backoff (engine, now_ms);
  else if (outcome == JC_ENGINE_FAILED || outcome == JC_ENGINE_REFUSED)
    note_failure (engine, now_ms);
  engine_unref (engine);
  g_free (run);
}
