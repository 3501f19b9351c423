/* Offered load: how much of what a region's callers ask of a plain service goes
   to other regions, by what is asked and what can be served in each of them. */

#ifndef JC_OFFERED_H
#define JC_OFFERED_H

#include <glib.h>
#include <stdint.h>

/* A region's callers ask for OFFERED requests a second; its endpoints serve
   CAPACITY at most.  */
struct jc_offered_region
{
  const char *name;
  double offered;
  double capacity;
};

/* Requests a second, as an average that forgets.  */
struct jc_offered_rate
{
  double per_s;
  int64_t at_ms;
};

void jc_offered_count (struct jc_offered_rate *rate, int64_t now_ms);
double jc_offered_now (const struct jc_offered_rate *rate, int64_t now_ms);
const char *jc_offered_away (const GArray *regions, const char *own,
                             double draw);

#endif
