/* Replica set of the log: which replicas hold it, on which disk, and which of
   them vote.  In rpc_replica, STANDING marks a replica that is designated to
   vote and VOTER one that does.  */

#ifndef JC_REPLICAS_H
#define JC_REPLICAS_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"
#include "schema/gen/messages.h"

struct rpc_replica *jc_replicas_find (const struct rpc_replicas *replicas,
                                      const char *name);
void jc_replicas_put (struct rpc_replicas *replicas,
                      const struct rpc_replica *replica);
bool jc_replicas_remove (struct rpc_replicas *replicas, const char *name);
unsigned int jc_replicas_count_voters (const struct rpc_replicas *replicas);
void jc_replicas_copy (struct rpc_replicas *to,
                       const struct rpc_replicas *from);
void jc_replicas_clear (struct rpc_replicas *replicas);
void jc_replicas_encode (const struct rpc_replicas *replicas, GString *out);
bool jc_replicas_decode (struct jc_str data, struct rpc_replicas *replicas);

#endif
