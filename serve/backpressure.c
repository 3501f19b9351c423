/* Backpressure: what endpoints ask for in their answers.  */

#include "serve/backpressure.h"

enum
{
  /* Interval of the requests for slots, and for how long after the last use of
     an endpoint its slots are renewed.  */
  REQUEST_INTERVAL_MS = 500,
  UNUSED_MS = 10000,
  /* As many as a request for slots may name.  Beyond that those that were not
     used for the longest time are forgotten.  */
  LIMITED_MAX = 4096,
  MS_PER_S = 1000
};

/* Time in which the credit of an instance may grow beyond one request.  Without
   it the limit of an endpoint that accepts many requests would not be used
   up.  */
static const double burst_s = 0.25;

/* Lower limits count as this one, so that some request finds out when they
   end.  */
static const double limit_per_s_min = 0.1;

/* One request, less the rounding error of adding fractions.  */
static const double whole_request = 1 - 1e-6;

/* An incarnation of an endpoint that has named a limit.  FIRST_MS is when it
   named it first, HEARD_NUMBER the number of the last request sent before it
   was heard last.  NAMED is set if it was heard since the last request for
   slots.  USED_MS is when a request could last have been sent there.
   SLOT_UNTIL_MS is when each leased slot ends.  CREDIT, of CREDIT_MS, grows at
   the rate of the slots up to a bound.  */
struct limited
{
  char *endpoint;
  uint64_t incarnation;
  double per_s;
  int64_t first_ms;
  int64_t heard_ms;
  uint64_t heard_number;
  bool named;
  int64_t used_ms;
  int64_t slot_until_ms[JC_LIMIT_SLOTS];
  double credit;
  int64_t credit_ms;
};

/* LIMITED maps names of endpoints to struct limited.  ENDED holds the rows of
   limits that ended since the last request for slots, REPORTED_ENDED those that
   the last request named.  SEND_NUMBER is that of the last request sent to any
   endpoint.  */
struct jc_backpressure
{
  GHashTable *limited;
  GPtrArray *ended;
  GPtrArray *reported_ended;
  uint64_t send_number;
  int64_t next_request_ms;
};

static void
limited_free (gpointer data)
{
  struct limited *limited = data;

  g_free (limited->endpoint);
  g_free (limited);
}

/* Return a table in which no endpoint has asked for anything, to be freed with
   jc_backpressure_free.  */
struct jc_backpressure *
jc_backpressure_new (void)
{
  struct jc_backpressure *backpressure = g_new0 (struct jc_backpressure, 1);

  backpressure->limited
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, limited_free);
  backpressure->ended = g_ptr_array_new_with_free_func (limited_free);
  backpressure->reported_ended = g_ptr_array_new_with_free_func (limited_free);
  return backpressure;
}

/* Free BACKPRESSURE, which may be NULL.  */
void
jc_backpressure_free (struct jc_backpressure *backpressure)
{
  if (backpressure == NULL)
    return;
  g_hash_table_destroy (backpressure->limited);
  g_ptr_array_free (backpressure->ended, TRUE);
  g_ptr_array_free (backpressure->reported_ended, TRUE);
  g_free (backpressure);
}

/* Return the row of INCARNATION of ENDPOINT, or NULL if it has no limit.  */
static struct limited *
limited_find (const struct jc_backpressure *backpressure, const char *endpoint,
              uint64_t incarnation)
{
  struct limited *limited
      = g_hash_table_lookup (backpressure->limited, endpoint);

  return limited != NULL && limited->incarnation == incarnation ? limited
                                                                : NULL;
}

static void
forget_least_used (struct jc_backpressure *backpressure)
{
  const struct limited *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, backpressure->limited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((struct limited *)value)->used_ms < oldest->used_ms)
      oldest = value;
  if (oldest != NULL)
    g_hash_table_remove (backpressure->limited, oldest->endpoint);
}

