/* An idempotent request of a caller.  Carries out what the state machine
   jc_request decides: attempts at local endpoints or in another region, and
   the answer to the caller.  */

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/entry.h"
#include "entry/handover.h"
#include "entry/spillover.h"
#include "net/program.h"
#include "serve/request.h"

enum
{
  CONNECT_MS = 1000,
  ANSWER_PAUSE_MAX_MS = 15000,
  RETRY_AFTER_MIN_MS = 1000,
  STREAM_HIGH_WATER_BYTES = 256 * 1024,
  REMOTE_STREAM_MAX_BYTES = 4 * 1024 * 1024,
  ANSWER_TYPICAL_BYTES = 4096,
  COLD_CACHE_DIVISOR = 4
};

/* A request and its current attempt.  MACHINE decides; CALL is the attempt at
   an endpoint of this region, RUN its record in the latency predictor, HANDOVER
   the attempt in another region, reached by REMOTE_TARGET.  At most one of CALL
   and HANDOVER is set.  ATTEMPT_REGION is where the current attempt runs.
   AFFINITY is a hash of the start of the body, 0 if its service has no
   engines.  PAUSED means that CALL is not read because the caller is slower.
   SEND_TO_REMOTE means that the next attempt goes to REMOTE_TARGET,
   SENT_TO_REMOTE that one went there: a request is handed over at most
   once.  */
struct request
{
  const struct handler_class *klass;
  struct entry *entry;
  struct jc_http_req *req;
  struct jc_request machine;
  struct ticket ticket;
  char *path;
  uint64_t affinity;
  int64_t started_ms;
  int64_t attempt_started_ms;
  char *route;
  struct jc_httpc_call *call;
  struct handover *handover;
  struct spillover_target remote_target;
  char *attempt_region;
  struct jc_predict_attempt run;
  bool head_received;
  bool resumed;
  bool paused;
  bool send_to_remote;
  bool sent_to_remote;
};

static struct jc_endpoint *
request_endpoint (const struct request *request)
{
  return jc_endpoints_find (request->entry->members, request->run.name);
}

/* Report the end of the local attempt to the latency predictor.  Does nothing
   if no attempt is under way.  */
static void
attempt_finish (struct request *request, enum jc_run_end how)
{
  if (request->run.name == NULL)
    return;
  jc_predict_finish (request->entry->policy.predict, request_endpoint (request),
                     &request->run, how, jc_now_ms ());
}

static void
request_free (struct request *request)
{
  attempt_finish (request, JC_RUN_ABORTED);
  request->entry->in_flight--;
  jc_request_clear (&request->machine);
  admission_release (request->entry, &request->ticket);
  g_free (request->path);
  g_free (request->route);
  g_free (request->attempt_region);
  g_free (request);
}

static void
request_count (const struct request *request, enum jc_status status)
{
  char *labels = g_strdup_printf ("product=\"%s\",status=\"%s\"",
                                  request->ticket.waiter.product,
                                  jc_status_name (status));
  char *product
      = g_strdup_printf ("product=\"%s\"", request->ticket.waiter.product);
  int64_t elapsed_ms = jc_now_ms () - request->started_ms;

  jc_metrics_counter_add (request->entry->metrics, "jaycove_requests_total",
                          labels, 1);
  jc_metrics_observe (request->entry->metrics, "jaycove_request_ms", product,
                      (uint64_t)elapsed_ms);
  g_free (labels);
  g_free (product);
}

static void
call_on_header (void *ctx, struct jc_str name, struct jc_str value)
{
  struct request *request = ctx;

  if (jc_request_is_resume_header (name))
    request->resumed = jc_request_parse_resume_from (value)
                       == request->machine.delivered_events;
  if (jc_request_is_refusal_header (name, value))
    jc_request_note_refused (&request->machine,
                             request->machine.current_attempt);
}

static void
call_on_head (void *ctx, int http, const char *content_type)
{
  struct request *request = ctx;
  int64_t now = jc_now_ms ();

  request->head_received = true;
  jc_predict_first_byte (request->entry->policy.predict, &request->run, true,
                         now);
  jc_request_head (&request->machine, request->machine.current_attempt, http,
                   content_type, request->resumed, now);
}

