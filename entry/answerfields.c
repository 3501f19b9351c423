/* Answer fields: what an endpoint's answers tell besides their bodies, the pace
   of its work and fields that can't be read.  */

#include "base/event.h"
#include "entry/router.h"

/* Log and count that the field NAME of an answer of ENDPOINT can't be read.  */
static void
note_unreadable (struct router *router, const struct jc_endpoint *endpoint,
                 const char *name)
{
  char labels[80];

  g_snprintf (labels, sizeof labels, "header=\"%s\"", name);
  jc_metrics_counter_add (router->entry->metrics,
                          "jaycove_unreadable_fields_total", labels, 1);
  jc_event (JC_EVENT_BAD_INPUT, "from=%s header=%s why=\"ignored\"",
            endpoint->name, name);
}

/* Note INFO, what an answer of ENDPOINT tells.  */
void
answerfields_note (struct router *router, const struct jc_endpoint *endpoint,
                   const struct jc_answer_info *info)
{
  if (info->malformed != NULL)
    note_unreadable (router, endpoint, info->malformed);
  if (info->malformed_load != NULL)
    note_unreadable (router, endpoint, info->malformed_load);
  if (info->work_percent > 0)
    jc_metrics_observe (router->entry->metrics, "jaycove_endpoint_work_percent",
                        "", info->work_percent);
}
