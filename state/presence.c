/* Entry instances that report to this instance, and the directory of them for
   callers.  */

#include <string.h>

#include "base/event.h"
#include "member/presence.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Interval of updates to entry instances about each other.  */
  UPDATE_MS = 500,
  /* Maximum number of addresses in an answer of the directory, and of rows in
     each part of an update.  */
  DIRECTORY_MAX = 64,
  UPDATE_ENTRIES_MAX = 1024,
  UPDATE_ROOMS_MAX = 4096,
  /* An entry instance reports every 0.5 s.  One that missed two reports gets no
     new work.  */
  SILENT_MS = 1500,
  MS_PER_S = 1000
};

/* An entry instance: its last report, when that arrived, and the incarnation of
   its process.  ANNOUNCED is set if the entry instances that get updates from
   here know of it, CHANGED if what they know is out of date.  */
struct entry_view
{
  struct rpc_presence report;
  uint64_t incarnation;
  int64_t last_report_ms;
  bool announced;
  bool changed;
};

struct presence
{
  GHashTable *entries;
  ev_timer update_timer;
};

static void
view_free (gpointer data)
{
  struct entry_view *view = data;

  jc_presence_clear (&view->report);
  g_free (view);
}

/* Return whether the instances of A and B can't reach the same services.  */
static bool
reach_is_same (const struct rpc_presence *a, const struct rpc_presence *b)
{
  if (a->unreached.unreached_len != b->unreached.unreached_len)
    return false;
  for (u_int i = 0; i < a->unreached.unreached_len; i++)
    if (jc_presence_reaches (a, b->unreached.unreached_val[i]))
      return false;
  return true;
}

/* Return whether REPORTED has the same content as the last report in VIEW,
   apart from its rooms, the load and capacity of each service.  */
static bool
is_unchanged (const struct entry_view *view,
              const struct rpc_presence *reported)
{
  return view->report.draining == reported->draining
         && view->report.ready == reported->ready
         && reach_is_same (&view->report, reported)
         && strcmp (view->report.callers_address, reported->callers_address)
                == 0
         && strcmp (view->report.handover_address, reported->handover_address)
                == 0;
}

/* Handle a report of the entry instance at CONN about itself.  */
void
presence_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet)
{
  const struct rpc_presence *reported = &packet->body.rpc_body_u.presence;
  const struct entry_view *known;
  struct entry_view *view;

  if (packet->body.type != RPC_PRESENCE
      || strcmp (reported->name, jc_rpc_conn_name (conn)) != 0)
    return;
  known = g_hash_table_lookup (state->presence->entries, reported->name);
  view = g_new0 (struct entry_view, 1);
  view->announced = known != NULL && known->announced;
  view->changed
      = known == NULL || known->changed || !is_unchanged (known, reported);
  if (known == NULL || !is_unchanged (known, reported))
    jc_event (JC_EVENT_ENTRY,
              "entry=%s address=%s ready=%d draining=%d unreached=%u",
              reported->name, reported->callers_address, reported->ready,
              reported->draining, reported->unreached.unreached_len);
  jc_presence_copy (&view->report, reported);
  view->incarnation = jc_rpc_conn_incarnation (conn);
  view->last_report_ms = jc_now_ms ();
  g_hash_table_replace (state->presence->entries, view->report.name, view);
}

/* Return whether the entry instance CONN gets updates about the others from
   here: it is in this region, or it subscribed to the orders here because its
   region has no state instance.  */
static bool
gets_updates (const struct state *state, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_region (conn), state->settings->region) == 0
         || orders_is_subscribed (state, conn);
}

static bool
is_in_contact (const struct state *state, const struct entry_view *view)
{
  return jc_now_ms () - view->last_report_ms < state->settings->contact_ms;
}

/* Remove the entry instances whose last report is older than the setting
   contact_ms.  */
