/* Offered load.  */

#include <math.h>
#include <string.h>

#include "serve/regionload.h"

/* Part of its capacity that a region's own callers may use before any of them
   goes elsewhere: below it hardly any request waits for a place.  */
#define OWN_PART 0.75

enum
{
  /* Time over which requests are averaged: as old as what is told of other
     regions may be.  */
  RATE_MS = 1000,
  MS_PER_S = 1000
};

/* Count one more request in RATE.  */
void
jc_request_rate_add (struct jc_request_rate *rate, int64_t now_ms)
{
  rate->per_s = jc_request_rate_at (rate, now_ms) + (double)MS_PER_S / RATE_MS;
  rate->updated_ms = now_ms;
}

/* Return RATE as it is at NOW_MS.  */
double
jc_request_rate_at (const struct jc_request_rate *rate, int64_t now_ms)
{
  return rate->per_s * exp (-(double)(now_ms - rate->updated_ms) / RATE_MS);
}

static const struct jc_region_load *
find (const GArray *regions, const char *name)
{
  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_region_load *region
          = &g_array_index (regions, struct jc_region_load, i);

      if (strcmp (region->name, name) == 0)
        return region;
    }
  return NULL;
}

/* Return the part of its capacity that each region would use if the load were
   even.  */
static double
even_part (const GArray *regions)
{
  double offered = 0;
  double capacity = 0;

  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_region_load *region
          = &g_array_index (regions, struct jc_region_load, i);

      offered += region->offered_per_s;
      capacity += region->capacity_per_s;
    }
  return capacity > 0 ? offered / capacity : 0;
}

/* Return how many requests a second REGION lacks (is over) or could take (is
   under) where each region uses PART of its capacity.  */
static double
over (const struct jc_region_load *region, double part)
{
  return region->offered_per_s - part * region->capacity_per_s;
}

/* Return the one of REGIONS, an array of struct jc_region_load, that a
   request of a caller of OWN goes to, or NULL where it stays; DRAW is drawn
   evenly from 0 to 1.  All instances compute the same parts from the same
   figures, so that what goes away is neither too little nor an avalanche.  */
const char *
jc_region_load_spill (const GArray *regions, const char *own, double draw)
{
  const struct jc_region_load *here = find (regions, own);
  double part = MAX (even_part (regions), OWN_PART);
  double spare = 0;
  double at;

  if (here == NULL || here->offered_per_s <= 0 || over (here, part) <= 0
      || draw * here->offered_per_s >= over (here, part))
    return NULL;
  for (guint i = 0; i < regions->len; i++)
    spare += MAX (
        -over (&g_array_index (regions, struct jc_region_load, i), part), 0);
  at = draw * here->offered_per_s / over (here, part) * spare;
  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_region_load *region
          = &g_array_index (regions, struct jc_region_load, i);
      double room = MAX (-over (region, part), 0);

      if (room > at)
        return region->name;
      at -= room;
    }
  return NULL;
}
