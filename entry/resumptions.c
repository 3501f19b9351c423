/* Resumptions: keeps each resumable stream at the software version that began
   it.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/resumption.h"

enum
{
  /* Events wait for this long to be shown to be of the right version: two
     intervals of an endpoint's reports.  */
  HELD_MAX_MS = 2600,
  /* The version that began a stream is looked for so long after its caller has
     left: a report may come 3 s late, and the next one an interval later.  */
  LEFT_MAX_MS = 8000,
  US_PER_MS = 1000,
  HEXADECIMAL = 16
};

/* A process that an attempt went to: at the endpoint NAME's ADDRESS, believed
   to be the incarnation of TAG.  It had been the same since SINCE_MS when it
   was heard last, at HEARD_MS.  */
struct target_process
{
  const char *name;
  const char *address;
  uint64_t tag;
  int64_t since_us;
  int64_t heard_us;
};

/* A stream, of the hash STREAM, that began at STARTED_MS at PROCESS, whose
   version isn't certain, and which no exchange serves any more.  PROCESS refers
   to NAME and ADDRESS.  */
struct left_start
{
  struct target_process process;
  char *name;
  char *address;
  uint64_t stream;
  int64_t started_ms;
};

/* Return whether EXCHANGE's request is for a stream that may go on at another
   endpoint.  */
static bool
is_resumable (const struct exchange *exchange)
{
  return exchange->relay.kind == JC_ROUTE_STREAM && exchange->relay.resumable;
}

/* Prepare the next attempt of EXCHANGE: where its caller has events already the
   version must be known.  Return the result of versionsearch_run.  */
enum jc_status
resumptions_prepare (struct exchange *exchange)
{
  if (!is_resumable (exchange) || exchange->software != 0
      || (exchange->relay.last_event < 0 && !exchange->relay.begun))
    return JC_OK;
  return versionsearch_run (exchange);
}

/* Return whether EXCHANGE's request may only begin at a version that the log
   has.  */
bool
resumptions_is_bound (const struct exchange *exchange)
{
  return is_resumable (exchange);
}

/* Return whether EXCHANGE's stream could go on at another endpoint than the one
   of its current attempt: it has no events yet, or its version is known.  */
bool
resumptions_may_move (const struct exchange *exchange)
{
  return !is_resumable (exchange) || exchange->software != 0
         || (exchange->relay.last_event < 0 && !exchange->relay.begun);
}

/* Set the stream and version of EXCHANGE, which has just started, from its
   head.  */
void
resumptions_init (struct exchange *exchange)
{
  const struct jc_request_info *info = &exchange->request_info;
  const char *first_id
      = info->resume_after >= 0 ? info->resumes : info->attempt_id;
  const char *software = exchange->handed_over
                             ? jc_http_header (exchange->req, HEADER_SOFTWARE)
                             : NULL;

  if (first_id != NULL)
    exchange->stream = jc_stream_hash (first_id);
  if (software != NULL)
    exchange->software = g_ascii_strtoull (software, NULL, HEXADECIMAL);
}

/* Return whether the process that answers at ENDPOINT's address is certainly
   the incarnation that is known.  */
bool
resumptions_is_certain (const struct router *router,
                        const struct jc_endpoint *endpoint)
{
  int64_t heard_us;
  int64_t since_us = jc_httpc_address_since_us (router->entry->httpc,
                                                endpoint->address, &heard_us);
  const struct jc_process_identity *identity
      = identities_find (router, endpoint->address);

  return since_us >= 0
         && (jc_resumption_is_confirmed (endpoint->reported_ms,
                                         since_us / US_PER_MS)
             || (identity != NULL
                 && identity->incarnation == endpoint->incarnation
                 && jc_resumption_is_identified (identity, since_us,
                                                 heard_us)));
}

/* EXCHANGE's current attempt, which goes to ENDPOINT, is about to start.  A
   process that isn't certain is asked at once: its answer may break off right
   after its beginning.  */
void
resumptions_attempt_started (struct exchange *exchange,
                             const struct jc_endpoint *endpoint)
{
  exchange->target_software = endpoint->software;
  exchange->target_tag = endpoint->tag;
  g_free (exchange->target_address);
  exchange->target_address = g_strdup (endpoint->address);
  exchange->process_since_us = jc_now_us ();
  exchange->process_heard_us = 0;
  exchange->held_done = false;
  exchange->unproven_attempt
      = is_resumable (exchange) && exchange->software != 0;
  if (is_resumable (exchange)
      && !resumptions_is_certain (exchange->router, endpoint))
    identities_ask (exchange->router, endpoint->address);
}

/* Return whether PROCESS has told which incarnation it is, and store that in
   INCARNATION.  */
static bool
process_is_identified (const struct router *router,
                       const struct target_process *process,
                       uint64_t *incarnation)
{
  const struct jc_process_identity *identity
      = identities_find (router, process->address);

  if (identity == NULL
      || !jc_resumption_is_identified (identity, process->since_us,
                                       process->heard_us))
    return false;
  *incarnation = identity->incarnation;
  return true;
}

