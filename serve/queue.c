/* Queue of waiting requests: weighted fair queuing between products.  */

#include <string.h>

#include "serve/queue.h"

/* The queue of one product.  VIRTUAL_TIME grows by 1 / weight with each request
   served; the product with the lowest is served next.  */
struct product_queue
{
  GSequence *waiters;
  int64_t weight;
  double virtual_time;
};

struct jc_queue
{
  GHashTable *products;
  size_t max_bytes;
  size_t bytes;
  unsigned int length;
  uint64_t last_sequence;
  double virtual_time;
};

static void
product_queue_free (gpointer data)
{
  struct product_queue *product_queue = data;

  g_sequence_free (product_queue->waiters);
  g_free (product_queue);
}

/* Return a queue for requests of MAX_BYTES in total.  */
struct jc_queue *
jc_queue_new (size_t max_bytes)
{
  struct jc_queue *queue = g_new0 (struct jc_queue, 1);

  queue->max_bytes = max_bytes;
  queue->products = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           product_queue_free);
  return queue;
}

/* Free QUEUE.  Requests still waiting remain with their owners.  */
void
jc_queue_free (struct jc_queue *queue)
{
  g_hash_table_destroy (queue->products);
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

static struct product_queue *
product_queue_get (struct jc_queue *queue, const struct jc_waiter *waiter)
{
  struct product_queue *product_queue
      = g_hash_table_lookup (queue->products, waiter->product);

  if (product_queue == NULL)
    {
      product_queue = g_new0 (struct product_queue, 1);
      product_queue->waiters = g_sequence_new (NULL);
      g_hash_table_insert (queue->products, g_strdup (waiter->product),
                           product_queue);
    }
  product_queue->weight = MAX (waiter->weight, 1);
  return product_queue;
}

/* Add WAITER to QUEUE.  Return JC_OVERLOADED if its product has PRODUCT_MAX
   requests waiting, or if the queue would exceed its bytes.  */
enum jc_status
jc_queue_push (struct jc_queue *queue, struct jc_waiter *waiter,
               unsigned int product_max)
{
  struct product_queue *product_queue = product_queue_get (queue, waiter);

  if ((unsigned int)g_sequence_get_length (product_queue->waiters)
      >= product_max)
    return jc_fail (JC_OVERLOADED, "The product has %u requests waiting.",
                    product_max);
  if (queue->bytes + waiter->bytes > queue->max_bytes)
    return jc_fail (JC_OVERLOADED, "The requests waiting fill their memory.");
  if (g_sequence_is_empty (product_queue->waiters))
    product_queue->virtual_time
        = MAX (product_queue->virtual_time, queue->virtual_time);
  waiter->sequence = ++queue->last_sequence;
  waiter->position = g_sequence_insert_sorted (product_queue->waiters, waiter,
                                               compare_waiters, NULL);
  queue->bytes += waiter->bytes;
  queue->length++;
  return JC_OK;
}

/* Remove WAITER from QUEUE if it is waiting.  */
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
product_queue_first (const struct product_queue *product_queue)
{
  if (g_sequence_is_empty (product_queue->waiters))
    return NULL;
  return g_sequence_get (g_sequence_get_begin_iter (product_queue->waiters));
}

/* Remove and return the next request to serve, of the products that READY
   allows.  Return NULL if there is none.  */
struct jc_waiter *
jc_queue_pop (struct jc_queue *queue, jc_queue_ready_fn *ready, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  struct product_queue *best = NULL;
  struct jc_waiter *first = NULL;

  g_hash_table_iter_init (&iter, queue->products);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct product_queue *product_queue = value;
      struct jc_waiter *waiter = product_queue_first (product_queue);
      bool sooner
          = best == NULL || product_queue->virtual_time < best->virtual_time
            || (product_queue->virtual_time == best->virtual_time
                && waiter != NULL && waiter->sequence < first->sequence);

      if (waiter == NULL || !sooner || !ready (ctx, waiter))
        continue;
      best = product_queue;
      first = waiter;
    }
  if (first == NULL)
    return NULL;
  queue->virtual_time = best->virtual_time;
  best->virtual_time += 1.0 / (double)best->weight;
  jc_queue_remove (queue, first);
  return first;
}

/* Remove and return the last request of the product with the longest queue
   relative to its weight.  Return NULL if there is none, if its deadline is
   before DUE_MS, or if READY does not allow it.  */
struct jc_waiter *
jc_queue_pop_last (struct jc_queue *queue, int64_t due_ms,
                   jc_queue_ready_fn *ready, void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  const struct product_queue *longest = NULL;
  double length = 0;
  GSequenceIter *at;
  struct jc_waiter *waiter;

  g_hash_table_iter_init (&iter, queue->products);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct product_queue *product_queue = value;
      double own = g_sequence_get_length (product_queue->waiters)
                   / (double)product_queue->weight;

      if (own <= length)
        continue;
      longest = product_queue;
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

/* Return a waiting request whose deadline is before DUE_MS, or NULL.  */
struct jc_waiter *
jc_queue_find_late (const struct jc_queue *queue, int64_t due_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->products);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct product_queue *product_queue = value;
      GSequenceIter *at = g_sequence_get_begin_iter (product_queue->waiters);

      for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
        {
          struct jc_waiter *waiter = g_sequence_get (at);

          if (waiter->deadline_ms < due_ms)
            return waiter;
        }
    }
  return NULL;
}

/* Return the number of waiting requests.  */
unsigned int
jc_queue_length (const struct jc_queue *queue)
{
  return queue->length;
}

/* Return the number of requests that would be served before WAITER, which is
   not in the queue yet: those ahead of it in its product, and those of other
   products served in the meantime.  */
unsigned int
jc_queue_ahead (const struct jc_queue *queue, const struct jc_waiter *waiter)
{
  const struct product_queue *own
      = g_hash_table_lookup (queue->products, waiter->product);
  struct jc_waiter last = *waiter;
  double ahead_own = 0;
  double ahead_others = 0;
  GHashTableIter iter;
  gpointer value;

  last.sequence = UINT64_MAX;
  if (own != NULL)
    ahead_own = g_sequence_iter_get_position (
        g_sequence_search (own->waiters, &last, compare_waiters, NULL));
  g_hash_table_iter_init (&iter, queue->products);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct product_queue *product_queue = value;
      double share = (ahead_own + 1) * (double)product_queue->weight
                     / (double)MAX (waiter->weight, 1);

      if (product_queue != own)
        ahead_others
            += MIN (share, g_sequence_get_length (product_queue->waiters));
    }
  return (unsigned int)(ahead_own + ahead_others);
}
