/* Directory of entry instances.  */

#include <string.h>

#include "member/directory.h"

enum
{
  DEFAULT_WEIGHT = 100,
  SAME_ZONE_LATENCY_MS = 0,
  SAME_REGION_LATENCY_MS = 2,
  DEFAULT_LINK_LATENCY_MS = 80
};

static bool
link_connects (const struct jc_link *link, const char *a, const char *b)
{
  return (strcmp (link->a, a) == 0 && strcmp (link->b, b) == 0)
         || (strcmp (link->a, b) == 0 && strcmp (link->b, a) == 0);
}

/* Return the one-way latency in ms between the regions A and B, a default where
   the configuration has no link between them.  */
static int64_t
latency_ms (const struct jc_config *config, const char *a, const char *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, config->by_name[JC_OBJECT_LINK]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_link *link = value;

      if (link_connects (link, a, b))
        return link->latency_ms;
    }
  return DEFAULT_LINK_LATENCY_MS;
}

static int64_t
distance_ms (const struct jc_directory_query *query,
             const struct jc_instance_view *view)
{
  if (strcmp (view->zone, query->zone) == 0)
    return SAME_ZONE_LATENCY_MS;
  if (strcmp (view->region, query->region) == 0)
    return SAME_REGION_LATENCY_MS;
  return SAME_REGION_LATENCY_MS
         + latency_ms (query->config, view->region, query->region);
}

static int64_t
instance_weight (const struct jc_config *config, const char *name)
{
  const struct jc_instance *instance
      = jc_config_find (config, JC_OBJECT_INSTANCE, name);

  return instance != NULL ? instance->weight : DEFAULT_WEIGHT;
}

static int
compare_rows (gconstpointer a, gconstpointer b)
{
  const struct jc_directory_row *left = a;
  const struct jc_directory_row *right = b;

  if (left->distance_ms != right->distance_ms)
    return left->distance_ms < right->distance_ms ? -1 : 1;
  return strcmp (left->view->name, right->view->name);
}

/* Return an array of struct jc_directory_row for the instances that have been
   heard from recently, accept callers, are not draining, have a weight above 0
   and are in a region that the product's residency allows.  Rows are sorted by
   distance, then by name.  The caller frees the array.  */
GArray *
jc_directory_list (const struct jc_regions *regions,
                   const struct jc_directory_query *query, int64_t now_ms)
{
  static const struct jc_route any_route = { .residency = (char *)"" };
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct jc_directory_row));
  GPtrArray *views = g_ptr_array_new ();

  jc_regions_list_instances (regions, NULL, now_ms, views);
  for (guint i = 0; i < views->len; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (views, i);
      struct jc_directory_row row
          = { .view = view,
              .weight = instance_weight (query->config, view->name),
              .distance_ms = distance_ms (query, view) };

      if (view->callers_address[0] != '\0' && row.weight > 0
          && jc_config_allows (query->config, query->product, &any_route,
                               view->region))
        g_array_append_val (rows, row);
    }
  g_ptr_array_free (views, TRUE);
  g_array_sort (rows, compare_rows);
  return rows;
}
