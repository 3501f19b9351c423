/* Engines.  */

#include <math.h>
#include <string.h>

#include "serve/engine.h"

/* Figures of the deployments' engines, from their data sheet: prompt tokens
   read in a ms, what each pair of a token with one before it adds to that,
   time of a step and what each running request adds to it, ms, and the time
   from the end of the reading to the first event.  */
#define PROMPT_TOKENS_A_MS 56.9
#define PAIR_MS 0.165e-6
#define STEP_MS 3.09
#define STEP_RUNNING_MS 0.102
#define FIRST_EVENT_MS 16.0
/* Tokens that one event of a stream holds where nobody says.  */
#define EVENT_TOKENS 8.0
/* Part of the engines at which long prompts gather: those that make streams
   beside them pause for too long.  They are a seventh of all reading.  */
#define GATHER_PART 0.12
/* Time that it weighs to go to the other part of the engines.  */
#define GATHER_MS 400.0
/* Prompt tokens that are read in one step, between two tokens of each running
   request.  */
#define CHUNK_TOKENS 4096.0
/* No engine is taken to spend more of its time on reading than this.  */
#define BUSY_MAX 0.95
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
/* Time that an answer made late weighs: most of its worth is lost.  One that
   reaches its deadline weighs twice that.  */
#define LATE_MS 1000.0
/* The length of an answer is a guess, so it must fit into this part of the
   time that is left.  */
#define LEFT_PART 0.8
/* An engine's pace against the data sheet: bounds, and the weight of one
   measurement.  */
#define PACE_LEAST 0.7
#define PACE_MOST 8.0
#define PACE_WEIGHT 0.1
/* Readings shorter than this say little of the pace.  */
#define PACE_READ_MS 30.0

enum
{
  /* A plain request's usual time, until it is measured.  */
  PLAIN_MS = 40,
  /* Reports of load older than this say nothing.  */
  LOAD_FRESH_MS = 1000,
  /* What an engine read may be gone after this long without use.  */
  PART_KEPT_MS = 20000,
  PARTS_MAX = 2048,
  ENGINE_KEPT_MS = 120000,
  /* Rest of an endpoint that can't be reached: first and longest.  */
  REST_MS = 500,
  REST_MAX_MS = 4000,
  /* A failure weighs this much more time against an endpoint, and half of
     that after FAILURE_HALF_MS.  */
  FAILURE_MS = 300,
  FAILURE_HALF_MS = 2000,
  /* Time over which the rate of tokens is averaged.  */
  RATE_MS = 1500,
  INSTANCES_MAX = 32,
  /* Engines that one request compares, beside the one where its shared parts
     meet: all instances see the same load some time late, and would go to the
     same engine.  */
  COMPARED = 8,
  MS_PER_S = 1000
};

/* What another instance has at an engine, as it told at HEARD_MS.  */
struct share
{
  uint64_t instance;
  struct rpc_load said;
  int64_t heard_ms;
};

struct engine
{
  char *name;
  unsigned int running;
  uint64_t unread_tokens;
  double rate;
  int64_t rate_ms;
  unsigned int reported;
  int64_t reported_ms;
  double plain_ms;
  double pace;
  double failures;
  int64_t failures_ms;
  int64_t rest_ms;
  int64_t rest_until_ms;
  int64_t used_ms;
  unsigned int holders;
  GHashTable *parts;
  struct share shares[INSTANCES_MAX];
  unsigned int shares_count;
};

/* Work at an engine, of all instances.  BUSY is the part of its time that
   it reads prompts, PACE how many times the data sheet's times it takes.  */
struct work
{
  double running;
  double unread_tokens;
  double busy;
  double pace;
};

struct jc_engines
{
  GHashTable *by_name;
};

struct jc_engine_run
{
  struct engine *engine;
  struct jc_demand demand;
  uint64_t unread;
  double expected_ms;
  int64_t started_ms;
  bool begun;
};

static void
engine_release (gpointer data)
{
  struct engine *engine = data;

  if (--engine->holders > 0)
    return;
  g_hash_table_destroy (engine->parts);
  g_free (engine->name);
  g_free (engine);
}

/* Return a table without engines.  */
struct jc_engines *
jc_engines_new (void)
{
  struct jc_engines *engines = g_new0 (struct jc_engines, 1);

  engines->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_release);
  return engines;
}

