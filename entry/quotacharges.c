/* Quota charges: what each request takes from its workspace's quota, before it
   is sent and again before each further time that it may run.  */

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "base/event.h"
#include "entry/quotas.h"
#include "net/program.h"

enum
{
  /* An owner that has not answered after this is passed over.  */
  ANSWER_TIMEOUT_MS = JC_QUOTACREDIT_MS,
  ASKS_MAX = 2,
  /* An owner that has no slots yet is asked again after this, a few times.  */
  HOLD_MS = 350,
  HOLDS_MAX = 4,
  MILLI = 1000
};

/* A request ASK, sent to OWNER at ASKED_MS, that EXCHANGE waits for.  It
   is made again when HOLD_TIMER ends.  */
struct quota_wait
{
  struct exchange *exchange;
  char *owner;
  unsigned int asks;
  unsigned int holds;
  ev_timer hold_timer;
  uint64_t xid;
  struct quota_ask ask;
  int64_t asked_ms;
};

/* Return what the request of EXCHANGE counts for in its workspace's quota.  */
static double
cost_of (const struct exchange *exchange)
{
  const struct jc_quota *quota = &exchange->workspace->quota;

  if (quota->unit == JC_QUOTA_REQUESTS)
    return 1;
  return exchange->request_info.counted_tokens > 0
             ? (double)exchange->request_info.counted_tokens
             : quota->plain_tokens;
}

static void
wait_free (struct exchange *exchange)
{
  struct quota_wait *wait = exchange->quota_wait;

  if (wait == NULL)
    return;
  if (wait->xid != 0)
    jc_rpc_cancel_call (exchange->router->entry->rpc, wait->xid);
  ev_timer_stop (exchange->router->entry->loop, &wait->hold_timer);
  g_free (wait->owner);
  g_free (wait);
  exchange->quota_wait = NULL;
}

static void
note_charged (struct exchange *exchange, double units, int64_t asked_ms)
{
  exchange->charged = true;
  exchange->charge_used = false;
  exchange->charge_waits = false;
  exchange->charged_units = units;
  exchange->charged_ms = asked_ms;
}

/* Log that the request of EXCHANGE for UNITS is refused by DECISION of
   OWNER.  */
static void
log_refusal (const struct exchange *exchange, double units, const char *owner,
             const struct jc_quota_decision *decision)
{
  const struct jc_quota *quota = &exchange->workspace->quota;
  char used[32] = "-";

  if (decision->used_per_s >= 0)
    g_snprintf (used, sizeof used, "%.0f", decision->used_per_s);
  jc_event (JC_EVENT_QUOTA,
            "id=%s workspace=%s what=refused units=%.0f per_s=%.0f burst=%.0f "
            "used_per_s=%s owner=%s slots=%u age_ms=%" PRId64
            " retry_ms=%" PRId64,
            exchange_id (exchange), exchange->workspace->name, units,
            quota->per_s, quota->burst, used, owner != NULL ? owner : "-",
            decision->slots, decision->age_ms, decision->retry_ms);
  jc_metrics_counter_add (exchange->router->entry->metrics,
                          "jaycove_quota_refused_total", "", 1);
}

static enum jc_status ask (struct exchange *exchange);

/* Go on with EXCHANGE, whose wait ended with RESULT.  */
static void
go_on (struct exchange *exchange, enum jc_status result)
{
  if (result == JC_CROWDED)
    return;
  exchange->quota_refused = result != JC_OK;
  wait_free (exchange);
  exchange_attempt (exchange);
}

static void
on_hold_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct exchange *exchange = watcher->data;

  (void)loop;
  (void)events;
  exchange->quota_wait->asks = 0;
  go_on (exchange, ask (exchange));
}

/* Let EXCHANGE wait for the owner to get slots.  Return false if it has waited
   long enough.  */
static bool
hold (struct exchange *exchange)
{
  struct quota_wait *wait = exchange->quota_wait;

  if (wait->holds++ >= HOLDS_MAX)
    return false;
  ev_timer_init (&wait->hold_timer, on_hold_timer, HOLD_MS / 1000.0, 0);
  wait->hold_timer.data = exchange;
  ev_timer_start (exchange->router->entry->loop, &wait->hold_timer);
  return true;
}

/* Apply DECISION of OWNER on a request of EXCHANGE for UNITS that was sent at
   ASKED_MS.  */
static enum jc_status
apply_decision (struct exchange *exchange, double units, const char *owner,
                const struct jc_quota_decision *decision, int64_t asked_ms)
{
  struct workspace_quota *quota
      = quotas_find (exchange->router, exchange->workspace->name);

  if (decision->granted < units && decision->slots == 0 && hold (exchange))
    return JC_CROWDED;
  if (decision->granted < units)
    {
      exchange->quota_retry_ms = decision->retry_ms;
      log_refusal (exchange, units, owner, decision);
      return jc_fail (JC_QUOTA_EXCEEDED,
                      "The request is over the quota of its workspace.");
    }
  note_charged (exchange, units, asked_ms);
  if (quota != NULL)
    jc_quotacredit_add (quota->credit, decision->granted - units, asked_ms);
  return JC_OK;
}