static void
call_on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;
  struct jc_httpc_call *call = request->call;
  bool full
      = request->machine.answer_begun
        && jc_http_stream_buffered (request->req) > STREAM_HIGH_WATER_BYTES;

  if (full && !request->paused)
    {
      request->paused = true;
      jc_httpc_call_pause (call, true);
    }
  jc_request_data (&request->machine, request->machine.current_attempt, data,
                   jc_now_ms ());
}

static void
call_on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct request *request = ctx;
  int64_t now = jc_now_ms ();
  uint64_t attempt = request->machine.current_attempt;
  struct jc_attempt_end end = { .status = result->status,
                                .sent = result->sent,
                                .sent_again = result->sendings > 1,
                                .length_known = result->framed,
                                .message = result->message };
  enum jc_run_end how = result->status == JC_OK && result->http_status == 200
                            ? JC_RUN_COMPLETE
                            : JC_RUN_ABORTED;

  request->call = NULL;
  request->paused = false;
  if (!request->head_received && result->status == JC_TIMEOUT)
    {
      jc_predict_first_byte (request->entry->policy.predict, &request->run,
                             false, now);
      how = JC_RUN_LATE;
    }
  attempt_finish (request, how);
  jc_request_done (&request->machine, attempt, &end, now);
}

static const struct jc_httpc_call_ops call_ops = { .header = call_on_header,
                                                   .head = call_on_head,
                                                   .data = call_on_data,
                                                   .done = call_on_done };

/* Charge BYTES of the current hand-over to the product's share of the link.  */
static void
link_take (struct request *request, uint64_t bytes)
{
  struct entry *entry = request->entry;
  char *labels = g_strdup_printf ("product=\"%s\",region=\"%s\"",
                                  request->ticket.waiter.product,
                                  request->remote_target.region);

  jc_limits_link_spend (admission_limits (entry),
                        request->ticket.waiter.product,
                        request->remote_target.link, bytes);
  jc_metrics_counter_add (entry->metrics, "jaycove_away_bytes_total", labels,
                          bytes);
  g_free (labels);
}

static void
remote_on_head (void *ctx, const struct rpc_handover_head *head)
{
  struct request *request = ctx;

  jc_request_head (&request->machine, request->machine.current_attempt,
                   head->http_status, head->content_type, head->resumed,
                   jc_now_ms ());
}

/* A hand-over has no flow control back to the caller, so a caller that falls
   behind by REMOTE_STREAM_MAX_BYTES loses its stream.  */
static void
remote_on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;
  bool full
      = request->machine.answer_begun
        && jc_http_stream_buffered (request->req) > REMOTE_STREAM_MAX_BYTES;

  link_take (request, data.len);
  if (full)
    {
      const struct jc_attempt_end end = { .status = JC_OVERLOADED,
                                          .sent = true,
                                          .message = "The caller is slow." };

      handover_cancel (request->handover);
      request->handover = NULL;
      jc_request_done (&request->machine, request->machine.current_attempt,
                       &end, jc_now_ms ());
      return;
    }
  jc_request_data (&request->machine, request->machine.current_attempt, data,
                   jc_now_ms ());
}

static void
remote_on_done (void *ctx, const struct jc_attempt_end *end)
{
  struct request *request = ctx;

  request->handover = NULL;
  jc_request_done (&request->machine, request->machine.current_attempt, end,
                   jc_now_ms ());
}

static const struct handover_ops remote_ops = { .head = remote_on_head,
                                                .data = remote_on_data,
                                                .done = remote_on_done };

/* Set REMOTE_TARGET and return true if another region should serve REQUEST.
   LOCAL_IS_LATE means that this region can't serve it in time, even if the
   prediction says otherwise.  */
