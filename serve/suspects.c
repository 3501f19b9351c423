/* Suspects.  */

#include <string.h>

#include "member/crashes.h"
#include "serve/suspects.h"

enum
{
  /* An endpoint that is not known to have crashed by then has not.  */
  CRASH_KNOWN_MS = 3000,
  /* The log has judged by then what an instance reports that it reaches again:
     two intervals of reports and the commits.  */
  JUDGED_MS = 3000,
  /* A whole answer this long ago still clears requests that are suspected
     now, since news of a crash take a moment.  */
  ANSWER_COUNTS_MS = 2000,
  /* Requests that were answered whole this long ago are blocked on more
     evidence than others: they may have become bad only now.  */
  ANSWER_KNOWN_MS = 60000,
  ANSWERED_MAX = 4096,
  SUSPECTS_MAX = 8192,
  REPORT_CRASHES_MAX = 256,
  REPORT_REQUESTS_MAX = 256,
  REPORT_ANSWERED_MAX = 4096,
  /* Fingerprints are blocked on what this instance alone has seen only after
     one more crash than on the evidence of all: others may have had whole
     answers.  */
  OWN_BLOCK_SCORE = JC_CRASH_BLOCK_SCORE + JC_CRASH_SCORE_STARTING
};

/* An endpoint that broke off attempts, and their requests, struct
   rpc_crash_request.  CRASHED is true once it is known to have crashed.  */
struct broken
{
  char *endpoint;
  uint64_t incarnation;
  int64_t since_ms;
  bool crashed;
  GArray *requests;
};

/* STATES maps fingerprints that are suspected or blocked to enum rpc_suspicion,
   ANSWERED_MS fingerprints to their last whole answer.  ANSWERED and KNOWN hold
   those to report.  OWN is the evidence that this instance has seen itself,
   which counts at once while it is ALONE: without a state instance, as it was
   last at ALONE_MS, or not yet judged by one.  */
struct jc_suspects
{
  GPtrArray *broken;
  GHashTable *states;
  GHashTable *answered_ms;
  GArray *answered;
  GArray *known;
  struct jc_crashes *own;
  bool alone;
  int64_t alone_ms;
};

static void
broken_free (gpointer data)
{
  struct broken *broken = data;

  for (guint i = 0; i < broken->requests->len; i++)
    g_free (g_array_index (broken->requests, struct rpc_crash_request, i)
                .fingerprints.fingerprints_val);
  g_array_free (broken->requests, TRUE);
  g_free (broken->endpoint);
  g_free (broken);
}

struct jc_suspects *
jc_suspects_new (void)
{
  struct jc_suspects *suspects = g_new0 (struct jc_suspects, 1);

  suspects->broken = g_ptr_array_new_with_free_func (broken_free);
  suspects->states
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  suspects->answered_ms
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  suspects->answered = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  suspects->known = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  suspects->own = jc_crashes_new (OWN_BLOCK_SCORE);
  suspects->alone_ms = -(int64_t)JUDGED_MS - 1;
  return suspects;
}

void
jc_suspects_free (struct jc_suspects *suspects)
{
  g_ptr_array_free (suspects->broken, TRUE);
  g_hash_table_destroy (suspects->states);
  g_hash_table_destroy (suspects->answered_ms);
  g_array_free (suspects->answered, TRUE);
  g_array_free (suspects->known, TRUE);
  jc_crashes_free (suspects->own);
  g_free (suspects);
}

static struct broken *
find_broken (const struct jc_suspects *suspects, const char *endpoint,
             uint64_t incarnation)
{
  for (guint i = 0; i < suspects->broken->len; i++)
    {
      struct broken *broken = g_ptr_array_index (suspects->broken, i);

      if (broken->incarnation == incarnation
          && strcmp (broken->endpoint, endpoint) == 0)
        return broken;
    }
  return NULL;
}

/* Record ATTEMPT.  Return true if it is the first one that its endpoint broke
   off, so that it should be found out whether that has crashed.  */
bool
jc_suspects_note_broken (struct jc_suspects *suspects,
                         const struct jc_broken_attempt *attempt,
                         int64_t now_ms)
{
  struct broken *broken
      = find_broken (suspects, attempt->endpoint, attempt->incarnation);
  struct rpc_crash_request request
      = { .request = attempt->request, .starting = attempt->starting };
  bool first = broken == NULL;

  if (attempt->fingerprints->count == 0)
    return false;
  if (first)
    {
      broken = g_new0 (struct broken, 1);
      broken->endpoint = g_strdup (attempt->endpoint);
      broken->incarnation = attempt->incarnation;
      broken->since_ms = now_ms;
      broken->requests
          = g_array_new (FALSE, FALSE, sizeof (struct rpc_crash_request));
      g_ptr_array_add (suspects->broken, broken);
    }
  if (broken->requests->len >= REPORT_REQUESTS_MAX)
    return first;
  request.fingerprints.fingerprints_len = attempt->fingerprints->count;
  request.fingerprints.fingerprints_val
      = g_memdup2 (attempt->fingerprints->values,
                   attempt->fingerprints->count * sizeof (uint64_t));
  g_array_append_val (broken->requests, request);
  return first;
}

