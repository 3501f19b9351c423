/* Load balancing: picks the endpoint, or the entry instance of another region,
   that gets a request.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"
#include "serve/remote.h"
#include "serve/slotroom.h"
#include "serve/warmth.h"

enum
{
  /* Requests of this priority number or above are refused if their prompt would
     stall running streams; more urgent ones are sent anyway.  */
  REFUSABLE_PRIORITY = 2,
  ROOMS_MAX = 64,
  /* Time after the loss of a service until its first probe has ended.  */
  PROBE_PENDING_MS = 400,
  PERMILLE = 1000
};

/* Reference requests by which regions are compared: a prompt without any cached
   prefix and its answer, and a plain request.  */
static const struct jc_demand reference_prompt
    = { .prompt_tokens = 1000, .answer_tokens = 200 };
static const struct jc_demand reference_plain = { .prompt_tokens = 0 };

/* Return whether REGION may serve QUERY's request: its route and its workspace
   must both allow that.  */
bool
balancer_allows_region (const struct balancer_query *query, const char *region)
{
  return jc_hostroute_allows (query->route, region)
         && (query->workspace == NULL
             || jc_workspace_allows (query->workspace, region));
}

/* Return whether NAMES has NAME.  */
bool
balancer_contains_name (const GPtrArray *names, const char *name)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)names, name,
                                           g_str_equal, NULL);
}

/* Return the time, in monotonic ms, until which ENDPOINT counts as cold: the
   one that it reported, or the service's cold time after its zone was
   readmitted, whichever is later.  */
static int64_t
cold_until_ms (const struct router *router, const struct jc_endpoint *endpoint,
               const struct jc_hostservice *service)
{
  return MAX (endpoint->warm_at_ms,
              jc_readmissions_cold_until_ms (router->readmissions,
                                             endpoint->zone, service->cold_ms));
}

/* Return whether it is proven that ENDPOINT of SERVICE is warm.  Without
   contact it may be cold again, after an evacuation or by its reports.  */
static bool
is_warm (const struct router *router, const struct jc_endpoint *endpoint,
         const struct jc_hostservice *service, int64_t now_ms)
{
  const struct jc_httpc *httpc = router->entry->httpc;
  const struct jc_warmth warmth
      = { .known_ms = endpoint->known_ms,
          .reported_ms = endpoint->reported_ms,
          .warm_at_ms = cold_until_ms (router, endpoint, service),
          .since_ms = jc_httpc_address_since_ms (httpc, endpoint->address),
          .lost_ms = jc_httpc_address_lost_ms (httpc, endpoint->address),
          .cold_ms = service->cold_ms };

  return service->cold_requests_per_s <= 0
         || (fleetclient_can_tell (router, endpoint)
             && jc_warmth_is_proven (&warmth, now_ms));
}

/* Return true if ENDPOINT is warm, or if this instance doesn't drain, holds the
   grant for it while cold and may send one more request at that rate.  */
static bool
is_warm_or_granted (struct router *router, const struct jc_endpoint *endpoint,
                    const struct jc_hostservice *service, int64_t now_ms)
{
  bool warm = is_warm (router, endpoint, service, now_ms);

  return !fleetclient_must_wait (router, endpoint, service, warm, now_ms)
         && (warm
             || (!router->entry->draining
                 && jc_budgets_may_send_cold (
                     router->budgets, endpoint->name, endpoint->incarnation,
                     service->cold_requests_per_s, now_ms)));
}

/* Return true if ENDPOINT, which got a request just now, may get it once more:
   nothing has come up since that keeps it from new work, and it is known to be
   warm.  */
bool
balancer_may_send_again (struct router *router,
                         const struct jc_endpoint *endpoint, int64_t now_ms)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (router->routes, endpoint->service);

  return service != NULL && jc_endpoint_is_usable (endpoint, now_ms)
         && !jc_orders_is_evacuated (router->orders, endpoint->zone)
         && misdirections_may_send (router, endpoint)
         && is_warm (router, endpoint, service, now_ms)
         && backpressure_may_send (router, endpoint);
}

/* Log that the request ID goes to ENDPOINT if that is cold, or may be, which
   left_ms of 0 or less tells.  Only the instance that holds the grant for this
   incarnation of a cold endpoint may send to it; the log lines show whether
   that is so.  */
void
balancer_log_cold (const struct router *router,
                   const struct jc_endpoint *endpoint, const char *id,
                   int64_t now_ms)
{
  const struct jc_hostservice *service
      = jc_routetable_find_service (router->routes, endpoint->service);

  if (service == NULL || is_warm (router, endpoint, service, now_ms))
    return;
  jc_metrics_counter_add (router->entry->metrics, "jaycove_cold_requests_total",
                          "", 1);
  jc_event (JC_EVENT_COLD,
            "id=%s endpoint=%s incarnation=%" PRIu64 " left_ms=%" PRId64
            " reported_ms_ago=%" PRId64,
            id, endpoint->name, endpoint->incarnation,
            cold_until_ms (router, endpoint, service) - now_ms,
            now_ms - endpoint->reported_ms);
}

