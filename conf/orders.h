/* Orders of operators, in the order of the replicated log: the newest route
   table and the availability zones that are evacuated.  */

#ifndef JC_ORDERS_H
#define JC_ORDERS_H

#include <jansson.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

/* POSITION is the log index of the last order that had an effect.  TABLE_TEXT
   is the route table of TABLE_VERSION as it was sent, empty before the first;
   EVACUATED_ZONES is a set of zone names.  ZONE_CHANGES maps names of zones to
   the index (uint64_t) of the last order for them, with an effect or without;
   zones that it lacks have none after ZONE_FLOOR.  READMITTED maps those of
   these zones that were evacuated and are no more to the index of the order
   that readmitted them.  */
struct jc_orders
{
  uint64_t position;
  uint64_t table_version;
  GString *table_text;
  GHashTable *evacuated_zones;
  GHashTable *zone_changes;
  GHashTable *readmitted;
  uint64_t zone_floor;
};

struct jc_orders *jc_orders_new (void);
void jc_orders_free (struct jc_orders *orders);
GString *jc_orders_encode (const struct rpc_order *order);
bool jc_orders_apply (struct jc_orders *orders, uint64_t index,
                      struct jc_str data);
GString *jc_orders_encode_zone (const struct rpc_order *order,
                                uint64_t applied);
bool jc_orders_apply_zone (struct jc_orders *orders, uint64_t index,
                           struct jc_str data, enum jc_status *outcome);
bool jc_orders_can_evacuate (const struct jc_orders *orders, const char *zone);
bool jc_orders_is_noop (const struct jc_orders *orders,
                        const struct rpc_order *order);
bool jc_orders_is_evacuated (const struct jc_orders *orders, const char *zone);
bool jc_orders_update (struct jc_orders *orders,
                       const struct rpc_orders *message);
void jc_orders_to_message (const struct jc_orders *orders,
                           uint64_t have_version, struct rpc_orders *out);
void jc_orders_snapshot (const struct jc_orders *orders, json_t *out);
enum jc_status jc_orders_restore (struct jc_orders *orders, const json_t *in);

#endif
