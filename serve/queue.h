/* Requests waiting for an endpoint.  Products are served by weighted fair
   queuing; within a product the lowest level goes first, then the earliest
   deadline.  */

#ifndef JC_QUEUE_H
#define JC_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"

/* A waiting request, embedded in its owner.  POSITION and SEQUENCE are set by
   the queue.  */
struct jc_waiter
{
  char *product;
  int64_t weight;
  int64_t level;
  int64_t deadline_ms;
  size_t bytes;
  uint64_t sequence;
  void *owner;
  GSequenceIter *position;
};

struct jc_queue;

/* Returns true if the product of WAITER may run one more request.  */
typedef bool jc_queue_ready_fn (void *ctx, const struct jc_waiter *waiter);

struct jc_queue *jc_queue_new (size_t max_bytes);
void jc_queue_free (struct jc_queue *queue);
enum jc_status jc_queue_push (struct jc_queue *queue, struct jc_waiter *waiter,
                              unsigned int product_max);
void jc_queue_remove (struct jc_queue *queue, struct jc_waiter *waiter);
struct jc_waiter *jc_queue_pop (struct jc_queue *queue,
                                jc_queue_ready_fn *ready, void *ctx);
struct jc_waiter *jc_queue_pop_last (struct jc_queue *queue, int64_t due_ms,
                                     jc_queue_ready_fn *ready, void *ctx);
struct jc_waiter *jc_queue_find_late (const struct jc_queue *queue,
                                      int64_t due_ms);
unsigned int jc_queue_length (const struct jc_queue *queue);
unsigned int jc_queue_ahead (const struct jc_queue *queue,
                             const struct jc_waiter *waiter);

#endif
