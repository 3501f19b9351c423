/* Remotes: picks the other entry instance that gets a request: one of another
   region, or, where this instance has lost its links to the endpoints, one of
   its own.  */

#include <string.h>

#include "entry/router.h"
#include "member/presence.h"
#include "net/program.h"
#include "serve/remote.h"

enum
{
  /* Services whose request rates are kept.  */
  RATES_MAX = 64,
  PERMILLE = 1000
};

static bool
is_fresh (const struct neighbour *neighbour, int64_t now_ms)
{
  return now_ms - neighbour->last_seen_ms < NEIGHBOUR_FRESH_MS;
}

/* Return true if the path to NEIGHBOUR's zone is open and NEIGHBOUR itself is
   not in backoff.  */
static bool
is_reachable (const struct router *router, const struct neighbour *neighbour,
              int64_t now_ms)
{
  return jc_paths_is_open (router->paths, neighbour->presence.zone)
         && !jc_paths_in_backoff (router->paths, neighbour->presence.name,
                                  now_ms);
}

static bool
is_in_own_region (const struct router *router,
                  const struct rpc_presence *presence)
{
  return strcmp (presence->region, router->entry->settings->region) == 0;
}

/* Return true if NEIGHBOUR may get QUERY's request: it takes callers and
   reaches the endpoints, residency allows its region, it can be reached and was
   not tried, and its region has room.  One in this region is of use only if
   this instance does not reach the same endpoints, UNREACHED.  */
static bool
is_eligible_neighbour (const struct router *router,
                       const struct balancer_query *query, bool unreached,
                       const struct neighbour *neighbour)
{
  const struct rpc_presence *presence = &neighbour->presence;

  return !presence->draining && presence->ready
         && (unreached || !is_in_own_region (router, presence))
         && jc_presence_reaches (presence, query->service)
         && !neighbours_has_refused (neighbour, query->service, query->now_ms)
         && is_fresh (neighbour, query->now_ms)
         && balancer_allows_region (query, presence->region)
         && is_reachable (router, neighbour, query->now_ms)
         && !balancer_contains_name (query->avoided_regions, presence->region)
         && !balancer_contains_name (query->tried, presence->name)
         && neighbours_has_room (router, presence->region, query->service,
                                 query->demand, query->now_ms);
}

/* Return the other instances that may get QUERY's request, an array of struct
   jc_remote_instance that the caller frees; with UNREACHED those of this region
   too.  */
static GArray *
list_remote_instances (struct router *router,
                       const struct balancer_query *query, bool unreached)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_instance));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;
      struct jc_remote_instance remote
          = { .instance = &neighbour->presence,
              .room = neighbours_room (router, neighbour->presence.region,
                                       query->service, query->now_ms),
              .reading_ms
              = query->demand->prompt_tokens > 0
                    ? neighbours_reading_ms (router, neighbour->presence.region,
                                             query->service, query->now_ms)
                    : 0 };

      if (is_eligible_neighbour (router, query, unreached, neighbour))
        g_array_append_val (list, remote);
    }
  return list;
}

/* Count a caller's request for SERVICE.  A full table, which can only hold
   services that no configuration names any longer, is cleared first.  */
void
remotes_count_request (struct router *router, const char *service,
                       int64_t now_ms)
{
  struct jc_request_rate *rate
      = g_hash_table_lookup (router->request_rates, service);

  if (rate == NULL)
    {
      if (g_hash_table_size (router->request_rates) >= RATES_MAX)
        g_hash_table_remove_all (router->request_rates);
      rate = g_new0 (struct jc_request_rate, 1);
      g_hash_table_insert (router->request_rates, g_strdup (service), rate);
    }
  jc_request_rate_add (rate, now_ms);
}

/* Return the requests per second of this instance's callers for SERVICE.  */
double
remotes_local_rate (const struct router *router, const char *service,
                    int64_t now_ms)
{
  const struct jc_request_rate *rate
      = g_hash_table_lookup (router->request_rates, service);

  return rate != NULL ? jc_request_rate_at (rate, now_ms) : 0;
}

