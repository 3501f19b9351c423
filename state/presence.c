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
  MS_PER_S = 1000
};

/* An entry instance, its process and when it was heard last.  */
struct entry_view
{
  struct rpc_presence said;
  uint64_t incarnation;
  int64_t heard_ms;
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

/* An entry instance reported itself over CONN.  */
void
presence_packet (struct state *state, struct jc_rpc_conn *conn,
                 const struct rpc_packet *packet)
{
  const struct rpc_presence *said = &packet->body.rpc_body_u.presence;
  struct entry_view *view;

  if (packet->body.type != RPC_PRESENCE
      || strcmp (said->name, jc_rpc_conn_name (conn)) != 0)
    return;
  view = g_hash_table_lookup (state->presence->by_name, said->name);
  if (view == NULL || view->said.draining != said->draining
      || view->said.ready != said->ready)
    jc_event (JC_EVENT_ENTRY, "entry=%s address=%s ready=%d draining=%d",
              said->name, said->callers_address, said->ready, said->draining);
  view = g_new0 (struct entry_view, 1);
  jc_presence_copy (&view->said, said);
  view->incarnation = jc_rpc_conn_incarnation (conn);
  view->heard_ms = jc_now_ms ();
  g_hash_table_replace (state->presence->by_name, view->said.name, view);
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

/* Tell the entry instances of this region of all others.  */
static void
on_tell (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct rpc_packet packet = { .body.type = RPC_ENTRIES };
  struct rpc_entries *entries = &packet.body.rpc_body_u.entries;
  GPtrArray *conns = g_ptr_array_new ();
  struct rpc_presence *list = g_new0 (struct rpc_presence, ENTRIES_MAX);
  GHashTableIter iter;
  gpointer value;

  (void)loop;
  (void)events;
  expire (state);
  entries->list.list_val = list;
  g_hash_table_iter_init (&iter, state->presence->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && entries->list.list_len < ENTRIES_MAX)
    list[entries->list.list_len++] = ((struct entry_view *)value)->said;
  jc_rpc_list (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (strcmp (jc_rpc_conn_region (conn), state->settings->region) == 0)
        jc_rpc_send (conn, &packet);
    }
  g_ptr_array_free (conns, TRUE);
  g_free (list);
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
             const struct jc_whereabouts *where)
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
may_send_to (const struct state *state, const struct jc_whereabouts *where,
             const char *region)
{
  if (where->region != NULL && strcmp (where->region, region) == 0)
    return true;
  return state->routes == NULL || where->host == NULL
         || jc_routetable_host_allows (state->routes, where->host, region);
}

static void
list_near (const struct state *state, const struct jc_whereabouts *where,
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
presence_list (struct state *state, const struct jc_whereabouts *where,
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
presence_pick (const struct state *state, const struct rpc_endpoint *endpoint,
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
      uint64_t weight = jc_member_hash (endpoint->name, view->said.name);

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
presence_connected (const struct state *state, const char *region)
{
  GPtrArray *conns = g_ptr_array_new ();
  unsigned int count = 0;

  jc_rpc_list (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (region == NULL
        || strcmp (jc_rpc_conn_region (g_ptr_array_index (conns, i)), region)
               == 0)
      count++;
  g_ptr_array_free (conns, TRUE);
  return count;
}
