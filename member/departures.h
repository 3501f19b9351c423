/* Endpoints that were acknowledged to leave.  They are decided in the
   replicated log, so that whoever connects later is told, whichever state
   instance took the leave.  */

#ifndef JC_DEPARTURES_H
#define JC_DEPARTURES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

struct jc_departures;

struct jc_departures *jc_departures_new (void);
void jc_departures_free (struct jc_departures *departures);
GString *jc_departures_encode (const struct rpc_departure *departure);
bool jc_departures_contains (const struct jc_departures *departures,
                             const char *endpoint, uint64_t incarnation);
const struct rpc_departure *
jc_departures_apply (struct jc_departures *departures, struct jc_str data);
void jc_departures_list (const struct jc_departures *departures,
                         GPtrArray *out);
void jc_departures_snapshot (const struct jc_departures *departures,
                             json_t *out);
enum jc_status jc_departures_restore (struct jc_departures *departures,
                                      const json_t *in);

#endif