/* Return true if some entry instance of REGION was heard of lately and can be
   reached.  */
static bool
is_region_reachable (const struct router *router, const char *region,
                     int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (strcmp (neighbour->presence.region, region) == 0
          && is_fresh (neighbour, now_ms)
          && is_reachable (router, neighbour, now_ms))
        return true;
    }
  return false;
}

/* Return the requests per second that the callers of all instances in this
   region send, as state instances report it; at least LOCAL_RATE, the rate of
   this instance's callers.  */
static double
regional_request_rate (const struct router *router,
                       const struct balancer_query *query, double local_rate)
{
  const struct rpc_service_room *room = neighbours_room (
      router, router->entry->settings->region, query->service, query->now_ms);

  return room != NULL ? MAX (local_rate, (double)room->offered_milli / PERMILLE)
                      : local_rate;
}

/* Return the requests per second that ENDPOINTS, those of this region, can
   serve.  Where this instance does not reach them, it is what others of the
   region report.  */
static double
regional_capacity (struct router *router, const struct balancer_query *query,
                   const GPtrArray *endpoints)
{
  const struct rpc_service_room *room;
  double capacity = 0;

  if (jc_reach_is_lost (router->reach, query->service))
    {
      room = neighbours_room (router, router->entry->settings->region,
                              query->service, query->now_ms);
      return room != NULL ? (double)room->capacity_milli / PERMILLE : 0;
    }
  for (guint i = 0; i < endpoints->len; i++)
    capacity += jc_engines_capacity_per_s (router->engines,
                                           g_ptr_array_index (endpoints, i));
  return capacity;
}

/* Return the region that QUERY's plain request goes to because the callers of
   this region ask for more than it can serve, or NULL.  ENDPOINTS are those of
   this region.  */
static const char *
pick_spill_region (struct router *router, const struct balancer_query *query,
                   const GPtrArray *endpoints)
{
  const char *own = router->entry->settings->region;
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct jc_region_load load = { .name = own };
  const char *region;

  load.capacity_per_s = regional_capacity (router, query, endpoints);
  load.offered_per_s = regional_request_rate (
      router, query,
      remotes_local_rate (router, query->service, query->now_ms));
  g_array_append_val (regions, load);
  for (guint i = 0; i < router->region_rooms->len; i++)
    {
      const struct region_room *other
          = g_ptr_array_index (router->region_rooms, i);
      const struct rpc_service_room *room
          = strcmp (other->region, own) != 0 ? neighbours_room (
                router, other->region, query->service, query->now_ms)
                                             : NULL;

      if (room != &other->room || !balancer_allows_region (query, other->region)
          || !is_region_reachable (router, other->region, query->now_ms))
        continue;
      load = (struct jc_region_load){
        .name = other->region,
        .offered_per_s = (double)room->offered_milli / PERMILLE,
        .capacity_per_s = (double)room->capacity_milli / PERMILLE
      };
      g_array_append_val (regions, load);
    }
  region = jc_region_load_spill (regions, own, g_random_double ());
  g_array_free (regions, TRUE);
  return region;
}

/* Add the region NAME to REGIONS, or raise its number of endpoints to
   ENDPOINTS.  */
static void
add_region (GArray *regions, const char *name, unsigned int endpoints)
{
  const struct jc_remote_region region
      = { .name = name, .endpoints = endpoints };

  for (guint i = 0; i < regions->len; i++)
    {
      struct jc_remote_region *known
          = &g_array_index (regions, struct jc_remote_region, i);

      if (strcmp (known->name, name) != 0)
        continue;
      known->endpoints = MAX (known->endpoints, endpoints);
      return;
    }
  g_array_append_val (regions, region);
}

/* Return the region that serves all requests with the same prompt prefix as
   QUERY's, so that its cache is used, or NULL.  This region has USABLE
   endpoints, LIST holds the instances of others.  */
