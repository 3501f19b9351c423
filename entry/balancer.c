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
  CROWDED_REFUSED = 2,
  ROOMS_MAX = 64,
  PERMILLE = 1000
};

/* Requests by which regions are compared: a prompt that must be read in full
   and its answer, and a plain request.  */
static const struct jc_demand usual_prompt
    = { .prompt_tokens = 1000, .answer_tokens = 200 };
static const struct jc_demand usual_plain = { .prompt_tokens = 0 };

static bool
was_tried (const GPtrArray *tried, const char *name)
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
cold_until (const struct hosts *hosts, const struct jc_endpoint *endpoint,
            const struct jc_hostservice *service)
{
  const int64_t *readmitted
      = g_hash_table_lookup (hosts->readmitted_at, endpoint->zone);

  if (readmitted == NULL)
    return endpoint->warm_at_ms;
  return MAX (endpoint->warm_at_ms, *readmitted + service->cold_ms);
}

/* Tell whether ENDPOINT may get a request now, as far as coldness goes.  */
static bool
is_warm_enough (struct hosts *hosts, const struct jc_endpoint *endpoint,
                const struct jc_hostservice *service, int64_t now_ms)
{
  if (service->cold_requests_per_s <= 0
      || cold_until (hosts, endpoint, service) <= now_ms)
    return true;
  return !hosts->entry->draining
         && jc_budgets_may_send_cold (hosts->budgets, endpoint->name,
                                      endpoint->incarnation,
                                      service->cold_requests_per_s, now_ms);
}

/* Log that the request ID goes to ENDPOINT, where that is cold: only the
   instance that is granted this incarnation of it may send there.  */
void
balancer_log_cold (const struct hosts *hosts,
                   const struct jc_endpoint *endpoint, const char *id,
                   int64_t now_ms)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (hosts->routes, endpoint->service);

  if (service == NULL || service->cold_requests_per_s <= 0
      || cold_until (hosts, endpoint, service) <= now_ms)
    return;
  jc_metrics_counter_add (hosts->entry->metrics, "jaycove_cold_requests_total",
                          "", 1);
  jc_event (JC_EVENT_COLD,
            "id=%s endpoint=%s incarnation=%" PRIu64 " left_ms=%" PRId64
            " reported_ms_ago=%" PRId64,
            id, endpoint->name, endpoint->incarnation,
            cold_until (hosts, endpoint, service) - now_ms,
            now_ms - endpoint->reported_ms);
}

/* Leave out those of ENDPOINTS in zones that can't be reached, unless there are
   no others.  */
static void
leave_out_cut (const struct hosts *hosts, GPtrArray *endpoints)
{
  GPtrArray *reached = g_ptr_array_new ();

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (jc_paths_is_open (hosts->paths, endpoint->zone))
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
usable_endpoints (struct hosts *hosts, const char *name, const GPtrArray *tried,
                  int64_t now_ms, GPtrArray *out)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (hosts->routes, name);

  if (service == NULL)
    return;
  jc_endpoints_list_serving (hosts->endpoints, name, NULL, now_ms, out);
  for (guint i = out->len; i > 0; i--)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (out, i - 1);

      if (jc_orders_is_evacuated (hosts->orders, endpoint->zone)
          || (tried != NULL && was_tried (tried, endpoint->name))
          || !is_warm_enough (hosts, endpoint, service, now_ms))
        g_ptr_array_remove_index (out, i - 1);
    }
  leave_out_cut (hosts, out);
}

/* Tell whether this instance, as far as it knows, can reach NEIGHBOUR.  */
static bool
is_reachable (const struct hosts *hosts, const struct neighbour *neighbour,
              int64_t now_ms)
{
  return jc_paths_is_open (hosts->paths, neighbour->presence.zone)
         && !jc_paths_in_backoff (hosts->paths, neighbour->presence.name,
                                  now_ms);
}

/* Tell whether NEIGHBOUR, in another region, may be asked for QUERY's
   service.  */
static bool
may_ask (const struct hosts *hosts, const struct balancer_query *query,
         const struct neighbour *neighbour)
{
  const struct rpc_presence *said = &neighbour->presence;
  const struct rpc_service_room *room
      = neighbours_room (hosts, said->region, query->service, query->now_ms);

  return room != NULL && !said->draining && said->ready
         && strcmp (said->region, hosts->entry->settings->region) != 0
         && is_fresh (neighbour, query->now_ms)
         && jc_hostroute_allows (query->route, said->region)
         && is_reachable (hosts, neighbour, query->now_ms)
         && !was_tried (query->avoided_regions, said->region)
         && !was_tried (query->tried, said->name)
         && jc_remote_has_room (room, query->demand);
}

