/* Spillover: choosing another region for a request that this region can't
   serve in time.  */

#include <string.h>

#include "entry/spillover.h"
#include "net/program.h"

/* Return the link between this region and REGION, or NULL.  */
static const struct jc_link *
find_link (const struct entry *entry, const char *region)
{
  const char *own = entry->settings->region;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->config->by_name[JC_OBJECT_LINK]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_link *link = value;

      if ((strcmp (link->a, own) == 0 && strcmp (link->b, region) == 0)
          || (strcmp (link->b, own) == 0 && strcmp (link->a, region) == 0))
        return link;
    }
  return NULL;
}

/* Return a connection to an entry instance of REGION that is known at NOW_MS,
   or NULL.  */
static struct jc_rpc_conn *
find_conn (const struct entry *entry, const char *region, int64_t now_ms)
{
  GPtrArray *views = g_ptr_array_new ();
  struct jc_rpc_conn *conn = NULL;

  jc_regions_list_instances (entry->regions, region, now_ms, views);
  for (guint i = 0; i < views->len && conn == NULL; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (views, i);

      conn = jc_rpc_find_conn (entry->rpc, view->name);
    }
  g_ptr_array_free (views, TRUE);
  return conn;
}

/* Return the names of the regions, sorted.  */
static GList *
sorted_regions (const struct entry *entry)
{
  GList *names
      = g_hash_table_get_keys (entry->config->by_name[JC_OBJECT_REGION]);

  return g_list_sort (names, (GCompareFunc)strcmp);
}

/* Return true if REGION is another region that the product and route of REQUEST
   may enter.  */
static bool
region_allowed (const struct entry *entry,
                const struct spillover_request *request, const char *region)
{
  return strcmp (region, entry->settings->region) != 0
         && jc_config_allows (entry->config, request->product, request->route,
                              region);
}

/* Decide whether REQUEST should go to REGION and set TARGET.  Set FINISH_MS to
   when it would be done there, ms from now, if there is a link.  */
static enum jc_spillover
evaluate_region (struct entry *entry, const struct spillover_request *request,
                 const char *region, int64_t now_ms, int64_t *finish_ms,
                 struct spillover_target *target)
{
  struct jc_spillover_query query = request->query;
  const struct jc_limit *limit
      = admission_limit (entry, request->product->name);
  struct jc_capacity capacity;
  enum jc_spillover verdict;

  jc_regions_get_capacity (entry->regions, region, request->route->service,
                           request->route->model_version, now_ms, &capacity);
  query.remote = &capacity;
  query.link = find_link (entry, region);
  query.weight = request->product->away_weight;
  if (query.link != NULL)
    {
      query.link_has_room = jc_limits_link_has_room (admission_limits (entry),
                                                     request->product->name,
                                                     limit, query.link, now_ms);
      *finish_ms = jc_spillover_finish_ms (&query);
    }
  verdict = jc_spillover_decide (&query);
  target->region = region;
  target->link = query.link;
  target->conn = find_conn (entry, region, now_ms);
  if (verdict == JC_SPILLOVER_SEND && target->conn == NULL)
    return JC_SPILLOVER_NO_CAPACITY;
  return verdict;
}

/* Set TARGET to the region where REQUEST would be done soonest, among those
   that it may enter and whose verdict is JC_SPILLOVER_SEND.  Return false and
   leave TARGET unchanged if REQUEST stays in this region.  ON_VERDICT, which
   may be NULL, gets the verdict on each region with CTX.  */
bool
spillover_choose (struct entry *entry, const struct spillover_request *request,
                  spillover_verdict_fn *on_verdict, void *ctx,
                  struct spillover_target *target)
{
  GList *regions = sorted_regions (entry);
  int64_t now = jc_now_ms ();
  int64_t best_ms = INT64_MAX;

  for (GList *item = regions; item != NULL; item = item->next)
    {
      struct spillover_target candidate = { 0 };
      int64_t finish_ms = 0;
      enum jc_spillover verdict;

      if (!region_allowed (entry, request, item->data))
        continue;
      verdict = evaluate_region (entry, request, item->data, now, &finish_ms,
                                 &candidate);
      if (on_verdict != NULL)
        on_verdict (ctx, item->data, verdict, finish_ms);
      if (verdict != JC_SPILLOVER_SEND || finish_ms >= best_ms)
        continue;
      best_ms = finish_ms;
      *target = candidate;
    }
  g_list_free (regions);
  return best_ms < INT64_MAX;
}
