/* A caller's request: carries the effects of its attempts.  */

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/spillover.h"
#include "entry/entry.h"
#include "entry/handover.h"
#include "net/program.h"
#include "serve/request.h"

#define PART "request"
#define RESUME_HEADER "X-Resume-From"

enum
{
  CONNECT_MS = 1000,
  IDLE_MS = 15000,
  RETRY_AFTER_LEAST_MS = 1000,
  STREAM_HIGH_BYTES = 256 * 1024,
  AWAY_STREAM_MAX_BYTES = 4 * 1024 * 1024,
  ANSWER_USUAL_BYTES = 4096,
  COLD_SHARE = 4
};

/* A request and its current attempt.  */
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
  int64_t attempt_ms;
  char *route;
  struct jc_call *call;
  struct handover *handover;
  struct spillover_target choice;
  char *region;
  struct jc_run run;
  bool heard;
  bool resumed;
  bool paused;
  bool go_away;
  bool went_away;
};

static struct jc_endpoint *
request_endpoint (const struct request *request)
{
  return jc_endpoints_find (request->entry->members, request->run.name);
}

/* The current attempt is over.  */
static void
attempt_over (struct request *request, enum jc_run_end how)
{
  if (request->run.name == NULL)
    return;
  jc_predict_finish (request->entry->policy.predict, request_endpoint (request),
                     &request->run, how, jc_now_ms ());
}

static void
request_free (struct request *request)
{
  attempt_over (request, JC_RUN_ABORTED);
  request->entry->in_flight--;
  jc_request_clear (&request->machine);
  admission_release (request->entry, &request->ticket);
  g_free (request->path);
  g_free (request->route);
  g_free (request->region);
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
  int64_t took = jc_now_ms () - request->started_ms;

  jc_metrics_count (request->entry->metrics, "jaycove_requests_total", labels,
                    1);
  jc_metrics_observe (request->entry->metrics, "jaycove_request_ms", product,
                      (uint64_t)took);
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
}

static void
call_on_head (void *ctx, int http, const char *content_type)
{
  struct request *request = ctx;
  int64_t now = jc_now_ms ();

  request->heard = true;
  jc_predict_first_byte (request->entry->policy.predict, &request->run, true,
                         now);
  jc_request_head (&request->machine, request->machine.current_attempt, http,
                   content_type, request->resumed, now);
}

static void
call_on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;
  struct jc_call *call = request->call;
  bool full = request->machine.answer_begun
              && jc_http_stream_buffered (request->req) > STREAM_HIGH_BYTES;

  if (full && !request->paused)
    {
      request->paused = true;
      jc_call_pause (call, true);
    }
  jc_request_data (&request->machine, request->machine.current_attempt, data,
                   jc_now_ms ());
}

static void
call_on_done (void *ctx, const struct jc_call_result *result)
{
  struct request *request = ctx;
  int64_t now = jc_now_ms ();
  uint64_t attempt = request->machine.current_attempt;
  struct jc_attempt_end end = { .status = result->status,
                                .sent = result->sent,
                                .length_known = result->framed,
                                .message = result->message };
  enum jc_run_end how = result->status == JC_OK && result->http == 200
                            ? JC_RUN_COMPLETE
                            : JC_RUN_ABORTED;

  request->call = NULL;
  request->paused = false;
  if (!request->heard && result->status == JC_TIMEOUT)
    {
      jc_predict_first_byte (request->entry->policy.predict, &request->run,
                             false, now);
      how = JC_RUN_LATE;
    }
  attempt_over (request, how);
  jc_request_done (&request->machine, attempt, &end, now);
}

static const struct jc_call_ops call_ops = { .header = call_on_header,
                                             .head = call_on_head,
                                             .data = call_on_data,
                                             .done = call_on_done };

/* Take BYTES over the link of the current hand-over from its budget.  */
static void
away_take (struct request *request, uint64_t bytes)
{
  struct entry *entry = request->entry;
  char *labels = g_strdup_printf ("product=\"%s\",region=\"%s\"",
                                  request->ticket.waiter.product,
                                  request->choice.region);

  jc_limits_link_spend (admission_limits (entry),
                        request->ticket.waiter.product, request->choice.link,
                        bytes);
  jc_metrics_count (entry->metrics, "jaycove_away_bytes_total", labels, bytes);
  g_free (labels);
}

static void
away_on_head (void *ctx, const struct rpc_handover_head *head)
{
  struct request *request = ctx;

  jc_request_head (&request->machine, request->machine.current_attempt,
                   head->http_status, head->content_type, head->resumed,
                   jc_now_ms ());
}

