/* Offered load: how much of what a region's callers ask of a plain service goes
   to other regions, by what is asked and what can be served in each of them. */

#ifndef JC_REGION_LOAD_H
#define JC_REGION_LOAD_H

#include <glib.h>
#include <stdint.h>

/* A region's callers ask for OFFERED requests a second; its endpoints serve
   CAPACITY at most.  */
struct jc_region_load
{
  const char *name;
  double offered_per_s;
  double capacity_per_s;
};

/* Requests a second, as an average that forgets.  */
struct jc_request_rate
{
  double per_s;
  int64_t updated_ms;
};

void jc_request_rate_add (struct jc_request_rate *rate, int64_t now_ms);
double jc_request_rate_at (const struct jc_request_rate *rate, int64_t now_ms);
const char *jc_region_load_spill (const GArray *regions, const char *own,
                                  double draw);

#endif
