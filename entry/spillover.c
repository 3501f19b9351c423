/* The choice of another region for a request.  */

#include <string.h>

#include "entry/spillover.h"
#include "net/program.h"

/* Return the link between this region and REGION, or NULL.  */
static const struct jc_link *
link_to (const struct entry *entry, const char *region)
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

/* Return a connection to an entry instance of REGION, or NULL.  */
static struct jc_rpc_conn *
conn_to (const struct entry *entry, const char *region, int64_t now_ms)
{
  GPtrArray *views = g_ptr_array_new ();
  struct jc_rpc_conn *conn = NULL;

  jc_regions_list_instances (entry->regions, region, now_ms, views);
  for (guint i = 0; i < views->len && conn == NULL; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (views, i);

      conn = jc_rpc_find (entry->rpc, view->name);
    }
  g_ptr_array_free (views, TRUE);
  return conn;
}

/* Return the names of the regions, sorted.  */
static GList *
regions_of (const struct entry *entry)
{
  GList *names
      = g_hash_table_get_keys (entry->config->by_name[JC_OBJECT_REGION]);

  return g_list_sort (names, (GCompareFunc)strcmp);
}

static bool
region_allowed (const struct entry *entry, const struct spillover_request *ask,
                const char *region)
{
  return strcmp (region, entry->settings->region) != 0
         && jc_config_allows (entry->config, ask->product, ask->route, region);
}

static enum jc_spillover
region_decide (struct entry *entry, const struct spillover_request *ask,
               const char *region, int64_t now_ms, int64_t *finish_ms,
               struct spillover_target *choice)
{
  struct jc_spillover_query query = ask->query;
  const struct jc_limit *limit = admission_limit (entry, ask->product->name);
  struct jc_capacity there;
  enum jc_spillover verdict;

  jc_regions_get_capacity (entry->regions, region, ask->route->service,
                           ask->route->model_version, now_ms, &there);
  query.remote = &there;
  query.link = link_to (entry, region);
  query.weight = ask->product->away_weight;
  if (query.link != NULL)
    {
      query.link_has_room = jc_limits_link_has_room (admission_limits (entry),
                                                     ask->product->name, limit,
                                                     query.link, now_ms);
      *finish_ms = jc_spillover_finish_ms (&query);
    }
  verdict = jc_spillover_decide (&query);
  choice->region = region;
  choice->link = query.link;
  choice->conn = conn_to (entry, region, now_ms);
  if (verdict == JC_SPILLOVER_SEND && choice->conn == NULL)
    return JC_SPILLOVER_NO_CAPACITY;
  return verdict;
}

/* Set CHOICE to where the request of ASK goes, the soonest done of the regions
   that its product may enter.  Return false where it stays.  TOLD, which may
   be NULL, hears each verdict with CTX.  */
bool
spillover_choose (struct entry *entry, const struct spillover_request *ask,
                  spillover_verdict_fn *told, void *ctx,
                  struct spillover_target *choice)
{
  GList *regions = regions_of (entry);
  int64_t now = jc_now_ms ();
  int64_t best_ms = INT64_MAX;

  for (GList *item = regions; item != NULL; item = item->next)
    {
      struct spillover_target one = { 0 };
      int64_t finish_ms = 0;
      enum jc_spillover verdict;

      if (!region_allowed (entry, ask, item->data))
        continue;
      verdict = region_decide (entry, ask, item->data, now, &finish_ms, &one);
      if (told != NULL)
        told (ctx, item->data, verdict, finish_ms);
      if (verdict != JC_SPILLOVER_SEND || finish_ms >= best_ms)
        continue;
      best_ms = finish_ms;
      *choice = one;
    }
  g_list_free (regions);
  return best_ms < INT64_MAX;
}
