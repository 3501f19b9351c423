/* Entries and snapshots of the replicated log, and what they bring into
   force.  */

#include <inttypes.h>
#include <stdlib.h>

#include "base/event.h"
#include "base/log.h"
#include "net/program.h"
#include "state/state.h"

#define LOG_COMPONENT "log"

/* Put in force the configuration that results from the applied entries.  */
static void
update_config (struct state *state)
{
  if (state->config == state->confstate->config)
    return;
  state->config = state->confstate->config;
  jc_rpc_set_config_version (state->rpc, state->config->version);
  if (log_is_running (state))
    ledger_config_changed (state);
}

/* Parse the route table of the applied orders if it has a new version.  It was
   validated before it entered the log, so faults are ignored.  */
static void
update_routes (struct state *state)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);

  if (state->orders->table_version > 0
      && (state->route_table == NULL
          || state->route_table->version != state->orders->table_version))
    {
      jc_routetable_unref (state->route_table);
      state->route_table = state->protocol->parse_routes (
          jc_str_from_gstring (state->orders->table_text), NULL, faults);
    }
  g_ptr_array_free (faults, TRUE);
}

/* Put in force the orders that result from the applied entries, if there are
   any, and send them to entry instances.  While the log is being opened this is
   left to logentries_opened: only the last of the stored orders counts.  */
static void
update_orders (struct state *state)
{
  GPtrArray *readmitted;

  if (!log_is_running (state) || state->orders->position == 0)
    return;
  readmitted = g_ptr_array_new_with_free_func (g_free);
  jc_readmissions_follow (state->readmissions, state->orders, jc_now_ms (),
                          readmitted);
  update_routes (state);
  jc_event (JC_EVENT_IN_FORCE,
            "position=%" PRIu64 " version=%" PRIu64 " evacuated=%u",
            state->orders->position, state->orders->table_version,
            g_hash_table_size (state->orders->evacuated_zones));
  orders_publish (state);
  coldgrants_readmit (state, readmitted);
  g_ptr_array_free (readmitted, TRUE);
}

/* Put in force what the log held when it was opened.  */
void
logentries_opened (struct state *state)
{
  update_config (state);
  update_orders (state);
}

/* Apply entry INDEX of the log, DATA of KIND, to the state CTX.  */
void
logentries_apply (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  struct state *state = ctx;

  state->order_outcome = JC_OK;
  if (kind == LOG_CONFIG_CHANGE)
    state->last_submit_result = jc_confstate_apply (state->confstate, data);
  else if (kind == LOG_LEDGER_SET)
    ledger_apply_entry (state, data);
  else if (kind == LOG_GRANT)
    coldgrants_apply (state, data);
  else if (kind == LOG_LIMITS)
    limits_apply (state, data);
  else if (kind == LOG_CRASHES)
    crashes_apply (state, data);
  else if (kind == LOG_CRASH_PROOFS)
    crashproofs_apply (state, data);
  else if (kind == LOG_VERSION)
    versions_apply (state, index, data);
  else if (kind == LOG_DEPARTURE)
    departures_apply (state, data);
  else if (kind == LOG_ORDER && jc_orders_apply (state->orders, index, data))
    update_orders (state);
  else if (kind == LOG_ZONE_ORDER
           && jc_orders_apply_zone (state->orders, index, data,
                                    &state->order_outcome))
    update_orders (state);
  update_config (state);
}

static void
restore_ledger_entries (struct state *state, const json_t *entries)
{
  const json_t *entry;
  size_t i;

  json_array_foreach ((json_t *)entries, i, entry)
  {
    gsize len;
    guchar *data = g_base64_decode (json_string_value (entry), &len);

    ledger_restore_entry (
        state, (struct jc_str){ .data = (const char *)data, .len = len });
    g_free (data);
  }
}

/* Replace all tables but the configuration of routing by products, whose log is
   opened only once, by those in JSON, the object of a snapshot.  A table that
   is not in it becomes empty.  */
static enum jc_status
restore_tables (struct state *state, const json_t *json)
{
  int64_t now = jc_now_ms ();
  enum jc_status status = jc_orders_restore (state->orders, json);

  if (status == JC_OK)
    status = jc_grants_restore (state->grants, json);
  if (status == JC_OK)
    status = jc_departures_restore (state->departures, json);
  if (status == JC_OK)
    status = jc_limit_slots_restore (state->limit_slots, json, now);
  if (status == JC_OK)
    status = jc_crashes_restore (state->crash_table, json, now);
  if (status == JC_OK)
    status = jc_versions_restore (state->version_table, json);
  return status;
}

/* Forget what was applied before the log was opened: its entries are about to
   be applied from the first one on.  */
void
logentries_reset (void *ctx)
{
  json_t *none = json_object ();

  restore_tables (ctx, none);
  json_decref (none);
}

/* Replace what was applied to the state CTX by SNAPSHOT.  End the program if it
   is malformed.  */
enum jc_status
logentries_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct state *state = ctx;
  json_t *json = json_loadb (snapshot.data, snapshot.len, 0, NULL);
  enum jc_status status = jc_confstate_restore (state->confstate, json);

  (void)index;
  if (status == JC_OK)
    status = restore_tables (state, json);
  if (status != JC_OK)
    {
      jc_error (LOG_COMPONENT, "The log's snapshot is malformed.");
      ev_break (state->loop, EVBREAK_ALL);
      json_decref (json);
      return jc_fail (JC_CORRUPT, "The snapshot of the log is not valid.");
    }
  restore_ledger_entries (state, json_object_get (json, "ledger"));
  json_decref (json);
  update_config (state);
  update_orders (state);
  crashes_publish (state);
  versions_publish (state);
  departures_publish (state);
  return JC_OK;
}

/* Append to OUT a snapshot of what was applied to the state CTX.  */
void
logentries_snapshot (void *ctx, GString *out)
{
  const struct state *state = ctx;
  GPtrArray *entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  json_t *json = json_object ();
  json_t *ledger = json_array ();
  char *text;

  jc_confstate_snapshot (state->confstate, json);
  jc_orders_snapshot (state->orders, json);
  jc_grants_snapshot (state->grants, json);
  jc_departures_snapshot (state->departures, json);
  jc_limit_slots_snapshot (state->limit_slots, json);
  jc_crashes_snapshot (state->crash_table, json);
  jc_versions_snapshot (state->version_table, json);
  ledger_snapshot (state, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      gsize len;
      const guchar *data = g_bytes_get_data (entries->pdata[i], &len);
      char *encoded = g_base64_encode (data, len);

      json_array_append_new (ledger, json_string (encoded));
      g_free (encoded);
    }
  json_object_set_new (json, "ledger", ledger);
  text = json_dumps (json, JSON_COMPACT);
  g_string_append (out, text);
  free (text);
  json_decref (json);
  g_ptr_array_free (entries, TRUE);
}
