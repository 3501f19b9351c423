/* Endpoints, state instances and their log, as parts of the simulation of
   software versions.  */

#include <string.h>

#include "tests/versionworld.h"

enum
{
  REFRESH_MS = 250,
  EXPIRE_MS = 500,
  PROPOSE_MS = 300,
  /* Between regions and back.  */
  COMMIT_MS = 160,
  ELECTION_MS = 1500,
  NO_LEADER_PERIOD_MS = 10000
};

/* Loads of endpoints.  */
struct loads
{
  unsigned int count;
  struct rpc_zone_load rows[WORLD_ENDPOINTS];
};

/* Return whether STATE answers messages.  */
bool
states_answers (const struct world *world, unsigned int state)
{
  return world->states[state].up && !world->states[state].cut;
}

/* Return whether the log has a leader.  */
bool
states_has_leader (const struct world *world)
{
  return world->now_ms >= world->leader_from_ms
         && states_answers (world, world->leader)
         && world->now_ms % NO_LEADER_PERIOD_MS
                < NO_LEADER_PERIOD_MS - world->plan->no_leader_ms;
}

static struct world_row *
row_new (struct world *world, const struct rpc_endpoint *report,
         uint64_t software)
{
  struct world_row *row = world_alloc (world, sizeof *row);

  row->report = *report;
  row->software = software;
  return row;
}

/* Send ROW from STATE to the entry instances of its endpoint's region.  */
static void
forward_row (struct world *world, unsigned int state, struct world_row *row)
{
  for (unsigned int e = 0; e < world->plan->entries; e++)
    if (strcmp (row->report.zone, world_region (world->entries[e].region)) == 0)
      world_after (world,
                   world_delay_ms (world->states[state].region,
                                   world->entries[e].region),
                   (struct world_event){ .run = reports_on_row,
                                         .entry = e,
                                         .state = state,
                                         .epoch = world->entries[e].epoch,
                                         .data = row });
}

/* Return VERSIONS as a message, which belongs to WORLD.  */
struct rpc_versions *
states_table (struct world *world, const struct jc_versions *versions)
{
  struct rpc_versions *table = world_alloc (world, sizeof *table);
  u_int bytes;
  void *rows;

  jc_versions_to_message (versions, table);
  bytes = table->list.list_len * (u_int)sizeof *table->list.list_val;
  rows = world_alloc (world, bytes + 1);
  memcpy (rows, table->list.list_val, bytes);
  g_free (table->list.list_val);
  table->list.list_val = rows;
  for (u_int i = 0; i < table->list.list_len; i++)
    table->list.list_val[i].service = (char *)WORLD_SERVICE;
  return table;
}

static void
send_table (struct world *world, unsigned int state, unsigned int entry,
            struct rpc_versions *table)
{
  world_after (world,
               world_delay_ms (world->states[state].region,
                               world->entries[entry].region),
               (struct world_event){ .run = reports_on_versions,
                                     .entry = entry,
                                     .state = state,
                                     .epoch = world->entries[entry].epoch,
                                     .data = table });
}

static void
on_applied (struct world *world, const struct world_event *event)
{
  struct world_state *state = &world->states[event->state];
  struct rpc_service_version added
      = { .service = (char *)WORLD_SERVICE, .software = event->number };
  struct rpc_versions *table;
  GString *data;

  if (!states_answers (world, event->state))
    return;
  data = jc_versions_encode (&added);
  jc_versions_apply (state->versions, event->epoch, jc_str_from_gstring (data));
  g_string_free (data, TRUE);
  table = states_table (world, state->versions);
  for (unsigned int e = 0; e < world->plan->entries; e++)
    send_table (world, event->state, e, table);
}

static void
on_committed (struct world *world, const struct world_event *event)
{
  struct rpc_service_version added
      = { .service = (char *)WORLD_SERVICE, .software = event->number };
  GString *data = jc_versions_encode (&added);

  if (states_has_leader (world)
      && jc_versions_apply (world->log, ++world->position,
                            jc_str_from_gstring (data)))
    for (unsigned int s = 0; s < world->plan->states; s++)
      world_after (world,
                   world_delay_ms (world->states[s].region,
                                   world->states[world->leader].region),
                   (struct world_event){ .run = on_applied,
                                         .state = s,
                                         .epoch = world->position,
                                         .number = event->number });
  g_string_free (data, TRUE);
}

static void
propose (struct world *world, unsigned int state, unsigned int version)
{
  struct world_state *proposer = &world->states[state];
  const struct rpc_service_version added
      = { .service = (char *)WORLD_SERVICE,
          .software = world->software[version] };

  if (!jc_versions_can_add (proposer->versions, &added)
      || !states_has_leader (world)
      || world->now_ms - proposer->proposed_ms[version] < PROPOSE_MS)
    return;
  proposer->proposed_ms[version] = world->now_ms;
  world_after (
      world,
      COMMIT_MS
          + world_delay_ms (proposer->region,
                            world->states[world->leader].region),
      (struct world_event){ .run = on_committed, .number = added.software });
}

static unsigned int
version_of (const struct world *world, uint64_t software)
{
  unsigned int version = 0;

  while (world->software[version] != software)
    version++;
  return version;
}

