/* Copies of presence reports, in which entry instances describe themselves.  */

#ifndef JC_PRESENCE_H
#define JC_PRESENCE_H

#include <stdbool.h>

#include "schema/gen/messages.h"

void jc_presence_copy (struct rpc_presence *out,
                       const struct rpc_presence *presence);
void jc_presence_clear (struct rpc_presence *presence);
bool jc_presence_reaches (const struct rpc_presence *presence,
                          const char *service);

#endif
