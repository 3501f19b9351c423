/* Summaries of the regions' capacity.  */

#include <string.h>

#include "member/endpoints.h"
#include "member/regions.h"

enum
{
  SUMMARY_STALE_MS = 8000,
  INSTANCE_STALE_MS = 3000,
  FORGET_MS = 600000,
  ROWS_MAX = 4096
};

/* One row for one service and model.  */
struct row
{
  char *service;
  char *model;
  struct rpc_summary_row said;
};

/* What one summary covers: a region, or a zone of the own region.  ROWS are
   by tag, LISTED by name.  */
struct group
{
  char *region;
  uint64_t sequence;
  int64_t heard_ms;
  GHashTable *rows;
  GHashTable *listed;
};

struct jc_regions
{
  GHashTable *groups;
  GHashTable *instances;
};

static void
row_free (gpointer data)
{
  struct row *row = data;

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

static void
group_free (gpointer data)
{
  struct group *group = data;

  g_free (group->region);
  g_hash_table_destroy (group->rows);
  g_hash_table_destroy (group->listed);
  g_free (group);
}

/* Return an empty table.  */
struct jc_regions *
jc_regions_new (void)
{
  struct jc_regions *regions = g_new0 (struct jc_regions, 1);

  regions->groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, group_free);
  regions->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, instance_free);
  return regions;
}

/* Free REGIONS.  */
void
jc_regions_free (struct jc_regions *regions)
{
  g_hash_table_destroy (regions->groups);
  g_hash_table_destroy (regions->instances);
  g_free (regions);
}

/* Return the tag of the row of SERVICE and MODEL.  */
uint64_t
jc_summary_tag (const char *service, const char *model)
{
  return jc_name_pair_hash (service, model);
}

static struct group *
regions_group (struct jc_regions *regions, const char *region, const char *zone)
{
  char *key = g_strconcat (region, "/", zone, NULL);
  struct group *group = g_hash_table_lookup (regions->groups, key);

  if (group != NULL)
    {
      g_free (key);
      return group;
    }
  group = g_new0 (struct group, 1);
  group->region = g_strdup (region);
  group->rows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, row_free);
  group->listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, instance_free);
  g_hash_table_insert (regions->groups, key, group);
  return group;
}

static void
row_take (struct group *group, const struct rpc_summary_row *said)
{
  uint64_t tag = jc_summary_tag (said->service, said->model);
  struct row *row = g_hash_table_lookup (group->rows, &tag);

  if (row == NULL && g_hash_table_size (group->rows) >= ROWS_MAX)
    return;
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->service = g_strdup (said->service);
      row->model = g_strdup (said->model);
      g_hash_table_insert (group->rows, g_memdup2 (&tag, sizeof tag), row);
    }
  row->said = *said;
  row->said.service = row->service;
  row->said.model = row->model;
}

static bool
load_take (struct group *group, const struct rpc_summary_load *load)
{
  uint64_t tag = load->tag;
  struct row *row = g_hash_table_lookup (group->rows, &tag);

  if (row == NULL)
    return false;
  row->said.endpoints = load->endpoints;
  row->said.free_slots = load->free_slots;
  row->said.expected_wait_ms = load->expected_wait_ms;
  return true;
}

static void
view_set (GHashTable *table, const struct jc_instance_view *said)
{
  struct jc_instance_view *view = g_hash_table_lookup (table, said->name);

  if (view == NULL)
    {
      view = g_new0 (struct jc_instance_view, 1);
      view->name = g_strdup (said->name);
      view->region = g_strdup (said->region);
      view->zone = g_strdup (said->zone);
      g_hash_table_insert (table, view->name, view);
    }
  if (g_strcmp0 (view->callers_address, said->callers_address) != 0)
    {
      g_free (view->callers_address);
      view->callers_address = g_strdup (said->callers_address);
    }
  view->incarnation = said->incarnation;
  view->draining = said->draining;
  view->last_seen_ms = said->last_seen_ms;
}

static void
group_list (struct group *group, const struct rpc_region_summary *summary,
            int64_t now_ms)
{
  g_hash_table_remove_all (group->listed);
  for (u_int i = 0; i < summary->instances.instances_len; i++)
    {
      const struct rpc_instance *said = &summary->instances.instances_val[i];
      struct jc_instance_view view = { .name = said->name,
                                       .region = summary->region,
                                       .zone = said->zone,
                                       .callers_address = said->callers_address,
                                       .incarnation = said->incarnation,
                                       .draining = said->draining,
                                       .last_seen_ms = now_ms };

      view_set (group->listed, &view);
    }
}

/* Take the SUMMARY of a region or zone, unless a later one is known.  Return
   false where it gives numbers of rows whose names are not known.  */
bool
jc_regions_apply_summary (struct jc_regions *regions,
                          const struct rpc_region_summary *summary,
                          int64_t now_ms)
{
  struct group *group = regions_group (regions, summary->region, summary->zone);
  bool known = true;

  if (summary->sequence <= group->sequence)
    return true;
  if (group->sequence == 0)
    g_hash_table_remove_all (group->rows);
  group->sequence = summary->sequence;
  group->heard_ms = now_ms;
  for (u_int i = 0; i < summary->rows.rows_len; i++)
    row_take (group, &summary->rows.rows_val[i]);
  for (u_int i = 0; i < summary->loads.loads_len; i++)
    if (!load_take (group, &summary->loads.loads_val[i]))
      known = false;
  if (summary->listed)
    group_list (group, summary, now_ms);
  return known;
}

