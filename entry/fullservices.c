/* Full services: endpoints of plain services get no more requests than they
   take.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/fullness.h"
#include "serve/slotroom.h"

enum
{
  HTTP_FULL = 503
};

/* Note that the current attempt of EXCHANGE ended with RESULT, if its endpoint
   refused it for want of room.  */
void
fullservices_note_end (struct exchange *exchange,
                       const struct jc_relay_result *result)
{
  struct router *router = exchange->router;
  const struct jc_answer_info *info = &exchange->answer_info;
  const struct jc_endpoint *endpoint;
  struct jc_full_endpoint full;
  unsigned int held = info->has_load ? info->running + info->queued : 0;

  if (exchange->remote || exchange->demand.prompt_tokens > 0 || !result->whole
      || !result->not_run || result->http != HTTP_FULL)
    return;
  endpoint = jc_endpoints_find (router->endpoints, exchange->target_name);
  if (endpoint == NULL || endpoint->incarnation != exchange->target_incarnation)
    return;
  full = (struct jc_full_endpoint){ .name = endpoint->name,
                                    .incarnation = endpoint->incarnation,
                                    .slots = endpoint->slots };
  jc_fullness_note_refused (router->fullness, &full, held, jc_now_ms ());
  jc_event (JC_EVENT_SHARE,
            "id=%s endpoint=%s incarnation=%" PRIu64 " full=%u slots=%u",
            exchange_id (exchange), endpoint->name, endpoint->incarnation, held,
            endpoint->slots);
}

/* Return whether ENDPOINT takes another request of QUERY, which is a plain one,
   now.  If it has refused some lately, a request that joins those that wait
   there must also be likely to be answered in time.  */
bool
fullservices_may_send (struct router *router,
                       const struct jc_endpoint *endpoint,
                       const struct balancer_query *query)
{
  const struct jc_full_endpoint full = { .name = endpoint->name,
                                         .incarnation = endpoint->incarnation,
                                         .slots = endpoint->slots };
  unsigned int running
      = jc_engines_running (router->engines, endpoint, query->now_ms);
  const struct jc_slot_query slots
      = { .service = query->service,
          .running = running,
          .slots = endpoint->slots,
          .objective_ms = query->demand->first_event_limit_ms };

  return !jc_fullness_is_known (router->fullness, &full, query->now_ms)
         || (jc_fullness_allows (router->fullness, &full, running,
                                 query->now_ms)
             && jc_slot_room_allows (router->slot_room, &slots));
}
