/* Requests that wait, with weighted turns of products.  */

#include <string.h>

#include "serve/queue.h"

/* One product's requests.  TURN grows by 1 / weight with each one served;
   the product with the least has the next turn.  */
struct line
{
  GSequence *waiters;
  int64_t weight;
  double turn;
};

struct jc_queue
{
  GHashTable *lines;
  size_t max_bytes;
  size_t bytes;
  unsigned int length;
  uint64_t number;
  double turn;
};

static void
line_free (gpointer data)
{
  struct line *line = data;

  g_sequence_free (line->waiters);
  g_free (line);
}

/* Return a queue of at most MAX_BYTES.  */
struct jc_queue *
jc_queue_new (size_t max_bytes)
{
  struct jc_queue *queue = g_new0 (struct jc_queue, 1);

  queue->max_bytes = max_bytes;
  queue->lines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, line_free);
  return queue;
}

/* Free QUEUE; those that wait belong to their owners.  */
void
jc_queue_free (struct jc_queue *queue)
{
  g_hash_table_destroy (queue->lines);
  g_free (queue);
}

static int
sign (int64_t value)
{
  return (value > 0) - (value < 0);
}

static gint
compare_waiters (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct jc_waiter *left = a;
  const struct jc_waiter *right = b;

  (void)ctx;
  if (left->level != right->level)
    return sign (left->level - right->level);
  if (left->deadline_ms != right->deadline_ms)
    return sign (left->deadline_ms - right->deadline_ms);
  return (left->sequence > right->sequence)
         - (left->sequence < right->sequence);
}

static struct line *
line_of (struct jc_queue *queue, const struct jc_waiter *waiter)
{
  struct line *line = g_hash_table_lookup (queue->lines, waiter->product);

  if (line == NULL)
    {
      line = g_new0 (struct line, 1);
      line->waiters = g_sequence_new (NULL);
      g_hash_table_insert (queue->lines, g_strdup (waiter->product), line);
    }
  line->weight = MAX (waiter->weight, 1);
  return line;
}

/* Let WAITER wait.  Return JC_OVERLOADED where its product has PRODUCT_MAX
   that wait, or the queue its bytes.  */
enum jc_status
jc_queue_push (struct jc_queue *queue, struct jc_waiter *waiter,
               unsigned int product_max)
{
  struct line *line = line_of (queue, waiter);

  if ((unsigned int)g_sequence_get_length (line->waiters) >= product_max)
    return jc_fail (JC_OVERLOADED, "The product has %u requests waiting.",
                    product_max);
  if (queue->bytes + waiter->bytes > queue->max_bytes)
    return jc_fail (JC_OVERLOADED, "The requests waiting fill their memory.");
  if (g_sequence_is_empty (line->waiters))
    line->turn = MAX (line->turn, queue->turn);
  waiter->sequence = ++queue->number;
  waiter->position
      = g_sequence_insert_sorted (line->waiters, waiter, compare_waiters, NULL);
  queue->bytes += waiter->bytes;
  queue->length++;
  return JC_OK;
}

/* Take WAITER out, where it waits.  */
void
jc_queue_remove (struct jc_queue *queue, struct jc_waiter *waiter)
{
  if (waiter->position == NULL)
    return;
  g_sequence_remove (waiter->position);
  waiter->position = NULL;
  queue->bytes -= waiter->bytes;
  queue->length--;
}

static struct jc_waiter *
line_first (const struct line *line)
{
  if (g_sequence_is_empty (line->waiters))
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (line->waiters));
}

/* Take out the one whose turn it is, of the products that READY allows.
   Return NULL where there is none.  */
struct jc_waiter *
jc_queue_pop (struct jc_queue *queue, jc_queue_ready_fn *ready, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  struct line *best = NULL;
  struct jc_waiter *first = NULL;

  g_hash_table_iter_init (&iter, queue->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct line *line = value;
      struct jc_waiter *waiter = line_first (line);
      bool sooner = best == NULL || line->turn < best->turn
                    || (line->turn == best->turn && waiter != NULL
                        && waiter->sequence < first->sequence);

      if (waiter == NULL || !sooner || !ready (ctx, waiter))
        continue;
      best = line;
      first = waiter;
    }
  if (first == NULL)
    return NULL;
  queue->turn = best->turn;
  best->turn += 1.0 / (double)best->weight;
  jc_queue_remove (queue, first);
  return first;
}

/* Take out, of the product whose line is the longest for its weight, the last
   one whose deadline is not before DUE_MS.  Return NULL where there is none or
   READY does not allow it.  */
struct jc_waiter *
jc_queue_pop_last (struct jc_queue *queue, int64_t due_ms,
                   jc_queue_ready_fn *ready, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  const struct line *longest = NULL;
  double length = 0;
  GSequenceIter *at;
  struct jc_waiter *waiter;

  g_hash_table_iter_init (&iter, queue->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct line *line = value;
      double own = g_sequence_get_length (line->waiters) / (double)line->weight;

      if (own <= length)
        continue;
      longest = line;
      length = own;
    }
  if (longest == NULL)
    return NULL;
  at = g_sequence_iter_prev (g_sequence_get_end_iter (longest->waiters));
  waiter = g_sequence_get (at);
  if (waiter->deadline_ms < due_ms || !ready (ctx, waiter))
    return NULL;
  jc_queue_remove (queue, waiter);
  return waiter;
}

/* Return one that waits and whose deadline is before DUE_MS, or NULL.  */
struct jc_waiter *
jc_queue_find_late (const struct jc_queue *queue, int64_t due_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct line *line = value;
      GSequenceIter *at = g_sequence_get_begin_iter (line->waiters);

      for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
        {
          struct jc_waiter *waiter = g_sequence_get (at);

          if (waiter->deadline_ms < due_ms)
            return waiter;
        }
    }
  return NULL;
}

/* Return the number that wait.  */
unsigned int
jc_queue_length (const struct jc_queue *queue)
{
  return queue->length;
}

/* Return how many are served before WAITER, which does not wait yet: those of
   its product that go first, and the turns that other products have
   meanwhile.  */
unsigned int
jc_queue_ahead (const struct jc_queue *queue, const struct jc_waiter *waiter)
{
  const struct line *own = g_hash_table_lookup (queue->lines, waiter->product);
  struct jc_waiter last = *waiter;
  double before = 0;
  double turns = 0;
  GHashTableIter iter;
  gpointer value;

  last.sequence = UINT64_MAX;
  if (own != NULL)
    before = g_sequence_iter_get_position (
        g_sequence_search (own->waiters, &last, compare_waiters, NULL));
  g_hash_table_iter_init (&iter, queue->lines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct line *line = value;
      double share = (before + 1) * (double)line->weight
                     / (double)MAX (waiter->weight, 1);

      if (line != own)
        turns += MIN (share, g_sequence_get_length (line->waiters));
    }
  return (unsigned int)(before + turns);
}
