/* Endpoints as they report themselves to this instance, passed on to the
   entry instances that may reach them: those of their region.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* Reports that may be missed before an endpoint is taken for gone.  */
  LEASE_REPORTS = 5,
  EXPIRE_MS = 500,
  BATCH_ROWS = 64,
  MS_PER_S = 1000
};

struct fleet
{
  struct jc_members *members;
  ev_timer expire;
};

static void
on_expire (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;

  (void)loop;
  (void)events;
  jc_members_expire (state->fleet->members, jc_now_ms ());
}

/* Begin without endpoints.  */
void
fleet_start (struct state *state)
{
  double every_s = (double)EXPIRE_MS / MS_PER_S;

  state->fleet = g_new0 (struct fleet, 1);
  state->fleet->members = jc_members_new ();
  jc_members_own_addresses (state->fleet->members);
  ev_timer_init (&state->fleet->expire, on_expire, every_s, every_s);
  state->fleet->expire.data = state;
  ev_timer_start (state->loop, &state->fleet->expire);
}

/* Forget all endpoints.  */
void
fleet_stop (struct state *state)
{
  if (state->fleet == NULL)
    return;
  ev_timer_stop (state->loop, &state->fleet->expire);
  jc_members_free (state->fleet->members);
  g_free (state->fleet);
  state->fleet = NULL;
}

static void
send_rows (struct jc_rpc_conn *conn, struct rpc_endpoint *rows, u_int count)
{
  struct rpc_packet packet = { .body.type = RPC_FLEET };
  struct rpc_fleet *fleet = &packet.body.rpc_body_u.fleet;

  fleet->endpoints.endpoints_val = rows;
  fleet->endpoints.endpoints_len = count;
  jc_rpc_send (conn, &packet);
}

/* Pass ROW on to every entry instance that is connected.  */
static void
pass_on (struct state *state, struct rpc_endpoint *row)
{
  GPtrArray *conns = g_ptr_array_new ();

  jc_rpc_list (state->rpc, "entry", conns);
  for (guint i = 0; i < conns->len; i++)
    send_rows (g_ptr_array_index (conns, i), row, 1);
  g_ptr_array_free (conns, TRUE);
}

/* Take what SAID reports and pass it on.  Return JC_BEHIND where the same or
   later is known.  */
enum jc_status
fleet_report (struct state *state, const struct rpc_endpoint *said)
{
  struct rpc_endpoint row = *said;
  const struct jc_endpoint *known
      = jc_members_find (state->fleet->members, said->name);
  bool news = known == NULL || known->incarnation != said->incarnation
              || known->leaving != said->leaving
              || strcmp (known->address, said->address) != 0;
  enum jc_status status;

  row.lease_ms = (u_int)(LEASE_REPORTS * state->settings->report_ms);
  status = jc_members_announce (state->fleet->members, &row, jc_now_ms ());
  if (status != JC_OK)
    return status;
  if (news)
    jc_event (JC_EVENT_ENDPOINT,
              "endpoint=%s incarnation=%" PRIu64 " sequence=%" PRIu64
              " service=%s address=%s zone=%s leaving=%d cold_ms=%u",
              row.name, row.incarnation, row.sequence, row.service, row.address,
              row.zone, row.leaving, row.cold_ms);
  pass_on (state, &row);
  if (row.cold_ms > 0)
    cold_consider (state, &row);
  return JC_OK;
}

/* Return how many endpoints are known here.  */
unsigned int
fleet_count (const struct state *state)
{
  return jc_members_count (state->fleet->members);
}

/* Have an entry instance chosen for each endpoint of ZONE, any of which may be
   cold.  */
void
fleet_consider_cold (struct state *state, const char *zone)
{
  GPtrArray *all = g_ptr_array_new ();

  jc_members_all (state->fleet->members, all);
  for (guint i = 0; i < all->len; i++)
    {
      struct rpc_endpoint row;

      jc_endpoint_describe (g_ptr_array_index (all, i), jc_now_ms (), &row);
      if (strcmp (row.zone, zone) == 0)
        cold_consider (state, &row);
    }
  g_ptr_array_free (all, TRUE);
}

/* The endpoint NAME takes its leave; INCARNATION is 0 where it does not say
   which one.  Entry instances may know it from another state instance, so it
   is passed on also where it is not known here.  */
enum jc_status
fleet_leave (struct state *state, const char *name, uint64_t incarnation)
{
  struct rpc_endpoint row = { .name = (char *)name,
                              .incarnation = incarnation,
                              .leaving = true,
                              .address = (char *)"",
                              .service = (char *)"",
                              .role = (char *)"",
                              .zone = (char *)"" };
  enum jc_status status
      = jc_members_leave (state->fleet->members, name, incarnation);

  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " left=1 known=%d", name,
            incarnation, status == JC_OK);
  pass_on (state, &row);
  return status;
}

/* Tell the entry instance CONN, which came up, of every endpoint.  */
void
fleet_up (struct state *state, struct jc_rpc_conn *conn)
{
  GPtrArray *all;
  struct rpc_endpoint rows[BATCH_ROWS];
  int64_t now = jc_now_ms ();
  u_int count = 0;

  if (strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  all = g_ptr_array_new ();
  jc_members_all (state->fleet->members, all);
  for (guint i = 0; i < all->len; i++)
    {
      jc_endpoint_describe (g_ptr_array_index (all, i), now, &rows[count++]);
      if (count == BATCH_ROWS || i + 1 == all->len)
        {
          send_rows (conn, rows, count);
          count = 0;
        }
    }
  g_ptr_array_free (all, TRUE);
}
