/* Fullness: how many requests a plain service's endpoint takes at once.

   An endpoint that states its slots lets some more requests wait, and refuses
   the others.  How many it takes is told by its refusals: what it held then, if
   its answer states that, else what it was known to take before, its slots at
   least.  All instances of a
   region send it no more than that, less a margin for what the loads don't show
   yet: the margin grows by one with each further refusal, and shrinks by one
   for each second without any.  An endpoint that hasn't refused for some time
   has no bound.  */

#ifndef JC_FULLNESS_H
#define JC_FULLNESS_H

#include <stdbool.h>
#include <stdint.h>

/* A process of an endpoint with SLOTS, 0 if unknown.  */
struct jc_full_endpoint
{
  const char *name;
  uint64_t incarnation;
  unsigned int slots;
};

struct jc_fullness;

struct jc_fullness *jc_fullness_new (void);
void jc_fullness_free (struct jc_fullness *fullness);
void jc_fullness_note_refused (struct jc_fullness *fullness,
                               const struct jc_full_endpoint *endpoint,
                               unsigned int held, int64_t now_ms);
bool jc_fullness_is_known (const struct jc_fullness *fullness,
                           const struct jc_full_endpoint *endpoint,
                           int64_t now_ms);
bool jc_fullness_allows (struct jc_fullness *fullness,
                         const struct jc_full_endpoint *endpoint,
                         unsigned int running, int64_t now_ms);

#endif
