/* Backpressure: applies what endpoints ask for in their answers, and leases
   slots of the limits that they name from the state instances.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

static bool
is_limited (const struct router *router, const struct jc_endpoint *endpoint)
{
  return jc_backpressure_is_limited (router->backpressure, endpoint->name,
                                     endpoint->incarnation);
}

/* Apply what INFO, an answer of ENDPOINT, tells about its limit.  */
static void
note_limit (struct router *router, const struct jc_endpoint *endpoint,
            const struct jc_answer_info *info, uint64_t send_number)
{
  const struct jc_backpressure_answer answer
      = { .endpoint = endpoint->name,
          .incarnation = endpoint->incarnation,
          .limit_per_s = info->limit_per_s,
          .send_number = send_number,
          .now_ms = jc_boot_ms () };

  if (jc_backpressure_note_answer (router->backpressure, &answer))
    jc_event (JC_EVENT_LIMIT, "endpoint=%s incarnation=%" PRIu64 " per_s=%.3f",
              endpoint->name, endpoint->incarnation, info->limit_per_s);
}

static bool
is_paused (const struct router *router, const struct jc_endpoint *endpoint)
{
  return jc_pauses_is_paused (router->pauses, endpoint->name,
                              endpoint->incarnation);
}

/* Apply what INFO, an answer of ENDPOINT, tells about its pause.  */
static void
note_pause (struct router *router, const struct jc_endpoint *endpoint,
            const struct jc_answer_info *info)
{
  int64_t now = jc_boot_ms ();

  if (info->pause_ms >= 0)
    {
      if (jc_pauses_begin (router->pauses, endpoint->name,
                           endpoint->incarnation, info->pause_ms, now))
        jc_event (JC_EVENT_PAUSE,
                  "endpoint=%s incarnation=%" PRIu64 " ms=%" PRId64,
                  endpoint->name, endpoint->incarnation, info->pause_ms);
    }
  else if (!info->not_run
           && jc_pauses_end (router->pauses, endpoint->name,
                             endpoint->incarnation, now))
    jc_event (JC_EVENT_PAUSE, "endpoint=%s incarnation=%" PRIu64 " ms=0",
              endpoint->name, endpoint->incarnation);
}

/* Tell the state instance that this one gets its orders from of the leaves that
   are due.  It tells the others.  */
static void
tell_leaves (struct router *router)
{
  struct rpc_packet packet = { .body.type = RPC_LEAVING };
  struct rpc_leaving *leaving = &packet.body.rpc_body_u.leaving;
  GPtrArray *due;

  if (router->orders_source == NULL)
    return;
  due = g_ptr_array_new ();
  jc_leaves_list_due (router->leaves, jc_boot_ms (), due);
  for (guint i = 0; i < due->len; i++)
    {
      const struct jc_leave *leave = g_ptr_array_index (due, i);

      leaving->endpoint = leave->endpoint;
      leaving->endpoint_incarnation = leave->incarnation;
      jc_rpc_send (router->orders_source, &packet);
    }
  g_ptr_array_free (due, TRUE);
}

/* ENDPOINT says that it is about to end: send it nothing from now on, whatever
   its reports say, and tell a state instance.  */
static void
note_leaving (struct router *router, const struct jc_endpoint *endpoint)
{
  if (endpoint->leaving)
    return;
  jc_endpoints_mark_leaving (router->endpoints, endpoint->name,
                             endpoint->incarnation);
  jc_event (JC_EVENT_ENDPOINT,
            "endpoint=%s incarnation=%" PRIu64 " leaving=1 from=answer",
            endpoint->name, endpoint->incarnation);
  jc_leaves_add (router->leaves, endpoint->name, endpoint->incarnation,
                 jc_boot_ms ());
  tell_leaves (router);
}

/* Apply INFO, the answer of ENDPOINT to the request SEND_NUMBER.  */
void
backpressure_note_answer (struct router *router,
                          const struct jc_endpoint *endpoint,
                          const struct jc_answer_info *info,
                          uint64_t send_number)
{
  /* A corrupted answer may have lost its limit.  */
  if (info->limit_per_s >= 0
      || (is_limited (router, endpoint) && (info->genuine || info->not_run)))
    note_limit (router, endpoint, info, send_number);
  if (info->leaving)
    note_leaving (router, endpoint);
  if (info->pause_ms >= 0 || is_paused (router, endpoint))
    note_pause (router, endpoint, info);
}

/* Return the time until a request may be sent to ENDPOINT as far as its limit
   and pause are concerned, ms; -1 if that is not known.  */
int64_t
backpressure_wait_ms (struct router *router, const struct jc_endpoint *endpoint)
{
  int64_t now = jc_boot_ms ();
  int64_t limit_ms = jc_backpressure_wait_ms (
      router->backpressure, endpoint->name, endpoint->incarnation, now);
  int64_t pause_ms = jc_pauses_wait_ms (router->pauses, endpoint->name,
                                        endpoint->incarnation, now);

  return limit_ms < 0 ? -1 : MAX (limit_ms, pause_ms);
}

/* Return whether a request may be sent to ENDPOINT now as far as its limit and
   pause are concerned.  */
bool
backpressure_may_send (struct router *router,
                       const struct jc_endpoint *endpoint)
{
  return (!is_paused (router, endpoint)
          || jc_pauses_wait_ms (router->pauses, endpoint->name,
                                endpoint->incarnation, jc_boot_ms ())
                 == 0)
         && (!is_limited (router, endpoint)
             || jc_backpressure_may_send (router->backpressure, endpoint->name,
                                          endpoint->incarnation,
                                          jc_boot_ms ()));
}

