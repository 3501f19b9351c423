/* Graceful shutdown: the instance takes no new requests, finishes those in
   flight, and ends the event loop.  */

#include "base/log.h"
#include "entry/entry.h"
#include "net/program.h"

#define LOG_COMPONENT "drain"

enum
{
  CHECK_INTERVAL_MS = 100,
  MIN_DRAIN_MS = 1000,
  CLOSE_WAIT_MS = 500,
  MS_PER_S = 1000
};

/* Begin to drain: refuse new requests and tell other instances.  Does nothing
   if a drain is under way.  */
void
drain_start (struct entry *entry)
{
  if (entry->draining)
    return;
  entry->draining = true;
  entry->drain_started_ms = jc_now_ms ();
  membership_drain (entry);
  jc_info (LOG_COMPONENT, "Draining with %u requests in flight.",
           entry->in_flight);
}

/* Return true if a request is under way or data waits to be sent to a peer.  */
static bool
drain_is_busy (const struct entry *entry)
{
  return entry->in_flight > 0
         || jc_httpd_count_requests (entry->callers_listener) > 0
         || jc_rpc_backlog_bytes (entry->rpc) > 0;
}

/* End the event loop once the drain is complete: after MIN_DRAIN_MS, in which
   callers can learn that this instance leaves, with nothing under way, and with
   all connections of callers closed or CLOSE_WAIT_MS later.  End it in any case
   at the limit of the settings.  */
static void
drain_check (struct entry *entry)
{
  int64_t now = jc_now_ms ();
  int64_t elapsed_ms = now - entry->drain_started_ms;

  if (elapsed_ms >= entry->settings->drain_limit_ms)
    {
      if (drain_is_busy (entry))
        jc_warn (LOG_COMPONENT, "Drain limit reached; aborting %u requests.",
                 entry->in_flight);
      ev_break (entry->loop, EVBREAK_ALL);
      return;
    }
  if (elapsed_ms < MIN_DRAIN_MS || drain_is_busy (entry))
    return;
  if (entry->quiesced_ms == 0)
    {
      entry->quiesced_ms = now;
      jc_httpd_stop_accepting (entry->callers_listener);
    }
  if (jc_httpd_count_connections (entry->callers_listener) == 0
      || now - entry->quiesced_ms >= CLOSE_WAIT_MS)
    ev_break (entry->loop, EVBREAK_ALL);
}

static void
on_drain_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  if (entry->draining)
    drain_check (entry);
}

/* Start the timer that checks whether a drain is complete.  */
void
drain_timer_start (struct entry *entry)
{
  double interval_s = (double)CHECK_INTERVAL_MS / MS_PER_S;

  ev_timer_init (&entry->drain_timer, on_drain_timer, interval_s, interval_s);
  entry->drain_timer.data = entry;
  ev_timer_start (entry->loop, &entry->drain_timer);
}

/* Handle POST /drain of an operator.  The answer comes at once; the drain goes
   on after it.  */
void
drain_handle (struct entry *entry, struct jc_http_req *req)
{
  drain_start (entry);
  jc_http_reply (req, 200, "application/json",
                 JC_STR_LIT ("{\"draining\":true}"), NULL);
}
