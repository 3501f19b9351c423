/* Neighbours: other entry instances and what their regions can do, as state
   instances of this region tell.  */

#include <string.h>

#include "entry/router.h"
#include "member/presence.h"
#include "net/program.h"

enum
{
  NEIGHBOUR_EXPIRY_MS = 8000,
  /* An instance told of within two reports takes callers still.  */
  ACCEPTING_FRESH_MS = 1200
};

static void
free_neighbour (gpointer data)
{
  struct neighbour *neighbour = data;

  jc_presence_clear (&neighbour->presence);
  g_free (neighbour);
}

static void
free_room (gpointer data)
{
  struct region_room *known = data;

  g_free (known->region);
  g_free (known->room.service);
  g_free (known);
}

static void
free_names (gpointer data)
{
  g_hash_table_destroy (data);
}

/* Begin without neighbours.  */
void
neighbours_start (struct router *router)
{
  router->neighbours
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_neighbour);
  router->entries_by_state
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_names);
  router->region_rooms = g_ptr_array_new_with_free_func (free_room);
}

/* Forget all neighbours.  */
void
neighbours_stop (struct router *router)
{
  g_hash_table_destroy (router->neighbours);
  g_hash_table_destroy (router->entries_by_state);
  g_ptr_array_free (router->region_rooms, TRUE);
}

/* Return the names that the state instance SOURCE says are there.  */
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

static void
update_neighbour (struct router *router, GHashTable *names,
                  const struct rpc_presence *said)
{
  struct neighbour *neighbour;

  if (strcmp (said->name, router->entry->settings->name) == 0)
    return;
  neighbour = g_new0 (struct neighbour, 1);
  jc_presence_copy (&neighbour->presence, said);
  g_hash_table_replace (router->neighbours, neighbour->presence.name,
                        neighbour);
  g_hash_table_add (names, g_strdup (said->name));
  loads_connect (router, said);
}

/* All of NAMES are there at NOW_MS, by the word of a state instance.  Return
   whether all of them are known here: they may have been forgotten while this
   process stood still.  */
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

static void
update_room (struct router *router, const struct rpc_region_room *said,
             int64_t now_ms)
{
  struct region_room *known = NULL;
  char *service;

  for (guint i = 0; i < router->region_rooms->len && known == NULL; i++)
    {
      struct region_room *one = g_ptr_array_index (router->region_rooms, i);

      if (strcmp (one->region, said->region) == 0
          && strcmp (one->room.service, said->room.service) == 0)
        known = one;
    }
  if (known == NULL)
    {
      known = g_new0 (struct region_room, 1);
      known->region = g_strdup (said->region);
      known->room.service = g_strdup (said->room.service);
      g_ptr_array_add (router->region_rooms, known);
    }
  service = known->room.service;
  known->room = said->room;
  known->room.service = service;
  known->received_ms = now_ms;
}

/* CONN, a state instance, told of ENTRIES.  */
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
    stateclient_request_fleet (router, conn);
  for (u_int i = 0; i < entries->rooms.rooms_len; i++)
    update_room (router, &entries->rooms.rooms_val[i], now);
}

/* The connection CONN to a state instance went down.  */
void
neighbours_state_down (struct router *router, const struct jc_rpc_conn *conn)
{
  g_hash_table_remove (router->entries_by_state, jc_rpc_conn_name (conn));
}

/* Return what REGION was last told to be able to do for SERVICE, or NULL where
   that is old or nothing.  */
const struct rpc_service_room *
neighbours_room (const struct router *router, const char *region,
                 const char *service, int64_t now_ms)
{
  for (guint i = 0; i < router->region_rooms->len; i++)
    {
      const struct region_room *one
          = g_ptr_array_index (router->region_rooms, i);

      if (strcmp (one->region, region) == 0
          && strcmp (one->room.service, service) == 0)
        return one->room.endpoints > 0
                       && now_ms - one->received_ms < NEIGHBOUR_FRESH_MS
                   ? &one->room
                   : NULL;
    }
  return NULL;
}

/* Tell whether another instance of this region takes callers.  */
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

/* Forget entry instances and rooms that no state instance tells of any
   longer.  */
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
      const struct region_room *one
          = g_ptr_array_index (router->region_rooms, i - 1);

      if (now_ms - one->received_ms > NEIGHBOUR_EXPIRY_MS)
        g_ptr_array_remove_index_fast (router->region_rooms, i - 1);
    }
}