static bool
find_remote_target (struct request *request, bool local_is_late)
{
  struct entry *entry = request->entry;
  const struct jc_product *product = jc_config_find (
      entry->config, JC_OBJECT_PRODUCT, request->ticket.waiter.product);
  const struct jc_route *route
      = jc_config_find (entry->config, JC_OBJECT_ROUTE, request->route);
  int64_t left_ms = request->machine.deadline_ms - jc_now_ms ();
  int64_t local_ms = admission_completion_ms (entry, &request->ticket);
  int64_t service_ms = admission_service_ms (entry, &request->ticket);
  struct spillover_request spillover = { .product = product, .route = route };

  if (request->sent_to_remote || product == NULL || route == NULL)
    return false;
  if (local_is_late && local_ms >= 0)
    local_ms = MAX (local_ms, left_ms + 1);
  spillover.query = (struct jc_spillover_query){
    .time_left_ms = left_ms,
    .local_finish_ms = local_ms,
    .service_ms = service_ms,
    .cold_cache_ms
    = request->affinity != 0 ? service_ms / COLD_CACHE_DIVISOR : 0,
    .transfer_bytes = jc_http_body (request->req).len + ANSWER_TYPICAL_BYTES
  };
  return spillover_choose (entry, &spillover, NULL, NULL,
                           &request->remote_target);
}

static enum jc_status
pick_remote_target (struct request *request, struct jc_attempt_target *target)
{
  request->send_to_remote = false;
  request->sent_to_remote = true;
  target->name = jc_rpc_conn_name (request->remote_target.conn);
  target->is_remote = true;
  return JC_OK;
}

/* Set TARGET to the target of the next attempt: an endpoint that was not tried
   yet, else any endpoint; another region if that was decided before or no
   endpoint here serves the route.  Return JC_NO_ENDPOINT if there is none.  */
static enum jc_status
request_pick (void *ctx, const struct jc_request *machine, int64_t now_ms,
              struct jc_attempt_target *target)
{
  struct request *request = ctx;
  struct entry *entry = request->entry;
  GPtrArray *all = g_ptr_array_new ();
  GPtrArray *untried = g_ptr_array_new ();
  struct jc_endpoint *endpoint;

  jc_endpoints_list_serving (entry->members, request->ticket.service,
                             request->ticket.model, now_ms, all);
  for (guint i = 0; i < all->len; i++)
    {
      endpoint = g_ptr_array_index (all, i);
      if (!jc_request_tried (machine, endpoint->name))
        g_ptr_array_add (untried, endpoint);
    }
  endpoint = request->ticket.use_slow_endpoint
                 ? jc_policy_pick_slow (&entry->policy, untried, now_ms)
                 : NULL;
  request->ticket.use_slow_endpoint = false;
  if (endpoint == NULL)
    endpoint = jc_policy_pick (&entry->policy, untried->len > 0 ? untried : all,
                               request->affinity, now_ms);
  g_ptr_array_free (all, TRUE);
  g_ptr_array_free (untried, TRUE);
  if (request->send_to_remote
      || (endpoint == NULL && find_remote_target (request, true)))
    return pick_remote_target (request, target);
  if (endpoint == NULL)
    return jc_fail (JC_NO_ENDPOINT, "No endpoint serves this route.");
  target->name = endpoint->name;
  target->first_byte_peak_ms
      = jc_predict_first_byte_peak_ms (entry->policy.predict, endpoint);
  return JC_OK;
}

static bool
request_may_retry (void *ctx, int64_t now_ms)
{
  struct request *request = ctx;

  (void)now_ms;
  return admission_take_retry (request->entry, &request->ticket);
}

static void
request_call (struct request *request, const struct jc_endpoint *endpoint,
              const struct jc_attempt *attempt)
{
  const char *type = jc_http_header (request->req, "Content-Type");
  char *url = g_strconcat ("http://", endpoint->address, request->path, NULL);
  char *header = g_strconcat (
      "Content-Type: ", type != NULL ? type : "application/json", NULL);
  char *resume = g_strdup_printf ("X-Resume-From: %" G_GUINT64_FORMAT,
                                  attempt->resume_from);
  const char *headers[]
      = { header, attempt->resume_from > 0 ? resume : NULL, NULL };
  struct jc_httpc_call_spec spec
      = { .method = jc_http_method (request->req),
          .url = url,
          .headers = headers,
          .body = jc_http_body (request->req),
          .connect_timeout_ms = CONNECT_MS,
          .first_progress_ms = (long)attempt->first_byte_limit_ms,
          .progress_pause_ms = ANSWER_PAUSE_MAX_MS,
          .total_timeout_ms = (long)attempt->total_limit_ms,
          .own_connection = attempt->new_connection };

  request->call
      = jc_httpc_call_start (request->entry->httpc, &spec, &call_ops, request);
  g_free (url);
  g_free (header);
  g_free (resume);
}