static void
remove_lost (struct state *state)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;

      if (is_in_contact (state, view))
        continue;
      jc_event (JC_EVENT_ENTRY, "entry=%s silent_ms=%" G_GINT64_FORMAT,
                view->report.name, jc_now_ms () - view->last_report_ms);
      g_hash_table_iter_remove (&iter);
    }
}

/* Return whether the entry instance of VIEW has missed so many reports that it
   gets no new work.  */
static bool
is_silent (const struct entry_view *view)
{
  return jc_now_ms () - view->last_report_ms >= SILENT_MS;
}

/* Merge ROOM, which one more instance of the region reported, into OUT.  The
   instances of a region share its endpoints, so capacities and means are not
   added: the room with the most endpoints, then the greatest capacity, is kept.
   Each instance has its own callers, so the offered rates are added.  */
static void
merge_room (struct rpc_service_room *out, const struct rpc_service_room *room)
{
  u_int offered = out->offered_milli + room->offered_milli;

  if (room->endpoints > out->endpoints
      || (room->endpoints == out->endpoints
          && room->capacity_milli >= out->capacity_milli))
    *out = *room;
  out->offered_milli = offered;
}

static struct rpc_service_room *
find_or_add_room (GArray *rooms, const char *region, const char *service)
{
  struct rpc_region_room fresh
      = { .region = (char *)region, .room.service = (char *)service };

  for (guint i = 0; i < rooms->len; i++)
    {
      struct rpc_region_room *one
          = &g_array_index (rooms, struct rpc_region_room, i);

      if (strcmp (one->region, region) == 0
          && strcmp (one->room.service, service) == 0)
        return &one->room;
    }
  g_array_append_val (rooms, fresh);
  return &g_array_index (rooms, struct rpc_region_room, rooms->len - 1).room;
}

/* Fill ROOMS, an array of struct rpc_region_room, from the reports of entry
   instances that are not silent.  */
static void
collect_rooms (const struct state *state, GArray *rooms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;
      const struct rpc_presence *reported = &view->report;

      for (u_int i = 0; i < reported->rooms.rooms_len && !is_silent (view)
                        && rooms->len < UPDATE_ROOMS_MAX;
           i++)
        merge_room (find_or_add_room (rooms, reported->region,
                                      reported->rooms.rooms_val[i].service),
                    &reported->rooms.rooms_val[i]);
    }
}

/* An update to entry instances.  Its rows point into the reports, and are valid
   as long as these.  */
struct update
{
  struct rpc_packet packet;
  GArray *listed;
  GPtrArray *gone_names;
  GArray *rooms;
};

static void
update_init (struct update *update, bool full)
{
  memset (update, 0, sizeof *update);
  update->packet.body.type = RPC_ENTRIES;
  update->packet.body.rpc_body_u.entries.full = full;
  update->listed = g_array_new (FALSE, FALSE, sizeof (struct rpc_presence));
  update->gone_names = g_ptr_array_new ();
  update->rooms = g_array_new (FALSE, FALSE, sizeof (struct rpc_region_room));
}

static void
update_add (struct update *update, const struct entry_view *view)
{
  struct rpc_presence row = view->report;

  row.rooms.rooms_len = 0;
  if (update->listed->len < UPDATE_ENTRIES_MAX)
    g_array_append_val (update->listed, row);
}

static void
update_send (struct update *update, const GPtrArray *conns)
{
  struct rpc_entries *entries = &update->packet.body.rpc_body_u.entries;

  entries->list.list_val = (struct rpc_presence *)update->listed->data;
  entries->list.list_len = update->listed->len;
  entries->gone.gone_val = (rpc_name *)update->gone_names->pdata;
  entries->gone.gone_len = update->gone_names->len;
  entries->rooms.rooms_val = (struct rpc_region_room *)update->rooms->data;
  entries->rooms.rooms_len = update->rooms->len;
  jc_rpc_send_to_all (conns, &update->packet);
}

