/* Simulation of engines and entry instances: a small model of continuous
   batching for tests of the choice of an engine.  */

#ifndef ENGINESIM_H
#define ENGINESIM_H

#include "serve/engine.h"

enum
{
  ENGINESIM_ENGINES_MAX = 64,
  ENGINESIM_INSTANCES_MAX = 32
};

/* A kind of request.  SHARED_TOKENS of the PROMPT_TOKENS are one of PREFIXES
   parts that requests share.  If SPREAD is over 0, the lengths of prompts are
   distributed log-normally around PROMPT_TOKENS, their mean, and SPREAD is the
   deviation of their logarithm.  */
struct enginesim_kind
{
  const char *name;
  double per_s;
  unsigned int prompt_tokens;
  unsigned int shared_tokens;
  unsigned int prefixes;
  unsigned int answer_tokens;
  double spread;
  int64_t first_event_limit_ms;
  int64_t gap_limit_ms;
  int64_t deadline_ms;
  unsigned int priority;
};

/* Outcome of the requests of a kind.  */
struct enginesim_result
{
  unsigned int requests;
  unsigned int on_time;
  unsigned int late;
  unsigned int refused;
  unsigned int failed;
};

/* How an engine is chosen: by the engine module, by the fewest requests of the
   instance, or at random.  */
enum enginesim_policy
{
  ENGINESIM_BY_COST,
  ENGINESIM_FEWEST_OWN,
  ENGINESIM_RANDOM
};

/* Parameters of a simulation.  SLOWDOWN is that of each engine, 0 for 1.  If
   UNSHARED, instances don't announce shared parts to each other.  If ZONES is
   over 1, instances send their loads only within their zone, and one instance
   of each zone sends the sum to the other zones, one round later.  With EARLY
   an instance reports its loads at once when the engine module asks for it;
   with EARLY_LOST such reports don't reach the other zones.  An event has
   EVENT_TOKENS, and LOAD_INTERVAL_MS lie between two reports; 0 means the usual
   ones.  Engines copy shared parts from each other in COPY_MS_PER_TOKEN, not at
   all if it is 0; with SOURCES_LOST all copies fail, and the engine prefills
   the parts after it has waited for them.  */
struct enginesim_plan
{
  enum enginesim_policy policy;
  unsigned int engines;
  unsigned int instances;
  unsigned int zones;
  double slowdown[ENGINESIM_ENGINES_MAX];
  bool unshared;
  bool early;
  bool early_lost;
  unsigned int event_tokens;
  int64_t load_interval_ms;
  double copy_ms_per_token;
  bool sources_lost;
  const struct enginesim_kind *kinds;
  unsigned int kinds_count;
  int64_t duration_ms;
  uint32_t seed;
};

/* Outcomes by kind, tokens prefilled in total, prefilled more than once and
   copied, and arrivals by engine.  */
struct enginesim_report
{
  struct enginesim_result kinds[8];
  double prefilled_tokens;
  double duplicate_tokens;
  double copied_tokens;
  unsigned int arrivals[ENGINESIM_ENGINES_MAX];
};

void enginesim_run (const struct enginesim_plan *plan,
                    struct enginesim_report *report);

#endif
