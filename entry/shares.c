/* Shares: endpoints that end if they refuse too many requests get no more than
   they serve at once.  This instance leases slots of them from the state
   instances, tells the others of its region what it holds, and hands requests
   over to those that have slots left.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/shares.h"
#include "net/program.h"

/* A slot is free, or may be: send what waits.  */
static void
on_dispatch (struct ev_loop *loop, ev_timer *watcher, int events)
{
  const struct router *router = watcher->data;

  (void)loop;
  (void)events;
  waitqueue_dispatch (router->wait_queue, jc_now_ms ());
}

void
shares_start (struct router *router)
{
  struct entry_shares *shares = g_new0 (struct entry_shares, 1);

  shares->shares = jc_shares_new ();
  shares->peers = jc_share_peers_new ();
  shares->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  shares->reported = g_array_new (FALSE, FALSE, sizeof (struct rpc_share));
  ev_init (&shares->dispatch_timer, on_dispatch);
  shares->dispatch_timer.data = router;
  router->shares = shares;
}

void
shares_stop (struct router *router)
{
  struct entry_shares *shares = router->shares;

  ev_timer_stop (router->entry->loop, &shares->dispatch_timer);
  jc_shares_free (shares->shares);
  jc_share_peers_free (shares->peers);
  g_hash_table_destroy (shares->services);
  g_array_free (shares->reported, TRUE);
  g_free (shares);
  router->shares = NULL;
}

/* Dispatch the wait queue on the next turn of the event loop.  */
void
shares_schedule_dispatch (struct router *router)
{
  ev_timer *timer = &router->shares->dispatch_timer;

  if (ev_is_active (timer))
    return;
  ev_timer_set (timer, 0, 0);
  ev_timer_start (router->entry->loop, timer);
}

/* Apply INFO, the answer of ENDPOINT to the request SEND_NUMBER.  */
void
shares_note_answer (struct router *router, const struct jc_endpoint *endpoint,
                    const struct jc_answer_info *info, uint64_t send_number)
{
  const struct jc_share_answer answer
      = { .info = info, .send_number = send_number, .now_ms = jc_boot_ms () };

  if (jc_shares_note_answer (router->shares->shares, endpoint, &answer))
    jc_event (JC_EVENT_SHARE,
              "endpoint=%s incarnation=%" PRIu64
              " service=%s refusals_max=%d from=answer",
              endpoint->name, endpoint->incarnation, endpoint->service,
              info->refusals_max_per_s);
}

/* Count the current attempt of EXCHANGE, which goes to ENDPOINT.  */
void
shares_note_send (struct exchange *exchange, const struct jc_endpoint *endpoint)
{
  struct router *router = exchange->router;
  int64_t now = jc_boot_ms ();

  exchange->has_share = true;
  jc_shares_note_send (router->shares->shares, endpoint, exchange->send_number,
                       now);
  if (jc_shares_is_shared (router->shares->shares, endpoint, now))
    {
      struct jc_share_load load
          = jc_shares_load (router->shares->shares, endpoint, now);

      jc_metrics_counter_add (router->entry->metrics,
                              "jaycove_shared_requests_total", "", 1);
      jc_event (JC_EVENT_SHARE, "id=%s endpoint=%s used=%u slots=%u",
                exchange_id (exchange), endpoint->name, load.used, load.slots);
    }
}

/* Record that the current attempt of EXCHANGE, if it is at an endpoint, ended
   by END.  */
void
shares_note_end (struct exchange *exchange, enum jc_share_end end)
{
  struct router *router = exchange->router;
  int64_t now = jc_boot_ms ();

  if (!exchange->has_share)
    return;
  exchange->has_share = false;
  if (end == JC_SHARE_ABANDONED && exchange->relay.attempt_sendings == 0)
    end = JC_SHARE_ENDED;
  if (end == JC_SHARE_REFUSED)
    {
      char labels[160];

      g_snprintf (labels, sizeof labels, "service=\"%s\"", exchange->service);
      jc_metrics_counter_add (router->entry->metrics,
                              "jaycove_endpoint_refusals_total", labels, 1);
    }
  jc_shares_note_end (router->shares->shares, exchange->target_name,
                      exchange->target_incarnation, end, now);
  if (jc_shares_is_service_shared (router->shares->shares, exchange->service,
                                   now))
    shares_schedule_dispatch (router);
}

