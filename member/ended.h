/* Incarnations of endpoints that have ended for good.  Whatever is heard of one
   of them afterwards doesn't bring it back.  */

#ifndef JC_ENDED_H
#define JC_ENDED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_ended;

struct jc_ended *jc_ended_new (void);
void jc_ended_free (struct jc_ended *ended);
void jc_ended_add (struct jc_ended *ended, uint64_t tag, int64_t now_ms);
bool jc_ended_contains (const struct jc_ended *ended, uint64_t tag);
void jc_ended_expire (struct jc_ended *ended, int64_t now_ms);

#endif