static const char *
pick_prefix_region (const struct router *router,
                    const struct balancer_query *query, guint usable,
                    const GArray *list)
{
  const char *own = router->entry->settings->region;
  GArray *regions
      = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_region));
  const char *prefix_region;

  if (usable > 0)
    add_region (regions, own, usable);
  for (guint i = 0; i < list->len; i++)
    {
      const struct jc_remote_instance *remote
          = &g_array_index (list, struct jc_remote_instance, i);

      add_region (regions, remote->instance->region, remote->room->endpoints);
    }
  prefix_region = jc_remote_prefix_region (regions, query->demand);
  g_array_free (regions, TRUE);
  return prefix_region;
}

/* Return another instance that may get QUERY's request, or NULL.  ANSWER_MS is
   set to the mean answer time there.  MUST_GO is set to true if the first
   attempt must go there, because requests with its prompt prefix do or because
   the own region is overloaded.  With UNREACHED, if this instance does not
   reach the endpoints, one of this region goes before others.  ENDPOINTS are
   those of this region.  */
const struct neighbour *
remotes_pick (struct router *router, const struct balancer_query *query,
              const GPtrArray *endpoints, bool unreached, int64_t *answer_ms,
              bool *must_go)
{
  const char *own = router->entry->settings->region;
  GArray *list = list_remote_instances (router, query, unreached);
  const char *region
      = query->demand->prompt_tokens > 0
            ? pick_prefix_region (router, query, endpoints->len, list)
            : pick_spill_region (router, query, endpoints);
  const struct neighbour *best = NULL;
  const struct jc_remote_instance *picked;

  *must_go
      = region != NULL && query->tried->len == 0 && strcmp (region, own) != 0;
  if (!jc_remote_prefer_region (list, *must_go ? region : own) && *must_go)
    g_array_set_size (list, 0);
  picked = jc_remote_pick_instance (list, g_random_int ());
  if (picked != NULL)
    {
      best = g_hash_table_lookup (router->neighbours, picked->instance->name);
      *answer_ms = jc_remote_answer_ms (picked);
    }
  g_array_free (list, TRUE);
  return best;
}

/* Return whether some other instance that may get QUERY's request reaches the
   endpoints, though it may have no room.  */
bool
remotes_reach_service (const struct router *router,
                       const struct balancer_query *query)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (is_fresh (neighbour, query->now_ms)
          && balancer_allows_region (query, neighbour->presence.region)
          && is_reachable (router, neighbour, query->now_ms)
          && jc_presence_reaches (&neighbour->presence, query->service)
          && !neighbours_has_refused (neighbour, query->service, query->now_ms))
        return true;
    }
  return false;
}

/* Return whether NEIGHBOUR, of this region, serves callers and reaches the
   endpoints of SERVICE.  */
static bool
serves_in_region (const struct router *router,
                  const struct neighbour *neighbour, const char *service,
                  int64_t now_ms)
{
  return is_in_own_region (router, &neighbour->presence)
         && !neighbour->presence.draining && neighbour->presence.ready
         && is_fresh (neighbour, now_ms)
         && jc_presence_reaches (&neighbour->presence, service)
         && !neighbours_has_refused (neighbour, service, now_ms);
}

/* Return the instance NAME of this region if QUERY's request may be handed over
   to it, or NULL.  */
const struct neighbour *
remotes_find_in_region (const struct router *router,
                        const struct balancer_query *query, const char *name)
{
  const struct neighbour *neighbour
      = g_hash_table_lookup (router->neighbours, name);

  return neighbour != NULL
                 && serves_in_region (router, neighbour, query->service,
                                      query->now_ms)
                 && is_reachable (router, neighbour, query->now_ms)
                 && !balancer_contains_name (query->tried, name)
             ? neighbour
             : NULL;
}

/* Append to OUT the names, which belong to ROUTER, of the other instances of
   this region that serve callers and reach the endpoints of SERVICE.  */
void
remotes_list_in_region (const struct router *router, const char *service,
                        GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (serves_in_region (router, neighbour, service, jc_now_ms ()))
        g_ptr_array_add (out, neighbour->presence.name);
    }
}