static bool
is_in_reachable_zone (const struct router *router,
                      const struct jc_endpoint *endpoint)
{
  return jc_paths_is_open (router->paths, endpoint->zone);
}

/* Remove from ENDPOINTS those that IS_GOOD returns false for, unless that would
   leave none.  */
static void
prefer_endpoints (const struct router *router, GPtrArray *endpoints,
                  bool (*is_good) (const struct router *router,
                                   const struct jc_endpoint *endpoint))
{
  GPtrArray *good = g_ptr_array_new ();

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (is_good (router, endpoint))
        g_ptr_array_add (good, endpoint);
    }
  if (good->len > 0 && good->len < endpoints->len)
    {
      g_ptr_array_set_size (endpoints, 0);
      g_ptr_array_extend (endpoints, good, NULL, NULL);
    }
  g_ptr_array_free (good, TRUE);
}

/* Return whether QUERY's stream may begin or go on at the software version of
   ENDPOINT.  */
static bool
version_matches (const struct router *router,
                 const struct balancer_query *query,
                 const struct jc_endpoint *endpoint)
{
  if (query->software != 0)
    return endpoint->software == query->software;
  return !query->new_stream
         || jc_versions_contains (router->versions, endpoint->service,
                                  endpoint->software);
}

/* Append to OUT the endpoints of the service NAME that may get a request now
   and that ACCEPTS returns true for.  QUERY is the request, NULL for any.  */
static void
collect_usable_endpoints (struct router *router, const char *name,
                          const struct balancer_query *query,
                          bool (*accepts) (struct router *router,
                                           const struct jc_endpoint *endpoint),
                          int64_t now_ms, GPtrArray *out)
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
          || (query != NULL
              && (balancer_contains_name (query->tried, endpoint->name)
                  || !version_matches (router, query, endpoint)))
          || !misdirections_may_send (router, endpoint)
          || !is_warm_or_granted (router, endpoint, service, now_ms)
          || !accepts (router, endpoint))
        g_ptr_array_remove_index (out, i - 1);
    }
  prefer_endpoints (router, out, is_in_reachable_zone);
  if (jc_pauses_has_reports (router->pauses))
    prefer_endpoints (router, out, backpressure_is_unreported);
  if (query != NULL && query->software != 0)
    prefer_endpoints (router, out, resumptions_is_certain);
}

/* Return the mean answer time of a reference request of QUERY's kind at
   ENDPOINTS, ms.  */
static int64_t
mean_answer_ms (struct router *router, const struct balancer_query *query,
                const GPtrArray *endpoints)
{
  const struct jc_demand *reference
      = query->demand->prompt_tokens > 0 ? &reference_prompt : &reference_plain;
  int64_t sum = 0;

  for (guint i = 0; i < endpoints->len; i++)
    sum += jc_engines_answer_ms (router->engines,
                                 g_ptr_array_index (endpoints, i), reference,
                                 query->now_ms);
  return sum / MAX ((int64_t)endpoints->len, 1);
}

/* Remove from ENDPOINTS those that have no room for QUERY's request: plain ones
   that are full, and engines whose slots are left to more urgent requests.  */
static void
filter_slots (struct router *router, const struct balancer_query *query,
              GPtrArray *endpoints)
{
  for (guint i = endpoints->len; i > 0; i--)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i - 1);
      const struct jc_slot_query slots
          = { .service = query->service,
              .running
              = jc_engines_running (router->engines, endpoint, query->now_ms),
              .slots = endpoint->slots,
              .priority = query->demand->priority,
              .objective_ms = query->demand->first_event_limit_ms };

      if (query->demand->prompt_tokens > 0
              ? !jc_slot_room_allows (router->slot_room, &slots)
              : !fullservices_may_send (router, endpoint, query))
        g_ptr_array_remove_index (endpoints, i - 1);
    }
}

/* Remove from ENDPOINTS those that QUERY's request should not be sent to now. A
   stream that has begun goes to a busy endpoint rather than end.  */
static void
filter_engines (struct router *router, const struct balancer_query *query,
                GPtrArray *endpoints)
{
  GPtrArray *all = g_ptr_array_copy (endpoints, NULL, NULL);

  jc_engines_filter (router->engines, query->demand, endpoints, query->now_ms);
  filter_slots (router, query, endpoints);
  if (endpoints->len == 0 && query->software != 0)
    g_ptr_array_extend (endpoints, all, NULL, NULL);
  g_ptr_array_free (all, TRUE);
}