/* Add the row of ANSWER's endpoint in place of that of another incarnation.  */
static struct limited *
limited_add (struct jc_backpressure *backpressure,
             const struct jc_backpressure_answer *answer)
{
  struct limited *limited = g_new0 (struct limited, 1);

  limited->endpoint = g_strdup (answer->endpoint);
  limited->incarnation = answer->incarnation;
  limited->first_ms = answer->now_ms;
  limited->used_ms = answer->now_ms;
  limited->credit_ms = answer->now_ms;
  g_hash_table_remove (backpressure->limited, answer->endpoint);
  if (g_hash_table_size (backpressure->limited) >= LIMITED_MAX)
    forget_least_used (backpressure);
  g_hash_table_insert (backpressure->limited, limited->endpoint, limited);
  backpressure->next_request_ms = answer->now_ms;
  return limited;
}

static unsigned int
count_slots (const struct limited *limited, int64_t now_ms)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    if (limited->slot_until_ms[i] > now_ms)
      count++;
  return count;
}

/* Return the requests per second that LIMITED's slots allow.  */
static double
slots_per_s (const struct limited *limited, int64_t now_ms)
{
  return MAX (limited->per_s, limit_per_s_min) * count_slots (limited, now_ms)
         / JC_LIMIT_SLOTS;
}

/* Add to LIMITED's credit what its slots have earned until NOW_MS.  Without
   slots it has none, so that of all instances only the holders of slots have
   saved up a request.  */
static void
update_credit (struct limited *limited, int64_t now_ms)
{
  int64_t slot_ms = 0;

  if (now_ms <= limited->credit_ms)
    return;
  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    slot_ms += MAX (
        MIN (now_ms, limited->slot_until_ms[i]) - limited->credit_ms, 0);
  limited->credit += MAX (limited->per_s, limit_per_s_min) * (double)slot_ms
                     / (JC_LIMIT_SLOTS * MS_PER_S);
  limited->credit
      = count_slots (limited, now_ms) > 0
            ? MIN (limited->credit, 1 + burst_s * slots_per_s (limited, now_ms))
            : 0;
  limited->credit_ms = now_ms;
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
  bool changed;

  if (answer->limit_per_s < 0)
    {
      if (limited == NULL || answer->send_number <= limited->heard_number)
        return false;
      g_hash_table_steal (backpressure->limited, limited->endpoint);
      g_ptr_array_add (backpressure->ended, limited);
      backpressure->next_request_ms = answer->now_ms;
      return true;
    }
  changed = limited == NULL || limited->per_s < answer->limit_per_s
            || limited->per_s > answer->limit_per_s;
  if (limited == NULL)
    limited = limited_add (backpressure, answer);
  update_credit (limited, answer->now_ms);
  limited->per_s = answer->limit_per_s;
  limited->heard_ms = answer->now_ms;
  limited->heard_number = backpressure->send_number;
  limited->named = true;
  return changed;
}

/* Set OUT to the limit of INCARNATION of ENDPOINT.  Return false if it has
   none.  */
bool
jc_backpressure_limit (struct jc_backpressure *backpressure,
                       const char *endpoint, uint64_t incarnation,
                       int64_t now_ms, struct jc_endpoint_limit *out)
{
  struct limited *limited = limited_find (backpressure, endpoint, incarnation);

  if (limited == NULL)
    return false;
  update_credit (limited, now_ms);
  out->per_s = limited->per_s;
  out->heard_ms = limited->heard_ms;
  out->slots = count_slots (limited, now_ms);
  out->credit = limited->credit;
  return true;
}

/* Return whether INCARNATION of ENDPOINT has a limit.  */
bool
jc_backpressure_is_limited (const struct jc_backpressure *backpressure,
                            const char *endpoint, uint64_t incarnation)
{
  return limited_find (backpressure, endpoint, incarnation) != NULL;
}

/* Return whether a request may be sent to INCARNATION of ENDPOINT now.  The
   question counts as use of the endpoint, for which slots are kept.  */
bool
jc_backpressure_may_send (struct jc_backpressure *backpressure,
                          const char *endpoint, uint64_t incarnation,
                          int64_t now_ms)
{
  struct limited *limited = limited_find (backpressure, endpoint, incarnation);

  if (limited == NULL)
    return true;
  limited->used_ms = now_ms;
  update_credit (limited, now_ms);
  return limited->credit >= whole_request;
}

/* Return the time until a request may be sent to INCARNATION of ENDPOINT, ms,
   or -1 if that is not known because no slot is leased.  */
