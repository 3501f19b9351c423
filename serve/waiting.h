/* Waiting: requests that wait at an instance for room at the endpoints of a
   service, and the order in which they get it.

   Each service has a line of its own.  Workspaces are served in turn, whatever
   number of requests each of them has there, so that one that sends many times
   its usual doesn't push out the others.  Within a workspace those that can
   still meet their objective go before late ones, then the more urgent, then
   those that are due first.  Requests that come while others of their kind wait
   join them.

   A request waits only while it is likely to get room before its caller gives
   up, by the rate at which those of its kind got it lately; else it is refused,
   when it comes or as soon as that becomes so.  */

#ifndef JC_WAITING_H
#define JC_WAITING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_waiting;

/* The requests of a kind.  */
struct jc_waiting_kind;

/* A request, embedded in its owner.  SERVICE, WORKSPACE ("" for none) and KIND
   are the owner's strings; requests of one kind find room or not together.  It
   is due at DUE_MS, and room after UNTIL_MS is of no use.  The other members
   belong to the line; KIND_ROW is set while it waits.  */
struct jc_waiter_slot
{
  const char *service;
  const char *workspace;
  const char *kind;
  unsigned int priority;
  int64_t due_ms;
  int64_t until_ms;
  void *owner;

  bool waits;
  bool late;
  bool given_up;
  uint64_t turn;
  uint64_t sequence;
  GSequenceIter *position;
  struct jc_waiting_kind *kind_row;
};

/* How long the caller of a request waits for the first event.  It gives up in
   LEFT_MS; of a STREAM also if no event comes for a time that depends on
   OBJECTIVE_MS and GAP_MS.  */
struct jc_patience
{
  bool stream;
  int64_t objective_ms;
  int64_t gap_ms;
  int64_t left_ms;
};

int64_t jc_patience_ms (const struct jc_patience *patience);

struct jc_waiting *jc_waiting_new (void);
void jc_waiting_free (struct jc_waiting *waiting);
bool jc_waiting_must_join (struct jc_waiting *waiting,
                           const struct jc_waiter_slot *slot, int64_t now_ms);
bool jc_waiting_has_chance (struct jc_waiting *waiting,
                            const struct jc_waiter_slot *slot, int64_t now_ms);
void jc_waiting_add (struct jc_waiting *waiting, struct jc_waiter_slot *slot,
                     int64_t now_ms);
void jc_waiting_remove (struct jc_waiting *waiting,
                        struct jc_waiter_slot *slot);
void jc_waiting_note_sent (struct jc_waiting *waiting,
                           const struct jc_waiter_slot *slot, int64_t now_ms);
void jc_waiting_begin_turn (struct jc_waiting *waiting, int64_t now_ms);
struct jc_waiter_slot *jc_waiting_next (struct jc_waiting *waiting);
void jc_waiting_note_no_room (struct jc_waiting *waiting,
                              const struct jc_waiter_slot *slot);
unsigned int jc_waiting_count (const struct jc_waiting *waiting,
                               const char *service);
unsigned int jc_waiting_length (const struct jc_waiting *waiting);

#endif
