/* Crashes of endpoints: evidence and verdicts.  */

#include <string.h>

#include "base/xdrencode.h"
#include "member/crashesprivate.h"

static void
crash_free (gpointer data)
{
  struct crash *crash = data;

  g_free (crash->endpoint);
  g_array_free (crash->requests, TRUE);
  g_free (crash);
}

static GHashTable *
table_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Set KEY of TABLE, from fingerprints to numbers, to VALUE.  */
void
jc_crashes_table_set (GHashTable *table, uint64_t key, int64_t value)
{
  g_hash_table_replace (table, g_memdup2 (&key, sizeof key),
                        g_memdup2 (&value, sizeof value));
}

/* Return the value of KEY in TABLE, or OTHERWISE if there is none.  */
static int64_t
table_get (GHashTable *table, uint64_t key, int64_t otherwise)
{
  const int64_t *value = g_hash_table_lookup (table, &key);

  return value != NULL ? *value : otherwise;
}

/* Return a new table, in which fingerprints are blocked from BLOCK_SCORE on. */
struct jc_crashes *
jc_crashes_new (unsigned int block_score)
{
  struct jc_crashes *crashes = g_new0 (struct jc_crashes, 1);

  crashes->block_score = block_score;
  crashes->list = g_ptr_array_new_with_free_func (crash_free);
  crashes->answered = table_new ();
  crashes->known = table_new ();
  crashes->blocked = table_new ();
  crashes->expired = table_new ();
  crashes->scores = table_new ();
  return crashes;
}

void
jc_crashes_free (struct jc_crashes *crashes)
{
  if (crashes == NULL)
    return;
  g_ptr_array_free (crashes->list, TRUE);
  g_hash_table_destroy (crashes->answered);
  g_hash_table_destroy (crashes->known);
  g_hash_table_destroy (crashes->blocked);
  g_hash_table_destroy (crashes->expired);
  g_hash_table_destroy (crashes->scores);
  g_free (crashes);
}

/* Return CHANGES encoded (XDR).  The data of a log entry are one or several of
   them.  */
GString *
jc_crashes_encode (const struct rpc_crash_changes *changes)
{
  return jc_xdr_encode ((xdrproc_t)xdr_rpc_crash_changes, changes);
}

/* Decode the first changes of REST, a log entry, into OUT, to be freed with
   xdr_free in any case, and move REST behind them.  Return false if there are
   none or they are malformed.  */
bool
jc_crashes_next (struct jc_str *rest, struct rpc_crash_changes *out)
{
  XDR xdr;
  bool ok;
  u_int used;

  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)rest->data, (u_int)rest->len, XDR_DECODE);
  ok = xdr_rpc_crash_changes (&xdr, out);
  used = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (ok)
    *rest
        = (struct jc_str){ .data = rest->data + used, .len = rest->len - used };
  return ok;
}

/* Return the position of FINGERPRINT in REQUEST, -1 if it is not there.  */
static int
request_find (const struct request *request, uint64_t fingerprint)
{
  for (unsigned int i = 0; i < request->count; i++)
    if (request->fingerprints[i] == fingerprint)
      return (int)i;
  return -1;
}

/* Return the crash of INCARNATION of ENDPOINT, NULL if none was reported.  */
struct crash *
jc_crashes_find (const struct jc_crashes *crashes, const char *endpoint,
                 uint64_t incarnation)
{
  for (guint i = 0; i < crashes->list->len; i++)
    {
      struct crash *crash = g_ptr_array_index (crashes->list, i);

      if (crash->incarnation == incarnation
          && strcmp (crash->endpoint, endpoint) == 0)
        return crash;
    }
  return NULL;
}

/* Make room for one more crash that is PROVED or not: the oldest one of its
   kind goes if there are too many, so that false ones don't displace the
   others.  */
