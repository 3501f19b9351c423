/* Cost of a request at an engine.  */

#include "serve/engineprivate.h"

/* Tokens per event of a stream if the request does not give them.  */
#define EVENT_TOKENS_DEFAULT 8.0
/* Upper bound on what a request's own prefill counts against the limit, so that
   the longest prompts can be admitted too.  */
#define OWN_PREFILL_SHARE_MAX 0.15
/* Weight of the time that a request's prefill delays each running request,
   relative to its own time: a delay matters only if it makes an answer
   late.  */
#define DELAY_OTHERS_WEIGHT 0.1
/* Weight of the time between the first and the last event: the caller reads as
   the answer arrives, so mainly gaps and the deadline matter.  */
#define DECODE_WEIGHT 0.25
/* Weight of prefilling shared parts at one more engine: it evicts other parts
   from that engine's cache, and later requests with the same prefix are then
   spread over more engines.  */
#define DUPLICATE_PREFILL_WEIGHT 3.0
/* Upper bound on how far a duplicate prefill lowers an engine's limit, so that
   the largest shared parts can still get a second engine.  */
#define DUPLICATE_PREFILL_MARGIN_MAX 0.2
/* Cost of a late answer, which has lost most of its value.  Missing the
   deadline costs twice as much.  */
#define LATE_COST_MS 1000.0
/* Fraction of the time left that the answer must fit into, since its length is
   an estimate.  */
#define TIME_LEFT_USABLE 0.8
/* Cost of a recent failure of an endpoint.  */
#define FAILURE_COST_MS 300.0
/* Fraction of the allowed gap above which an engine counts as stalling its
   streams: known loads lag behind.  */
#define STALL_GAP_FRACTION 0.9
/* Tokens of a short answer, as assumed for the wait when all slots are
   taken.  */
#define SHORT_ANSWER_TOKENS 4

/* Return the work of prefilling the prompt of DEMAND after its first CACHED
   tokens, in tokens at the plain prefill rate: tokens late in a long prompt
   take longer.  */
double
engine_prefill_tokens (const struct jc_demand *demand, unsigned int cached)
{
  double all = demand->prompt_tokens;
  double pairs = (all * all - (double)cached * cached) / 2;

  return all - cached + pairs * ATTENTION_PAIR_MS * PREFILL_TOKENS_PER_MS;
}

double
engine_step_ms (const struct load *load)
{
  return (DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS * load->running)
         * load->slowdown;
}

/* Return the wait for a slot if all SLOTS are taken, ms: each request ahead
   takes the steps of a short answer.  */
static double
slot_wait_ms (const struct load *load, unsigned int slots)
{
  double excess = load->running - MAX (slots, 1) + 1;

  return excess > 0 ? excess * engine_step_ms (load) * SHORT_ANSWER_TOKENS : 0;
}

/* Return the time until ENDPOINT has prefilled PREFILL_TOKENS more and sends
   the first event, ms.  */
static double
first_event_ms (const struct load *load, const struct jc_endpoint *endpoint,
                double prefill_tokens)
{
  double tokens = load->unread_tokens + prefill_tokens;

  return tokens / PREFILL_TOKENS_PER_MS * load->slowdown
         + tokens / PREFILL_CHUNK_TOKENS * engine_step_ms (load)
         + FIRST_EVENT_DELAY_MS * load->slowdown
         + slot_wait_ms (load, endpoint->slots);
}

/* Return the number of engine steps per event of DEMAND's answer.  */
static double
steps_per_event (const struct jc_demand *demand)
{
  return demand->event_tokens > 0 ? demand->event_tokens : EVENT_TOKENS_DEFAULT;
}

/* Return the longest gap between two events of a stream that runs while TOKENS
   are prefilled, ms: there are as many steps between two events as an event has
   tokens, and each of them prefills a chunk while any is left.  DEPTH is the
   number of tokens before the last chunks.  */
