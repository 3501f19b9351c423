/* Calls of endpoints and operators, and the directory for callers.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/fields.h"
#include "net/address.h"
#include "net/program.h"
#include "state/state.h"

#define METRICS_PATH "/metrics"

enum
{
  BODY_MAX = 16 * 1024 * 1024,
  SMALL_BODY_MAX = 64 * 1024,
  RETRY_AFTER_MS = 300,
  /* How long callers may use an answer of the directory: an instance that
     stops gets callers for up to three times that.  */
  DIRECTORY_TTL_S = 1,
  /* After its start an instance waits so long for entry instances to connect,
     before it takes leaves that it could tell nobody.  */
  SETTLE_MS = 1500
};

struct control
{
  struct jc_httpd *calls;
  struct jc_httpd *directory;
};

/* An order or a read whose caller waits.  REQ is NULL once it left.  */
struct waiting
{
  struct state *state;
  struct jc_http_req *req;
  const char *what;
  uint64_t version;
  int64_t since_ms;
};

static void
reply_ok (struct jc_http_req *req)
{
  jc_http_reply (req, 200, "application/json", JC_STR_LIT ("{}"), NULL);
}

static void
reply_failure (struct jc_http_req *req, enum jc_status status)
{
  jc_http_fail (req, status, jc_last_message (), RETRY_AFTER_MS);
}

static struct waiting *
wait_for (struct state *state, struct jc_http_req *req, const char *what,
          uint64_t version)
{
  struct waiting *waiting = g_new0 (struct waiting, 1);

  waiting->state = state;
  waiting->req = req;
  waiting->what = what;
  waiting->version = version;
  waiting->since_ms = jc_now_ms ();
  jc_http_set_data (req, waiting);
  return waiting;
}

/* Count what became of an order or a read, and how long it took.  */
static void
count (const struct waiting *waiting, enum jc_status status)
{
  char *labels = g_strdup_printf ("what=\"%s\",outcome=\"%s\"", waiting->what,
                                  jc_status_name (status));

  jc_metrics_counter_add (waiting->state->metrics, "jaycove_orders_total",
                          labels, 1);
  g_free (labels);
  labels = g_strdup_printf ("what=\"%s\"", waiting->what);
  jc_metrics_observe (waiting->state->metrics, "jaycove_order_ms", labels,
                      (uint64_t)(jc_now_ms () - waiting->since_ms));
  g_free (labels);
}

/* Log what became of WAITING's order and free it; return its caller, or
   NULL.  */
static struct jc_http_req *
wait_over (struct waiting *waiting, enum jc_status status, enum jc_event event)
{
  struct jc_http_req *req = waiting->req;

  count (waiting, status);
  jc_event (event,
            "what=%s version=%" PRIu64 " position=%" PRIu64
            " outcome=%s waited_ms=%" PRId64,
            waiting->what, waiting->version, waiting->state->orders->position,
            jc_status_name (status), jc_now_ms () - waiting->since_ms);
  if (req != NULL)
    jc_http_set_data (req, NULL);
  g_free (waiting);
  return req;
}

static void
on_ordered (void *ctx, enum jc_status status)
{
  struct jc_http_req *req = wait_over (ctx, status, JC_EVENT_ORDER);

  if (req == NULL)
    return;
  if (status == JC_OK)
    reply_ok (req);
  else
    jc_http_fail (req, JC_NOT_READY,
                  "The order is not known to last; send it "
                  "again.",
                  RETRY_AFTER_MS);
}

static void
on_read (void *ctx, enum jc_status status)
{
  struct waiting *waiting = ctx;
  struct state *state = waiting->state;
  struct jc_http_req *req = wait_over (waiting, status, JC_EVENT_READ);

  if (req == NULL)
    return;
  if (status == JC_OK && state->orders->table_version > 0)
    jc_http_reply (req, 200, "application/json",
                   jc_str_from_gstring (state->orders->table_text), NULL);
  else
    jc_http_fail (req, JC_NOT_READY,
                  "The newest configuration is not known "
                  "here for sure.",
                  RETRY_AFTER_MS);
}

