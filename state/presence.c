/* Entry instances as they report themselves, and the directory of them for
   callers.  */

#include <string.h>

#include "base/event.h"
#include "member/presence.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Interval at which entry instances are told of each other.  */
  TELL_MS = 500,
  LIST_MAX = 64,
  ENTRIES_MAX = 1024,
  /* An entry instance reports itself each 0.5 s; one that missed two is not
     given new work.  */
  PICK_FRESH_MS = 1500,
  ROOMS_MAX = 4096,
  MS_PER_S = 1000
};

/* An entry instance, its process and when it was heard last.  ANNOUNCED tells
   that the entry instances that are told here know of it, CHANGED that they
   know it otherwise.  */
struct entry_view
{
  struct rpc_presence said;
  uint64_t incarnation;
  int64_t heard_ms;
  bool announced;
  bool changed;
};

struct presence
{
  GHashTable *by_name;
  ev_timer tell;
};

static void
view_free (gpointer data)
{
  struct entry_view *view = data;

  jc_presence_clear (&view->said);
  g_free (view);
}

/* Tell whether SAID is the same as what VIEW has of an entry instance, but for
   its rooms.  */
static bool
is_same (const struct entry_view *view, const struct rpc_presence *said)
{
  return view->said.draining == said->draining
         && view->said.ready == said->ready
         && strcmp (view->said.callers_address, said->callers_address) == 0
         && strcmp (view->said.handover_address, said->handover_address) == 0;
}

/* An entry instance reported itself over CONN.  */
void
presence_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                        const struct rpc_packet *packet)
{
  const struct rpc_presence *said = &packet->body.rpc_body_u.presence;
  const struct entry_view *known;
  struct entry_view *view;

  if (packet->body.type != RPC_PRESENCE
      || strcmp (said->name, jc_rpc_conn_name (conn)) != 0)
    return;
  known = g_hash_table_lookup (state->presence->by_name, said->name);
  view = g_new0 (struct entry_view, 1);
  view->announced = known != NULL && known->announced;
  view->changed = known == NULL || known->changed || !is_same (known, said);
  if (known == NULL || !is_same (known, said))
    jc_event (JC_EVENT_ENTRY, "entry=%s address=%s ready=%d draining=%d",
              said->name, said->callers_address, said->ready, said->draining);
  jc_presence_copy (&view->said, said);
  view->incarnation = jc_rpc_conn_incarnation (conn);
  view->heard_ms = jc_now_ms ();
  g_hash_table_replace (state->presence->by_name, view->said.name, view);
}

/* Tell whether the entry instance CONN is told of the others here: it is of
   this region, or of one without a state instance, so that it follows this one.
 */
static bool
is_notified (const struct state *state, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_region (conn), state->settings->region) == 0
         || orders_is_subscribed (state, conn);
}

static bool
view_is_fresh (const struct state *state, const struct entry_view *view)
{
  return jc_now_ms () - view->heard_ms < state->settings->contact_ms;
}

static void
expire (struct state *state)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;

      if (view_is_fresh (state, view))
        continue;
      jc_event (JC_EVENT_ENTRY, "entry=%s silent_ms=%" G_GINT64_FORMAT,
                view->said.name, jc_now_ms () - view->heard_ms);
      g_hash_table_iter_remove (&iter);
    }
}

static bool
is_silent (const struct entry_view *view)
{
  return jc_now_ms () - view->heard_ms >= PICK_FRESH_MS;
}

/* Merge the room that one more instance of its region tells into OUT: all of
   them have the same endpoints, so their means and the greatest capacity
   count, but each has callers of its own.  */
static void
merge_room (struct rpc_service_room *out, const struct rpc_service_room *said)
{
  u_int offered = out->offered_milli + said->offered_milli;

  if (said->endpoints > out->endpoints
      || (said->endpoints == out->endpoints
          && said->capacity_milli >= out->capacity_milli))
    *out = *said;
  out->offered_milli = offered;
}