/* Record that INCARNATION of ENDPOINT has crashed.  */
void
jc_suspects_note_crashed (struct jc_suspects *suspects, const char *endpoint,
                          uint64_t incarnation)
{
  struct broken *broken = find_broken (suspects, endpoint, incarnation);

  if (broken != NULL)
    broken->crashed = true;
}

static void
process_free (gpointer data)
{
  g_free (((struct rpc_endpoint_process *)data)->endpoint);
}

/* Ask JUDGE about the crashes that this instance has seen.  Those that are not
   refuted count while it is alone: the log then decides nothing here.  */
static void
check_own (struct jc_suspects *suspects, jc_suspects_judge_fn *judge, void *ctx,
           int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct jc_crash_report));
  GArray *ended
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint_process));
  GArray *refuted
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint_process));
  struct rpc_crash_proofs proofs = { 0 };

  g_array_set_clear_func (ended, process_free);
  g_array_set_clear_func (refuted, process_free);
  jc_crashes_list_reported (suspects->own, rows);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct jc_crash_report *row
          = &g_array_index (rows, struct jc_crash_report, i);
      const struct rpc_endpoint_process process
          = { .endpoint = g_strdup (row->endpoint),
              .endpoint_incarnation = row->incarnation };
      enum jc_crash_verdict verdict
          = judge (ctx, row->endpoint, row->incarnation, row->recorded_ms);

      if (verdict == JC_CRASH_REFUTED)
        g_array_append_val (refuted, process);
      else if (!row->proved && (suspects->alone || verdict == JC_CRASH_ENDED))
        g_array_append_val (ended, process);
      else
        g_free (process.endpoint);
    }
  proofs.ended.ended_len = ended->len;
  proofs.ended.ended_val = (struct rpc_endpoint_process *)ended->data;
  proofs.refuted.refuted_len = refuted->len;
  proofs.refuted.refuted_val = (struct rpc_endpoint_process *)refuted->data;
  if (ended->len > 0 || refuted->len > 0)
    jc_crashes_apply_proofs (suspects->own, &proofs, now_ms);
  g_array_free (rows, TRUE);
  g_array_free (ended, TRUE);
  g_array_free (refuted, TRUE);
}

/* Ask JUDGE about each endpoint that broke off attempts, and forget those that
   have not crashed.  ALONE tells that no state instance reaches this one, so
   that what it has seen itself has to do.  */
void
jc_suspects_check (struct jc_suspects *suspects, jc_suspects_judge_fn *judge,
                   void *ctx, bool alone, int64_t now_ms)
{
  if (alone)
    suspects->alone_ms = now_ms;
  suspects->alone = now_ms - suspects->alone_ms <= JUDGED_MS;
  check_own (suspects, judge, ctx, now_ms);
  for (guint i = suspects->broken->len; i > 0; i--)
    {
      struct broken *broken = g_ptr_array_index (suspects->broken, i - 1);

      if (!broken->crashed)
        broken->crashed = judge (ctx, broken->endpoint, broken->incarnation,
                                 broken->since_ms)
                          == JC_CRASH_ENDED;
      if (!broken->crashed && now_ms - broken->since_ms > CRASH_KNOWN_MS)
        g_ptr_array_remove_index (suspects->broken, i - 1);
    }
}

static void
append_report (GArray *list, uint64_t fingerprint)
{
  if (list->len < REPORT_ANSWERED_MAX)
    g_array_append_val (list, fingerprint);
}

static gboolean
is_old_answer (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(int64_t *)now_ms - *(int64_t *)value > ANSWER_KNOWN_MS / 2;
}

/* Record that a request with FINGERPRINTS was answered whole.  */
void
jc_suspects_note_answered (struct jc_suspects *suspects,
                           const struct jc_fingerprints *fingerprints,
                           int64_t now_ms)
{
  if (g_hash_table_size (suspects->answered_ms) >= ANSWERED_MAX)
    g_hash_table_foreach_remove (suspects->answered_ms, is_old_answer, &now_ms);
  for (unsigned int i = 0; i < fingerprints->count; i++)
    {
      uint64_t fingerprint = fingerprints->values[i];

      if (g_hash_table_size (suspects->answered_ms) < ANSWERED_MAX)
        g_hash_table_replace (suspects->answered_ms,
                              g_memdup2 (&fingerprint, sizeof fingerprint),
                              g_memdup2 (&now_ms, sizeof now_ms));
      if (g_hash_table_remove (suspects->states, &fingerprint)
          || jc_crashes_score (suspects->own, fingerprint) > 0)
        append_report (suspects->answered, fingerprint);
    }
}