/* Return an endpoint for QUERY's request although this instance has just lost
   its links to the service: no other instance takes the request, which has
   tried some already.  The endpoints that failed may be down, and others not,
   until a probe shows it.  NULL if there is none.  */
static struct jc_endpoint *
pick_last_resort (struct router *router, const struct balancer_query *query)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  struct jc_endpoint *endpoint = NULL;

  if (!query->local_only && query->tried->len > 0
      && query->now_ms - jc_reach_lost_ms (router->reach, query->service)
             < PROBE_PENDING_MS
      && balancer_allows_region (query, router->entry->settings->region))
    collect_usable_endpoints (router, query->service, query,
                              backpressure_may_send, query->now_ms, endpoints);
  filter_engines (router, query, endpoints);
  if (endpoints->len > 0)
    endpoint = jc_engines_pick (router->engines, endpoints, query->demand,
                                query->now_ms);
  g_ptr_array_free (endpoints, TRUE);
  return endpoint;
}

/* Remove from ENDPOINTS those at which this instance has no slot left.  */
static void
filter_shares (struct router *router, GPtrArray *endpoints)
{
  for (guint i = endpoints->len; i > 0; i--)
    if (!shares_may_send (router, g_ptr_array_index (endpoints, i - 1)))
      g_ptr_array_remove_index (endpoints, i - 1);
}

/* Return whether QUERY's request may wait here for a slot and is likely to get
   one in time.  */
static bool
should_wait (struct router *router, const struct balancer_query *query)
{
  int64_t wait_ms;

  if (!query->may_wait || query->queued)
    return query->may_wait;
  wait_ms = shares_wait_ms (router, query->service);
  return wait_ms >= 0 && wait_ms < query->wait_left_ms;
}

/* Pick the target of QUERY's request to a service whose slots are shared out,
   and store it in TARGET: an endpoint where this instance has a slot left,
   another instance of the region that has, or one of another region.  Return
   JC_CROWDED while it may wait for a slot and is likely to get one in time, and
   JC_OVERLOADED if not; JC_NO_ENDPOINT if no endpoint here may serve it, and
   JC_OUT_OF_REACH if this instance doesn't reach them.  */
static enum jc_status
pick_shared (struct router *router, const struct balancer_query *query,
             struct balancer_target *target)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  const struct neighbour *remote = NULL;
  bool lost = jc_reach_is_lost (router->reach, query->service);
  bool must_go = false;
  int64_t remote_ms;
  guint usable;

  *target = (struct balancer_target){ .endpoint = NULL };
  if (!lost)
    collect_usable_endpoints (router, query->service, query,
                              backpressure_may_send, query->now_ms, endpoints);
  usable = endpoints->len;
  if (!query->local_only)
    remote
        = remotes_pick (router, query, endpoints, false, &remote_ms, &must_go);
  filter_shares (router, endpoints);
  filter_engines (router, query, endpoints);
  if (endpoints->len > 0 && !(must_go && remote != NULL))
    target->endpoint = jc_engines_pick (router->engines, endpoints,
                                        query->demand, query->now_ms);
  g_ptr_array_free (endpoints, TRUE);
  if (must_go && remote != NULL)
    target->neighbour = remote;
  else if (target->endpoint == NULL && !query->endpoints_only
           && (usable > 0 || lost)
           && (query->may_wait || query->tried->len == 0))
    target->neighbour = shares_pick_neighbour (router, query);
  if (target->endpoint != NULL || target->neighbour != NULL)
    return JC_OK;
  if (usable > 0 && should_wait (router, query))
    return jc_fail (JC_CROWDED, "All slots of %s are in use.", query->service);
  target->neighbour = remote;
  if (remote != NULL)
    return JC_OK;
  if (lost)
    return jc_fail (JC_OUT_OF_REACH, "No endpoint of %s can be reached.",
                    query->service);
  if (usable == 0)
    return jc_fail (JC_NO_ENDPOINT, "No endpoint of %s can take it.",
                    query->service);
  return jc_fail (JC_OVERLOADED, "All slots of %s are in use.", query->service);
}

/* Pick the target of QUERY's request and store it in TARGET.  Return
   JC_NO_ENDPOINT if nothing serves it, JC_OUT_OF_REACH if this instance and all
   others that it could ask do not reach the endpoints, and JC_OVERLOADED if all
   endpoints are full.  If its prompt would stall running streams, return
   JC_CROWDED while it may wait, and JC_OVERLOADED after that unless it is
   urgent.  */
