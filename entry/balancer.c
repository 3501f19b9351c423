/* Choice: which endpoint, or which other entry instance, gets a request.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"
#include "serve/remote.h"

enum
{
  /* From this priority on a request whose turn does not come is refused; more
     urgent ones go all the same.  */
  REFUSABLE_PRIORITY = 2,
  ROOMS_MAX = 64,
  PERMILLE = 1000
};

/* Requests by which regions are compared: a prompt that must be read in full
   and its answer, and a plain request.  */
static const struct jc_demand reference_prompt
    = { .prompt_tokens = 1000, .answer_tokens = 200 };
static const struct jc_demand reference_plain = { .prompt_tokens = 0 };

static bool
contains_name (const GPtrArray *tried, const char *name)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)tried, name,
                                           g_str_equal, NULL);
}

static bool
is_fresh (const struct neighbour *neighbour, int64_t now_ms)
{
  return now_ms - neighbour->last_seen_ms < NEIGHBOUR_FRESH_MS;
}

/* Return until when ENDPOINT is cold: it says so, or its zone was taken
   back lately.  */
static int64_t
cold_until_ms (const struct router *router, const struct jc_endpoint *endpoint,
               const struct jc_hostservice *service)
{
  const int64_t *readmitted
      = g_hash_table_lookup (router->readmitted_at, endpoint->zone);

  if (readmitted == NULL)
    return endpoint->warm_at_ms;
  return MAX (endpoint->warm_at_ms, *readmitted + service->cold_ms);
}

/* Tell whether ENDPOINT may get a request now, as far as coldness goes.  */
static bool
is_warm_or_granted (struct router *router, const struct jc_endpoint *endpoint,
                    const struct jc_hostservice *service, int64_t now_ms)
{
  if (service->cold_requests_per_s <= 0
      || cold_until_ms (router, endpoint, service) <= now_ms)
    return true;
  return !router->entry->draining
         && jc_budgets_may_send_cold (router->budgets, endpoint->name,
                                      endpoint->incarnation,
                                      service->cold_requests_per_s, now_ms);
}

/* Log that the request ID goes to ENDPOINT, where that is cold: only the
   instance that is granted this incarnation of it may send there.  */
void
balancer_log_cold (const struct router *router,
                   const struct jc_endpoint *endpoint, const char *id,
                   int64_t now_ms)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (router->routes, endpoint->service);

  if (service == NULL || service->cold_requests_per_s <= 0
      || cold_until_ms (router, endpoint, service) <= now_ms)
    return;
  jc_metrics_count (router->entry->metrics, "jaycove_cold_requests_total", "",
                    1);
  jc_event (JC_EVENT_COLD,
            "id=%s endpoint=%s incarnation=%" PRIu64 " left_ms=%" PRId64
            " reported_ms_ago=%" PRId64,
            id, endpoint->name, endpoint->incarnation,
            cold_until_ms (router, endpoint, service) - now_ms,
            now_ms - endpoint->reported_ms);
}

/* Leave out those of ENDPOINTS in zones that can't be reached, unless there are
   no others.  */
static void
drop_unreachable_zones (const struct router *router, GPtrArray *endpoints)
{
  GPtrArray *reached = g_ptr_array_new ();

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (jc_paths_is_open (router->paths, endpoint->zone))
        g_ptr_array_add (reached, endpoint);
    }
  if (reached->len > 0 && reached->len < endpoints->len)
    {
      g_ptr_array_set_size (endpoints, 0);
      g_ptr_array_extend (endpoints, reached, NULL, NULL);
    }
  g_ptr_array_free (reached, TRUE);
}

/* Add to OUT the endpoints of SERVICE that may get a request now.  */
static void
collect_usable_endpoints (struct router *router, const char *name,
                          const GPtrArray *tried, int64_t now_ms,
                          GPtrArray *out)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (router->routes, name);

  if (service == NULL)
    return;
  jc_endpoints_list_serving (router->endpoints, name, NULL, now_ms, out);
  for (guint i = out->len; i > 0; i--)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (out, i - 1);

      if (jc_orders_is_evacuated (router->orders, endpoint->zone)
          || (tried != NULL && contains_name (tried, endpoint->name))
          || !is_warm_or_granted (router, endpoint, service, now_ms))
        g_ptr_array_remove_index (out, i - 1);
    }
  drop_unreachable_zones (router, out);
}