static void
request_hand_over (struct request *request, const struct jc_attempt *attempt)
{
  const char *type = jc_http_header (request->req, "Content-Type");
  const struct handover_spec spec
      = { .product = request->ticket.waiter.product,
          .route = request->route,
          .method = jc_http_method (request->req),
          .path = request->path,
          .content_type = type != NULL ? type : "application/json",
          .body = jc_http_body (request->req),
          .attempt = attempt };
  const struct jc_attempt_end unsent
      = { .status = JC_UNREACHABLE, .message = "No way to the region." };

  request->handover = handover_send (
      request->entry, request->remote_target.conn, &spec, &remote_ops, request);
  if (request->handover != NULL)
    link_take (request, spec.body.len);
  else
    jc_request_done (&request->machine, attempt->id, &unsent, jc_now_ms ());
}

static void
request_start_attempt (void *ctx, const struct jc_attempt *attempt)
{
  struct request *request = ctx;
  struct jc_endpoint *endpoint;

  request->head_received = false;
  request->resumed = false;
  request->attempt_started_ms = jc_now_ms ();
  g_free (request->attempt_region);
  request->attempt_region
      = g_strdup (attempt->target.is_remote ? request->remote_target.region
                                            : request->entry->settings->region);
  if (attempt->target.is_remote)
    {
      request_hand_over (request, attempt);
      return;
    }
  endpoint = jc_endpoints_find (request->entry->members, attempt->target.name);
  jc_predict_start (request->entry->policy.predict, endpoint,
                    request->attempt_started_ms, &request->run);
  request_call (request, endpoint, attempt);
}

static void
request_cancel (void *ctx, uint64_t attempt)
{
  struct request *request = ctx;

  (void)attempt;
  if (request->call != NULL)
    jc_httpc_call_cancel (request->call);
  if (request->handover != NULL)
    handover_cancel (request->handover);
  request->call = NULL;
  request->handover = NULL;
  request->paused = false;
  attempt_finish (request, JC_RUN_ABORTED);
}

static void
request_note_failure (void *ctx, const char *name, bool sent, int64_t now_ms)
{
  struct request *request = ctx;

  if (jc_endpoints_find (request->entry->members, name) == NULL)
    return;
  if (sent)
    jc_predict_note_timeout (request->entry->policy.predict, name,
                             request->attempt_started_ms, now_ms);
  else
    jc_predict_note_unreachable (request->entry->policy.predict, name, now_ms);
}

static void
request_begin (void *ctx, int http, const char *content_type)
{
  struct request *request = ctx;
  struct jc_http_header headers[]
      = { { "X-Jaycove-Region", request->attempt_region }, { NULL, NULL } };

  jc_http_stream_begin (request->req, http, content_type, headers);
}

static void
request_write (void *ctx, struct jc_str data)
{
  struct request *request = ctx;

  jc_http_stream_write (request->req, data);
}

static void
request_answer (void *ctx, int http, const char *content_type,
                struct jc_str body)
{
  struct request *request = ctx;
  const GPtrArray *tried = request->machine.tried_names;
  struct jc_http_header headers[]
      = { { "X-Jaycove-Endpoint", g_ptr_array_index (tried, tried->len - 1) },
          { "X-Jaycove-Region", request->attempt_region },
          { NULL, NULL } };

  request_count (request, JC_OK);
  jc_http_reply (request->req, http, content_type, body, headers);
  request_free (request);
}

static void
request_end (void *ctx)
{
  struct request *request = ctx;

  request_count (request, JC_OK);
  jc_http_stream_end (request->req, true);
  request_free (request);
}

/* End the stream of REQUEST with an error event, so that the caller can't take
   what it got for a whole answer.  */
static void
request_end_with_error (struct request *request, enum jc_status status)
{
  const struct jc_status_info *row = jc_status_info (status);
  char *event = g_strdup_printf (
      "event: error\ndata: {\"error\":{\"kind\":\"%s\",\"run\":\"%s\","
      "\"retry\":\"%s\"}}\n\n",
      row->name, jc_run_state_name (row->run), jc_retry_rule_name (row->retry));

  jc_http_stream_write (request->req, jc_str_from_cstr (event));
  jc_http_stream_end (request->req, false);
  g_free (event);
}