static struct rpc_service_room *
room_of (GArray *rooms, const char *region, const char *service)
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

/* Fill ROOMS, of struct rpc_region_room, from what entry instances told.  */
static void
sum_rooms (const struct state *state, GArray *rooms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;
      const struct rpc_presence *said = &view->said;

      for (u_int i = 0; i < said->rooms.rooms_len && !is_silent (view)
                        && rooms->len < ROOMS_MAX;
           i++)
        merge_room (
            room_of (rooms, said->region, said->rooms.rooms_val[i].service),
            &said->rooms.rooms_val[i]);
    }
}

/* What entry instances are told: rows of LIST and GONE borrow.  */
struct update
{
  struct rpc_packet packet;
  GArray *list;
  GPtrArray *gone;
  GArray *rooms;
};

static void
update_init (struct update *update, bool full)
{
  memset (update, 0, sizeof *update);
  update->packet.body.type = RPC_ENTRIES;
  update->packet.body.rpc_body_u.entries.full = full;
  update->list = g_array_new (FALSE, FALSE, sizeof (struct rpc_presence));
  update->gone = g_ptr_array_new ();
  update->rooms = g_array_new (FALSE, FALSE, sizeof (struct rpc_region_room));
}

static void
update_add (struct update *update, const struct entry_view *view)
{
  struct rpc_presence row = view->said;

  row.rooms.rooms_len = 0;
  if (update->list->len < ENTRIES_MAX)
    g_array_append_val (update->list, row);
}

static void
update_send (struct update *update, struct jc_rpc_conn *conn)
{
  struct rpc_entries *entries = &update->packet.body.rpc_body_u.entries;

  entries->list.list_val = (struct rpc_presence *)update->list->data;
  entries->list.list_len = update->list->len;
  entries->gone.gone_val = (rpc_name *)update->gone->pdata;
  entries->gone.gone_len = update->gone->len;
  entries->rooms.rooms_val = (struct rpc_region_room *)update->rooms->data;
  entries->rooms.rooms_len = update->rooms->len;
  jc_rpc_send (conn, &update->packet);
}

static void
update_clear (struct update *update)
{
  g_array_free (update->list, TRUE);
  g_ptr_array_free (update->gone, TRUE);
  g_array_free (update->rooms, TRUE);
}

/* Collect in UPDATE what changed since the last time.  */
static void
collect_changes (struct state *state, struct update *update)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry_view *view = value;

      if (is_silent (view))
        {
          if (view->announced && update->gone->len < ENTRIES_MAX)
            g_ptr_array_add (update->gone, view->said.name);
          view->announced = false;
          continue;
        }
      if (!view->announced || view->changed)
        update_add (update, view);
      view->announced = true;
      view->changed = false;
    }
}

/* Tell the entry instances that are told here what changed, and what each
   region can do.  */
static void
on_tell (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GPtrArray *conns = g_ptr_array_new ();
  struct update update;

  (void)loop;
  (void)events;
  update_init (&update, false);
  collect_changes (state, &update);
  sum_rooms (state, update.rooms);
  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (is_notified (state, g_ptr_array_index (conns, i)))
      update_send (&update, g_ptr_array_index (conns, i));
  update_clear (&update);
  g_ptr_array_free (conns, TRUE);
  expire (state);
}

/* Tell the entry instance CONN, which came up, asks or begins to follow, of all
   others that those told here know.  */
void
presence_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  struct update update;
  GHashTableIter iter;
  gpointer value;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0
      || !is_notified (state, conn))
    return;
  update_init (&update, true);
  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct entry_view *)value)->announced)
      update_add (&update, value);
  sum_rooms (state, update.rooms);
  update_send (&update, conn);
  update_clear (&update);
}

/* Begin without entry instances.  */
void
presence_start (struct state *state)
{
  double every_s = (double)TELL_MS / MS_PER_S;

  state->presence = g_new0 (struct presence, 1);
  state->presence->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, view_free);
  ev_timer_init (&state->presence->tell, on_tell, every_s, every_s);
  state->presence->tell.data = state;
  ev_timer_start (state->loop, &state->presence->tell);
}