enum jc_status
balancer_pick (struct router *router, const struct balancer_query *query,
               struct balancer_target *target)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  const struct neighbour *neighbour = NULL;
  struct jc_endpoint *endpoint = NULL;
  int64_t remote_ms = 0;
  bool must_go = false;
  bool lost = jc_reach_is_lost (router->reach, query->service);
  bool unreached;
  GPtrArray *candidates;
  guint usable;

  if (shares_apply (router, query->service)
      && balancer_allows_region (query, router->entry->settings->region))
    {
      g_ptr_array_free (endpoints, TRUE);
      return pick_shared (router, query, target);
    }
  if (!lost && balancer_allows_region (query, router->entry->settings->region))
    collect_usable_endpoints (router, query->service, query,
                              backpressure_may_send, query->now_ms, endpoints);
  usable = endpoints->len;
  candidates = g_ptr_array_copy (endpoints, NULL, NULL);
  filter_engines (router, query, candidates);
  if (candidates->len > 0)
    endpoint = jc_engines_pick (router->engines, candidates, query->demand,
                                query->now_ms);
  unreached = lost || (candidates->len > 0 && endpoint == NULL);
  if (!query->local_only)
    neighbour = remotes_pick (router, query, endpoints, unreached, &remote_ms,
                              &must_go);
  if (lost && neighbour == NULL)
    endpoint = pick_last_resort (router, query);
  if (endpoint != NULL && neighbour != NULL && !must_go
      && !jc_remote_is_faster (mean_answer_ms (router, query, candidates),
                               remote_ms, g_random_double ()))
    neighbour = NULL;
  g_ptr_array_free (candidates, TRUE);
  g_ptr_array_free (endpoints, TRUE);
  if (endpoint != NULL && neighbour == NULL && query->software == 0
      && (query->may_wait || query->demand->priority >= REFUSABLE_PRIORITY)
      && jc_engines_would_stall (router->engines, endpoint, query->demand,
                                 query->now_ms))
    return jc_fail (query->may_wait ? JC_CROWDED : JC_OVERLOADED,
                    "Much is to be read at %s.", endpoint->name);
  target->neighbour = neighbour;
  target->endpoint = neighbour != NULL ? NULL : endpoint;
  if (neighbour != NULL || endpoint != NULL)
    return JC_OK;
  if (unreached
      && (query->local_only || !remotes_reach_service (router, query)))
    return jc_fail (JC_OUT_OF_REACH, "No endpoint of %s can be reached.",
                    query->service);
  if (unreached || usable > 0)
    return jc_fail (JC_OVERLOADED, "All endpoints of %s have too much to do.",
                    query->service);
  return jc_fail (JC_NO_ENDPOINT, "No endpoint of %s can take it.",
                  query->service);
}

/* Return the mean time of an answer to DEMAND at the endpoints of SERVICE in
   this region, ms, 0 if there are none.  */
int64_t
balancer_answer_ms (struct router *router, const char *service,
                    const struct jc_demand *demand, int64_t now_ms)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  int64_t sum = 0;
  int64_t mean;

  jc_endpoints_list_serving (router->endpoints, service, NULL, now_ms,
                             endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    sum += jc_engines_answer_ms (
        router->engines, g_ptr_array_index (endpoints, i), demand, now_ms);
  mean = sum / MAX ((int64_t)endpoints->len, 1);
  g_ptr_array_free (endpoints, TRUE);
  return mean;
}

/* Return the time until some endpoint of SERVICE in this region accepts
   requests again, ms, if all of them are held back by limits and pauses;
   otherwise 0.  */
int64_t
balancer_earliest_ms (struct router *router, const char *service,
                      int64_t now_ms)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  int64_t earliest = 0;
  bool all_wait = true;

  jc_endpoints_list_serving (router->endpoints, service, NULL, now_ms,
                             endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    {
      int64_t wait
          = backpressure_wait_ms (router, g_ptr_array_index (endpoints, i));

      all_wait = all_wait && wait != 0;
      if (wait > 0 && (earliest == 0 || wait < earliest))
        earliest = wait;
    }
  g_ptr_array_free (endpoints, TRUE);
  return all_wait ? earliest : 0;
}

/* Fill ROOM with the load and capacity of ENDPOINTS, all of one service, whose
   name ROOM holds.  */
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
      = (u_int)(remotes_local_rate (router, room->service, now_ms) * PERMILLE);
  room->capacity_milli = (u_int)(capacity * PERMILLE);
  room->endpoints = endpoints->len;
  room->answer_ms = (u_int)(answer_ms / (int64_t)count);
  room->busy_permille = (u_int)(busy / count * PERMILLE);
}

/* Fill the rooms of OUT, which has space for ROOMS_MAX, with the load and
   capacity that this instance sees for each service.  */
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
          /* Other regions would use up a limit, which is small, faster than
             they hear of it.  */
          if (!jc_reach_is_lost (router->reach, name))
            collect_usable_endpoints (router, name, NULL, backpressure_is_free,
                                      now, endpoints);
          room->service = name;
          fill_room (router, endpoints, now, room);
        }
    }
  g_ptr_array_free (endpoints, TRUE);
}
