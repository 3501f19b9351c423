/* HTTP interface of a state instance: reports of endpoints, orders of operators
   and metrics on one listener, the directory of entry instances for callers on
   another.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/fields.h"
#include "member/reportcheck.h"
#include "net/program.h"
#include "state/state.h"

#define METRICS_PATH "/metrics"

enum
{
  BODY_MAX_BYTES = 16 * 1024 * 1024,
  DIRECTORY_BODY_MAX_BYTES = 64 * 1024,
  RETRY_AFTER_MS = 300,
  /* How long callers may use an answer of the directory.  An entry instance
     that stops still receives callers for up to three times as long.  */
  DIRECTORY_TTL_S = 1,
  /* For this long after its start, an instance rejects deregistrations of
     endpoints: entry instances may not have connected yet, and then there would
     be nobody to pass them on to.  */
  SETTLE_MS = 1500
};

struct control
{
  struct jc_httpd *api_listener;
  struct jc_httpd *directory_listener;
};

/* An order or a read whose outcome is pending.  REQ is NULL once its sender has
   disconnected.  */
struct pending_request
{
  struct state *state;
  struct jc_http_req *req;
  const char *what;
  uint64_t version;
  int64_t started_ms;
};

static void
reply_ok (struct jc_http_req *req)
{
  jc_http_reply (req, 200, "application/json", JC_STR_LIT ("{}"), NULL);
}

static void
reply_last_error (struct jc_http_req *req, enum jc_status status)
{
  jc_http_fail (req, status, jc_last_message (), RETRY_AFTER_MS);
}

/* Acknowledge a report.  Its sender is told to report to REPORT_TO from now on
   unless that is NULL.  */
static void
ack_report (const struct state *state, struct jc_http_req *req,
            const char *report_to)
{
  char *text = state->protocol->format_report_answer (report_to);

  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
}

static struct pending_request *
pending_request_new (struct state *state, struct jc_http_req *req,
                     const char *what, uint64_t version)
{
  struct pending_request *pending = g_new0 (struct pending_request, 1);

  pending->state = state;
  pending->req = req;
  pending->what = what;
  pending->version = version;
  pending->started_ms = jc_now_ms ();
  jc_http_set_data (req, pending);
  return pending;
}

/* Record in the metrics the outcome of an order or a read and how long it
   took.  */
static void
record_outcome (const struct pending_request *pending, enum jc_status status)
{
  char *labels = g_strdup_printf ("what=\"%s\",outcome=\"%s\"", pending->what,
                                  jc_status_name (status));

  jc_metrics_counter_add (pending->state->metrics, "jaycove_orders_total",
                          labels, 1);
  g_free (labels);
  labels = g_strdup_printf ("what=\"%s\"", pending->what);
  jc_metrics_observe (pending->state->metrics, "jaycove_order_ms", labels,
                      (uint64_t)(jc_now_ms () - pending->started_ms));
  g_free (labels);
}

/* Record the outcome STATUS of PENDING in the metrics and as EVENT, and free
   PENDING.  Return its request, or NULL if the sender has disconnected.  */
static struct jc_http_req *
finish_pending (struct pending_request *pending, enum jc_status status,
                enum jc_event event)
{
  struct jc_http_req *req = pending->req;

  record_outcome (pending, status);
  jc_event (event,
            "what=%s version=%" PRIu64 " position=%" PRIu64
            " outcome=%s waited_ms=%" PRId64,
            pending->what, pending->version, pending->state->orders->position,
            jc_status_name (status), jc_now_ms () - pending->started_ms);
  if (req != NULL)
    jc_http_set_data (req, NULL);
  g_free (pending);
  return req;
}

static void
on_order_done (void *ctx, enum jc_status status)
{
  struct jc_http_req *req = finish_pending (ctx, status, JC_EVENT_ORDER);

  if (req == NULL)
    return;
  if (status == JC_OK)
    reply_ok (req);
  else if (status == JC_BAD_REQUEST)
    jc_http_fail (req, JC_BAD_REQUEST,
                  "The zone can't be evacuated: too many are.", 0);
  else
    jc_http_fail (req, JC_NOT_READY,
                  "The order is not known to last; send it "
                  "again.",
                  RETRY_AFTER_MS);
}

