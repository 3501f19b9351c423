/* A caller's request: its route, its attempts and its answer.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/entry.h"
#include "net/program.h"

#define PART "request"

enum
{
  ATTEMPTS_MAX = 3,
  CONNECT_MS = 1000,
  FIRST_BYTE_MS = 30000,
  IDLE_MS = 15000,
  RETRY_AFTER_MS = 1000
};

/* A request in flight and its current attempt.  */
struct request
{
  const struct work_class *klass;
  struct entry *entry;
  struct jc_http_req *req;
  char *product;
  char *service;
  char *model;
  char *path;
  bool idempotent;
  int64_t started_ms;
  int64_t deadline_ms;
  unsigned int attempts;
  char *endpoint;
  struct jc_call *call;
  GString *answer;
  char *content_type;
  int http;
  bool streaming;
};

static void request_attempt (struct request *request);

static void
request_free (struct request *request)
{
  struct entry *entry = request->entry;
  struct jc_endpoint *endpoint;

  if (request->call != NULL)
    {
      jc_call_cancel (request->call);
      endpoint = jc_members_find (entry->members, request->endpoint);
      if (endpoint != NULL && endpoint->in_flight > 0)
        endpoint->in_flight--;
    }
  entry->in_flight--;
  g_free (request->product);
  g_free (request->service);
  g_free (request->model);
  g_free (request->path);
  g_free (request->endpoint);
  g_free (request->content_type);
  g_string_free (request->answer, TRUE);
  g_free (request);
}

static void
request_count (const struct request *request, enum jc_status status)
{
  char *labels = g_strdup_printf ("product=\"%s\",status=\"%s\"",
                                  request->product, jc_status_name (status));
  char *product = g_strdup_printf ("product=\"%s\"", request->product);
  int64_t took = jc_now_ms () - request->started_ms;

  jc_metrics_count (request->entry->metrics, "jaycove_requests_total", labels,
                    1);
  jc_metrics_observe (request->entry->metrics, "jaycove_request_ms", product,
                      (uint64_t)took);
  g_free (labels);
  g_free (product);
}

static void
request_fail (struct request *request, enum jc_status status,
              const char *message)
{
  request_count (request, status);
  if (request->streaming)
    {
      char *event = g_strdup_printf ("event: error\ndata: {\"error\":{\"kind\":"
                                     "\"%s\",\"run\":\"unknown\"}}\n\n",
                                     jc_status_name (status));

      jc_http_stream_write (request->req, jc_str_from (event));
      jc_http_stream_end (request->req, false);
      g_free (event);
    }
  else
    jc_http_fail (request->req, status, message, RETRY_AFTER_MS);
  request_free (request);
}

static void
attempt_head (void *ctx, int http, const char *content_type)
{
  struct request *request = ctx;

  request->http = http;
  g_free (request->content_type);
  request->content_type = g_strdup (content_type);
  if (http != 200 || content_type == NULL
      || strncmp (content_type, "text/event-stream", 17) != 0)
    return;
  request->streaming = true;
  jc_http_stream_begin (request->req, http, content_type, NULL);
}

static void
attempt_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;

  if (request->streaming)
    {
      jc_http_stream_write (request->req, data);
      if (request->answer->len > 64)
        g_string_erase (request->answer, 0, (gssize)request->answer->len - 64);
    }
  g_string_append_len (request->answer, data.data, (gssize)data.len);
}

static void
request_answer (struct request *request)
{
  struct jc_http_header headers[]
      = { { "X-Jaycove-Endpoint", request->endpoint }, { NULL, NULL } };

  request_count (request, JC_OK);
  if (request->streaming)
    jc_http_stream_end (request->req, true);
  else
    jc_http_reply (request->req, request->http, request->content_type,
                   jc_str_of (request->answer), headers);
  request_free (request);
}

/* Decide after an attempt's end whether the answer is whole, another attempt
   is due, or the request failed.  */
static void
attempt_done (void *ctx, const struct jc_call_result *result)
{
  struct request *request = ctx;
  struct entry *entry = request->entry;
  struct jc_endpoint *endpoint
      = jc_members_find (entry->members, request->endpoint);
  bool whole = result->status == JC_OK && result->framed;

  request->call = NULL;
  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (request->streaming && strstr (request->answer->str, "[DONE]") == NULL)
    whole = false;
  if (whole)
    request_answer (request);
  else if (request->streaming)
    request_fail (request, JC_STREAM_BROKEN, "The stream broke.");
  else if (request->idempotent || !result->sent)
    request_attempt (request);
  else
    request_fail (request, JC_ENDPOINT_FAILED, result->message);
}

static void
request_call (struct request *request, const struct jc_endpoint *endpoint,
              int64_t left_ms)
{
  static const struct jc_call_ops ops
      = { .head = attempt_head, .data = attempt_data, .done = attempt_done };
  const char *type = jc_http_header (request->req, "Content-Type");
  char *url = g_strconcat ("http://", endpoint->address, request->path, NULL);
  char *header = g_strconcat (
      "Content-Type: ", type != NULL ? type : "application/json", NULL);
  const char *headers[] = { header, NULL };
  struct jc_call_spec spec = { .method = jc_http_method (request->req),
                               .url = url,
                               .headers = headers,
                               .body = jc_http_body (request->req),
                               .connect_ms = CONNECT_MS,
                               .first_byte_ms = FIRST_BYTE_MS,
                               .idle_ms = IDLE_MS,
                               .total_ms = (long)left_ms,
                               .fresh = !request->idempotent };

  request->call = jc_call_start (request->entry->httpc, &spec, &ops, request);
  g_free (url);
  g_free (header);
}

static void
request_attempt (struct request *request)
{
  struct entry *entry = request->entry;
  int64_t now = jc_now_ms ();
  GPtrArray *endpoints = g_ptr_array_new ();
  struct jc_endpoint *endpoint;

  jc_members_serving (entry->members, request->service, request->model, now,
                      endpoints);
  endpoint = jc_policy_pick (&entry->policy, endpoints, 0, now);
  g_ptr_array_free (endpoints, TRUE);
  if (now >= request->deadline_ms)
    request_fail (request, JC_DEADLINE_EXCEEDED, "The deadline has passed.");
  else if (endpoint == NULL)
    request_fail (request, JC_NO_ENDPOINT, "No endpoint serves this route.");
  else if (request->attempts >= ATTEMPTS_MAX)
    request_fail (request, JC_ENDPOINT_FAILED, "Every attempt failed.");
  else
    {
      request->attempts++;
      g_free (request->endpoint);
      request->endpoint = g_strdup (endpoint->name);
      endpoint->in_flight++;
      g_string_truncate (request->answer, 0);
      request_call (request, endpoint, request->deadline_ms - now);
    }
}

static void
request_gone (void *work)
{
  struct request *request = work;

  request_count (request, JC_CANCELLED);
  request_free (request);
}

static const struct work_class request_class = { .gone = request_gone };

/* Serve the idempotent request of ORDER.  */
void
request_start (struct entry *entry, const struct work_order *order)
{
  struct request *request = g_new0 (struct request, 1);

  request->klass = &request_class;
  request->entry = entry;
  request->req = order->req;
  request->product = g_strdup (order->product->name);
  request->service = g_strdup (order->route->service);
  request->model = g_strdup (order->route->model_version);
  request->path = g_strdup (order->path);
  request->idempotent = order->route->idempotent;
  request->answer = g_string_new (NULL);
  request->started_ms = jc_now_ms ();
  request->deadline_ms = order->deadline_ms;
  entry->in_flight++;
  jc_http_set_data (order->req, request);
  request_attempt (request);
}
