/* Engines: what a request costs at one.  */

#include "serve/engineprivate.h"

/* Tokens that one event of a stream holds where nobody says.  */
#define EVENT_TOKENS 8.0
/* What a request's own reading counts at most against the limit, so that the
   longest prompts find a place too.  */
#define BUSY_BY_MAX 0.15
/* Weight of the time that a request's reading takes from each running one
   against its own time: a delay matters only where it makes an answer
   late.  */
#define OTHERS_WEIGHT 0.1
/* Weight of the time between the first event and the last: the caller reads
   along, so only pauses and the deadline matter much.  */
#define DECODE_WEIGHT 0.25
/* Weight of reading shared parts at one more engine: it takes memory from what
   is kept there, and later requests scatter too.  */
#define SCATTER_WEIGHT 3.0
/* What that weight lowers an engine's limit by at most, so that the largest
   shared parts find a second place too.  Of 0.12, 0.2, 0.3 and 0.5, tried as
   flat margins, this served most in test-engine/peak-of-shared-parts.  */
#define AGAIN_MOST 0.2
/* Time that an answer made late weighs: most of its worth is lost.  One that
   reaches its deadline weighs twice that.  */
#define LATE_MS 1000.0
/* The length of an answer is a guess, so it must fit into this part of the
   time that is left.  */
#define LEFT_PART 0.8
/* Time that a recent failure weighs against an endpoint.  */
#define FAILURE_MS 300.0
/* Part of the allowed pause from which on an engine is crowded: loads are told
   some time late.  */
#define CROWDED_PART 0.9
/* Tokens of a short answer: what a request waits for where all places are
   taken.  */
#define SHORT_ANSWER_TOKENS 4

/* Return what reading the tokens of DEMAND from READ on takes, as a number of
   plain tokens: those late in a long prompt take longer.  */
double
engine_reading (const struct jc_demand *demand, unsigned int read)
{
  double all = demand->prompt_tokens;
  double pairs = (all * all - (double)read * read) / 2;

  return all - read + pairs * PAIR_MS * PROMPT_TOKENS_A_MS;
}

double
engine_step_ms (const struct work *work)
{
  return (STEP_MS + STEP_RUNNING_MS * work->running) * work->pace;
}

/* Return the wait for a place where all SLOTS are taken, ms: requests ahead,
   each with the time of a step for every token of a short answer.  */
static double
slot_wait_ms (const struct work *work, unsigned int slots)
{
  double over = work->running - MAX (slots, 1) + 1;

  return over > 0 ? over * engine_step_ms (work) * SHORT_ANSWER_TOKENS : 0;
}

/* Return the time until ENDPOINT has read UNREAD tokens more and the first
   event is there, ms.  */
static double
first_ms (const struct work *work, const struct jc_endpoint *endpoint,
          double unread)
{
  double tokens = work->unread_tokens + unread;

  return tokens / PROMPT_TOKENS_A_MS * work->pace
         + tokens / CHUNK_TOKENS * engine_step_ms (work)
         + FIRST_EVENT_MS * work->pace + slot_wait_ms (work, endpoint->slots);
}

/* Return how many steps an engine makes for one event of DEMAND's answer.  */
static double
event_steps (const struct jc_demand *demand)
{
  return demand->event_tokens > 0 ? demand->event_tokens : EVENT_TOKENS;
}

/* Return the longest pause of a stream that runs while TOKENS are read, ms:
   between two of its events there are as many steps as an event has tokens,
   and each of them reads a chunk while there is any.  DEPTH is how many
   tokens come before the last chunks.  */
static double
pause_ms (const struct work *work, const struct jc_demand *demand,
          double tokens, double depth)
{
  double steps = event_steps (demand);
  double chunks = MIN (tokens / CHUNK_TOKENS, steps);
  double chunk_ms = CHUNK_TOKENS * (1 / PROMPT_TOKENS_A_MS + depth * PAIR_MS);

  return chunks * chunk_ms * work->pace + steps * engine_step_ms (work);
}

/* Return how many tokens of DEMAND come before the middle of the chunks that
   are read between two events of other streams, at the end of its reading.  */
static double
depth_of (const struct jc_demand *demand)
{
  double depth
      = demand->prompt_tokens - CHUNK_TOKENS * event_steps (demand) / 2;

  return MAX (depth, 0);
}

/* Return the time that the answer to DEMAND takes after its first event, ms:
   steps wait while prompts are read.  */
static double
decode_ms (const struct work *work, const struct jc_demand *demand)
{
  return demand->answer_tokens * engine_step_ms (work) / (1 - work->busy);
}

