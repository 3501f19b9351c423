/* RPC: counters of sent messages by type and by availability zone of the
   peer.  */

#include <inttypes.h>
#include <string.h>

#include "base/build.h"
#include "net/rpcprivate.h"

enum
{
  /* Peers of higher levels count as of the last of these.  */
  LEVELS_SHOWN = 64
};

static const char *const kind_names[] = {
  [RPC_HELLO] = "hello",
  [RPC_HELLO_ACK] = "hello_ack",
  [RPC_HEARTBEAT] = "heartbeat",
  [RPC_FAILURE] = "failure",
  [RPC_CONFIG_FOLLOW] = "config_follow",
  [RPC_CONFIG_DELTA] = "config_delta",
  [RPC_SUBMIT] = "submit",
  [RPC_SUBMIT_REPLY] = "submit_reply",
  [RPC_ZONE_DELTA] = "zone_delta",
  [RPC_REGION_SUMMARY] = "region_summary",
  [RPC_VOTE] = "vote",
  [RPC_VOTE_REPLY] = "vote_reply",
  [RPC_APPEND] = "append",
  [RPC_APPEND_REPLY] = "append_reply",
  [RPC_INSTALL] = "install",
  [RPC_INSTALL_REPLY] = "install_reply",
  [RPC_CLAIM] = "claim",
  [RPC_CLAIM_REPLY] = "claim_reply",
  [RPC_RESULT] = "result",
  [RPC_RESULT_REPLY] = "result_reply",
  [RPC_LEDGER_COPY] = "ledger_copy",
  [RPC_LEDGER_COPY_REPLY] = "ledger_copy_reply",
  [RPC_HANDOVER] = "handover",
  [RPC_HANDOVER_HEAD] = "handover_head",
  [RPC_HANDOVER_DATA] = "handover_data",
  [RPC_HANDOVER_END] = "handover_end",
  [RPC_HANDOVER_CANCEL] = "handover_cancel",
  [RPC_ADMIN] = "admin",
  [RPC_ADMIN_REPLY] = "admin_reply",
  [RPC_PROPOSE] = "propose",
  [RPC_PROPOSE_REPLY] = "propose_reply",
  [RPC_GROUP] = "group",
  [RPC_ORDERS_FOLLOW] = "orders_follow",
  [RPC_ORDERS] = "orders",
  [RPC_ORDERS_READ] = "orders_read",
  [RPC_FLEET] = "fleet",
  [RPC_PRESENCE] = "presence",
  [RPC_ENTRIES] = "entries",
  [RPC_LOADS] = "loads",
  [RPC_GRANT] = "grant",
  [RPC_LIMIT_REQUEST] = "limit_request",
  [RPC_LIMIT_REPLY] = "limit_reply",
  [RPC_LEAVING] = "leaving",
  [RPC_PAUSES] = "pauses",
  [RPC_CRASH_REPORT] = "crash_report",
  [RPC_SUSPECTS] = "suspects",
  [RPC_FLEET_FOLLOW] = "fleet_follow",
  [RPC_ZONE_LOADS] = "zone_loads",
  [RPC_VERSIONS_FOLLOW] = "versions_follow",
  [RPC_VERSIONS] = "versions",
  [RPC_VERSIONS_READ] = "versions_read",
  [RPC_ENDPOINT_VERSIONS] = "endpoint_versions",
  [RPC_STREAM_STARTS] = "stream_starts",
  [RPC_STREAM_FIND] = "stream_find",
  [RPC_STREAM_FOUND] = "stream_found",
  [RPC_SHARES] = "shares",
  [RPC_QUOTA_REQUEST] = "quota_request",
  [RPC_QUOTA_REPLY] = "quota_reply",
  [RPC_QUOTA_TAKE] = "quota_take",
  [RPC_QUOTA_GRANT] = "quota_grant",
};

