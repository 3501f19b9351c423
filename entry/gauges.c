/* Gauges: what an entry instance with routing by hosts believes, and how old
   that is, for its metrics.  */

#include "entry/router.h"
#include "net/program.h"

static unsigned int
fresh_neighbours (const struct hosts *hosts, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  unsigned int count = 0;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((const struct neighbour *)value)->last_seen_ms
        < NEIGHBOUR_FRESH_MS)
      count++;
  return count;
}

/* Return the age of the oldest news of another entry instance, ms.  */
static int64_t
neighbours_age_ms (const struct hosts *hosts, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int64_t age = 0;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    age = MAX (age, now - ((const struct neighbour *)value)->last_seen_ms);
  return age;
}

/* Set the retries that each service of the configuration may spend now.  */
static void
set_retries (struct hosts *hosts, int64_t now)
{
  GHashTableIter iter;
  gpointer name;

  if (hosts->routes == NULL)
    return;
  g_hash_table_iter_init (&iter, hosts->routes->services);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      char *labels = g_strdup_printf ("service=\"%s\"", (const char *)name);

      jc_metrics_gauge_set (
          hosts->entry->metrics, "jaycove_retries_left", labels,
          jc_budgets_retries_left (hosts->budgets, name, now));
      g_free (labels);
    }
}

/* Set the gauges of HOSTS to what holds now.  */
void
gauges_set (struct hosts *hosts)
{
  struct jc_metrics *metrics = hosts->entry->metrics;
  int64_t now = jc_now_ms ();

  jc_metrics_gauge_set (metrics, "jaycove_config_version", "",
                        hosts->routes == NULL ? 0
                                              : (double)hosts->routes->version);
  jc_metrics_gauge_set (metrics, "jaycove_config_heard_ms_ago", "",
                        (double)(now - hosts->state_connected_ms));
  jc_metrics_gauge_set (metrics, "jaycove_endpoints", "",
                        jc_endpoints_count (hosts->endpoints));
  jc_metrics_gauge_set (metrics, "jaycove_entry_instances", "",
                        fresh_neighbours (hosts, now));
  jc_metrics_gauge_set (metrics, "jaycove_entry_instances_heard_ms_ago", "",
                        (double)neighbours_age_ms (hosts, now));
  jc_metrics_gauge_set (metrics, "jaycove_waiting", "",
                        g_queue_get_length (&hosts->wait_queue));
  set_retries (hosts, now);
}
