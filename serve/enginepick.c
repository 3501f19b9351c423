/* Choice of the engine for a request.  */

#include <string.h>

#include "serve/engineprivate.h"

/* Fraction of the engines reserved for long prompts, those that make gaps of
   the streams beside them too long.  Long prompts are a seventh of all
   prefill.  */
#define LONG_PROMPT_FRACTION 0.12
/* Extra cost of an engine of the other group.  */
#define OTHER_GROUP_COST_MS 400.0

enum
{
  /* Engines compared per request, beside the affinity endpoint and those that
     have cached its prefix: all instances see the same, delayed loads and would
     otherwise choose the same engine.  */
  CANDIDATES_MAX = 8
};

/* Return the rendezvous hash of ENDPOINT for the shared parts of DEMAND.  It is
   the same in every instance, so equal prefixes go to the same endpoint without
   communication.  */
static uint64_t
affinity_weight (const struct jc_endpoint *endpoint,
                 const struct jc_demand *demand)
{
  uint64_t hash
      = demand->prefix_hash[demand->parts_count > 1 ? demand->parts_count - 2
                                                    : 0];

  for (const char *c = endpoint->name; *c != '\0'; c++)
    hash = (hash ^ (unsigned char)*c) * 1099511628211U;
  hash ^= hash >> 31;
  return hash * 0x94D049BB133111EBU;
}

static const struct jc_endpoint *
affinity_endpoint (const GPtrArray *endpoints, const struct jc_demand *demand)
{
  const struct jc_endpoint *best = NULL;
  uint64_t heaviest = 0;

  if (demand->parts_count < 2)
    return NULL;
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      uint64_t weight = affinity_weight (endpoint, demand);

      if (best == NULL || weight > heaviest)
        {
          best = endpoint;
          heaviest = weight;
        }
    }
  return best;
}

static int
compare_group_hash (gconstpointer a, gconstpointer b)
{
  const struct jc_endpoint *left = *(struct jc_endpoint *const *)a;
  const struct jc_endpoint *right = *(struct jc_endpoint *const *)b;
  uint64_t left_hash = jc_name_pair_hash (left->name, "gather");
  uint64_t right_hash = jc_name_pair_hash (right->name, "gather");

  return left_hash < right_hash ? -1 : left_hash > right_hash;
}

/* Split ENDPOINTS, in the same way in every instance, into LONG_GROUP, reserved
   for long prompts, and USUAL_GROUP.  */
static void
split_by_group (const GPtrArray *endpoints, GPtrArray *long_group,
                GPtrArray *usual_group)
{
  guint count = (guint)(endpoints->len * LONG_PROMPT_FRACTION);

  for (guint i = 0; i < endpoints->len; i++)
    g_ptr_array_add (usual_group, g_ptr_array_index (endpoints, i));
  if (count == 0)
    return;
  g_ptr_array_sort (usual_group, compare_group_hash);
  for (guint i = 0; i < count; i++)
    g_ptr_array_add (long_group, g_ptr_array_index (usual_group, i));
  g_ptr_array_remove_range (usual_group, 0, count);
}

/* Return true if an engine, one of COUNT, is to be compared.  If there are more
   than CANDIDATES_MAX, each is drawn at random, so that CANDIDATES_MAX are
   compared on average.  */
static bool
is_candidate (guint count)
{
  return count <= CANDIDATES_MAX
         || g_random_int_range (0, (gint32)count) < CANDIDATES_MAX;
}

/* Return the endpoint of ENDPOINTS with the lowest cost for DEMAND and store
   that cost in LEAST_COST.  Return NULL if all are in backoff.  */
static struct jc_endpoint *
cheapest (struct jc_engines *engines, const GPtrArray *endpoints,
          const struct jc_demand *demand, int64_t now_ms, double *least_cost)
{
  const struct jc_endpoint *affinity = affinity_endpoint (endpoints, demand);
  struct jc_endpoint *best = NULL;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct engine *engine = engine_get (engines, endpoint->name);
      double cost;

      if (engine->backoff_until_ms > now_ms
          || (endpoint != affinity
              && !engine_has_shared_prefix (engine, demand, now_ms)
              && !is_candidate (endpoints->len)))
        continue;
      cost = engine_cost_ms (engines, endpoint, demand, affinity, now_ms);
      if (best == NULL || cost < *least_cost)
        {
          best = endpoint;
          *least_cost = cost;
        }
    }
  return best;
}

/* Return the endpoint of ENDPOINTS with the lowest cost for DEMAND, or NULL if
   all are in backoff.  Long prompts go to one group of engines and all others
   to the rest, unless the other group is much cheaper.  */
struct jc_endpoint *
jc_engines_pick (struct jc_engines *engines, const GPtrArray *endpoints,
                 const struct jc_demand *demand, int64_t now_ms)
{
  GPtrArray *long_group = g_ptr_array_new ();
  GPtrArray *usual_group = g_ptr_array_new ();
  struct jc_endpoint *other_best = NULL;
  struct jc_endpoint *own_best;
  double other_cost_ms = 0;
  double own_cost_ms = 0;

  if (demand->prompt_tokens == 0)
    own_best = cheapest (engines, endpoints, demand, now_ms, &own_cost_ms);
  else
    {
      bool is_long = demand_is_long (demand);

      split_by_group (endpoints, long_group, usual_group);
      own_best = cheapest (engines, is_long ? long_group : usual_group, demand,
                           now_ms, &own_cost_ms);
      other_best = cheapest (engines, is_long ? usual_group : long_group,
                             demand, now_ms, &other_cost_ms);
    }
  g_ptr_array_free (long_group, TRUE);
  g_ptr_array_free (usual_group, TRUE);
  if (own_best == NULL
      || (other_best != NULL
          && other_cost_ms + OTHER_GROUP_COST_MS < own_cost_ms))
    return other_best;
  return own_best;
}
