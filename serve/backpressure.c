/* Backpressure: what endpoints ask for in their answers.  */

#include <glib.h>

#include "serve/backpressure.h"
#include "serve/window.h"

/* An endpoint that has named a limit.  */
struct limited
{
  uint64_t incarnation;
  double per_s;
  int64_t heard_ms;
  struct jc_window sent;
};

struct jc_backpressure
{
  GHashTable *limited;
};

/* Return a table in which no endpoint has asked for anything, to be freed with
   jc_backpressure_free.  */
struct jc_backpressure *
jc_backpressure_new (void)
{
  struct jc_backpressure *backpressure = g_new0 (struct jc_backpressure, 1);

  backpressure->limited
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return backpressure;
}

/* Free BACKPRESSURE, which may be NULL.  */
void
jc_backpressure_free (struct jc_backpressure *backpressure)
{
  if (backpressure == NULL)
    return;
  g_hash_table_destroy (backpressure->limited);
  g_free (backpressure);
}

static struct limited *
limited_find (const struct jc_backpressure *backpressure, const char *endpoint,
              uint64_t incarnation)
{
  struct limited *limited
      = g_hash_table_lookup (backpressure->limited, endpoint);

  return limited != NULL && limited->incarnation == incarnation ? limited
                                                                : NULL;
}

/* Return the row of ANSWER's endpoint, which is new if another incarnation or
   none of the endpoint had one.  */
static struct limited *
limited_get (struct jc_backpressure *backpressure,
             const struct jc_backpressure_answer *answer)
{
  struct limited *limited
      = limited_find (backpressure, answer->endpoint, answer->incarnation);

  if (limited != NULL)
    return limited;
  limited = g_new0 (struct limited, 1);
  limited->incarnation = answer->incarnation;
  limited->per_s = -1;
  jc_window_init (&limited->sent, JC_LIMIT_WINDOW_MS);
  g_hash_table_replace (backpressure->limited, g_strdup (answer->endpoint),
                        limited);
  return limited;
}

/* Apply ANSWER.  An answer without a limit ends the limit only if its request
   was sent after the limit was last heard: others may have been on their way
   when the endpoint named it.  Return true if the limit changed.  */
bool
jc_backpressure_note_answer (struct jc_backpressure *backpressure,
                             const struct jc_backpressure_answer *answer)
{
  struct limited *limited
      = limited_find (backpressure, answer->endpoint, answer->incarnation);
  double before = limited != NULL ? limited->per_s : -1;

  if (answer->limit_per_s >= 0)
    {
      limited = limited_get (backpressure, answer);
      limited->per_s = answer->limit_per_s;
      limited->heard_ms = answer->now_ms;
    }
  else if (limited != NULL && answer->sent_ms > limited->heard_ms)
    g_hash_table_remove (backpressure->limited, answer->endpoint);
  else
    return false;
  return before < answer->limit_per_s || before > answer->limit_per_s;
}

/* Set OUT to the limit of INCARNATION of ENDPOINT.  Return false if it has
   none.  */
bool
jc_backpressure_limit (const struct jc_backpressure *backpressure,
                       const char *endpoint, uint64_t incarnation,
                       int64_t now_ms, struct jc_endpoint_limit *out)
{
  const struct limited *limited
      = limited_find (backpressure, endpoint, incarnation);

  if (limited == NULL)
    return false;
  out->per_s = limited->per_s;
  out->heard_ms = limited->heard_ms;
  out->recently_sent = jc_window_upper_bound (&limited->sent, now_ms);
  return true;
}

/* Count a request that is sent to INCARNATION of ENDPOINT now.  */
void
jc_backpressure_note_send (struct jc_backpressure *backpressure,
                           const char *endpoint, uint64_t incarnation,
                           int64_t now_ms)
{
  struct limited *limited = limited_find (backpressure, endpoint, incarnation);

  if (limited != NULL)
    jc_window_add (&limited->sent, now_ms);
}

/* Return the number of endpoints with a limit.  */
unsigned int
jc_backpressure_count_limited (const struct jc_backpressure *backpressure)
{
  return g_hash_table_size (backpressure->limited);
}