/* Tell whether this instance, as far as it knows, can reach NEIGHBOUR.  */
static bool
is_reachable (const struct router *router, const struct neighbour *neighbour,
              int64_t now_ms)
{
  return jc_paths_is_open (router->paths, neighbour->presence.zone)
         && !jc_paths_in_backoff (router->paths, neighbour->presence.name,
                                  now_ms);
}

/* Tell whether NEIGHBOUR, in another region, may be asked for QUERY's
   service.  */
static bool
is_eligible_neighbour (const struct router *router,
                       const struct balancer_query *query,
                       const struct neighbour *neighbour)
{
  const struct rpc_presence *said = &neighbour->presence;
  const struct rpc_service_room *room
      = neighbours_room (router, said->region, query->service, query->now_ms);

  return room != NULL && !said->draining && said->ready
         && strcmp (said->region, router->entry->settings->region) != 0
         && is_fresh (neighbour, query->now_ms)
         && jc_hostroute_allows (query->route, said->region)
         && is_reachable (router, neighbour, query->now_ms)
         && !contains_name (query->avoided_regions, said->region)
         && !contains_name (query->tried, said->name)
         && jc_remote_has_room (room, query->demand);
}

/* Return the instances of other regions that may be asked for QUERY's service,
   an array of struct jc_remote_instance.  */
static GArray *
list_remote_instances (struct router *router,
                       const struct balancer_query *query)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_instance));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;
      struct jc_remote_instance one
          = { .instance = &neighbour->presence,
              .room = neighbours_room (router, neighbour->presence.region,
                                       query->service, query->now_ms) };

      if (is_eligible_neighbour (router, query, neighbour))
        g_array_append_val (list, one);
    }
  return list;
}

/* A caller's request for SERVICE came.  A full table, of services that no
   configuration names any longer, is begun anew.  */
void
balancer_count_request (struct router *router, const char *service,
                        int64_t now_ms)
{
  struct jc_request_rate *rate
      = g_hash_table_lookup (router->request_rates, service);

  if (rate == NULL)
    {
      if (g_hash_table_size (router->request_rates) >= ROOMS_MAX)
        g_hash_table_remove_all (router->request_rates);
      rate = g_new0 (struct jc_request_rate, 1);
      g_hash_table_insert (router->request_rates, g_strdup (service), rate);
    }
  jc_request_rate_add (rate, now_ms);
}

static double
local_request_rate (const struct router *router, const char *service,
                    int64_t now_ms)
{
  const struct jc_request_rate *rate
      = g_hash_table_lookup (router->request_rates, service);

  return rate != NULL ? jc_request_rate_at (rate, now_ms) : 0;
}

/* Tell whether an instance of REGION can be reached.  */
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

/* Return the offered load of this region, of which OWN comes from this
   instance's callers, as state instances tell.  */
static double
regional_request_rate (const struct router *router,
                       const struct balancer_query *query, double own)
{
  const struct rpc_service_room *room = neighbours_room (
      router, router->entry->settings->region, query->service, query->now_ms);

  return room != NULL ? MAX (own, (double)room->offered_milli / PERMILLE) : own;
}

/* Return the region that QUERY's plain request goes to since this one's callers
   ask for more than it can serve, or NULL.  ENDPOINTS are those here.  */
