/* What entry instances are told of endpoints and versions, as a part of the
   simulation of software versions.  */

#include "tests/versionworld.h"

enum
{
  BEHIND_PERIOD_MS = 5000,
  /* The connections to state instances come back one after another.  */
  BEHIND_SPREAD_MS = 1500,
  BEHIND_STEP_MS = 397
};

/* Return whether EVENT, a message to an entry instance that is out of step, is
   held up: it comes once its connection is back, after those before it.  */
static bool
is_held_up (struct world *world, const struct world_event *event)
{
  int64_t since_ms = world->now_ms % BEHIND_PERIOD_MS;
  int64_t end_ms = world->plan->behind_ms
                   + event->state * BEHIND_STEP_MS % BEHIND_SPREAD_MS;

  if (world->plan->behind_ms == 0 || world->now_ms < BEHIND_PERIOD_MS
      || world->now_ms / BEHIND_PERIOD_MS % world->plan->entries != event->entry
      || since_ms >= end_ms
      || (event->run != reports_on_row && event->run != reports_on_loads
          && event->run != reports_on_versions))
    return false;
  world_after (world, end_ms - since_ms, *event);
  return true;
}

/* An entry instance gets a report of an endpoint.  */
void
reports_on_row (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  struct world_row *row = event->data;
  struct rpc_endpoint_version version
      = { .endpoint = row->report.name,
          .endpoint_incarnation = row->report.incarnation,
          .software = row->software };
  struct rpc_packet packet = { .body.type = RPC_ENDPOINT_VERSIONS };

  if (!entries_is_current (world, event) || is_held_up (world, event))
    return;
  jc_endpoints_update (entry->endpoints, &row->report, world->now_ms);
  jc_endpoints_set_software (entry->endpoints, &version);
  packet.body.rpc_body_u.endpoint_versions.list.list_len = 1;
  packet.body.rpc_body_u.endpoint_versions.list.list_val = &version;
  entries_count_bytes (entry, &packet);
}

/* An entry instance gets loads of endpoints.  */
void
reports_on_loads (struct world *world, const struct world_event *event)
{
  const struct rpc_zone_load *rows = event->data;

  if (!entries_is_current (world, event) || is_held_up (world, event))
    return;
  for (uint64_t i = 0; i < event->number; i++)
    jc_endpoints_update_load (world->entries[event->entry].endpoints, &rows[i],
                              world->now_ms);
}

/* An entry instance gets the table of versions.  */
void
reports_on_versions (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  struct rpc_packet packet = { .body.type = RPC_VERSIONS };

  if (!entries_is_current (world, event) || is_held_up (world, event))
    return;
  packet.body.rpc_body_u.versions = *(const struct rpc_versions *)event->data;
  jc_versions_update (entry->versions, &packet.body.rpc_body_u.versions);
  entries_count_bytes (entry, &packet);
}
