/* Directory: the entry instances that the callers of a product may use.  */

#ifndef JC_DIRECTORY_H
#define JC_DIRECTORY_H

#include "conf/config.h"
#include "member/regions.h"

/* One instance of a directory.  VIEW is borrowed from the struct jc_regions.
   WEIGHT is from the configuration.  DISTANCE_MS is the one-way latency from
   the caller.  */
struct jc_directory_row
{
  const struct jc_instance_view *view;
  int64_t weight;
  int64_t distance_ms;
};

/* A query of a caller of PRODUCT who is in ZONE of REGION.  */
struct jc_directory_query
{
  const struct jc_config *config;
  const struct jc_product *product;
  const char *zone;
  const char *region;
};

GArray *jc_directory_list (const struct jc_regions *regions,
                           const struct jc_directory_query *query,
                           int64_t now_ms);

#endif