static void
on_report (struct world *world, const struct world_event *event)
{
  struct world_state *state = &world->states[event->state];
  struct world_row *row = event->data;
  const struct jc_endpoint *known;
  struct rpc_endpoint_version version
      = { .endpoint = row->report.name,
          .endpoint_incarnation = row->report.incarnation,
          .software = row->software };
  bool changed;

  if (!states_answers (world, event->state))
    return;
  known = jc_endpoints_find (state->endpoints, row->report.name);
  changed = known == NULL || known->incarnation != row->report.incarnation;
  if (jc_endpoints_update (state->endpoints, &row->report, world->now_ms)
      != JC_OK)
    return;
  jc_endpoints_set_software (state->endpoints, &version);
  if (changed)
    forward_row (world, event->state, row);
  else
    g_hash_table_add (state->refreshed, row->report.name);
  propose (world, event->state, version_of (world, row->software));
}

/* Return a state instance of REGION that answers, or any one.  */
static unsigned int
pick_home (struct world *world, unsigned int region)
{
  unsigned int state = world_random (world, world->plan->states);

  for (unsigned int i = 0; i < world->plan->states; i++)
    {
      unsigned int s = (state + i) % world->plan->states;

      if (world->states[s].region == region && states_answers (world, s))
        return s;
    }
  return state;
}

static void
send_report (struct world *world, const struct world_event *event)
{
  struct world_endpoint *endpoint = &world->endpoints[event->endpoint];
  struct rpc_endpoint report
      = { .name = endpoint->name,
          .incarnation = endpoint->incarnation,
          .sequence = ++endpoint->sequence,
          .address = endpoint->address,
          .service = (char *)WORLD_SERVICE,
          .zone = (char *)world_region (endpoint->region),
          .role = (char *)"",
          .slots = 64,
          .lease_ms = WORLD_LEASE_MS };

  if (!endpoint->up || endpoint->incarnation != event->epoch)
    return;
  if (!states_answers (world, endpoint->home))
    endpoint->home = pick_home (world, endpoint->region);
  world_after (
      world,
      world_delay_ms (endpoint->region, world->states[endpoint->home].region)
          + world_random (world, (unsigned int)world->plan->delay_ms + 1),
      (struct world_event){
          .run = on_report,
          .state = endpoint->home,
          .data
          = row_new (world, &report, world->software[endpoint->version]) });
  world_after (world, WORLD_REPORT_MS, *event);
}

static void
on_restart (struct world *world, const struct world_event *event)
{
  endpoints_restart (world, event->endpoint);
}

/* Start ENDPOINT under its name and address.  */
void
endpoints_restart (struct world *world, unsigned int endpoint)
{
  struct world_endpoint *started = &world->endpoints[endpoint];

  started->up = true;
  started->incarnation = (uint64_t)world->now_ms + 1;
  started->sequence = 0;
  started->served_ms = world->now_ms;
  started->home = pick_home (world, started->region);
  if (world->now_ms >= VERSIONSIM_CHANGE_MS)
    started->version = world_random (world, world->plan->versions);
  world_after (world, 1,
               (struct world_event){ .run = send_report,
                                     .endpoint = endpoint,
                                     .epoch = started->incarnation });
}

/* End ENDPOINT, which starts again within 2 s.  */
void
endpoints_kill (struct world *world, unsigned int endpoint)
{
  struct world_endpoint *killed = &world->endpoints[endpoint];

  if (!killed->up)
    return;
  killed->up = false;
  for (unsigned int e = 0; e < world->plan->entries; e++)
    world_after (world, 1 + world->plan->silent_ms,
                 (struct world_event){ .run = conns_on_closed,
                                       .entry = e,
                                       .endpoint = endpoint,
                                       .epoch = world->entries[e].epoch,
                                       .number = killed->incarnation });
  world_after (world, 1 + world_random (world, 2000),
               (struct world_event){ .run = on_restart, .endpoint = endpoint });
}

/* Send ENTRY what STATE knows of ENDPOINT, if it is of its region.  */
static void
send_snapshot_row (struct world *world, unsigned int state, unsigned int entry,
                   const struct jc_endpoint *endpoint)
{
  const struct world_entry *to = &world->entries[entry];
  const struct world_endpoint *index = world->endpoints;
  struct world_row *row = world_alloc (world, sizeof *row);

  if (strcmp (endpoint->zone, world_region (to->region)) != 0)
    return;
  while (strcmp (index->name, endpoint->name) != 0)
    index++;
  jc_endpoint_to_rpc (endpoint, world->now_ms, &row->report);
  row->report.name = (char *)index->name;
  row->report.address = (char *)index->address;
  row->report.service = (char *)WORLD_SERVICE;
  row->report.zone = (char *)world_region (to->region);
  row->report.role = (char *)"";
  row->report.models.models_len = 0;
  row->software = endpoint->software;
  world_after (world, world_delay_ms (world->states[state].region, to->region),
               (struct world_event){ .run = reports_on_row,
                                     .entry = entry,
                                     .state = state,
                                     .epoch = to->epoch,
                                     .data = row });
}