int64_t
jc_backpressure_wait_ms (struct jc_backpressure *backpressure,
                         const char *endpoint, uint64_t incarnation,
                         int64_t now_ms)
{
  struct limited *limited = limited_find (backpressure, endpoint, incarnation);
  double per_s;

  if (limited == NULL)
    return 0;
  update_credit (limited, now_ms);
  if (limited->credit >= whole_request)
    return 0;
  per_s = slots_per_s (limited, now_ms);
  return per_s > 0 ? (int64_t)((1 - limited->credit) / per_s * MS_PER_S) : -1;
}

/* Count a request that is sent to INCARNATION of ENDPOINT now.  Return its
   number, for its answer.  */
uint64_t
jc_backpressure_note_send (struct jc_backpressure *backpressure,
                           const char *endpoint, uint64_t incarnation,
                           int64_t now_ms)
{
  struct limited *limited = limited_find (backpressure, endpoint, incarnation);

  if (limited != NULL)
    {
      update_credit (limited, now_ms);
      limited->credit = MAX (limited->credit - 1, 0);
    }
  return ++backpressure->send_number;
}

static void
add_to_request (GArray *out, const struct limited *limited, bool ended)
{
  const struct rpc_limited row = { .endpoint = limited->endpoint,
                                   .endpoint_incarnation = limited->incarnation,
                                   .named = limited->named,
                                   .ended = ended };

  g_array_append_val (out, row);
}

/* Set OUT, an empty array of struct rpc_limited, to the limits of which slots
   are to be requested now, and those that ended.  Their strings are valid until
   the next answer.  Return false if there are none or no request is due.  */
bool
jc_backpressure_next_request (struct jc_backpressure *backpressure,
                              int64_t now_ms, GArray *out)
{
  GPtrArray *ended = backpressure->ended;
  GHashTableIter iter;
  gpointer value;

  if (now_ms < backpressure->next_request_ms)
    return false;
  backpressure->next_request_ms = now_ms + REQUEST_INTERVAL_MS;
  g_ptr_array_set_size (backpressure->reported_ended, 0);
  backpressure->ended = backpressure->reported_ended;
  backpressure->reported_ended = ended;
  for (guint i = 0; i < ended->len; i++)
    add_to_request (out, g_ptr_array_index (ended, i), true);
  g_hash_table_iter_init (&iter, backpressure->limited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct limited *limited = value;

      if (now_ms - limited->used_ms > UNUSED_MS)
        continue;
      add_to_request (out, limited, false);
      limited->named = false;
    }
  return out->len > 0;
}

/* Apply LEASE.  Return false if it is of no use: the limit is not known, became
   known after the request, or the lease has ended.  */
bool
jc_backpressure_note_lease (struct jc_backpressure *backpressure,
                            const struct rpc_limit_lease *lease, int64_t now_ms)
{
  struct limited *limited = limited_find (backpressure, lease->endpoint,
                                          lease->endpoint_incarnation);
  int64_t requested_ms = (int64_t)lease->requested_ms;
  int64_t until_ms = requested_ms + JC_LIMIT_LEASE_MS;

  if (limited == NULL || lease->slot >= JC_LIMIT_SLOTS
      || requested_ms < limited->first_ms || requested_ms > now_ms
      || until_ms <= now_ms)
    return false;
  update_credit (limited, now_ms);
  limited->slot_until_ms[lease->slot]
      = MAX (limited->slot_until_ms[lease->slot], until_ms);
  return true;
}

/* Handle the news that the limit of INCARNATION of ENDPOINT has ended.  It is
   ignored if an answer has named it since the last request for slots.  Return
   true if the limit ends by it.  */
bool
jc_backpressure_note_end (struct jc_backpressure *backpressure,
                          const char *endpoint, uint64_t incarnation)
{
  const struct limited *limited
      = limited_find (backpressure, endpoint, incarnation);

  if (limited == NULL || limited->named)
    return false;
  g_hash_table_remove (backpressure->limited, endpoint);
  return true;
}

/* Return the number of endpoints with a limit to which requests could have been
   sent lately.  */
unsigned int
jc_backpressure_count_limited (const struct jc_backpressure *backpressure,
                               int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  unsigned int count = 0;

  g_hash_table_iter_init (&iter, backpressure->limited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct limited *)value)->used_ms <= UNUSED_MS)
      count++;
  return count;
}