static double
stream_gap_ms (const struct load *load, const struct jc_demand *demand,
               double tokens, double depth)
{
  double steps = steps_per_event (demand);
  double chunks = MIN (tokens / PREFILL_CHUNK_TOKENS, steps);
  double chunk_ms = PREFILL_CHUNK_TOKENS
                    * (1 / PREFILL_TOKENS_PER_MS + depth * ATTENTION_PAIR_MS);

  return chunks * chunk_ms * load->slowdown + steps * engine_step_ms (load);
}

/* Return the number of prompt tokens before the middle of the last chunks of
   DEMAND's prefill, those that fall between two events of other streams.  */
static double
prefill_depth (const struct jc_demand *demand)
{
  double depth = demand->prompt_tokens
                 - PREFILL_CHUNK_TOKENS * steps_per_event (demand) / 2;

  return MAX (depth, 0);
}

/* Return the time from the first event to the end of the answer to DEMAND, ms:
   steps take longer while prompts are prefilled.  */
static double
decode_ms (const struct load *load, const struct jc_demand *demand)
{
  return demand->answer_tokens * engine_step_ms (load)
         / (1 - load->prefill_busy);
}

static double
plain_answer_ms (const struct engine *engine, const struct load *load,
                 const struct jc_endpoint *endpoint)
{
  double slots = MAX (endpoint->slots, 1);
  double excess = load->running - slots + 1;

  return engine->plain_latency_ms * (1 + (excess > 0 ? excess / slots : 0));
}

/* Return the time until the first event of DEMAND at ENDPOINT, ms; for a plain
   request, until its answer.  */
int64_t
jc_engines_first_event_ms (struct jc_engines *engines,
                           const struct jc_endpoint *endpoint,
                           const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_get (engines, endpoint->name);
  struct load load = engine_load (engine, now_ms);

  if (demand->prompt_tokens == 0)
    return (int64_t)plain_answer_ms (engine, &load, endpoint);
  return (int64_t)first_event_ms (
      &load, endpoint,
      engine_prefill_tokens (demand,
                             engine_ready_tokens (engine, demand, now_ms)));
}

/* Return the time until the complete answer to DEMAND if it is sent to ENDPOINT
   now, ms.  */
int64_t
jc_engines_answer_ms (struct jc_engines *engines,
                      const struct jc_endpoint *endpoint,
                      const struct jc_demand *demand, int64_t now_ms)
{
  struct load load = engine_load (engine_get (engines, endpoint->name), now_ms);
  int64_t first = jc_engines_first_event_ms (engines, endpoint, demand, now_ms);

  if (demand->prompt_tokens == 0)
    return first;
  return first + (int64_t)decode_ms (&load, demand);
}

/* Return the cost of late answers if a request with DEMAND is sent to an engine
   with LOAD, ms.  Its own answer may be late, and so may the engine's other
   streams if their gaps become too long only because of it.  The request has
   PREFILL_TOKENS to prefill and gets its first event after FIRST_MS.  */
static double
lateness_cost_ms (const struct load *load, const struct jc_demand *demand,
                  double first_ms, double prefill_tokens)
{
  double gap = (double)demand->gap_limit_ms;
  double cost = 0;

  if (demand->first_event_limit_ms > 0
      && first_ms > (double)demand->first_event_limit_ms)
    cost += LATE_COST_MS;
  if (gap <= 0)
    return cost;
  if (stream_gap_ms (load, demand, load->unread_tokens, 0) > gap)
    cost += LATE_COST_MS / 2;
  else if (stream_gap_ms (load, demand, load->unread_tokens + prefill_tokens,
                          prefill_depth (demand))
           > gap)
    cost += load->running * LATE_COST_MS / 4;
  return cost;
}

/* Return the fraction of PREFILL_RATE_WINDOW_MS that an engine takes to prefill
   PREFILL_TOKENS.  */
static double
prefill_share (double prefill_tokens)
{
  return prefill_tokens / PREFILL_TOKENS_PER_MS / PREFILL_RATE_WINDOW_MS;
}

/* Return the number of plain requests that ENDPOINT serves per second.  */
double
jc_engines_capacity_per_s (struct jc_engines *engines,
                           const struct jc_endpoint *endpoint)
{
  const struct engine *engine = engine_get (engines, endpoint->name);

  return MAX (endpoint->slots, 1) * MS_PER_S
         / MAX (engine->plain_service_ms, 1);
}

