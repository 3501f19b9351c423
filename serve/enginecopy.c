/* Copies of cached prompt parts from one engine to another, which take less
   time than prefilling the parts once more.  */

#include "serve/engineprivate.h"

/* Tokens from which a copy is worth its request to the other engine: prefilling
   fewer takes less than a quarter of a chunk.  */
#define COPY_TOKENS_MIN 1024
/* Copies between zones take this many times as long.  Where the source is not
   yet known, it is taken to be in another zone.  */
#define OTHER_ZONE_COPY_FACTOR 2.0

/* Return true if copying a token of DEMAND's prompt takes less time than
   prefilling it.  */
static bool
copies_pay (const struct jc_demand *demand)
{
  return demand->copy_ms_per_token > 0
         && demand->copy_ms_per_token * OTHER_ZONE_COPY_FACTOR
                < 1 / PREFILL_TOKENS_PER_MS;
}

/* Set the number of DEMAND's first tokens that some engine of ENDPOINTS has
   probably cached and can be reached at.  */
void
jc_engines_find_kept (struct jc_engines *engines, const GPtrArray *endpoints,
                      struct jc_demand *demand, int64_t now_ms)
{
  demand->kept_tokens = 0;
  if (!copies_pay (demand))
    return;
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct engine *engine = engine_get (engines, endpoint->name);

      if (engine->backoff_until_ms <= now_ms)
        demand->kept_tokens = MAX (
            demand->kept_tokens, engine_cached_tokens (engine, demand, now_ms));
    }
}

/* Return the number of tokens that ENGINE would copy from another one to serve
   DEMAND.  */
unsigned int
engine_copied_tokens (const struct engine *engine,
                      const struct jc_demand *demand, int64_t now_ms)
{
  unsigned int cached = engine_cached_tokens (engine, demand, now_ms);

  return demand->kept_tokens >= cached + COPY_TOKENS_MIN
             ? demand->kept_tokens - cached
             : 0;
}

/* Return the number of DEMAND's first tokens that ENGINE needn't prefill.  */
unsigned int
engine_ready_tokens (const struct engine *engine,
                     const struct jc_demand *demand, int64_t now_ms)
{
  return engine_cached_tokens (engine, demand, now_ms)
         + engine_copied_tokens (engine, demand, now_ms);
}

/* Return the time in which ENGINE copies what it needs for DEMAND, ms.  */
double
engine_copy_ms (const struct engine *engine, const struct jc_demand *demand,
                int64_t now_ms)
{
  return engine_copied_tokens (engine, demand, now_ms)
         * demand->copy_ms_per_token * OTHER_ZONE_COPY_FACTOR;
}

/* Return the endpoint of ENDPOINTS that TARGET should copy the first parts of
   DEMAND's prompt from, NULL if it has them or no other engine does.  Of those
   that have most, one of TARGET's zone is returned if there is one, and any of
   them with equal probability, so that the links of a few aren't filled.
   Software versions may keep caches in different forms, so the source runs
   TARGET's.  */
const struct jc_endpoint *
jc_engines_copy_source (struct jc_engines *engines, const GPtrArray *endpoints,
                        const struct jc_endpoint *target,
                        const struct jc_demand *demand, int64_t now_ms)
{
  const struct jc_endpoint *source = NULL;
  bool source_near = false;
  gint32 equal = 0;

  if (engine_copied_tokens (engine_get (engines, target->name), demand, now_ms)
      == 0)
    return NULL;
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct engine *engine = engine_get (engines, endpoint->name);
      bool is_near = g_strcmp0 (endpoint->zone, target->zone) == 0;

      if (endpoint == target || endpoint->software != target->software
          || engine->backoff_until_ms > now_ms
          || engine_cached_tokens (engine, demand, now_ms) < demand->kept_tokens
          || (source_near && !is_near))
        continue;
      if (is_near && !source_near)
        equal = 0;
      source_near = is_near;
      equal++;
      if (g_random_int_range (0, equal) == 0)
        source = endpoint;
    }
  return source;
}
