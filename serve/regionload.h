/* Region load: how many of a region's requests to a plain service are sent to
   other regions, from the offered load and the capacity of each.  */

#ifndef JC_REGION_LOAD_H
#define JC_REGION_LOAD_H

#include <glib.h>
#include <stdint.h>

/* Load of a region: its callers send OFFERED_PER_S requests per second, and its
   endpoints can serve up to CAPACITY_PER_S.  */
struct jc_region_load
{
  const char *name;
  double offered_per_s;
  double capacity_per_s;
};

/* Exponentially decaying average of requests per second.  */
struct jc_request_rate
{
  double per_s;
  int64_t updated_ms;
};

void jc_request_rate_add (struct jc_request_rate *rate, int64_t now_ms);
double jc_request_rate_at (const struct jc_request_rate *rate, int64_t now_ms);
const char *jc_region_load_spill (const GArray *regions,
                                  const char *local_region, double draw);

#endif
