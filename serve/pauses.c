/* Pauses that endpoints asked for.  */

#include "serve/pauses.h"

enum
{
  /* Time for the answer to the first request after a pause; meanwhile no other
     one is sent.  */
  PROBE_MS = 1000,
  /* A longer pause is asked for in one answer, which may be that of a faulty
     process: after this time one request finds out whether the endpoint still
     asks for it.  */
  UNCONFIRMED_MAX_MS = 10000,
  /* As many endpoints as a region may have; the pause that ends first is
     dropped beyond that.  */
  PAUSES_MAX = 4096,
  /* A reported pause counts for at most this long; it is reported again while
     it lasts.  */
  REPORT_MAX_MS = 1500
};

/* The pause of an incarnation of an endpoint.  UNTIL_MS is its end, or PROBE_MS
   after a request that was sent later.  PROBING is set once there was one.  */
struct pause
{
  char *endpoint;
  uint64_t incarnation;
  int64_t until_ms;
  bool probing;
};

/* A pause that other instances reported, which counts until UNTIL_MS.  LEFT_MS
   is how long it was to last at REPORTED_MS.  IN_ZONE is set if they are in
   this zone.  */
struct report
{
  char *endpoint;
  uint64_t incarnation;
  int64_t left_ms;
  int64_t reported_ms;
  int64_t until_ms;
  bool in_zone;
};

struct jc_pauses
{
  GHashTable *by_endpoint;
  GHashTable *reports;
};

static void
report_free (gpointer data)
{
  struct report *report = data;

  g_free (report->endpoint);
  g_free (report);
}

static void
pause_free (gpointer data)
{
  struct pause *pause = data;

  g_free (pause->endpoint);
  g_free (pause);
}

/* Return a table without pauses, to be freed with jc_pauses_free.  */
struct jc_pauses *
jc_pauses_new (void)
{
  struct jc_pauses *pauses = g_new0 (struct jc_pauses, 1);

  pauses->by_endpoint
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pause_free);
  pauses->reports
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, report_free);
  return pauses;
}

/* Free PAUSES, which may be NULL.  */
void
jc_pauses_free (struct jc_pauses *pauses)
{
  if (pauses == NULL)
    return;
  g_hash_table_destroy (pauses->by_endpoint);
  g_hash_table_destroy (pauses->reports);
  g_free (pauses);
}

static struct pause *
pause_find (const struct jc_pauses *pauses, const char *endpoint,
            uint64_t incarnation)
{
  struct pause *pause = g_hash_table_lookup (pauses->by_endpoint, endpoint);

  return pause != NULL && pause->incarnation == incarnation ? pause : NULL;
}

/* Return whether INCARNATION of ENDPOINT has a pause, which may be over but for
   the request that confirms it.  */
bool
jc_pauses_is_paused (const struct jc_pauses *pauses, const char *endpoint,
                     uint64_t incarnation)
{
  return pause_find (pauses, endpoint, incarnation) != NULL;
}

static void
drop_first_to_end (struct jc_pauses *pauses)
{
  const struct pause *first = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pauses->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (first == NULL || ((struct pause *)value)->until_ms < first->until_ms)
      first = value;
  if (first != NULL)
    g_hash_table_remove (pauses->by_endpoint, first->endpoint);
}

/* Begin a pause of PAUSE_MS, or extend the one that ENDPOINT has; it is never
   shortened.  Until a request that was sent after the first part of it is
   turned away too, it lasts for UNCONFIRMED_MAX_MS at most.  Return true if its
   end changed.  */
bool
jc_pauses_begin (struct jc_pauses *pauses, const char *endpoint,
                 uint64_t incarnation, int64_t pause_ms, int64_t now_ms)
{
  struct pause *pause = pause_find (pauses, endpoint, incarnation);
  bool is_confirmed = pause != NULL && pause->probing;
  int64_t until_ms
      = now_ms + (is_confirmed ? pause_ms : MIN (pause_ms, UNCONFIRMED_MAX_MS));

  if (pause_ms <= 0)
    return false;
  if (pause == NULL)
    {
      g_hash_table_remove (pauses->by_endpoint, endpoint);
      if (g_hash_table_size (pauses->by_endpoint) >= PAUSES_MAX)
        drop_first_to_end (pauses);
      pause = g_new0 (struct pause, 1);
      pause->endpoint = g_strdup (endpoint);
      pause->incarnation = incarnation;
      g_hash_table_insert (pauses->by_endpoint, pause->endpoint, pause);
    }
  if (pause->until_ms >= until_ms)
    return false;
  pause->until_ms = until_ms;
  pause->probing = false;
  return true;
}

