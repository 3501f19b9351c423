/* Reach: finds out which services' endpoints this instance has lost its links
   to, and probes them until one can be reached again.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "net/tcpprobe.h"

enum
{
  /* A connection that takes longer within a region is lost.  */
  PROBE_TIMEOUT_MS = 400,
  /* Shortest time that an attempt must have waited to show that its endpoint
     can't be reached: many round trips within a region.  */
  HUNG_MIN_MS = 200
};

/* A probe in flight, of ENDPOINT of SERVICE.  */
struct reach_probe
{
  struct router *router;
  struct jc_tcpprobe *probe;
  char *service;
  char *endpoint;
  int64_t started_ms;
};

static void
reach_probe_free (gpointer data)
{
  struct reach_probe *probe = data;

  g_free (probe->service);
  g_free (probe->endpoint);
  g_free (probe);
}

void
reach_start (struct router *router)
{
  router->reach = jc_reach_new ();
  router->reach_probes = g_ptr_array_new_with_free_func (reach_probe_free);
}

void
reach_stop (struct router *router)
{
  for (guint i = 0; i < router->reach_probes->len; i++)
    jc_tcpprobe_cancel (
        ((struct reach_probe *)g_ptr_array_index (router->reach_probes, i))
            ->probe);
  g_ptr_array_free (router->reach_probes, TRUE);
  jc_reach_free (router->reach);
}

/* Return the endpoints of SERVICE that may get requests, an array that the
   caller frees.  */
static GPtrArray *
list_endpoints (const struct router *router, const char *service)
{
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list_serving (router->endpoints, service, NULL, jc_now_ms (),
                             endpoints);
  return endpoints;
}

/* Log the change of SERVICE, and tell the state instances at once.  */
static void
reach_changed (struct router *router, const char *service, const char *endpoint,
               bool reached, const char *why, int64_t lost_for_ms)
{
  jc_event (JC_EVENT_REACH,
            "service=%s reached=%d why=%s endpoint=%s lost_ms=%" PRId64,
            service, reached, why, endpoint, lost_for_ms);
  jc_metrics_counter_add (router->entry->metrics,
                          reached ? "jaycove_services_regained_total"
                                  : "jaycove_services_lost_total",
                          "", 1);
  stateclient_send_presence (router);
}

/* Drop the idle connections to the endpoints of SERVICE, which is lost: they
   may hang.  */
static void
close_idle_connections (struct router *router, const char *service)
{
  GPtrArray *endpoints = list_endpoints (router, service);

  for (guint i = 0; i < endpoints->len; i++)
    jc_httpc_close_idle (
        router->entry->httpc,
        ((const struct jc_endpoint *)g_ptr_array_index (endpoints, i))
            ->address);
  g_ptr_array_free (endpoints, TRUE);
}

static void on_probed (void *ctx, struct jc_tcpprobe *probe,
                       enum jc_tcpprobe_result result);

static void
start_probe (struct router *router, const struct jc_endpoint *endpoint)
{
  struct reach_probe *probe = g_new0 (struct reach_probe, 1);

  probe->router = router;
  probe->service = g_strdup (endpoint->service);
  probe->endpoint = g_strdup (endpoint->name);
  probe->started_ms = jc_now_ms ();
  probe->probe = jc_tcpprobe_start (router->entry->loop, endpoint->address,
                                    PROBE_TIMEOUT_MS, on_probed, probe);
  if (probe->probe != NULL)
    g_ptr_array_add (router->reach_probes, probe);
  else
    {
      jc_event (JC_EVENT_REACH, "service=%s endpoint=%s why=probe_failed",
                endpoint->service, endpoint->name);
      reach_probe_free (probe);
    }
}

/* Probe a random endpoint of SERVICE.  With FAILED, the endpoint that was tried
   last, it is one that was not tried lately, if there is one.  */
static void
probe_any (struct router *router, const char *service, const char *failed)
{
  GPtrArray *endpoints = list_endpoints (router, service);
  const struct jc_endpoint *picked = NULL;
  gint32 seen = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (failed != NULL
          && (strcmp (endpoint->name, failed) == 0
              || jc_engines_in_backoff (router->engines, endpoint->name,
                                        jc_now_ms ())))
        continue;
      if (g_random_int_range (0, ++seen) == 0)
        picked = endpoint;
    }
  if (picked != NULL)
    start_probe (router, picked);
  g_ptr_array_free (endpoints, TRUE);
}