static void
update_clear (struct update *update)
{
  g_array_free (update->listed, TRUE);
  g_ptr_array_free (update->gone_names, TRUE);
  g_array_free (update->rooms, TRUE);
}

/* Add to UPDATE the entry instances that changed or became silent since the
   last update.  */
static void
collect_changes (struct state *state, struct update *update)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry_view *view = value;

      if (is_silent (view))
        {
          if (view->announced && update->gone_names->len < UPDATE_ENTRIES_MAX)
            g_ptr_array_add (update->gone_names, view->report.name);
          view->announced = false;
          continue;
        }
      if (!view->announced || view->changed)
        update_add (update, view);
      view->announced = true;
      view->changed = false;
    }
}

/* Send the changes and the room of each region to the entry instances that get
   updates from here.  */
static void
on_update_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GPtrArray *conns = g_ptr_array_new ();
  GPtrArray *followers = g_ptr_array_new ();
  struct update update;

  (void)loop;
  (void)events;
  update_init (&update, false);
  collect_changes (state, &update);
  collect_rooms (state, update.rooms);
  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (gets_updates (state, g_ptr_array_index (conns, i)))
      g_ptr_array_add (followers, g_ptr_array_index (conns, i));
  update_send (&update, followers);
  g_ptr_array_free (followers, TRUE);
  update_clear (&update);
  g_ptr_array_free (conns, TRUE);
  remove_lost (state);
}

/* Send the entry instance CONN, if it gets updates from here, all entry
   instances that were announced to the others.  Called when it connects, asks
   for them or subscribes to the orders.  */
void
presence_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  struct update update;
  GPtrArray *conns;
  GHashTableIter iter;
  gpointer value;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0
      || !gets_updates (state, conn))
    return;
  update_init (&update, true);
  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct entry_view *)value)->announced)
      update_add (&update, value);
  collect_rooms (state, update.rooms);
  conns = g_ptr_array_new ();
  g_ptr_array_add (conns, conn);
  update_send (&update, conns);
  g_ptr_array_free (conns, TRUE);
  update_clear (&update);
}

/* Start the module, without any entry instances.  */
void
presence_start (struct state *state)
{
  double interval_s = (double)UPDATE_MS / MS_PER_S;

  state->presence = g_new0 (struct presence, 1);
  state->presence->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, view_free);
  ev_timer_init (&state->presence->update_timer, on_update_timer, interval_s,
                 interval_s);
  state->presence->update_timer.data = state;
  ev_timer_start (state->loop, &state->presence->update_timer);
}

/* Stop updates and free the table of entry instances.  */
void
presence_stop (struct state *state)
{
  if (state->presence == NULL)
    return;
  ev_timer_stop (state->loop, &state->presence->update_timer);
  g_hash_table_destroy (state->presence->entries);
  g_free (state->presence);
  state->presence = NULL;
}

/* Distance of an entry instance from a caller, in ascending order: same zone,
   same region, another region.  */
enum caller_distance
{
  SAME_ZONE,
  SAME_REGION,
  OTHER_REGION,
  DISTANCE_COUNT
};

static enum caller_distance
distance_of (const struct rpc_presence *reported,
             const struct jc_caller_location *location)
{
  if (location->zone != NULL && strcmp (reported->zone, location->zone) == 0)
    return SAME_ZONE;
  if (location->region != NULL
      && strcmp (reported->region, location->region) == 0)
    return SAME_REGION;
  return OTHER_REGION;
}

/* Return whether a caller at LOCATION may be sent to REGION: to its own region,
   or to one that may serve every route of the host that it asks for.  */
static bool
may_direct_to (const struct state *state,
               const struct jc_caller_location *location, const char *region)
{
  if (location->region != NULL && strcmp (location->region, region) == 0)
    return true;
  return state->route_table == NULL || location->host == NULL
         || jc_routetable_host_allows (state->route_table, location->host,
                                       region);
}

/* Which entry instances the directory names first.  */
enum caller_preference
{
  REACHES_ENDPOINTS,
  TAKES_CALLERS,
  DRAINING
};

