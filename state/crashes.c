/* Crashes: entry instances report endpoints that crashed and what ran there;
   the log decides which requests are blocked, and entry instances are told.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "net/program.h"
#include "state/state.h"

enum
{
  /* See member/crashes.h for why crashes of one interval count as one.  */
  GATHER_INTERVAL_MS = 100,
  /* A proposal that came to nothing is made again after this time, as often as
     this, which is longer than the election of a leader takes.  */
  RETRY_INTERVAL_MS = 500,
  ATTEMPTS_MAX = 20,
  /* Intervals that wait for a leader.  */
  WAITING_MAX = 256,
  EXPIRY_INTERVAL_MS = 10000,
  CRASHES_MAX = 256,
  FINGERPRINTS_MAX = 4096,
  SUSPECTS_MAX = 8192
};

/* REPORTS are those of the current interval.  WAITING holds the encoded changes
   of earlier ones.  PROPOSED is the log entry that is under way, which has
   failed ATTEMPTS times, or NULL.  TOLD are the suspects that subscribers know
   of.  */
struct crashes
{
  GPtrArray *reports;
  GQueue waiting;
  GString *proposed;
  unsigned int attempts;
  GArray *told;
  ev_timer gather_timer;
  ev_timer retry_timer;
  ev_timer expiry_timer;
};

static void
report_free (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_rpc_crash_changes, data);
  g_free (data);
}

static void
string_free (gpointer data)
{
  g_string_free (data, TRUE);
}

static void propose_next (struct state *state);

static void
on_proposed (void *ctx, enum jc_status status)
{
  struct state *state = ctx;
  struct crashes *crashes = state->crashes;

  if (crashes == NULL || crashes->proposed == NULL)
    return;
  if (status != JC_OK)
    jc_event (JC_EVENT_CRASH, "what=proposal attempt=%u outcome=%s",
              crashes->attempts, jc_status_name (status));
  if (status == JC_OK || ++crashes->attempts >= ATTEMPTS_MAX)
    {
      g_string_free (crashes->proposed, TRUE);
      crashes->proposed = NULL;
      crashes->attempts = 0;
    }
  timer_start_once (state, &crashes->retry_timer,
                    crashes->proposed != NULL ? RETRY_INTERVAL_MS : 0);
}

static void
on_retry_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  propose_next (watcher->data);
}

/* Propose the entry that failed last or, if there is none, all changes that
   wait.  They stay apart in it, since crashes of different intervals count one
   by one.  */
static void
propose_next (struct state *state)
{
  struct crashes *crashes = state->crashes;

  if (crashes->proposed == NULL && !g_queue_is_empty (&crashes->waiting))
    {
      crashes->proposed = g_queue_pop_head (&crashes->waiting);
      while (!g_queue_is_empty (&crashes->waiting))
        {
          GString *changes = g_queue_pop_head (&crashes->waiting);

          g_string_append_len (crashes->proposed, changes->str,
                               (gssize)changes->len);
          g_string_free (changes, TRUE);
        }
    }
  if (crashes->proposed != NULL)
    log_propose (state, LOG_CRASHES, jc_str_from_gstring (crashes->proposed),
                 on_proposed, state);
}

/* Append up to MAX elements of FROM to TO.  */
static void
append_up_to (GArray *to, const void *from, u_int count, guint max)
{
  if (to->len < max)
    g_array_append_vals (to, from, MIN (count, max - to->len));
}

/* Return the reports that have gathered, encoded as one change.  */
static GString *
encode_reports (const struct crashes *crashes)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct rpc_crash));
  GArray *answered = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *known = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct rpc_crash_changes changes;
  GString *out;

  for (guint i = 0; i < crashes->reports->len; i++)
    {
      const struct rpc_crash_changes *report
          = g_ptr_array_index (crashes->reports, i);

      append_up_to (list, report->crashes.crashes_val,
                    report->crashes.crashes_len, CRASHES_MAX);
      append_up_to (answered, report->answered.answered_val,
                    report->answered.answered_len, FINGERPRINTS_MAX);
      append_up_to (known, report->known.known_val, report->known.known_len,
                    FINGERPRINTS_MAX);
      append_up_to (expired, report->expired.expired_val,
                    report->expired.expired_len, FINGERPRINTS_MAX);
    }
  changes = (struct rpc_crash_changes){
    .crashes = { .crashes_len = list->len,
                 .crashes_val = (struct rpc_crash *)list->data },
    .answered = { .answered_len = answered->len,
                  .answered_val = (u_quad_t *)answered->data },
    .known = { .known_len = known->len, .known_val = (u_quad_t *)known->data },
    .expired
    = { .expired_len = expired->len, .expired_val = (u_quad_t *)expired->data }
  };
  out = jc_crashes_encode (&changes);
  g_array_free (list, TRUE);
  g_array_free (answered, TRUE);
  g_array_free (known, TRUE);
  g_array_free (expired, TRUE);
  return out;
}