/* INCARNATION of ENDPOINT did not turn a request away.  That ends its pause if
   it is over; the request may be one that was sent before the pause.  Return
   true if there was one.  */
bool
jc_pauses_end (struct jc_pauses *pauses, const char *endpoint,
               uint64_t incarnation, int64_t now_ms)
{
  const struct pause *pause = pause_find (pauses, endpoint, incarnation);

  if (pause == NULL || (!pause->probing && pause->until_ms > now_ms))
    return false;
  g_hash_table_remove (pauses->by_endpoint, endpoint);
  return true;
}

/* Return the time until a request may be sent to INCARNATION of ENDPOINT, ms; 0
   for now.  */
int64_t
jc_pauses_wait_ms (const struct jc_pauses *pauses, const char *endpoint,
                   uint64_t incarnation, int64_t now_ms)
{
  const struct pause *pause = pause_find (pauses, endpoint, incarnation);

  return pause != NULL ? MAX (pause->until_ms - now_ms, 0) : 0;
}

/* A request is sent to INCARNATION of ENDPOINT now.  If its pause has just
   ended no other one is sent until the answer comes.  */
void
jc_pauses_note_send (struct jc_pauses *pauses, const char *endpoint,
                     uint64_t incarnation, int64_t now_ms)
{
  struct pause *pause = pause_find (pauses, endpoint, incarnation);

  if (pause == NULL)
    return;
  pause->probing = true;
  pause->until_ms = MAX (pause->until_ms, now_ms + PROBE_MS);
}

static gboolean
has_expired (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return ((struct report *)value)->until_ms <= *(const int64_t *)now_ms;
}

/* Record REPORT of another instance, which is in this zone if IN_ZONE.  Where
   several report, the one that lasts longest counts.  */
void
jc_pauses_note_report (struct jc_pauses *pauses,
                       const struct jc_pause_report *report, bool in_zone,
                       int64_t now_ms)
{
  struct report *known;
  int64_t until_ms = now_ms + MIN (report->left_ms, REPORT_MAX_MS);

  g_hash_table_foreach_remove (pauses->reports, has_expired, &now_ms);
  known = g_hash_table_lookup (pauses->reports, report->endpoint);
  if (g_hash_table_size (pauses->reports) >= PAUSES_MAX
      || (known != NULL && known->incarnation == report->incarnation
          && known->until_ms >= until_ms))
    return;
  known = g_new0 (struct report, 1);
  known->endpoint = g_strdup (report->endpoint);
  known->incarnation = report->incarnation;
  known->left_ms = report->left_ms;
  known->reported_ms = now_ms;
  known->until_ms = until_ms;
  known->in_zone = in_zone;
  g_hash_table_replace (pauses->reports, known->endpoint, known);
}

/* Return whether another instance reported lately that INCARNATION of ENDPOINT
   pauses.  */
bool
jc_pauses_is_reported (const struct jc_pauses *pauses, const char *endpoint,
                       uint64_t incarnation, int64_t now_ms)
{
  const struct report *report = g_hash_table_lookup (pauses->reports, endpoint);

  return report != NULL && report->incarnation == incarnation
         && report->until_ms > now_ms;
}

/* Return whether other instances reported pauses, which may have ended.  */
bool
jc_pauses_has_reports (const struct jc_pauses *pauses)
{
  return g_hash_table_size (pauses->reports) > 0;
}

static void
list_add (GArray *out, const char *endpoint, uint64_t incarnation,
          int64_t left_ms)
{
  const struct jc_pause_report row = { .endpoint = endpoint,
                                       .incarnation = incarnation,
                                       .left_ms = left_ms };

  if (left_ms > 0)
    g_array_append_val (out, row);
}

/* Append to OUT, an array of struct jc_pause_report, the pauses of this
   instance, and with WHOLE_ZONE those that others of its zone reported.  */
void
jc_pauses_list (const struct jc_pauses *pauses, bool whole_zone, int64_t now_ms,
                GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pauses->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pause *pause = value;

      if (!pause->probing)
        list_add (out, pause->endpoint, pause->incarnation,
                  pause->until_ms - now_ms);
    }
  g_hash_table_iter_init (&iter, pauses->reports);
  while (whole_zone && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct report *report = value;

      if (report->in_zone && report->until_ms > now_ms)
        list_add (out, report->endpoint, report->incarnation,
                  report->left_ms - (now_ms - report->reported_ms));
    }
}

/* Return the number of pauses that last at NOW_MS.  */
unsigned int
jc_pauses_count (const struct jc_pauses *pauses, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  unsigned int count = 0;

  g_hash_table_iter_init (&iter, pauses->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct pause *)value)->until_ms > now_ms)
      count++;
  return count;
}