/* Check the whole configuration, then hand it to the log.  */
static void
take_routes (struct state *state, struct jc_http_req *req)
{
  struct jc_str body = jc_http_body (req);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = state->protocol->parse_routes (body, faults);
  struct rpc_order order = { .kind = RPC_ORDER_ROUTES };

  if (table == NULL || faults->len > 0)
    {
      jc_fail (JC_BAD_REQUEST, "%s",
               (const char *)g_ptr_array_index (faults, 0));
      jc_event (JC_EVENT_ORDER,
                "what=routes version=%" PRIu64 " outcome=invalid faults=%u "
                "first=\"%.100s\"",
                table != NULL ? table->version : 0, faults->len,
                (const char *)g_ptr_array_index (faults, 0));
      reply_failure (req, JC_BAD_REQUEST);
    }
  else
    {
      order.table_version = table->version;
      order.data.rpc_bytes_val = (char *)body.data;
      order.data.rpc_bytes_len = (u_int)body.len;
      orders_submit (state, &order, on_ordered,
                     wait_for (state, req, "routes", table->version));
    }
  jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
}

static void
take_zone_order (struct state *state, struct jc_http_req *req,
                 enum rpc_order_kind kind, const char *zone)
{
  struct rpc_order order = { .kind = kind };
  char *name = g_uri_unescape_string (zone, NULL);

  if (name == NULL)
    {
      reply_failure (req, jc_fail (JC_BAD_REQUEST, "The zone has no name."));
      return;
    }
  order.data.rpc_bytes_val = name;
  order.data.rpc_bytes_len = (u_int)strlen (name);
  orders_submit (state, &order, on_ordered,
                 wait_for (state, req,
                           kind == RPC_ORDER_EVACUATE ? "evacuate" : "readmit",
                           0));
  g_free (name);
}

/* Tell whether a leave would reach the entry instances: those that are there
   have had the time to connect.  */
static bool
leaves_are_passed_on (const struct state *state)
{
  return jc_now_ms () - state->started_ms > SETTLE_MS
         && presence_count_connected (state, NULL) > 0;
}

static void
answer_report (const struct state *state, struct jc_http_req *req)
{
  char *text = state->protocol->format_report_answer (NULL);

  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
}

/* Read the report that BODY of the endpoint NAME holds into REPORT, whose json
   is NULL where that fails.  One at whose address nobody can be reached is no
   use.  */
static enum jc_status
read_report (const struct state *state, const char *name, struct jc_str body,
             struct jc_endpoint_report *report)
{
  enum jc_status status = state->protocol->parse_report (name, body, report);
  struct sockaddr_in addr;

  if (status != JC_OK)
    return status;
  status = jc_address_parse (report->endpoint.address, &addr);
  if (status == JC_OK && addr.sin_port == 0)
    status = jc_fail (JC_BAD_REQUEST, "The report's address has port 0.");
  if (status == JC_OK)
    return JC_OK;
  json_decref (report->json);
  report->json = NULL;
  return status;
}

static void
take_report (struct state *state, struct jc_http_req *req, const char *name)
{
  struct jc_endpoint_report report;
  enum jc_status status
      = read_report (state, name, jc_http_body (req), &report);

  if (status != JC_OK)
    {
      jc_event (JC_EVENT_BAD_INPUT, "from=endpoint name=%.60s why=\"%s\"", name,
                jc_last_message ());
      reply_failure (req, status);
      return;
    }
  if (report.endpoint.leaving && !leaves_are_passed_on (state))
    status = jc_fail (JC_NOT_READY, "No entry instance is connected yet.");
  else
    status = fleet_handle_report (state, &report.endpoint);
  /* A report that came late is no fault of its sender.  */
  if (status == JC_OK || status == JC_BEHIND)
    answer_report (state, req);
  else
    reply_failure (req, status);
  json_decref (report.json);
}

