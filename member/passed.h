/* Passed: what another zone tells reaches several instances of a zone, so that
   one of them may fail.  The first of them by name passes it on to the rest,
   another one where the first has not done so lately.  */

#ifndef JC_PASSED_H
#define JC_PASSED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

GHashTable *jc_passed_new (void);
void jc_passed_note (GHashTable *passed, const char *zone, const char *passer,
                     const char *own, int64_t now_ms);
bool jc_passed_by_other (GHashTable *passed, const char *zone, int64_t now_ms);

#endif