static void
away_on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;
  bool full = request->machine.answer_begun
              && jc_http_stream_buffered (request->req) > AWAY_STREAM_MAX_BYTES;

  away_take (request, data.len);
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
away_on_done (void *ctx, const struct jc_attempt_end *end)
{
  struct request *request = ctx;

  request->handover = NULL;
  jc_request_done (&request->machine, request->machine.current_attempt, end,
                   jc_now_ms ());
}

static const struct handover_ops away_ops
    = { .head = away_on_head, .data = away_on_data, .done = away_on_done };

/* Find out whether REQUEST goes to another region, and where.  LATE tells
   that it can't be served here in time whatever was predicted.  */
static bool
request_away (struct request *request, bool late)
{
  struct entry *entry = request->entry;
  const struct jc_product *product = jc_config_find (
      entry->config, JC_OBJECT_PRODUCT, request->ticket.waiter.product);
  const struct jc_route *route
      = jc_config_find (entry->config, JC_OBJECT_ROUTE, request->route);
  int64_t left = request->machine.deadline_ms - jc_now_ms ();
  int64_t here = admission_completion_ms (entry, &request->ticket);
  int64_t service = admission_service_ms (entry, &request->ticket);
  struct spillover_request ask = { .product = product, .route = route };

  if (request->went_away || product == NULL || route == NULL)
    return false;
  if (late && here >= 0)
    here = MAX (here, left + 1);
  ask.query = (struct jc_spillover_query){
    .time_left_ms = left,
    .local_finish_ms = here,
    .service_ms = service,
    .cold_cache_ms = request->affinity != 0 ? service / COLD_SHARE : 0,
    .transfer_bytes = jc_http_body (request->req).len + ANSWER_USUAL_BYTES
  };
  return spillover_choose (entry, &ask, NULL, NULL, &request->choice);
}

static enum jc_status
pick_away (struct request *request, struct jc_attempt_target *target)
{
  request->go_away = false;
  request->went_away = true;
  target->name = jc_rpc_conn_name (request->choice.conn);
  target->is_remote = true;
  return JC_OK;
}

static enum jc_status
request_pick (void *ctx, const struct jc_request *machine, int64_t now_ms,
              struct jc_attempt_target *target)
{
  struct request *request = ctx;
  struct entry *entry = request->entry;
  GPtrArray *all = g_ptr_array_new ();
  GPtrArray *fresh = g_ptr_array_new ();
  struct jc_endpoint *endpoint;

  jc_endpoints_list_serving (entry->members, request->ticket.service,
                             request->ticket.model, now_ms, all);
  for (guint i = 0; i < all->len; i++)
    {
      endpoint = g_ptr_array_index (all, i);
      if (!jc_request_tried (machine, endpoint->name))
        g_ptr_array_add (fresh, endpoint);
    }
  endpoint = request->ticket.use_slow_endpoint
                 ? jc_policy_pick_slow (&entry->policy, fresh, now_ms)
                 : NULL;
  request->ticket.use_slow_endpoint = false;
  if (endpoint == NULL)
    endpoint = jc_policy_pick (&entry->policy, fresh->len > 0 ? fresh : all,
                               request->affinity, now_ms);
  g_ptr_array_free (all, TRUE);
  g_ptr_array_free (fresh, TRUE);
  if (request->go_away || (endpoint == NULL && request_away (request, true)))
    return pick_away (request, target);
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
  struct jc_call_spec spec = { .method = jc_http_method (request->req),
                               .url = url,
                               .headers = headers,
                               .body = jc_http_body (request->req),
                               .connect_ms = CONNECT_MS,
                               .first_ms = (long)attempt->first_byte_limit_ms,
                               .pause_ms = IDLE_MS,
                               .total_ms = (long)attempt->total_limit_ms,
                               .fresh = attempt->new_connection };

  request->call
      = jc_call_start (request->entry->httpc, &spec, &call_ops, request);
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

  request->handover = handover_send (request->entry, request->choice.conn,
                                     &spec, &away_ops, request);
  if (request->handover != NULL)
    away_take (request, spec.body.len);
  else
    jc_request_done (&request->machine, attempt->id, &unsent, jc_now_ms ());
}

static void
request_attempt (void *ctx, const struct jc_attempt *attempt)
{
  struct request *request = ctx;
  struct jc_endpoint *endpoint;

  request->heard = false;
  request->resumed = false;
  request->attempt_ms = jc_now_ms ();
  g_free (request->region);
  request->region
      = g_strdup (attempt->target.is_remote ? request->choice.region
                                            : request->entry->settings->region);
  if (attempt->target.is_remote)
    {
      request_hand_over (request, attempt);
      return;
    }
  endpoint = jc_endpoints_find (request->entry->members, attempt->target.name);
  jc_predict_start (request->entry->policy.predict, endpoint,
                    request->attempt_ms, &request->run);
  request_call (request, endpoint, attempt);
}