/* Record that FINGERPRINT is suspected now.  Return false if a request
   with it was answered whole so recently that it is not.  */
static bool
note_suspected (struct jc_suspects *suspects, uint64_t fingerprint,
                int64_t now_ms)
{
  const int64_t *answered_ms
      = g_hash_table_lookup (suspects->answered_ms, &fingerprint);
  int64_t age_ms = answered_ms != NULL ? now_ms - *answered_ms : INT64_MAX;

  if (age_ms <= ANSWER_COUNTS_MS)
    append_report (suspects->answered, fingerprint);
  else if (age_ms <= ANSWER_KNOWN_MS)
    append_report (suspects->known, fingerprint);
  return age_ms > ANSWER_COUNTS_MS;
}

/* Take off the evidence of this instance what UPDATE clears: others had whole
   answers.  */
static void
clear_own (struct jc_suspects *suspects, const struct rpc_suspects *update,
           int64_t now_ms)
{
  GArray *cleared = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct rpc_crash_changes changes = { 0 };

  for (u_int i = 0; i < update->list.list_len; i++)
    {
      uint64_t fingerprint = update->list.list_val[i].fingerprint;

      if (update->list.list_val[i].state == RPC_CLEARED
          && jc_crashes_score (suspects->own, fingerprint) > 0)
        g_array_append_val (cleared, fingerprint);
    }
  changes.answered.answered_len = cleared->len;
  changes.answered.answered_val = (u_quad_t *)cleared->data;
  if (cleared->len > 0)
    jc_crashes_apply (suspects->own, &changes, now_ms);
  g_array_free (cleared, TRUE);
}

/* Apply UPDATE of a state instance.  */
void
jc_suspects_update (struct jc_suspects *suspects,
                    const struct rpc_suspects *update, int64_t now_ms)
{
  clear_own (suspects, update, now_ms);
  if (update->full)
    g_hash_table_remove_all (suspects->states);
  for (u_int i = 0; i < update->list.list_len; i++)
    {
      const struct rpc_suspect *row = &update->list.list_val[i];
      uint64_t fingerprint = row->fingerprint;

      if (row->state == RPC_CLEARED
          || (row->state == RPC_SUSPECTED
              && !note_suspected (suspects, fingerprint, now_ms)))
        g_hash_table_remove (suspects->states, &fingerprint);
      else if (g_hash_table_size (suspects->states) < SUSPECTS_MAX)
        g_hash_table_replace (suspects->states,
                              g_memdup2 (&fingerprint, sizeof fingerprint),
                              GUINT_TO_POINTER (row->state));
    }
}

/* Return whether one of FINGERPRINTS is blocked, and set BLOCKED to it.  */
bool
jc_suspects_find_blocked (const struct jc_suspects *suspects,
                          const struct jc_fingerprints *fingerprints,
                          uint64_t *blocked)
{
  for (unsigned int i = 0; i < fingerprints->count; i++)
    {
      *blocked = fingerprints->values[i];
      if (GPOINTER_TO_UINT (g_hash_table_lookup (suspects->states, blocked))
              == RPC_BLOCKED
          || jc_crashes_is_blocked (suspects->own, *blocked))
        return true;
    }
  return false;
}

/* Return whether one of FINGERPRINTS is suspected or blocked.  */
bool
jc_suspects_is_suspected (const struct jc_suspects *suspects,
                          const struct jc_fingerprints *fingerprints)
{
  for (unsigned int i = 0; i < fingerprints->count; i++)
    if (g_hash_table_contains (suspects->states, &fingerprints->values[i]))
      return true;
  return false;
}

/* Return the number of fingerprints in STATE.  */
unsigned int
jc_suspects_count (const struct jc_suspects *suspects, enum rpc_suspicion state)
{
  unsigned int count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, suspects->states);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += GPOINTER_TO_UINT (value) == state;
  return count;
}

/* Append to ROWS, an array of struct rpc_suspect, the suspected and the blocked
   fingerprints, without their scores.  */
void
jc_suspects_list (const struct jc_suspects *suspects, GArray *rows)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, suspects->states);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct rpc_suspect row
          = { .fingerprint = *(uint64_t *)key,
              .state = (enum rpc_suspicion)GPOINTER_TO_UINT (value) };

      g_array_append_val (rows, row);
    }
}

/* Clear FINGERPRINT, as a whole answer does.  Return false if it is neither
   suspected nor blocked.  */
