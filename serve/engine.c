/* Engines: the requests that run there, and what others tell.  */

#include <math.h>
#include <string.h>

#include "serve/engineprivate.h"

/* No engine is taken to spend more of its time on reading than this.  */
#define BUSY_MAX 0.95
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
  /* An instance that told nothing for so long stands still: each tells at least
     every 500 ms.  */
  HEARD_MS = 700,
  /* Reports of load older than this say nothing.  */
  LOAD_FRESH_MS = 1000,
  ENGINE_KEPT_MS = 120000,
  SHARES_FIRST = 8,
  /* Rest of an endpoint that can't be reached: first and longest.  */
  REST_MS = 500,
  REST_MAX_MS = 4000,
  /* The weight of a failure halves in this time.  */
  FAILURE_HALF_MS = 2000
};

/* AT_ONCE tells that there was a place for it when it was sent.  */
struct jc_engine_run
{
  struct engine *engine;
  struct jc_demand demand;
  uint64_t unread;
  double expected_ms;
  int64_t started_ms;
  bool begun;
  bool at_once;
};

static void
engine_release (gpointer data)
{
  struct engine *engine = data;

  if (--engine->holders > 0)
    return;
  g_hash_table_destroy (engine->parts);
  g_free (engine->shares);
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
  engines->by_tag = g_hash_table_new (g_int64_hash, g_int64_equal);
  engines->fellows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  engines->news = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  engines->zone_news
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  return engines;
}

/* Free ENGINES.  Runs may still end afterwards.  */
void
jc_engines_free (struct jc_engines *engines)
{
  if (engines == NULL)
    return;
  g_hash_table_destroy (engines->by_tag);
  g_hash_table_destroy (engines->by_name);
  g_hash_table_destroy (engines->fellows);
  g_array_free (engines->news, TRUE);
  g_array_free (engines->zone_news, TRUE);
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
    {
      struct engine *engine = value;

      if (now_ms - engine->used_ms <= ENGINE_KEPT_MS)
        continue;
      g_hash_table_remove (engines->by_tag, &engine->tag);
      g_hash_table_iter_remove (&iter);
    }
}

struct engine *
engine_of (struct jc_engines *engines, const char *name)
{
  struct engine *engine = g_hash_table_lookup (engines->by_name, name);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct engine, 1);
  engine->name = g_strdup (name);
  engine->plain_ms = PLAIN_MS;
  engine->served_ms = PLAIN_MS;
  engine->pace = 1;
  engine->holders = 1;
  engine->parts = engine_parts_new ();
  engine->tag = jc_name_pair_hash (name, "");
  g_hash_table_insert (engines->by_name, engine->name, engine);
  g_hash_table_insert (engines->by_tag, &engine->tag, engine);
  return engine;
}

/* Fill DEMAND from what a caller asks.  */
void
jc_demand_init (const struct jc_request_info *ask, struct jc_demand *demand)
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
      tokens = (unsigned int)MIN ((uint64_t)tokens + ask->parts[i].tokens,
                                  ask->prompt_tokens);
      demand->prefix_hash[i] = hash;
      demand->prefix_tokens[i] = tokens;
    }
  demand->parts_count = ask->parts_count;
}

double
engine_failures (const struct engine *engine, int64_t now_ms)
{
  double age = (double)(now_ms - engine->failures_ms);

  return engine->failures * exp2 (-age / FAILURE_HALF_MS);
}

/* Return what RATE, tokens a second, has become after AGE_MS in which nothing
   was sent.  */
static double
rate_after (double rate, int64_t age_ms)
{
  return rate * exp (-(double)age_ms / RATE_MS);
}

/* What this instance has at ENGINE changed.  */
static void
engine_note_change (struct engine *engine)
{
  engine->changed = true;
  engine->zone_changed = true;
}

