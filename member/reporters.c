/* State instances that pass on reports of endpoints.  */

#include "member/reporters.h"

enum
{
  /* Time after which a state instance that isn't heard is forgotten.  */
  FORGET_MS = 60000,
  /* Time that a report takes by way of another region, after a refusal by the
     state instance of its own.  */
  FAR_REPORT_MS = 250,
  /* Time over which requests to cold endpoints are counted.  */
  COLD_WINDOW_MS = 1000
};

/* One state instance.  WAS_HEARD is the outcome of the last tick.  */
struct reporter
{
  struct jc_contact contact;
  bool was_heard;
};

/* BY_NAME maps names of state instances to struct reporter.  */
struct jc_reporters
{
  GHashTable *by_name;
};

/* Return an empty table, to be freed with jc_reporters_free.  */
struct jc_reporters *
jc_reporters_new (void)
{
  struct jc_reporters *reporters = g_new0 (struct jc_reporters, 1);

  reporters->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return reporters;
}

/* Free REPORTERS, which may be NULL.  */
void
jc_reporters_free (struct jc_reporters *reporters)
{
  if (reporters == NULL)
    return;
  g_hash_table_destroy (reporters->by_name);
  g_free (reporters);
}

/* Note that the owner of REPORTERS runs; to be called ten times a second.
   Append to CHANGED copies of the names of those that are heard again or no
   longer, to be freed by the caller.  */
void
jc_reporters_tick (struct jc_reporters *reporters, int64_t now_ms,
                   GPtrArray *changed)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, reporters->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct reporter *reporter = value;
      bool heard = jc_contact_hears_state (&reporter->contact, now_ms);

      jc_contact_tick (&reporter->contact, now_ms);
      if (heard != reporter->was_heard)
        g_ptr_array_add (changed, g_strdup (name));
      reporter->was_heard = heard;
      if (now_ms - reporter->contact.state_ms > FORGET_MS)
        g_hash_table_iter_remove (&iter);
    }
}

/* The state instance NAME was heard AGO_MS ago.  */
void
jc_reporters_note (struct jc_reporters *reporters, const char *name,
                   int64_t ago_ms, int64_t now_ms)
{
  struct reporter *reporter = g_hash_table_lookup (reporters->by_name, name);

  if (reporter == NULL)
    {
      reporter = g_new0 (struct reporter, 1);
      jc_contact_tick (&reporter->contact, now_ms);
      reporter->contact.void_until_ms = 0;
      g_hash_table_insert (reporters->by_name, g_strdup (name), reporter);
    }
  jc_contact_note_state (&reporter->contact, ago_ms, now_ms);
}

/* Return whether the state instance NAME was heard lately.  */
bool
jc_reporters_are_heard (const struct jc_reporters *reporters, const char *name,
                        int64_t now_ms)
{
  const struct reporter *reporter
      = g_hash_table_lookup (reporters->by_name, name);

  return reporter != NULL
         && jc_contact_hears_state (&reporter->contact, now_ms);
}

/* Return whether an instance with CONTACT would have heard by now what an
   endpoint reports whose last report was passed on by NAME, NULL if by none.
   That another state instance is heard says nothing of an endpoint that reports
   to one that is cut off.  An instance that hears no state instance itself
   relies on its neighbours and can't tell which of these are cut off.  */
bool
jc_reporters_can_tell (const struct jc_reporters *reporters,
                       const struct jc_contact *contact, const char *name,
                       int64_t now_ms)
{
  if (!jc_contact_is_told (contact, now_ms))
    return false;
  return !jc_contact_hears_state (contact, now_ms)
         || (name != NULL && jc_reporters_are_heard (reporters, name, now_ms));
}

/* Return the interval, ms, at which each instance may send to FAR, so that all
   together send no more than is allowed before they hear that it is cold. Where
   there are more instances than that, this holds only on average: endpoints of
   a region without any state instance must get work.  */
static int64_t
far_interval_ms (const struct jc_far_endpoint *far)
{
  unsigned int instances = MAX (far->instances, 1);
  unsigned int allowed = MAX (far->allowed, 1);

  if (allowed < instances)
    return (int64_t)FAR_REPORT_MS * instances / allowed + 1;
  return FAR_REPORT_MS / (int64_t)(allowed / instances) + 1;
}

/* Return whether FAR must not get a request at NOW_MS.  While it is WARM,
   requests are spaced, since it may have become cold already.  Once it is known
   to be cold, others may have sent as many as it bears within the last second,
   the first ones before this instance heard of it.  */
bool
jc_reporters_must_wait (const struct jc_far_endpoint *far, bool warm,
                        int64_t now_ms)
{
  return warm ? now_ms - far->sent_ms < far_interval_ms (far)
              : now_ms - far->cooled_ms < COLD_WINDOW_MS + FAR_REPORT_MS;
}
