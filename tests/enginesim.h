/* Engines and entry instances on virtual time: a small model of continuous
   batching against which the choice of an endpoint is tested.  */

#ifndef ENGINESIM_H
#define ENGINESIM_H

#include "serve/engine.h"

enum
{
  SIM_ENGINES_MAX = 16,
  SIM_INSTANCES_MAX = 4
};

/* A kind of request.  SHARED of the prompt's tokens are one of THINGS parts
   that requests share.  */
struct sim_kind
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
struct sim_result
{
  unsigned int asked;
  unsigned int in_aim;
  unsigned int late;
  unsigned int refused;
  unsigned int failed;
};

/* How requests find their engine: by the engines module, to the one with the
   fewest own requests, or at random.  */
enum sim_policy
{
  SIM_ENGINES,
  SIM_FEWEST,
  SIM_RANDOM
};

/* A run: PACE is each engine's, 0 for 1.  */
struct sim_plan
{
  enum sim_policy policy;
  unsigned int engines;
  unsigned int instances;
  double pace[SIM_ENGINES_MAX];
  const struct sim_kind *kinds;
  unsigned int kinds_count;
  int64_t length_ms;
  uint32_t seed;
};

/* Results by kind, tokens read in all and again, and arrivals by engine.  */
struct sim_report
{
  struct sim_result kinds[8];
  double tokens_read;
  double tokens_again;
  unsigned int arrivals[SIM_ENGINES_MAX];
};

void sim_run (const struct sim_plan *plan, struct sim_report *report);

#endif