/* Gets the owner's answer, or that there is none, and goes on with the
   request.  */
static void
on_answer (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct exchange *exchange = ctx;
  struct quota_wait *wait = exchange->quota_wait;
  enum jc_status result;

  wait->xid = 0;
  /* A grant that comes after this process was suspended is too old.  */
  if (status == JC_OK && reply->body.type == RPC_QUOTA_GRANT
      && jc_boot_ms () - wait->asked_ms < JC_QUOTACREDIT_MS)
    {
      const struct rpc_quota_grant *grant = &reply->body.rpc_body_u.quota_grant;
      const struct jc_quota_decision decision
          = { .granted = (double)grant->milli / MILLI,
              .retry_ms = grant->retry_ms,
              .used_per_s = JC_QUOTA_USED_UNKNOWN,
              .slots = grant->slots,
              .age_ms = grant->age_ms };

      quotas_note_answered (exchange->router, wait->owner);
      result = apply_decision (exchange, wait->ask.units, wait->owner,
                               &decision, wait->asked_ms);
    }
  else
    {
      jc_event (JC_EVENT_QUOTA, "id=%s workspace=%s what=unanswered owner=%s",
                exchange_id (exchange), exchange->workspace->name, wait->owner);
      quotas_note_unanswered (exchange->router, wait->owner);
      result = ask (exchange);
    }
  go_on (exchange, result);
}

/* Send the request of EXCHANGE's wait to OWNER.  Return false if that is not
   possible.  */
static bool
send_take (struct exchange *exchange, const char *owner)
{
  struct router *router = exchange->router;
  struct quota_wait *wait = exchange->quota_wait;
  struct rpc_packet packet = { .body.type = RPC_QUOTA_TAKE };
  struct rpc_quota_take *take = &packet.body.rpc_body_u.quota_take;

  take->workspace = exchange->workspace->name;
  take->milli = (u_quad_t)ceil (wait->ask.units * MILLI);
  take->ahead_milli = (u_quad_t)(wait->ask.ahead * MILLI);
  take->waiting_milli = (u_quad_t)(wait->ask.waiting * MILLI);
  g_free (wait->owner);
  wait->owner = g_strdup (owner);
  wait->asked_ms = jc_boot_ms ();
  wait->xid = jc_rpc_call (jc_rpc_find_conn (router->entry->rpc, owner),
                           &packet, ANSWER_TIMEOUT_MS, on_answer, exchange);
  return wait->xid != 0;
}

/* Ask the owner of EXCHANGE's workspace, or the next one if it can't be asked.
   Return JC_CROWDED if an answer is to come.  */
static enum jc_status
ask (struct exchange *exchange)
{
  struct router *router = exchange->router;
  struct quota_wait *wait = exchange->quota_wait;
  const char *own = router->entry->settings->name;
  struct jc_quota_decision decision;

  while (wait->asks++ < ASKS_MAX)
    {
      const char *owner
          = quotas_pick_owner (router, exchange->workspace->name, NULL);

      if (owner == NULL || strcmp (owner, own) == 0)
        break;
      if (send_take (exchange, owner))
        return JC_CROWDED;
      quotas_note_unanswered (router, owner);
    }
  quotas_decide (router, exchange->workspace->name, &wait->ask, &decision);
  return apply_decision (exchange, wait->ask.units, own, &decision,
                         jc_boot_ms ());
}

/* Take UNITS for EXCHANGE from what this instance has.  */
static bool
take_credit (struct exchange *exchange, struct workspace_quota *quota,
             double units)
{
  int64_t now = jc_boot_ms ();
  int64_t asked_ms;

  quota->used_ms = now;
  if (!jc_quotacredit_take (quota->credit, units, now, &asked_ms))
    return false;
  note_charged (exchange, units, asked_ms);
  return true;
}

/* Ask for what EXCHANGE costs of QUOTA.  WAITING units were granted to it
   before.  */
static enum jc_status
begin_ask (struct exchange *exchange, struct workspace_quota *quota,
           double waiting)
{
  struct quota_wait *wait = g_new0 (struct quota_wait, 1);
  enum jc_status status;

  exchange->quota_wait = wait;
  wait->exchange = exchange;
  wait->ask.units = cost_of (exchange);
  wait->ask.ahead
      = jc_quotacredit_ahead (quota->credit, wait->ask.units, jc_boot_ms ());
  wait->ask.waiting = waiting;
  if (waiting > 0)
    wait->ask.ahead = 0;
  status = ask (exchange);
  if (status != JC_CROWDED)
    wait_free (exchange);
  return status;
}

