/* Proofs of crashes: compares the crashes that entry instances reported with
   the reports that endpoints send to this instance, connects once to those that
   report here, and has the log record which processes ended and which went
   on.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "base/xdrencode.h"
#include "member/crashproofs.h"
#include "net/program.h"
#include "net/tcpprobe.h"
#include "state/state.h"

enum
{
  JUDGE_INTERVAL_MS = 100,
  RETRY_INTERVAL_MS = 500,
  PROOFS_MAX = 256,
  /* A round trip in a region, twice, with a lost packet.  */
  PROBE_TIMEOUT_MS = 1000,
  /* Probes are forgotten after this time: the crash was judged long before.  */
  PROBE_KEPT_MS = 60000,
  MS_PER_S = 1000
};

/* A connection to an endpoint that is said to have crashed.  RECORDED_MS is
   that of the crash.  PROBE is NULL once it is over.  */
struct witness_probe
{
  struct jc_tcpprobe *probe;
  char *endpoint;
  uint64_t incarnation;
  int64_t recorded_ms;
  bool refused;
};

/* PROPOSING is true while a proposal is under way.  After one that fails, what
   is known at RETRY_MS is proposed.  */
struct crashproofs
{
  bool proposing;
  int64_t retry_ms;
  GPtrArray *probes;
  ev_timer judge_timer;
};

static void
witness_probe_free (gpointer data)
{
  struct witness_probe *probe = data;

  if (probe->probe != NULL)
    jc_tcpprobe_cancel (probe->probe);
  g_free (probe->endpoint);
  g_free (probe);
}

static void
on_probed (void *ctx, struct jc_tcpprobe *probe, enum jc_tcpprobe_result result)
{
  struct witness_probe *witness = ctx;

  (void)probe;
  witness->probe = NULL;
  witness->refused = result == JC_TCPPROBE_REFUSED;
  jc_event (JC_EVENT_CRASH,
            "what=proof endpoint=%s incarnation=%" PRIu64 " outcome=%s",
            witness->endpoint, witness->incarnation,
            result == JC_TCPPROBE_REFUSED    ? "refuses"
            : result == JC_TCPPROBE_ACCEPTED ? "listens"
                                             : "unknown");
}

/* Return whether KNOWN, the endpoint that CRASH is about, refused a connection
   from here since the crash was recorded.  The first call starts one.  */
static bool
refuses (struct state *state, const struct jc_crash_report *crash,
         const struct jc_endpoint *known)
{
  GPtrArray *probes = state->crashproofs->probes;
  struct witness_probe *probe;

  for (guint i = 0; i < probes->len; i++)
    {
      probe = g_ptr_array_index (probes, i);
      if (probe->recorded_ms == crash->recorded_ms
          && probe->incarnation == crash->incarnation
          && strcmp (probe->endpoint, crash->endpoint) == 0)
        return probe->refused;
    }
  probe = g_new0 (struct witness_probe, 1);
  probe->endpoint = g_strdup (crash->endpoint);
  probe->incarnation = crash->incarnation;
  probe->recorded_ms = crash->recorded_ms;
  g_ptr_array_add (probes, probe);
  probe->probe = jc_tcpprobe_start (state->loop, known->address,
                                    PROBE_TIMEOUT_MS, on_probed, probe);
  if (probe->probe == NULL)
    jc_event (JC_EVENT_CRASH, "what=proof endpoint=%s outcome=probe_failed",
              known->name);
  return false;
}

static void
forget_probes (struct state *state)
{
  GPtrArray *probes = state->crashproofs->probes;

  for (guint i = probes->len; i > 0; i--)
    {
      const struct witness_probe *probe = g_ptr_array_index (probes, i - 1);

      if (jc_now_ms () - probe->recorded_ms > PROBE_KEPT_MS)
        g_ptr_array_remove_index_fast (probes, i - 1);
    }
}

static void
on_proposed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;

  if (state->crashproofs == NULL)
    return;
  state->crashproofs->proposing = false;
  if (status == JC_OK)
    return;
  state->crashproofs->retry_ms = jc_now_ms () + RETRY_INTERVAL_MS;
  jc_event (JC_EVENT_CRASH, "what=proof outcome=%s", jc_status_name (status));
}

/* Append the process of CRASH to ENDED or REFUTED if this instance has proof.
 */
