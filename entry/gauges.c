/* Gauges for /metrics: what an entry instance with host-based routing knows of
   the region, and how old that is.  */

#include "base/buffers.h"
#include "entry/router.h"
#include "net/program.h"

/* Return the number of other entry instances that count as alive.  */
static unsigned int
count_fresh_neighbours (const struct router *router, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned int count = 0;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((const struct neighbour *)value)->last_seen_ms
        < NEIGHBOUR_FRESH_MS)
      count++;
  return count;
}

/* Return the age of the oldest presence report among the known entry instances,
   ms; 0 if none is known.  */
static int64_t
max_neighbour_age_ms (const struct router *router, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int64_t max_age_ms = 0;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    max_age_ms = MAX (max_age_ms,
                      now - ((const struct neighbour *)value)->last_seen_ms);
  return max_age_ms;
}

/* Set the number of retries that the budget of each service in the
   configuration allows now.  */
static void
set_retries (struct router *router, int64_t now)
{
  GHashTableIter iter;
  gpointer name;

  if (router->routes == NULL)
    return;
  g_hash_table_iter_init (&iter, router->routes->services);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      char *labels = g_strdup_printf ("service=\"%s\"", (const char *)name);

      jc_metrics_gauge_set (
          router->entry->metrics, "jaycove_retries_left", labels,
          jc_budgets_retries_left (router->budgets, name, now));
      g_free (labels);
    }
}

/* Return the number of services whose endpoints this instance can't reach.  */
static unsigned int
count_unreached (const struct router *router)
{
  GPtrArray *services = g_ptr_array_new ();
  unsigned int count;

  jc_reach_list_lost (router->reach, services);
  count = services->len;
  g_ptr_array_free (services, TRUE);
  return count;
}

static void
set_cause (struct router *router, const char *cause, unsigned int count)
{
  char labels[40];

  g_snprintf (labels, sizeof labels, "cause=\"%s\"", cause);
  jc_metrics_gauge_set (router->entry->metrics, "jaycove_endpoints_set_aside",
                        labels, count);
}

/* Set how many endpoints get no request, or fewer, for each cause.  One may
   count for several.  */
static void
set_endpoints_set_aside (struct router *router, int64_t now)
{
  GPtrArray *endpoints = g_ptr_array_new ();
  unsigned int leaving = 0;
  unsigned int cold = 0;
  unsigned int in_backoff = 0;

  jc_endpoints_list (router->endpoints, endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      leaving += endpoint->leaving ? 1 : 0;
      cold += endpoint->warm_at_ms > now ? 1 : 0;
      in_backoff += jc_engines_in_backoff (router->engines, endpoint->name, now)
                        ? 1
                        : 0;
    }
  g_ptr_array_free (endpoints, TRUE);
  set_cause (router, "leaving", leaving);
  set_cause (router, "cold", cold);
  set_cause (router, "backoff", in_backoff);
  set_cause (router, "paused", jc_pauses_count (router->pauses, jc_boot_ms ()));
  set_cause (router, "misdirected", jc_misdirected_count (router->misdirected));
}

/* Update all gauges of ROUTER.  */
void
gauges_set (struct router *router)
{
  struct jc_metrics *metrics = router->entry->metrics;
  int64_t now = jc_now_ms ();

  jc_metrics_gauge_set (
      metrics, "jaycove_config_version", "",
      router->routes == NULL ? 0 : (double)router->routes->version);
  jc_metrics_gauge_set (metrics, "jaycove_config_heard_ms_ago", "",
                        (double)(now - router->state_connected_ms));
  jc_metrics_gauge_set (metrics, "jaycove_endpoints", "",
                        jc_endpoints_count (router->endpoints));
  jc_metrics_gauge_set (metrics, "jaycove_software_versions", "",
                        jc_versions_count (router->versions));
  jc_metrics_gauge_set (metrics, "jaycove_entry_instances", "",
                        count_fresh_neighbours (router, now));
  jc_metrics_gauge_set (metrics, "jaycove_entry_instances_heard_ms_ago", "",
                        (double)max_neighbour_age_ms (router, now));
  jc_metrics_gauge_set (metrics, "jaycove_unreached_services", "",
                        count_unreached (router));
  jc_metrics_gauge_set (
      metrics, "jaycove_limited_endpoints", "",
      jc_backpressure_count_limited (router->backpressure, jc_boot_ms ()));
  jc_metrics_gauge_set (metrics, "jaycove_paused_endpoints", "",
                        jc_pauses_count (router->pauses, jc_boot_ms ()));
  jc_metrics_gauge_set (metrics, "jaycove_misdirected_endpoints", "",
                        jc_misdirected_count (router->misdirected));
  jc_metrics_gauge_set (metrics, "jaycove_suspected_fingerprints", "",
                        jc_suspects_count (router->suspects, RPC_SUSPECTED));
  jc_metrics_gauge_set (metrics, "jaycove_blocked_fingerprints", "",
                        jc_suspects_count (router->suspects, RPC_BLOCKED));
  jc_metrics_gauge_set (
      metrics, "jaycove_waiting", "",
      jc_waiting_length (waitqueue_waiting (router->wait_queue)));
  jc_metrics_gauge_set (metrics, "jaycove_buffered_bytes", "",
                        (double)jc_buffers_total ());
  set_retries (router, now);
  quotas_set_gauges (router);
  set_endpoints_set_aside (router, now);
}
