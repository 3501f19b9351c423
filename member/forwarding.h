/* Forwarding of load reports from other zones within a zone.  Several instances
   of a zone receive each report, so that one of them may fail.  The first of
   them by name forwards it to the rest; another takes over if no instance
   before it has forwarded recently.  */

#ifndef JC_FORWARDING_H
#define JC_FORWARDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

GHashTable *jc_forwarding_new (void);
void jc_forwarding_record (GHashTable *forwarding, const char *zone,
                           const char *forwarder, const char *own_name,
                           int64_t now_ms);
bool jc_forwarding_done_by_other (GHashTable *forwarding, const char *zone,
                                  int64_t now_ms);

#endif
