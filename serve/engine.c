/* Engines.  */

#include <string.h>

#include "serve/engine.h"

enum
{
  /* Prompt tokens that an engine reads in a ms, from the data sheet of the
     deployments' engines (56.9).  */
  PROMPT_TOKENS_A_MS = 56,
  /* Time from the end of the reading to the first event, and what each
     running request adds to it, us.  */
  FIRST_EVENT_US = 16000,
  RUNNING_US = 400,
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
  US_PER_MS = 1000
};

struct engine
{
  char *name;
  unsigned int running;
  uint64_t unread_tokens;
  unsigned int others;
  int64_t load_ms;
  double plain_ms;
  double failures;
  int64_t failures_ms;
  int64_t rest_ms;
  int64_t rest_until_ms;
  int64_t used_ms;
  unsigned int holders;
  GHashTable *parts;
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

/* Return how long an engine reads the whole prompt of DEMAND, ms.  */
int64_t
jc_demand_read_ms (const struct jc_demand *demand)
{
  return demand->prompt_tokens / PROMPT_TOKENS_A_MS;
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
  int64_t age = now_ms - engine->failures_ms;
  double left = engine->failures;

  for (; age >= FAILURE_HALF_MS && left > 0.01; age -= FAILURE_HALF_MS)
    left /= 2;
  return left;
}

/* Return the requests at ENGINE, those of others as far as they are
   known.  */
static unsigned int
requests_at (const struct engine *engine, int64_t now_ms)
{
  bool fresh = now_ms - engine->load_ms < LOAD_FRESH_MS;

  return engine->running + (fresh ? engine->others : 0);
}

/* Return the time that a request of DEMAND would wait at ENDPOINT for its
   first event, or a plain one for its answer, in us.  */
static int64_t
wait_us (const struct engine *engine, const struct jc_endpoint *endpoint,
         const struct jc_demand *demand, int64_t now_ms)
{
  unsigned int requests = requests_at (engine, now_ms);
  unsigned int slots = MAX (endpoint->slots, 1);
  uint64_t tokens;

  if (demand->prompt_tokens == 0)
    return (int64_t)(engine->plain_ms * US_PER_MS
                     * (1
                        + (requests >= slots ? requests - slots + 1 : 0)
                              / (double)slots));
  tokens = engine->unread_tokens + demand->prompt_tokens
           - tokens_read (engine, demand, now_ms);
  return (int64_t)(tokens * US_PER_MS / PROMPT_TOKENS_A_MS) + FIRST_EVENT_US
         + (int64_t)requests * RUNNING_US
         + (requests >= slots ? (int64_t)(requests - slots + 1) * 20 * US_PER_MS
                              : 0);
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

/* Return the cost of sending a request of DEMAND to ENDPOINT, us: its wait,
   what reading shared parts once more takes away from others, and the
   endpoint's failures.  */
static int64_t
cost_us (struct jc_engines *engines, const struct jc_endpoint *endpoint,
         const struct jc_demand *demand, const struct jc_endpoint *meeting,
         int64_t now_ms)
{
  const struct engine *engine = engine_of (engines, endpoint->name);
  int64_t cost = wait_us (engine, endpoint, demand, now_ms);
  unsigned int shared
      = demand->parts > 1 ? demand->tokens[demand->parts - 2] : 0;
  unsigned int read = MIN (tokens_read (engine, demand, now_ms), shared);

  if (endpoint != meeting)
    cost += (int64_t)(shared - read) * US_PER_MS / PROMPT_TOKENS_A_MS;
  cost += (int64_t)(failures_now (engine, now_ms) * FAILURE_MS * US_PER_MS);
  return cost;
}

/* Return the endpoint of ENDPOINTS at which DEMAND costs least, or NULL where
   all rest.  */
struct jc_endpoint *
jc_engines_pick (struct jc_engines *engines, const GPtrArray *endpoints,
                 const struct jc_demand *demand, int64_t now_ms)
{
  const struct jc_endpoint *meeting = meeting_place (endpoints, demand);
  struct jc_endpoint *best = NULL;
  int64_t least = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct engine *engine = engine_of (engines, endpoint->name);
      int64_t cost;

      if (engine->rest_until_ms > now_ms)
        continue;
      cost = cost_us (engines, endpoint, demand, meeting, now_ms);
      if (best == NULL || cost < least)
        {
          best = endpoint;
          least = cost;
        }
    }
  return best;
}

/* Return the time until the first event, or the answer, of a request of
   DEMAND that is sent to ENDPOINT now, ms.  */
int64_t
jc_engines_wait_ms (struct jc_engines *engines,
                    const struct jc_endpoint *endpoint,
                    const struct jc_demand *demand, int64_t now_ms)
{
  return wait_us (engine_of (engines, endpoint->name), endpoint, demand, now_ms)
         / US_PER_MS;
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
  run->unread = demand->prompt_tokens - tokens_read (engine, demand, now_ms);
  engine->holders++;
  engine->running++;
  engine->unread_tokens += run->unread;
  engine->used_ms = now_ms;
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
  struct engine *engine = run->engine;
  unsigned int all = running + queued;

  engine->others = all > engine->running ? all - engine->running : 0;
  engine->load_ms = now_ms;
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
