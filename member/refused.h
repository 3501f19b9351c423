/* Reports that were refused since a later one of the same endpoint or address
   is known.  */

#ifndef JC_REFUSED_H
#define JC_REFUSED_H

#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

struct jc_refused;

struct jc_refused *jc_refused_new (void);
void jc_refused_free (struct jc_refused *refused);
bool jc_refused_add (struct jc_refused *refused,
                     const struct rpc_endpoint *report, int64_t heard_ms,
                     int64_t now_ms);
bool jc_refused_has (const struct jc_refused *refused,
                     const struct rpc_endpoint *report);
void jc_refused_remove (struct jc_refused *refused, const char *name);
void jc_refused_expire (struct jc_refused *refused, int64_t now_ms);

#endif
