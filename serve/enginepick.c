/* Engines: which of them gets a request.  */

#include <string.h>

#include "serve/engineprivate.h"

/* Part of the engines at which long prompts gather: those that make streams
   beside them pause for too long.  They are a seventh of all reading.  */
#define GATHER_PART 0.12
/* Time that it weighs to go to the other part of the engines.  */
#define GATHER_MS 400.0

enum
{
  /* Engines that one request compares, beside the one where its shared parts
     meet: all instances see the same load some time late, and would go to the
     same engine.  */
  COMPARED = 8
};

/* Return the shared parts' weight for a rendezvous: the same in every
   instance, so that equal prompts meet without a word.  */
static uint64_t
meeting_weight (const struct jc_endpoint *endpoint,
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
meeting_place (const GPtrArray *endpoints, const struct jc_demand *demand)
{
  const struct jc_endpoint *best = NULL;
  uint64_t most = 0;

  if (demand->parts_count < 2)
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

static int
compare_gather (gconstpointer a, gconstpointer b)
{
  const struct jc_endpoint *left = *(struct jc_endpoint *const *)a;
  const struct jc_endpoint *right = *(struct jc_endpoint *const *)b;
  uint64_t left_hash = jc_name_pair_hash (left->name, "gather");
  uint64_t right_hash = jc_name_pair_hash (right->name, "gather");

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
          || (endpoint != meeting && !engine_has_shared (engine, demand, now_ms)
              && !is_compared (endpoints->len)))
        continue;
      cost = engine_cost_ms (engines, endpoint, demand, meeting, now_ms);
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
      bool lengthy = engine_is_long (demand);

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