/* Return the tokens a second that this instance sent ENGINE lately.  */
static double
rate_now (const struct engine *engine, int64_t now_ms)
{
  return rate_after (engine->rate, now_ms - engine->rate_ms);
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
struct work
engine_work (const struct engine *engine, int64_t now_ms)
{
  struct work work = { .running = engine->running,
                       .unread_tokens = (double)engine->unread_tokens,
                       .busy = rate_now (engine, now_ms),
                       .pace = engine->pace };
  bool told = false;

  for (unsigned int i = 0; i < engine->shares_count; i++)
    {
      const struct share *share = &engine->shares[i];

      if (now_ms - share->fellow->heard_ms >= LOAD_FRESH_MS)
        continue;
      told = true;
      work.running += share->said.running;
      work.unread_tokens += share->said.unread_tokens;
      work.busy
          += rate_after (share->said.tokens_per_s, now_ms - share->said_ms);
    }
  if (!told && now_ms - engine->reported_ms < LOAD_FRESH_MS)
    work.running = MAX (work.running, engine->reported);
  work.busy
      = MIN (work.busy * work.pace / (PROMPT_TOKENS_A_MS * MS_PER_S), BUSY_MAX);
  return work;
}

/* Return the time that the data sheet gives for RUN's first event, ms.  */
static double
run_expected_ms (const struct jc_engine_run *run, int64_t now_ms)
{
  struct work work = engine_work (run->engine, now_ms);
  double tokens = work.unread_tokens + (double)run->unread;

  work.pace = 1;
  return tokens / PROMPT_TOKENS_A_MS
         + tokens / CHUNK_TOKENS * engine_step_ms (&work);
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
  run->unread = (uint64_t)engine_reading (
      demand, engine_tokens_read (engine, demand, now_ms));
  run->expected_ms = run_expected_ms (run, now_ms);
  run->at_once = engine_work (engine, now_ms).running < endpoint->slots;
  engine->holders++;
  engine_note_change (engine);
  engine->running++;
  engine->unread_tokens += run->unread;
  engine->used_ms = now_ms;
  rate_add (engine, run->unread, now_ms);
  engine_parts_sent (engines, engine, demand, now_ms);
  return run;
}

/* The first event of RUN came: its prompt is read.  */
void
jc_engine_run_first_event (struct jc_engine_run *run, int64_t now_ms)
{
  if (run->begun)
    return;
  run->begun = true;
  learn_pace (run, now_ms);
  run->engine->unread_tokens -= run->unread;
  engine_note_change (run->engine);
  run->engine->rest_ms = 0;
  engine_parts_used (run->engine, &run->demand, now_ms);
}

/* The answer to RUN says that its endpoint runs RUNNING requests and has
   QUEUED more.  */
void
jc_engine_run_note_load (struct jc_engine_run *run, unsigned int running,
                         unsigned int queued, int64_t now_ms)
{
  run->engine->reported = running + queued;
  run->engine->reported_ms = now_ms;
}

/* Append to ROWS, of struct rpc_load, what this instance has at each engine
   where that changed since the last time; with FULL at all that it uses.
   Append to PARTS, of struct rpc_part_read, the shared parts that were read
   and that nobody told of lately.  */
void
jc_engines_collect_loads (struct jc_engines *engines, bool full, int64_t now_ms,
                          GArray *rows, GArray *parts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;
      struct rpc_load row
          = { .tag = engine->tag,
              .running = engine->running,
              .unread_tokens = (u_int)MIN (engine->unread_tokens, UINT32_MAX),
              .tokens_per_s = (u_int)rate_now (engine, now_ms) };

      if (engine->changed
          || (full && (engine->running > 0 || row.tokens_per_s > 0)))
        g_array_append_val (rows, row);
      engine->changed = false;
    }
  g_array_append_vals (parts, engines->news->data, engines->news->len);
  g_array_set_size (engines->news, 0);
}

/* Return what all instances of this zone have at ENGINE together.  */
static struct rpc_load
zone_load (const struct engine *engine, int64_t now_ms)
{
  struct rpc_load sum
      = { .tag = engine->tag,
          .running = engine->running,
          .unread_tokens = (u_int)MIN (engine->unread_tokens, UINT32_MAX),
          .tokens_per_s = (u_int)rate_now (engine, now_ms) };

  for (unsigned int i = 0; i < engine->shares_count; i++)
    {
      const struct share *share = &engine->shares[i];

      if (!share->fellow->direct
          || now_ms - share->fellow->heard_ms >= LOAD_FRESH_MS)
        continue;
      sum.running += share->said.running;
      sum.unread_tokens += share->said.unread_tokens;
      sum.tokens_per_s += (u_int)rate_after (share->said.tokens_per_s,
                                             now_ms - share->said_ms);
    }
  return sum;
}

/* Append to ROWS and PARTS, as jc_engines_collect_loads does, what all
   instances of this zone have at each engine together and what they have read.
 */
void
jc_engines_collect_zone_loads (struct jc_engines *engines, bool full,
                               int64_t now_ms, GArray *rows, GArray *parts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;
      struct rpc_load row = zone_load (engine, now_ms);

      if (engine->zone_changed
          || (full && (row.running > 0 || row.tokens_per_s > 0)))
        g_array_append_val (rows, row);
      engine->zone_changed = false;
    }
  g_array_append_vals (parts, engines->zone_news->data,
                       engines->zone_news->len);
  g_array_set_size (engines->zone_news, 0);
}

static struct fellow *
fellow_of (struct jc_engines *engines, const char *name, bool direct)
{
  uint64_t id = jc_name_pair_hash (name, direct ? "" : "zone");
  struct fellow *fellow = g_hash_table_lookup (engines->fellows, &id);

  if (fellow == NULL)
    {
      fellow = g_new0 (struct fellow, 1);
      fellow->id = id;
      fellow->direct = direct;
      g_hash_table_insert (engines->fellows, &fellow->id, fellow);
    }
  return fellow;
}