static void
on_gather_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  struct crashes *crashes = state->crashes;

  (void)loop;
  (void)events;
  if (g_queue_get_length (&crashes->waiting) < WAITING_MAX)
    g_queue_push_tail (&crashes->waiting, encode_reports (crashes));
  else
    jc_event (JC_EVENT_CRASH, "what=proposal outcome=dropped waiting=%u",
              WAITING_MAX);
  g_ptr_array_set_size (crashes->reports, 0);
  if (crashes->proposed == NULL)
    propose_next (state);
}

/* Add CHANGES to those of the current interval.  */
static void
gather (struct state *state, const struct rpc_crash_changes *changes)
{
  struct rpc_crash_changes *copy = g_new0 (struct rpc_crash_changes, 1);
  GString *encoded = jc_crashes_encode (changes);
  struct jc_str data = jc_str_from_gstring (encoded);

  if (jc_crashes_next (&data, copy)
      && state->crashes->reports->len < FINGERPRINTS_MAX)
    g_ptr_array_add (state->crashes->reports, copy);
  else
    report_free (copy);
  g_string_free (encoded, TRUE);
  timer_start_once (state, &state->crashes->gather_timer, GATHER_INTERVAL_MS);
}

/* The leader lets blocks end.  */
static void
on_expiry_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct state *state = watcher->data;
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct rpc_crash_changes changes = { 0 };

  (void)loop;
  (void)events;
  if (log_is_leader (state))
    jc_crashes_plan_expiry (state->crash_table, jc_now_ms (), expired);
  changes.expired.expired_len = MIN (expired->len, FINGERPRINTS_MAX);
  changes.expired.expired_val = (u_quad_t *)expired->data;
  if (expired->len > 0)
    gather (state, &changes);
  g_array_free (expired, TRUE);
  timer_start_once (state, watcher, EXPIRY_INTERVAL_MS);
}

/* Start the module.  */
void
crashes_start (struct state *state)
{
  struct crashes *crashes = g_new0 (struct crashes, 1);

  crashes->reports = g_ptr_array_new_with_free_func (report_free);
  crashes->told = g_array_new (FALSE, FALSE, sizeof (struct rpc_suspect));
  jc_crashes_list (state->crash_table, crashes->told);
  state->crashes = crashes;
  g_queue_init (&crashes->waiting);
  ev_init (&crashes->gather_timer, on_gather_timer);
  crashes->gather_timer.data = state;
  ev_init (&crashes->retry_timer, on_retry_timer);
  crashes->retry_timer.data = state;
  ev_init (&crashes->expiry_timer, on_expiry_timer);
  crashes->expiry_timer.data = state;
  timer_start_once (state, &crashes->expiry_timer, EXPIRY_INTERVAL_MS);
}

/* Stop the module.  */
void
crashes_stop (struct state *state)
{
  struct crashes *crashes = state->crashes;

  if (crashes == NULL)
    return;
  ev_timer_stop (state->loop, &crashes->gather_timer);
  ev_timer_stop (state->loop, &crashes->retry_timer);
  ev_timer_stop (state->loop, &crashes->expiry_timer);
  g_ptr_array_free (crashes->reports, TRUE);
  g_queue_clear_full (&crashes->waiting, string_free);
  if (crashes->proposed != NULL)
    g_string_free (crashes->proposed, TRUE);
  g_array_free (crashes->told, TRUE);
  g_free (crashes);
  state->crashes = NULL;
}

/* Handle a report of the entry instance CONN.  Other messages are ignored.  */
void
crashes_handle_packet (struct state *state, struct jc_rpc_conn *conn,
                       const struct rpc_packet *packet)
{
  struct rpc_crash_changes report;

  if (packet->body.type != RPC_CRASH_REPORT
      || strcmp (jc_rpc_conn_role (conn), "entry") != 0)
    return;
  /* Only the leader lets blocks end.  */
  report = packet->body.rpc_body_u.crash_report;
  report.expired.expired_len = 0;
  gather (state, &report);
}

/* Set OUT to the row of ROWS, which are sorted, that is about the same
   fingerprint as ROW.  Return false if there is none.  */
static bool
find_row (GArray *rows, const struct rpc_suspect *row, struct rpc_suspect *out)
{
  guint index;

  if (!g_array_binary_search (rows, row, jc_crashes_compare_rows, &index))
    return false;
  *out = g_array_index (rows, struct rpc_suspect, index);
  return true;
}