/* Charge EXCHANGE for the next time that it is sent, unless that is done.
   Return JC_CROWDED if it waits for the owner of its workspace, after whose
   answer the attempt is made again, or JC_QUOTA_EXCEEDED if it is over the
   limit.  */
enum jc_status
quotas_charge (struct exchange *exchange)
{
  struct workspace_quota *quota;

  if (exchange->quota_refused)
    return jc_fail (JC_QUOTA_EXCEEDED,
                    "The request is over the quota of its workspace.");
  if (exchange->quota_wait != NULL)
    return JC_CROWDED;
  if (exchange->charged || exchange->workspace == NULL)
    return JC_OK;
  quota = quotas_find (exchange->router, exchange->workspace->name);
  if (quota == NULL || take_credit (exchange, quota, cost_of (exchange)))
    return JC_OK;
  return begin_ask (exchange, quota, 0);
}

/* Do nothing with the answer to what needs none.  */
static void
on_noted (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  (void)ctx;
  (void)status;
  (void)reply;
}

/* Tell OWNER that a request of WORKSPACE waits which UNITS were granted to.  If
   it can't be told, they count although nothing was sent.  */
static void
tell_waits (struct router *router, const char *workspace, const char *owner,
            double units)
{
  struct rpc_packet packet = { .body.type = RPC_QUOTA_TAKE };
  struct rpc_quota_take *take = &packet.body.rpc_body_u.quota_take;

  take->workspace = (char *)workspace;
  take->waiting_milli = (u_quad_t)(units * MILLI);
  if (jc_rpc_call (jc_rpc_find_conn (router->entry->rpc, owner), &packet,
                   ANSWER_TIMEOUT_MS, on_noted, NULL)
      == 0)
    jc_event (JC_EVENT_QUOTA, "workspace=%s what=wait_untold owner=%s",
              workspace, owner);
}

/* The request of EXCHANGE begins to wait: what it was charged counts once it is
   sent.  What was asked for too long ago counts twice, as the owner may have
   filled up since.  */
void
quotas_note_waits (struct exchange *exchange)
{
  struct router *router = exchange->router;
  const struct quota_ask ask = { .waiting = exchange->charged_units };
  struct jc_quota_decision decision;
  const char *owner;

  if (!exchange->charged || exchange->charge_waits
      || exchange->charged_units <= 0)
    return;
  exchange->charge_waits = true;
  owner = quotas_pick_owner (router, exchange->workspace->name, NULL);
  if (owner == NULL
      || jc_boot_ms () - exchange->charged_ms >= JC_QUOTACREDIT_MS)
    return;
  if (strcmp (owner, router->entry->settings->name) == 0)
    quotas_decide (router, exchange->workspace->name, &ask, &decision);
  else
    tell_waits (router, exchange->workspace->name, owner, ask.waiting);
}

/* Have what EXCHANGE was charged count from now on if it has waited or was
   granted too long ago, as its request is about to be sent only now.  Return as
   quotas_charge does.  */
enum jc_status
quotas_renew_charge (struct exchange *exchange)
{
  struct workspace_quota *quota;

  if (!exchange->charged || exchange->charged_units <= 0
      || (!exchange->charge_waits
          && jc_boot_ms () - exchange->charged_ms < JC_QUOTACREDIT_MS))
    return JC_OK;
  quota = quotas_find (exchange->router, exchange->workspace->name);
  exchange->charged = false;
  if (quota == NULL)
    return JC_OK;
  return begin_ask (exchange, quota, exchange->charged_units);
}

/* Charge EXCHANGE, whose request is about to be sent once more within the
   current attempt, for that.  Return false if this instance has no credit.  */
bool
quotas_charge_repeat (struct exchange *exchange)
{
  struct workspace_quota *quota
      = exchange->workspace != NULL
            ? quotas_find (exchange->router, exchange->workspace->name)
            : NULL;

  if (quota == NULL)
    return true;
  if (!take_credit (exchange, quota, cost_of (exchange)))
    return false;
  exchange->charge_used = true;
  return true;
}

/* The current attempt of EXCHANGE ended.  With NOT_RUN the request certainly
   has not run, so that what it was charged serves the next attempt.  */
void
quotas_note_attempt_ended (struct exchange *exchange, bool not_run)
{
  exchange->charge_used = false;
  if (!not_run)
    exchange->charged = false;
}

/* EXCHANGE ends.  What it was charged and has certainly not used is left to
   other requests for as long as it holds.  */
void
quotas_forget (struct exchange *exchange)
{
  struct workspace_quota *quota;

  wait_free (exchange);
  if (!exchange->charged || exchange->charge_used || exchange->charge_waits
      || exchange->handed_over || exchange->workspace == NULL)
    return;
  quota = quotas_find (exchange->router, exchange->workspace->name);
  if (quota != NULL)
    jc_quotacredit_add (quota->credit, exchange->charged_units,
                        exchange->charged_ms);
}