/* Free ENGINES.  Runs may still end afterwards.  */
void
jc_engines_free (struct jc_engines *engines)
{
  if (engines == NULL)
    return;
  g_hash_table_destroy (engines->by_name);
  g_free (engines);
}

/* Forget engines that nothing was sent to for long.  */
void
jc_engines_expire (struct jc_engines *engines, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct engine *)value)->used_ms > ENGINE_KEPT_MS)
      g_hash_table_iter_remove (&iter);
}

static struct engine *
engine_of (struct jc_engines *engines, const char *name)
{
  struct engine *engine = g_hash_table_lookup (engines->by_name, name);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->name = g_strdup (name);
  engine->plain_ms = PLAIN_MS;
  engine->pace = 1;
  engine->holders = 1;
  engine->parts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (engines->by_name, engine->name, engine);
  return engine;
}

/* Fill DEMAND from what a caller asks.  */
void
jc_demand_of (const struct jc_ask *ask, struct jc_demand *demand)
{
  uint64_t hash = 0;
  unsigned int tokens = 0;

  memset (demand, 0, sizeof *demand);
  demand->prompt_tokens = ask->prompt_tokens;
  demand->answer_tokens = ask->answer_tokens;
  for (unsigned int i = 0; i < ask->parts_count; i++)
    {
      hash = (hash ^ ask->parts[i].id) * 0x9E3779B97F4A7C15U;
      hash ^= hash >> 29;
      tokens += ask->parts[i].tokens;
      demand->chain[i] = hash;
      demand->tokens[i] = tokens;
    }
  demand->parts = ask->parts_count;
}

/* Return what reading the tokens of DEMAND from READ on takes, as a number of
   plain tokens: those late in a long prompt take longer.  */
static double
reading (const struct jc_demand *demand, unsigned int read)
{
  double all = demand->prompt_tokens;
  double pairs = (all * all - (double)read * read) / 2;

  return all - read + pairs * PAIR_MS * PROMPT_TOKENS_A_MS;
}

/* Return how long an engine reads the whole prompt of DEMAND, ms.  */
int64_t
jc_demand_read_ms (const struct jc_demand *demand)
{
  return (int64_t)(reading (demand, 0) / PROMPT_TOKENS_A_MS);
}

/* Return how many of DEMAND's first tokens ENGINE has read lately.  */
static unsigned int
tokens_read (const struct engine *engine, const struct jc_demand *demand,
             int64_t now_ms)
{
  for (unsigned int i = demand->parts; i > 0; i--)
    {
      const int64_t *used
          = g_hash_table_lookup (engine->parts, &demand->chain[i - 1]);

      if (used != NULL && now_ms - *used < PART_KEPT_MS)
        return MIN (demand->tokens[i - 1], demand->prompt_tokens);
    }
  return 0;
}

static double
failures_now (const struct engine *engine, int64_t now_ms)
{
  double age = (double)(now_ms - engine->failures_ms);

  return engine->failures * exp2 (-age / FAILURE_HALF_MS);
}

/* Return the tokens a second that this instance sent ENGINE lately.  */
static double
rate_now (const struct engine *engine, int64_t now_ms)
{
  return engine->rate * exp (-(double)(now_ms - engine->rate_ms) / RATE_MS);
}

static void
rate_add (struct engine *engine, uint64_t tokens, int64_t now_ms)
{
  engine->rate
      = rate_now (engine, now_ms) + (double)tokens * MS_PER_S / RATE_MS;
  engine->rate_ms = now_ms;
}

/* Sum the work at ENGINE.  Where no other instance tells of its share, what
   the engine itself reported counts.  */
static struct work
work_at (const struct engine *engine, int64_t now_ms)
{
  struct work work = { .running = engine->running,
                       .unread_tokens = (double)engine->unread_tokens,
                       .busy = rate_now (engine, now_ms),
                       .pace = engine->pace };
  bool told = false;

  for (unsigned int i = 0; i < engine->shares_count; i++)
    {
      const struct share *share = &engine->shares[i];

      if (now_ms - share->heard_ms >= LOAD_FRESH_MS)
        continue;
      told = true;
      work.running += share->said.running;
      work.unread_tokens += share->said.unread_tokens;
      work.busy += share->said.tokens_per_s;
    }
  if (!told && now_ms - engine->reported_ms < LOAD_FRESH_MS)
    work.running = MAX (work.running, engine->reported);
  work.busy
      = MIN (work.busy * work.pace / (PROMPT_TOKENS_A_MS * MS_PER_S), BUSY_MAX);
  return work;
}