static const char *
pick_spill_region (struct router *router, const struct balancer_query *query,
                   const GPtrArray *endpoints)
{
  const char *own = router->entry->settings->region;
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct jc_region_load one = { .name = own };
  const char *to;

  for (guint i = 0; i < endpoints->len; i++)
    one.capacity_per_s += jc_engines_capacity_per_s (
        router->engines, g_ptr_array_index (endpoints, i));
  one.offered_per_s = regional_request_rate (
      router, query,
      local_request_rate (router, query->service, query->now_ms));
  g_array_append_val (regions, one);
  for (guint i = 0; i < router->region_rooms->len; i++)
    {
      const struct region_room *known
          = g_ptr_array_index (router->region_rooms, i);
      const struct rpc_service_room *room
          = strcmp (known->region, own) != 0 ? neighbours_room (
                router, known->region, query->service, query->now_ms)
                                             : NULL;

      if (room != &known->room
          || !jc_hostroute_allows (query->route, known->region)
          || !is_region_reachable (router, known->region, query->now_ms))
        continue;
      one = (struct jc_region_load){
        .name = known->region,
        .offered_per_s = (double)room->offered_milli / PERMILLE,
        .capacity_per_s = (double)room->capacity_milli / PERMILLE
      };
      g_array_append_val (regions, one);
    }
  to = jc_region_load_spill (regions, own, g_random_double ());
  g_array_free (regions, TRUE);
  return to;
}

/* Add REGION to REGIONS, or raise the number of its endpoints.  */
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

/* Leave in LIST the instances of REGION.  */
static void
filter_by_region (GArray *list, const char *region)
{
  for (guint i = list->len; i > 0; i--)
    if (strcmp (g_array_index (list, struct jc_remote_instance, i - 1)
                    .instance->region,
                region)
        != 0)
      g_array_remove_index_fast (list, i - 1);
}

/* Return the region where the shared parts of QUERY's request meet, or NULL;
   this region has USABLE endpoints, LIST are the instances of others.  */
static const char *
pick_prefix_region (const struct router *router,
                    const struct balancer_query *query, guint usable,
                    const GArray *list)
{
  const char *own = router->entry->settings->region;
  GArray *regions
      = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_region));
  const char *home;

  if (usable > 0)
    add_region (regions, own, usable);
  for (guint i = 0; i < list->len; i++)
    {
      const struct jc_remote_instance *one
          = &g_array_index (list, struct jc_remote_instance, i);

      add_region (regions, one->instance->region, one->room->endpoints);
    }
  home = jc_remote_prefix_region (regions, query->demand);
  g_array_free (regions, TRUE);
  return home;
}

/* Return an instance of another region that may be asked for QUERY's service,
   or NULL; ANSWER_MS is the time of a usual request there.  HOME tells that the
   request is to go there at its first attempt, since its shared parts meet
   there or its own region is asked for too much.  ENDPOINTS are in this one. */
static const struct neighbour *
pick_neighbour (struct router *router, const struct balancer_query *query,
                const GPtrArray *endpoints, int64_t *answer_ms, bool *home)
{
  GArray *list = list_remote_instances (router, query);
  const char *region
      = query->demand->prompt_tokens > 0
            ? pick_prefix_region (router, query, endpoints->len, list)
            : pick_spill_region (router, query, endpoints);
  const struct neighbour *best = NULL;
  const struct jc_remote_instance *picked;

  *home = region != NULL && query->tried->len == 0
          && strcmp (region, router->entry->settings->region) != 0;
  if (*home)
    filter_by_region (list, region);
  picked = jc_remote_pick_instance (list, g_random_int ());
  if (picked != NULL)
    {
      best = g_hash_table_lookup (router->neighbours, picked->instance->name);
      *answer_ms = picked->room->answer_ms;
    }
  g_array_free (list, TRUE);
  return best;
}

/* Return the mean time of a usual request like QUERY's at ENDPOINTS, ms.  */
static int64_t
mean_answer_ms (struct router *router, const struct balancer_query *query,
                const GPtrArray *endpoints)
{
  const struct jc_demand *usual
      = query->demand->prompt_tokens > 0 ? &reference_prompt : &reference_plain;
  int64_t sum = 0;

  for (guint i = 0; i < endpoints->len; i++)
    sum += jc_engines_answer_ms (router->engines,
                                 g_ptr_array_index (endpoints, i), usual,
                                 query->now_ms);
  return sum / MAX ((int64_t)endpoints->len, 1);
}

/* Choose where the request of QUERY goes.  Return JC_NO_ENDPOINT where there
   is no place for it, JC_OVERLOADED where there are only full ones, JC_CROWDED
   where it should wait for its turn.  */
