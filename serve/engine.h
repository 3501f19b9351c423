/* Inference engines: estimates the load and the prompt prefixes cached at each
   endpoint and chooses the endpoint for a request.  Requests of this instance
   are counted exactly; those of other instances in the region are known from
   their last load message.  */

#ifndef JC_ENGINE_H
#define JC_ENGINE_H

#include "member/endpoints.h"
#include "serve/protocol.h"

/* The cost and limits of a request.  PREFIX_HASH[i] identifies the prompt's
   parts 0 to i, which end after PREFIX_TOKENS[i] tokens; there are PARTS_COUNT
   of them.  PROMPT_TOKENS is 0 for a plain request, one without a prompt.  An
   answer misses its objective if the first event takes longer than
   FIRST_EVENT_LIMIT_MS or a gap between events exceeds GAP_LIMIT_MS; it must be
   complete within TIME_LEFT_MS.  0 means no limit.  PRIORITY 0 is the most
   urgent.  One event carries EVENT_TOKENS tokens of the answer, 0 if unknown.
   The first KEPT_TOKENS of the prompt can be copied from some engine; copying a
   token takes COPY_MS_PER_TOKEN, 0 if engines don't copy.  */
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
  unsigned int kept_tokens;
  double copy_ms_per_token;
};

struct jc_engines;

/* A request at an endpoint, from the time it is sent until it ends.  */
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

void jc_demand_init (const struct jc_request_info *info,
                     struct jc_demand *demand);
double jc_engines_capacity_per_s (struct jc_engines *engines,
                                  const struct jc_endpoint *endpoint);
unsigned int jc_engines_running (struct jc_engines *engines,
                                 const struct jc_endpoint *endpoint,
                                 int64_t now_ms);
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
void jc_engines_find_kept (struct jc_engines *engines,
                           const GPtrArray *endpoints, struct jc_demand *demand,
                           int64_t now_ms);
const struct jc_endpoint *
jc_engines_copy_source (struct jc_engines *engines, const GPtrArray *endpoints,
                        const struct jc_endpoint *target,
                        const struct jc_demand *demand, int64_t now_ms);
struct jc_engine_run *jc_engines_start (struct jc_engines *engines,
                                        const struct jc_endpoint *endpoint,
                                        const struct jc_demand *demand,
                                        int64_t now_ms);
void jc_engine_run_first_event (struct jc_engine_run *run, int64_t now_ms);
void jc_engine_run_end (struct jc_engine_run *run,
                        enum jc_engine_outcome outcome, int64_t now_ms);
bool jc_engines_in_backoff (struct jc_engines *engines, const char *name,
                            int64_t now_ms);
void jc_engines_end_backoff (struct jc_engines *engines, const char *name);
void jc_engine_run_note_load (struct jc_engine_run *run, unsigned int running,
                              unsigned int queued, int64_t now_ms);
void jc_engine_run_note_work (struct jc_engine_run *run, unsigned int percent,
                              int64_t now_ms);
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
void jc_engines_watch_reading (struct jc_engines *engines,
                               void (*report) (void *data, bool of_zone,
                                               int64_t now_ms),
                               void *data);
bool jc_engines_heard_from (const struct jc_engines *engines,
                            const char *instance, int64_t now_ms);

#endif
