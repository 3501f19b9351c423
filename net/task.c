/* Tasks and their mailboxes.  */

#include "net/task.h"

enum
{
  DELIVERIES_A_TURN = 64
};

struct jc_task
{
  struct ev_loop *loop;
  const struct jc_task_class *klass;
  void *ctx;
  GQueue mailbox;
  ev_timer turn;
};

/* Deliver what waits, but no more than a turn's share, so that sockets get
   their turn too.  */
static void
task_on_turn (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_task *task = watcher->data;

  (void)events;
  for (int i = 0; i < DELIVERIES_A_TURN; i++)
    {
      struct jc_note *note = g_queue_pop_head (&task->mailbox);

      if (note == NULL)
        return;
      task->klass->deliver (task->ctx, note);
      note->klass->free (note);
    }
  if (!g_queue_is_empty (&task->mailbox))
    ev_timer_start (loop, &task->turn);
}

/* Return a task on LOOP whose messages go to KLASS with CTX.  */
struct jc_task *
jc_task_new (struct ev_loop *loop, const struct jc_task_class *klass, void *ctx)
{
  struct jc_task *task = g_new0 (struct jc_task, 1);

  task->loop = loop;
  task->klass = klass;
  task->ctx = ctx;
  g_queue_init (&task->mailbox);
  ev_timer_init (&task->turn, task_on_turn, 0, 0);
  task->turn.data = task;
  return task;
}

/* Free TASK and the messages not delivered.  */
void
jc_task_free (struct jc_task *task)
{
  struct jc_note *note;

  if (task == NULL)
    return;
  ev_timer_stop (task->loop, &task->turn);
  while ((note = g_queue_pop_head (&task->mailbox)) != NULL)
    note->klass->free (note);
  g_free (task);
}

/* Put NOTE, which TASK owns from now on, behind what waits already.  */
void
jc_task_post (struct jc_task *task, struct jc_note *note)
{
  g_queue_push_tail (&task->mailbox, note);
  if (!ev_is_active (&task->turn))
    ev_timer_start (task->loop, &task->turn);
}

/* Return the number of messages that wait.  */
unsigned int
jc_task_backlog (const struct jc_task *task)
{
  return g_queue_get_length ((GQueue *)&task->mailbox);
}
