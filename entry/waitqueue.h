/* Wait queue: requests that wait here for room at endpoints.  It knows neither
   exchanges nor endpoints: their owner gives it the function that tries a
   request.  */

#ifndef ENTRY_WAITQUEUE_H
#define ENTRY_WAITQUEUE_H

#include "serve/waiting.h"

struct waitqueue;

/* TRY tries the request of OWNER.  It returns true if that stays in the queue,
   and false if it was sent or refused and is no longer there.
   FINDS_ROOM_ALIKE returns whether others of its kind find room if it does.  */
struct waitqueue_ops
{
  bool (*try) (void *owner);
  bool (*finds_room_alike) (const void *owner);
};

struct waitqueue *waitqueue_new (const struct waitqueue_ops *ops);
void waitqueue_free (struct waitqueue *queue);
struct jc_waiting *waitqueue_waiting (struct waitqueue *queue);
void waitqueue_dispatch (struct waitqueue *queue, int64_t now_ms);

#endif