bool
jc_suspects_clear (struct jc_suspects *suspects, uint64_t fingerprint)
{
  bool known = g_hash_table_remove (suspects->states, &fingerprint)
               || jc_crashes_is_blocked (suspects->own, fingerprint);

  if (known)
    append_report (suspects->answered, fingerprint);
  return known;
}

/* Report which fingerprints of REQUEST, which ran at a crash, requests were
   answered whole with shortly before.  */
static void
report_known (struct jc_suspects *suspects,
              const struct rpc_crash_request *request, int64_t now_ms)
{
  for (u_int i = 0; i < request->fingerprints.fingerprints_len; i++)
    {
      uint64_t fingerprint = request->fingerprints.fingerprints_val[i];
      const int64_t *answered_ms
          = g_hash_table_lookup (suspects->answered_ms, &fingerprint);

      if (answered_ms != NULL && now_ms - *answered_ms <= ANSWER_KNOWN_MS)
        append_report (suspects->known, fingerprint);
    }
}

/* Apply REPORT to the evidence of this instance.  */
static void
apply_own (struct jc_suspects *suspects, const struct rpc_crash_changes *report,
           int64_t now_ms)
{
  GArray *ended
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_endpoint_process));
  struct rpc_crash_proofs proofs = { 0 };

  jc_crashes_apply (suspects->own, report, now_ms);
  for (u_int i = 0; suspects->alone && i < report->crashes.crashes_len; i++)
    {
      const struct rpc_crash *crash = &report->crashes.crashes_val[i];
      const struct rpc_endpoint_process process
          = { .endpoint = crash->endpoint,
              .endpoint_incarnation = crash->endpoint_incarnation };

      g_array_append_val (ended, process);
    }
  proofs.ended.ended_len = ended->len;
  proofs.ended.ended_val = (struct rpc_endpoint_process *)ended->data;
  if (ended->len > 0)
    jc_crashes_apply_proofs (suspects->own, &proofs, now_ms);
  g_array_free (ended, TRUE);
}

/* Move what is to be reported to OUT, which jc_suspects_free_report frees, and
   apply it to the evidence of this instance.  Return false if there is
   nothing.  */
bool
jc_suspects_take_report (struct jc_suspects *suspects, int64_t now_ms,
                         struct rpc_crash_changes *out)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (struct rpc_crash));

  memset (out, 0, sizeof *out);
  for (guint i = 0; i < suspects->broken->len;)
    {
      struct broken *broken = g_ptr_array_index (suspects->broken, i);
      struct rpc_crash row = { .endpoint = broken->endpoint,
                               .endpoint_incarnation = broken->incarnation };

      if (!broken->crashed || crashes->len >= REPORT_CRASHES_MAX)
        {
          i++;
          continue;
        }
      for (guint r = 0; r < broken->requests->len; r++)
        report_known (
            suspects,
            &g_array_index (broken->requests, struct rpc_crash_request, r),
            now_ms);
      row.requests.requests_len = broken->requests->len;
      row.requests.requests_val
          = (struct rpc_crash_request *)g_array_free (broken->requests, FALSE);
      g_array_append_val (crashes, row);
      g_free (g_ptr_array_steal_index (suspects->broken, i));
    }
  out->crashes.crashes_len = crashes->len;
  out->crashes.crashes_val = (struct rpc_crash *)g_array_free (crashes, FALSE);
  out->answered.answered_len = suspects->answered->len;
  out->answered.answered_val = g_memdup2 (
      suspects->answered->data, suspects->answered->len * sizeof (uint64_t));
  g_array_set_size (suspects->answered, 0);
  out->known.known_len = suspects->known->len;
  out->known.known_val = g_memdup2 (suspects->known->data,
                                    suspects->known->len * sizeof (uint64_t));
  g_array_set_size (suspects->known, 0);
  if (out->crashes.crashes_len == 0 && out->answered.answered_len == 0
      && out->known.known_len == 0)
    {
      jc_suspects_free_report (out);
      return false;
    }
  apply_own (suspects, out, now_ms);
  return true;
}

/* Free what REPORT holds.  */
void
jc_suspects_free_report (struct rpc_crash_changes *report)
{
  for (u_int c = 0; c < report->crashes.crashes_len; c++)
    {
      struct rpc_crash *crash = &report->crashes.crashes_val[c];

      for (u_int r = 0; r < crash->requests.requests_len; r++)
        g_free (crash->requests.requests_val[r].fingerprints.fingerprints_val);
      g_free (crash->requests.requests_val);
      g_free (crash->endpoint);
    }
  g_free (report->crashes.crashes_val);
  g_free (report->answered.answered_val);
  g_free (report->known.known_val);
  memset (report, 0, sizeof *report);
}