static double
plain_ms (const struct engine *engine, const struct work *work,
          const struct jc_endpoint *endpoint)
{
  double slots = MAX (endpoint->slots, 1);
  double over = work->running - slots + 1;

  return engine->plain_ms * (1 + (over > 0 ? over / slots : 0));
}

/* Return the time until the first event of DEMAND at ENDPOINT, or a plain
   request's answer, ms.  */
int64_t
jc_engines_first_event_ms (struct jc_engines *engines,
                           const struct jc_endpoint *endpoint,
                           const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = engine_work (engine, now_ms);

  if (demand->prompt_tokens == 0)
    return (int64_t)plain_ms (engine, &work, endpoint);
  return (int64_t)first_ms (
      &work, endpoint,
      engine_reading (demand, engine_tokens_read (engine, demand, now_ms)));
}

/* Return the time until the whole answer to DEMAND is there if it goes to
   ENDPOINT now, ms.  */
int64_t
jc_engines_answer_ms (struct jc_engines *engines,
                      const struct jc_endpoint *endpoint,
                      const struct jc_demand *demand, int64_t now_ms)
{
  struct work work = engine_work (engine_of (engines, endpoint->name), now_ms);
  int64_t first = jc_engines_first_event_ms (engines, endpoint, demand, now_ms);

  if (demand->prompt_tokens == 0)
    return first;
  return first + (int64_t)decode_ms (&work, demand);
}

/* Return what it costs that answers become late where a request of DEMAND
   with UNREAD tokens goes to an engine with WORK, ms: its own, and those of
   the streams that would pause for too long only because of it.  */
static double
lateness_ms (const struct work *work, const struct jc_demand *demand,
             double first, double unread)
{
  double gap = (double)demand->gap_limit_ms;
  double cost = 0;

  if (demand->first_event_limit_ms > 0
      && first > (double)demand->first_event_limit_ms)
    cost += LATE_MS;
  if (gap <= 0)
    return cost;
  if (pause_ms (work, demand, work->unread_tokens, 0) > gap)
    cost += LATE_MS / 2;
  else if (pause_ms (work, demand, work->unread_tokens + unread,
                     depth_of (demand))
           > gap)
    cost += work->running * LATE_MS / 4;
  return cost;
}

/* Return the part of an engine's time that reading UNREAD tokens adds.  */
static double
busy_by (double unread)
{
  return unread / PROMPT_TOKENS_A_MS / RATE_MS;
}

/* Return how many plain requests ENDPOINT serves in a second.  */
double
jc_engines_capacity_per_s (struct jc_engines *engines,
                           const struct jc_endpoint *endpoint)
{
  const struct engine *engine = engine_of (engines, endpoint->name);

  return MAX (endpoint->slots, 1) * MS_PER_S / MAX (engine->served_ms, 1);
}

/* Return the part of its time that ENDPOINT spends on reading prompts.  */
double
jc_engines_prefill_busy (struct jc_engines *engines,
                         const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return engine_work (engine_of (engines, endpoint->name), now_ms).busy;
}

/* Return how busy an engine may be for a request of DEMAND to go there.
   Streams that run pause while prompts are read: beyond a limit most of them
   end late, so the less urgent ones are refused before.  */
double
jc_demand_prefill_limit (const struct jc_demand *demand)
{
  static const double limits[] = { 0.97, 0.88, 0.72, 0.6 };

  return limits[MIN (demand->priority, G_N_ELEMENTS (limits) - 1)];
}

/* Return how many shared tokens of DEMAND ENGINE has not read.  */
static double
shared_unread (const struct engine *engine, const struct jc_demand *demand,
               int64_t now_ms)
{
  unsigned int shared = demand->parts_count > 1
                            ? demand->prefix_tokens[demand->parts_count - 2]
                            : 0;
  unsigned int read = engine_tokens_read (engine, demand, now_ms);

  return shared > read ? shared - read : 0;
}

/* Tell whether a request of DEMAND is worth sending to ENGINE: it is whole in
   time, and leaves time for what is more urgent.  HELD tells that some engine
   has read its shared parts; then another one must be less busy to read them
   again.  */
static bool
is_admitted (const struct engine *engine, const struct jc_endpoint *endpoint,
             const struct jc_demand *demand, bool held, int64_t now_ms)
{
  struct work work = engine_work (engine, now_ms);
  double unread
      = engine_reading (demand, engine_tokens_read (engine, demand, now_ms));
  double limit = jc_demand_prefill_limit (demand);
  double first;

  if (held)
    limit -= MIN (SCATTER_WEIGHT
                      * busy_by (shared_unread (engine, demand, now_ms)),
                  AGAIN_MOST);
  if (work.busy + MIN (busy_by (unread) * work.pace, BUSY_BY_MAX) > limit)
    return false;
  first = first_ms (&work, endpoint, unread);
  return demand->time_left_ms <= 0
         || first + decode_ms (&work, demand) <= (double)demand->time_left_ms;
}

