/* Group of state instances.  Each is named by its IP number and finds others
   by the seeds of its settings and by what those tell.  The leader makes
   replicas of those that turn up, as conf/placement decides.  */

#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "conf/placement.h"
#include "conf/replicas.h"
#include "net/address.h"
#include "net/program.h"
#include "state/state.h"

#define PART "group"

enum
{
  TICK_MS = 250,
  NAMES_MAX = 64,
  MS_PER_S = 1000
};

/* KNOWN has the names of the instances that this one dials; TOLD is a sum over
   the names that peers were told last.  */
struct group
{
  ev_timer tick;
  GHashTable *known;
  uint64_t told;
  bool changing;
};

static char *
host_of (const char *address)
{
  return g_strndup (address, strcspn (address, ":"));
}

static void
meet (struct state *state, const char *name)
{
  char *address;

  if (strcmp (name, state->settings->name) == 0 || name[0] == '\0'
      || g_hash_table_contains (state->group->known, name)
      || g_hash_table_size (state->group->known) >= NAMES_MAX)
    return;
  g_hash_table_add (state->group->known, g_strdup (name));
  address = g_strdup_printf ("%s:%d", name, jc_rpc_port (state->rpc));
  jc_rpc_dial (state->rpc, name, address);
  g_free (address);
}

/* Tell whether this instance founds the log: the first seed does, at the
   group's first start.  */
bool
group_is_founder (const struct state *state)
{
  const GPtrArray *seeds = state->settings->state_seeds;
  char *first;
  bool own;

  if (!state->settings->first_start || seeds->len == 0)
    return false;
  first = host_of (g_ptr_array_index (seeds, 0));
  own = strcmp (first, state->settings->name) == 0;
  g_free (first);
  return own;
}

static void
on_changed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;

  state->group->changing = false;
  if (status != JC_OK)
    jc_event (JC_EVENT_REPLICAS, "outcome=%s", jc_status_name (status));
}

/* Fill PEERS, which has place for twice NAMES_MAX, with the log's replicas and
   the instances that are connected and are none.  Return how many.  */
static guint
list_peers (const struct state *state, struct jc_placement_peer *peers)
{
  const struct rpc_replicas *replicas = log_replicas (state);
  GHashTableIter iter;
  gpointer name;
  guint count = 0;

  for (u_int i = 0; i < replicas->list.list_len && count < NAMES_MAX; i++)
    {
      const struct rpc_replica *replica = &replicas->list.list_val[i];

      peers[count++] = (struct jc_placement_peer){
        .name = replica->name,
        .is_replica = true,
        .designated_voter = replica->standing,
        .caught_up = log_replica_caught_up (state, replica->name),
        .silent_ms = log_replica_silent_ms (state, replica->name)
      };
    }
  g_hash_table_iter_init (&iter, state->group->known);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (jc_replicas_find (replicas, name) == NULL
        && jc_rpc_find_conn (state->rpc, name) != NULL)
      peers[count++] = (struct jc_placement_peer){ .name = name };
  return count;
}

/* Make the change STEP of the log's replicas.  */
static void
take_step (struct state *state, const struct jc_placement_change *step)
{
  char *name = g_strdup (step->name);

  state->group->changing = true;
  if (step->kind == JC_PLACEMENT_PUT)
    {
      jc_event (JC_EVENT_REPLICAS, "put=%s standing=%d why=%s", name,
                step->designated_voter, step->reason);
      log_put_replica (state, name, step->designated_voter, on_changed, state);
    }
  else
    {
      jc_event (JC_EVENT_REPLICAS, "drop=%s why=%s silent_ms=%" G_GINT64_FORMAT,
                name, step->reason, step->silent_ms);
      log_remove_replica (state, name, on_changed, state);
    }
  g_free (name);
}

/* Fill NAMES with those of the state instances known here, this one first.
   Return how many.  */