static void
on_read_done (void *ctx, enum jc_status status)
{
  struct pending_request *pending = ctx;
  struct state *state = pending->state;
  struct jc_http_req *req = finish_pending (pending, status, JC_EVENT_READ);

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

/* The leave of an endpoint, which REQ waits for, is recorded or, with a STATUS
   other than JC_OK, not known to be.  */
static void
on_leave_done (void *ctx, enum jc_status status)
{
  struct pending_request *pending = ctx;
  struct state *state = pending->state;
  struct jc_http_req *req = finish_pending (pending, status, JC_EVENT_ORDER);

  if (req == NULL)
    return;
  if (status == JC_OK)
    ack_report (state, req, NULL);
  else
    jc_http_fail (req, JC_NOT_READY, "The leave is not known to last.",
                  RETRY_AFTER_MS);
}

/* Validate the whole route table in the body of REQ, then propose it to the
   log.  */
static void
handle_routes (struct state *state, struct jc_http_req *req)
{
  struct jc_str body = jc_http_body (req);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table
      = state->protocol->parse_routes (body, NULL, faults);
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
      reply_last_error (req, JC_BAD_REQUEST);
    }
  else
    {
      order.table_version = table->version;
      order.data.rpc_bytes_val = (char *)body.data;
      order.data.rpc_bytes_len = (u_int)body.len;
      orders_submit (
          state, &order, on_order_done,
          pending_request_new (state, req, "routes", table->version));
    }
  jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
}

/* Reply to REQ, whose sender FROM sent the name NAME, that it can't be taken.
   STATUS and the last message say why.  */
static void
refuse_input (struct jc_http_req *req, const char *from, const char *name,
              enum jc_status status)
{
  char *why = g_strdup (jc_last_message ());

  jc_event (JC_EVENT_BAD_INPUT, "from=%s name=%.60s why=\"%s\"", from, name,
            why);
  jc_fail (status, "%s", why);
  reply_last_error (req, status);
  g_free (why);
}

static void
handle_zone_order (struct state *state, struct jc_http_req *req,
                   enum rpc_order_kind kind, const char *zone)
{
  struct rpc_order order = { .kind = kind };
  char *name = g_uri_unescape_string (zone, NULL);

  if (name == NULL)
    {
      reply_last_error (req, jc_fail (JC_BAD_REQUEST, "The zone has no name."));
      return;
    }
  if (jc_report_check_name (name) != JC_OK)
    {
      refuse_input (req, "operator", name, JC_BAD_REQUEST);
      g_free (name);
      return;
    }
  order.data.rpc_bytes_val = name;
  order.data.rpc_bytes_len = (u_int)strlen (name);
  orders_submit (
      state, &order, on_order_done,
      pending_request_new (
          state, req, kind == RPC_ORDER_EVACUATE ? "evacuate" : "readmit", 0));
  g_free (name);
}

/* Return whether a deregistration would reach the entry instances: they have
   had time to connect, and at least one is connected.  */
static bool
can_forward_leave (const struct state *state)
{
  return jc_now_ms () - state->started_ms > SETTLE_MS
         && presence_count_connected (state, NULL) > 0;
}

/* Parse the report of the endpoint NAME in BODY into REPORT, whose json is NULL
   on failure and the caller's to release otherwise.  A report with values that
   no endpoint can have is rejected.  */
static enum jc_status
decode_report (const struct state *state, const char *name, struct jc_str body,
               struct jc_endpoint_report *report)
{
  enum jc_status status = state->protocol->parse_report (name, body, report);

  if (status == JC_OK)
    status = jc_report_check (&report->endpoint, jc_wall_ms ());
  if (status == JC_OK)
    return JC_OK;
  json_decref (report->json);
  report->json = NULL;
  return status;
}

/* Have the log record that the endpoint of REPORT leaves, and answer REQ when
   that is done.  */
static void
record_leave (struct state *state, struct jc_http_req *req,
              const struct rpc_endpoint *report)
{
  departures_submit (state, report->name, report->incarnation,
                     report->zone != NULL ? report->zone : "", on_leave_done,
                     pending_request_new (state, req, "leave", 0));
}

/* Return whether REPORT, which was applied or is not later than what is known,
   tells of a leave.  One that is disputed doesn't: it may be another writer's.
 */
static bool
tells_of_leave (const struct state *state, const struct rpc_endpoint *report)
{
  const struct jc_endpoint *known = fleet_find (state, report->name);

  return report->leaving
         && (known == NULL || known->incarnation != report->incarnation
             || known->leaving);
}

static void
handle_report (struct state *state, struct jc_http_req *req, const char *name)
{
  struct jc_endpoint_report report;
  char *report_to;
  enum jc_status status
      = decode_report (state, name, jc_http_body (req), &report);

  if (status != JC_OK)
    {
      refuse_input (req, "endpoint", name, status);
      return;
    }
  if (report.endpoint.leaving && !can_forward_leave (state))
    status = jc_fail (JC_NOT_READY, "No entry instance is connected yet.");
  else
    status = fleet_handle_report (state, &report);
  /* A report that arrived after a later one is not the sender's error.  */
  if ((status == JC_OK || status == JC_BEHIND)
      && tells_of_leave (state, &report.endpoint))
    record_leave (state, req, &report.endpoint);
  else if (status == JC_OK || status == JC_BEHIND)
    {
      report_to = group_find_reporter (
          state, fleet_region_of_zone (state, report.endpoint.zone));
      ack_report (state, req, report_to);
      g_free (report_to);
    }
  else
    reply_last_error (req, status);
  json_decref (report.json);
}

