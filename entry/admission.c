/* Admission control: the limits of products, and a queue for each pool of
   endpoints, which serve one service and model.  */

#include "entry/entry.h"
#include "net/program.h"
#include "serve/admit.h"

enum
{
  /* Memory for the bodies of the requests in one queue.  */
  QUEUE_BYTES_MAX = 64 * 1024 * 1024,
  /* Interval at which queues are checked while requests wait.  */
  DISPATCH_INTERVAL_MS = 20,
  /* A request goes to a slow endpoint only if this many times the time that it
     takes there is left before its deadline.  */
  SLOW_TIME_FACTOR = 2,
  MS_PER_S = 1000
};

/* The requests that wait for endpoints of one service and model.  */
struct pool_queue
{
  struct entry *entry;
  char *service;
  char *model;
  struct jc_queue *queue;
};

struct admission
{
  struct jc_limits *limits;
  GHashTable *queues;
  ev_timer dispatch_timer;
};

static void
pool_queue_free (gpointer data)
{
  struct pool_queue *queue = data;

  jc_queue_free (queue->queue);
  g_free (queue->service);
  g_free (queue->model);
  g_free (queue);
}

/* Return the queue for the service and model of TICKET; it is created on first
   use.  */
static struct pool_queue *
pool_queue_get (struct entry *entry, const struct ticket *ticket)
{
  GHashTable *queues = entry->admission->queues;
  char *key = g_strconcat (ticket->service, "/", ticket->model, NULL);
  struct pool_queue *queue = g_hash_table_lookup (queues, key);

  if (queue == NULL)
    {
      queue = g_new0 (struct pool_queue, 1);
      queue->entry = entry;
      queue->service = g_strdup (ticket->service);
      queue->model = g_strdup (ticket->model);
      queue->queue = jc_queue_new (QUEUE_BYTES_MAX);
      g_hash_table_insert (queues, g_strdup (key), queue);
    }
  g_free (key);
  return queue;
}

/* Store in POOL the summed state of the endpoints that serve QUEUE.  */
static void
pool_queue_sum (const struct pool_queue *queue, struct jc_endpoint_pool *pool)
{
  struct entry *entry = queue->entry;
  GPtrArray *endpoints = g_ptr_array_new ();
  int64_t now = jc_now_ms ();

  jc_endpoints_list_serving (entry->members, queue->service, queue->model, now,
                             endpoints);
  jc_admit_sum_pool (entry->policy.predict, endpoints, now, pool);
  g_ptr_array_free (endpoints, TRUE);
}

/* Return the limit of PRODUCT in force, or NULL if PRODUCT no longer
   exists.  */
const struct jc_limit *
admission_limit (const struct entry *entry, const char *product)
{
  const struct jc_product *object
      = jc_config_find (entry->config, JC_OBJECT_PRODUCT, product);

  if (object == NULL)
    return NULL;
  return jc_config_find (entry->config, JC_OBJECT_LIMIT, object->limit);
}

/* Return true if the product of WAITER may run one more request now.  */
static bool
product_has_room (void *ctx, const struct jc_waiter *waiter)
{
  struct entry *entry = ctx;
  const struct jc_limit *limit = admission_limit (entry, waiter->product);

  return limit == NULL
         || jc_limits_has_room (entry->admission->limits, waiter->product,
                                limit);
}

static void
ticket_run (struct entry *entry, struct ticket *ticket)
{
  ticket->running = true;
  jc_limits_start (entry->admission->limits, ticket->waiter.product);
  ticket->klass->run (ticket);
}

/* Refuse the queued requests that can no longer be answered before their
   deadline.  */
static void
pool_queue_refuse_late (struct pool_queue *queue,
                        const struct jc_endpoint_pool *pool)
{
  int64_t due_ms = jc_now_ms () + jc_admit_required_ms (pool);
  struct jc_waiter *waiter;

  while ((waiter = jc_queue_find_late (queue->queue, due_ms)) != NULL)
    {
      struct ticket *ticket = waiter->owner;

      jc_queue_remove (queue->queue, waiter);
      ticket->klass->refuse (
          ticket, JC_DEADLINE_UNMEETABLE, "No endpoint was free in time.",
          jc_admit_wait_ms (pool, jc_queue_length (queue->queue)));
    }
}

