/* Bytes that strangers may send, made from good ones.  */

#ifndef FUZZ_H
#define FUZZ_H

#include "base/str.h"

/* A parser under test: it gets BYTES and a source of chance for how they are
   cut, and asserts what must hold whatever they are.  */
typedef void fuzz_fn (struct jc_str bytes, GRand *rand);

/* A parser, good inputs to start from and words that mean something to
   it.  */
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
