/* Common part of the stand-in endpoints: options, announcements, the control
   paths /counts and /fault, and injected faults.  */

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "net/address.h"
#include "net/program.h"
#include "tests/standin.h"

/* COMMON_OPTIONS includes the end of the table of options.  */
enum
{
  ANNOUNCE_INTERVAL_S = 1,
  ANNOUNCE_TIMEOUT_MS = 800,
  BODY_BYTES_MAX = 8 * 1024 * 1024,
  LEAVE_CHECK_S = 1,
  MS_PER_S = 1000,
  COMMON_OPTIONS = 9,
  OPTIONS_MAX = 24,
  SLOTS_DEFAULT = 8
};

static const char *const fault_names[STANDIN_FAULT_COUNT]
    = { "ok", "delay", "truncate", "fail", "silent", "garbage", "refuse" };

static enum standin_fault
parse_fault (const char *name)
{
  for (int i = 0; i < STANDIN_FAULT_COUNT; i++)
    if (strcmp (fault_names[i], name) == 0)
      return (enum standin_fault)i;
  return STANDIN_FAULT_NONE;
}

/* Parse the options common to all stand-ins and the COUNT additional ones in
   TABLE.  Print usage errors to stderr and return false if there are any.  */
bool
standin_parse_options (struct standin *standin, int argc, char **argv,
                       void **table, int count)
{
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name");
  struct arg_str *service = arg_str1 (NULL, "service", "NAME", "service");
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "listener");
  struct arg_str *entries = arg_strn (NULL, "entry", "IP:PORT", 0,
                                      STANDIN_ENTRIES_MAX, "entry instance");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "slots");
  struct arg_int *lag = arg_int0 (NULL, "lag-ms", "N", "lag of load reports");
  struct arg_int *copies
      = arg_int0 (NULL, "copies", "N", "endpoints announced at this address");
  struct arg_str *fault = arg_str0 (NULL, "fault", "KIND", "fault from start");
  struct arg_end *end = arg_end (8);
  void *all[OPTIONS_MAX]
      = { name, service, listen, entries, slots, lag, copies, fault };

  for (int i = 0; i < count; i++)
    all[COMMON_OPTIONS - 1 + i] = table[i];
  all[COMMON_OPTIONS - 1 + count] = end;
  if (arg_parse (argc, argv, all) > 0)
    {
      arg_print_errors (stderr, end, "standin");
      return false;
    }
  standin->name = name->sval[0];
  standin->service = service->sval[0];
  standin->listen = listen->sval[0];
  standin->slots
      = slots->count > 0 ? (unsigned int)slots->ival[0] : SLOTS_DEFAULT;
  standin->lag_ms = lag->count > 0 ? lag->ival[0] : 0;
  standin->copies = copies->count > 0 ? (unsigned int)copies->ival[0] : 1;
  standin->fault
      = fault->count > 0 ? parse_fault (fault->sval[0]) : STANDIN_FAULT_NONE;
  for (int i = 0; i < entries->count; i++)
    standin->entries[standin->entry_count++] = entries->sval[i];
  return true;
}

static void
on_announced (void *ctx, const struct jc_httpc_call_result *result)
{
  (void)ctx;
  (void)result;
}

static char *
format_announcement (struct standin *standin, const char *name)
{
  bool lagged = standin->lag_ms > 0;

  return g_strdup_printf (
      "{\"name\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
      ",\"sequence\":%" G_GUINT64_FORMAT
      ",\"leaving\":%s,\"address\":\"%s\",\"service\":\"%s\",\"models\":[\"%s"
      "\"],\"role\":\"any\",\"slots\":%u,\"running\":%u,\"queued\":%u}",
      name, standin->incarnation, ++standin->sequence,
      standin->leaving ? "true" : "false", standin->address, standin->service,
      standin->model, standin->slots,
      lagged ? standin->reported_running : standin->running,
      lagged ? standin->reported_queued : standin->queued);
}