/* Return the place for what FELLOW has at ENGINE; where there is none left,
   that of the instance that was silent for longest.  */
static struct share *
share_of (struct engine *engine, const struct fellow *fellow)
{
  struct share *oldest = engine->shares;

  for (unsigned int i = 0; i < engine->shares_count; i++)
    {
      struct share *share = &engine->shares[i];

      if (share->fellow == fellow)
        return share;
      if (share->fellow->heard_ms < oldest->fellow->heard_ms)
        oldest = share;
    }
  if (engine->shares_count == INSTANCES_MAX)
    return oldest;
  if (engine->shares_count == engine->shares_room)
    {
      engine->shares_room = MAX (2 * engine->shares_room, SHARES_FIRST);
      engine->shares
          = g_renew (struct share, engine->shares, engine->shares_room);
    }
  return &engine->shares[engine->shares_count++];
}

/* FELLOW told of everything: what it has not named since is over.  */
static void
forget_rest (struct jc_engines *engines, const struct fellow *fellow,
             int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;

      for (unsigned int i = 0; i < engine->shares_count; i++)
        if (engine->shares[i].fellow == fellow
            && engine->shares[i].said_ms != now_ms)
          memset (&engine->shares[i].said, 0, sizeof engine->shares[i].said);
    }
}

/* Take the LOADS of FELLOW.  */
static void
take_loads (struct jc_engines *engines, struct fellow *fellow,
            const struct rpc_loads *loads, int64_t now_ms)
{
  fellow->heard_ms = now_ms;
  for (u_int i = 0; i < loads->rows.rows_len; i++)
    {
      const struct rpc_load *row = &loads->rows.rows_val[i];
      uint64_t tag = row->tag;
      struct engine *engine = g_hash_table_lookup (engines->by_tag, &tag);
      struct share *share;

      if (engine == NULL)
        continue;
      share = share_of (engine, fellow);
      *share
          = (struct share){ .fellow = fellow, .said = *row, .said_ms = now_ms };
      engine->zone_changed = engine->zone_changed || fellow->direct;
      engine->used_ms = MAX (engine->used_ms, now_ms - LOAD_FRESH_MS);
    }
  for (u_int i = 0; i < loads->parts.parts_len; i++)
    engine_parts_heard (engines, &loads->parts.parts_val[i], fellow->direct,
                        now_ms);
  if (loads->full)
    forget_rest (engines, fellow, now_ms);
}

/* Take the LOADS that the entry instance INSTANCE of this zone told of.  */
void
jc_engines_apply_loads (struct jc_engines *engines, const char *instance,
                        const struct rpc_loads *loads, int64_t now_ms)
{
  take_loads (engines, fellow_of (engines, instance, true), loads, now_ms);
}

/* Take the LOADS of all instances of ZONE together.  */
void
jc_engines_apply_zone_loads (struct jc_engines *engines, const char *zone,
                             const struct rpc_loads *loads, int64_t now_ms)
{
  take_loads (engines, fellow_of (engines, zone, false), loads, now_ms);
}

/* Tell whether the entry instance INSTANCE of this zone told of its loads
   within the time that full ones are told in.  */
bool
jc_engines_heard_from (const struct jc_engines *engines, const char *instance,
                       int64_t now_ms)
{
  uint64_t id = jc_name_pair_hash (instance, "");
  const struct fellow *fellow = g_hash_table_lookup (engines->fellows, &id);

  return fellow != NULL && now_ms - fellow->heard_ms < HEARD_MS;
}

static void
note_failure (struct engine *engine, int64_t now_ms)
{
  engine->failures = engine_failures (engine, now_ms) + 1;
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
jc_engine_run_end (struct jc_engine_run *run, enum jc_engine_outcome how,
                   int64_t now_ms)
{
  struct engine *engine = run->engine;

  if (!run->begun)
    engine->unread_tokens -= run->unread;
  engine->running--;
  engine_note_change (engine);
  if (how == JC_ENGINE_SERVED)
    {
      engine->rest_ms = 0;
      if (run->demand.prompt_tokens == 0)
        {
          double took = (double)(now_ms - run->started_ms);

          engine->plain_ms += (took - engine->plain_ms) / 8;
          if (run->at_once)
            engine->served_ms += (took - engine->served_ms) / 8;
        }
    }
  else if (how == JC_ENGINE_UNREACHABLE)
    rest (engine, now_ms);
  else if (how == JC_ENGINE_FAILED)
    note_failure (engine, now_ms);
  engine_release (engine);
  g_free (run);
}
