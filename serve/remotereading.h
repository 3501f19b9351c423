/* What the instances of this region have handed over to another region to be
   read there, and what its reports don't show yet.  */

#ifndef JC_REMOTE_READING_H
#define JC_REMOTE_READING_H

#include "serve/engine.h"

/* TOKENS of prompts that the engines of a region are taken to have unread at
   UPDATED_MS.  */
struct jc_remote_reading
{
  double tokens;
  int64_t updated_ms;
};

void jc_remote_reading_add (struct jc_remote_reading *reading,
                            const struct rpc_service_room *room,
                            const struct jc_demand *demand,
                            unsigned int instances, int64_t now_ms);
int64_t jc_remote_reading_ms (const struct jc_remote_reading *reading,
                              const struct rpc_service_room *room,
                              int64_t now_ms);
bool jc_remote_reading_has_room (const struct jc_remote_reading *reading,
                                 const struct rpc_service_room *room,
                                 const struct jc_demand *demand,
                                 int64_t now_ms);

#endif
