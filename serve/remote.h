/* Choice of a remote region and of the entry instance there that a request is
   sent to.  */

#ifndef JC_REMOTE_H
#define JC_REMOTE_H

#include "serve/engine.h"

/* An instance of another region that a request may be sent to, the room that it
   reported, and the time that its engines need for what was handed over to them
   since, ms.  */
struct jc_remote_instance
{
  const struct rpc_presence *instance;
  const struct rpc_service_room *room;
  int64_t reading_ms;
};

/* A region that may serve a request, and the number of its usable
   endpoints.  */
struct jc_remote_region
{
  const char *name;
  unsigned int endpoints;
};

bool jc_remote_has_room (const struct rpc_service_room *room,
                         const struct jc_demand *demand);
bool jc_remote_prefer_region (GArray *instances, const char *region);
const struct jc_remote_instance *
jc_remote_pick_instance (const GArray *instances, uint32_t draw);
int64_t jc_remote_answer_ms (const struct jc_remote_instance *remote);
const char *jc_remote_prefix_region (const GArray *regions,
                                     const struct jc_demand *demand);
bool jc_remote_refusal_is_regional (const char *error);
bool jc_remote_refusal_is_at_head (const char *error);
bool jc_remote_is_faster (int64_t local_ms, int64_t remote_ms, double draw);

#endif
