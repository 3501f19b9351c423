/* Stand-in plain service that counts its executions by key.  */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standin.h"

enum
{
  MS_PER_S = 1000
};

/* The service and how often each key ran.  */
struct service
{
  struct standin standin;
  int delay_ms;
  GHashTable *runs;
};

/* An execution that takes its time.  */
struct execution
{
  struct service *service;
  struct jc_http_req *req;
  ev_timer timer;
  unsigned int count;
};

static void
execution_free (struct execution *execution)
{
  ev_timer_stop (execution->service->standin.loop, &execution->timer);
  execution->service->standin.running--;
  g_free (execution);
}

static void
on_executed (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct execution *execution = watcher->data;
  char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"endpoint\":\"%s\",\"bytes\":%zu,\"run\":%u}",
      execution->service->standin.service, execution->service->standin.name,
      jc_http_body (execution->req).len, execution->count);

  (void)loop;
  (void)events;
  jc_http_reply (execution->req, 200, "application/json", jc_str_from (text),
                 NULL);
  g_free (text);
  execution_free (execution);
}

static void
reply_counts (struct service *service, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_string_append_printf (out, "total %lu\n", service->standin.executions);
  g_hash_table_iter_init (&iter, service->runs);
  while (g_hash_table_iter_next (&iter, &key, &count))
    g_string_append_printf (out, "%s %u\n", (const char *)key,
                            GPOINTER_TO_UINT (count));
  jc_http_reply (req, 200, "text/plain", jc_str_of (out), NULL);
  g_string_free (out, TRUE);
}

static void
service_body (void *ctx, struct jc_http_req *req)
{
  struct service *service = ctx;
  const char *key = jc_http_header (req, "Idempotency-Key");
  struct execution *execution;

  if (strcmp (jc_http_path (req), "/counts") == 0)
    {
      reply_counts (service, req);
      return;
    }
  execution = g_new0 (struct execution, 1);
  execution->service = service;
  execution->req = req;
  service->standin.running++;
  service->standin.executions++;
  if (key != NULL)
    {
      execution->count
          = GPOINTER_TO_UINT (g_hash_table_lookup (service->runs, key)) + 1;
      g_hash_table_replace (service->runs, g_strdup (key),
                            GUINT_TO_POINTER (execution->count));
    }
  jc_http_set_data (req, execution);
  ev_timer_init (&execution->timer, on_executed,
                 (double)service->delay_ms / MS_PER_S, 0);
  execution->timer.data = execution;
  ev_timer_start (service->standin.loop, &execution->timer);
}

static void
service_gone (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  if (jc_http_data (req) != NULL)
    execution_free (jc_http_data (req));
}

int
main (int argc, char **argv)
{
  static const struct jc_httpd_class klass
      = { .body = service_body, .gone = service_gone };
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name");
  struct arg_str *word = arg_str1 (NULL, "service", "NAME", "service");
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "listener");
  struct arg_str *entries = arg_strn (NULL, "entry", "IP:PORT", 0,
                                      STANDIN_ENTRIES_MAX, "entry instance");
  struct arg_int *delay = arg_int0 (NULL, "delay-ms", "N", "time per call");
  struct arg_end *end = arg_end (8);
  void *table[] = { name, word, listen, entries, delay, end };
  struct service service = { 0 };

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "standin-service");
      return 2;
    }
  service.standin.name = name->sval[0];
  service.standin.service = word->sval[0];
  service.standin.model = "";
  service.standin.slots = 64;
  service.delay_ms = delay->count > 0 ? delay->ival[0] : 2;
  service.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < entries->count; i++)
    service.standin.entries[service.standin.entry_count++] = entries->sval[i];
  standin_start (&service.standin, listen->sval[0], &klass, &service);
  return 0;
}
