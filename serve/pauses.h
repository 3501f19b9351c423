/* Pauses: an endpoint that turns a request away may ask that this instance send
   it nothing for a while.  After that one request finds out whether it accepts
   requests again.

   All times are of a clock that counts the time while the machine is
   suspended.  */

#ifndef JC_PAUSES_H
#define JC_PAUSES_H

#include <stdbool.h>
#include <stdint.h>

struct jc_pauses;

struct jc_pauses *jc_pauses_new (void);
void jc_pauses_free (struct jc_pauses *pauses);
bool jc_pauses_is_paused (const struct jc_pauses *pauses, const char *endpoint,
                          uint64_t incarnation);
bool jc_pauses_begin (struct jc_pauses *pauses, const char *endpoint,
                      uint64_t incarnation, int64_t pause_ms, int64_t now_ms);
bool jc_pauses_end (struct jc_pauses *pauses, const char *endpoint,
                    uint64_t incarnation, int64_t now_ms);
int64_t jc_pauses_wait_ms (const struct jc_pauses *pauses, const char *endpoint,
                           uint64_t incarnation, int64_t now_ms);
void jc_pauses_note_send (struct jc_pauses *pauses, const char *endpoint,
                          uint64_t incarnation, int64_t now_ms);
unsigned int jc_pauses_count (const struct jc_pauses *pauses, int64_t now_ms);

#endif
