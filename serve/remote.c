/* Choice of a remote region and of an entry instance there.  */

#include <math.h>
#include <string.h>

#include "serve/remote.h"

/* Fraction of an engine's time that requests from other regions leave free.  */
#define PREFILL_RESERVE 0.15

enum
{
  /* Cost of the round trip to another region and of a cold cache there: a
     request is sent there only if it gains more.  */
  REMOTE_COST_MS = 250,
  /* Number of shared tokens from which a request is sent to the region that its
     prefix is assigned to: prefilling them takes an engine 20 ms, as much as
     sending the request there costs the link and the two instances.  */
  PREFIX_TOKENS_MIN = 1000,
  PERMILLE = 1000
};

/* Return true if an instance with ROOM would accept a request with DEMAND.
   ROOM lags behind, so a part of it is kept in reserve.  */
bool
jc_remote_has_room (const struct rpc_service_room *room,
                    const struct jc_demand *demand)
{
  return demand->prompt_tokens == 0
         || room->busy_permille
                < (jc_demand_prefill_limit (demand) - PREFILL_RESERVE)
                      * PERMILLE;
}

/* Remove from INSTANCES, an array of struct jc_remote_instance, those of
   regions other than REGION, unless that would leave none.  Return false if it
   would.  */
bool
jc_remote_prefer_region (GArray *instances, const char *region)
{
  GArray *preferred
      = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_instance));
  bool found;

  for (guint i = 0; i < instances->len; i++)
    {
      struct jc_remote_instance candidate
          = g_array_index (instances, struct jc_remote_instance, i);

      if (strcmp (candidate.instance->region, region) == 0)
        g_array_append_val (preferred, candidate);
    }
  if (preferred->len > 0)
    {
      g_array_set_size (instances, 0);
      g_array_append_vals (instances, preferred->data, preferred->len);
    }
  found = preferred->len > 0;
  g_array_free (preferred, TRUE);
  return found;
}

/* Return the expected time of an answer from REMOTE, ms.  */
int64_t
jc_remote_answer_ms (const struct jc_remote_instance *remote)
{
  return remote->room->answer_ms + remote->reading_ms;
}

static const char *
fastest_region (const GArray *instances)
{
  const char *best = NULL;
  int64_t least_ms = 0;

  for (guint i = 0; i < instances->len; i++)
    {
      const struct jc_remote_instance *candidate
          = &g_array_index (instances, struct jc_remote_instance, i);

      if (best != NULL && jc_remote_answer_ms (candidate) >= least_ms)
        continue;
      best = candidate->instance->region;
      least_ms = jc_remote_answer_ms (candidate);
    }
  return best;
}

/* Return one of INSTANCES, an array of struct jc_remote_instance, or NULL if it
   is empty.  The region is the one with the lowest expected answer time; DRAW,
   uniformly random, selects the instance in it.  All instances of a region send
   to the same endpoints, so they get equal shares.  */
const struct jc_remote_instance *
jc_remote_pick_instance (const GArray *instances, uint32_t draw)
{
  const char *region = fastest_region (instances);
  unsigned int count = 0;

  for (guint i = 0; i < instances->len; i++)
    count += strcmp (g_array_index (instances, struct jc_remote_instance, i)
                         .instance->region,
                     region)
                     == 0
                 ? 1
                 : 0;
  if (count == 0)
    return NULL;
  draw %= count;
  for (guint i = 0; i < instances->len; i++)
    {
      const struct jc_remote_instance *candidate
          = &g_array_index (instances, struct jc_remote_instance, i);

      if (strcmp (candidate->instance->region, region) == 0 && draw-- == 0)
        return candidate;
    }
  return NULL;
}

/* Return a pseudo-random number from 0 to 1 for the shared parts of DEMAND and
   REGION, the same in all instances.  */
static double
prefix_draw (const char *region, const struct jc_demand *demand)
{
  uint64_t hash = demand->prefix_hash[demand->parts_count - 2];

  for (const char *c = region; *c != '\0'; c++)
    hash = (hash ^ (unsigned char)*c) * 1099511628211U;
  hash = (hash ^ hash >> 31) * 0x94D049BB133111EBU;
  hash ^= hash >> 29;
  return ((double)(hash >> 11) + 1) / ((double)(1ULL << 53) + 1);
}

/* Return the name of the region in REGIONS, an array of struct
   jc_remote_region, that the shared parts of DEMAND are assigned to by weighted
   rendezvous hashing, or NULL if they are too small.  The share of prefixes of
   each region equals its share of the endpoints, so the peak of one region is
   spread over all, and no prefix is prefilled in every region.  */
const char *
jc_remote_prefix_region (const GArray *regions, const struct jc_demand *demand)
{
  const char *best = NULL;
  double best_weight = 0;

  if (demand->parts_count < 2
      || demand->prefix_tokens[demand->parts_count - 2] < PREFIX_TOKENS_MIN)
    return NULL;
  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_remote_region *region
          = &g_array_index (regions, struct jc_remote_region, i);
      double weight
          = region->endpoints / -log (prefix_draw (region->name, demand));

      if (best != NULL && weight <= best_weight)
        continue;
      best = region->name;
      best_weight = weight;
    }
  return best;
}

/* Return true if a request should be sent to another region, where an average
   request takes REMOTE_MS, although it takes LOCAL_MS here.  All instances of a
   region see the same room elsewhere, so only a fraction of the requests that
   would gain is sent: DRAW is uniformly random from 0 to 1.  */
bool
jc_remote_is_faster (int64_t local_ms, int64_t remote_ms, double draw)
{
  int64_t gain = local_ms - remote_ms - REMOTE_COST_MS;

  return gain > 0 && draw * (double)local_ms < (double)gain;
}

/* Return true if the other instances of a region would refuse a request that
   one of them refused with ERROR, a status name.  They use the same endpoints,
   so they would, unless the error concerns only that instance, such as a route
   that its version of the configuration lacks.  */
bool
jc_remote_refusal_is_regional (const char *error)
{
  return strcmp (error, jc_status_name (JC_DRAINING)) != 0
         && strcmp (error, jc_status_name (JC_NOT_READY)) != 0
         && strcmp (error, jc_status_name (JC_OUT_OF_REACH)) != 0
         && strcmp (error, jc_status_name (JC_UNKNOWN_ROUTE)) != 0
         && strcmp (error, jc_status_name (JC_API_KEY_REFUSED)) != 0;
}

/* Return true if an instance that refused a request with ERROR, a status name,
   did so by its head, before it sent it to any endpoint.  */
bool
jc_remote_refusal_is_at_head (const char *error)
{
  return !jc_remote_refusal_is_regional (error)
         && strcmp (error, jc_status_name (JC_OUT_OF_REACH)) != 0;
}
