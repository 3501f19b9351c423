/* The group of state instances.  An instance is named by its IP address.  It
   finds others through the seeds in its settings and through the lists of names
   that peers send.  The leader adds instances that it discovers as replicas of
   the log, and removes replicas, as conf/placement decides.  */

#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "conf/placement.h"
#include "conf/replicas.h"
#include "member/contact.h"
#include "net/address.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  TICK_MS = 250,
  NAMES_MAX = 64,
  /* Each peer sends something every 500 ms.  */
  SILENCE_MS = 600,
  MS_PER_S = 1000
};

/* KNOWN has the names of the instances that this one dials.  SENT_HASH is a sum
   of the hashes of the names that peers were sent last, to detect changes.
   CHANGING is set while a change of the log's replicas is in progress.  STATES
   is when other state instances were heard; REGIONS maps regions to struct
   jc_contact, when any of their entry instances was.  */
struct group
{
  ev_timer tick;
  GHashTable *known;
  uint64_t sent_hash;
  bool changing;
  struct jc_contact states;
  GHashTable *regions;
};

static char *
address_host (const char *address)
{
  return g_strndup (address, strcspn (address, ":"));
}

static void
dial_instance (struct state *state, const char *name)
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

/* Return whether this instance creates the log.  Only the instance that the
   first seed names does, when the settings mark the group's first start.  */
bool
group_is_founder (const struct state *state)
{
  const GPtrArray *seeds = state->settings->state_seeds;
  char *first;
  bool is_own;

  if (!state->settings->first_start || seeds->len == 0)
    return false;
  first = address_host (g_ptr_array_index (seeds, 0));
  is_own = strcmp (first, state->settings->name) == 0;
  g_free (first);
  return is_own;
}

static void
on_replicas_changed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;

  state->group->changing = false;
  if (status != JC_OK)
    jc_event (JC_EVENT_REPLICAS, "outcome=%s", jc_status_name (status));
}

/* Fill PEERS, which has room for 2 * NAMES_MAX, with the log's replicas and the
   connected instances that are not replicas.  Return how many there are.  */
static guint
fill_placement_peers (const struct state *state,
                      struct jc_placement_peer *peers)
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
        .votes = replica->voter,
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

/* Start CHANGE of the log's replicas.  */
static void
start_change (struct state *state, const struct jc_placement_change *change)
{
  char *name = g_strdup (change->name);

  state->group->changing = true;
  if (change->kind == JC_PLACEMENT_PUT)
    {
      jc_event (JC_EVENT_REPLICAS, "put=%s standing=%d why=%s", name,
                change->designated_voter, change->reason);
      log_put_replica (state, name, change->designated_voter,
                       on_replicas_changed, state);
    }
  else
    {
      jc_event (JC_EVENT_REPLICAS, "drop=%s why=%s silent_ms=%" G_GINT64_FORMAT,
                name, change->reason, change->silent_ms);
      log_remove_replica (state, name, on_replicas_changed, state);
    }
  g_free (name);
}

/* Fill NAMES, which has room for NAMES_MAX, with the names of this instance, of
   the log's replicas and of the connected instances that are not replicas.
   Return how many there are.  */
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

/* Send CONN the names of the state instances known here.  */
static void
send_names (struct state *state, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_GROUP };
  struct rpc_group *group = &packet.body.rpc_body_u.group;
  rpc_name names[NAMES_MAX];

  group->names.names_val = names;
  group->names.names_len = list_names (state, names);
  jc_rpc_send (conn, &packet);
}

static void
send_names_to_role (struct state *state, const char *role)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list_conns (state->rpc, role, conns);
  for (guint i = 0; i < conns->len; i++)
    send_names (state, g_ptr_array_index (conns, i));
  g_ptr_array_free (conns, TRUE);
}

/* Send the names to all peers if they have changed since they were last
   sent.  */
static void
send_changed_names (struct state *state)
{
  rpc_name names[NAMES_MAX];
  u_int count = list_names (state, names);
  uint64_t sum = 0;

  for (u_int i = 0; i < count; i++)
    sum += jc_name_pair_hash (names[i], "");
  if (sum == state->group->sent_hash)
    return;
  state->group->sent_hash = sum;
  send_names_to_role (state, "state");
  send_names_to_role (state, "entry");
}

/* Note that this instance runs.  */
static void
tick_contacts (struct state *state)
{
  int64_t now = jc_boot_ms ();
  GHashTableIter iter;
  gpointer contact;

  jc_contact_tick (&state->group->states, now);
  g_hash_table_iter_init (&iter, state->group->regions);
  while (g_hash_table_iter_next (&iter, NULL, &contact))
    jc_contact_tick (contact, now);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct jc_placement_peer peers[2 * NAMES_MAX];
  struct jc_placement_change change;

  (void)loop;
  (void)events;
  tick_contacts (state);
  send_changed_names (state);
  if (state->group->changing || !log_is_leader (state))
    return;
  change = jc_placement_next_change (peers, fill_placement_peers (state, peers),
                                     (unsigned int)state->settings->losses);
  if (change.kind != JC_PLACEMENT_NO_CHANGE)
    start_change (state, &change);
}