static void
handle_leave (struct state *state, struct jc_http_req *req, const char *name)
{
  struct jc_endpoint_report report;
  const struct jc_endpoint *known;

  if (jc_report_check_name (name) != JC_OK)
    {
      refuse_input (req, "endpoint", name, JC_BAD_REQUEST);
      return;
    }
  if (!can_forward_leave (state))
    {
      reply_last_error (
          req, jc_fail (JC_NOT_READY, "No entry instance is connected yet."));
      return;
    }
  /* The body is optional.  If it is a valid report it names the incarnation;
     otherwise the incarnation is 0, which stands for any.  */
  if (state->protocol->parse_report (name, jc_http_body (req), &report)
      != JC_OK)
    memset (&report, 0, sizeof report);
  fleet_handle_leave (state, name, report.endpoint.incarnation);
  known = fleet_find (state, name);
  report.endpoint.name = (char *)name;
  if (report.endpoint.incarnation == 0 && known != NULL)
    report.endpoint.incarnation = known->incarnation;
  if (report.endpoint.incarnation != 0)
    record_leave (state, req, &report.endpoint);
  else
    reply_last_error (
        req, jc_fail (JC_NOT_READY, "It isn't known which process leaves."));
  json_decref (report.json);
}

static void
reply_metrics (struct state *state, struct jc_http_req *req)
{
  GString *out = g_string_new (NULL);

  gauges_print (state, out);
  jc_http_reply (req, 200, "text/plain; version=0.0.4",
                 jc_str_from_gstring (out), NULL);
  g_string_free (out, TRUE);
}

static void
on_request (void *ctx, struct jc_http_req *req)
{
  struct state *state = ctx;
  struct jc_control_call call;

  if (strcmp (jc_http_path (req), METRICS_PATH) == 0)
    {
      reply_metrics (state, req);
      return;
    }
  if (state->protocol->parse_control (jc_http_method (req), jc_http_path (req),
                                      &call)
      != JC_OK)
    {
      reply_last_error (req, JC_NOT_FOUND);
      return;
    }
  switch (call.kind)
    {
    case JC_CONTROL_REPORT:
      handle_report (state, req, call.subject);
      break;
    case JC_CONTROL_LEAVE:
      handle_leave (state, req, call.subject);
      break;
    case JC_CONTROL_ROUTES:
      handle_routes (state, req);
      break;
    case JC_CONTROL_READ:
      orders_read_barrier (state, on_read_done,
                           pending_request_new (state, req, "read", 0));
      break;
    case JC_CONTROL_EVACUATE:
      handle_zone_order (state, req, RPC_ORDER_EVACUATE, call.subject);
      break;
    case JC_CONTROL_READMIT:
      handle_zone_order (state, req, RPC_ORDER_READMIT, call.subject);
      break;
    }
}

static void
on_peer_closed (void *ctx, struct jc_http_req *req)
{
  struct pending_request *pending = jc_http_data (req);

  (void)ctx;
  if (pending != NULL)
    pending->req = NULL;
}

static void
on_directory_request (void *ctx, struct jc_http_req *req)
{
  struct state *state = ctx;
  struct jc_caller_location location = { 0 };
  GPtrArray *addresses;
  char *text;

  if (!state->protocol->parse_discovery (req, &location))
    {
      jc_http_fail (req, JC_NOT_FOUND, "There is no such call.", 0);
      return;
    }
  addresses = g_ptr_array_new ();
  presence_list_addresses (state, &location, addresses);
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

/* Open the listeners.  Return JC_UNREACHABLE if an address can't be bound.  */
enum jc_status
control_start (struct state *state)
{
  static const struct jc_httpd_class api_class
      = { .body = on_request, .peer_closed = on_peer_closed };
  static const struct jc_httpd_class directory_class
      = { .body = on_directory_request };
  struct control *control = state->control = g_new0 (struct control, 1);

  control->api_listener = jc_httpd_new (state->loop, state->settings->operators,
                                        &api_class, state, BODY_MAX_BYTES);
  if (control->api_listener == NULL)
    return JC_UNREACHABLE;
  control->directory_listener
      = jc_httpd_new (state->loop, state->settings->directory, &directory_class,
                      state, DIRECTORY_BODY_MAX_BYTES);
  return control->directory_listener != NULL ? JC_OK : JC_UNREACHABLE;
}

/* Close the listeners.  */
void
control_stop (struct state *state)
{
  if (state->control == NULL)
    return;
  jc_httpd_free (state->control->api_listener);
  jc_httpd_free (state->control->directory_listener);
  g_free (state->control);
  state->control = NULL;
}