static double
step_ms (const struct work *work)
{
  return (STEP_MS + STEP_RUNNING_MS * work->running) * work->pace;
}

/* Return the wait for a place where all SLOTS are taken, ms: requests ahead,
   each with the time of a step for every token of a short answer.  */
static double
slot_wait_ms (const struct work *work, unsigned int slots)
{
  double over = work->running - MAX (slots, 1) + 1;

  return over > 0 ? over * step_ms (work) * 4 : 0;
}

/* Return the time until ENDPOINT has read UNREAD tokens more and the first
   event is there, ms.  */
static double
first_ms (const struct work *work, const struct jc_endpoint *endpoint,
          double unread)
{
  double tokens = work->unread_tokens + unread;

  return tokens / PROMPT_TOKENS_A_MS * work->pace
         + tokens / CHUNK_TOKENS * step_ms (work) + FIRST_EVENT_MS * work->pace
         + slot_wait_ms (work, endpoint->slots);
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

  return chunks * chunk_ms * work->pace + steps * step_ms (work);
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
  return demand->answer_tokens * step_ms (work) / (1 - work->busy);
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
jc_engines_wait_ms (struct jc_engines *engines,
                    const struct jc_endpoint *endpoint,
                    const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = work_at (engine, now_ms);

  if (demand->prompt_tokens == 0)
    return (int64_t)plain_ms (engine, &work, endpoint);
  return (int64_t)first_ms (
      &work, endpoint, reading (demand, tokens_read (engine, demand, now_ms)));
}

/* Return the time until the whole answer to DEMAND is there if it goes to
   ENDPOINT now, ms.  */
int64_t
jc_engines_answer_ms (struct jc_engines *engines,
                      const struct jc_endpoint *endpoint,
                      const struct jc_demand *demand, int64_t now_ms)
{
  struct work work = work_at (engine_of (engines, endpoint->name), now_ms);
  int64_t first = jc_engines_wait_ms (engines, endpoint, demand, now_ms);

  if (demand->prompt_tokens == 0)
    return first;
  return first + (int64_t)decode_ms (&work, demand);
}

/* Return the shared parts' weight for a rendezvous: the same in every
   instance, so that equal prompts meet without a word.  */
static uint64_t
meeting_weight (const struct jc_endpoint *endpoint,
                const struct jc_demand *demand)
{
  uint64_t hash = demand->chain[demand->parts > 1 ? demand->parts - 2 : 0];

  for (const char *c = endpoint->name; *c != '\0'; c++)
    hash = (hash ^ (unsigned char)*c) * 1099511628211U;
  hash ^= hash >> 31;
  return hash * 0x94D049BB133111EBU;
}

static const struct jc_endpoint *
meeting_place (const GPtrArray *endpoints, const struct jc_demand *demand)
{
  const struct jc_endpoint *best = NULL;
  uint64_t most = 0;

  if (demand->parts < 2)
    return NULL;
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      uint64_t weight = meeting_weight (endpoint, demand);

      if (best == NULL || weight > most)
        {
          best = endpoint;
          most = weight;
        }
    }
  return best;
}

/* Tell whether the prompt of DEMAND, read in one go by an engine that does
   little else, makes its streams pause for too long.  */
static bool
is_long (const struct jc_demand *demand)
{
  static const struct work light = { .running = 8, .pace = 1 };

  return demand->gap_ms > 0
         && pause_ms (&light, demand, reading (demand, 0), depth_of (demand))
                > (double)demand->gap_ms;
}

static int
compare_gather (gconstpointer a, gconstpointer b)
{
  const struct jc_endpoint *left = *(struct jc_endpoint *const *)a;
  const struct jc_endpoint *right = *(struct jc_endpoint *const *)b;
  uint64_t left_hash = jc_member_hash (left->name, "gather");
  uint64_t right_hash = jc_member_hash (right->name, "gather");

  return left_hash < right_hash ? -1 : left_hash > right_hash;
}

/* Split ENDPOINTS, in the same way in every instance, into those at which
   long prompts gather, added to APART, and the REST.  */
