/* Pauses: an endpoint that turns a request away may ask that this instance send
   it nothing for a while.  After that one request finds out whether it accepts
   requests again.  The instances of a region report their pauses to each other:
   an endpoint that turned one of them away is likely to turn away the next.

   All times are of a clock that counts the time while the machine is
   suspended.  */

#ifndef JC_PAUSES_H
#define JC_PAUSES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_pauses;

/* A pause of this instance, or one that another instance of its zone
   reported.  */
struct jc_pause_report
{
  const char *endpoint;
  uint64_t incarnation;
  int64_t left_ms;
};

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
void jc_pauses_note_report (struct jc_pauses *pauses,
                            const struct jc_pause_report *report, bool in_zone,
                            int64_t now_ms);
bool jc_pauses_is_reported (const struct jc_pauses *pauses,
                            const char *endpoint, uint64_t incarnation,
                            int64_t now_ms);
bool jc_pauses_has_reports (const struct jc_pauses *pauses);
void jc_pauses_list (const struct jc_pauses *pauses, bool whole_zone,
                     int64_t now_ms, GArray *out);
unsigned int jc_pauses_count (const struct jc_pauses *pauses, int64_t now_ms);

#endif
