/* Whether an entry instance hears of changes in time: directly from a state
   instance, or from an entry instance that does.  */

#ifndef JC_CONTACT_H
#define JC_CONTACT_H

#include <stdbool.h>
#include <stdint.h>

/* When state instances and neighbours were last heard, and when the owner last
   ran.  All times are in ms of a clock that runs on while the machine is
   suspended, 0 for never.  What is heard before VOID_UNTIL_MS may have waited
   while the process did not run.  */
struct jc_contact
{
  int64_t state_ms;
  int64_t neighbour_ms;
  int64_t ran_ms;
  int64_t void_until_ms;
};

void jc_contact_tick (struct jc_contact *contact, int64_t now_ms);
void jc_contact_note_state (struct jc_contact *contact, int64_t ago_ms,
                            int64_t now_ms);
void jc_contact_note_neighbour (struct jc_contact *contact, uint64_t position,
                                uint64_t own_position, int64_t ago_ms,
                                int64_t now_ms);
uint64_t jc_contact_position (const struct jc_contact *contact,
                              uint64_t own_position, int64_t now_ms);
int64_t jc_contact_silent_ms (const struct jc_contact *contact, int64_t now_ms);
bool jc_contact_hears_state (const struct jc_contact *contact, int64_t now_ms);
bool jc_contact_is_told (const struct jc_contact *contact, int64_t now_ms);

#endif
