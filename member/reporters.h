/* Whether an entry instance would have heard of an endpoint by now: the state
   instance to which the endpoint reports must be heard itself.  */

#ifndef JC_REPORTERS_H
#define JC_REPORTERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/contact.h"

struct jc_reporters;

/* An endpoint whose reports come by way of another region.  An instance last
   sent to it at SENT_MS and heard at COOLED_MS that it had become cold, ms of
   the monotonic clock.  INSTANCES may send to it; while cold it may get ALLOWED
   requests a second from all of them.  */
struct jc_far_endpoint
{
  int64_t sent_ms;
  int64_t cooled_ms;
  unsigned int instances;
  unsigned int allowed;
};

struct jc_reporters *jc_reporters_new (void);
void jc_reporters_free (struct jc_reporters *reporters);
void jc_reporters_tick (struct jc_reporters *reporters, int64_t now_ms,
                        GPtrArray *changed);
void jc_reporters_note (struct jc_reporters *reporters, const char *name,
                        int64_t ago_ms, int64_t now_ms);
bool jc_reporters_are_heard (const struct jc_reporters *reporters,
                             const char *name, int64_t now_ms);
bool jc_reporters_can_tell (const struct jc_reporters *reporters,
                            const struct jc_contact *contact, const char *name,
                            int64_t now_ms);
bool jc_reporters_must_wait (const struct jc_far_endpoint *far, bool warm,
                             int64_t now_ms);

#endif