void
jc_crashes_make_room (struct jc_crashes *crashes, bool proved)
{
  guint oldest = crashes->list->len;
  unsigned int count = 0;

  for (guint i = crashes->list->len; i > 0; i--)
    {
      const struct crash *crash = g_ptr_array_index (crashes->list, i - 1);

      if (crash->proved != proved)
        continue;
      oldest = i - 1;
      count++;
    }
  if (count >= CRASHES_KEPT)
    g_ptr_array_remove_index (crashes->list, oldest);
}

/* Add the crash of INCARNATION of ENDPOINT, which BATCH reported first, without
   requests and not proved, at NOW_MS of the local clock.  An older one makes
   way if there are too many.  */
struct crash *
jc_crashes_add (struct jc_crashes *crashes, const char *endpoint,
                uint64_t incarnation, uint64_t batch, int64_t now_ms)
{
  struct crash *crash = g_new0 (struct crash, 1);

  crash->endpoint = g_strdup (endpoint);
  crash->incarnation = incarnation;
  crash->batch = batch;
  crash->recorded_ms = now_ms;
  crash->requests = g_array_new (FALSE, FALSE, sizeof (struct request));
  jc_crashes_make_room (crashes, false);
  g_ptr_array_add (crashes->list, crash);
  return crash;
}

static void
crash_add_request (struct crash *crash, const struct rpc_crash_request *from)
{
  struct request request = { .id = from->request, .starting = from->starting };

  if (crash->requests->len >= REQUESTS_PER_CRASH_MAX)
    return;
  request.count = MIN (from->fingerprints.fingerprints_len, FINGERPRINTS_MAX);
  memcpy (request.fingerprints, from->fingerprints.fingerprints_val,
          request.count * sizeof request.fingerprints[0]);
  g_array_append_val (crash->requests, request);
}

/* Add what one entry instance reported of a crash.  */
static void
add_report (struct jc_crashes *crashes, const struct rpc_crash *reported,
            int64_t now_ms)
{
  struct crash *crash = jc_crashes_find (crashes, reported->endpoint,
                                         reported->endpoint_incarnation);

  if (crash == NULL)
    crash = jc_crashes_add (crashes, reported->endpoint,
                            reported->endpoint_incarnation, crashes->batch,
                            now_ms);
  for (u_int i = 0; i < reported->requests.requests_len; i++)
    crash_add_request (crash, &reported->requests.requests_val[i]);
}

static bool
crash_has_request (const struct crash *crash, uint64_t id)
{
  for (guint r = 0; r < crash->requests->len; r++)
    if (g_array_index (crash->requests, struct request, r).id == id)
      return true;
  return false;
}

/* Return whether REQUEST, which ran at the crash number INDEX, ran at an
   earlier one of the same batch too.  The one then came after the other,
   however close they are.  Where many endpoints were lost at once this is not
   looked for.  */
static bool
is_repeated (const struct jc_crashes *crashes, guint index,
             const struct request *request)
{
  const struct crash *crash = g_ptr_array_index (crashes->list, index);

  for (guint i = index; request->id != 0 && i > 0 && index - i < REPEATS_MAX;
       i--)
    {
      const struct crash *earlier = g_ptr_array_index (crashes->list, i - 1);

      if (earlier->batch != crash->batch)
        return false;
      if (earlier->proved && crash_has_request (earlier, request->id))
        return true;
    }
  return false;
}

/* Count REQUEST, which ran at the crash number INDEX, for the scores of its
   fingerprints.  */
