/* Network paths to other availability zones: records from attempts and
   connections which ones are usable, probes closed ones, and exchanges closed
   ones with the other instances of the region.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

enum
{
  /* A connection attempt that takes longer than two round trips between regions
     is lost.  */
  PROBE_CONNECT_MS = 400,
  PROBE_ANSWER_MS = 1000
};

/* A probe in flight, of the path to TARGET's zone.  INSTANCE owns the name that
   TARGET borrows.  */
struct probe
{
  struct router *router;
  struct jc_path_target target;
  char *instance;
};

/* Return true if TARGET is in this instance's own zone, which is not tracked:
   no path to it could fail on its own.  */
static bool
is_own_zone (const struct router *router, const struct jc_path_target *target)
{
  return strcmp (target->zone, router->entry->settings->availability_zone) == 0;
}

static void
log_path (const struct router *router, const struct jc_path_target *target,
          bool open, const char *why)
{
  jc_event (JC_EVENT_PATH, "zone=%s region=%s open=%d why=%s instance=%s",
            target->zone, target->region, open, why, target->instance);
  jc_metrics_counter_add (router->entry->metrics,
                          open ? "jaycove_paths_opened_total"
                               : "jaycove_paths_closed_total",
                          "", 1);
}

/* Record that an attempt at TARGET, started at STARTED_MS, ended with RESULT
   before any answer came.  In this instance's own zone only TARGET itself can
   be down.  */
void
paths_attempt_failed (struct router *router,
                      const struct jc_path_target *target, int64_t started_ms,
                      const struct jc_httpc_call_result *result)
{
  int64_t now = jc_now_ms ();

  if (!result->host_unreachable || is_own_zone (router, target))
    jc_paths_refused (router->paths, target, now);
  else if (jc_paths_failed (router->paths, target, started_ms, now))
    log_path (router, target, false, "unreached");
}

/* Record that TARGET answered, which opens the path to its zone.  */
void
paths_answered (struct router *router, const struct jc_path_target *target)
{
  if (!is_own_zone (router, target)
      && jc_paths_answered (router->paths, target, jc_now_ms ()))
    log_path (router, target, true, "answered");
}

/* Record that the connection CONN to a state instance came up or went down.  A
   new connection opens the path to its zone.  */
void
paths_state_conn_changed (struct router *router, const struct jc_rpc_conn *conn,
                          bool up)
{
  const struct jc_path_target target = { .instance = jc_rpc_conn_name (conn),
                                         .zone = jc_rpc_conn_zone (conn),
                                         .region = jc_rpc_conn_region (conn) };

  if (strcmp (jc_rpc_conn_role (conn), "state") == 0
      && !is_own_zone (router, &target)
      && jc_paths_connection_changed (router->paths, &target, up, jc_now_ms ()))
    log_path (router, &target, true, "connected");
}

static void
on_probe_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct probe *probe = ctx;

  if (result->status == JC_OK)
    paths_answered (probe->router, &probe->target);
  g_free (probe->instance);
  g_free (probe);
}

/* Send a probe to NEIGHBOUR's handover address over a fresh connection.  */
static void
send_probe (struct router *router, const struct neighbour *neighbour)
{
  static const struct jc_httpc_call_ops ops = { .done = on_probe_done };
  const struct rpc_presence *presence = &neighbour->presence;
  struct probe *probe = g_new0 (struct probe, 1);
  char *url = g_strconcat ("http://", presence->handover_address,
                           PATHS_PROBE_TARGET, NULL);
  const struct jc_httpc_call_spec spec
      = { .method = "GET",
          .url = url,
          .connect_timeout_ms = PROBE_CONNECT_MS,
          .total_timeout_ms = PROBE_ANSWER_MS,
          .own_connection = true };

  probe->router = router;
  probe->instance = g_strdup (presence->name);
  probe->target
      = (struct jc_path_target){ .instance = probe->instance,
                                 .zone = g_intern_string (presence->zone),
                                 .region = g_intern_string (presence->region) };
  jc_httpc_call_start (router->entry->httpc, &spec, &ops, probe);
  g_free (url);
}

/* Return a random known instance of ZONE, or NULL.  This is reservoir sampling:
   the n-th instance replaces the pick with probability 1/n.  */
static const struct neighbour *
random_neighbour_in (const struct router *router, const char *zone)
{
  const struct neighbour *picked = NULL;
  int seen = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (strcmp (neighbour->presence.zone, zone) == 0
          && g_random_int_range (0, ++seen) == 0)
        picked = neighbour;
    }
  return picked;
}

/* Probe the closed paths that are due, and drop outdated state.  */
void
paths_tick (struct router *router)
{
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (struct jc_closed_path));
  int64_t now = jc_now_ms ();

  jc_paths_list_closed (router->paths, closed);
  for (guint i = 0; i < closed->len; i++)
    {
      const struct jc_closed_path *path
          = &g_array_index (closed, struct jc_closed_path, i);
      const struct neighbour *neighbour;

      if (!jc_paths_take_probe (router->paths, path->zone, now))
        continue;
      neighbour = random_neighbour_in (router, path->zone);
      if (neighbour != NULL)
        send_probe (router, neighbour);
    }
  g_array_free (closed, TRUE);
  jc_paths_expire (router->paths, now);
}

/* Append the closed paths to ROWS, an array of struct rpc_path_closed.  */
void
paths_append_closed (const struct router *router, GArray *rows)
{
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (struct jc_closed_path));
  int64_t now = jc_now_ms ();

  jc_paths_list_closed (router->paths, closed);
  for (guint i = 0; i < closed->len; i++)
    {
      const struct jc_closed_path *path
          = &g_array_index (closed, struct jc_closed_path, i);
      const struct rpc_path_closed row
          = { .zone = (char *)path->zone,
              .region = (char *)path->region,
              .age_ms = (u_int)(now - path->closed_ms) };

      g_array_append_val (rows, row);
    }
  g_array_free (closed, TRUE);
}

/* Apply the closed paths in LOADS, a report of REPORTER, another instance of
   this region.  */
void
paths_reported (struct router *router, const char *reporter,
                const struct rpc_loads *loads)
{
  for (u_int i = 0; i < loads->paths.paths_len; i++)
    {
      const struct rpc_path_closed *row = &loads->paths.paths_val[i];
      const struct jc_path_target target
          = { .instance = reporter, .zone = row->zone, .region = row->region };

      if (!is_own_zone (router, &target)
          && jc_paths_reported (router->paths, reporter, &target, row->age_ms,
                                jc_now_ms ()))
        log_path (router, &target, false, "told");
    }
}