static u_int
list_names (const struct state *state, rpc_name *names)
{
  const struct rpc_replicas *replicas = log_replicas (state);
  u_int count = 0;
  GHashTableIter iter;
  gpointer name;

  names[count++] = state->settings->name;
  for (u_int i = 0; i < replicas->list.list_len && count < NAMES_MAX; i++)
    if (strcmp (replicas->list.list_val[i].name, state->settings->name) != 0)
      names[count++] = replicas->list.list_val[i].name;
  g_hash_table_iter_init (&iter, state->group->known);
  while (g_hash_table_iter_next (&iter, &name, NULL) && count < NAMES_MAX)
    if (jc_replicas_find (replicas, name) == NULL
        && jc_rpc_find_conn (state->rpc, name) != NULL)
      names[count++] = name;
  return count;
}

/* Send CONN the names of the state instances that are known here.  */
static void
introduce (struct state *state, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_GROUP };
  struct rpc_group *group = &packet.body.rpc_body_u.group;
  rpc_name names[NAMES_MAX];

  group->names.names_val = names;
  group->names.names_len = list_names (state, names);
  jc_rpc_send (conn, &packet);
}

static void
introduce_to_all (struct state *state, const char *role)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (state->rpc, role, conns);
  for (guint i = 0; i < conns->len; i++)
    introduce (state, g_ptr_array_index (conns, i));
  g_ptr_array_free (conns, TRUE);
}

/* Tell every peer where the names known here changed.  */
static void
tell_changes (struct state *state)
{
  rpc_name names[NAMES_MAX];
  u_int count = list_names (state, names);
  uint64_t sum = 0;

  for (u_int i = 0; i < count; i++)
    sum += jc_name_pair_hash (names[i], "");
  if (sum == state->group->told)
    return;
  state->group->told = sum;
  introduce_to_all (state, "state");
  introduce_to_all (state, "entry");
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct jc_placement_peer peers[2 * NAMES_MAX];
  struct jc_placement_change step;

  (void)loop;
  (void)events;
  tell_changes (state);
  if (state->group->changing || !log_is_leader (state))
    return;
  step = jc_placement_next_change (peers, list_peers (state, peers),
                                   (unsigned int)state->settings->losses);
  if (step.kind != JC_PLACEMENT_NO_CHANGE)
    take_step (state, &step);
}

/* CONN came up.  */
void
group_conn_up (struct state *state, struct jc_rpc_conn *conn)
{
  if (strcmp (jc_rpc_conn_role (conn), "state") == 0)
    meet (state, jc_rpc_conn_name (conn));
  introduce (state, conn);
}

/* Learn names that another state instance knows.  */
void
group_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_group *group = &packet->body.rpc_body_u.group;

  if (packet->body.type != RPC_GROUP
      || strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  for (u_int i = 0; i < group->names.names_len; i++)
    meet (state, group->names.names_val[i]);
}

/* Look for the group at SEEDS as well.  */
void
group_add_seeds (struct state *state, const GPtrArray *seeds)
{
  for (guint i = 0; i < seeds->len; i++)
    {
      char *name = host_of (g_ptr_array_index (seeds, i));

      meet (state, name);
      g_free (name);
    }
}

/* Begin to look for the group.  */
void
group_start (struct state *state)
{
  double every_s = (double)TICK_MS / MS_PER_S;

  state->group = g_new0 (struct group, 1);
  state->group->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  group_add_seeds (state, state->settings->state_seeds);
  ev_timer_init (&state->group->tick, on_tick, every_s, every_s);
  state->group->tick.data = state;
  ev_timer_start (state->loop, &state->group->tick);
}

/* Stop looking.  */
void
group_stop (struct state *state)
{
  if (state->group == NULL)
    return;
  ev_timer_stop (state->loop, &state->group->tick);
  g_hash_table_destroy (state->group->known);
  g_free (state->group);
  state->group = NULL;
}
