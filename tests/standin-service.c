/* Stand-in for a plain service: answers each request after a delay and counts
   executions by idempotency key.  */

#include <argtable2.h>
#include <stdio.h>

#include "tests/standin.h"

enum
{
  MS_PER_S = 1000,
  DELAY_DEFAULT_MS = 2
};

struct service
{
  struct standin standin;
  int delay_ms;
};

/* A running request.  RUN_NUMBER is the number of executions of its
   idempotency key so far, or 0 without a key.  */
struct execution
{
  struct service *service;
  struct jc_http_req *req;
  ev_timer timer;
  enum standin_fault fault;
  unsigned int run_number;
};

static void
execution_free (struct execution *execution)
{
  ev_timer_stop (execution->service->standin.loop, &execution->timer);
  execution->service->standin.running--;
  g_free (execution);
}

static void
execution_reply (struct execution *execution)
{
  const struct standin *standin = &execution->service->standin;
  struct jc_str body = jc_http_body (execution->req);
  json_t *request = json_loadb (body.data, body.len, 0, NULL);
  char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"endpoint\":\"%s\",\"mark\":\"%s\",\"bytes\":%zu,"
      "\"run\":%u}",
      standin->service, standin->name, standin_json_string (request, "mark"),
      body.len, execution->run_number);

  jc_http_reply (execution->req, 200, "application/json",
                 jc_str_from_cstr (text), NULL);
  json_decref (request);
  g_free (text);
}

static void
on_execution_done (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct execution *execution = watcher->data;

  (void)loop;
  (void)events;
  if (execution->fault == STANDIN_FAULT_SILENT)
    return;
  if (!standin_apply_fault (execution->fault, execution->req))
    execution_reply (execution);
  execution_free (execution);
}

static void
service_on_body (void *ctx, struct jc_http_req *req)
{
  struct service *service = ctx;
  enum standin_fault fault;
  struct execution *execution;
  int delay_ms = service->delay_ms;

  if (standin_handle_control (&service->standin, req))
    return;
  fault = standin_take_fault (&service->standin);
  if (fault == STANDIN_FAULT_REFUSE)
    {
      standin_apply_fault (fault, req);
      return;
    }
  if (fault == STANDIN_FAULT_DELAY)
    delay_ms += service->standin.fault_delay_ms;
  execution = g_new0 (struct execution, 1);
  execution->service = service;
  execution->req = req;
  execution->fault = fault;
  execution->run_number = standin_count_execution (&service->standin, req);
  service->standin.running++;
  jc_http_set_data (req, execution);
  ev_timer_init (&execution->timer, on_execution_done,
                 (double)delay_ms / MS_PER_S, 0);
  execution->timer.data = execution;
  ev_timer_start (service->standin.loop, &execution->timer);
}

static void
service_on_gone (void *ctx, struct jc_http_req *req)
{
  struct service *service = ctx;

  if (jc_http_data (req) == NULL)
    return;
  service->standin.cancelled++;
  execution_free (jc_http_data (req));
}

int
main (int argc, char **argv)
{
  static const struct jc_httpd_class klass
      = { .body = service_on_body, .peer_closed = service_on_gone };
  struct arg_int *delay = arg_int0 (NULL, "delay-ms", "N", "time per call");
  void *table[] = { delay };
  struct service service = { .standin.model = "" };

  if (!standin_parse_options (&service.standin, argc, argv, table, 1))
    return 2;
  service.delay_ms = delay->count > 0 ? delay->ival[0] : DELAY_DEFAULT_MS;
  standin_run (&service.standin, &klass, &service);
  return 0;
}