static void
send_announcement (struct standin *standin, const char *name)
{
  static const struct jc_httpc_call_ops ops = { .done = on_announced };
  char *body = format_announcement (standin, name);

  for (int i = 0; i < standin->entry_count; i++)
    {
      char *url
          = g_strdup_printf ("http://%s/v1/announce", standin->entries[i]);
      struct jc_httpc_call_spec spec
          = { .method = "POST",
              .url = url,
              .body = jc_str_from_cstr (body),
              .connect_timeout_ms = ANNOUNCE_TIMEOUT_MS,
              .total_timeout_ms = ANNOUNCE_TIMEOUT_MS };

      jc_httpc_call_start (standin->httpc, &spec, &ops, NULL);
      g_free (url);
    }
  g_free (body);
}

static void
announce_all (struct standin *standin)
{
  if (standin->copies == 1)
    {
      send_announcement (standin, standin->name);
      return;
    }
  for (unsigned int i = 0; i < standin->copies; i++)
    {
      char *name = g_strdup_printf ("%s-%u", standin->name, i);

      send_announcement (standin, name);
      g_free (name);
    }
}

static void
on_announce_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  announce_all (watcher->data);
}

static void
on_sample_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct standin *standin = watcher->data;

  (void)loop;
  (void)events;
  standin->reported_running = standin->running;
  standin->reported_queued = standin->queued;
}

static void
on_leave_check (int revents, void *arg)
{
  struct standin *standin = arg;

  (void)revents;
  if (standin->running == 0)
    ev_break (standin->loop, EVBREAK_ALL);
  else
    ev_once (standin->loop, -1, 0, LEAVE_CHECK_S, on_leave_check, standin);
}

/* Announce that the endpoint is leaving; exit once no request is running.  */
static void
on_sigterm (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct standin *standin = watcher->data;

  (void)events;
  standin->leaving = true;
  announce_all (standin);
  ev_once (loop, -1, 0, LEAVE_CHECK_S, on_leave_check, standin);
}

static void
start_watchers (struct standin *standin)
{
  ev_timer_init (&standin->announce_timer, on_announce_timer, 0,
                 ANNOUNCE_INTERVAL_S);
  standin->announce_timer.data = standin;
  ev_timer_start (standin->loop, &standin->announce_timer);
  ev_timer_init (&standin->sample_timer, on_sample_timer, 0,
                 (double)standin->lag_ms / MS_PER_S);
  standin->sample_timer.data = standin;
  if (standin->lag_ms > 0)
    ev_timer_start (standin->loop, &standin->sample_timer);
  ev_signal_init (&standin->sigterm_watcher, on_sigterm, SIGTERM);
  standin->sigterm_watcher.data = standin;
  ev_signal_start (standin->loop, &standin->sigterm_watcher);
}

/* Listen, print the address to stdout and announce STANDIN every second.
   Return after SIGTERM once no request is running; exit the process if the
   address can't be bound.  KLASS and CTX handle the requests.  */
