/* Event log on standard output: one line of key=value pairs for each event.
   The rate of lines is limited and writing never blocks: lines that a slow
   reader does not take are dropped and counted.  */

#ifndef JC_EVENT_H
#define JC_EVENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Kinds of events; docs/OPERATIONS.md describes them.  */
enum jc_event
{
  JC_EVENT_START,
  JC_EVENT_STOP,
  JC_EVENT_RELOAD,
  JC_EVENT_PEER_UP,
  JC_EVENT_PEER_DOWN,
  JC_EVENT_ROLE,
  JC_EVENT_REPLICAS,
  JC_EVENT_STORAGE,
  JC_EVENT_ORDER,
  JC_EVENT_READ,
  JC_EVENT_IN_FORCE,
  JC_EVENT_ORDERS_ASKED,
  JC_EVENT_ENDPOINT,
  JC_EVENT_ENTRY,
  JC_EVENT_ADMIT,
  JC_EVENT_COLD,
  JC_EVENT_CONTACT,
  JC_EVENT_LIMIT,
  JC_EVENT_PAUSE,
  JC_EVENT_SHARE,
  JC_EVENT_QUOTA,
  JC_EVENT_MISDIRECTED,
  JC_EVENT_PATH,
  JC_EVENT_REACH,
  JC_EVENT_ATTEMPT,
  JC_EVENT_SENT_AGAIN,
  JC_EVENT_SILENT,
  JC_EVENT_GIVEN_UP,
  JC_EVENT_BROKEN,
  JC_EVENT_CRASH,
  JC_EVENT_VERSION,
  JC_EVENT_RESUME,
  JC_EVENT_IDENTITY,
  JC_EVENT_ATTEMPT_END,
  JC_EVENT_SERVED,
  JC_EVENT_REFUSED,
  JC_EVENT_FAILED,
  JC_EVENT_GONE,
  JC_EVENT_UNANSWERED,
  JC_EVENT_BAD_INPUT,
  JC_EVENT_DESCRIPTORS,
  JC_EVENT_COUNT
};

const char *jc_event_name (enum jc_event event);
void jc_event (enum jc_event event, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void jc_event_set_enabled (bool enabled);
bool jc_event_flush (bool all);
uint64_t jc_event_dropped (enum jc_event event);
void jc_event_append_metrics (GString *out);

#endif
