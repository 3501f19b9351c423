/* Engines and entry instances on virtual time: a small model of continuous
   batching against which the choice of an endpoint is tested.  */

#ifndef ENGINESIM_H
#define ENGINESIM_H

#include "serve/engine.h"

enum
{
  ENGINESIM_ENGINES_MAX = 64,
  ENGINESIM_INSTANCES_MAX = 32
};

/* A kind of request.  SHARED of the prompt's tokens are one of THINGS parts
   that requests share.  */
struct enginesim_kind
{
  const char *name;
  double per_s;
  unsigned int prompt;
  unsigned int shared;
  unsigned int things;
  unsigned int answer;
  int64_t objective_ms;
  int64_t gap_ms;
  int64_t deadline_ms;
  unsigned int priority;
};

/* What became of the requests of a kind.  */
struct enginesim_result
{
  unsigned int asked;
  unsigned int in_aim;
  unsigned int late;
  unsigned int refused;
  unsigned int failed;
};

/* How requests find their engine: by the engines module, to the one with the
   fewest own requests, or at random.  */
enum enginesim_policy
{
  ENGINESIM_ENGINES,
  ENGINESIM_FEWEST,
  ENGINESIM_RANDOM
};

/* A run: PACE is each engine's, 0 for 1.  SILENT instances don't tell each
   other which shared parts were read.  Where ZONES is over 1, instances tell
   only those of their zone all they do, and one of each zone tells the other
   zones, a round later, what they have together.  */
struct enginesim_plan
{
  enum enginesim_policy policy;
  unsigned int engines;
  unsigned int instances;
  unsigned int zones;
  double pace[ENGINESIM_ENGINES_MAX];
  bool silent;
  const struct enginesim_kind *kinds;
  unsigned int kinds_count;
  int64_t length_ms;
  uint32_t seed;
};

/* Results by kind, tokens read in all and again, and arrivals by engine.  */
struct enginesim_report
{
  struct enginesim_result kinds[8];
  double tokens_read;
  double tokens_again;
  unsigned int arrivals[ENGINESIM_ENGINES_MAX];
};

void enginesim_run (const struct enginesim_plan *plan,
                    struct enginesim_report *report);

#endif