static void
score_request (struct jc_crashes *crashes, guint index,
               const struct request *request)
{
  const struct crash *crash = g_ptr_array_index (crashes->list, index);
  unsigned int score
      = request->starting ? JC_CRASH_SCORE_STARTING : JC_CRASH_SCORE_RUNNING;
  bool repeated = is_repeated (crashes, index, request);

  for (unsigned int f = 0; f < request->count; f++)
    {
      uint64_t key = request->fingerprints[f];
      struct score *row = g_hash_table_lookup (crashes->scores, &key);

      if ((int64_t)crash->batch <= table_get (crashes->answered, key, -1))
        continue;
      if (row == NULL)
        {
          row = g_new0 (struct score, 1);
          g_hash_table_insert (crashes->scores, g_memdup2 (&key, sizeof key),
                               row);
        }
      if (row->batch != crash->batch || (repeated && row->crash != crash))
        *row = (struct score){ .earlier = row->earlier + row->in_batch };
      row->crash = crash;
      row->batch = crash->batch;
      row->in_batch = MAX (row->in_batch, score);
    }
}

static bool
is_counted (const struct crash *crash)
{
  return crash->proved && !crash->explained;
}

/* Derive the scores of all fingerprints of unexplained crashes since they were
   last answered whole.  The list is in the order of batches.  */
void
jc_crashes_update_scores (struct jc_crashes *crashes)
{
  g_hash_table_remove_all (crashes->scores);
  for (guint i = 0; i < crashes->list->len; i++)
    {
      const struct crash *crash = g_ptr_array_index (crashes->list, i);

      for (guint r = 0; is_counted (crash) && r < crash->requests->len; r++)
        score_request (crashes, i,
                       &g_array_index (crash->requests, struct request, r));
    }
}

/* Return the score of FINGERPRINT, 0 if no crash tells against it.  */
unsigned int
jc_crashes_score (const struct jc_crashes *crashes, uint64_t fingerprint)
{
  const struct score *row = g_hash_table_lookup (crashes->scores, &fingerprint);

  return row != NULL ? row->earlier + row->in_batch : 0;
}

/* Return the part of the score of FINGERPRINT that tells against it.  */
static unsigned int
weight_of (const struct jc_crashes *crashes, uint64_t fingerprint)
{
  unsigned int score = jc_crashes_score (crashes, fingerprint);

  if (score > 0 && g_hash_table_contains (crashes->expired, &fingerprint))
    return crashes->block_score;
  if (!g_hash_table_contains (crashes->known, &fingerprint))
    return score;
  return score > JC_CRASH_KNOWN_SCORE ? score - JC_CRASH_KNOWN_SCORE : 0;
}

/* Return whether the requests of CRASH leave no other explanation than
   FINGERPRINT, which has WEIGHT: whatever else has as much is a more widely
   shared part of the same requests.  */
static bool
is_unique (const struct jc_crashes *crashes, const struct crash *crash,
           uint64_t fingerprint, unsigned int weight)
{
  for (guint r = 0; r < crash->requests->len; r++)
    {
      const struct request *request
          = &g_array_index (crash->requests, struct request, r);
      int position = request_find (request, fingerprint);

      for (unsigned int f = 0; f < request->count; f++)
        if ((int)f > position
            && weight_of (crashes, request->fingerprints[f]) >= weight)
          return false;
    }
  return true;
}

/* Find the fingerprint that CRASH is to be blamed on.  Return false if there is
   none yet.  */
static bool
find_culprit (const struct jc_crashes *crashes, const struct crash *crash,
              uint64_t *culprit)
{
  unsigned int top = crashes->block_score;
  bool found = false;

  for (guint r = 0; r < crash->requests->len; r++)
    {
      const struct request *request
          = &g_array_index (crash->requests, struct request, r);

      for (unsigned int f = 0; f < request->count; f++)
        if (weight_of (crashes, request->fingerprints[f]) >= top)
          {
            top = weight_of (crashes, request->fingerprints[f]);
            *culprit = request->fingerprints[f];
            found = true;
          }
    }
  return found
         && (top >= JC_CRASH_CERTAIN_SCORE
             || is_unique (crashes, crash, *culprit, top));
}

