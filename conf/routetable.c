/* Route table.  */

#include <string.h>

#include "base/fields.h"
#include "conf/routetable.h"

static void
clear_split (gpointer data)
{
  struct jc_weighted_service *split = data;

  g_free (split->service);
}

static void
hostroute_free (gpointer data)
{
  struct jc_hostroute *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_array_free (route->splits, TRUE);
  g_ptr_array_free (route->home_regions, TRUE);
  g_free (route);
}

static void
hostservice_free (gpointer data)
{
  struct jc_hostservice *service = data;

  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

/* Return an empty table of VERSION with one reference.  The caller adds routes
   and services, then calls jc_routetable_check.  */
struct jc_routetable *
jc_routetable_new (uint64_t version)
{
  struct jc_routetable *table = g_new0 (struct jc_routetable, 1);

  table->refcount = 1;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (hostroute_free);
  table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, hostservice_free);
  table->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)g_hash_table_destroy);
  return table;
}

/* Add a reference to TABLE, to be dropped with jc_routetable_unref, and return
   TABLE.  */
struct jc_routetable *
jc_routetable_ref (struct jc_routetable *table)
{
  table->refcount++;
  return table;
}

/* Drop a reference to TABLE and free it with the last one; NULL is
   allowed.  */
void
jc_routetable_unref (struct jc_routetable *table)
{
  if (table == NULL || --table->refcount > 0)
    return;
  g_hash_table_destroy (table->hosts);
  g_hash_table_destroy (table->services);
  g_ptr_array_free (table->routes, TRUE);
  jc_workspaces_free (table->workspaces);
  g_free (table);
}

/* Return an empty route.  The caller fills it and adds it to the routes of a
   table, which frees it.  */
struct jc_hostroute *
jc_hostroute_new (void)
{
  struct jc_hostroute *route = g_new0 (struct jc_hostroute, 1);

  route->splits
      = g_array_new (FALSE, TRUE, sizeof (struct jc_weighted_service));
  g_array_set_clear_func (route->splits, clear_split);
  route->home_regions = g_ptr_array_new_with_free_func (g_free);
  return route;
}

/* Give SERVICE a share of WEIGHT of the requests of ROUTE.  */
void
jc_hostroute_add_split (struct jc_hostroute *route, const char *service,
                        unsigned int weight)
{
  struct jc_weighted_service split
      = { .service = g_strdup (service), .weight = weight };

  g_array_append_val (route->splits, split);
}

/* Add a copy of SERVICE to TABLE, replacing a service of that name.  */
void
jc_routetable_add_service (struct jc_routetable *table,
                           const struct jc_hostservice *service)
{
  struct jc_hostservice *copy = g_new (struct jc_hostservice, 1);

  *copy = *service;
  copy->name = g_strdup (service->name);
  copy->health_path = g_strdup (service->health_path);
  g_hash_table_replace (table->services, copy->name, copy);
}

static uint64_t
total_weight (const struct jc_hostroute *route)
{
  uint64_t total = 0;

  for (guint i = 0; i < route->splits->len; i++)
    total
        += g_array_index (route->splits, struct jc_weighted_service, i).weight;
  return total;
}

static void
check_route (const struct jc_routetable *table,
             const struct jc_hostroute *route, GPtrArray *faults)
{
  size_t len = strlen (route->prefix);

  if (len == 0 || route->prefix[0] != '/' || route->prefix[len - 1] != '/')
    jc_faults_add (faults, route->name, "its prefix must begin and end with /");
  if (route->timeout_ms <= 0)
    jc_faults_add (faults, route->name, "its timeout must be over 0");
  if (total_weight (route) == 0)
    jc_faults_add (faults, route->name, "its weights add up to 0");
  for (guint i = 0; i < route->splits->len; i++)
    {
      const char *service
          = g_array_index (route->splits, struct jc_weighted_service, i)
                .service;

      if (g_hash_table_lookup (table->services, service) == NULL)
        jc_faults_add (faults, route->name, "service %s is not known", service);
    }
}

/* Add every fault of TABLE to FAULTS and build the index that lookups use.  */
void
jc_routetable_check (struct jc_routetable *table, GPtrArray *faults)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      struct jc_hostroute *route = g_ptr_array_index (table->routes, i);
      GHashTable *prefixes;

      check_route (table, route, faults);
      prefixes = g_hash_table_lookup (table->hosts, route->host);
      if (prefixes == NULL)
        {
          prefixes = g_hash_table_new (g_str_hash, g_str_equal);
          g_hash_table_insert (table->hosts, route->host, prefixes);
        }
      if (!g_hash_table_insert (prefixes, route->prefix, route))
        jc_faults_add (faults, route->name,
                       "another route has its host and prefix");
    }
}

/* Return the route of TABLE with the longest prefix of PATH at HOST, or NULL.
   A port in HOST and a query in PATH are ignored.  */
const struct jc_hostroute *
jc_routetable_find (const struct jc_routetable *table, const char *host,
                    const char *path)
{
  size_t host_len = strcspn (host, ":");
  char *name = g_ascii_strdown (host, (gssize)host_len);
  GHashTable *prefixes = g_hash_table_lookup (table->hosts, name);
  const struct jc_hostroute *route = NULL;
  char *prefix;
  size_t len;

  g_free (name);
  if (prefixes == NULL)
    return NULL;
  prefix = g_strndup (path, strcspn (path, "?"));
  len = strlen (prefix);
  while (route == NULL && len > 0)
    {
      if (prefix[len - 1] == '/')
        route = g_hash_table_lookup (prefixes, prefix);
      prefix[--len] = '\0';
    }
  g_free (prefix);
  return route;
}

/* Return whether REGION may serve every route of HOST.  */
bool
jc_routetable_host_allows (const struct jc_routetable *table, const char *host,
                           const char *region)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      const struct jc_hostroute *route = g_ptr_array_index (table->routes, i);

      if (g_ascii_strcasecmp (route->host, host) == 0
          && !jc_hostroute_allows (route, region))
        return false;
    }
  return true;
}

/* Return the service NAME of TABLE, or NULL.  */
const struct jc_hostservice *
jc_routetable_find_service (const struct jc_routetable *table, const char *name)
{
  return g_hash_table_lookup (table->services, name);
}

/* Return the service of ROUTE that DRAW, a uniformly distributed random
   number, selects by weight.  */
const char *
jc_hostroute_pick_service (const struct jc_hostroute *route, uint64_t draw)
{
  uint64_t total = total_weight (route);
  uint64_t at = total > 0 ? draw % total : 0;

  for (guint i = 0; i < route->splits->len; i++)
    {
      const struct jc_weighted_service *split
          = &g_array_index (route->splits, struct jc_weighted_service, i);

      if (at < split->weight)
        return split->service;
      at -= split->weight;
    }
  return g_array_index (route->splits, struct jc_weighted_service, 0).service;
}

/* Return whether REGION may serve ROUTE.  */
bool
jc_hostroute_allows (const struct jc_hostroute *route, const char *region)
{
  return route->home_regions->len == 0
         || g_ptr_array_find_with_equal_func (route->home_regions, region,
                                              g_str_equal, NULL);
}