/* Return the name of the messages of TYPE, NULL if this build has none.  */
const char *
rpc_traffic_kind_name (enum rpc_type type)
{
  return (unsigned int)type < G_N_ELEMENTS (kind_names) ? kind_names[type]
                                                        : NULL;
}

/* Counters of messages of one type to one availability zone.  */
struct traffic
{
  enum rpc_type type;
  char *zone;
  uint64_t messages;
  uint64_t bytes;
};

static void
free_row (gpointer data)
{
  struct traffic *row = data;

  g_free (row->zone);
  g_free (row);
}

/* Return an empty array of counters.  */
GPtrArray *
rpc_traffic_new (void)
{
  return g_ptr_array_new_with_free_func (free_row);
}

static struct traffic *
find_or_add_row (GPtrArray *rows, enum rpc_type type, const char *zone)
{
  struct traffic *row;

  for (guint i = 0; i < rows->len; i++)
    {
      row = g_ptr_array_index (rows, i);
      if (row->type == type && strcmp (row->zone, zone) == 0)
        return row;
    }
  row = g_new0 (struct traffic, 1);
  row->type = type;
  row->zone = g_strdup (zone);
  g_ptr_array_add (rows, row);
  return row;
}

/* Count a message of TYPE with BYTES to a peer in ZONE, NULL if that is not
   known yet.  */
void
rpc_traffic_count (GPtrArray *rows, enum rpc_type type, const char *zone,
                   size_t bytes)
{
  struct traffic *row = find_or_add_row (rows, type, zone != NULL ? zone : "-");

  row->messages++;
  row->bytes += bytes;
}

/* Append to OUT a row for each connected peer of RPC whose level is lower than
   that of this process: those that keep new messages from being sent.  */
static void
append_behind (const struct jc_rpc *rpc, GString *out)
{
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (rpc_conn_is_usable (conn) && conn->level < rpc->level)
        g_string_append_printf (
            out,
            "jaycove_rpc_peer_behind{peer=\"%s\",level=\"%" PRIu64 "\"} 1\n",
            conn->name, conn->level);
    }
}

/* Append to OUT the build and protocol level of RPC's process, and how many
   peers are connected at each level.  */
static void
append_levels (const struct jc_rpc *rpc, GString *out)
{
  unsigned int peers[LEVELS_SHOWN] = { 0 };

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (rpc_conn_is_usable (conn))
        peers[MIN (conn->level, LEVELS_SHOWN - 1)]++;
    }
  g_string_append_printf (out, "jaycove_build{name=\"%s\"} 1\n",
                          jc_build_name ());
  g_string_append_printf (out, "jaycove_rpc_level{} %" PRIu64 "\n", rpc->level);
  for (unsigned int level = 0; level < LEVELS_SHOWN; level++)
    if (peers[level] > 0)
      g_string_append_printf (out, "jaycove_rpc_peers{level=\"%u\"} %u\n",
                              level, peers[level]);
  append_behind (rpc, out);
}

/* Append the counters of RPC to OUT as metrics.  */
void
jc_rpc_append_metrics (const struct jc_rpc *rpc, GString *out)
{
  append_levels (rpc, out);
  g_string_append_printf (out, "jaycove_rpc_unknown_total{} %" PRIu64 "\n",
                          rpc->unknown_kinds);
  for (guint i = 0; i < rpc->traffic->len; i++)
    {
      const struct traffic *row = g_ptr_array_index (rpc->traffic, i);
      const char *kind = rpc_traffic_kind_name (row->type);

      g_string_append_printf (out,
                              "jaycove_rpc_sent_bytes_total{kind=\"%s\","
                              "zone=\"%s\"} %" PRIu64 "\n"
                              "jaycove_rpc_sent_total{kind=\"%s\","
                              "zone=\"%s\"} %" PRIu64 "\n",
                              kind, row->zone, row->bytes, kind, row->zone,
                              row->messages);
    }
}