static enum caller_preference
preference_of (const struct rpc_presence *reported)
{
  if (reported->draining)
    return DRAINING;
  return reported->unreached.unreached_len == 0 ? REACHES_ENDPOINTS
                                                : TAKES_CALLERS;
}

static void
list_at_distance (const struct state *state,
                  const struct jc_caller_location *location,
                  enum caller_distance distance,
                  enum caller_preference preference, GPtrArray *addresses)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && addresses->len < DIRECTORY_MAX)
    {
      const struct entry_view *view = value;

      if (preference_of (&view->report) == preference && view->report.ready
          && is_in_contact (state, view)
          && distance_of (&view->report, location) == distance
          && may_direct_to (state, location, view->report.region))
        g_ptr_array_add (addresses, view->report.callers_address);
    }
}

/* Add to ADDRESSES the addresses of the entry instances that a caller at
   LOCATION may use.  The nearest ones go first, but in its own region those
   that reach their endpoints go before others.  If all of the region are
   draining, they are still listed, because they answer until they stop.  The
   strings belong to this module.  */
void
presence_list_addresses (struct state *state,
                         const struct jc_caller_location *location,
                         GPtrArray *addresses)
{
  for (int preference = 0; preference < DRAINING; preference++)
    for (int distance = 0; distance < OTHER_REGION && addresses->len == 0;
         distance++)
      list_at_distance (state, location, (enum caller_distance)distance,
                        (enum caller_preference)preference, addresses);
  for (int preference = 0; preference < DRAINING && addresses->len == 0;
       preference++)
    list_at_distance (state, location, OTHER_REGION,
                      (enum caller_preference)preference, addresses);
  for (int distance = 0; distance < OTHER_REGION && addresses->len == 0;
       distance++)
    list_at_distance (state, location, (enum caller_distance)distance, DRAINING,
                      addresses);
}

static const char *
region_of_zone (const struct state *state, const char *zone)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_presence *reported
          = &((struct entry_view *)value)->report;

      if (strcmp (reported->zone, zone) == 0)
        return reported->region;
    }
  return NULL;
}

/* Pick the entry instance that is to send to ENDPOINT while it is cold.
   Rendezvous hashing among the instances of its region, without those that have
   lost their links to the service unless all have, spreads such endpoints over
   them.  Set the instance in GRANT, whose name belongs to this module, and
   return whether there is one.  */
bool
presence_pick_instance (const struct state *state,
                        const struct rpc_endpoint *endpoint,
                        struct rpc_grant *grant)
{
  const char *region = region_of_zone (state, endpoint->zone);
  uint64_t best = 0;
  bool best_reaches = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;
      uint64_t weight = jc_name_pair_hash (endpoint->name, view->report.name);
      bool reaches = jc_presence_reaches (&view->report, endpoint->service);

      if (region == NULL || strcmp (view->report.region, region) != 0
          || view->report.draining || !view->report.ready
          || reaches < best_reaches
          || (reaches == best_reaches && weight <= best)
          || jc_now_ms () - view->last_report_ms > SILENT_MS)
        continue;
      best = weight;
      best_reaches = reaches;
      grant->instance = view->report.name;
      grant->instance_incarnation = view->incarnation;
    }
  return best > 0;
}

/* Return the number of entry instances that report here.  */
unsigned int
presence_count (const struct state *state)
{
  return g_hash_table_size (state->presence->entries);
}

/* Return the number of connected entry instances of REGION, or of all regions
   if it is NULL.  */
unsigned int
presence_count_connected (const struct state *state, const char *region)
{
  GPtrArray *conns = g_ptr_array_new ();
  unsigned int count = 0;

  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (region == NULL
        || strcmp (jc_rpc_conn_region (g_ptr_array_index (conns, i)), region)
               == 0)
      count++;
  g_ptr_array_free (conns, TRUE);
  return count;
}