static void
split_gather (const GPtrArray *endpoints, GPtrArray *apart, GPtrArray *rest)
{
  guint count = (guint)(endpoints->len * GATHER_PART);

  for (guint i = 0; i < endpoints->len; i++)
    g_ptr_array_add (rest, g_ptr_array_index (endpoints, i));
  if (count == 0)
    return;
  g_ptr_array_sort (rest, compare_gather);
  for (guint i = 0; i < count; i++)
    g_ptr_array_add (apart, g_ptr_array_index (rest, i));
  g_ptr_array_remove_range (rest, 0, count);
}

/* Return what it costs that answers become late where a request of DEMAND
   with UNREAD tokens goes to an engine with WORK, ms: its own, and those of
   the streams that would pause for too long only because of it.  */
static double
lateness_ms (const struct work *work, const struct jc_demand *demand,
             double first, double unread)
{
  double gap = (double)demand->gap_ms;
  double cost = 0;

  if (demand->objective_ms > 0 && first > (double)demand->objective_ms)
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

/* Return the part of its time that ENDPOINT spends on reading prompts.  */
double
jc_engines_busy (struct jc_engines *engines, const struct jc_endpoint *endpoint,
                 int64_t now_ms)
{
  return work_at (engine_of (engines, endpoint->name), now_ms).busy;
}

/* Return how busy an engine may be for a request of DEMAND to go there.
   Streams that run pause while prompts are read: beyond a limit most of them
   end late, so the less urgent ones are refused before.  */
double
jc_demand_busy_limit (const struct jc_demand *demand)
{
  static const double limits[] = { 0.97, 0.88, 0.78, 0.65 };

  return limits[MIN (demand->priority, G_N_ELEMENTS (limits) - 1)];
}

/* Tell whether a request of DEMAND is worth sending to ENDPOINT: it is whole
   in time, and leaves time for what is more urgent.  */
bool
jc_engines_admit (struct jc_engines *engines,
                  const struct jc_endpoint *endpoint,
                  const struct jc_demand *demand, int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = work_at (engine, now_ms);
  double unread = reading (demand, tokens_read (engine, demand, now_ms));
  double first;

  if (demand->prompt_tokens == 0)
    return true;
  if (work.busy + MIN (busy_by (unread) * work.pace, BUSY_BY_MAX)
      > jc_demand_busy_limit (demand))
    return false;
  first = first_ms (&work, endpoint, unread);
  return demand->left_ms <= 0
         || first + decode_ms (&work, demand) <= (double)demand->left_ms;
}

/* Return the cost of sending a request of DEMAND to ENDPOINT, ms: the time of
   its answer, what its reading takes from the requests that run there, what
   reading shared parts once more takes away later, and the endpoint's
   failures.  */
static double
cost_ms (struct jc_engines *engines, const struct jc_endpoint *endpoint,
         const struct jc_demand *demand, const struct jc_endpoint *meeting,
         int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  struct work work = work_at (engine, now_ms);
  double cost = failures_now (engine, now_ms) * FAILURE_MS;
  unsigned int shared
      = demand->parts > 1 ? demand->tokens[demand->parts - 2] : 0;
  unsigned int read = tokens_read (engine, demand, now_ms);
  double unread = reading (demand, read);
  double first;
  double decode;

  if (demand->prompt_tokens == 0)
    return cost + plain_ms (engine, &work, endpoint);
  first = first_ms (&work, endpoint, unread);
  decode = decode_ms (&work, demand);
  cost += first + decode * DECODE_WEIGHT
          + lateness_ms (&work, demand, first, unread);
  if (demand->left_ms > 0
      && first + decode > (double)demand->left_ms * LEFT_PART)
    cost += 2 * LATE_MS;
  cost += unread / PROMPT_TOKENS_A_MS * work.running * OTHERS_WEIGHT;
  if (endpoint != meeting && read < shared)
    cost += (shared - read) / PROMPT_TOKENS_A_MS * SCATTER_WEIGHT;
  return cost;
}

/* Tell whether the next of COUNT engines is one of those that are
   compared.  */
static bool
is_compared (guint count)
{
  return count <= COMPARED || g_random_int_range (0, (gint32)count) < COMPARED;
}

/* Return the endpoint of ENDPOINTS at which DEMAND costs least and set LEAST
   to that cost, or return NULL where all rest.  */
static struct jc_endpoint *
cheapest (struct jc_engines *engines, const GPtrArray *endpoints,
          const struct jc_demand *demand, int64_t now_ms, double *least)
{
  const struct jc_endpoint *meeting = meeting_place (endpoints, demand);
  struct jc_endpoint *best = NULL;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct engine *engine = engine_of (engines, endpoint->name);
      double cost;

      if (engine->rest_until_ms > now_ms
          || (endpoint != meeting && !is_compared (endpoints->len)))
        continue;
      cost = cost_ms (engines, endpoint, demand, meeting, now_ms);
      if (best == NULL || cost < *least)
        {
          best = endpoint;
          *least = cost;
        }
    }
  return best;
}

