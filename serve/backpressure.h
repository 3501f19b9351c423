/* Backpressure: what endpoints ask for in their answers.  An endpoint that is
   short of resources names a limit, the rate of requests that it accepts from
   all entry instances together.  From then on this instance sends it no more
   than the slots of the limit allow that it leases; see member/limitslots.h.

   All times are of a clock that counts the time while the machine is suspended,
   since leases end meanwhile.  */

#ifndef JC_BACKPRESSURE_H
#define JC_BACKPRESSURE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/limitslots.h"

struct jc_backpressure;

/* One answer of an endpoint to the request that jc_backpressure_note_send gave
   the number SEND_NUMBER.  LIMIT_PER_S is the limit that it names in requests
   per second, or a negative number if it names none.  */
struct jc_backpressure_answer
{
  const char *endpoint;
  uint64_t incarnation;
  double limit_per_s;
  uint64_t send_number;
  int64_t now_ms;
};

/* The limit of an endpoint as this instance knows it.  HEARD_MS is when an
   answer last named it, SLOTS how many slots of it are leased, and CREDIT the
   requests that may be sent now, with fractions.  */
struct jc_endpoint_limit
{
  double per_s;
  int64_t heard_ms;
  unsigned int slots;
  double credit;
};

struct jc_backpressure *jc_backpressure_new (void);
void jc_backpressure_free (struct jc_backpressure *backpressure);
bool jc_backpressure_note_answer (struct jc_backpressure *backpressure,
                                  const struct jc_backpressure_answer *answer);
bool jc_backpressure_limit (struct jc_backpressure *backpressure,
                            const char *endpoint, uint64_t incarnation,
                            int64_t now_ms, struct jc_endpoint_limit *out);
bool jc_backpressure_is_limited (const struct jc_backpressure *backpressure,
                                 const char *endpoint, uint64_t incarnation);
bool jc_backpressure_may_send (struct jc_backpressure *backpressure,
                               const char *endpoint, uint64_t incarnation,
                               int64_t now_ms);
int64_t jc_backpressure_wait_ms (struct jc_backpressure *backpressure,
                                 const char *endpoint, uint64_t incarnation,
                                 int64_t now_ms);
uint64_t jc_backpressure_note_send (struct jc_backpressure *backpressure,
                                    const char *endpoint, uint64_t incarnation,
                                    int64_t now_ms);
bool jc_backpressure_next_request (struct jc_backpressure *backpressure,
                                   int64_t now_ms, GArray *out);
bool jc_backpressure_note_lease (struct jc_backpressure *backpressure,
                                 const struct rpc_limit_lease *lease,
                                 int64_t now_ms);
bool jc_backpressure_note_end (struct jc_backpressure *backpressure,
                               const char *endpoint, uint64_t incarnation);
unsigned int
jc_backpressure_count_limited (const struct jc_backpressure *backpressure,
                               int64_t now_ms);

#endif
