/* Summaries of the regions' capacity.  */

#include <string.h>

#include "member/regions.h"

enum
{
  SUMMARY_STALE_MS = 5000,
  INSTANCE_STALE_MS = 3000
};

/* One zone's row for one service and model.  */
struct row
{
  char *region;
  char *service;
  char *model;
  uint64_t sequence;
  struct rpc_summary_row said;
  int64_t heard_ms;
};

struct jc_regions
{
  GHashTable *rows;
  GHashTable *instances;
};

static void
row_free (gpointer data)
{
  struct row *row = data;

  g_free (row->region);
  g_free (row->service);
  g_free (row->model);
  g_free (row);
}

static void
instance_free (gpointer data)
{
  struct jc_instance_view *view = data;

  g_free (view->name);
  g_free (view->region);
  g_free (view->zone);
  g_free (view->callers_address);
  g_free (view);
}

/* Return an empty table.  */
struct jc_regions *
jc_regions_new (void)
{
  struct jc_regions *regions = g_new0 (struct jc_regions, 1);

  regions->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  regions->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, instance_free);
  return regions;
}

/* Free REGIONS.  */
void
jc_regions_free (struct jc_regions *regions)
{
  g_hash_table_destroy (regions->rows);
  g_hash_table_destroy (regions->instances);
  g_free (regions);
}

static void
row_take (struct jc_regions *regions, const struct rpc_region_summary *summary,
          const struct rpc_summary_row *said, int64_t now_ms)
{
  char *key
      = g_strconcat (summary->zone, "/", said->service, "/", said->model, NULL);
  struct row *row = g_hash_table_lookup (regions->rows, key);

  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->region = g_strdup (summary->region);
      row->service = g_strdup (said->service);
      row->model = g_strdup (said->model);
      g_hash_table_insert (regions->rows, g_strdup (key), row);
    }
  g_free (key);
  if (summary->sequence <= row->sequence)
    return;
  row->sequence = summary->sequence;
  row->said = *said;
  row->said.service = row->service;
  row->said.model = row->model;
  row->heard_ms = now_ms;
}

/* Take the SUMMARY of one zone.  */
void
jc_regions_summary (struct jc_regions *regions,
                    const struct rpc_region_summary *summary, int64_t now_ms)
{
  for (u_int i = 0; i < summary->rows.rows_len; i++)
    row_take (regions, summary, &summary->rows.rows_val[i], now_ms);
}

/* Set OUT to what is known of SERVICE and MODEL in REGION.  Return false
   where nothing fresh is known.  */
bool
jc_regions_capacity (const struct jc_regions *regions, const char *region,
                     const char *service, const char *model, int64_t now_ms,
                     struct jc_capacity *out)
{
  GHashTableIter iter;
  gpointer value;
  bool found = false;

  memset (out, 0, sizeof *out);
  g_hash_table_iter_init (&iter, regions->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct row *row = value;

      if (strcmp (row->region, region) != 0
          || strcmp (row->service, service) != 0
          || strcmp (row->model, model) != 0
          || now_ms - row->heard_ms > SUMMARY_STALE_MS)
        continue;
      if (!found || row->said.expected_wait_ms < out->expected_wait_ms)
        out->expected_wait_ms = row->said.expected_wait_ms;
      out->endpoints += row->said.endpoints;
      out->free_slots += row->said.free_slots;
      out->age_ms = MAX (out->age_ms, now_ms - row->heard_ms);
      found = true;
    }
  return found;
}

/* Note that the entry instance NAME was heard.  */
void
jc_regions_instance (struct jc_regions *regions, const char *name,
                     const char *region, const char *zone,
                     const char *callers_address, uint64_t incarnation,
                     bool draining, int64_t now_ms)
{
  struct jc_instance_view *view
      = g_hash_table_lookup (regions->instances, name);

  if (view == NULL)
    {
      view = g_new0 (struct jc_instance_view, 1);
      view->name = g_strdup (name);
      view->region = g_strdup (region);
      view->zone = g_strdup (zone);
      g_hash_table_insert (regions->instances, view->name, view);
    }
  g_free (view->callers_address);
  view->callers_address = g_strdup (callers_address);
  view->incarnation = incarnation;
  view->draining = draining;
  view->heard_ms = now_ms;
}

static int
compare_views (gconstpointer a, gconstpointer b)
{
  const struct jc_instance_view *left = *(struct jc_instance_view *const *)a;
  const struct jc_instance_view *right = *(struct jc_instance_view *const *)b;

  return strcmp (left->name, right->name);
}

/* Add to OUT, ordered by name, the entry instances of REGION (NULL for all)
   that were heard lately and are not draining.  */
void
jc_regions_instances (const struct jc_regions *regions, const char *region,
                      int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, regions->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_instance_view *view = value;

      if ((region == NULL || strcmp (view->region, region) == 0)
          && !view->draining && now_ms - view->heard_ms <= INSTANCE_STALE_MS)
        g_ptr_array_add (out, view);
    }
  g_ptr_array_sort (out, compare_views);
}
