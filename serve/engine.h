/* Engines: what this instance knows of the endpoints' work and of what they
   have read, and which of them gets a request.  Own requests are known
   exactly, those of the other instances of the region as these told last.  */

#ifndef JC_ENGINE_H
#define JC_ENGINE_H

#include "member/endpoints.h"
#include "serve/protocol.h"

/* What a request asks of an endpoint.  CHAIN[i] stands for the prompt's parts
   up to the one numbered i, which end after TOKENS[i] tokens.  PROMPT_TOKENS
   is 0 where it is no prompt.  The answer is late where its first event takes
   over OBJECTIVE_MS or a pause is over GAP_MS; it must be whole in LEFT_MS.
   0 for no bound.  PRIORITY 0 is the most urgent.
   EVENT_TOKENS of the answer come as one event, 0 for not known.  */
struct jc_demand
{
  unsigned int prompt_tokens;
  unsigned int answer_tokens;
  unsigned int parts_count;
  uint64_t prefix_hash[JC_PROMPT_PARTS_MAX];
  unsigned int prefix_tokens[JC_PROMPT_PARTS_MAX];
  int64_t first_event_limit_ms;
  int64_t gap_limit_ms;
  int64_t time_left_ms;
  unsigned int priority;
  unsigned int event_tokens;
};

struct jc_engines;

/* A request at an endpoint, from its sending to its end.  */
struct jc_engine_run;

enum jc_engine_outcome
{
  JC_ENGINE_SERVED,
  JC_ENGINE_REFUSED,
  JC_ENGINE_UNREACHABLE,
  JC_ENGINE_FAILED,
  JC_ENGINE_CALLER_LEFT
};

struct jc_engines *jc_engines_new (void);
void jc_engines_free (struct jc_engines *engines);
void jc_engines_expire (struct jc_engines *engines, int64_t now_ms);

void jc_demand_init (const struct jc_request_info *ask,
                     struct jc_demand *demand);
double jc_engines_capacity_per_s (struct jc_engines *engines,
                                  const struct jc_endpoint *endpoint);
double jc_engines_prefill_busy (struct jc_engines *engines,
                                const struct jc_endpoint *endpoint,
                                int64_t now_ms);
double jc_demand_prefill_limit (const struct jc_demand *demand);
void jc_engines_filter (struct jc_engines *engines,
                        const struct jc_demand *demand, GPtrArray *endpoints,
                        int64_t now_ms);
bool jc_engines_would_stall (struct jc_engines *engines,
                             const struct jc_endpoint *endpoint,
                             const struct jc_demand *demand, int64_t now_ms);
struct jc_endpoint *jc_engines_pick (struct jc_engines *engines,
                                     const GPtrArray *endpoints,
                                     const struct jc_demand *demand,
                                     int64_t now_ms);
int64_t jc_engines_first_event_ms (struct jc_engines *engines,
                                   const struct jc_endpoint *endpoint,
                                   const struct jc_demand *demand,
                                   int64_t now_ms);
int64_t jc_engines_answer_ms (struct jc_engines *engines,
                              const struct jc_endpoint *endpoint,
                              const struct jc_demand *demand, int64_t now_ms);
void jc_engines_explain (struct jc_engines *engines,
                         const struct jc_endpoint *endpoint,
                         const struct jc_demand *demand, int64_t now_ms,
                         char *out, size_t size);
struct jc_engine_run *jc_engines_start (struct jc_engines *engines,
                                        const struct jc_endpoint *endpoint,
                                        const struct jc_demand *demand,
                                        int64_t now_ms);
void jc_engine_run_first_event (struct jc_engine_run *run, int64_t now_ms);
void jc_engine_run_end (struct jc_engine_run *run, enum jc_engine_outcome how,
                        int64_t now_ms);
void jc_engine_run_note_load (struct jc_engine_run *run, unsigned int running,
                              unsigned int queued, int64_t now_ms);
void jc_engines_collect_loads (struct jc_engines *engines, bool full,
                               int64_t now_ms, GArray *rows, GArray *parts);
void jc_engines_collect_zone_loads (struct jc_engines *engines, bool full,
                                    int64_t now_ms, GArray *rows,
                                    GArray *parts);
void jc_engines_apply_loads (struct jc_engines *engines, const char *instance,
                             const struct rpc_loads *loads, int64_t now_ms);
void jc_engines_apply_zone_loads (struct jc_engines *engines, const char *zone,
                                  const struct rpc_loads *loads,
                                  int64_t now_ms);
bool jc_engines_heard_from (const struct jc_engines *engines,
                            const char *instance, int64_t now_ms);

#endif