/* Forget all entry instances.  */
void
presence_stop (struct state *state)
{
  if (state->presence == NULL)
    return;
  ev_timer_stop (state->loop, &state->presence->tell);
  g_hash_table_destroy (state->presence->by_name);
  g_free (state->presence);
  state->presence = NULL;
}

/* How near an entry instance is to a caller: in its zone, in its region,
   elsewhere.  */
enum nearness
{
  NEAR_ZONE,
  NEAR_REGION,
  NEAR_NOWHERE,
  NEARNESS_COUNT
};

static enum nearness
nearness_of (const struct rpc_presence *said,
             const struct jc_caller_location *where)
{
  if (where->zone != NULL && strcmp (said->zone, where->zone) == 0)
    return NEAR_ZONE;
  if (where->region != NULL && strcmp (said->region, where->region) == 0)
    return NEAR_REGION;
  return NEAR_NOWHERE;
}

/* Tell whether callers WHERE they stand may be sent to REGION: to their own,
   and to those that may serve every route of their host.  */
static bool
may_send_to (const struct state *state, const struct jc_caller_location *where,
             const char *region)
{
  if (where->region != NULL && strcmp (where->region, region) == 0)
    return true;
  return state->route_table == NULL || where->host == NULL
         || jc_routetable_host_allows (state->route_table, where->host, region);
}

static void
list_near (const struct state *state, const struct jc_caller_location *where,
           enum nearness near, bool draining, GPtrArray *addresses)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && addresses->len < LIST_MAX)
    {
      const struct entry_view *view = value;

      if (view->said.draining == draining && view->said.ready
          && view_is_fresh (state, view)
          && nearness_of (&view->said, where) == near
          && may_send_to (state, where, view->said.region))
        g_ptr_array_add (addresses, view->said.callers_address);
    }
}

/* Add to ADDRESSES, which borrows them, the entry instances that a caller
   WHERE it stands should use: the nearest that there are.  Where all are
   about to stop, those of its region still answer.  */
void
presence_list_addresses (struct state *state,
                         const struct jc_caller_location *where,
                         GPtrArray *addresses)
{
  for (int near = 0; near < NEARNESS_COUNT && addresses->len == 0; near++)
    list_near (state, where, (enum nearness)near, false, addresses);
  for (int near = 0; near < NEAR_NOWHERE && addresses->len == 0; near++)
    list_near (state, where, (enum nearness)near, true, addresses);
}

static const char *
region_of_zone (const struct state *state, const char *zone)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_presence *said = &((struct entry_view *)value)->said;

      if (strcmp (said->zone, zone) == 0)
        return said->region;
    }
  return NULL;
}

/* Pick the entry instance that is to send to ENDPOINT while it is cold, by
   rendezvous among those of its region, so that they share such endpoints.
   Name it in GRANT, which borrows, and return whether there is one.  */
bool
presence_pick_instance (const struct state *state,
                        const struct rpc_endpoint *endpoint,
                        struct rpc_grant *grant)
{
  const char *region = region_of_zone (state, endpoint->zone);
  uint64_t best = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_view *view = value;
      uint64_t weight = jc_name_pair_hash (endpoint->name, view->said.name);

      if (region == NULL || strcmp (view->said.region, region) != 0
          || view->said.draining || !view->said.ready || weight <= best
          || jc_now_ms () - view->heard_ms > PICK_FRESH_MS)
        continue;
      best = weight;
      grant->instance = view->said.name;
      grant->instance_incarnation = view->incarnation;
    }
  return best > 0;
}

/* Return how many entry instances report here.  */
unsigned int
presence_count (const struct state *state)
{
  return g_hash_table_size (state->presence->by_name);
}

/* Return how many entry instances of REGION are connected.  */
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
