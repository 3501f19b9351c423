/* Holding: which requests wait here for room, instead of being refused.  */

#include "base/event.h"
#include "entry/exchange.h"
#include "entry/waitqueue.h"
#include "net/program.h"

enum
{
  /* Part of the objective that is kept for the way and the prompt of a request
     once it has got room.  */
  KEPT_DIVISOR = 2,
  /* Part of a caller's patience in which its request may wait here: some is
     spent on the way here and back.  */
  PATIENCE_DIVISOR = 2
};

static bool
try_owner (void *owner)
{
  return exchange_attempt (owner);
}

/* Return whether others of its kind find room where the exchange OWNER does: it
   may go to any endpoint.  */
static bool
finds_room_alike (const void *owner)
{
  const struct exchange *exchange = owner;

  return exchange->software == 0 && exchange->tried->len == 0;
}

const struct waitqueue_ops holding_ops
    = { .try = try_owner, .finds_room_alike = finds_room_alike };

/* Return the kind of EXCHANGE: requests of a route may go to the same
   endpoints, unless their workspaces have regions of their own.  The caller
   frees it.  */
static char *
kind_of (const struct exchange *exchange)
{
  const struct jc_workspace *workspace = exchange->workspace;

  return workspace == NULL || workspace->home_regions->len == 0
             ? g_strdup (exchange->route->name)
             : g_strconcat (exchange->route->name, " ", workspace->name, NULL);
}

/* Prepare EXCHANGE, which has just begun, for the wait queue.  */
void
holding_init (struct exchange *exchange)
{
  const struct jc_hostroute *route = exchange->route;
  const struct jc_patience patience
      = { .stream = route->kind == JC_ROUTE_STREAM,
          .objective_ms = route->objective_ms,
          .gap_ms = route->gap_ms,
          .left_ms = exchange->relay.deadline_ms - exchange->started_ms };

  exchange->kind = kind_of (exchange);
  exchange->waiter = (struct jc_waiter_slot){
    .service = exchange->service,
    .workspace = exchange->workspace != NULL ? exchange->workspace->name : "",
    .kind = exchange->kind,
    .priority = exchange_priority (exchange),
    .due_ms = exchange->started_ms + route->objective_ms,
    .until_ms = exchange->started_ms
                + jc_patience_ms (&patience) / PATIENCE_DIVISOR
                - route->objective_ms / KEPT_DIVISOR,
    .owner = exchange
  };
}

/* Return whether EXCHANGE may wait here for room: it is of a workspace, its
   caller is this instance's, no endpoint can have run it, and its service has
   no slots that are shared out.  */
static bool
is_held_here (const struct exchange *exchange)
{
  const struct router *router = exchange->router;

  return exchange->workspace != NULL && !exchange->handed_over
         && !router->entry->draining && !exchange->relay.begun
         && !exchange->any_sent && !shares_apply (router, exchange->service);
}

/* Have EXCHANGE, which has just begun, wait if others of its kind do.  */
bool
holding_joins (struct exchange *exchange)
{
  struct jc_waiting *waiting = waitqueue_waiting (exchange->router->wait_queue);
  int64_t now = jc_now_ms ();

  if (!is_held_here (exchange)
      || !jc_waiting_must_join (waiting, &exchange->waiter, now)
      || !jc_waiting_has_chance (waiting, &exchange->waiter, now))
    return false;
  jc_waiting_add (waiting, &exchange->waiter, now);
  return true;
}

/* Return whether EXCHANGE, for which there is no room now, should wait: it is
   likely to get some in time.  */
bool
holding_allows (struct exchange *exchange)
{
  struct jc_waiting *waiting = waitqueue_waiting (exchange->router->wait_queue);

  if (!is_held_here (exchange))
    return false;
  if (exchange->waiter.waits)
    return !exchange->waiter.given_up;
  return jc_waiting_has_chance (waiting, &exchange->waiter, jc_now_ms ());
}

/* Queue EXCHANGE, unless it is queued already.  */
void
holding_add (struct exchange *exchange)
{
  jc_waiting_add (waitqueue_waiting (exchange->router->wait_queue),
                  &exchange->waiter, jc_now_ms ());
}

/* Remove EXCHANGE from the queue if it is there.  */
void
holding_remove (struct exchange *exchange)
{
  jc_waiting_remove (waitqueue_waiting (exchange->router->wait_queue),
                     &exchange->waiter);
}

/* Record that EXCHANGE is sent to an endpoint of this region.  */
void
holding_note_sent (struct exchange *exchange)
{
  if (!exchange->handed_over)
    jc_waiting_note_sent (waitqueue_waiting (exchange->router->wait_queue),
                          &exchange->waiter, jc_now_ms ());
}