/* Return the instances of other regions that may be asked for QUERY's service,
   an array of struct jc_remote_instance.  */
static GArray *
list_elsewhere (struct hosts *hosts, const struct balancer_query *query)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_instance));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;
      struct jc_remote_instance one
          = { .instance = &neighbour->presence,
              .room = neighbours_room (hosts, neighbour->presence.region,
                                       query->service, query->now_ms) };

      if (may_ask (hosts, query, neighbour))
        g_array_append_val (list, one);
    }
  return list;
}

/* A caller's request for SERVICE came.  A full table, of services that no
   configuration names any longer, is begun anew.  */
void
balancer_count_request (struct hosts *hosts, const char *service,
                        int64_t now_ms)
{
  struct jc_request_rate *rate
      = g_hash_table_lookup (hosts->request_rates, service);

  if (rate == NULL)
    {
      if (g_hash_table_size (hosts->request_rates) >= ROOMS_MAX)
        g_hash_table_remove_all (hosts->request_rates);
      rate = g_new0 (struct jc_request_rate, 1);
      g_hash_table_insert (hosts->request_rates, g_strdup (service), rate);
    }
  jc_request_rate_add (rate, now_ms);
}

static double
offered_here (const struct hosts *hosts, const char *service, int64_t now_ms)
{
  const struct jc_request_rate *rate
      = g_hash_table_lookup (hosts->request_rates, service);

  return rate != NULL ? jc_request_rate_at (rate, now_ms) : 0;
}

/* Tell whether an instance of REGION can be reached.  */
static bool
is_region_reachable (const struct hosts *hosts, const char *region,
                     int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (strcmp (neighbour->presence.region, region) == 0
          && is_fresh (neighbour, now_ms)
          && is_reachable (hosts, neighbour, now_ms))
        return true;
    }
  return false;
}

/* Return the offered load of this region, of which OWN comes from this
   instance's callers, as state instances tell.  */
static double
offered_in_region (const struct hosts *hosts,
                   const struct balancer_query *query, double own)
{
  const struct rpc_service_room *room = neighbours_room (
      hosts, hosts->entry->settings->region, query->service, query->now_ms);

  return room != NULL ? MAX (own, (double)room->offered_milli / PERMILLE) : own;
}

/* Return the region that QUERY's plain request goes to since this one's callers
   ask for more than it can serve, or NULL.  ENDPOINTS are those here.  */
