/* Crashes: finds out which endpoints crashed under which requests, reports it
   to the state instances, and refuses requests that crash endpoints.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "net/tcpprobe.h"

enum
{
  /* A round trip in a region, twice, with a lost packet.  */
  PROBE_TIMEOUT_MS = 1000,
  /* An answer whose first event came this long before its endpoint crashed had
     begun well.  */
  STARTING_MS = 500,
  SUSPECT_LINES_MAX = 20,
  FINGERPRINT_BASE = 16
};

/* A probe of an endpoint that broke off an attempt.  */
struct crash_probe
{
  struct router *router;
  struct jc_tcpprobe *probe;
  char *endpoint;
  uint64_t incarnation;
};

static void
crash_probe_free (gpointer data)
{
  struct crash_probe *probe = data;

  g_free (probe->endpoint);
  g_free (probe);
}

void
crashes_start (struct router *router)
{
  router->suspects = jc_suspects_new ();
  router->crash_probes = g_ptr_array_new_with_free_func (crash_probe_free);
}

void
crashes_stop (struct router *router)
{
  for (guint i = 0; i < router->crash_probes->len; i++)
    jc_tcpprobe_cancel (
        ((struct crash_probe *)g_ptr_array_index (router->crash_probes, i))
            ->probe);
  g_ptr_array_free (router->crash_probes, TRUE);
  jc_suspects_free (router->suspects);
}

static void
on_probed (void *ctx, struct jc_tcpprobe *probe, enum jc_tcpprobe_result result)
{
  struct crash_probe *crash_probe = ctx;
  struct router *router = crash_probe->router;

  (void)probe;
  if (result == JC_TCPPROBE_REFUSED)
    jc_suspects_note_crashed (router->suspects, crash_probe->endpoint,
                              crash_probe->incarnation);
  jc_event (JC_EVENT_CRASH, "endpoint=%s incarnation=%" PRIu64 " outcome=%s",
            crash_probe->endpoint, crash_probe->incarnation,
            result == JC_TCPPROBE_REFUSED    ? "crashed"
            : result == JC_TCPPROBE_ACCEPTED ? "listens"
                                             : "unknown");
  g_ptr_array_remove_fast (router->crash_probes, crash_probe);
}

/* Find out whether ENDPOINT, which broke off an attempt, still listens.  */
static void
probe_endpoint (struct router *router, const struct jc_endpoint *endpoint)
{
  struct crash_probe *probe = g_new0 (struct crash_probe, 1);

  probe->router = router;
  probe->endpoint = g_strdup (endpoint->name);
  probe->incarnation = endpoint->incarnation;
  probe->probe = jc_tcpprobe_start (router->entry->loop, endpoint->address,
                                    PROBE_TIMEOUT_MS, on_probed, probe);
  if (probe->probe != NULL)
    g_ptr_array_add (router->crash_probes, probe);
  else
    {
      jc_event (JC_EVENT_CRASH, "endpoint=%s outcome=probe_failed",
                endpoint->name);
      crash_probe_free (probe);
    }
}

/* Record that the endpoint broke off the current attempt of EXCHANGE.  One that
   leaves, has started again or may have ended for what it refused tells nothing
   about the request.  */
void
crashes_note_broken (struct exchange *exchange)
{
  struct router *router = exchange->router;
  int64_t now = jc_now_ms ();
  const struct jc_endpoint *endpoint
      = jc_endpoints_find (router->endpoints, exchange->target_name);
  const struct jc_broken_attempt attempt
      = { .endpoint = exchange->target_name,
          .incarnation = exchange->target_incarnation,
          .request
          = exchange->request_info.attempt_id != NULL
                ? jc_name_pair_hash (exchange->request_info.attempt_id, "")
                : 0,
          .fingerprints = &exchange->fingerprints,
          .starting = exchange->attempt_first_event_ms == 0
                      || now - exchange->attempt_first_event_ms < STARTING_MS };

  if ((endpoint != NULL && endpoint->leaving)
      || shares_refused_lately (router, attempt.endpoint, attempt.incarnation))
    return;
  exchange->broken_off = exchange->broken_off || attempt.starting;
  if (jc_suspects_note_broken (router->suspects, &attempt, now)
      && endpoint != NULL && endpoint->incarnation == attempt.incarnation)
    probe_endpoint (router, endpoint);
}

/* Record that the request of EXCHANGE was answered whole.  */
void
crashes_note_answered (struct exchange *exchange)
{
  jc_suspects_note_answered (exchange->router->suspects,
                             &exchange->fingerprints, jc_now_ms ());
}

/* Return what the reports of ENDPOINT, which state instances pass on, say of a
   crash of INCARNATION that was noticed at SINCE_MS.  */
static enum jc_crash_verdict
judge_crash (void *ctx, const char *endpoint, uint64_t incarnation,
             int64_t since_ms)
{
  const struct router *router = ctx;
  const struct jc_endpoint *known
      = jc_endpoints_find (router->endpoints, endpoint);

  if (known != NULL && known->incarnation > incarnation)
    return JC_CRASH_ENDED;
  return known != NULL && known->incarnation == incarnation
                 && known->reported_ms > since_ms
             ? JC_CRASH_REFUTED
             : JC_CRASH_UNDECIDED;
}

