/* Backpressure: applies what endpoints ask for in their answers.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"

/* Apply INFO, an answer of ENDPOINT to a request that was sent at SENT_MS.  */
void
backpressure_note_answer (struct router *router,
                          const struct jc_endpoint *endpoint,
                          const struct jc_answer_info *info, int64_t sent_ms)
{
  const struct jc_backpressure_answer answer
      = { .endpoint = endpoint->name,
          .incarnation = endpoint->incarnation,
          .limit_per_s = info->limit_per_s,
          .sent_ms = sent_ms,
          .now_ms = jc_now_ms () };

  if (info->malformed != NULL)
    jc_event (JC_EVENT_BAD_INPUT, "from=%s header=%s why=\"ignored\"",
              endpoint->name, info->malformed);
  /* A corrupted answer may have lost its limit.  */
  if (info->limit_per_s < 0 && !info->genuine && !info->not_run)
    return;
  if (jc_backpressure_note_answer (router->backpressure, &answer))
    jc_event (JC_EVENT_LIMIT,
              "endpoint=%s incarnation=%" PRIu64
              " per_s=%.3f sent_ms_ago=%" PRId64,
              endpoint->name, endpoint->incarnation, info->limit_per_s,
              answer.now_ms - sent_ms);
}

/* Count the request ID, which is sent to ENDPOINT now.  */
void
backpressure_note_send (struct router *router,
                        const struct jc_endpoint *endpoint, const char *id,
                        int64_t now_ms)
{
  struct jc_endpoint_limit limit;

  if (!jc_backpressure_limit (router->backpressure, endpoint->name,
                              endpoint->incarnation, now_ms, &limit))
    return;
  jc_backpressure_note_send (router->backpressure, endpoint->name,
                             endpoint->incarnation, now_ms);
  jc_metrics_counter_add (router->entry->metrics,
                          "jaycove_limited_requests_total", "", 1);
  jc_event (JC_EVENT_LIMIT,
            "id=%s endpoint=%s per_s=%.3f heard_ms_ago=%" PRId64
            " sent_before=%u",
            id, endpoint->name, limit.per_s, now_ms - limit.heard_ms,
            limit.recently_sent);
}