/* Handle the new connection CONN.  A state instance that connected is dialed
   too, and the peer is sent the names known here.  */
void
group_conn_up (struct state *state, struct jc_rpc_conn *conn)
{
  if (strcmp (jc_rpc_conn_role (conn), "state") == 0)
    dial_instance (state, jc_rpc_conn_name (conn));
  send_names (state, conn);
}

/* Return when entry instances of REGION were heard; it is created on first
   use.  */
static struct jc_contact *
region_contact (struct group *group, const char *region)
{
  struct jc_contact *contact = g_hash_table_lookup (group->regions, region);

  if (contact != NULL)
    return contact;
  contact = g_new0 (struct jc_contact, 1);
  contact->ran_ms = jc_boot_ms ();
  g_hash_table_insert (group->regions, g_strdup (region), contact);
  return contact;
}

/* Note that CONN was heard.  */
static void
note_heard (struct group *group, const struct jc_rpc_conn *conn)
{
  bool is_entry = strcmp (jc_rpc_conn_role (conn), "entry") == 0;

  jc_contact_note_state (is_entry
                             ? region_contact (group, jc_rpc_conn_region (conn))
                             : &group->states,
                         jc_rpc_conn_silent_ms (conn), jc_boot_ms ());
}

/* Note that CONN was heard, and dial the instances named in a message of
   another state instance.  */
void
group_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  const struct rpc_group *group = &packet->body.rpc_body_u.group;

  note_heard (state->group, conn);
  if (packet->body.type != RPC_GROUP
      || strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  for (u_int i = 0; i < group->names.names_len; i++)
    dial_instance (state, group->names.names_val[i]);
}

/* Return whether this instance is cut off from REGION: it heard entry instances
   there and other state instances, and hears none of either any longer.  */
bool
group_is_cut_off (const struct state *state, const char *region)
{
  const struct jc_contact *contact
      = g_hash_table_lookup (state->group->regions, region);
  int64_t now = jc_boot_ms ();

  return contact != NULL && jc_contact_silent_ms (contact, now) > SILENCE_MS
         && jc_contact_silent_ms (&state->group->states, now) > SILENCE_MS;
}

/* Return the address, to be freed by the caller, of a state instance in REGION
   to which endpoints there should report, since what they report takes longer
   by way of another region.  Return NULL if REGION is that of this instance, or
   NULL, or if no state instance there is heard.  All instances have the same
   ports.  */
char *
group_find_reporter (const struct state *state, const char *region)
{
  const char *port = strrchr (state->settings->operators, ':');
  GPtrArray *conns;
  char *address = NULL;

  if (region == NULL || port == NULL
      || strcmp (region, state->settings->region) == 0)
    return NULL;
  conns = g_ptr_array_new ();
  jc_rpc_list_conns (state->rpc, "state", conns);
  for (guint i = 0; i < conns->len && address == NULL; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (strcmp (jc_rpc_conn_region (conn), region) == 0
          && jc_rpc_conn_silent_ms (conn) <= SILENCE_MS)
        address = g_strconcat (jc_rpc_conn_name (conn), port, NULL);
    }
  g_ptr_array_free (conns, TRUE);
  return address;
}

/* Dial the instances at SEEDS, strings "ADDRESS:PORT", in addition to those
   that are known.  */
void
group_add_seeds (struct state *state, const GPtrArray *seeds)
{
  for (guint i = 0; i < seeds->len; i++)
    {
      char *name = address_host (g_ptr_array_index (seeds, i));

      dial_instance (state, name);
      g_free (name);
    }
}

/* Start to look for the other state instances.  */
void
group_start (struct state *state)
{
  double interval_s = (double)TICK_MS / MS_PER_S;

  state->group = g_new0 (struct group, 1);
  state->group->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->group->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  group_add_seeds (state, state->settings->state_seeds);
  ev_timer_init (&state->group->tick, on_tick, interval_s, interval_s);
  state->group->tick.data = state;
  ev_timer_start (state->loop, &state->group->tick);
}

/* Stop looking for other state instances and free the list of them.  */
void
group_stop (struct state *state)
{
  if (state->group == NULL)
    return;
  ev_timer_stop (state->loop, &state->group->tick);
  g_hash_table_destroy (state->group->known);
  g_hash_table_destroy (state->group->regions);
  g_free (state->group);
  state->group = NULL;
}