/* End REQUEST with the error STATUS and free it.  If the answer has not begun,
   the caller is told to retry after RETRY_AFTER_MS.  */
static void
request_refuse (struct request *request, enum jc_status status,
                const char *message, int64_t retry_after_ms)
{
  request_count (request, status);
  if (request->machine.answer_begun)
    request_end_with_error (request, status);
  else
    jc_http_fail (request->req, status, message,
                  (unsigned int)MAX (retry_after_ms, RETRY_AFTER_MIN_MS));
  request_free (request);
}

static void
request_fail (void *ctx, enum jc_status status, const char *message)
{
  struct request *request = ctx;

  request_refuse (request, status, message,
                  admission_backlog_ms (request->entry, &request->ticket));
}

static const struct jc_request_ops request_ops
    = { .pick = request_pick,
        .may_retry = request_may_retry,
        .start = request_start_attempt,
        .cancel = request_cancel,
        .note_failure = request_note_failure,
        .begin = request_begin,
        .write = request_write,
        .answer = request_answer,
        .end = request_end,
        .fail = request_fail };

static void
request_on_caller_closed (void *work)
{
  struct request *request = work;

  request_count (request, JC_CANCELLED);
  jc_request_caller_left (&request->machine);
  request_free (request);
}

/* The caller has read what was buffered for it: read the endpoint's answer
   again.  */
static void
request_on_caller_writable (void *work)
{
  struct request *request = work;

  if (!request->paused || request->call == NULL)
    return;
  request->paused = false;
  jc_httpc_call_pause (request->call, false);
}

static const struct handler_class request_class
    = { .caller_closed = request_on_caller_closed,
        .caller_writable = request_on_caller_writable };

static struct request *
ticket_request (struct ticket *ticket)
{
  return (struct request *)((char *)ticket - offsetof (struct request, ticket));
}

static void
request_on_admitted (struct ticket *ticket)
{
  jc_request_start (&ticket_request (ticket)->machine, jc_now_ms ());
}

/* Admission refused the request.  If this region is only too busy, it goes to
   another region that can serve it in time; else it fails with STATUS, MESSAGE
   and RETRY_AFTER_MS.  */
static void
request_on_refused (struct ticket *ticket, enum jc_status status,
                    const char *message, int64_t retry_after_ms)
{
  struct request *request = ticket_request (ticket);
  bool too_busy = status == JC_DEADLINE_UNMEETABLE || status == JC_OVERLOADED;
  /* MESSAGE may be that of jc_last_message, which a jc_fail overwrites.  */
  char *message_copy = g_strdup (message);

  request->send_to_remote = too_busy && find_remote_target (request, true);
  if (request->send_to_remote)
    jc_request_start (&request->machine, jc_now_ms ());
  else
    request_refuse (request, status, message_copy, retry_after_ms);
  g_free (message_copy);
}

static const struct ticket_class request_ticket_class
    = { .run = request_on_admitted, .refuse = request_on_refused };

/* Serve the idempotent request of SPEC, whose body was read: admit it, run it
   with retries and answer the caller.  The request frees itself once it is
   answered or its caller is gone.  */
void
request_start (struct entry *entry, const struct request_spec *spec)
{
  struct request *request = g_new0 (struct request, 1);
  const struct jc_service *service
      = jc_config_find (entry->config, JC_OBJECT_SERVICE, spec->route->service);
  struct jc_str body = jc_http_body (spec->req);

  request->klass = &request_class;
  request->ticket.klass = &request_ticket_class;
  request->entry = entry;
  request->req = spec->req;
  request->path = g_strdup (spec->path);
  request->route = g_strdup (spec->route->name);
  if (service != NULL && service->engine)
    request->affinity = jc_policy_affinity (body.data, body.len);
  request->started_ms = jc_now_ms ();
  entry->in_flight++;
  jc_http_set_data (spec->req, request);
  jc_request_init (&request->machine, &request_ops, request, spec->deadline_ms);
  admission_offer (entry, spec, &request->ticket);
}
