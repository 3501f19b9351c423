/* Tests of requests that wait for room, and of their order.  */

#include <glib.h>
#include <malloc.h>

#include "serve/waiting.h"

enum
{
  SLOTS = 400,
  ROOM_PER_S = 50,
  PERIOD_MS = 1000,
  OBJECTIVE_MS = 600,
  PATIENCE_MS = 3000,
  NAMES = 100000,
  /* Names after which tables have grown to their full size.  */
  NAMES_FIRST = 5000,
  GROWTH_BYTES_MAX = 256 * 1024
};

static struct jc_waiter_slot
make_slot (const char *workspace, unsigned int priority, int64_t now_ms)
{
  return (struct jc_waiter_slot){ .service = g_intern_string ("s"),
                                  .workspace = g_intern_string (workspace),
                                  .kind = g_intern_string ("k"),
                                  .priority = priority,
                                  .due_ms = now_ms + OBJECTIVE_MS,
                                  .until_ms = now_ms + PATIENCE_MS };
}

/* Have requests like SLOT get room evenly for a period from FROM_MS.  */
static void
send_period (struct jc_waiting *waiting, const struct jc_waiter_slot *slot,
             int64_t from_ms)
{
  for (int i = 0; i < ROOM_PER_S; i++)
    jc_waiting_note_sent (waiting, slot, from_ms + i * PERIOD_MS / ROOM_PER_S);
}

/* Give room to COUNT of those that wait; return how many are of WORKSPACE.  */
static unsigned int
serve (struct jc_waiting *waiting, unsigned int count, const char *workspace,
       int64_t now_ms)
{
  unsigned int found = 0;

  for (unsigned int i = 0; i < count; i++)
    {
      struct jc_waiter_slot *slot;

      jc_waiting_begin_turn (waiting, now_ms);
      slot = jc_waiting_next (waiting);
      if (slot == NULL)
        break;
      found += slot->workspace == g_intern_string (workspace) ? 1 : 0;
      jc_waiting_remove (waiting, slot);
      jc_waiting_note_sent (waiting, slot, now_ms);
    }
  return found;
}

/* Guards against a workspace at many times its usual that pushes out a small
   one: the small one's requests, which came later, get room by turns.  */
static void
test_large_workspace (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot slots[110];
  struct jc_waiter_slot usual = make_slot ("large", 0, 0);

  send_period (waiting, &usual, 0);
  send_period (waiting, &usual, PERIOD_MS);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    {
      slots[i] = make_slot (i < 100 ? "large" : "small", 0, 2 * PERIOD_MS);
      jc_waiting_add (waiting, &slots[i], 2 * PERIOD_MS);
    }
  g_assert_cmpuint (serve (waiting, 20, "small", 2 * PERIOD_MS), ==, 10);
  jc_waiting_free (waiting);
}

/* Guards against a wrong order within a workspace: the more urgent first, then
   what is due first, and late ones last.  */
static void
test_order (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot late = make_slot ("a", 0, 0);
  struct jc_waiter_slot second = make_slot ("a", 1, 2000);
  struct jc_waiter_slot third = make_slot ("a", 1, 2100);
  struct jc_waiter_slot first = make_slot ("a", 0, 2200);
  struct jc_waiter_slot *order[] = { &first, &second, &third, &late };

  send_period (waiting, &late, 1200);
  jc_waiting_add (waiting, &late, 100);
  jc_waiting_add (waiting, &third, 2200);
  jc_waiting_add (waiting, &second, 2200);
  jc_waiting_add (waiting, &first, 2200);
  for (guint i = 0; i < G_N_ELEMENTS (order); i++)
    {
      jc_waiting_begin_turn (waiting, 2200);
      g_assert_true (jc_waiting_next (waiting) == order[i]);
      jc_waiting_remove (waiting, order[i]);
    }
  jc_waiting_free (waiting);
}

/* Guards against newcomers that take the room of those who wait.  */
static void
test_newcomer (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot first = make_slot ("a", 0, 0);
  struct jc_waiter_slot newcomer = make_slot ("b", 0, 100);
  struct jc_waiter_slot other = make_slot ("b", 0, 100);

  other.kind = g_intern_string ("other");
  g_assert_false (jc_waiting_must_join (waiting, &newcomer, 0));
  jc_waiting_add (waiting, &first, 0);
  g_assert_true (jc_waiting_must_join (waiting, &newcomer, 100));
  g_assert_false (jc_waiting_must_join (waiting, &other, 100));
  g_assert_false (jc_waiting_must_join (waiting, &newcomer, OBJECTIVE_MS));
  jc_waiting_remove (waiting, &first);
  g_assert_false (jc_waiting_must_join (waiting, &newcomer, 100));
  jc_waiting_free (waiting);
}

/* Guards against requests that wait in vain: no more wait than get room in half
   of their time, and the rest are refused when they come.  */
static void
test_overload (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot slots[SLOTS];
  struct jc_waiter_slot usual = make_slot ("a", 0, 0);
  unsigned int held = 0;

  for (int i = 0; i < 4; i++)
    send_period (waiting, &usual, (int64_t)i * PERIOD_MS);
  for (guint i = 0; i < SLOTS; i++)
    {
      slots[i] = make_slot ("a", 0, 4 * PERIOD_MS);
      if (!jc_waiting_has_chance (waiting, &slots[i], 4 * PERIOD_MS))
        continue;
      jc_waiting_add (waiting, &slots[i], 4 * PERIOD_MS);
      held++;
    }
  g_assert_cmpuint (held, >=, ROOM_PER_S);
  g_assert_cmpuint (held, <=, ROOM_PER_S * PATIENCE_MS / PERIOD_MS / 2);
  jc_waiting_free (waiting);
}