/* Leave out those of ENDPOINTS that a request of DEMAND should not go to
   now.  */
void
jc_engines_filter (struct jc_engines *engines, const struct jc_demand *demand,
                   GPtrArray *endpoints, int64_t now_ms)
{
  bool held = false;

  if (demand->prompt_tokens == 0)
    return;
  for (guint i = 0; i < endpoints->len && !held; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      held = engine_has_shared (engine_of (engines, endpoint->name), demand,
                                now_ms);
    }
  for (guint i = endpoints->len; i > 0; i--)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i - 1);

      if (!is_admitted (engine_of (engines, endpoint->name), endpoint, demand,
                        held, now_ms))
        g_ptr_array_remove_index (endpoints, i - 1);
    }
}

/* Tell whether a request of DEMAND would make the streams at ENDPOINT pause
   for too long, with what is still to be read.  It is
   read as soon if it waits outside for its turn, and nobody pauses.  A long
   prompt has them pause by itself; it has engines of its own.  */
bool
jc_engines_would_stall (struct jc_engines *engines,
                        const struct jc_endpoint *endpoint,
                        const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = engine_work (engine, now_ms);
  double unread;

  if (demand->prompt_tokens == 0 || demand->gap_limit_ms == 0
      || work.running < 1 || engine_is_long (demand))
    return false;
  unread = engine_reading (demand, engine_tokens_read (engine, demand, now_ms));
  return pause_ms (&work, demand, work.unread_tokens + unread, 0)
         > (double)demand->gap_limit_ms * CROWDED_PART;
}

/* Return the cost of sending a request of DEMAND to ENDPOINT, ms: the time of
   its answer, what its reading takes from the requests that run there, what
   reading shared parts once more takes away later, and the endpoint's
   failures.  */
double
engine_cost_ms (struct jc_engines *engines, const struct jc_endpoint *endpoint,
                const struct jc_demand *demand,
                const struct jc_endpoint *meeting, int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = engine_work (engine, now_ms);
  double cost = engine_failures (engine, now_ms) * FAILURE_MS;
  double unread
      = engine_reading (demand, engine_tokens_read (engine, demand, now_ms));
  double first;
  double decode;

  if (demand->prompt_tokens == 0)
    return cost + plain_ms (engine, &work, endpoint);
  first = first_ms (&work, endpoint, unread);
  decode = decode_ms (&work, demand);
  cost += first + decode * DECODE_WEIGHT
          + lateness_ms (&work, demand, first, unread);
  if (demand->time_left_ms > 0
      && first + decode > (double)demand->time_left_ms * LEFT_PART)
    cost += 2 * LATE_MS;
  cost += unread / PROMPT_TOKENS_A_MS * work.running * OTHERS_WEIGHT;
  if (endpoint != meeting)
    cost += shared_unread (engine, demand, now_ms) / PROMPT_TOKENS_A_MS
            * SCATTER_WEIGHT;
  return cost;
}

/* Tell whether the prompt of DEMAND, read in one go by an engine that does
   little else, makes its streams pause for too long.  */
bool
engine_is_long (const struct jc_demand *demand)
{
  static const struct work light = { .running = 8, .pace = 1 };

  return demand->gap_limit_ms > 0
         && pause_ms (&light, demand, engine_reading (demand, 0),
                      depth_of (demand))
                > (double)demand->gap_limit_ms;
}

/* Write to OUT what the cost of a request of DEMAND at ENDPOINT rests on, as
   fields of a log line.  */
void
jc_engines_explain (struct jc_engines *engines,
                    const struct jc_endpoint *endpoint,
                    const struct jc_demand *demand, int64_t now_ms, char *out,
                    size_t size)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = engine_work (engine, now_ms);
  unsigned int read = engine_tokens_read (engine, demand, now_ms);
  double unread = engine_reading (demand, read);

  g_snprintf (
      out, size,
      "running=%.0f unread=%.0f busy=%.2f pace=%.2f failures=%.1f "
      "prompt=%u read=%u first=%.0f answer=%.0f pause=%.0f",
      work.running, work.unread_tokens, work.busy, work.pace,
      engine_failures (engine, now_ms), demand->prompt_tokens, read,
      first_ms (&work, endpoint, unread), decode_ms (&work, demand),
      pause_ms (&work, demand, work.unread_tokens + unread, depth_of (demand)));
}
