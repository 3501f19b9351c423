/* Summaries of the regions' capacity, and the entry instances of the group
   that other modules may turn to.  */

#ifndef JC_REGIONS_H
#define JC_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

/* What is known of one service and model in one region.  AGE_MS tells how
   old the oldest part is.  */
struct jc_capacity
{
  unsigned int endpoints;
  unsigned int free_slots;
  unsigned int expected_wait_ms;
  int64_t age_ms;
};

/* An entry instance as its heartbeats or a summary show it.  */
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

/* Gets the SERVICE, MODEL and numbers of a row.  */
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
