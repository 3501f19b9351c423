/* Tests of tasks and their mailboxes.  */

#include <stdbool.h>

#include "net/task.h"

enum
{
  NOTES = 100
};

/* A message with a number.  */
struct number_note
{
  struct jc_note note;
  int number;
};

/* A task that collects numbers and posts one more from within.  */
struct collector
{
  struct jc_task *task;
  int next;
  bool busy;
};

static int freed;

static void
number_free (struct jc_note *note)
{
  freed++;
  g_free (note);
}

static const struct jc_note_class number_class
    = { .name = "number", .free = number_free };

static void
post (struct collector *collector, int number)
{
  struct number_note *note = g_new0 (struct number_note, 1);

  note->note.klass = &number_class;
  note->number = number;
  jc_task_post (collector->task, &note->note);
}

static void
collect (void *ctx, const struct jc_note *note)
{
  struct collector *collector = ctx;
  const struct number_note *number = (const struct number_note *)note;

  g_assert_false (collector->busy);
  collector->busy = true;
  g_assert_cmpint (number->number, ==, collector->next++);
  if (number->number == 0)
    post (collector, NOTES);
  collector->busy = false;
}

static void
test_order (void)
{
  static const struct jc_task_class klass
      = { .name = "collector", .deliver = collect };
  struct ev_loop *loop = ev_loop_new (0);
  struct collector collector = { .next = 0 };

  freed = 0;
  collector.task = jc_task_new (loop, &klass, &collector);
  for (int i = 0; i < NOTES; i++)
    post (&collector, i);
  g_assert_cmpint (collector.next, ==, 0);
  while (collector.next <= NOTES)
    ev_run (loop, EVRUN_ONCE);
  g_assert_cmpuint (jc_task_backlog (collector.task), ==, 0);
  post (&collector, 0);
  jc_task_free (collector.task);
  g_assert_cmpint (freed, ==, NOTES + 2);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/order", test_order);
  return g_test_run ();
}