/* Return whether SERVICE's endpoints get no more requests than this instance
   has slots for.  */
bool
shares_apply (const struct router *router, const char *service)
{
  return jc_shares_is_service_shared (router->shares->shares, service,
                                      jc_boot_ms ());
}

/* Return whether a request may be sent to ENDPOINT now as far as its refusal
   limit is concerned.  */
bool
shares_may_send (struct router *router, const struct jc_endpoint *endpoint)
{
  return jc_shares_may_send (router->shares->shares, endpoint, jc_boot_ms ());
}

/* Return whether ENDPOINT refused requests that it counts against its limit, so
   that it may end for that.  */
bool
shares_refused_lately (const struct router *router, const char *endpoint,
                       uint64_t incarnation)
{
  return jc_shares_refused_lately (router->shares->shares, endpoint,
                                   incarnation, jc_boot_ms ());
}

/* Return the endpoints of SERVICE in this region, which the caller frees.  */
GPtrArray *
shares_list_endpoints (const struct router *router, const char *service)
{
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list_serving (router->endpoints, service, NULL, jc_now_ms (),
                             endpoints);
  return endpoints;
}

/* Return what this instance holds of SERVICE, and the requests that use it or
   wait for it.  */
struct jc_share_load
shares_own_load (const struct router *router, const char *service)
{
  GPtrArray *endpoints = shares_list_endpoints (router, service);
  struct jc_share_load sum = { 0 };

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_share_load load
          = jc_shares_load (router->shares->shares,
                            g_ptr_array_index (endpoints, i), jc_boot_ms ());

      sum.slots += load.slots;
      sum.used += MIN (load.used, load.slots);
    }
  g_ptr_array_free (endpoints, TRUE);
  sum.used
      += jc_waiting_count (waitqueue_waiting (router->wait_queue), service);
  return sum;
}

/* Input of may_hand_over.  */
struct handover_choice
{
  struct router *router;
  const struct balancer_query *query;
};

static bool
may_hand_over (void *ctx, const char *name)
{
  const struct handover_choice *choice = ctx;

  return remotes_find_in_region (choice->router, choice->query, name) != NULL;
}

/* Return another instance of this region that should get QUERY's request, since
   it has slots left of the service's endpoints; or, if this instance holds
   none, since it holds some.  NULL if there is none.  */
const struct neighbour *
shares_pick_neighbour (struct router *router,
                       const struct balancer_query *query)
{
  struct handover_choice choice = { .router = router, .query = query };
  struct jc_share_load own = shares_own_load (router, query->service);
  const char *name
      = jc_share_peers_pick (router->shares->peers, query->service, &own,
                             may_hand_over, &choice, jc_boot_ms ());

  return name != NULL ? remotes_find_in_region (router, query, name) : NULL;
}

/* Count a request for SERVICE that is handed over to INSTANCE now.  */
void
shares_note_handover (struct router *router, const char *instance,
                      const char *service)
{
  jc_share_peers_note_sent (router->shares->peers, instance, service);
}

/* Return how long another request for SERVICE would wait here for a slot, ms,
   or -1 if this instance holds none.  */
int64_t
shares_wait_ms (struct router *router, const char *service)
{
  static const struct jc_demand usual = { .prompt_tokens = 0 };
  struct jc_share_load own = shares_own_load (router, service);

  if (own.slots == 0)
    return -1;
  if (own.used < own.slots)
    return 0;
  return (int64_t)(own.used - own.slots + 1)
         * balancer_answer_ms (router, service, &usual, jc_now_ms ())
         / own.slots;
}