/* Return whether ENDPOINT has named no limit and asked for no pause.  */
bool
backpressure_is_free (struct router *router, const struct jc_endpoint *endpoint)
{
  return !is_limited (router, endpoint) && !is_paused (router, endpoint);
}

/* Count the request ID, which is sent to ENDPOINT now.  Return its number, for
   its answer.  */
uint64_t
backpressure_note_send (struct router *router,
                        const struct jc_endpoint *endpoint, const char *id)
{
  struct jc_endpoint_limit limit;
  int64_t now = is_limited (router, endpoint) ? jc_boot_ms () : 0;

  if (jc_backpressure_limit (router->backpressure, endpoint->name,
                             endpoint->incarnation, now, &limit))
    {
      jc_metrics_counter_add (router->entry->metrics,
                              "jaycove_limited_requests_total", "", 1);
      jc_event (JC_EVENT_LIMIT,
                "id=%s endpoint=%s per_s=%.3f heard_ms_ago=%" PRId64
                " slots=%u credit=%.3f",
                id, endpoint->name, limit.per_s, now - limit.heard_ms,
                limit.slots, limit.credit);
    }
  if (is_paused (router, endpoint))
    jc_pauses_note_send (router->pauses, endpoint->name, endpoint->incarnation,
                         jc_boot_ms ());
  return jc_backpressure_note_send (router->backpressure, endpoint->name,
                                    endpoint->incarnation, now);
}

/* Apply REPLY of a state instance to a request for slots.  */
void
backpressure_handle_reply (struct router *router,
                           const struct rpc_limit_reply *reply)
{
  int64_t now = jc_boot_ms ();

  for (u_int i = 0; i < reply->leases.leases_len; i++)
    jc_backpressure_note_lease (router->backpressure,
                                &reply->leases.leases_val[i], now);
  for (u_int i = 0; i < reply->ended.ended_len; i++)
    {
      const struct rpc_limited *ended = &reply->ended.ended_val[i];

      if (jc_backpressure_note_end (router->backpressure, ended->endpoint,
                                    ended->endpoint_incarnation))
        jc_event (JC_EVENT_LIMIT,
                  "endpoint=%s incarnation=%" PRIu64 " per_s=-1.000 from=state",
                  ended->endpoint, ended->endpoint_incarnation);
    }
}

/* Append to ROWS, an array of struct rpc_pause, the pauses of this instance,
   and with WHOLE_ZONE those of its zone.  */
void
backpressure_append_pauses (const struct router *router, bool whole_zone,
                            GArray *rows)
{
  GArray *pauses = g_array_new (FALSE, FALSE, sizeof (struct jc_pause_report));

  jc_pauses_list (router->pauses, whole_zone, jc_boot_ms (), pauses);
  for (guint i = 0; i < pauses->len; i++)
    {
      const struct jc_pause_report *pause
          = &g_array_index (pauses, struct jc_pause_report, i);
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (router->endpoints, pause->endpoint);
      struct rpc_pause row = { .left_ms = (u_int)pause->left_ms };

      if (endpoint == NULL || endpoint->incarnation != pause->incarnation)
        continue;
      row.tag = endpoint->tag;
      g_array_append_val (rows, row);
    }
  g_array_free (pauses, TRUE);
}

/* Apply PAUSES, which another instance of this zone reported if IN_ZONE, else
   another zone.  */
void
backpressure_handle_pauses (struct router *router,
                            const struct rpc_pauses *pauses, bool in_zone)
{
  for (u_int i = 0; i < pauses->list.list_len; i++)
    {
      const struct rpc_pause *row = &pauses->list.list_val[i];
      const struct jc_endpoint *endpoint
          = jc_endpoints_find_by_tag (router->endpoints, row->tag);
      struct jc_pause_report report = { .left_ms = row->left_ms };

      if (endpoint == NULL)
        continue;
      report.endpoint = endpoint->name;
      report.incarnation = endpoint->incarnation;
      jc_pauses_note_report (router->pauses, &report, in_zone, jc_boot_ms ());
    }
}

/* Return whether no other instance reported that ENDPOINT pauses.  */
bool
backpressure_is_unreported (const struct router *router,
                            const struct jc_endpoint *endpoint)
{
  return !jc_pauses_is_reported (router->pauses, endpoint->name,
                                 endpoint->incarnation, jc_boot_ms ());
}

/* Tell the state instance that this instance gets its orders from of leaves,
   and request slots from it, if that is due.  A draining instance leaves the
   slots to others.  */
void
backpressure_tick (struct router *router)
{
  struct rpc_packet packet = { .body.type = RPC_LIMIT_REQUEST };
  struct rpc_limit_request *request = &packet.body.rpc_body_u.limit_request;
  int64_t now = jc_boot_ms ();
  GArray *limited;

  tell_leaves (router);
  if (router->orders_source == NULL || router->entry->draining)
    return;
  limited = g_array_new (FALSE, FALSE, sizeof (struct rpc_limited));
  if (jc_backpressure_next_request (router->backpressure, now, limited))
    {
      request->requested_ms = (uint64_t)now;
      request->limited.limited_val = (struct rpc_limited *)limited->data;
      request->limited.limited_len = limited->len;
      jc_rpc_send (router->orders_source, &packet);
    }
  g_array_free (limited, TRUE);
}
