/* Tests of which requests get a slot of an engine that has few left.  */

#include <glib.h>

#include "serve/slotroom.h"

enum
{
  SLOTS = 16,
  OBJECTIVE_MS = 500,
  ANSWER_MS = 1600
};

static bool
may_send (const struct jc_slot_room *room, unsigned int running,
          unsigned int priority)
{
  const struct jc_slot_query query = { .service = "a",
                                       .running = running,
                                       .slots = SLOTS,
                                       .priority = priority,
                                       .objective_ms = OBJECTIVE_MS };

  return jc_slot_room_allows (room, &query);
}

/* Guards against a queue at the engines in which all requests miss their
   objective: a slot comes free each 100 ms, so that two may wait for it.  */
static void
test_overload (void)
{
  struct jc_slot_room *room = jc_slot_room_new ();

  jc_slot_room_note_answer (room, "a", ANSWER_MS);
  g_assert_true (may_send (room, SLOTS - 1, 0));
  g_assert_true (may_send (room, SLOTS + 1, 0));
  g_assert_false (may_send (room, SLOTS + 2, 0));
  jc_slot_room_free (room);
}

/* Guards against less urgent requests that take the last slots.  */
static void
test_urgent_first (void)
{
  struct jc_slot_room *room = jc_slot_room_new ();

  jc_slot_room_note_answer (room, "a", ANSWER_MS);
  g_assert_true (may_send (room, SLOTS / 2, 2));
  g_assert_false (may_send (room, SLOTS * 3 / 4, 2));
  g_assert_true (may_send (room, SLOTS * 3 / 4, 1));
  jc_slot_room_free (room);
}

/* Guards against a service without any answer yet, after a start, that is sent
   none, and against slow engines whose answers change the mean.  */
static void
test_measured (void)
{
  struct jc_slot_room *room = jc_slot_room_new ();

  g_assert_true (may_send (room, SLOTS - 1, 0));
  g_assert_false (may_send (room, SLOTS, 0));
  jc_slot_room_note_answer (room, "a", ANSWER_MS / 4);
  g_assert_true (may_send (room, SLOTS + 9, 0));
  for (int i = 0; i < 400; i++)
    jc_slot_room_note_answer (room, "a", 4 * ANSWER_MS);
  g_assert_false (may_send (room, SLOTS + 1, 0));
  jc_slot_room_free (room);
}

/* Guards against a limit on endpoints that state no slots.  */
static void
test_no_slots (void)
{
  struct jc_slot_room *room = jc_slot_room_new ();
  const struct jc_slot_query query
      = { .service = "a", .running = 100, .priority = 3, .objective_ms = 1 };

  g_assert_true (jc_slot_room_allows (room, &query));
  jc_slot_room_free (room);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slotroom/overload", test_overload);
  g_test_add_func ("/slotroom/urgent-first", test_urgent_first);
  g_test_add_func ("/slotroom/measured", test_measured);
  g_test_add_func ("/slotroom/no-slots", test_no_slots);
  return g_test_run ();
}
