/* Elsewhere.  */

#include <math.h>
#include <string.h>

#include "serve/remote.h"

/* Part of an engine's time that is left where work from other regions
   goes.  */
#define BUSY_LEFT 0.15

enum
{
  /* What the way to another region and back takes, and what a cold cache
     there costs: a request goes there only where it gains more.  */
  COST_MS = 250,
  /* Shared tokens from which on a request goes to the region where they meet:
     reading them takes 20 ms of an engine, as long as the hand-over takes of
     the link and of two instances.  */
  MEET_TOKENS = 1000,
  PERMILLE = 1000
};

/* Tell whether a request of DEMAND would be taken at ROOM.  What is told of it
   is some time old, so some of the room is left.  */
bool
jc_remote_has_room (const struct rpc_service_room *room,
                    const struct jc_demand *demand)
{
  return demand->prompt_tokens == 0
         || room->busy_permille
                < (jc_demand_prefill_limit (demand) - BUSY_LEFT) * PERMILLE;
}

static const char *
best_region (const GArray *instances)
{
  const char *best = NULL;
  unsigned int least = 0;

  for (guint i = 0; i < instances->len; i++)
    {
      const struct jc_remote_instance *one
          = &g_array_index (instances, struct jc_remote_instance, i);

      if (best != NULL && one->room->answer_ms >= least)
        continue;
      best = one->instance->region;
      least = one->room->answer_ms;
    }
  return best;
}

/* Return one of INSTANCES, an array of struct jc_remote_instance, or NULL: of
   the region where a usual request takes the least time, the one that DRAW,
   evenly drawn, picks.  Each instance of a region sends to the same endpoints,
   so none of them needs to carry more than others.  */
const struct jc_remote_instance *
jc_remote_pick_instance (const GArray *instances, uint32_t draw)
{
  const char *region = best_region (instances);
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
      const struct jc_remote_instance *one
          = &g_array_index (instances, struct jc_remote_instance, i);

      if (strcmp (one->instance->region, region) == 0 && draw-- == 0)
        return one;
    }
  return NULL;
}

/* Return an even draw from 0 to 1 that all instances share for the shared parts
   of DEMAND in REGION.  */
static double
shared_draw (const char *region, const struct jc_demand *demand)
{
  uint64_t hash = demand->prefix_hash[demand->parts_count - 2];

  for (const char *c = region; *c != '\0'; c++)
    hash = (hash ^ (unsigned char)*c) * 1099511628211U;
  hash = (hash ^ hash >> 31) * 0x94D049BB133111EBU;
  hash ^= hash >> 29;
  return ((double)(hash >> 11) + 1) / ((double)(1ULL << 53) + 1);
}

/* Return the name of the one of REGIONS, an array of struct
   jc_remote_region, where requests with the shared parts of DEMAND meet, or
   NULL where these are too small for that.  Each region has as great a share of
   all parts as of all endpoints, so that what callers of one region ask at
   their peak is spread over all, and no part is read in each region.  */
const char *
jc_remote_prefix_region (const GArray *regions, const struct jc_demand *demand)
{
  const char *best = NULL;
  double most = 0;

  if (demand->parts_count < 2
      || demand->prefix_tokens[demand->parts_count - 2] < MEET_TOKENS)
    return NULL;
  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_remote_region *region
          = &g_array_index (regions, struct jc_remote_region, i);
      double weight
          = region->endpoints / -log (shared_draw (region->name, demand));

      if (best != NULL && weight <= most)
        continue;
      best = region->name;
      most = weight;
    }
  return best;
}

/* Tell whether a request goes to another region, where a usual one takes
   AWAY_MS, rather than stay where it takes HERE_MS.  All instances of a region
   see the same room elsewhere, so only a share of what would gain goes: DRAW
   is drawn evenly from 0 to 1.  */
bool
jc_remote_is_faster (int64_t here_ms, int64_t away_ms, double draw)
{
  int64_t gain = here_ms - away_ms - COST_MS;

  return gain > 0 && draw * (double)here_ms < (double)gain;
}

/* Tell whether the other instances of a region would refuse a request too where
   one of them did so with ERROR, the name of a status: they see the same
   endpoints, so only what concerns that process alone tells nothing of them. */
bool
jc_remote_refusal_is_regional (const char *error)
{
  return strcmp (error, jc_status_name (JC_DRAINING)) != 0
         && strcmp (error, jc_status_name (JC_NOT_READY)) != 0;
}
