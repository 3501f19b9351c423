/* Division of the engines between long prompts and all others, by the measured
   share of reading that long prompts take.  */

#ifndef JC_LONGSHARE_H
#define JC_LONGSHARE_H

#include <stdbool.h>
#include <stdint.h>

/* LONG_TOKENS of ALL_TOKENS were prompts so long that they stop the streams
   beside them, both decaying since AT_MS.  FRACTION of the engines is reserved
   for them.  IS_KNOWN is false until enough prompts were seen.  */
struct jc_longshare
{
  double long_tokens;
  double all_tokens;
  double fraction;
  bool is_known;
  int64_t at_ms;
};

void jc_longshare_init (struct jc_longshare *share);
void jc_longshare_add (struct jc_longshare *share, double tokens, bool is_long,
                       int64_t now_ms);
unsigned int jc_longshare_engines (const struct jc_longshare *share,
                                   unsigned int engines);

#endif
