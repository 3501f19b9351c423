/* Metrics of a state instance.  Its gauges are set when they are read.  */

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

static void
set_gauge (struct state *state, const char *name, double value)
{
  jc_metrics_gauge_set (state->metrics, name, "", value);
}

/* Set the gauges of STATE and append all its metrics to OUT, in the text format
   of Prometheus.  */
void
gauges_print (struct state *state, GString *out)
{
  struct jc_rlog_usage usage = log_usage (state);

  set_gauge (state, "jaycove_replica_leads", log_is_leader (state) ? 1 : 0);
  set_gauge (state, "jaycove_replica_term", (double)log_term (state));
  set_gauge (state, "jaycove_replicas", log_replicas (state)->list.list_len);
  set_gauge (state, "jaycove_replicas_voting",
             jc_replicas_count_voters (log_replicas (state)));
  set_gauge (state, "jaycove_log_file_bytes", (double)usage.file_bytes);
  set_gauge (state, "jaycove_log_snapshot_bytes", (double)usage.snapshot_bytes);
  set_gauge (state, "jaycove_log_entry_bytes", (double)usage.entry_bytes);
  set_gauge (state, "jaycove_memory_peak_bytes",
             (double)jc_peak_memory_bytes ());
  set_gauge (state, "jaycove_orders_last", log_survives_losses (state) ? 1 : 0);
  set_gauge (state, "jaycove_position", (double)state->orders->position);
  set_gauge (state, "jaycove_config_version",
             (double)state->orders->table_version);
  set_gauge (state, "jaycove_zones_evacuated",
             g_hash_table_size (state->orders->evacuated_zones));
  set_gauge (state, "jaycove_endpoints", fleet_count (state));
  set_gauge (state, "jaycove_entry_instances", presence_count (state));
  set_gauge (state, "jaycove_grants", jc_grants_count (state->grants));
  set_gauge (state, "jaycove_software_versions",
             jc_versions_count (state->version_table));
  if (state->starts != NULL)
    set_gauge (state, "jaycove_stream_starts",
               (double)jc_stream_starts_count (state->starts));
  set_gauge (state, "jaycove_up_ms",
             (double)(jc_now_ms () - state->started_ms));
  jc_metrics_append_text (state->metrics, out);
  jc_rpc_append_metrics (state->rpc, out);
  jc_event_append_metrics (out);
}