static const char *
region_with_room (struct hosts *hosts, const struct balancer_query *query,
                  const GPtrArray *endpoints)
{
  const char *own = hosts->entry->settings->region;
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct jc_region_load one = { .name = own };
  const char *to;

  for (guint i = 0; i < endpoints->len; i++)
    one.capacity_per_s += jc_engines_capacity_per_s (
        hosts->engines, g_ptr_array_index (endpoints, i));
  one.offered_per_s = offered_in_region (
      hosts, query, offered_here (hosts, query->service, query->now_ms));
  g_array_append_val (regions, one);
  for (guint i = 0; i < hosts->region_rooms->len; i++)
    {
      const struct region_room *known
          = g_ptr_array_index (hosts->region_rooms, i);
      const struct rpc_service_room *room
          = strcmp (known->region, own) != 0 ? neighbours_room (
                hosts, known->region, query->service, query->now_ms)
                                             : NULL;

      if (room != &known->room
          || !jc_hostroute_allows (query->route, known->region)
          || !is_region_reachable (hosts, known->region, query->now_ms))
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
note_region (GArray *regions, const char *name, unsigned int endpoints)
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
keep_region (GArray *list, const char *region)
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
meeting_region (const struct hosts *hosts, const struct balancer_query *query,
                guint usable, const GArray *list)
{
  const char *own = hosts->entry->settings->region;
  GArray *regions
      = g_array_new (FALSE, FALSE, sizeof (struct jc_remote_region));
  const char *home;

  if (usable > 0)
    note_region (regions, own, usable);
  for (guint i = 0; i < list->len; i++)
    {
      const struct jc_remote_instance *one
          = &g_array_index (list, struct jc_remote_instance, i);

      note_region (regions, one->instance->region, one->room->endpoints);
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
best_neighbour (struct hosts *hosts, const struct balancer_query *query,
                const GPtrArray *endpoints, int64_t *answer_ms, bool *home)
{
  GArray *list = list_elsewhere (hosts, query);
  const char *region = query->demand->prompt_tokens > 0
                           ? meeting_region (hosts, query, endpoints->len, list)
                           : region_with_room (hosts, query, endpoints);
  const struct neighbour *best = NULL;
  const struct jc_remote_instance *picked;

  *home = region != NULL && query->tried->len == 0
          && strcmp (region, hosts->entry->settings->region) != 0;
  if (*home)
    keep_region (list, region);
  picked = jc_remote_pick_instance (list, g_random_int ());
  if (picked != NULL)
    {
      best = g_hash_table_lookup (hosts->neighbours, picked->instance->name);
      *answer_ms = picked->room->answer_ms;
    }
  g_array_free (list, TRUE);
  return best;
}

/* Return the mean time of a usual request like QUERY's at ENDPOINTS, ms.  */
static int64_t
usual_ms (struct hosts *hosts, const struct balancer_query *query,
          const GPtrArray *endpoints)
{
  const struct jc_demand *usual
      = query->demand->prompt_tokens > 0 ? &usual_prompt : &usual_plain;
  int64_t sum = 0;

  for (guint i = 0; i < endpoints->len; i++)
    sum += jc_engines_answer_ms (
        hosts->engines, g_ptr_array_index (endpoints, i), usual, query->now_ms);
  return sum / MAX ((int64_t)endpoints->len, 1);
}

/* Choose where the request of QUERY goes.  Return JC_NO_ENDPOINT where there
   is no place for it, JC_OVERLOADED where there are only full ones, JC_CROWDED
   where it should wait for its turn.  */
enum jc_status
balancer_pick (struct hosts *hosts, const struct balancer_query *query,
               struct choice *choice)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  const struct neighbour *neighbour = NULL;
  struct jc_endpoint *endpoint = NULL;
  int64_t away_ms = 0;
  bool home = false;
  guint usable;

  if (jc_hostroute_allows (query->route, hosts->entry->settings->region))
    usable_endpoints (hosts, query->service, query->tried, query->now_ms,
                      endpoints);
  usable = endpoints->len;
  if (!query->local_only)
    neighbour = best_neighbour (hosts, query, endpoints, &away_ms, &home);
  jc_engines_filter (hosts->engines, query->demand, endpoints, query->now_ms);
  if (endpoints->len > 0)
    endpoint = jc_engines_pick (hosts->engines, endpoints, query->demand,
                                query->now_ms);
  if (endpoint != NULL && neighbour != NULL && !home
      && !jc_remote_is_faster (usual_ms (hosts, query, endpoints), away_ms,
                               g_random_double ()))
    neighbour = NULL;
  g_ptr_array_free (endpoints, TRUE);
  if (endpoint != NULL && neighbour == NULL
      && (query->may_wait || query->demand->priority >= CROWDED_REFUSED)
      && jc_engines_would_stall (hosts->engines, endpoint, query->demand,
                                 query->now_ms))
    return jc_fail (query->may_wait ? JC_CROWDED : JC_OVERLOADED,
                    "Much is to be read at %s.", endpoint->name);
  choice->neighbour = neighbour;
  choice->endpoint = neighbour != NULL ? NULL : endpoint;
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
measure_room (struct hosts *hosts, const GPtrArray *endpoints, int64_t now_ms,
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
          = jc_routetable_find_service (hosts->routes, endpoint->service);

      answer_ms += jc_engines_answer_ms (
          hosts->engines, endpoint,
          service->engine.slots > 0 ? &usual_prompt : &usual_plain, now_ms);
      busy += jc_engines_prefill_busy (hosts->engines, endpoint, now_ms);
      if (service->engine.slots == 0)
        capacity += jc_engines_capacity_per_s (hosts->engines, endpoint);
    }
  room->offered_milli
      = (u_int)(offered_here (hosts, room->service, now_ms) * PERMILLE);
  room->capacity_milli = (u_int)(capacity * PERMILLE);
  room->endpoints = endpoints->len;
  room->answer_ms = (u_int)(answer_ms / (int64_t)count);
  room->busy_permille = (u_int)(busy / count * PERMILLE);
}

/* Fill the rooms of OUT, which has place for 64: what this instance can do
   for each service.  */
void
balancer_fill_rooms (struct hosts *hosts, struct rpc_presence *out)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  int64_t now = jc_now_ms ();
  GHashTableIter iter;
  gpointer name;

  out->rooms.rooms_len = 0;
  if (hosts->routes != NULL)
    {
      g_hash_table_iter_init (&iter, hosts->routes->services);
      while (g_hash_table_iter_next (&iter, &name, NULL)
             && out->rooms.rooms_len < ROOMS_MAX)
        {
          struct rpc_service_room *room
              = &out->rooms.rooms_val[out->rooms.rooms_len++];

          g_ptr_array_set_size (endpoints, 0);
          usable_endpoints (hosts, name, NULL, now, endpoints);
          room->service = name;
          measure_room (hosts, endpoints, now, room);
        }
    }
  g_ptr_array_free (endpoints, TRUE);
}