/* Block FINGERPRINT, or renew its block.  */
void
jc_crashes_set_block (struct jc_crashes *crashes, uint64_t fingerprint,
                      int64_t now_ms)
{
  const struct block row = { .batch = crashes->batch,
                             .applied_ms = now_ms,
                             .expiries = (unsigned int)table_get (
                                 crashes->expired, fingerprint, 0) };

  g_hash_table_replace (crashes->blocked,
                        g_memdup2 (&fingerprint, sizeof fingerprint),
                        g_memdup2 (&row, sizeof row));
}

/* Block FINGERPRINT.  If there are too many, the one whose last crash is the
   oldest makes way.  */
static void
block_fingerprint (struct jc_crashes *crashes, uint64_t fingerprint,
                   int64_t now_ms)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t oldest = 0;
  uint64_t oldest_batch = UINT64_MAX;

  if (g_hash_table_size (crashes->blocked) >= JC_CRASH_BLOCKED_MAX)
    {
      g_hash_table_iter_init (&iter, crashes->blocked);
      while (g_hash_table_iter_next (&iter, &key, &value))
        {
          const struct block *row = value;
          uint64_t candidate = *(uint64_t *)key;

          if (row->batch > oldest_batch
              || (row->batch == oldest_batch && candidate >= oldest))
            continue;
          oldest_batch = row->batch;
          oldest = candidate;
        }
      g_hash_table_remove (crashes->blocked, &oldest);
    }
  jc_crashes_set_block (crashes, fingerprint, now_ms);
}

/* Mark the crashes that ran requests with a blocked fingerprint.  A new crash
   beside one renews its block.  */
static void
mark_explained (struct jc_crashes *crashes, int64_t now_ms)
{
  for (guint i = 0; i < crashes->list->len; i++)
    {
      struct crash *crash = g_ptr_array_index (crashes->list, i);
      bool explained = false;

      for (guint r = 0; crash->proved && r < crash->requests->len; r++)
        {
          const struct request *request
              = &g_array_index (crash->requests, struct request, r);

          for (unsigned int f = 0; f < request->count; f++)
            if (g_hash_table_contains (crashes->blocked,
                                       &request->fingerprints[f]))
              {
                explained = true;
                if (!crash->explained)
                  jc_crashes_set_block (crashes, request->fingerprints[f],
                                        now_ms);
              }
        }
      crash->explained = explained;
    }
}

/* Derive what is blocked from the crashes that count.  */
void
jc_crashes_update (struct jc_crashes *crashes, int64_t now_ms)
{
  uint64_t culprit;
  bool found = true;

  while (found)
    {
      mark_explained (crashes, now_ms);
      jc_crashes_update_scores (crashes);
      found = false;
      for (guint i = crashes->list->len; !found && i > 0; i--)
        {
          const struct crash *crash = g_ptr_array_index (crashes->list, i - 1);

          if (is_counted (crash) && find_culprit (crashes, crash, &culprit))
            {
              block_fingerprint (crashes, culprit, now_ms);
              found = true;
            }
        }
    }
}

static gboolean
is_before_crashes (gpointer key, gpointer value, gpointer data)
{
  const struct jc_crashes *crashes = data;
  const struct crash *oldest
      = crashes->list->len > 0 ? g_ptr_array_index (crashes->list, 0) : NULL;

  (void)key;
  return oldest == NULL || *(int64_t *)value < (int64_t)oldest->batch;
}

/* End the block of FINGERPRINT, whose time is over.  One more crash blocks it
   again, and for twice as long.  */
static void
expire (struct jc_crashes *crashes, uint64_t fingerprint)
{
  const struct block *row
      = g_hash_table_lookup (crashes->blocked, &fingerprint);

  if (row == NULL)
    return;
  /* A fingerprint that this forgets needs three crashes again.  */
  if (g_hash_table_size (crashes->expired) >= JC_CRASH_BLOCKED_MAX)
    g_hash_table_remove_all (crashes->expired);
  jc_crashes_table_set (crashes->expired, fingerprint,
                        (int64_t)row->expiries + 1);
  jc_crashes_table_set (crashes->answered, fingerprint,
                        (int64_t)crashes->batch);
  g_hash_table_remove (crashes->blocked, &fingerprint);
}

