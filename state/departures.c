/* Endpoints that leave.  A leave is acknowledged once the log has it, and each
   replica that applies it tells the entry instances that follow it; one that
   begins to follow gets all of them.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "member/reportcheck.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  BATCH_ROWS = 64
};

/* Have the log record that INCARNATION, not 0, of the endpoint NAME, which may
   be in ZONE, leaves, and call DONE with CTX and the outcome.  ZONE may be
   empty.  What was recorded is never taken back, so an endpoint that the own
   copy has needs no further entry.  */
void
departures_submit (struct state *state, const char *name, uint64_t incarnation,
                   const char *zone, log_done_fn *done, void *ctx)
{
  struct rpc_departure departure = { .endpoint = (char *)name,
                                     .endpoint_incarnation = incarnation,
                                     .zone = (char *)zone };
  GString *data;

  if (jc_departures_contains (state->departures, name, incarnation))
    {
      done (ctx, JC_OK);
      return;
    }
  if (jc_report_check_name (zone) != JC_OK)
    departure.zone = (char *)"";
  data = jc_departures_encode (&departure);
  log_propose (state, LOG_DEPARTURE, jc_str_from_gstring (data), done, ctx);
  g_string_free (data, TRUE);
}

/* Send CONN those of ROWS that name endpoints to which it may send requests. */
static void
send_departures (struct state *state, struct jc_rpc_conn *conn,
                 const GPtrArray *rows)
{
  struct rpc_endpoint batch[BATCH_ROWS];
  u_int count = 0;

  for (guint i = 0; i < rows->len; i++)
    {
      const struct rpc_departure *row = g_ptr_array_index (rows, i);

      if (!fleet_may_reach (state, conn, row->zone))
        continue;
      batch[count++]
          = (struct rpc_endpoint){ .name = row->endpoint,
                                   .incarnation = row->endpoint_incarnation,
                                   .leaving = true,
                                   .address = (char *)"",
                                   .service = (char *)"",
                                   .role = (char *)"",
                                   .zone = row->zone };
      if (count < BATCH_ROWS)
        continue;
      fleet_send_endpoints (conn, batch, count);
      count = 0;
    }
  if (count > 0)
    fleet_send_endpoints (conn, batch, count);
}

/* End the endpoints of ROWS here, and send ROWS to the entry instances that
   follow this instance.  */
static void
publish_rows (struct state *state, const GPtrArray *rows)
{
  GPtrArray *conns = g_ptr_array_new ();

  for (guint i = 0; i < rows->len; i++)
    fleet_end (state, g_ptr_array_index (rows, i));
  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    if (orders_is_subscribed (state, g_ptr_array_index (conns, i)))
      send_departures (state, g_ptr_array_index (conns, i), rows);
  g_ptr_array_free (conns, TRUE);
}

/* Apply DATA, a committed entry of the kind LOG_DEPARTURE.  */
void
departures_apply (struct state *state, struct jc_str data)
{
  const struct rpc_departure *added
      = jc_departures_apply (state->departures, data);
  GPtrArray *rows;

  if (added == NULL || state->fleet == NULL)
    return;
  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " left=1 outcome=recorded",
            added->endpoint, added->endpoint_incarnation);
  rows = g_ptr_array_new ();
  g_ptr_array_add (rows, (gpointer)added);
  publish_rows (state, rows);
  g_ptr_array_free (rows, TRUE);
}

/* Put all departures in force here and at the entry instances that follow this
   instance, after a start or a snapshot of the log.  */
void
departures_publish (struct state *state)
{
  GPtrArray *rows;

  if (state->fleet == NULL)
    return;
  rows = g_ptr_array_new ();
  jc_departures_list (state->departures, rows);
  publish_rows (state, rows);
  g_ptr_array_free (rows, TRUE);
}

/* Send the entry instance CONN, which begins to follow this one, all
   departures.  */
void
departures_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *rows = g_ptr_array_new ();

  jc_departures_list (state->departures, rows);
  send_departures (state, conn, rows);
  g_ptr_array_free (rows, TRUE);
}
