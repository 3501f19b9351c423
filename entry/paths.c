/* Paths: what attempts and connections say of the ways to other availability
   zones, the probes of closed ones, and what the instances of a region tell
   each other of them.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

enum
{
  /* A connect over two round trips between regions is lost.  */
  PROBE_CONNECT_MS = 400,
  PROBE_ANSWER_MS = 1000
};

/* A probe under way, of the path to END's zone.  */
struct probe
{
  struct hosts *hosts;
  struct jc_path_target end;
  char *instance;
};

/* Tell whether END is in this instance's own zone, the way to which is no path
   that could be cut alone.  */
static bool
is_own_zone (const struct hosts *hosts, const struct jc_path_target *end)
{
  return strcmp (end->zone, hosts->entry->settings->availability_zone) == 0;
}

static void
log_path (const struct hosts *hosts, const struct jc_path_target *end,
          bool open, const char *why)
{
  jc_event (JC_EVENT_PATH, "zone=%s region=%s open=%d why=%s instance=%s",
            end->zone, end->region, open, why, end->instance);
  jc_metrics_counter_add (hosts->entry->metrics,
                          open ? "jaycove_paths_opened_total"
                               : "jaycove_paths_closed_total",
                          "", 1);
}

/* An attempt at END, begun at BEGUN_MS, ended with RESULT and no answer.  */
void
paths_attempt_failed (struct hosts *hosts, const struct jc_path_target *end,
                      int64_t begun_ms,
                      const struct jc_httpc_call_result *result)
{
  int64_t now = jc_now_ms ();

  if (is_own_zone (hosts, end))
    return;
  if (!result->host_unreachable)
    jc_paths_refused (hosts->paths, end, now);
  else if (jc_paths_failed (hosts->paths, end, begun_ms, now))
    log_path (hosts, end, false, "unreached");
}

/* END answered.  */
void
paths_answered (struct hosts *hosts, const struct jc_path_target *end)
{
  if (!is_own_zone (hosts, end)
      && jc_paths_answered (hosts->paths, end, jc_now_ms ()))
    log_path (hosts, end, true, "answered");
}

/* The connection CONN to a state instance came up or went down.  */
void
paths_state_conn_changed (struct hosts *hosts, const struct jc_rpc_conn *conn,
                          bool up)
{
  const struct jc_path_target end = { .instance = jc_rpc_conn_name (conn),
                                      .zone = jc_rpc_conn_zone (conn),
                                      .region = jc_rpc_conn_region (conn) };

  if (strcmp (jc_rpc_conn_role (conn), "state") == 0
      && !is_own_zone (hosts, &end)
      && jc_paths_connection_changed (hosts->paths, &end, up, jc_now_ms ()))
    log_path (hosts, &end, true, "connected");
}

static void
on_probe_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct probe *probe = ctx;

  if (result->status == JC_OK)
    paths_answered (probe->hosts, &probe->end);
  g_free (probe->instance);
  g_free (probe);
}

/* Ask NEIGHBOUR whether it is there.  */
static void
send_probe (struct hosts *hosts, const struct neighbour *neighbour)
{
  static const struct jc_httpc_call_ops ops = { .done = on_probe_done };
  const struct rpc_presence *said = &neighbour->presence;
  struct probe *probe = g_new0 (struct probe, 1);
  char *url = g_strconcat ("http://", said->handover_address,
                           PATHS_PROBE_TARGET, NULL);
  const struct jc_httpc_call_spec spec
      = { .method = "GET",
          .url = url,
          .connect_timeout_ms = PROBE_CONNECT_MS,
          .total_timeout_ms = PROBE_ANSWER_MS,
          .own_connection = true };

  probe->hosts = hosts;
  probe->instance = g_strdup (said->name);
  probe->end
      = (struct jc_path_target){ .instance = probe->instance,
                                 .zone = g_intern_string (said->zone),
                                 .region = g_intern_string (said->region) };
  jc_httpc_call_start (hosts->entry->httpc, &spec, &ops, probe);
  g_free (url);
}

/* Return an instance of ZONE, any of those that are known, or NULL.  */
static const struct neighbour *
instance_of (const struct hosts *hosts, const char *zone)
{
  const struct neighbour *any = NULL;
  int seen = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, hosts->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (strcmp (neighbour->presence.zone, zone) == 0
          && g_random_int_range (0, ++seen) == 0)
        any = neighbour;
    }
  return any;
}

/* Probe the closed paths where it is time.  */
void
paths_tick (struct hosts *hosts)
{
  GArray *views = g_array_new (FALSE, FALSE, sizeof (struct jc_closed_path));
  int64_t now = jc_now_ms ();

  jc_paths_list_closed (hosts->paths, views);
  for (guint i = 0; i < views->len; i++)
    {
      const struct jc_closed_path *view
          = &g_array_index (views, struct jc_closed_path, i);
      const struct neighbour *neighbour;

      if (!jc_paths_take_probe (hosts->paths, view->zone, now))
        continue;
      neighbour = instance_of (hosts, view->zone);
      if (neighbour != NULL)
        send_probe (hosts, neighbour);
    }
  g_array_free (views, TRUE);
  jc_paths_expire (hosts->paths, now);
}

/* Append to ROWS, of struct rpc_path_closed, the closed paths.  */
void
paths_append_closed (const struct hosts *hosts, GArray *rows)
{
  GArray *views = g_array_new (FALSE, FALSE, sizeof (struct jc_closed_path));
  int64_t now = jc_now_ms ();

  jc_paths_list_closed (hosts->paths, views);
  for (guint i = 0; i < views->len; i++)
    {
      const struct jc_closed_path *view
          = &g_array_index (views, struct jc_closed_path, i);
      const struct rpc_path_closed row
          = { .zone = (char *)view->zone,
              .region = (char *)view->region,
              .age_ms = (u_int)(now - view->closed_ms) };

      g_array_append_val (rows, row);
    }
  g_array_free (views, TRUE);
}

/* REPORTER, another instance of this region, told of the closed paths of
   LOADS.  */
void
paths_reported (struct hosts *hosts, const char *reporter,
                const struct rpc_loads *loads)
{
  for (u_int i = 0; i < loads->paths.paths_len; i++)
    {
      const struct rpc_path_closed *row = &loads->paths.paths_val[i];
      const struct jc_path_target end
          = { .instance = reporter, .zone = row->zone, .region = row->region };

      if (!is_own_zone (hosts, &end)
          && jc_paths_reported (hosts->paths, reporter, &end, row->age_ms,
                                jc_now_ms ()))
        log_path (hosts, &end, false, "told");
    }
}