/* Return the version of PROCESS, or 0 if that isn't certain: what it told of
   itself counts, and without that a report which it must have sent.  */
static uint64_t
process_software (const struct router *router,
                  const struct target_process *process)
{
  const struct jc_endpoint *endpoint;
  uint64_t incarnation;

  if (process_is_identified (router, process, &incarnation))
    {
      endpoint = jc_endpoints_find (router->endpoints, process->name);
      return endpoint != NULL && endpoint->incarnation == incarnation
                     && strcmp (endpoint->address, process->address) == 0
                 ? endpoint->software
                 : 0;
    }
  endpoint = jc_endpoints_find_by_tag (router->endpoints, process->tag);
  return endpoint != NULL
                 && jc_resumption_is_confirmed (endpoint->reported_ms,
                                                process->since_us / US_PER_MS)
             ? endpoint->software
             : 0;
}

/* Return the process that answers EXCHANGE's current attempt, which went to an
   endpoint.  */
static struct target_process
exchange_process (const struct exchange *exchange)
{
  return (struct target_process){ .name = exchange->target_name,
                                  .address = exchange->target_address,
                                  .tag = exchange->target_tag,
                                  .since_us = exchange->process_since_us,
                                  .heard_us = exchange->process_heard_us };
}

/* Return the version of the process that answers EXCHANGE's current attempt,
   which went to an endpoint, or 0 if it isn't certain.  */
static uint64_t
certain_software (const struct exchange *exchange)
{
  const struct target_process process = exchange_process (exchange);

  return process_software (exchange->router, &process);
}

/* Record that the version that began EXCHANGE's stream is its SOFTWARE, or,
   while that isn't certain, what its endpoint is believed to have.  */
static void
record_start (struct exchange *exchange)
{
  struct jc_stream_start start = { .stream = exchange->stream,
                                   .software = exchange->software,
                                   .started_ms = jc_now_ms (),
                                   .certain = exchange->software != 0 };

  if (!start.certain)
    {
      start.software = exchange->target_software;
      start.endpoint_tag = exchange->target_tag;
    }
  if (exchange->stream != 0)
    starts_record (exchange->router, &start);
}

/* Bytes of the answer to EXCHANGE's current attempt have come.  If it isn't
   certain which process sent them, ask it.  */
void
resumptions_note_heard (struct exchange *exchange)
{
  struct target_process process;
  uint64_t incarnation;

  if (exchange->remote || exchange->call == NULL)
    return;
  exchange->process_since_us = jc_httpc_call_since_us (exchange->call);
  exchange->process_heard_us = jc_now_us ();
  if (!is_resumable (exchange)
      || (exchange->software != 0 && !exchange->unproven_attempt))
    return;
  process = exchange_process (exchange);
  if (process_software (exchange->router, &process) == 0
      && !process_is_identified (exchange->router, &process, &incarnation))
    identities_ask (exchange->router, process.address);
}

/* The first event of EXCHANGE's answer is about to be passed on: record which
   version began the stream.  Another instance does so where it is the one that
   sent the request to the endpoint.  */
void
resumptions_note_begin (struct exchange *exchange)
{
  const char *software
      = jc_head_field (&exchange->answer_head, HEADER_SOFTWARE);

  if (!is_resumable (exchange))
    return;
  if (exchange->remote)
    {
      if (exchange->software == 0 && software != NULL)
        exchange->software = g_ascii_strtoull (software, NULL, HEXADECIMAL);
      return;
    }
  if (exchange->software == 0)
    {
      exchange->software = certain_software (exchange);
      if (exchange->software == 0)
        g_ptr_array_add (exchange->router->unproven, exchange);
    }
  record_start (exchange);
}

/* Return whether the events of EXCHANGE's current attempt may be passed on:
   they are shown to be of the version that began the stream.  If they aren't,
   call exchange_flush_held once they are.  */
bool
resumptions_may_pass (struct exchange *exchange)
{
  if (!exchange->unproven_attempt)
    return true;
  if (certain_software (exchange) == exchange->software)
    {
      exchange->unproven_attempt = false;
      g_ptr_array_remove (exchange->router->unproven, exchange);
      return true;
    }
  if (!g_ptr_array_find (exchange->router->unproven, exchange, NULL))
    {
      exchange->held_since_ms = jc_now_ms ();
      g_ptr_array_add (exchange->router->unproven, exchange);
    }
  return false;
}

/* Return whether the events that EXCHANGE holds can't be shown any more to be
   of the right version.  */
bool
resumptions_cannot_prove (const struct exchange *exchange)
{
  return jc_endpoints_find_by_tag (exchange->router->endpoints,
                                   exchange->target_tag)
             == NULL
         || jc_now_ms () - exchange->held_since_ms > HELD_MAX_MS;
}

static void
left_start_free (gpointer data)
{
  struct left_start *left = data;

  g_free (left->name);
  g_free (left->address);
  g_free (left);
}