enum jc_status
balancer_pick (struct router *router, const struct balancer_query *query,
               struct balancer_target *target)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  const struct neighbour *neighbour = NULL;
  struct jc_endpoint *endpoint = NULL;
  int64_t away_ms = 0;
  bool home = false;
  guint usable;

  if (jc_hostroute_allows (query->route, router->entry->settings->region))
    collect_usable_endpoints (router, query->service, query->tried,
                              query->now_ms, endpoints);
  usable = endpoints->len;
  if (!query->local_only)
    neighbour = pick_neighbour (router, query, endpoints, &away_ms, &home);
  jc_engines_filter (router->engines, query->demand, endpoints, query->now_ms);
  if (endpoints->len > 0)
    endpoint = jc_engines_pick (router->engines, endpoints, query->demand,
                                query->now_ms);
  if (endpoint != NULL && neighbour != NULL && !home
      && !jc_remote_is_faster (mean_answer_ms (router, query, endpoints),
                               away_ms, g_random_double ()))
    neighbour = NULL;
  g_ptr_array_free (endpoints, TRUE);
  if (endpoint != NULL && neighbour == NULL
      && (query->may_wait || query->demand->priority >= REFUSABLE_PRIORITY)
      && jc_engines_would_stall (router->engines, endpoint, query->demand,
                                 query->now_ms))
    return jc_fail (query->may_wait ? JC_CROWDED : JC_OVERLOADED,
                    "Much is to be read at %s.", endpoint->name);
  target->neighbour = neighbour;
  target->endpoint = neighbour != NULL ? NULL : endpoint;
  if (neighbour == NULL && endpoint == NULL && usable > 0)
    return jc_fail (JC_OVERLOADED, "All endpoints of %s have too much to do.",
                    query->service);
  if (neighbour == NULL && endpoint == NULL)
    return jc_fail (JC_NO_ENDPOINT, "No endpoint of %s can take it.",
                    query->service);
  return JC_OK;
}

/* Fill ROOM for ENDPOINTS, all of one service.  */
static void
fill_room (struct router *router, const GPtrArray *endpoints, int64_t now_ms,
           struct rpc_service_room *room)
{
  int64_t answer_ms = 0;
  double busy = 0;
  double capacity = 0;
  guint count = MAX (endpoints->len, 1);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct jc_hostservice *service
          = jc_routetable_find_service (router->routes, endpoint->service);

      answer_ms += jc_engines_answer_ms (
          router->engines, endpoint,
          service->engine.slots > 0 ? &reference_prompt : &reference_plain,
          now_ms);
      busy += jc_engines_prefill_busy (router->engines, endpoint, now_ms);
      if (service->engine.slots == 0)
        capacity += jc_engines_capacity_per_s (router->engines, endpoint);
    }
  room->offered_milli
      = (u_int)(local_request_rate (router, room->service, now_ms) * PERMILLE);
  room->capacity_milli = (u_int)(capacity * PERMILLE);
  room->endpoints = endpoints->len;
  room->answer_ms = (u_int)(answer_ms / (int64_t)count);
  room->busy_permille = (u_int)(busy / count * PERMILLE);
}

/* Fill the rooms of OUT, which has place for 64: what this instance can do
   for each service.  */
void
balancer_fill_rooms (struct router *router, struct rpc_presence *out)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  int64_t now = jc_now_ms ();
  GHashTableIter iter;
  gpointer name;

  out->rooms.rooms_len = 0;
  if (router->routes != NULL)
    {
      g_hash_table_iter_init (&iter, router->routes->services);
      while (g_hash_table_iter_next (&iter, &name, NULL)
             && out->rooms.rooms_len < ROOMS_MAX)
        {
          struct rpc_service_room *room
              = &out->rooms.rooms_val[out->rooms.rooms_len++];

          g_ptr_array_set_size (endpoints, 0);
          collect_usable_endpoints (router, name, NULL, now, endpoints);
          room->service = name;
          fill_room (router, endpoints, now, room);
        }
    }
  g_ptr_array_free (endpoints, TRUE);
}
