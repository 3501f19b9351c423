/* Gauges: what a state instance believes, for its metrics.  */

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

static void
set (struct state *state, const char *name, double value)
{
  jc_metrics_gauge_set (state->metrics, name, "", value);
}

/* Write the metrics of STATE to OUT, with its gauges as they are now.  */
void
gauges_print (struct state *state, GString *out)
{
  set (state, "jaycove_replica_leads", log_is_leader (state) ? 1 : 0);
  set (state, "jaycove_replica_term", (double)log_term (state));
  set (state, "jaycove_replicas", log_replicas (state)->list.list_len);
  set (state, "jaycove_replicas_voting",
       jc_replicas_count_voters (log_replicas (state)));
  set (state, "jaycove_orders_last", log_survives_losses (state) ? 1 : 0);
  set (state, "jaycove_position", (double)state->orders->position);
  set (state, "jaycove_config_version", (double)state->orders->table_version);
  set (state, "jaycove_zones_evacuated",
       g_hash_table_size (state->orders->evacuated_zones));
  set (state, "jaycove_endpoints", fleet_count (state));
  set (state, "jaycove_entry_instances", presence_count (state));
  set (state, "jaycove_grants", jc_grants_count (state->grants));
  set (state, "jaycove_up_ms", (double)(jc_now_ms () - state->started_ms));
  jc_metrics_append_text (state->metrics, out);
  jc_rpc_append_metrics (state->rpc, out);
  jc_event_append_metrics (out);
}