/* Return the fraction of its time that ENDPOINT spends on prefill.  */
double
jc_engines_prefill_busy (struct jc_engines *engines,
                         const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return engine_load (engine_get (engines, endpoint->name), now_ms)
      .prefill_busy;
}

/* Return the prefill fraction up to which an engine takes requests with DEMAND.
   Running streams pause during prefill: beyond a limit most of them end late,
   so less urgent requests are refused earlier.  */
double
jc_demand_prefill_limit (const struct jc_demand *demand)
{
  static const double limits[] = { 0.97, 0.88, 0.72, 0.6 };

  return limits[MIN (demand->priority, G_N_ELEMENTS (limits) - 1)];
}

/* Return the number of shared tokens of DEMAND that ENGINE has not cached.  */
static double
uncached_shared_tokens (const struct engine *engine,
                        const struct jc_demand *demand, int64_t now_ms)
{
  unsigned int shared = demand->parts_count > 1
                            ? demand->prefix_tokens[demand->parts_count - 2]
                            : 0;
  unsigned int ready = engine_ready_tokens (engine, demand, now_ms);

  return shared > ready ? shared - ready : 0;
}

/* Return true if a request with DEMAND should be sent to ENGINE: its answer
   completes in time, and it leaves capacity for more urgent ones.
   PREFIX_CACHED is true if some engine has cached its shared parts; an engine
   that would prefill them again must then be less busy.  */
static bool
is_admissible (const struct engine *engine, const struct jc_endpoint *endpoint,
               const struct jc_demand *demand, bool prefix_cached,
               int64_t now_ms)
{
  struct load load = engine_load (engine, now_ms);
  double prefill_tokens = engine_prefill_tokens (
      demand, engine_ready_tokens (engine, demand, now_ms));
  double limit = jc_demand_prefill_limit (demand);
  double first;

  if (prefix_cached)
    limit -= MIN (
        DUPLICATE_PREFILL_WEIGHT
            * prefill_share (uncached_shared_tokens (engine, demand, now_ms)),
        DUPLICATE_PREFILL_MARGIN_MAX);
  if (load.prefill_busy
          + MIN (prefill_share (prefill_tokens) * load.slowdown,
                 OWN_PREFILL_SHARE_MAX)
      > limit)
    return false;
  first = first_event_ms (&load, endpoint, prefill_tokens)
          + engine_copy_ms (engine, demand, now_ms);
  return demand->time_left_ms <= 0
         || first + decode_ms (&load, demand) <= (double)demand->time_left_ms;
}

/* Remove from ENDPOINTS those that a request with DEMAND should not be sent to
   now.  Plain requests may go to any.  */
void
jc_engines_filter (struct jc_engines *engines, const struct jc_demand *demand,
                   GPtrArray *endpoints, int64_t now_ms)
{
  bool prefix_cached = false;

  if (demand->prompt_tokens == 0)
    return;
  for (guint i = 0; i < endpoints->len && !prefix_cached; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      prefix_cached = engine_has_shared_prefix (
          engine_get (engines, endpoint->name), demand, now_ms);
    }
  for (guint i = endpoints->len; i > 0; i--)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i - 1);

      if (!is_admissible (engine_get (engines, endpoint->name), endpoint,
                          demand, prefix_cached, now_ms))
        g_ptr_array_remove_index (endpoints, i - 1);
    }
}

/* Return true if a request with DEMAND, on top of the pending prefill, would
   make the gaps of the streams at ENDPOINT too long.  It can then wait in the
   gateway's queue: its prefill starts no later, and no stream is delayed.
   Return false for long prompts, which cause such gaps in any case and have
   engines of their own.  */