static void
judge (struct state *state, const struct jc_crash_report *crash, GArray *ended,
       GArray *refuted)
{
  const struct jc_endpoint *known = fleet_find (state, crash->endpoint);
  const struct jc_crash_witness witness
      = { .incarnation = known != NULL ? known->incarnation : 0,
          .reported_ms = known != NULL ? known->reported_ms : 0,
          .sent_after_ms = known != NULL ? known->sent_after_ms : 0,
          .report_ms = state->settings->report_ms,
          .refuses = !crash->proved && known != NULL
                     && known->incarnation == crash->incarnation
                     && refuses (state, crash, known),
          .leads = log_is_leader (state) };
  const struct rpc_endpoint_process process
      = { .endpoint = (char *)crash->endpoint,
          .endpoint_incarnation = crash->incarnation };
  enum jc_crash_verdict verdict
      = jc_crash_proofs_judge (crash, &witness, jc_now_ms ());

  if (verdict == JC_CRASH_ENDED && ended->len < PROOFS_MAX)
    g_array_append_val (ended, process);
  if (verdict == JC_CRASH_REFUTED && refuted->len < PROOFS_MAX)
    g_array_append_val (refuted, process);
}

static void
on_judge_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct jc_crash_report));
  GArray *ended
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint_process));
  GArray *refuted
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint_process));
  bool may_propose = !state->crashproofs->proposing
                     && jc_now_ms () >= state->crashproofs->retry_ms;
  struct rpc_crash_proofs proofs;

  (void)events;
  forget_probes (state);
  jc_crashes_list_reported (state->crash_table, rows);
  for (guint i = 0; may_propose && i < rows->len; i++)
    judge (state, &g_array_index (rows, struct jc_crash_report, i), ended,
           refuted);
  proofs = (struct rpc_crash_proofs){
    .ended = { .ended_len = ended->len,
               .ended_val = (struct rpc_endpoint_process *)ended->data },
    .refuted = { .refuted_len = refuted->len,
                 .refuted_val = (struct rpc_endpoint_process *)refuted->data }
  };
  if (ended->len > 0 || refuted->len > 0)
    {
      GString *data = jc_xdr_encode ((xdrproc_t)xdr_rpc_crash_proofs, &proofs);

      state->crashproofs->proposing = true;
      log_propose (state, LOG_CRASH_PROOFS, jc_str_from_gstring (data),
                   on_proposed, state);
      g_string_free (data, TRUE);
    }
  if (rows->len == 0)
    ev_timer_stop (loop, watcher);
  g_array_free (rows, TRUE);
  g_array_free (ended, TRUE);
  g_array_free (refuted, TRUE);
}

/* Start the module.  */
void
crashproofs_start (struct state *state)
{
  const double interval_s = (double)JUDGE_INTERVAL_MS / MS_PER_S;

  state->crashproofs = g_new0 (struct crashproofs, 1);
  state->crashproofs->probes
      = g_ptr_array_new_with_free_func (witness_probe_free);
  ev_timer_init (&state->crashproofs->judge_timer, on_judge_timer, interval_s,
                 interval_s);
  state->crashproofs->judge_timer.data = state;
  crashproofs_schedule (state);
}

/* Begin to judge the crashes that the log has, until there are none.  */
void
crashproofs_schedule (struct state *state)
{
  if (state->crashproofs != NULL)
    ev_timer_start (state->loop, &state->crashproofs->judge_timer);
}

/* Stop the module.  */
void
crashproofs_stop (struct state *state)
{
  if (state->crashproofs == NULL)
    return;
  ev_timer_stop (state->loop, &state->crashproofs->judge_timer);
  g_ptr_array_free (state->crashproofs->probes, TRUE);
  g_free (state->crashproofs);
  state->crashproofs = NULL;
}

static void
log_processes (const struct rpc_endpoint_process *processes, u_int count,
               const char *outcome)
{
  for (u_int i = 0; i < count; i++)
    jc_event (JC_EVENT_CRASH, "endpoint=%s incarnation=%" PRIu64 " outcome=%s",
              processes[i].endpoint, processes[i].endpoint_incarnation,
              outcome);
}

/* Apply DATA, a committed entry of the kind LOG_CRASH_PROOFS.  */
void
crashproofs_apply (struct state *state, struct jc_str data)
{
  struct rpc_crash_proofs proofs = { 0 };
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  ok = xdr_rpc_crash_proofs (&xdr, &proofs);
  xdr_destroy (&xdr);
  if (ok)
    jc_crashes_apply_proofs (state->crash_table, &proofs, jc_now_ms ());
  else
    jc_event (JC_EVENT_BAD_INPUT,
              "from=log what=crash_proofs why=\"malformed\"");
  if (ok && state->crashproofs != NULL)
    {
      log_processes (proofs.ended.ended_val, proofs.ended.ended_len, "proved");
      log_processes (proofs.refuted.refuted_val, proofs.refuted.refuted_len,
                     "refuted");
    }
  xdr_free ((xdrproc_t)xdr_rpc_crash_proofs, (char *)&proofs);
  crashes_publish (state);
}