/* Probe the endpoints of SERVICE, which can be reached again, that are in
   backoff: some may be down.  */
static void
probe_those_in_backoff (struct router *router, const char *service)
{
  GPtrArray *endpoints = list_endpoints (router, service);

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (jc_engines_in_backoff (router->engines, endpoint->name, jc_now_ms ()))
        start_probe (router, endpoint);
    }
  g_ptr_array_free (endpoints, TRUE);
}

static struct jc_reach_attempt
current_attempt (const struct exchange *exchange)
{
  return (struct jc_reach_attempt){ .service = exchange->service,
                                    .endpoint = exchange->target_name,
                                    .started_ms
                                    = exchange->attempt_started_ms };
}

/* Record that the current attempt of EXCHANGE ended while nothing had come back
   from the host of its endpoint.  Attempts at other instances don't count, nor
   those that ended too soon to tell.  Return whether it counts.  */
bool
reach_attempt_hung (const struct exchange *exchange)
{
  struct router *router = exchange->router;
  const struct jc_reach_attempt attempt = current_attempt (exchange);
  GPtrArray *endpoints;
  guint count;

  if (exchange->remote || jc_now_ms () - attempt.started_ms < HUNG_MIN_MS)
    return false;
  endpoints = list_endpoints (router, exchange->service);
  count = endpoints->len;

  g_ptr_array_free (endpoints, TRUE);
  if (!jc_reach_failed (router->reach, &attempt, count, jc_now_ms ()))
    return true;
  close_idle_connections (router, exchange->service);
  reach_changed (router, exchange->service, exchange->target_name, false,
                 "unreached", 0);
  probe_any (router, exchange->service, exchange->target_name);
  return true;
}

/* Record that ATTEMPT reached its endpoint, and with WHY if the service is
   regained by that.  */
static void
note_reached (struct router *router, const struct jc_reach_attempt *attempt,
              const char *why)
{
  int64_t lost_ms = jc_reach_is_lost (router->reach, attempt->service)
                        ? jc_reach_lost_ms (router->reach, attempt->service)
                        : 0;

  if (!jc_reach_answered (router->reach, attempt, jc_now_ms ()))
    return;
  probe_those_in_backoff (router, attempt->service);
  reach_changed (router, attempt->service, attempt->endpoint, true, why,
                 jc_now_ms () - lost_ms);
}

/* Record that the endpoint of the current attempt of EXCHANGE answered.  */
void
reach_attempt_answered (const struct exchange *exchange)
{
  const struct jc_reach_attempt attempt = current_attempt (exchange);

  note_reached (exchange->router, &attempt, "answered");
}

static void
on_probed (void *ctx, struct jc_tcpprobe *probe, enum jc_tcpprobe_result result)
{
  struct reach_probe *reach_probe = ctx;
  struct router *router = reach_probe->router;
  const struct jc_reach_attempt attempt
      = { .service = reach_probe->service,
          .endpoint = reach_probe->endpoint,
          .started_ms = reach_probe->started_ms };

  (void)probe;
  if (result == JC_TCPPROBE_ACCEPTED)
    {
      jc_engines_end_backoff (router->engines, attempt.endpoint);
      note_reached (router, &attempt, "probed");
    }
  g_ptr_array_remove_fast (router->reach_probes, reach_probe);
}

/* Return whether SERVICE is in the configuration and has endpoints that may get
   requests.  */
static bool
has_endpoints (const struct router *router, const char *service)
{
  GPtrArray *endpoints = list_endpoints (router, service);
  bool found = endpoints->len > 0;

  g_ptr_array_free (endpoints, TRUE);
  return found && jc_routetable_find_service (router->routes, service) != NULL;
}

/* Probe the lost services that are due, and forget those that are gone or have
   no endpoints any more.  */
void
reach_tick (struct router *router)
{
  GPtrArray *services = g_ptr_array_new ();
  int64_t now = jc_now_ms ();

  jc_reach_list_lost (router->reach, services);
  for (guint i = 0; i < services->len; i++)
    {
      const char *service = g_ptr_array_index (services, i);

      if (!has_endpoints (router, service))
        jc_reach_forget (router->reach, service);
      else if (jc_reach_take_probe (router->reach, service, now))
        probe_any (router, service, NULL);
    }
  g_ptr_array_free (services, TRUE);
}