bool
jc_engines_would_stall (struct jc_engines *engines,
                        const struct jc_endpoint *endpoint,
                        const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_get (engines, endpoint->name);
  struct load load = engine_load (engine, now_ms);
  double prefill_tokens;

  if (demand->prompt_tokens == 0 || demand->gap_limit_ms == 0
      || load.running < 1 || demand_is_long (demand))
    return false;
  prefill_tokens = engine_prefill_tokens (
      demand, engine_ready_tokens (engine, demand, now_ms));
  return stream_gap_ms (&load, demand, load.unread_tokens + prefill_tokens, 0)
         > (double)demand->gap_limit_ms * STALL_GAP_FRACTION;
}

/* Return the cost of sending a request with DEMAND to ENDPOINT, ms: the time of
   its answer, the delay of requests that run there, the later cost of
   prefilling shared parts once more, and the endpoint's failures.  AFFINITY, if
   not NULL, is the endpoint that the request's shared parts are assigned
   to.  */
double
engine_cost_ms (struct jc_engines *engines, const struct jc_endpoint *endpoint,
                const struct jc_demand *demand,
                const struct jc_endpoint *affinity, int64_t now_ms)
{
  const struct engine *engine = engine_get (engines, endpoint->name);
  struct load load = engine_load (engine, now_ms);
  double cost = engine_recent_failures (engine, now_ms) * FAILURE_COST_MS;
  double prefill_tokens = engine_prefill_tokens (
      demand, engine_ready_tokens (engine, demand, now_ms));
  double first;
  double decode;

  if (demand->prompt_tokens == 0)
    return cost + plain_answer_ms (engine, &load, endpoint);
  first = first_event_ms (&load, endpoint, prefill_tokens)
          + engine_copy_ms (engine, demand, now_ms);
  decode = decode_ms (&load, demand);
  cost += first + decode * DECODE_WEIGHT
          + lateness_cost_ms (&load, demand, first, prefill_tokens);
  if (demand->time_left_ms > 0
      && first + decode > (double)demand->time_left_ms * TIME_LEFT_USABLE)
    cost += 2 * LATE_COST_MS;
  cost += prefill_tokens / PREFILL_TOKENS_PER_MS * load.running
          * DELAY_OTHERS_WEIGHT;
  if (endpoint != affinity)
    cost += (uncached_shared_tokens (engine, demand, now_ms)
                 / PREFILL_TOKENS_PER_MS
             + engine_copy_ms (engine, demand, now_ms))
            * DUPLICATE_PREFILL_WEIGHT;
  return cost;
}

/* Return true if the prompt of DEMAND, prefilled without a pause by a lightly
   loaded engine, makes the gaps of its other streams too long.  */
bool
demand_is_long (const struct jc_demand *demand)
{
  static const struct load lightly_loaded = { .running = 8, .slowdown = 1 };

  return demand->gap_limit_ms > 0
         && stream_gap_ms (&lightly_loaded, demand,
                           engine_prefill_tokens (demand, 0),
                           prefill_depth (demand))
                > (double)demand->gap_limit_ms;
}

/* Write to OUT the values that the cost of a request with DEMAND at ENDPOINT is
   computed from, as fields of a log line.  */
void
jc_engines_explain (struct jc_engines *engines,
                    const struct jc_endpoint *endpoint,
                    const struct jc_demand *demand, int64_t now_ms, char *out,
                    size_t size)
{
  const struct engine *engine = engine_get (engines, endpoint->name);
  struct load load = engine_load (engine, now_ms);
  unsigned int ready = engine_ready_tokens (engine, demand, now_ms);
  double prefill_tokens = engine_prefill_tokens (demand, ready);

  g_snprintf (out, size,
              "running=%.0f unread=%.0f busy=%.2f pace=%.2f failures=%.1f "
              "prompt=%u read=%u copied=%u first=%.0f answer=%.0f pause=%.0f "
              "work=%.0f",
              load.running, load.unread_tokens, load.prefill_busy,
              load.slowdown, engine_recent_failures (engine, now_ms),
              demand->prompt_tokens, ready,
              engine_copied_tokens (engine, demand, now_ms),
              first_event_ms (&load, endpoint, prefill_tokens),
              decode_ms (&load, demand),
              stream_gap_ms (&load, demand, load.unread_tokens + prefill_tokens,
                             prefill_depth (demand)),
              jc_workpace_at (&engine->workpace, now_ms));
}