/* Guards against requests held to their end when the endpoints fail while they
   wait: as the rate falls, those at the back are given up, and the first one
   stays until its time is over.  */
static void
test_failure (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot slots[20];
  struct jc_waiter_slot usual = make_slot ("a", 0, 0);
  unsigned int given_up = 0;

  send_period (waiting, &usual, 0);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    {
      slots[i] = make_slot ("a", 0, PERIOD_MS);
      jc_waiting_add (waiting, &slots[i], PERIOD_MS);
    }
  jc_waiting_begin_turn (waiting, PERIOD_MS);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    g_assert_false (slots[i].given_up);
  jc_waiting_begin_turn (waiting, PERIOD_MS + PATIENCE_MS - 600);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    given_up += slots[i].given_up ? 1 : 0;
  g_assert_cmpuint (given_up, >=, 15);
  g_assert_cmpuint (given_up, <, 20);
  g_assert_true (jc_waiting_next (waiting)->given_up);
  jc_waiting_begin_turn (waiting, PERIOD_MS + PATIENCE_MS);
  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    g_assert_true (slots[i].given_up);
  jc_waiting_free (waiting);
}

/* Guards against trying each of many requests in a turn without room: one of
   each kind tells.  */
static void
test_no_room (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  struct jc_waiter_slot slots[10];
  struct jc_waiter_slot *slot;
  unsigned int tried = 0;

  for (guint i = 0; i < G_N_ELEMENTS (slots); i++)
    {
      slots[i] = make_slot ("a", 0, 0);
      slots[i].kind = g_intern_string (i % 2 == 0 ? "even" : "odd");
      send_period (waiting, &slots[i], 0);
      jc_waiting_add (waiting, &slots[i], PERIOD_MS);
    }
  jc_waiting_begin_turn (waiting, PERIOD_MS);
  while ((slot = jc_waiting_next (waiting)) != NULL)
    {
      tried++;
      jc_waiting_note_no_room (waiting, slot);
    }
  g_assert_cmpuint (tried, ==, 2);
  jc_waiting_free (waiting);
}

/* Guards against a process that keeps something of each workspace, kind and
   service whose requests ever waited.  Their names end with the requests.  */
static void
test_many_names (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  char **names = g_new0 (char *, NAMES + 1);
  size_t before = 0;

  for (int i = 0; i < NAMES; i++)
    names[i] = g_strdup_printf ("name-%d", i);
  for (int i = 0; i < NAMES; i++)
    {
      struct jc_waiter_slot slot = { .service = names[i % 2 ? i : 0],
                                     .workspace = names[i],
                                     .kind = names[i],
                                     .due_ms = OBJECTIVE_MS,
                                     .until_ms = PATIENCE_MS };

      if (i == NAMES_FIRST)
        before = mallinfo2 ().uordblks;
      jc_waiting_add (waiting, &slot, 0);
      jc_waiting_remove (waiting, &slot);
      jc_waiting_note_sent (waiting, &slot, 0);
    }
  g_assert_cmpuint (mallinfo2 ().uordblks, <=, before + GROWTH_BYTES_MAX);
  g_strfreev (names);
  jc_waiting_free (waiting);
}

/* Guards against names that are one only if they are the same string.  */
static void
test_equal_names (void)
{
  struct jc_waiting *waiting = jc_waiting_new ();
  char kind[] = "k";
  struct jc_waiter_slot first = make_slot ("a", 0, 0);
  struct jc_waiter_slot newcomer = make_slot ("b", 0, 100);

  newcomer.kind = kind;
  jc_waiting_add (waiting, &first, 0);
  g_assert_true (jc_waiting_must_join (waiting, &newcomer, 100));
  jc_waiting_remove (waiting, &first);
  jc_waiting_free (waiting);
}

/* Guards against a wrong idea of how long callers wait.  */
static void
test_patience (void)
{
  struct jc_patience patience
      = { .stream = true, .objective_ms = 500, .gap_ms = 400, .left_ms = 9000 };

  g_assert_cmpint (jc_patience_ms (&patience), ==, 3200);
  patience.objective_ms = 2000;
  g_assert_cmpint (jc_patience_ms (&patience), ==, 8000);
  patience.left_ms = 1000;
  g_assert_cmpint (jc_patience_ms (&patience), ==, 1000);
  patience = (struct jc_patience){ .objective_ms = 1, .left_ms = 5000 };
  g_assert_cmpint (jc_patience_ms (&patience), ==, 5000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/waiting/many-names", test_many_names);
  g_test_add_func ("/waiting/equal-names", test_equal_names);
  g_test_add_func ("/waiting/large-workspace", test_large_workspace);
  g_test_add_func ("/waiting/order", test_order);
  g_test_add_func ("/waiting/newcomer", test_newcomer);
  g_test_add_func ("/waiting/overload", test_overload);
  g_test_add_func ("/waiting/failure", test_failure);
  g_test_add_func ("/waiting/no-room", test_no_room);
  g_test_add_func ("/waiting/patience", test_patience);
  return g_test_run ();
}
