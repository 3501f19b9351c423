/* Endpoints whose requests were misdirected.  */

#include "serve/misdirected.h"

enum
{
  /* Time for the answer to a request that tries an endpoint, and between two
     questions to the process at an address.  */
  TRY_MS = 1000,
  /* A report that comes so long after it was sent at the latest (3 s held up on
     its way, beside three times the time between regions) was sent after the
     answer if it comes this much later.  */
  REPORT_DELAY_MS = 3250,
  /* An endpoint that nothing was heard of for so long has left.  */
  KEEP_MS = 60000,
  ENDPOINTS_MAX = 4096
};

/* What is known of INCARNATION of an endpoint, whose request was misdirected
   last at SINCE_MS.  NAMED is set once later evidence names it; the last
   request tried it at TRIED_MS, and the process was asked at ASKED_MS.  */
struct misdirection
{
  uint64_t incarnation;
  int64_t since_ms;
  bool named;
  int64_t tried_ms;
  int64_t asked_ms;
};

struct jc_misdirected
{
  GHashTable *by_endpoint;
};

/* Return a new table without endpoints; free it with jc_misdirected_free.  */
struct jc_misdirected *
jc_misdirected_new (void)
{
  struct jc_misdirected *misdirected = g_new0 (struct jc_misdirected, 1);

  misdirected->by_endpoint
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return misdirected;
}

/* Free MISDIRECTED.  */
void
jc_misdirected_free (struct jc_misdirected *misdirected)
{
  g_hash_table_destroy (misdirected->by_endpoint);
  g_free (misdirected);
}

/* Return the number of endpoints that are set aside or tried.  */
unsigned int
jc_misdirected_count (const struct jc_misdirected *misdirected)
{
  return g_hash_table_size (misdirected->by_endpoint);
}

/* Append the names of these endpoints to NAMES; they stay owned by
   MISDIRECTED.  */
void
jc_misdirected_list (const struct jc_misdirected *misdirected, GPtrArray *names)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, misdirected->by_endpoint);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
}

static struct misdirection *
find (const struct jc_misdirected *misdirected, const char *endpoint,
      uint64_t incarnation)
{
  struct misdirection *found
      = g_hash_table_lookup (misdirected->by_endpoint, endpoint);

  return found != NULL && found->incarnation == incarnation ? found : NULL;
}

/* Record that a request for INCARNATION of ENDPOINT was misdirected, at NOW_MS.
   A full table forgets what is old, or else all: an endpoint that is asked once
   more in vain does no harm.  */
void
jc_misdirected_note (struct jc_misdirected *misdirected, const char *endpoint,
                     uint64_t incarnation, int64_t now_ms)
{
  struct misdirection *found = find (misdirected, endpoint, incarnation);

  if (found == NULL)
    {
      if (g_hash_table_size (misdirected->by_endpoint) >= ENDPOINTS_MAX)
        jc_misdirected_expire (misdirected, now_ms);
      if (g_hash_table_size (misdirected->by_endpoint) >= ENDPOINTS_MAX)
        g_hash_table_remove_all (misdirected->by_endpoint);
      found = g_new0 (struct misdirection, 1);
      found->incarnation = incarnation;
      found->asked_ms = now_ms - TRY_MS;
      g_hash_table_replace (misdirected->by_endpoint, g_strdup (endpoint),
                            found);
    }
  found->since_ms = now_ms;
  found->tried_ms = now_ms;
  found->named = false;
}

/* Return true if a request may be sent to INCARNATION of ENDPOINT at NOW_MS as
   far as misdirected ones are concerned: none was, or it is named again and no
   other request tries it.  */
bool
jc_misdirected_may_send (const struct jc_misdirected *misdirected,
                         const char *endpoint, uint64_t incarnation,
                         int64_t now_ms)
{
  const struct misdirection *found = find (misdirected, endpoint, incarnation);

  return found == NULL || (found->named && now_ms - found->tried_ms >= TRY_MS);
}

/* Record that a request is sent to INCARNATION of ENDPOINT at NOW_MS.  */
void
jc_misdirected_note_send (struct jc_misdirected *misdirected,
                          const char *endpoint, uint64_t incarnation,
                          int64_t now_ms)
{
  struct misdirection *found = find (misdirected, endpoint, incarnation);

  if (found != NULL)
    found->tried_ms = now_ms;
}

/* Record that INCARNATION of ENDPOINT took a request for its own.  Return true
   if that ends its time as one that is set aside or tried.  */
bool
jc_misdirected_note_answer (struct jc_misdirected *misdirected,
                            const char *endpoint, uint64_t incarnation)
{
  const struct misdirection *found = find (misdirected, endpoint, incarnation);

  /* An answer to a request from before tells nothing new.  */
  return found != NULL && found->named && found->tried_ms > found->since_ms
         && g_hash_table_remove (misdirected->by_endpoint, endpoint);
}

/* Return true if the process at the address of INCARNATION of ENDPOINT is to be
   asked at NOW_MS which one it is.  */
bool
jc_misdirected_must_ask (struct jc_misdirected *misdirected,
                         const char *endpoint, uint64_t incarnation,
                         int64_t now_ms)
{
  struct misdirection *found = find (misdirected, endpoint, incarnation);

  if (found == NULL || found->named || now_ms - found->asked_ms < TRY_MS)
    return false;
  found->asked_ms = now_ms;
  return true;
}

/* Record that the process at the address was heard at HEARD_MS to be
   INCARNATION of ENDPOINT.  Return true if that is later than what set it
   aside, so that a request may try it now.  One that said so before and
   misdirected the request that tried it waits until a second has passed.  */
bool
jc_misdirected_note_named (struct jc_misdirected *misdirected,
                           const char *endpoint, uint64_t incarnation,
                           int64_t heard_ms, int64_t now_ms)
{
  struct misdirection *found = find (misdirected, endpoint, incarnation);

  if (found == NULL || found->named || heard_ms < found->since_ms
      || now_ms - found->tried_ms < TRY_MS)
    return false;
  found->named = true;
  return true;
}

/* Record that a report of INCARNATION of ENDPOINT came at REPORTED_MS.  Return
   true if it was certainly sent after the answer that set it aside.  */
bool
jc_misdirected_note_report (struct jc_misdirected *misdirected,
                            const char *endpoint, uint64_t incarnation,
                            int64_t reported_ms, int64_t now_ms)
{
  return jc_misdirected_note_named (misdirected, endpoint, incarnation,
                                    reported_ms - REPORT_DELAY_MS, now_ms);
}

static gboolean
is_old (gpointer endpoint, gpointer value, gpointer now_ms)
{
  const struct misdirection *found = value;

  (void)endpoint;
  return *(const int64_t *)now_ms - MAX (found->since_ms, found->tried_ms)
         > KEEP_MS;
}

/* Forget endpoints that nothing was heard of for long: they have left, or come
   back as another incarnation.  */
void
jc_misdirected_expire (struct jc_misdirected *misdirected, int64_t now_ms)
{
  g_hash_table_foreach_remove (misdirected->by_endpoint, is_old, &now_ms);
}
