/* Capacity and entry instances of the regions.  */

#include <string.h>

#include "member/endpoints.h"
#include "member/regions.h"

enum
{
  SUMMARY_STALE_MS = 8000,
  INSTANCE_STALE_MS = 3000,
  EXPIRY_MS = 600000,
  ROWS_MAX = 4096
};

/* Capacity for one service and model.  VALUES borrows SERVICE and MODEL.  */
struct row
{
  char *service;
  char *model;
  struct rpc_summary_row values;
};

/* What one summary covers: another region, or another zone of the own region.
   SEQUENCE is that of the last summary applied, 0 to accept any; RECEIVED_MS is
   when it came.  ROWS maps tags to struct row, LISTED maps names to the
   instances that the summary lists.  */
struct group
{
  char *region;
  uint64_t sequence;
  int64_t received_ms;
  GHashTable *rows;
  GHashTable *listed;
};

/* GROUPS maps "region/zone" to struct group.  INSTANCES maps names to the
   instances that a connection describes.  */
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

/* Return an empty table, to be freed with jc_regions_free.  */
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

/* Free REGIONS and the views it returned.  */
void
jc_regions_free (struct jc_regions *regions)
{
  g_hash_table_destroy (regions->groups);
  g_hash_table_destroy (regions->instances);
  g_free (regions);
}

/* Return the tag that stands for SERVICE and MODEL in summaries.  */
uint64_t
jc_summary_tag (const char *service, const char *model)
{
  return jc_name_pair_hash (service, model);
}

static struct group *
regions_get_group (struct jc_regions *regions, const char *region,
                   const char *zone)
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
group_update_row (struct group *group, const struct rpc_summary_row *received)
{
  uint64_t tag = jc_summary_tag (received->service, received->model);
  struct row *row = g_hash_table_lookup (group->rows, &tag);

  if (row == NULL && g_hash_table_size (group->rows) >= ROWS_MAX)
    return;
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->service = g_strdup (received->service);
      row->model = g_strdup (received->model);
      g_hash_table_insert (group->rows, g_memdup2 (&tag, sizeof tag), row);
    }
  row->values = *received;
  row->values.service = row->service;
  row->values.model = row->model;
}

static bool
group_update_load (struct group *group, const struct rpc_summary_load *load)
{
  uint64_t tag = load->tag;
  struct row *row = g_hash_table_lookup (group->rows, &tag);

  if (row == NULL)
    return false;
  row->values.endpoints = load->endpoints;
  row->values.free_slots = load->free_slots;
  row->values.expected_wait_ms = load->expected_wait_ms;
  return true;
}

static void
instances_update (GHashTable *table, const struct jc_instance_view *update)
{
  struct jc_instance_view *view = g_hash_table_lookup (table, update->name);

  if (view == NULL)
    {
      view = g_new0 (struct jc_instance_view, 1);
      view->name = g_strdup (update->name);
      view->region = g_strdup (update->region);
      view->zone = g_strdup (update->zone);
      g_hash_table_insert (table, view->name, view);
    }
  if (g_strcmp0 (view->callers_address, update->callers_address) != 0)
    {
      g_free (view->callers_address);
      view->callers_address = g_strdup (update->callers_address);
    }
  view->incarnation = update->incarnation;
  view->draining = update->draining;
  view->last_seen_ms = update->last_seen_ms;
}

static void
group_set_instances (struct group *group,
                     const struct rpc_region_summary *summary, int64_t now_ms)
{
  g_hash_table_remove_all (group->listed);
  for (u_int i = 0; i < summary->instances.instances_len; i++)
    {
      const struct rpc_instance *listed = &summary->instances.instances_val[i];
      struct jc_instance_view view
          = { .name = listed->name,
              .region = summary->region,
              .zone = listed->zone,
              .callers_address = listed->callers_address,
              .incarnation = listed->incarnation,
              .draining = listed->draining,
              .last_seen_ms = now_ms };

      instances_update (group->listed, &view);
    }
}

/* Apply SUMMARY of a region or zone, received at NOW_MS, unless a later one was
   applied.  Return false if it has numbers for a tag whose service and model
   are not known, so that the sender must send its rows again.  */
