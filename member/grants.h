/* Grants: each gives one entry instance the exclusive right to send requests to
   a cold endpoint.  Grants are decided in the replicated log, so that an
   endpoint never has more than one instance, whatever the instances know of
   each other.  */

#ifndef JC_GRANTS_H
#define JC_GRANTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

struct jc_grants;

struct jc_grants *jc_grants_new (void);
void jc_grants_free (struct jc_grants *grants);
GString *jc_grants_encode (const struct rpc_grant *grant);
bool jc_grants_can_grant (const struct jc_grants *grants, const char *endpoint,
                          uint64_t incarnation);
bool jc_grants_apply (struct jc_grants *grants, struct jc_str data,
                      const struct rpc_grant **granted);
void jc_grants_list (const struct jc_grants *grants, const char *instance,
                     uint64_t instance_incarnation, GPtrArray *out);
unsigned int jc_grants_count (const struct jc_grants *grants);
void jc_grants_snapshot (const struct jc_grants *grants, json_t *out);
enum jc_status jc_grants_restore (struct jc_grants *grants, const json_t *in);

#endif