/* Report to the state instance that this instance follows what has been seen
   since the last call.  */
void
crashes_tick (struct router *router)
{
  struct rpc_packet packet = { .body.type = RPC_CRASH_REPORT };
  struct rpc_crash_changes *report = &packet.body.rpc_body_u.crash_report;
  int64_t now = jc_now_ms ();

  jc_suspects_check (router->suspects, judge_crash, router,
                     router->orders_source == NULL, now);
  if (!jc_suspects_take_report (router->suspects, now, report))
    return;
  if (router->orders_source != NULL)
    jc_rpc_send (router->orders_source, &packet);
  jc_event (JC_EVENT_CRASH, "crashes=%u answered=%u outcome=%s",
            report->crashes.crashes_len, report->answered.answered_len,
            router->orders_source != NULL ? "reported" : "no_state_instance");
  jc_suspects_free_report (report);
}

/* Apply UPDATE of a state instance.  */
void
crashes_handle_update (struct router *router, const struct rpc_suspects *update)
{
  unsigned int lines = 0;

  jc_suspects_update (router->suspects, update, jc_now_ms ());
  for (u_int i = 0; i < update->list.list_len && lines < SUSPECT_LINES_MAX; i++)
    {
      const struct rpc_suspect *row = &update->list.list_val[i];

      if (row->state != RPC_BLOCKED)
        continue;
      jc_event (JC_EVENT_CRASH,
                "fingerprint=%016" PRIx64 " score=%u outcome=blocked",
                row->fingerprint, row->score);
      lines++;
    }
}

/* Return true if the request of EXCHANGE may crash endpoints and was already at
   one that broke it off.  */
static bool
is_suspected_twice (const struct exchange *exchange)
{
  return exchange->broken_off
         && jc_suspects_is_suspected (exchange->router->suspects,
                                      &exchange->fingerprints);
}

/* Return whether crashes_check_request would allow another attempt of EXCHANGE.
   Nothing is logged or counted.  */
bool
crashes_allow_attempt (const struct exchange *exchange)
{
  uint64_t blocked;

  return !jc_suspects_find_blocked (exchange->router->suspects,
                                    &exchange->fingerprints, &blocked)
         && !is_suspected_twice (exchange);
}

/* Return JC_REQUEST_BLOCKED if the request of EXCHANGE crashes endpoints, or
   may and was already at one that broke it off.  Else return JC_OK.  */
enum jc_status
crashes_check_request (const struct exchange *exchange)
{
  struct router *router = exchange->router;
  uint64_t blocked;

  if (!jc_suspects_find_blocked (router->suspects, &exchange->fingerprints,
                                 &blocked))
    return is_suspected_twice (exchange) ? jc_fail (
               JC_REQUEST_BLOCKED, "Such requests may crash endpoints.")
                                         : JC_OK;
  jc_event (JC_EVENT_CRASH, "id=%s fingerprint=%016" PRIx64 " outcome=refused",
            exchange_id (exchange), blocked);
  jc_metrics_counter_add (router->entry->metrics,
                          "jaycove_blocked_requests_total", "", 1);
  return jc_fail (JC_REQUEST_BLOCKED, "Such requests crash endpoints.");
}

static json_t *
suspect_json (const struct rpc_suspect *row)
{
  char *text = g_strdup_printf ("%016" PRIx64, (uint64_t)row->fingerprint);
  json_t *json
      = json_pack ("{s:s,s:s}", "fingerprint", text, "state",
                   row->state == RPC_BLOCKED ? "blocked" : "suspected");

  g_free (text);
  return json;
}

/* Handle GET /suspects of an operator: the fingerprints that this instance
   knows as suspected or blocked.  */
void
crashes_handle_list (struct entry *entry, struct jc_http_req *req)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_suspect));
  json_t *list = json_array ();
  char *text;

  if (entry->router != NULL)
    jc_suspects_list (entry->router->suspects, rows);
  for (guint i = 0; i < rows->len; i++)
    json_array_append_new (
        list, suspect_json (&g_array_index (rows, struct rpc_suspect, i)));
  text = json_dumps (list, JSON_COMPACT);
  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
  json_decref (list);
  g_array_free (rows, TRUE);
}

/* Handle POST /suspects/clear of an operator: the fingerprint in the query of
   REQ is cleared for all instances.  */
void
crashes_handle_clear (struct entry *entry, struct jc_http_req *req)
{
  const char *text = jc_http_query (req, "fingerprint");
  uint64_t fingerprint
      = text != NULL ? g_ascii_strtoull (text, NULL, FINGERPRINT_BASE) : 0;

  if (entry->router == NULL
      || !jc_suspects_clear (entry->router->suspects, fingerprint))
    {
      jc_http_fail (req, JC_NOT_FOUND,
                    "This fingerprint is neither suspected nor blocked.", 0);
      return;
    }
  jc_event (JC_EVENT_CRASH,
            "fingerprint=%016" PRIx64 " outcome=cleared from=operator",
            fingerprint);
  jc_http_reply (req, 200, "application/json", JC_STR_LIT ("{}"), NULL);
}
