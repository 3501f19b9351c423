/* Neighbours: other entry instances, and load and capacity of their regions, as
   the state instances of this region report them.  */

#include <string.h>

#include "entry/router.h"
#include "member/presence.h"
#include "net/program.h"

enum
{
  NEIGHBOUR_EXPIRY_MS = 8000,
  /* An instance that was reported within the last two report intervals still
     accepts callers.  */
  ACCEPTING_FRESH_MS = 1200,
  /* Time until the report of an instance that lost its links to the endpoints
     of a service is known here.  */
  REFUSED_MS = 500
};

static void
free_neighbour (gpointer data)
{
  struct neighbour *neighbour = data;

  jc_presence_clear (&neighbour->presence);
  g_hash_table_destroy (neighbour->refused_at);
  g_free (neighbour);
}

static void
free_room (gpointer data)
{
  struct region_room *room = data;

  g_free (room->region);
  g_free (room->room.service);
  g_free (room);
}

static void
free_names (gpointer data)
{
  g_hash_table_destroy (data);
}

void
neighbours_start (struct router *router)
{
  router->neighbours
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_neighbour);
  router->entries_by_state
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_names);
  router->region_rooms = g_ptr_array_new_with_free_func (free_room);
}

void
neighbours_stop (struct router *router)
{
  g_hash_table_destroy (router->neighbours);
  g_hash_table_destroy (router->entries_by_state);
  g_ptr_array_free (router->region_rooms, TRUE);
}

/* Return the set of entry instances that the state instance SOURCE reports as
   alive; it is created on first use.  */
static GHashTable *
reported_names (struct router *router, const char *source)
{
  GHashTable *names = g_hash_table_lookup (router->entries_by_state, source);

  if (names != NULL)
    return names;
  names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (router->entries_by_state, g_strdup (source), names);
  return names;
}

/* Store PRESENCE, unless it is that of this instance, and add its name to
   NAMES.  */
static void
update_neighbour (struct router *router, GHashTable *names,
                  const struct rpc_presence *presence)
{
  struct neighbour *neighbour;

  if (strcmp (presence->name, router->entry->settings->name) == 0)
    return;
  neighbour = g_new0 (struct neighbour, 1);
  jc_presence_copy (&neighbour->presence, presence);
  neighbour->refused_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (router->neighbours, neighbour->presence.name,
                        neighbour);
  g_hash_table_add (names, g_strdup (presence->name));
  loads_connect (router, presence);
}

/* Set the time when each of NAMES was last seen to NOW_MS.  Return false if one
   of them is not known here: it may have expired while this process was
   suspended.  */
static bool
refresh_neighbours (struct router *router, GHashTable *names, int64_t now_ms)
{
  bool known = true;
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct neighbour *neighbour
          = g_hash_table_lookup (router->neighbours, name);

      if (neighbour != NULL)
        neighbour->last_seen_ms = now_ms;
      else
        known = false;
    }
  return known;
}

/* Store REPORTED, load and capacity of a region for one service.  */
static void
update_room (struct router *router, const struct rpc_region_room *reported,
             int64_t now_ms)
{
  struct region_room *known = NULL;
  char *service;

  for (guint i = 0; i < router->region_rooms->len && known == NULL; i++)
    {
      struct region_room *candidate
          = g_ptr_array_index (router->region_rooms, i);

      if (strcmp (candidate->region, reported->region) == 0
          && strcmp (candidate->room.service, reported->room.service) == 0)
        known = candidate;
    }
  if (known == NULL)
    {
      known = g_new0 (struct region_room, 1);
      known->region = g_strdup (reported->region);
      known->room.service = g_strdup (reported->room.service);
      g_ptr_array_add (router->region_rooms, known);
    }
  service = known->room.service;
  known->room = reported->room;
  known->room.service = service;
  known->received_ms = now_ms;
}

/* Apply ENTRIES, the entry instances, and load and capacity of regions, that
   the state instance behind CONN reports.  */
void
neighbours_update (struct router *router, struct jc_rpc_conn *conn,
                   const struct rpc_entries *entries)
{
  GHashTable *names = reported_names (router, jc_rpc_conn_name (conn));
  int64_t now = jc_now_ms ();

  if (entries->full)
    g_hash_table_remove_all (names);
  for (u_int i = 0; i < entries->list.list_len; i++)
    update_neighbour (router, names, &entries->list.list_val[i]);
  for (u_int i = 0; i < entries->gone.gone_len; i++)
    g_hash_table_remove (names, entries->gone.gone_val[i]);
  if (!refresh_neighbours (router, names, now))
    fleetclient_request (router, conn);
  for (u_int i = 0; i < entries->rooms.rooms_len; i++)
    update_room (router, &entries->rooms.rooms_val[i], now);
}