/* Return the endpoint of ENDPOINTS at which DEMAND costs least, or NULL where
   all rest.  Long prompts go to one part of them and all others to the rest,
   unless that costs much.  */
struct jc_endpoint *
jc_engines_pick (struct jc_engines *engines, const GPtrArray *endpoints,
                 const struct jc_demand *demand, int64_t now_ms)
{
  GPtrArray *apart = g_ptr_array_new ();
  GPtrArray *rest = g_ptr_array_new ();
  struct jc_endpoint *there = NULL;
  struct jc_endpoint *here;
  double there_ms = 0;
  double here_ms = 0;

  if (demand->prompt_tokens == 0)
    here = cheapest (engines, endpoints, demand, now_ms, &here_ms);
  else
    {
      bool lengthy = is_long (demand);

      split_gather (endpoints, apart, rest);
      here = cheapest (engines, lengthy ? apart : rest, demand, now_ms,
                       &here_ms);
      there = cheapest (engines, lengthy ? rest : apart, demand, now_ms,
                        &there_ms);
    }
  g_ptr_array_free (apart, TRUE);
  g_ptr_array_free (rest, TRUE);
  if (here == NULL || (there != NULL && there_ms + GATHER_MS < here_ms))
    return there;
  return here;
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
  struct work work = work_at (engine, now_ms);
  unsigned int read = tokens_read (engine, demand, now_ms);
  double unread = reading (demand, read);

  g_snprintf (
      out, size,
      "running=%.0f unread=%.0f busy=%.2f pace=%.2f failures=%.1f "
      "prompt=%u read=%u first=%.0f answer=%.0f pause=%.0f",
      work.running, work.unread_tokens, work.busy, work.pace,
      failures_now (engine, now_ms), demand->prompt_tokens, read,
      first_ms (&work, endpoint, unread), decode_ms (&work, demand),
      pause_ms (&work, demand, work.unread_tokens + unread, depth_of (demand)));
}

static void
note_parts (struct engine *engine, const struct jc_demand *demand,
            int64_t now_ms)
{
  if (g_hash_table_size (engine->parts) > PARTS_MAX)
    g_hash_table_remove_all (engine->parts);
  for (unsigned int i = 0; i < demand->parts; i++)
    {
      int64_t *used = g_hash_table_lookup (engine->parts, &demand->chain[i]);
      uint64_t *id;

      if (used != NULL)
        {
          *used = now_ms;
          continue;
        }
      id = g_new (uint64_t, 1);
      used = g_new (int64_t, 1);
      *id = demand->chain[i];
      *used = now_ms;
      g_hash_table_insert (engine->parts, id, used);
    }
}

/* Return the time that the data sheet gives for RUN's first event, ms.  */
static double
run_expected_ms (const struct jc_engine_run *run, int64_t now_ms)
{
  struct work work = work_at (run->engine, now_ms);
  double tokens = work.unread_tokens + (double)run->unread;

  work.pace = 1;
  return tokens / PROMPT_TOKENS_A_MS + tokens / CHUNK_TOKENS * step_ms (&work);
}

/* Learn from the time of RUN's first event how fast its engine is.  */
static void
learn_pace (const struct jc_engine_run *run, int64_t now_ms)
{
  struct engine *engine = run->engine;
  double took = (double)(now_ms - run->started_ms) - FIRST_EVENT_MS;
  double pace = CLAMP (took / run->expected_ms, PACE_LEAST, PACE_MOST);

  if (run->expected_ms >= PACE_READ_MS)
    engine->pace += (pace - engine->pace) * PACE_WEIGHT;
}

