/* Contact of an entry instance with those who tell it of changes.  */

#include <glib.h>

#include "member/contact.h"

enum
{
  /* Two heartbeats: each of several state instances sends them.  */
  STATE_AGE_MAX_MS = 1000,
  /* Time since it heard a state instance up to which an instance's neighbours
     may rely on it, and time for which one of its messages counts.  Evacuations
     that last longer than both together are noticed.  */
  CLAIM_AGE_MAX_MS = 600,
  NEIGHBOUR_AGE_MAX_MS = 600,
  /* Time without a tick after which messages may have waited, and the time that
     it takes to read them all.  */
  PAUSE_MS = 700,
  READ_MS = 250
};

/* Start to ignore what is heard if the process did not run for a while.  */
static void
note_pause (struct jc_contact *contact, int64_t now_ms)
{
  if (now_ms - contact->ran_ms > PAUSE_MS)
    contact->void_until_ms = now_ms + READ_MS;
  contact->ran_ms = now_ms;
}

/* Note that the owner of CONTACT runs; to be called ten times a second.  */
void
jc_contact_tick (struct jc_contact *contact, int64_t now_ms)
{
  note_pause (contact, now_ms);
}

/* A state instance was heard AGO_MS ago.  */
void
jc_contact_note_state (struct jc_contact *contact, int64_t ago_ms,
                       int64_t now_ms)
{
  note_pause (contact, now_ms);
  if (now_ms >= contact->void_until_ms)
    contact->state_ms = MAX (contact->state_ms, now_ms - ago_ms);
}

/* A neighbour was heard AGO_MS ago that has the orders up to POSITION, 0 if it
   isn't told of changes itself.  That shows that nothing was missed where this
   instance, at OWN_POSITION, has as much.  */
void
jc_contact_note_neighbour (struct jc_contact *contact, uint64_t position,
                           uint64_t own_position, int64_t ago_ms,
                           int64_t now_ms)
{
  note_pause (contact, now_ms);
  if (position > 0 && position <= own_position
      && now_ms >= contact->void_until_ms)
    contact->neighbour_ms = MAX (contact->neighbour_ms, now_ms - ago_ms);
}

/* Return the position that neighbours may rely on: OWN_POSITION, or 0 while no
   state instance was heard lately.  What neighbours told doesn't count.  */
uint64_t
jc_contact_position (const struct jc_contact *contact, uint64_t own_position,
                     int64_t now_ms)
{
  return contact->state_ms > 0 && now_ms - contact->state_ms <= CLAIM_AGE_MAX_MS
             ? own_position
             : 0;
}

/* Return for how long CONTACT's owner has not heard a state instance itself,
   ms, or 0 if it never did.  */
int64_t
jc_contact_silent_ms (const struct jc_contact *contact, int64_t now_ms)
{
  return contact->state_ms > 0 ? now_ms - contact->state_ms : 0;
}

/* Return whether CONTACT's owner heard a state instance itself lately.  */
bool
jc_contact_hears_state (const struct jc_contact *contact, int64_t now_ms)
{
  return contact->state_ms > 0
         && now_ms - contact->state_ms <= STATE_AGE_MAX_MS;
}

/* Return whether CONTACT's owner would have heard of a change by now.  */
bool
jc_contact_is_told (const struct jc_contact *contact, int64_t now_ms)
{
  return jc_contact_hears_state (contact, now_ms)
         || (contact->neighbour_ms > 0
             && now_ms - contact->neighbour_ms <= NEIGHBOUR_AGE_MAX_MS);
}
