/* Fleet client: applies what state instances report of the endpoints of this
   region.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/router.h"
#include "member/reportcheck.h"
#include "net/program.h"

enum
{
  /* Shortest interval between two requests for all endpoints.  */
  FLEET_REQUEST_INTERVAL_MS = 1000
};

/* Return true if ZONE is in the region of this instance.  */
static bool
is_in_region (const struct router *router, const char *zone)
{
  const struct jc_entry_settings *settings = router->entry->settings;

  for (guint i = 0; i < settings->zones->len; i++)
    {
      const struct jc_zone_place *place
          = g_ptr_array_index (settings->zones, i);

      if (strcmp (place->name, zone) == 0)
        return strcmp (place->region, settings->region) == 0;
    }
  return strcmp (zone, settings->availability_zone) == 0;
}

/* Return whether an endpoint can have the values of REPORTED, which a state
   instance of an earlier version may have accepted.  */
static bool
report_is_possible (const struct rpc_endpoint *reported)
{
  if (jc_report_check (reported, jc_wall_ms ()) == JC_OK)
    return true;
  jc_event (JC_EVENT_BAD_INPUT, "from=state name=%.60s why=\"%s\"",
            reported->name, jc_last_message ());
  return false;
}

/* End the incarnation that REPORTED names, or, where it names none, the one
   that is known here.  */
static void
end_endpoint (struct router *router, const struct rpc_endpoint *reported)
{
  if (reported->incarnation != 0)
    jc_endpoints_end (router->endpoints, reported->name, reported->incarnation,
                      jc_now_ms ());
  else
    jc_endpoints_mark_leaving (router->endpoints, reported->name, 0);
}

/* Note that CONN passed the last report of ENDPOINT on.  */
static void
note_reporter (struct router *router, struct jc_endpoint *endpoint,
               const struct jc_rpc_conn *conn)
{
  endpoint->reporter = g_intern_string (jc_rpc_conn_name (conn));
  endpoint->reporter_is_far
      = strcmp (jc_rpc_conn_region (conn), router->entry->settings->region)
        != 0;
}

/* Apply REPORTED, the state of an endpoint, which CONN passed on. Endpoints
   of other regions are ignored.  The endpoint is logged if it is new or has
   another address, or if it began or ceased to leave.  */
static void
apply_endpoint (struct router *router, const struct rpc_endpoint *reported,
                const struct jc_rpc_conn *conn)
{
  int64_t now = jc_now_ms ();
  struct jc_endpoint *known
      = jc_endpoints_find (router->endpoints, reported->name);
  bool was_leaving = known != NULL && known->leaving;
  bool was_warm = known != NULL && known->warm_at_ms <= now;
  bool ends = reported->leaving && reported->address[0] == '\0';
  bool changed = known == NULL
                 || (reported->address[0] != '\0'
                     && strcmp (known->address, reported->address) != 0);

  if (ends)
    end_endpoint (router, reported);
  else if (!is_in_region (router, reported->zone)
           || !report_is_possible (reported)
           || jc_endpoints_update (router->endpoints, reported, now) != JC_OK)
    return;
  known = jc_endpoints_find (router->endpoints, reported->name);
  if (known != NULL && !ends)
    note_reporter (router, known, conn);
  if (known != NULL && was_warm && known->warm_at_ms > now)
    known->cooled_ms = now;
  changed = changed || (known != NULL && was_leaving != known->leaving);
  if (known != NULL && changed)
    jc_event (JC_EVENT_ENDPOINT,
              "endpoint=%s incarnation=%" PRIu64 " sequence=%" PRIu64
              " service=%s address=%s zone=%s leaving=%d cold_ms=%u",
              known->name, known->incarnation, known->sequence, known->service,
              known->address, known->zone, known->leaving, reported->cold_ms);
}

/* Ask CONN for all endpoints and entry instances because it mentioned one that
   is not known here; at most once per FLEET_REQUEST_INTERVAL_MS.  */