/* A request of DEMAND goes to ENDPOINT.  */
struct jc_engine_run *
jc_engines_start (struct jc_engines *engines,
                  const struct jc_endpoint *endpoint,
                  const struct jc_demand *demand, int64_t now_ms)
{
  struct jc_engine_run *run = g_new0 (struct jc_engine_run, 1);
  struct engine *engine = engine_of (engines, endpoint->name);

  run->engine = engine;
  run->demand = *demand;
  run->started_ms = now_ms;
  run->unread
      = (uint64_t)reading (demand, tokens_read (engine, demand, now_ms));
  run->expected_ms = run_expected_ms (run, now_ms);
  engine->holders++;
  engine->running++;
  engine->unread_tokens += run->unread;
  engine->used_ms = now_ms;
  rate_add (engine, run->unread, now_ms);
  note_parts (engine, demand, now_ms);
  return run;
}

/* The first event of RUN came: its prompt is read.  */
void
jc_engine_run_begun (struct jc_engine_run *run, int64_t now_ms)
{
  if (run->begun)
    return;
  run->begun = true;
  learn_pace (run, now_ms);
  run->engine->unread_tokens -= run->unread;
  run->engine->rest_ms = 0;
  note_parts (run->engine, &run->demand, now_ms);
}

/* The answer to RUN says that its endpoint runs RUNNING requests and has
   QUEUED more.  */
void
jc_engine_run_load (struct jc_engine_run *run, unsigned int running,
                    unsigned int queued, int64_t now_ms)
{
  run->engine->reported = running + queued;
  run->engine->reported_ms = now_ms;
}

/* Append to ROWS, of struct rpc_load, what this instance has at each engine;
   names are borrowed.  */
void
jc_engines_loads (struct jc_engines *engines, int64_t now_ms, GArray *rows)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct engine *engine = value;
      struct rpc_load row
          = { .endpoint = engine->name,
              .running = engine->running,
              .unread_tokens = (u_int)MIN (engine->unread_tokens, UINT32_MAX),
              .tokens_per_s = (u_int)rate_now (engine, now_ms) };

      if (now_ms - engine->used_ms < LOAD_FRESH_MS || row.running > 0)
        g_array_append_val (rows, row);
    }
}

static struct share *
share_of (struct engine *engine, uint64_t instance)
{
  struct share *oldest = &engine->shares[0];

  for (unsigned int i = 0; i < engine->shares_count; i++)
    {
      struct share *share = &engine->shares[i];

      if (share->instance == instance)
        return share;
      if (share->heard_ms < oldest->heard_ms)
        oldest = share;
    }
  if (engine->shares_count < INSTANCES_MAX)
    return &engine->shares[engine->shares_count++];
  return oldest;
}

/* Take the LOADS that the entry instance INSTANCE told of.  */
void
jc_engines_take (struct jc_engines *engines, const char *instance,
                 const struct rpc_loads *loads, int64_t now_ms)
{
  uint64_t id = jc_member_hash (instance, "");

  for (u_int i = 0; i < loads->rows.rows_len; i++)
    {
      const struct rpc_load *row = &loads->rows.rows_val[i];
      struct engine *engine = engine_of (engines, row->endpoint);
      struct share *share = share_of (engine, id);

      share->instance = id;
      share->said = *row;
      share->said.endpoint = engine->name;
      share->heard_ms = now_ms;
      engine->used_ms = MAX (engine->used_ms, now_ms - LOAD_FRESH_MS);
    }
}

static void
note_failure (struct engine *engine, int64_t now_ms)
{
  engine->failures = failures_now (engine, now_ms) + 1;
  engine->failures_ms = now_ms;
}

static void
rest (struct engine *engine, int64_t now_ms)
{
  engine->rest_ms = CLAMP (2 * engine->rest_ms, REST_MS, REST_MAX_MS);
  engine->rest_until_ms = now_ms + engine->rest_ms;
}

/* RUN ended; it is freed.  */
void
jc_engine_run_end (struct jc_engine_run *run, enum jc_engine_end how,
                   int64_t now_ms)
{
  struct engine *engine = run->engine;

  if (!run->begun)
    engine->unread_tokens -= run->unread;
  engine->running--;
  if (how == JC_ENGINE_SERVED)
    {
      engine->rest_ms = 0;
      if (run->demand.prompt_tokens == 0)
        engine->plain_ms
            += ((double)(now_ms - run->started_ms) - engine->plain_ms) / 8;
    }
  else if (how == JC_ENGINE_UNREACHABLE)
    rest (engine, now_ms);
  else if (how == JC_ENGINE_BROKEN)
    note_failure (engine, now_ms);
  engine_release (engine);
  g_free (run);
}