/* Run requests on slow endpoints if they finish sooner there than by waiting.
   Each is the last one of the product whose queue is the longest for its
   weight, so that no product within its share is slowed down.  */
static void
pool_queue_use_slow (struct pool_queue *queue, struct jc_endpoint_pool *pool)
{
  struct ticket *ticket;
  struct jc_waiter *waiter;
  unsigned int length = jc_queue_length (queue->queue);

  while (length > 0 && jc_admit_prefers_slow (pool, length - 1))
    {
      waiter = jc_queue_pop_last (
          queue->queue, jc_now_ms () + SLOW_TIME_FACTOR * pool->slow_service_ms,
          product_has_room, queue->entry);
      if (waiter == NULL)
        return;
      ticket = waiter->owner;
      ticket->use_slow_endpoint = true;
      ticket_run (queue->entry, ticket);
      pool_queue_sum (queue, pool);
      length = jc_queue_length (queue->queue);
    }
}

/* Refuse late requests of QUEUE, then run others while endpoints are free or
   slow ones pay off.  */
static void
pool_queue_dispatch (struct pool_queue *queue)
{
  struct jc_endpoint_pool pool;
  struct jc_waiter *waiter;

  pool_queue_sum (queue, &pool);
  pool_queue_refuse_late (queue, &pool);
  while (
      pool.has_room
      && (waiter = jc_queue_pop (queue->queue, product_has_room, queue->entry))
             != NULL)
    {
      ticket_run (queue->entry, waiter->owner);
      pool_queue_sum (queue, &pool);
    }
  pool_queue_use_slow (queue, &pool);
}

static void
on_dispatch (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;
  GHashTableIter iter;
  gpointer value;
  bool waiting = false;

  (void)events;
  ev_timer_stop (loop, watcher);
  g_hash_table_iter_init (&iter, entry->admission->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool_queue *queue = value;

      if (jc_queue_length (queue->queue) > 0)
        pool_queue_dispatch (queue);
      waiting |= jc_queue_length (queue->queue) > 0;
    }
  if (!waiting)
    return;
  ev_timer_set (watcher, (double)DISPATCH_INTERVAL_MS / MS_PER_S, 0);
  ev_timer_start (loop, watcher);
}

void
admission_start (struct entry *entry)
{
  struct admission *admission = g_new0 (struct admission, 1);

  admission->limits = jc_limits_new ();
  admission->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             pool_queue_free);
  ev_init (&admission->dispatch_timer, on_dispatch);
  admission->dispatch_timer.data = entry;
  entry->admission = admission;
}

void
admission_stop (struct entry *entry)
{
  struct admission *admission = entry->admission;

  if (admission == NULL)
    return;
  ev_timer_stop (entry->loop, &admission->dispatch_timer);
  g_hash_table_destroy (admission->queues);
  jc_limits_free (admission->limits);
  g_free (admission);
  entry->admission = NULL;
}

struct jc_limits *
admission_limits (struct entry *entry)
{
  return entry->admission->limits;
}

/* Dispatch all queues on the next turn of the event loop.  */
static void
schedule_dispatch (struct entry *entry)
{
  ev_timer *timer = &entry->admission->dispatch_timer;

  ev_timer_stop (entry->loop, timer);
  ev_timer_set (timer, 0, 0);
  ev_timer_start (entry->loop, timer);
}

/* Fill TICKET for the request of SPEC, whose product has LIMIT.  */
static void
ticket_init (const struct entry *entry, const struct request_spec *spec,
             const struct jc_limit *limit, struct ticket *ticket)
{
  const struct jc_priority *priority = jc_config_find (
      entry->config, JC_OBJECT_PRIORITY, spec->route->priority);

  ticket->service = g_strdup (spec->route->service);
  ticket->model = g_strdup (spec->route->model_version);
  ticket->waiter
      = (struct jc_waiter){ .product = g_strdup (spec->product->name),
                            .weight = limit->requests_per_s,
                            .level = priority != NULL ? priority->level : 0,
                            .deadline_ms = spec->deadline_ms,
                            .bytes = jc_http_body (spec->req).len,
                            .owner = ticket };
}

