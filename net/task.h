/* Tasks: parts of a daemon that own their state and sockets and get typed
   messages through a mailbox, one at a time and never from within another
   task's call.  */

#ifndef JC_TASK_H
#define JC_TASK_H

#include <ev.h>
#include <glib.h>

/* A message of any type; its class is the first member.  */
struct jc_note
{
  const struct jc_note_class *klass;
};

/* The type of a message and how one is freed.  */
struct jc_note_class
{
  const char *name;
  void (*free) (struct jc_note *note);
};

struct jc_task;

/* What a task does with its messages; it may not keep the note.  */
struct jc_task_class
{
  const char *name;
  void (*deliver) (void *ctx, const struct jc_note *note);
};

struct jc_task *jc_task_new (struct ev_loop *loop,
                             const struct jc_task_class *klass, void *ctx);
void jc_task_free (struct jc_task *task);
void jc_task_post (struct jc_task *task, struct jc_note *note);
unsigned int jc_task_backlog (const struct jc_task *task);

#endif
