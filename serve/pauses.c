/* Pauses that endpoints asked for.  */

#include <glib.h>

#include "serve/pauses.h"

enum
{
  /* Time for the answer to the first request after a pause; meanwhile no other
     one is sent.  */
  PROBE_MS = 1000,
  /* As many endpoints as a region may have; the pause that ends first is
     dropped beyond that.  */
  PAUSES_MAX = 4096
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

struct jc_pauses
{
  GHashTable *by_endpoint;
};

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
  return pauses;
}

/* Free PAUSES, which may be NULL.  */
void
jc_pauses_free (struct jc_pauses *pauses)
{
  if (pauses == NULL)
    return;
  g_hash_table_destroy (pauses->by_endpoint);
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
   shortened.  Return true if its end changed.  */
bool
jc_pauses_begin (struct jc_pauses *pauses, const char *endpoint,
                 uint64_t incarnation, int64_t pause_ms, int64_t now_ms)
{
  struct pause *pause = pause_find (pauses, endpoint, incarnation);

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
  if (pause->until_ms >= now_ms + pause_ms)
    return false;
  pause->until_ms = now_ms + pause_ms;
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