/* Admit the request of SPEC: run, queue or refuse TICKET, whose class is
   set by the caller.  Each ticket must be passed to admission_release in
   the end.  */
void
admission_offer (struct entry *entry, const struct request_spec *spec,
                 struct ticket *ticket)
{
  const struct jc_limit *limit = admission_limit (entry, spec->product->name);
  struct pool_queue *queue;
  struct jc_endpoint_pool pool;
  int64_t now = jc_now_ms ();
  int64_t retry_after = 0;
  enum jc_status status;
  enum jc_admission decision;
  unsigned int queue_position;

  ticket_init (entry, spec, limit, ticket);
  status = jc_limits_admit (entry->admission->limits, spec->product->name,
                            limit, now, &retry_after);
  if (status != JC_OK)
    {
      ticket->klass->refuse (ticket, status, jc_last_message (), retry_after);
      return;
    }
  queue = pool_queue_get (entry, ticket);
  pool_queue_sum (queue, &pool);
  queue_position = jc_queue_ahead (queue->queue, &ticket->waiter);
  decision = jc_admit_decide (&pool, queue_position, spec->deadline_ms - now,
                              &retry_after);
  if (decision == JC_ADMIT_REFUSE)
    ticket->klass->refuse (ticket, JC_DEADLINE_UNMEETABLE, jc_last_message (),
                           retry_after);
  else if (decision == JC_ADMIT_RUN
           && product_has_room (entry, &ticket->waiter))
    ticket_run (entry, ticket);
  else if (jc_queue_push (queue->queue, &ticket->waiter,
                          (unsigned int)limit->queue)
           != JC_OK)
    ticket->klass->refuse (ticket, JC_OVERLOADED, jc_last_message (),
                           MAX (jc_admit_wait_ms (&pool, queue_position), 1));
  else
    schedule_dispatch (entry);
}

/* Remove TICKET from its queue, release its slot in the product's limit if it
   ran, and free its members.  */
void
admission_release (struct entry *entry, struct ticket *ticket)
{
  jc_queue_remove (pool_queue_get (entry, ticket)->queue, &ticket->waiter);
  if (ticket->running)
    {
      jc_limits_finish (entry->admission->limits, ticket->waiter.product);
      schedule_dispatch (entry);
    }
  g_free (ticket->waiter.product);
  g_free (ticket->service);
  g_free (ticket->model);
}

/* Take one retry from the budget of TICKET's product.  Return false if it is
   used up or the product no longer exists.  */
bool
admission_take_retry (struct entry *entry, const struct ticket *ticket)
{
  const struct jc_limit *limit
      = admission_limit (entry, ticket->waiter.product);

  return limit != NULL
         && jc_limits_take_retry (entry->admission->limits,
                                  ticket->waiter.product, limit, jc_now_ms ());
}

/* Return how long another request of TICKET's service and model would wait in
   the queue, ms.  */
int64_t
admission_backlog_ms (struct entry *entry, const struct ticket *ticket)
{
  const struct pool_queue *queue = pool_queue_get (entry, ticket);
  struct jc_endpoint_pool pool;

  pool_queue_sum (queue, &pool);
  return jc_admit_wait_ms (&pool,
                           jc_queue_ahead (queue->queue, &ticket->waiter));
}

/* Return in how many ms another request of TICKET's service and model would
   finish here at the latest; -1 if no endpoint can serve it.  */
int64_t
admission_completion_ms (struct entry *entry, const struct ticket *ticket)
{
  struct jc_endpoint_pool pool;

  pool_queue_sum (pool_queue_get (entry, ticket), &pool);
  if (pool.slots == 0)
    return -1;
  return admission_backlog_ms (entry, ticket) + jc_admit_required_ms (&pool);
}

/* Return the typical time that a request of TICKET's service takes once it
   runs, ms.  */
int64_t
admission_service_ms (struct entry *entry, const struct ticket *ticket)
{
  return jc_predict_typical_ms (entry->policy.predict, ticket->service);
}
