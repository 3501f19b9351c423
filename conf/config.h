/* Configuration: a validated set of named objects at one version.  */

#ifndef JC_CONFIG_H
#define JC_CONFIG_H

#include "base/fields.h"
#include "base/status.h"
#include "base/str.h"
#include "schema/gen/objects.h"

/* An immutable set of objects.  JSON maps "kind/name" to the object as it was
   submitted.  */
struct jc_config
{
  uint64_t version;
  json_t *json;
  GHashTable *by_name[JC_OBJECT_KINDS];
  GHashTable *product_by_key;
};

struct jc_config *jc_config_empty (void);
struct jc_config *jc_config_from_json (json_t *objects, uint64_t version,
                                       GPtrArray *faults);
struct jc_config *jc_config_apply (const struct jc_config *base,
                                   const json_t *change, uint64_t version,
                                   GPtrArray *faults);
json_t *jc_config_delta (const json_t *change);
struct jc_config *jc_config_patch (const struct jc_config *base,
                                   const json_t *delta, uint64_t version);
void jc_config_free (struct jc_config *config);
const void *jc_config_find (const struct jc_config *config,
                            enum jc_object_kind kind, const char *name);
const struct jc_product *
jc_config_product_of_key (const struct jc_config *config, const char *key);
bool jc_config_allows (const struct jc_config *config,
                       const struct jc_product *product,
                       const struct jc_route *route, const char *region);
const char *jc_config_region_of_zone (const struct jc_config *config,
                                      const char *zone);

#endif