void
standin_run (struct standin *standin, const struct jc_httpd_class *klass,
             void *ctx)
{
  struct timespec now;

  signal (SIGPIPE, SIG_IGN);
  clock_gettime (CLOCK_REALTIME, &now);
  standin->incarnation
      = (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
  standin->runs_by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  standin->loop = ev_default_loop (0);
  standin->httpc = jc_httpc_new (standin->loop);
  standin->httpd = jc_httpd_new (standin->loop, standin->listen, klass, ctx,
                                 BODY_BYTES_MAX);
  if (standin->httpd == NULL)
    {
      fprintf (stderr, "%s\n", jc_last_message ());
      exit (JC_EXIT_FAILED);
    }
  standin->address
      = jc_address_with_port (standin->listen, jc_httpd_port (standin->httpd));
  printf ("%s\n", standin->address);
  fflush (stdout);
  start_watchers (standin);
  ev_run (standin->loop, 0);
}

/* Return the string at KEY of JSON, or "" if there is none.  */
const char *
standin_json_string (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

static void
reply_counts (const struct standin *standin, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_string_append_printf (out, "total %lu\ncancelled %lu\n",
                          standin->executions, standin->cancelled);
  g_hash_table_iter_init (&iter, standin->runs_by_key);
  while (g_hash_table_iter_next (&iter, &key, &count))
    g_string_append_printf (out, "%s %u\n", (const char *)key,
                            GPOINTER_TO_UINT (count));
  jc_http_reply (req, 200, "text/plain", jc_str_from_gstring (out), NULL);
  g_string_free (out, TRUE);
}

static void
set_fault (struct standin *standin, struct jc_http_req *req)
{
  struct jc_str body = jc_http_body (req);
  json_t *json = json_loadb (body.data, body.len, 0, NULL);

  standin->fault = parse_fault (standin_json_string (json, "kind"));
  standin->fault_requests_left
      = (unsigned int)json_integer_value (json_object_get (json, "count"));
  standin->fault_delay_ms
      = (int)json_integer_value (json_object_get (json, "ms"));
  json_decref (json);
  jc_http_reply (req, 200, "text/plain",
                 jc_str_from_cstr (fault_names[standin->fault]), NULL);
}

/* Answer REQ if it controls the stand-in: GET /counts returns the execution
   counts, POST /fault with {"kind", "count", "ms"} sets the fault.  Return
   false for any other path.  */
bool
standin_handle_control (struct standin *standin, struct jc_http_req *req)
{
  if (strcmp (jc_http_path (req), "/counts") == 0)
    reply_counts (standin, req);
  else if (strcmp (jc_http_path (req), "/fault") == 0)
    set_fault (standin, req);
  else
    return false;
  return true;
}

/* Return the fault for the request at hand and use up one of the requests it
   applies to.  */
enum standin_fault
standin_take_fault (struct standin *standin)
{
  enum standin_fault fault = standin->fault;

  if (standin->fault_requests_left > 0 && --standin->fault_requests_left == 0)
    standin->fault = STANDIN_FAULT_NONE;
  return fault;
}

/* Send the faulty answer to REQ, or no answer for STANDIN_FAULT_SILENT.
   Return false for STANDIN_FAULT_NONE and STANDIN_FAULT_DELAY, where the
   caller has to send the regular answer.  */
bool
standin_apply_fault (enum standin_fault fault, struct jc_http_req *req)
{
  if (fault == STANDIN_FAULT_FAIL)
    jc_http_reply (req, 500, "text/plain", JC_STR_LIT ("failed"), NULL);
  else if (fault == STANDIN_FAULT_GARBAGE)
    jc_http_reply (req, 200, "application/json", JC_STR_LIT ("\1\377{]"), NULL);
  else if (fault == STANDIN_FAULT_REFUSE)
    jc_http_fail (req, JC_ENDPOINT_REFUSED, "Refused.", 0);
  else if (fault == STANDIN_FAULT_TRUNCATE)
    {
      jc_http_stream_begin (req, 200, "application/json", NULL);
      jc_http_stream_write (req, JC_STR_LIT ("{\"cut\":"));
      jc_http_stream_end (req, false);
    }
  return fault != STANDIN_FAULT_NONE && fault != STANDIN_FAULT_DELAY;
}

/* Count an execution of REQ and print its idempotency key, so that tests can
   count executions after this process was killed.  Return the number of
   executions of the key so far, or 0 if REQ has no key.  */
unsigned int
standin_count_execution (struct standin *standin, const struct jc_http_req *req)
{
  const char *key = jc_http_header (req, "Idempotency-Key");
  unsigned int count = 0;

  standin->executions++;
  if (key != NULL)
    {
      count = GPOINTER_TO_UINT (g_hash_table_lookup (standin->runs_by_key, key))
              + 1;
      g_hash_table_replace (standin->runs_by_key, g_strdup (key),
                            GUINT_TO_POINTER (count));
      printf ("ran %s\n", key);
      fflush (stdout);
    }
  return count;
}
