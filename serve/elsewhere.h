/* Elsewhere: which entry instance of another region is asked to serve a
   request.  */

#ifndef JC_ELSEWHERE_H
#define JC_ELSEWHERE_H

#include "serve/engine.h"

/* One instance of another region that may be asked, with the room that it
   tells of.  */
struct jc_elsewhere
{
  const struct rpc_presence *instance;
  const struct rpc_service_room *room;
};

/* A region that may serve a request, by its number of usable endpoints.  */
struct jc_elsewhere_region
{
  const char *name;
  unsigned int endpoints;
};

bool jc_elsewhere_has_room (const struct rpc_service_room *room,
                            const struct jc_demand *demand);
const struct jc_elsewhere *jc_elsewhere_pick (const GArray *instances,
                                              uint32_t draw);
const char *jc_elsewhere_home (const GArray *regions,
                               const struct jc_demand *demand);
bool jc_elsewhere_refuses_all (const char *error);
bool jc_elsewhere_gains (int64_t here_ms, int64_t away_ms, double draw);

#endif
