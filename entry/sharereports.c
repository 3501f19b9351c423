/* Reports of shares between the entry instances of a region.  */

#include <string.h>

#include "base/event.h"
#include "entry/shares.h"
#include "net/program.h"

enum
{
  /* Interval of the reports of changes to other instances.  It grows with their
     number, so that this instance sends as much however many they are.  */
  REPORT_PER_PEER_MS = 20,
  REPORT_MIN_MS = 60,
  REPORT_MAX_MS = 400,
  /* Interval of reports without a change, of instances that hold slots and of
     others.  */
  REPORT_HELD_MS = 500,
  REPORT_NONE_MS = 1500
};

static int64_t
report_interval_ms (guint peers)
{
  return CLAMP ((int64_t)peers * REPORT_PER_PEER_MS, REPORT_MIN_MS,
                REPORT_MAX_MS);
}

static bool
has_changed (const struct entry_shares *shares, const GArray *rows)
{
  if (rows->len != shares->reported->len)
    return true;
  for (guint i = 0; i < rows->len; i++)
    {
      const struct rpc_share *row = &g_array_index (rows, struct rpc_share, i);
      const struct rpc_share *before
          = &g_array_index (shares->reported, struct rpc_share, i);

      if (row->slots != before->slots || row->used != before->used)
        return true;
    }
  return false;
}

static bool
holds_slots (const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    if (g_array_index (rows, struct rpc_share, i).slots > 0)
      return true;
  return false;
}

/* Append to ROWS, an array of struct rpc_share, what this instance holds. Their
   strings belong to ROUTER.  */
static void
append_own (struct router *router, GArray *rows)
{
  GPtrArray *services = g_ptr_array_new ();
  int64_t now = jc_boot_ms ();

  jc_shares_list_services (router->shares->shares, now, services);
  for (guint i = 0; i < services->len; i++)
    {
      char *service = g_ptr_array_index (services, i);
      struct jc_share_load load = shares_own_load (router, service);
      int64_t heard_ms
          = jc_shares_heard_ms (router->shares->shares, service, now);
      const struct rpc_share row
          = { .instance = router->entry->settings->name,
              .service = service,
              .slots = load.slots,
              .used = load.used,
              .heard_ms = (u_int)(now - heard_ms),
              .unanswered = shares_is_unanswered (router, service) };

      if (shares_takes_part (router, service))
        g_array_append_val (rows, row);
    }
  g_ptr_array_free (services, TRUE);
}

/* Append to ROWS, an array of struct rpc_share, what this instance holds, if a
   report to PEERS others is due: something changed, or nothing was reported for
   a while.  Their strings belong to ROUTER.  */
void
shares_append_due (struct router *router, guint peers, GArray *rows)
{
  struct entry_shares *shares = router->shares;
  int64_t now = jc_boot_ms ();
  bool all;

  if (now - shares->reported_ms < report_interval_ms (peers))
    return;
  append_own (router, rows);
  all = now - shares->reported_all_ms
        >= (holds_slots (rows) ? REPORT_HELD_MS : REPORT_NONE_MS);
  if (!all && !has_changed (shares, rows))
    {
      g_array_set_size (rows, 0);
      return;
    }
  shares->reported_ms = now;
  if (all)
    shares->reported_all_ms = now;
  g_array_set_size (shares->reported, 0);
  g_array_append_vals (shares->reported, rows->data, rows->len);
}

/* Append to ROWS what the other instances of this zone hold of SERVICE.  */
static void
append_zone_peers (struct router *router, const char *service, GArray *rows)
{
  const char *zone = router->entry->settings->availability_zone;
  GArray *reported = g_array_new (FALSE, FALSE, sizeof (struct rpc_share));

  jc_share_peers_list (router->shares->peers, service, jc_boot_ms (), reported);
  for (guint i = 0; i < reported->len; i++)
    {
      const struct rpc_share *row
          = &g_array_index (reported, struct rpc_share, i);
      const struct neighbour *neighbour
          = g_hash_table_lookup (router->neighbours, row->instance);

      if (neighbour != NULL && strcmp (neighbour->presence.zone, zone) == 0)
        g_array_append_vals (rows, row, 1);
    }
  g_array_free (reported, TRUE);
}

/* Append to ROWS, an array of struct rpc_share, what the instances of this
   zone, PEERS others, hold, if a report is due.  Their strings belong to
   ROUTER.  */
void
shares_append_zone (struct router *router, guint peers, GArray *rows)
{
  GPtrArray *services = g_ptr_array_new ();
  int64_t now = jc_boot_ms ();

  if (now - router->shares->zone_reported_ms >= report_interval_ms (peers))
    {
      router->shares->zone_reported_ms = now;
      append_own (router, rows);
      jc_shares_list_services (router->shares->shares, now, services);
    }
  for (guint i = 0; i < services->len; i++)
    append_zone_peers (router, g_ptr_array_index (services, i), rows);
  g_ptr_array_free (services, TRUE);
}

/* Apply SHARES, which another instance of this region reported.  */
void
shares_handle_report (struct router *router, const struct rpc_shares *shares)
{
  int64_t now = jc_boot_ms ();

  for (u_int i = 0; i < shares->list.list_len; i++)
    {
      const struct rpc_share *row = &shares->list.list_val[i];

      if (strcmp (row->instance, router->entry->settings->name) == 0)
        continue;
      jc_share_peers_apply (router->shares->peers, row, now);
      if (jc_shares_note_heard (router->shares->shares, row->service,
                                now - row->heard_ms, now))
        jc_event (JC_EVENT_SHARE, "service=%s heard_ms_ago=%u from=%s",
                  row->service, row->heard_ms, row->instance);
    }
}
