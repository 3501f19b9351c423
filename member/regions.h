/* Capacity of the regions, from the summaries that other zones and regions
   send, and the entry instances of all regions.  */

#ifndef JC_REGIONS_H
#define JC_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

/* Capacity for one service and model in one region, summed up over its zones.
   EXPECTED_WAIT_MS is the shortest wait of them; AGE_MS is the age of the
   oldest summary.  */
struct jc_capacity
{
  unsigned int endpoints;
  unsigned int free_slots;
  unsigned int expected_wait_ms;
  int64_t age_ms;
};

/* An entry instance as described by itself or by a summary.  CALLERS_ADDRESS is
   empty until it accepts callers.  LAST_SEEN_MS is the monotonic time of the
   latest description.  */
struct jc_instance_view
{
  char *name;
  char *region;
  char *zone;
  char *callers_address;
  uint64_t incarnation;
  bool draining;
  int64_t last_seen_ms;
};

struct jc_regions;

/* Called for each row by jc_regions_foreach_row.  ROW is borrowed.  */
typedef void jc_regions_row_fn (void *ctx, const struct rpc_summary_row *row);

struct jc_regions *jc_regions_new (void);
void jc_regions_free (struct jc_regions *regions);
bool jc_regions_apply_summary (struct jc_regions *regions,
                               const struct rpc_region_summary *summary,
                               int64_t now_ms);
void jc_regions_reset_sequence (struct jc_regions *regions, const char *region,
                                const char *zone);
bool jc_regions_get_capacity (const struct jc_regions *regions,
                              const char *region, const char *service,
                              const char *model, int64_t now_ms,
                              struct jc_capacity *out);
void jc_regions_foreach_row (const struct jc_regions *regions,
                             const char *region, int64_t now_ms,
                             jc_regions_row_fn *fn, void *ctx);
void jc_regions_update_instance (struct jc_regions *regions, const char *name,
                                 const char *region, const char *zone,
                                 const char *callers_address,
                                 uint64_t incarnation, bool draining,
                                 int64_t now_ms);
void jc_regions_list_instances (const struct jc_regions *regions,
                                const char *region, int64_t now_ms,
                                GPtrArray *out);
void jc_regions_expire (struct jc_regions *regions, int64_t now_ms);
uint64_t jc_summary_tag (const char *service, const char *model);

#endif
