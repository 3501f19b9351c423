/* Leaves that endpoints said in answers to this instance.  */

#include <stdbool.h>
#include <string.h>

#include "member/leaves.h"

enum
{
  LEAVES_MAX = 4096,
  TELL_INTERVAL_MS = 1000,
  /* Longer than state instances take to start, to elect a leader and to be
     followed by all entry instances.  */
  TELL_FOR_MS = 60000
};

/* ROWS owns struct jc_leave, oldest first.  */
struct jc_leaves
{
  GQueue *rows;
};

static void
leave_free (gpointer data)
{
  struct jc_leave *leave = data;

  g_free (leave->endpoint);
  g_free (leave);
}

/* Return a table without leaves, to be freed with jc_leaves_free.  */
struct jc_leaves *
jc_leaves_new (void)
{
  struct jc_leaves *leaves = g_new0 (struct jc_leaves, 1);

  leaves->rows = g_queue_new ();
  return leaves;
}

/* Free LEAVES, which may be NULL.  */
void
jc_leaves_free (struct jc_leaves *leaves)
{
  if (leaves == NULL)
    return;
  g_queue_free_full (leaves->rows, leave_free);
  g_free (leaves);
}

static bool
has_row (const struct jc_leaves *leaves, const char *endpoint,
         uint64_t incarnation)
{
  for (const GList *at = leaves->rows->head; at != NULL; at = at->next)
    {
      const struct jc_leave *leave = at->data;

      if (leave->incarnation == incarnation
          && strcmp (leave->endpoint, endpoint) == 0)
        return true;
    }
  return false;
}

/* Add the leave of INCARNATION of ENDPOINT, read at NOW_MS, unless it is there.
   It is due at once.  A full table drops its oldest row.  */
void
jc_leaves_add (struct jc_leaves *leaves, const char *endpoint,
               uint64_t incarnation, int64_t now_ms)
{
  struct jc_leave *leave;

  if (has_row (leaves, endpoint, incarnation))
    return;
  if (g_queue_get_length (leaves->rows) >= LEAVES_MAX)
    leave_free (g_queue_pop_head (leaves->rows));
  leave = g_new0 (struct jc_leave, 1);
  leave->endpoint = g_strdup (endpoint);
  leave->incarnation = incarnation;
  leave->read_ms = now_ms;
  leave->told_ms = now_ms - TELL_INTERVAL_MS;
  g_queue_push_tail (leaves->rows, leave);
}

/* Add to OUT the leaves that a state instance must be told of at NOW_MS, which
   count as told then.  They stay owned by LEAVES, until its next call.  */
void
jc_leaves_list_due (struct jc_leaves *leaves, int64_t now_ms, GPtrArray *out)
{
  struct jc_leave *oldest;

  while ((oldest = g_queue_peek_head (leaves->rows)) != NULL
         && now_ms - oldest->read_ms > TELL_FOR_MS)
    leave_free (g_queue_pop_head (leaves->rows));
  for (const GList *at = leaves->rows->head; at != NULL; at = at->next)
    {
      struct jc_leave *leave = at->data;

      if (now_ms - leave->told_ms < TELL_INTERVAL_MS)
        continue;
      leave->told_ms = now_ms;
      g_ptr_array_add (out, leave);
    }
}