bool
jc_regions_apply_summary (struct jc_regions *regions,
                          const struct rpc_region_summary *summary,
                          int64_t now_ms)
{
  struct group *group
      = regions_get_group (regions, summary->region, summary->zone);
  bool rows_known = true;

  if (summary->sequence <= group->sequence)
    return true;
  if (group->sequence == 0)
    g_hash_table_remove_all (group->rows);
  group->sequence = summary->sequence;
  group->received_ms = now_ms;
  for (u_int i = 0; i < summary->rows.rows_len; i++)
    group_update_row (group, &summary->rows.rows_val[i]);
  for (u_int i = 0; i < summary->loads.loads_len; i++)
    if (!group_update_load (group, &summary->loads.loads_val[i]))
      rows_known = false;
  if (summary->listed)
    group_set_instances (group, summary, now_ms);
  return rows_known;
}

/* Accept the next summary of REGION and ZONE whatever its sequence, because it
   comes from another sender; it replaces the rows of those before it.  */
void
jc_regions_reset_sequence (struct jc_regions *regions, const char *region,
                           const char *zone)
{
  regions_get_group (regions, region, zone)->sequence = 0;
}

static bool
group_is_fresh (const struct group *group, int64_t now_ms)
{
  return now_ms - group->received_ms <= SUMMARY_STALE_MS;
}

static void
capacity_add (struct jc_capacity *out, const struct row *row, bool first,
              int64_t age_ms)
{
  if (first || row->values.expected_wait_ms < out->expected_wait_ms)
    out->expected_wait_ms = row->values.expected_wait_ms;
  out->endpoints += row->values.endpoints;
  out->free_slots += row->values.free_slots;
  out->age_ms = MAX (out->age_ms, age_ms);
}

/* Set OUT to the capacity of REGION for SERVICE and MODEL at NOW_MS; for the
   own region that is the capacity of its other zones.  Return false if no
   summary of the last SUMMARY_STALE_MS has an endpoint for them.  */
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

      if (row == NULL || row->values.endpoints == 0
          || strcmp (group->region, region) != 0
          || !group_is_fresh (group, now_ms))
        continue;
      capacity_add (out, row, !found, now_ms - group->received_ms);
      found = true;
    }
  return found;
}

/* Call FN with CTX for each row of REGION that has endpoints and is at most
   SUMMARY_STALE_MS old at NOW_MS.  */
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

      if (strcmp (group->region, region) != 0
          || !group_is_fresh (group, now_ms))
        continue;
      g_hash_table_iter_init (&rows, group->rows);
      while (g_hash_table_iter_next (&rows, NULL, &value))
        if (((const struct row *)value)->values.endpoints > 0)
          fn (ctx, &((const struct row *)value)->values);
    }
}

/* Record the description of the entry instance NAME, received at NOW_MS.
   CALLERS_ADDRESS is empty while it accepts no callers.  */
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

  instances_update (regions->instances, &view);
}

static int
compare_views (gconstpointer a, gconstpointer b)
{
  const struct jc_instance_view *left = *(struct jc_instance_view *const *)a;
  const struct jc_instance_view *right = *(struct jc_instance_view *const *)b;

  return strcmp (left->name, right->name);
}

static bool
view_is_fresh (const struct jc_instance_view *view, int64_t now_ms)
{
  return view != NULL && now_ms - view->last_seen_ms <= INSTANCE_STALE_MS;
}

static bool
view_matches (const struct jc_instance_view *view, const char *region)
{
  return !view->draining
         && (region == NULL || strcmp (view->region, region) == 0);
}

/* Add the instances that GROUP lists and that no connection has described
   recently.  */
static void
group_list_instances (const struct jc_regions *regions,
                      const struct group *group, const char *region,
                      int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  if (!group_is_fresh (group, now_ms))
    return;
  g_hash_table_iter_init (&iter, group->listed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_instance_view *view = value;

      if (view_matches (view, region)
          && !view_is_fresh (
              g_hash_table_lookup (regions->instances, view->name), now_ms))
        g_ptr_array_add (out, view);
    }
}

/* Add the entry instances of REGION, or of all regions where it is NULL, that
   have been described recently at NOW_MS and are not draining to OUT, and sort
   OUT by name.  The views stay owned by REGIONS.  */
void
jc_regions_list_instances (const struct jc_regions *regions, const char *region,
                           int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, regions->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (view_is_fresh (value, now_ms) && view_matches (value, region))
      g_ptr_array_add (out, value);
  g_hash_table_iter_init (&iter, regions->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    group_list_instances (regions, value, region, now_ms, out);
  g_ptr_array_sort (out, compare_views);
}

/* Remove the instances and groups that were last updated more than EXPIRY_MS
   before NOW_MS.  */
void
jc_regions_expire (struct jc_regions *regions, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, regions->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct jc_instance_view *)value)->last_seen_ms > EXPIRY_MS)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, regions->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct group *)value)->received_ms > EXPIRY_MS)
      g_hash_table_iter_remove (&iter);
}
