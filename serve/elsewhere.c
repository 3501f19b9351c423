/* Elsewhere.  */

#include <string.h>

#include "serve/elsewhere.h"

/* Part of an engine's time that is left where work from other regions
   goes.  */
#define BUSY_LEFT 0.15

enum
{
  /* What the way to another region and back takes, and what a cold cache
     there costs: a request goes there only where it gains more.  */
  COST_MS = 250,
  PERMILLE = 1000
};

/* Tell whether a request of DEMAND would be taken at ROOM.  What is told of it
   is some time old, so some of the room is left.  */
bool
jc_elsewhere_has_room (const struct rpc_service_room *room,
                       const struct jc_demand *demand)
{
  return demand->prompt_tokens == 0
         || room->busy_permille
                < (jc_demand_busy_limit (demand) - BUSY_LEFT) * PERMILLE;
}

static const char *
best_region (const GArray *instances)
{
  const char *best = NULL;
  unsigned int least = 0;

  for (guint i = 0; i < instances->len; i++)
    {
      const struct jc_elsewhere *one
          = &g_array_index (instances, struct jc_elsewhere, i);

      if (best != NULL && one->room->answer_ms >= least)
        continue;
      best = one->instance->region;
      least = one->room->answer_ms;
    }
  return best;
}

/* Return one of INSTANCES, an array of struct jc_elsewhere, or NULL: of the
   region where a usual request takes the least time, the one that DRAW, evenly
   drawn, picks.  Each instance of a region sends to the same endpoints, so
   none of them needs to carry more than others.  */
const struct jc_elsewhere *
jc_elsewhere_pick (const GArray *instances, uint32_t draw)
{
  const char *region = best_region (instances);
  unsigned int count = 0;

  for (guint i = 0; i < instances->len; i++)
    count += strcmp (g_array_index (instances, struct jc_elsewhere, i)
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
      const struct jc_elsewhere *one
          = &g_array_index (instances, struct jc_elsewhere, i);

      if (strcmp (one->instance->region, region) == 0 && draw-- == 0)
        return one;
    }
  return NULL;
}

/* Tell whether a request goes to another region, where a usual one takes
   AWAY_MS, rather than stay where it takes HERE_MS.  All instances of a region
   see the same room elsewhere, so only a share of what would gain goes: DRAW
   is drawn evenly from 0 to 1.  */
bool
jc_elsewhere_gains (int64_t here_ms, int64_t away_ms, double draw)
{
  int64_t gain = here_ms - away_ms - COST_MS;

  return gain > 0 && draw * (double)here_ms < (double)gain;
}