/* Take the next summary of REGION and ZONE whatever its sequence, and in place
   of all before, since it comes from another sender.  */
void
jc_regions_reset_sequence (struct jc_regions *regions, const char *region,
                           const char *zone)
{
  regions_group (regions, region, zone)->sequence = 0;
}

static bool
group_fresh (const struct group *group, int64_t now_ms)
{
  return now_ms - group->heard_ms <= SUMMARY_STALE_MS;
}

static void
capacity_add (struct jc_capacity *out, const struct row *row, bool first,
              int64_t age_ms)
{
  if (first || row->said.expected_wait_ms < out->expected_wait_ms)
    out->expected_wait_ms = row->said.expected_wait_ms;
  out->endpoints += row->said.endpoints;
  out->free_slots += row->said.free_slots;
  out->age_ms = MAX (out->age_ms, age_ms);
}

/* Set OUT to what is known of SERVICE and MODEL in REGION; of the own region
   that is its other zones.  Return false where nothing fresh is known.  */
bool
jc_regions_get_capacity (const struct jc_regions *regions, const char *region,
                         const char *service, const char *model, int64_t now_ms,
                         struct jc_capacity *out)
{
  uint64_t tag = jc_summary_tag (service, model);
  GHashTableIter iter;
  gpointer value;
  bool found = false;

  memset (out, 0, sizeof *out);
  g_hash_table_iter_init (&iter, regions->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct group *group = value;
      const struct row *row = g_hash_table_lookup (group->rows, &tag);

      if (row == NULL || row->said.endpoints == 0
          || strcmp (group->region, region) != 0
          || !group_fresh (group, now_ms))
        continue;
      capacity_add (out, row, !found, now_ms - group->heard_ms);
      found = true;
    }
  return found;
}

/* Give FN every fresh row of REGION.  */
void
jc_regions_foreach_row (const struct jc_regions *regions, const char *region,
                        int64_t now_ms, jc_regions_row_fn *fn, void *ctx)
{
  GHashTableIter groups;
  GHashTableIter rows;
  gpointer value;

  g_hash_table_iter_init (&groups, regions->groups);
  while (g_hash_table_iter_next (&groups, NULL, &value))
    {
      const struct group *group = value;

      if (strcmp (group->region, region) != 0 || !group_fresh (group, now_ms))
        continue;
      g_hash_table_iter_init (&rows, group->rows);
      while (g_hash_table_iter_next (&rows, NULL, &value))
        if (((const struct row *)value)->said.endpoints > 0)
          fn (ctx, &((const struct row *)value)->said);
    }
}

/* Note that the entry instance NAME was heard.  */
void
jc_regions_update_instance (struct jc_regions *regions, const char *name,
                            const char *region, const char *zone,
                            const char *callers_address, uint64_t incarnation,
                            bool draining, int64_t now_ms)
{
  struct jc_instance_view view = { .name = (char *)name,
                                   .region = (char *)region,
                                   .zone = (char *)zone,
                                   .callers_address = (char *)callers_address,
                                   .incarnation = incarnation,
                                   .draining = draining,
                                   .last_seen_ms = now_ms };

  view_set (regions->instances, &view);
}

static int
compare_views (gconstpointer a, gconstpointer b)
{
  const struct jc_instance_view *left = *(struct jc_instance_view *const *)a;
  const struct jc_instance_view *right = *(struct jc_instance_view *const *)b;

  return strcmp (left->name, right->name);
}

static bool
view_fresh (const struct jc_instance_view *view, int64_t now_ms)
{
  return view != NULL && now_ms - view->last_seen_ms <= INSTANCE_STALE_MS;
}

static bool
view_wanted (const struct jc_instance_view *view, const char *region)
{
  return !view->draining
         && (region == NULL || strcmp (view->region, region) == 0);
}

/* Add what GROUP lists and no connection shows better.  */
static void
group_instances (const struct jc_regions *regions, const struct group *group,
                 const char *region, int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  if (!group_fresh (group, now_ms))
    return;
  g_hash_table_iter_init (&iter, group->listed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_instance_view *view = value;

      if (view_wanted (view, region)
          && !view_fresh (g_hash_table_lookup (regions->instances, view->name),
                          now_ms))
        g_ptr_array_add (out, view);
    }
}

/* Add to OUT, ordered by name, the entry instances of REGION (NULL for all)
   that were heard or listed lately and are not draining.  */
void
jc_regions_list_instances (const struct jc_regions *regions, const char *region,
                           int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, regions->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (view_fresh (value, now_ms) && view_wanted (value, region))
      g_ptr_array_add (out, value);
  g_hash_table_iter_init (&iter, regions->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    group_instances (regions, value, region, now_ms, out);
  g_ptr_array_sort (out, compare_views);
}

/* Forget what was not heard for long before NOW_MS.  */
void
jc_regions_expire (struct jc_regions *regions, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, regions->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct jc_instance_view *)value)->last_seen_ms > FORGET_MS)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, regions->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct group *)value)->heard_ms > FORGET_MS)
      g_hash_table_iter_remove (&iter);
}