/* STATE sends ENTRY, which has just connected, all endpoints and versions.  */
void
states_greet (struct world *world, unsigned int state, unsigned int entry)
{
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list (world->states[state].endpoints, endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    send_snapshot_row (world, state, entry, g_ptr_array_index (endpoints, i));
  send_table (world, state, entry,
              states_table (world, world->states[state].versions));
  g_ptr_array_free (endpoints, TRUE);
}

/* Send the loads of the endpoints of REGION that reported to STATE.  */
static void
send_loads (struct world *world, unsigned int state, unsigned int region)
{
  struct world_state *from = &world->states[state];
  struct loads *loads = world_alloc (world, sizeof *loads);
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, from->refreshed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (from->endpoints, name);

      if (endpoint != NULL
          && strcmp (endpoint->zone, world_region (region)) == 0)
        loads->rows[loads->count++]
            = jc_endpoint_to_rpc_load (endpoint, world->now_ms);
    }
  for (unsigned int e = 0; e < world->plan->entries && loads->count > 0; e++)
    if (world->entries[e].region == region)
      world_after (world, world_delay_ms (from->region, region),
                   (struct world_event){ .run = reports_on_loads,
                                         .entry = e,
                                         .state = state,
                                         .epoch = world->entries[e].epoch,
                                         .number = loads->count,
                                         .data = loads->rows });
}

static void
state_tick (struct world *world, unsigned int state)
{
  struct world_state *ticked = &world->states[state];
  unsigned int count;

  if (!ticked->up)
    return;
  if ((world->now_ms + state) % EXPIRE_MS == 0)
    {
      jc_endpoints_expire (ticked->endpoints, world->now_ms);
      jc_stream_starts_expire (ticked->starts, world->now_ms);
      count = (unsigned int)jc_stream_starts_count (ticked->starts);
      world->result->state_starts_max
          = MAX (world->result->state_starts_max, count);
    }
  if ((world->now_ms + state * 10) % REFRESH_MS != 0 || ticked->cut)
    return;
  if (g_hash_table_size (ticked->refreshed) > 0)
    for (unsigned int region = 0; region < WORLD_REGIONS; region++)
      send_loads (world, state, region);
  g_hash_table_remove_all (ticked->refreshed);
}

/* Let all state instances do what they do from time to time, and elect a leader
   where there is none.  */
void
states_tick (struct world *world)
{
  for (unsigned int s = 0; s < world->plan->states; s++)
    state_tick (world, s);
  if (states_answers (world, world->leader))
    return;
  for (unsigned int s = world->plan->states; s > 0; s--)
    if (states_answers (world, s - 1))
      world->leader = s - 1;
  world->leader_from_ms = world->now_ms + ELECTION_MS;
}

static void
copy_log (const struct world *world, struct jc_versions *versions)
{
  json_t *snapshot = json_object ();

  jc_versions_snapshot (world->log, snapshot);
  jc_versions_restore (versions, snapshot);
  json_decref (snapshot);
}

/* Start STATE, which knows nothing but the log, or let one that was cut off
   catch up with it.  */
void
states_restart (struct world *world, unsigned int state)
{
  struct world_state *started = &world->states[state];

  started->cut = false;
  if (!started->up)
    {
      started->up = true;
      started->epoch++;
      started->endpoints = jc_endpoints_new ();
      started->starts = jc_stream_starts_new (WORLD_STATE_STARTS_MAX);
      started->versions = jc_versions_new ();
      started->refreshed = g_hash_table_new (g_str_hash, g_str_equal);
    }
  copy_log (world, started->versions);
}

/* End STATE.  */
void
states_kill (struct world *world, unsigned int state)
{
  struct world_state *killed = &world->states[state];

  if (!killed->up)
    return;
  killed->up = false;
  jc_endpoints_free (killed->endpoints);
  jc_stream_starts_free (killed->starts);
  jc_versions_free (killed->versions);
  g_hash_table_destroy (killed->refreshed);
}

/* Start all state instances and endpoints.  */
void
states_start (struct world *world)
{
  world->log = jc_versions_new ();
  for (unsigned int s = 0; s < world->plan->states; s++)
    {
      g_snprintf (world->states[s].name, WORLD_NAME_BYTES, "state-%u", s + 1);
      world->states[s].region = s % WORLD_REGIONS;
      states_restart (world, s);
      for (unsigned int v = 0; v < WORLD_VERSIONS_MAX; v++)
        world->states[s].proposed_ms[v] = -PROPOSE_MS;
    }
  for (unsigned int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      struct world_endpoint *endpoint = &world->endpoints[i];

      g_snprintf (endpoint->name, WORLD_NAME_BYTES, "endpoint-%u", i);
      g_snprintf (endpoint->address, WORLD_NAME_BYTES, "10.0.0.%u:80", i);
      endpoint->region = i % WORLD_REGIONS;
      endpoints_restart (world, i);
    }
}

/* End all state instances.  */
void
states_stop (struct world *world)
{
  for (unsigned int s = 0; s < world->plan->states; s++)
    states_kill (world, s);
  jc_versions_free (world->log);
}
