/* Returns: when refused callers come back.

   A refused caller is told a time.  Callers who come back compete with those
   who come for the first time, so a service takes them at the rate at which its
   requests end, times the share of requests that it doesn't refuse.  Each
   refused caller gets the next time of that rate after those that were told
   before, as long as it is of use to the caller; the others are spread over the
   last part of the time in which they can use it.  */

#ifndef JC_RETURNS_H
#define JC_RETURNS_H

#include <stdint.h>

/* A caller that is refused.  It comes back LEAST_MS from now at the earliest
   and LIMIT_MS from now at the latest; DRAW, uniformly random from 0 to 1,
   spreads those that come at the same time.  */
struct jc_returning
{
  const char *service;
  int64_t least_ms;
  int64_t limit_ms;
  double draw;
};

struct jc_returns;

struct jc_returns *jc_returns_new (void);
void jc_returns_free (struct jc_returns *returns);
void jc_returns_note_end (struct jc_returns *returns, const char *service,
                          int64_t now_ms);
int64_t jc_returns_book (struct jc_returns *returns,
                         const struct jc_returning *caller, int64_t now_ms);

#endif