/* Forget what the state instance behind CONN, whose connection is down,
   reported as alive.  */
void
neighbours_state_down (struct router *router, const struct jc_rpc_conn *conn)
{
  g_hash_table_remove (router->entries_by_state, jc_rpc_conn_name (conn));
}

/* Return what is known of REGION's endpoints of SERVICE, or NULL if the last
   report is too old or counts no endpoints.  */
static struct region_room *
find_room (const struct router *router, const char *region, const char *service,
           int64_t now_ms)
{
  for (guint i = 0; i < router->region_rooms->len; i++)
    {
      struct region_room *known = g_ptr_array_index (router->region_rooms, i);

      if (strcmp (known->region, region) == 0
          && strcmp (known->room.service, service) == 0)
        return known->room.endpoints > 0
                       && now_ms - known->received_ms < NEIGHBOUR_FRESH_MS
                   ? known
                   : NULL;
    }
  return NULL;
}

/* Return load and capacity of REGION for SERVICE, or NULL if the last report is
   too old or counts no endpoints.  */
const struct rpc_service_room *
neighbours_room (const struct router *router, const char *region,
                 const char *service, int64_t now_ms)
{
  const struct region_room *known = find_room (router, region, service, now_ms);

  return known != NULL ? &known->room : NULL;
}

/* Note that a request for SERVICE with DEMAND is handed over to REGION.  */
void
neighbours_note_handover (struct router *router, const char *region,
                          const char *service, const struct jc_demand *demand,
                          int64_t now_ms)
{
  struct region_room *known = find_room (router, region, service, now_ms);

  if (known != NULL && demand->prompt_tokens > 0
      && strcmp (region, router->entry->settings->region) != 0)
    jc_remote_reading_add (&known->reading, &known->room, demand,
                           fleetclient_count_entries (router), now_ms);
}

/* Return true if REGION has room for a request for SERVICE with DEMAND beside
   what was handed over to it.  */
bool
neighbours_has_room (const struct router *router, const char *region,
                     const char *service, const struct jc_demand *demand,
                     int64_t now_ms)
{
  const struct region_room *known = find_room (router, region, service, now_ms);

  return known != NULL
         && jc_remote_reading_has_room (&known->reading, &known->room, demand,
                                        now_ms);
}

/* Return the time that REGION's engines of SERVICE need for what was handed
   over to them, ms.  */
int64_t
neighbours_reading_ms (const struct router *router, const char *region,
                       const char *service, int64_t now_ms)
{
  const struct region_room *known = find_room (router, region, service, now_ms);

  return known != NULL
             ? jc_remote_reading_ms (&known->reading, &known->room, now_ms)
             : 0;
}

/* Note that the instance NAME refused a request because it does not reach the
   endpoints of SERVICE.  */
void
neighbours_note_refusal (struct router *router, const char *name,
                         const char *service, int64_t now_ms)
{
  struct neighbour *neighbour = g_hash_table_lookup (router->neighbours, name);

  if (neighbour != NULL)
    g_hash_table_replace (neighbour->refused_at, g_strdup (service),
                          g_memdup2 (&now_ms, sizeof now_ms));
}

/* Return whether NEIGHBOUR has just refused a request for that reason.  */
bool
neighbours_has_refused (const struct neighbour *neighbour, const char *service,
                        int64_t now_ms)
{
  const int64_t *refused_at
      = g_hash_table_lookup (neighbour->refused_at, service);

  return refused_at != NULL && now_ms - *refused_at < REFUSED_MS;
}

/* Return true if another instance of this region accepts callers, so that this
   one may close its listener.  */
bool
neighbours_accept_callers (const struct router *router)
{
  const char *region = router->entry->settings->region;
  int64_t now = jc_now_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (!neighbour->presence.draining && neighbour->presence.ready
          && strcmp (neighbour->presence.region, region) == 0
          && now - neighbour->last_seen_ms < ACCEPTING_FRESH_MS)
        return true;
    }
  return false;
}

/* Forget entry instances, and load and capacity of regions, that no state
   instance has reported for NEIGHBOUR_EXPIRY_MS.  */
void
neighbours_expire (struct router *router, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->neighbours);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct neighbour *neighbour = value;

      if (now_ms - neighbour->last_seen_ms <= NEIGHBOUR_EXPIRY_MS)
        continue;
      loads_disconnect (router, neighbour->presence.name);
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = router->region_rooms->len; i > 0; i--)
    {
      const struct region_room *known
          = g_ptr_array_index (router->region_rooms, i - 1);

      if (now_ms - known->received_ms > NEIGHBOUR_EXPIRY_MS)
        g_ptr_array_remove_index_fast (router->region_rooms, i - 1);
    }
}
