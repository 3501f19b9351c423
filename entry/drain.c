/* Drain: no new work, requests in flight end whole, then the process
   exits.  */

#include "base/log.h"
#include "entry/entry.h"
#include "net/program.h"

#define PART "drain"

enum
{
  CHECK_MS = 100,
  LINGER_MS = 1000,
  CLOSE_MS = 500,
  MS_PER_S = 1000
};

/* Begin to drain.  Doing so again changes nothing.  */
void
drain_start (struct entry *entry)
{
  if (entry->draining)
    return;
  entry->draining = true;
  entry->drain_started_ms = jc_now_ms ();
  membership_drain (entry);
  jc_info (PART, "Draining %u requests.", entry->in_flight);
}

/* Tell whether an answer is still on its way to a caller or a peer.  */
static bool
drain_is_busy (const struct entry *entry)
{
  return entry->in_flight > 0 || jc_httpd_requests (entry->callers_listener) > 0
         || jc_rpc_backlog (entry->rpc) > 0;
}

static void
drain_check (struct entry *entry)
{
  int64_t now = jc_now_ms ();
  int64_t waited = now - entry->drain_started_ms;

  if (waited >= entry->settings->drain_limit_ms)
    {
      if (drain_is_busy (entry))
        jc_warn (PART, "Gave up %u requests at the limit.", entry->in_flight);
      ev_break (entry->loop, EVBREAK_ALL);
      return;
    }
  if (waited < LINGER_MS || drain_is_busy (entry))
    return;
  if (entry->quiesced_ms == 0)
    {
      entry->quiesced_ms = now;
      jc_httpd_quiesce (entry->callers_listener);
    }
  if (jc_httpd_connections (entry->callers_listener) == 0
      || now - entry->quiesced_ms >= CLOSE_MS)
    ev_break (entry->loop, EVBREAK_ALL);
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  if (entry->draining)
    drain_check (entry);
}

/* Watch for the end of a drain.  */
void
drain_timer_start (struct entry *entry)
{
  double every_s = (double)CHECK_MS / MS_PER_S;

  ev_timer_init (&entry->drain_timer, on_check, every_s, every_s);
  entry->drain_timer.data = entry;
  ev_timer_start (entry->loop, &entry->drain_timer);
}

/* Handle POST /drain of an operator.  */
void
drain_handle (struct entry *entry, struct jc_http_req *req)
{
  drain_start (entry);
  jc_http_reply (req, 200, "application/json",
                 JC_STR_LIT ("{\"draining\":true}"), NULL);
}