/* Keep the start of EXCHANGE's stream until the version that began it is
   certain.  */
static void
keep_start (const struct exchange *exchange)
{
  struct left_start *left = g_new0 (struct left_start, 1);

  left->name = g_strdup (exchange->target_name);
  left->address = g_strdup (exchange->target_address);
  left->process = exchange_process (exchange);
  left->process.name = left->name;
  left->process.address = left->address;
  left->stream = exchange->stream;
  left->started_ms = jc_now_ms ();
  g_ptr_array_add (exchange->router->left_starts, left);
}

/* Record the starts of streams without an exchange whose version has become
   certain, and forget those for which that took too long.  */
static void
check_left_starts (struct router *router)
{
  for (guint i = router->left_starts->len; i > 0; i--)
    {
      const struct left_start *left
          = g_ptr_array_index (router->left_starts, i - 1);
      const struct jc_stream_start start
          = { .stream = left->stream,
              .software = process_software (router, &left->process),
              .started_ms = left->started_ms,
              .certain = true };

      if (start.software != 0)
        starts_record (router, &start);
      if (start.software != 0 || jc_now_ms () - left->started_ms > LEFT_MAX_MS)
        g_ptr_array_remove_index_fast (router->left_starts, i - 1);
    }
}

/* EXCHANGE's current attempt has ended: if the version that began its stream is
   not certain now, it may become so later.  */
void
resumptions_attempt_ended (struct exchange *exchange)
{
  if (!g_ptr_array_remove (exchange->router->unproven, exchange)
      || exchange->software != 0)
    return;
  exchange->software = certain_software (exchange);
  if (exchange->software != 0)
    record_start (exchange);
  else if (exchange->stream != 0)
    keep_start (exchange);
}

/* EXCHANGE ends: forget it.  */
void
resumptions_forget (struct exchange *exchange)
{
  versionsearch_forget (exchange);
  resumptions_attempt_ended (exchange);
}

/* CONN came up: ask a state instance for versions, and send it the starts that
   it holds.  */
void
resumptions_conn_up (struct router *router, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_VERSIONS_FOLLOW };

  if (strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  jc_rpc_send (conn, &packet);
  starts_conn_up (router, conn);
}

/* Check again what is not certain yet: versions that began streams, and events
   that are held.  */
void
resumptions_check (struct router *router)
{
  GPtrArray *unproven = g_ptr_array_copy (router->unproven, NULL, NULL);

  for (guint i = 0; i < unproven->len; i++)
    {
      struct exchange *exchange = g_ptr_array_index (unproven, i);

      if (exchange->unproven_attempt)
        exchange_flush_held (exchange);
      else if ((exchange->software = certain_software (exchange)) != 0)
        {
          g_ptr_array_remove (router->unproven, exchange);
          record_start (exchange);
        }
    }
  g_ptr_array_free (unproven, TRUE);
  check_left_starts (router);
}

/* Apply the versions in PACKET, which CONN sent; messages of others than state
   instances are ignored.  */
void
resumptions_handle_packet (struct router *router, struct jc_rpc_conn *conn,
                           const struct rpc_packet *packet)
{
  const struct rpc_body *body = &packet->body;
  const struct rpc_endpoint_versions *reported
      = &body->rpc_body_u.endpoint_versions;

  if (strcmp (jc_rpc_conn_role (conn), "state") != 0)
    return;
  if (body->type == RPC_VERSIONS
      && jc_versions_update (router->versions, &body->rpc_body_u.versions))
    jc_event (JC_EVENT_VERSION, "position=%" PRIu64 " versions=%u from=%s",
              body->rpc_body_u.versions.position,
              body->rpc_body_u.versions.list.list_len, jc_rpc_conn_name (conn));
  if (body->type == RPC_FLEET)
    resumptions_check (router);
  if (body->type == RPC_ENDPOINT_VERSIONS)
    for (u_int i = 0; i < reported->list.list_len; i++)
      jc_endpoints_set_software (router->endpoints,
                                 &reported->list.list_val[i]);
}

/* Search again where that is due, and check what is not certain yet: the
   reports that could prove it may have stopped coming.  */
void
resumptions_tick (struct router *router)
{
  resumptions_check (router);
  versionsearch_tick (router);
  identities_tick (router);
  jc_stream_starts_expire (router->starts, jc_now_ms ());
}

/* Start the module.  */
void
resumptions_start (struct router *router)
{
  router->versions = jc_versions_new ();
  router->unproven = g_ptr_array_new ();
  router->unsearched = g_ptr_array_new ();
  router->left_starts = g_ptr_array_new_with_free_func (left_start_free);
  identities_start (router);
  starts_start (router);
}

/* Stop the module.  */
void
resumptions_stop (struct router *router)
{
  starts_stop (router);
  identities_stop (router);
  g_ptr_array_free (router->left_starts, TRUE);
  jc_versions_free (router->versions);
  g_ptr_array_free (router->unproven, TRUE);
  g_ptr_array_free (router->unsearched, TRUE);
}