void
fleetclient_request (struct router *router, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_FLEET_FOLLOW };
  int64_t now = jc_now_ms ();

  if (now - router->fleet_requested_ms < FLEET_REQUEST_INTERVAL_MS)
    return;
  router->fleet_requested_ms = now;
  jc_event (JC_EVENT_ORDERS_ASKED, "peer=%s what=all", jc_rpc_conn_name (conn));
  jc_rpc_send (conn, &packet);
}

/* Apply LOAD, which CONN passed on.  Return false if its endpoint is
   unknown.  */
static bool
apply_load (struct router *router, const struct rpc_zone_load *load,
            const struct jc_rpc_conn *conn)
{
  enum jc_status status
      = jc_endpoints_update_load (router->endpoints, load, jc_now_ms ());

  if (status == JC_OK)
    note_reporter (
        router, jc_endpoints_find_by_tag (router->endpoints, load->tag), conn);
  return status != JC_NOT_FOUND;
}

/* Apply FLEET, the endpoints and loads that CONN reports.  All endpoints are
   requested if one of the loads is of an unknown one.  */
void
fleetclient_apply (struct router *router, struct jc_rpc_conn *conn,
                   const struct rpc_fleet *fleet)
{
  bool unknown = false;

  for (u_int i = 0; i < fleet->endpoints.endpoints_len; i++)
    apply_endpoint (router, &fleet->endpoints.endpoints_val[i], conn);
  for (u_int i = 0; i < fleet->loads.loads_len; i++)
    if (!apply_load (router, &fleet->loads.loads_val[i], conn))
      unknown = true;
  if (unknown)
    fleetclient_request (router, conn);
}

/* Note that the state instance CONN was heard.  */
void
fleetclient_note (struct router *router, const struct jc_rpc_conn *conn)
{
  jc_reporters_note (router->reporters, jc_rpc_conn_name (conn),
                     jc_rpc_conn_silent_ms (conn), jc_boot_ms ());
}

/* Return whether it would be known here by now if ENDPOINT had reported that it
   is cold.  */
bool
fleetclient_can_tell (const struct router *router,
                      const struct jc_endpoint *endpoint)
{
  return jc_reporters_can_tell (router->reporters, &router->contact,
                                endpoint->reporter, jc_boot_ms ());
}

/* Log which state instances are heard no longer, or again.  */
void
fleetclient_tick (struct router *router)
{
  GPtrArray *changed = g_ptr_array_new_with_free_func (g_free);
  int64_t now = jc_boot_ms ();

  jc_reporters_tick (router->reporters, now, changed);
  for (guint i = 0; i < changed->len; i++)
    jc_event (JC_EVENT_CONTACT, "peer=%s heard=%d",
              (const char *)g_ptr_array_index (changed, i),
              jc_reporters_are_heard (router->reporters,
                                      g_ptr_array_index (changed, i), now));
  g_ptr_array_free (changed, TRUE);
}

/* Return the number of entry instances of this region that are known,
   this one included.  */
unsigned int
fleetclient_count_entries (const struct router *router)
{
  unsigned int count = 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const struct neighbour *)value)->presence.region,
                router->entry->settings->region)
        == 0)
      count++;
  return count;
}

/* Return whether ENDPOINT of SERVICE must not get a request now since its
   reports come by way of another region; WARM is whether it is proven to be
   warm.  */
bool
fleetclient_must_wait (const struct router *router,
                       const struct jc_endpoint *endpoint,
                       const struct jc_hostservice *service, bool warm,
                       int64_t now_ms)
{
  double per_s = service->cold_requests_per_s;
  struct jc_far_endpoint far
      = { .sent_ms = endpoint->sent_ms, .cooled_ms = endpoint->cooled_ms };

  if (!endpoint->reporter_is_far || per_s <= 0)
    return false;
  far.allowed = (unsigned int)jc_budgets_cold_allowed (router->budgets, per_s);
  far.instances = fleetclient_count_entries (router);
  return jc_reporters_must_wait (&far, warm, now_ms);
}

/* Note that ENDPOINT is sent a request.  */
void
fleetclient_note_send (struct router *router,
                       const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct jc_endpoint *known
      = jc_endpoints_find (router->endpoints, endpoint->name);

  if (known != NULL)
    known->sent_ms = now_ms;
}
