/* Slot room: which requests get a slot of an engine that has few left.

   Each running request takes a slot until its answer ends.  Those that find
   none wait at the engine, in the order in which they came, and too many of
   them all miss their objective.  So urgent requests are sent there only while
   one that joins the others gets its slot within a part of its objective, by
   the mean time of the service's answers.  The others leave some slots free for
   urgent ones.  */

#ifndef JC_SLOT_ROOM_H
#define JC_SLOT_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* A request of PRIORITY, 0 being the most urgent, for an engine of SERVICE with
   SLOTS, 0 if unknown, which has RUNNING requests.  Its first event is due in
   OBJECTIVE_MS, 0 for no limit.  */
struct jc_slot_query
{
  const char *service;
  unsigned int running;
  unsigned int slots;
  unsigned int priority;
  int64_t objective_ms;
};

struct jc_slot_room;

struct jc_slot_room *jc_slot_room_new (void);
void jc_slot_room_free (struct jc_slot_room *room);
void jc_slot_room_note_answer (struct jc_slot_room *room, const char *service,
                               int64_t ms);
bool jc_slot_room_allows (const struct jc_slot_room *room,
                          const struct jc_slot_query *query);

#endif
