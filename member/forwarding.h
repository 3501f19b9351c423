/* Passed: what another zone tells reaches several instances of a zone, so that
   one of them may fail.  The first of them by name passes it on to the rest,
   another one where the first has not done so lately.  */

#ifndef JC_FORWARDING_H
#define JC_FORWARDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

GHashTable *jc_forwarding_new (void);
void jc_forwarding_record (GHashTable *passed, const char *zone,
                           const char *passer, const char *own, int64_t now_ms);
bool jc_forwarding_done_by_other (GHashTable *passed, const char *zone,
                                  int64_t now_ms);

#endif