static void
request_cancel (void *ctx, uint64_t attempt)
{
  struct request *request = ctx;

  (void)attempt;
  if (request->call != NULL)
    jc_call_cancel (request->call);
  if (request->handover != NULL)
    handover_cancel (request->handover);
  request->call = NULL;
  request->handover = NULL;
  request->paused = false;
  attempt_over (request, JC_RUN_ABORTED);
}

static void
request_avoid (void *ctx, const char *name, bool sent, int64_t now_ms)
{
  struct request *request = ctx;

  if (jc_endpoints_find (request->entry->members, name) == NULL)
    return;
  if (sent)
    jc_predict_note_timeout (request->entry->policy.predict, name,
                             request->attempt_ms, now_ms);
  else
    jc_predict_note_unreachable (request->entry->policy.predict, name, now_ms);
}

static void
request_begin (void *ctx, int http, const char *content_type)
{
  struct request *request = ctx;
  struct jc_http_header headers[]
      = { { "X-Jaycove-Region", request->region }, { NULL, NULL } };

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
          { "X-Jaycove-Region", request->region },
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

/* End the stream of REQUEST with an error that the caller can tell from an
   answer.  */
static void
request_break (struct request *request, enum jc_status status)
{
  const struct jc_status_row *row = jc_status_row (status);
  char *event = g_strdup_printf (
      "event: error\ndata: {\"error\":{\"kind\":\"%s\",\"run\":\"%s\","
      "\"retry\":\"%s\"}}\n\n",
      row->name, jc_run_state_name (row->run), jc_retry_rule_name (row->retry));

  jc_http_stream_write (request->req, jc_str_from (event));
  jc_http_stream_end (request->req, false);
  g_free (event);
}

/* Give up on REQUEST at once and say when to come again.  */
static void
request_refuse (struct request *request, enum jc_status status,
                const char *message, int64_t retry_after_ms)
{
  request_count (request, status);
  if (request->machine.answer_begun)
    request_break (request, status);
  else
    jc_http_fail (request->req, status, message,
                  (unsigned int)MAX (retry_after_ms, RETRY_AFTER_LEAST_MS));
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
        .start = request_attempt,
        .cancel = request_cancel,
        .note_failure = request_avoid,
        .begin = request_begin,
        .write = request_write,
        .answer = request_answer,
        .end = request_end,
        .fail = request_fail };

static void
request_gone (void *work)
{
  struct request *request = work;

  request_count (request, JC_CANCELLED);
  jc_request_caller_left (&request->machine);
  request_free (request);
}

/* The caller took what was buffered for it.  */
static void
request_room (void *work)
{
  struct request *request = work;

  if (!request->paused || request->call == NULL)
    return;
  request->paused = false;
  jc_call_pause (request->call, false);
}

static const struct handler_class request_class
    = { .caller_closed = request_gone, .caller_writable = request_room };

static struct request *
ticket_request (struct ticket *ticket)
{
  return (struct request *)((char *)ticket - offsetof (struct request, ticket));
}

static void
request_run (struct ticket *ticket)
{
  jc_request_start (&ticket_request (ticket)->machine, jc_now_ms ());
}

/* A request that this region can't serve in time goes to another one where
   that can, else it is refused at once.  */
static void
request_not_admitted (struct ticket *ticket, enum jc_status status,
                      const char *message, int64_t retry_after_ms)
{
  struct request *request = ticket_request (ticket);
  bool full = status == JC_DEADLINE_UNMEETABLE || status == JC_OVERLOADED;
  char *said = g_strdup (message);

  request->go_away = full && request_away (request, true);
  if (request->go_away)
    jc_request_start (&request->machine, jc_now_ms ());
  else
    request_refuse (request, status, said, retry_after_ms);
  g_free (said);
}

static const struct ticket_class request_ticket_class
    = { .run = request_run, .refuse = request_not_admitted };

/* Serve the idempotent request of ORDER.  */
void
request_start (struct entry *entry, const struct request_spec *order)
{
  struct request *request = g_new0 (struct request, 1);
  const struct jc_service *service = jc_config_find (
      entry->config, JC_OBJECT_SERVICE, order->route->service);
  struct jc_str body = jc_http_body (order->req);

  request->klass = &request_class;
  request->ticket.klass = &request_ticket_class;
  request->entry = entry;
  request->req = order->req;
  request->path = g_strdup (order->path);
  request->route = g_strdup (order->route->name);
  if (service != NULL && service->engine)
    request->affinity = jc_policy_affinity (body.data, body.len);
  request->started_ms = jc_now_ms ();
  entry->in_flight++;
  jc_http_set_data (order->req, request);
  jc_request_init (&request->machine, &request_ops, request,
                   order->deadline_ms);
  admission_offer (entry, order, &request->ticket);
}
