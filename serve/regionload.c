/* Balancing of offered load between regions.  */

#include <math.h>
#include <string.h>

#include "serve/regionload.h"

/* Utilization of a region up to which all of its own callers' requests stay:
   below it hardly any request waits for a slot.  */
#define LOCAL_UTILIZATION_MAX 0.75

enum
{
  /* Time constant of the average request rate: the maximum age of what is known
     of other regions.  */
  RATE_WINDOW_MS = 1000,
  MS_PER_S = 1000
};

/* Count one more request in RATE.  */
void
jc_request_rate_add (struct jc_request_rate *rate, int64_t now_ms)
{
  rate->per_s
      = jc_request_rate_at (rate, now_ms) + (double)MS_PER_S / RATE_WINDOW_MS;
  rate->updated_ms = now_ms;
}

/* Return RATE at NOW_MS, in requests per second.  */
double
jc_request_rate_at (const struct jc_request_rate *rate, int64_t now_ms)
{
  return rate->per_s
         * exp (-(double)(now_ms - rate->updated_ms) / RATE_WINDOW_MS);
}

static const struct jc_region_load *
region_find (const GArray *regions, const char *name)
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

/* Return the utilization of each region if the load were balanced.  */
static double
mean_utilization (const GArray *regions)
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

/* Return by how many requests per second REGION exceeds UTILIZATION of its
   capacity; negative if it could take more.  */
static double
excess_per_s (const struct jc_region_load *region, double utilization)
{
  return region->offered_per_s - utilization * region->capacity_per_s;
}

/* Return the region in REGIONS, an array of struct jc_region_load, that a
   request from a caller of LOCAL_REGION is sent to, or NULL if it stays.  DRAW
   is uniformly random from 0 to 1.  All instances compute the same shares from
   the same loads, so together they send neither too little nor too much.  */
const char *
jc_region_load_spill (const GArray *regions, const char *local_region,
                      double draw)
{
  const struct jc_region_load *local = region_find (regions, local_region);
  double utilization = MAX (mean_utilization (regions), LOCAL_UTILIZATION_MAX);
  double total_spare = 0;
  double offset;

  if (local == NULL || local->offered_per_s <= 0
      || excess_per_s (local, utilization) <= 0
      || draw * local->offered_per_s >= excess_per_s (local, utilization))
    return NULL;
  for (guint i = 0; i < regions->len; i++)
    total_spare += MAX (
        -excess_per_s (&g_array_index (regions, struct jc_region_load, i),
                       utilization),
        0);
  offset = draw * local->offered_per_s / excess_per_s (local, utilization)
           * total_spare;
  for (guint i = 0; i < regions->len; i++)
    {
      const struct jc_region_load *region
          = &g_array_index (regions, struct jc_region_load, i);
      double spare_per_s = MAX (-excess_per_s (region, utilization), 0);

      if (spare_per_s > offset)
        return region->name;
      offset -= spare_per_s;
    }
  return NULL;
}
