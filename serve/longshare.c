/* Division of the engines between long prompts and all others.  */

#include <glib.h>
#include <math.h>

#include "serve/longshare.h"

/* Fraction of the engines until the share of long prompts is known.  */
#define FRACTION_INITIAL 0.12
/* Largest fraction.  */
#define FRACTION_MAX 0.5
/* Engines for long prompts in relation to their share of reading: their streams
   are stopped by the next long prompt, so these engines must be less busy than
   the others.  */
#define ROOM_FOR_LONG 0.8
/* The fraction follows the share when they differ by more than this part of
   it: each change moves requests away from what engines have cached.  */
#define HYSTERESIS 0.2

enum
{
  /* Time constant of the measurement: long prompts are rare.  */
  WINDOW_MS = 15000,
  /* Number of tokens from which the share counts as known.  */
  TOKENS_MIN = 300000
};

void
jc_longshare_init (struct jc_longshare *share)
{
  *share = (struct jc_longshare){ .fraction = FRACTION_INITIAL };
}

/* Count in SHARE a prompt of TOKENS that some instance sent, long or not.  */
void
jc_longshare_add (struct jc_longshare *share, double tokens, bool is_long,
                  int64_t now_ms)
{
  double kept = exp (-(double)MAX (now_ms - share->at_ms, 0) / WINDOW_MS);
  double wanted;

  share->long_tokens = share->long_tokens * kept + (is_long ? tokens : 0);
  share->all_tokens = share->all_tokens * kept + tokens;
  share->at_ms = MAX (now_ms, share->at_ms);
  if (share->all_tokens < TOKENS_MIN)
    return;
  share->is_known = true;
  wanted = MIN (share->long_tokens / share->all_tokens * ROOM_FOR_LONG,
                FRACTION_MAX);
  if (fabs (wanted - share->fraction) > HYSTERESIS * share->fraction)
    share->fraction = wanted;
}

/* Return how many of ENGINES are reserved for long prompts.  Few engines are not
   divided before it is known that there are long prompts.  */
unsigned int
jc_longshare_engines (const struct jc_longshare *share, unsigned int engines)
{
  return (unsigned int)(engines * share->fraction
                        + (share->is_known ? 0.5 : 0));
}