/* Apply CHANGES, a committed entry of the log, at NOW_MS of the local clock. */
void
jc_crashes_apply (struct jc_crashes *crashes,
                  const struct rpc_crash_changes *changes, int64_t now_ms)
{
  crashes->batch++;
  for (u_int i = 0; i < changes->crashes.crashes_len; i++)
    add_report (crashes, &changes->crashes.crashes_val[i], now_ms);
  for (u_int i = 0; i < changes->answered.answered_len; i++)
    {
      jc_crashes_table_set (crashes->answered,
                            changes->answered.answered_val[i],
                            (int64_t)crashes->batch);
      g_hash_table_remove (crashes->blocked,
                           &changes->answered.answered_val[i]);
      g_hash_table_remove (crashes->expired,
                           &changes->answered.answered_val[i]);
    }
  for (u_int i = 0; i < changes->expired.expired_len; i++)
    expire (crashes, changes->expired.expired_val[i]);
  for (u_int i = 0; i < changes->known.known_len; i++)
    jc_crashes_table_set (crashes->known, changes->known.known_val[i],
                          (int64_t)crashes->batch);
  jc_crashes_update (crashes, now_ms);
  g_hash_table_foreach_remove (crashes->answered, is_before_crashes, crashes);
  g_hash_table_foreach_remove (crashes->known, is_before_crashes, crashes);
}

bool
jc_crashes_is_blocked (const struct jc_crashes *crashes, uint64_t fingerprint)
{
  return g_hash_table_contains (crashes->blocked, &fingerprint);
}

unsigned int
jc_crashes_count_blocked (const struct jc_crashes *crashes)
{
  return g_hash_table_size (crashes->blocked);
}

/* Compare two rows, struct rpc_suspect, by their fingerprints, for sorting.  */
gint
jc_crashes_compare_rows (gconstpointer left, gconstpointer right)
{
  const struct rpc_suspect *a = left;
  const struct rpc_suspect *b = right;

  return a->fingerprint < b->fingerprint ? -1 : a->fingerprint > b->fingerprint;
}

/* Append to ROWS, an array of struct rpc_suspect, the suspected and the blocked
   fingerprints, in ascending order.  */
void
jc_crashes_list (const struct jc_crashes *crashes, GArray *rows)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, crashes->blocked);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct rpc_suspect row = { .fingerprint = *(uint64_t *)key,
                                 .state = RPC_BLOCKED,
                                 .score = crashes->block_score };

      g_array_append_val (rows, row);
    }
  g_hash_table_iter_init (&iter, crashes->scores);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct rpc_suspect row
          = { .fingerprint = *(uint64_t *)key,
              .state = RPC_SUSPECTED,
              .score = jc_crashes_score (crashes, *(uint64_t *)key) };

      if (row.score >= JC_CRASH_SUSPECT_SCORE
          && !jc_crashes_is_blocked (crashes, row.fingerprint))
        g_array_append_val (rows, row);
    }
  g_array_sort (rows, jc_crashes_compare_rows);
}

/* Append to EXPIRED the fingerprints whose last crash was JC_CRASH_BLOCK_MS
   before NOW_MS, or that time doubled for each time that their block had
   ended before.  */
void
jc_crashes_plan_expiry (const struct jc_crashes *crashes, int64_t now_ms,
                        GArray *expired)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, crashes->blocked);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct block *row = value;
      int64_t block_ms = (int64_t)JC_CRASH_BLOCK_MS
                         << MIN (row->expiries, (unsigned int)DOUBLINGS_MAX);

      if (now_ms - row->applied_ms >= block_ms)
        g_array_append_val (expired, *(uint64_t *)key);
    }
}