static void
take_leave (struct state *state, struct jc_http_req *req, const char *name)
{
  struct jc_endpoint_report report;

  if (!leaves_are_passed_on (state))
    {
      reply_failure (
          req, jc_fail (JC_NOT_READY, "No entry instance is connected yet."));
      return;
    }
  /* The body is optional; where it is whole it tells which incarnation.  */
  if (state->protocol->parse_report (name, jc_http_body (req), &report)
      != JC_OK)
    memset (&report, 0, sizeof report);
  fleet_handle_leave (state, name, report.endpoint.incarnation);
  json_decref (report.json);
  answer_report (state, req);
}

static void
answer_metrics (struct state *state, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);

  gauges_print (state, out);
  jc_http_reply (req, 200, "text/plain; version=0.0.4",
                 jc_str_from_gstring (out), NULL);
  g_string_free (out, TRUE);
}

static void
on_call (void *ctx, struct jc_http_req *req)
{
  struct state *state = ctx;
  struct jc_control_call call;

  if (strcmp (jc_http_path (req), METRICS_PATH) == 0)
    {
      answer_metrics (state, req);
      return;
    }
  if (state->protocol->parse_control (jc_http_method (req), jc_http_path (req),
                                      &call)
      != JC_OK)
    {
      reply_failure (req, JC_NOT_FOUND);
      return;
    }
  switch (call.kind)
    {
    case JC_CONTROL_REPORT:
      take_report (state, req, call.subject);
      break;
    case JC_CONTROL_LEAVE:
      take_leave (state, req, call.subject);
      break;
    case JC_CONTROL_ROUTES:
      take_routes (state, req);
      break;
    case JC_CONTROL_READ:
      orders_read_barrier (state, on_read, wait_for (state, req, "read", 0));
      break;
    case JC_CONTROL_EVACUATE:
      take_zone_order (state, req, RPC_ORDER_EVACUATE, call.subject);
      break;
    case JC_CONTROL_READMIT:
      take_zone_order (state, req, RPC_ORDER_READMIT, call.subject);
      break;
    }
}

static void
on_gone (void *ctx, struct jc_http_req *req)
{
  struct waiting *waiting = jc_http_data (req);

  (void)ctx;
  if (waiting != NULL)
    waiting->req = NULL;
}

static void
on_directory (void *ctx, struct jc_http_req *req)
{
  struct state *state = ctx;
  struct jc_caller_location where = { 0 };
  GPtrArray *addresses;
  char *text;

  if (!state->protocol->parse_discovery (req, &where))
    {
      jc_http_fail (req, JC_NOT_FOUND, "There is no such call.", 0);
      return;
    }
  addresses = g_ptr_array_new ();
  presence_list_addresses (state, &where, addresses);
  if (addresses->len == 0)
    jc_http_fail (req, JC_NOT_READY, "No entry instance is known here.",
                  RETRY_AFTER_MS);
  else
    {
      text = state->protocol->format_discovery (addresses, DIRECTORY_TTL_S);
      jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text),
                     NULL);
      free (text);
    }
  g_ptr_array_free (addresses, TRUE);
}

/* Open the listeners.  */
enum jc_status
control_start (struct state *state)
{
  static const struct jc_httpd_class calls
      = { .body = on_call, .peer_closed = on_gone };
  static const struct jc_httpd_class directory = { .body = on_directory };
  struct control *control = state->control = g_new0 (struct control, 1);

  control->calls = jc_httpd_new (state->loop, state->settings->operators,
                                 &calls, state, BODY_MAX);
  if (control->calls == NULL)
    return JC_UNREACHABLE;
  control->directory = jc_httpd_new (state->loop, state->settings->directory,
                                     &directory, state, SMALL_BODY_MAX);
  return control->directory != NULL ? JC_OK : JC_UNREACHABLE;
}

/* Close the listeners.  */
void
control_stop (struct state *state)
{
  if (state->control == NULL)
    return;
  jc_httpd_free (state->control->calls);
  jc_httpd_free (state->control->directory);
  g_free (state->control);
  state->control = NULL;
}
