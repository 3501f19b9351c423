/* Fuzzing by mutation: feeds parsers with random changes of valid inputs.  */

#ifndef FUZZ_H
#define FUZZ_H

#include "base/str.h"

/* Passes BYTES to a parser and asserts what must hold for any input.  RAND
   decides how BYTES are split into pieces.  */
typedef void fuzz_fn (struct jc_str bytes, GRand *rand);

/* A parser under test.  PATH names the test case, SEEDS are valid inputs to
   mutate and DICTIONARY tokens of the format to insert, both ended by NULL.  */
struct fuzz_target
{
  const char *path;
  fuzz_fn *run;
  const char *const *seeds;
  const char *const *dictionary;
};

void fuzz_add (const struct fuzz_target *target);
void fuzz_in_pieces (struct jc_str bytes, GRand *rand,
                     bool (*feed) (void *ctx, struct jc_str piece), void *ctx);

#endif