static void
append_cleared (GArray *changes, uint64_t fingerprint)
{
  const struct rpc_suspect row
      = { .fingerprint = fingerprint, .state = RPC_CLEARED };

  g_array_append_val (changes, row);
}

/* Append to CHANGES the rows of NOW that BEFORE doesn't have in the same state
   or has with a lower score, and those of BEFORE that NOW doesn't have, as
   cleared.  */
static void
append_changes (GArray *before, GArray *now, GArray *changes)
{
  struct rpc_suspect other;

  for (guint i = 0; i < now->len; i++)
    {
      const struct rpc_suspect *row
          = &g_array_index (now, struct rpc_suspect, i);

      if (!find_row (before, row, &other) || other.state != row->state
          || other.score < row->score)
        g_array_append_val (changes, *row);
    }
  for (guint i = 0; i < before->len; i++)
    {
      const struct rpc_suspect *row
          = &g_array_index (before, struct rpc_suspect, i);

      if (!find_row (now, row, &other))
        append_cleared (changes, row->fingerprint);
    }
}

static void
send_suspects (struct jc_rpc_conn *conn, bool full, const GArray *rows)
{
  struct rpc_packet packet = { .body.type = RPC_SUSPECTS };
  struct rpc_suspects *suspects = &packet.body.rpc_body_u.suspects;

  suspects->full = full;
  suspects->list.list_val = (struct rpc_suspect *)rows->data;
  suspects->list.list_len = MIN (rows->len, (guint)SUSPECTS_MAX);
  jc_rpc_send (conn, &packet);
}

/* Log which fingerprints were blocked or ceased to be.  */
static void
log_changes (const GArray *changes)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const struct rpc_suspect *row
          = &g_array_index (changes, struct rpc_suspect, i);

      jc_event (JC_EVENT_CRASH,
                "fingerprint=%016" PRIx64 " score=%u outcome=%s",
                row->fingerprint, row->score,
                row->state == RPC_BLOCKED     ? "blocked"
                : row->state == RPC_SUSPECTED ? "suspected"
                                              : "cleared");
    }
}

/* Tell the entry instances that follow this one what has changed.  */
void
crashes_publish (struct state *state)
{
  struct crashes *crashes = state->crashes;
  GArray *rows;
  GArray *changes;
  GPtrArray *conns;

  crashproofs_schedule (state);
  if (crashes == NULL)
    return;
  rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_suspect));
  changes = g_array_new (FALSE, FALSE, sizeof (struct rpc_suspect));
  conns = g_ptr_array_new ();
  jc_crashes_list (state->crash_table, rows);
  append_changes (crashes->told, rows, changes);
  jc_rpc_list_conns (state->rpc, "entry", conns);
  for (guint i = 0; changes->len > 0 && i < conns->len; i++)
    if (orders_is_subscribed (state, g_ptr_array_index (conns, i)))
      send_suspects (g_ptr_array_index (conns, i), false, changes);
  log_changes (changes);
  g_ptr_array_free (conns, TRUE);
  g_array_free (changes, TRUE);
  g_array_free (crashes->told, TRUE);
  crashes->told = rows;
}

/* Send the entry instance CONN, which begins to follow this one, all
   suspects.  */
void
crashes_send_snapshot (struct state *state, struct jc_rpc_conn *conn)
{
  if (state->crashes != NULL)
    send_suspects (conn, true, state->crashes->told);
}

static void
log_crashes (const struct rpc_crash_changes *changes)
{
  for (u_int i = 0; i < changes->crashes.crashes_len; i++)
    jc_event (JC_EVENT_CRASH,
              "endpoint=%s incarnation=%" PRIu64
              " requests=%u outcome=recorded",
              changes->crashes.crashes_val[i].endpoint,
              changes->crashes.crashes_val[i].endpoint_incarnation,
              changes->crashes.crashes_val[i].requests.requests_len);
}

/* Apply DATA, a committed entry of the kind LOG_CRASHES.  */
void
crashes_apply (struct state *state, struct jc_str data)
{
  bool ok = true;

  while (ok && data.len > 0)
    {
      struct rpc_crash_changes changes;

      ok = jc_crashes_next (&data, &changes);
      if (ok)
        jc_crashes_apply (state->crash_table, &changes, jc_now_ms ());
      if (ok && state->crashes != NULL)
        log_crashes (&changes);
      xdr_free ((xdrproc_t)xdr_rpc_crash_changes, (char *)&changes);
    }
  if (!ok)
    jc_event (JC_EVENT_BAD_INPUT, "from=log what=crashes why=\"malformed\"");
  crashes_publish (state);
}
