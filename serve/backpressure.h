/* Backpressure: what endpoints ask for in their answers.  An endpoint that is
   short of resources names a limit, the rate of requests that it accepts from
   all entry instances together.  */

#ifndef JC_BACKPRESSURE_H
#define JC_BACKPRESSURE_H

#include <stdbool.h>
#include <stdint.h>

struct jc_backpressure;

/* One answer of an endpoint, to a request that was sent at SENT_MS. LIMIT_PER_S
   is the limit that it names in requests per second, or a negative number if
   it names none.  */
struct jc_backpressure_answer
{
  const char *endpoint;
  uint64_t incarnation;
  double limit_per_s;
  int64_t sent_ms;
  int64_t now_ms;
};

/* The limit of an endpoint as this instance knows it.  HEARD_MS is when an
   answer last named it.  RECENTLY_SENT counts the requests that this instance
   sent there in the last JC_LIMIT_WINDOW_MS.  */
struct jc_endpoint_limit
{
  double per_s;
  int64_t heard_ms;
  unsigned int recently_sent;
};

enum
{
  JC_LIMIT_WINDOW_MS = 4000
};

struct jc_backpressure *jc_backpressure_new (void);
void jc_backpressure_free (struct jc_backpressure *backpressure);
bool jc_backpressure_note_answer (struct jc_backpressure *backpressure,
                                  const struct jc_backpressure_answer *answer);
bool jc_backpressure_limit (const struct jc_backpressure *backpressure,
                            const char *endpoint, uint64_t incarnation,
                            int64_t now_ms, struct jc_endpoint_limit *out);
void jc_backpressure_note_send (struct jc_backpressure *backpressure,
                                const char *endpoint, uint64_t incarnation,
                                int64_t now_ms);
unsigned int
jc_backpressure_count_limited (const struct jc_backpressure *backpressure);

#endif
