/* Declarations shared by the source files of the engine module.  */

#ifndef JC_ENGINE_PRIVATE_H
#define JC_ENGINE_PRIVATE_H

#include "serve/engine.h"
#include "serve/workpace.h"

/* Performance of the deployments' engines according to their data sheet: prompt
   tokens prefilled per ms; additional prefill time for each pair of a token and
   one before it, ms; duration of a step and what each running request adds to
   it, ms; and the time from the end of prefill to the first event, ms.  */
#define PREFILL_TOKENS_PER_MS 56.9
#define ATTENTION_PAIR_MS 0.165e-6
#define DECODE_STEP_MS 3.09
#define DECODE_STEP_PER_REQUEST_MS 0.102
#define FIRST_EVENT_DELAY_MS 16.0
/* Prompt tokens prefilled in one step, between two tokens of each running
   request.  */
#define PREFILL_CHUNK_TOKENS 4096.0

enum
{
  /* Time constant of the average prefill rate: a few times the prefill time of
     a long prompt.  */
  PREFILL_RATE_WINDOW_MS = 1500,
  /* Peers whose loads are kept per engine: more instances than a zone has.  */
  PEER_LOADS_MAX = 512,
  /* Loads older than this are ignored.  */
  LOAD_MAX_AGE_MS = 1000,
  MS_PER_S = 1000
};

/* Another entry instance of this zone if DIRECT, otherwise the sum of all
   instances of another zone in the region.  HEARD_MS is the time of its last
   load message.  */
struct peer
{
  uint64_t id;
  bool direct;
  int64_t heard_ms;
};

/* What a peer has at an engine, as received at REPORTED_MS.  It stays valid
   until the peer sends an update, as long as the peer sends messages at
   all.  */
struct peer_load
{
  const struct peer *peer;
  struct rpc_load reported;
  int64_t reported_ms;
};

/* What is known of an engine.  PREFIXES maps the hashes of prefixes to what
   engineprefix.c keeps of each.  RUNNING and UNREAD_TOKENS, the prompt tokens
   not yet prefilled, count this instance's requests only; REPORTED_REQUESTS is
   the engine's own figure.  PLAIN_LATENCY_MS is the average time of plain
   requests, PLAIN_SERVICE_MS that of those that found a free slot.  FAILURES
   counts failures and refusals, each decaying.  */
struct engine
{
  char *name;
  uint64_t tag;
  bool changed;
  bool zone_changed;
  unsigned int running;
  uint64_t unread_tokens;
  double prefill_rate;
  int64_t prefill_rate_ms;
  unsigned int reported_requests;
  int64_t reported_ms;
  double plain_latency_ms;
  double plain_service_ms;
  double slowdown;
  struct jc_workpace workpace;
  double failures;
  int64_t failures_ms;
  int64_t backoff_ms;
  int64_t backoff_until_ms;
  int64_t last_used_ms;
  unsigned int refs;
  GHashTable *prefixes;
  struct peer_load *peer_loads;
  unsigned int peer_loads_count;
  unsigned int peer_loads_capacity;
};

/* The load of an engine, over all instances.  PREFILL_BUSY is the fraction of
   its time spent on prefill, SLOWDOWN its measured time divided by that of the
   data sheet.  */
struct load
{
  double running;
  double unread_tokens;
  double prefill_busy;
  double slowdown;
};

/* TOLD_TOKENS is the number of prompt tokens from which the other instances are
   told at once, 0 until a stream that limits its pauses was sent.  */
struct jc_engines
{
  GHashTable *by_name;
  GHashTable *by_tag;
  GHashTable *peers;
  GArray *prefix_updates;
  GArray *zone_prefix_updates;
  void (*report) (void *data, bool of_zone, int64_t now_ms);
  void *report_data;
  double told_tokens;
};

/* engine.c  */
struct engine *engine_get (struct jc_engines *engines, const char *name);
double engine_recent_failures (const struct engine *engine, int64_t now_ms);
struct load engine_load (const struct engine *engine, int64_t now_ms);
double engine_decayed_rate (double rate, int64_t age_ms);
double engine_prefill_rate (const struct engine *engine, int64_t now_ms);

/* engineloads.c  */
void engine_note_reading (struct jc_engines *engines,
                          const struct jc_demand *demand, uint64_t tokens,
                          int64_t now_ms);

/* engineprefix.c  */
GHashTable *engine_prefixes_new (void);
unsigned int engine_cached_tokens (const struct engine *engine,
                                   const struct jc_demand *demand,
                                   int64_t now_ms);
bool engine_has_shared_prefix (const struct engine *engine,
                               const struct jc_demand *demand, int64_t now_ms);
void engine_prefixes_touch (struct engine *engine,
                            const struct jc_demand *demand, int64_t now_ms);
void engine_prefixes_note_sent (struct jc_engines *engines,
                                struct engine *engine,
                                const struct jc_demand *demand, int64_t now_ms);
void engine_prefixes_note_peer (struct jc_engines *engines,
                                const struct rpc_part_read *cached, bool direct,
                                int64_t now_ms);

/* enginecopy.c  */
unsigned int engine_copied_tokens (const struct engine *engine,
                                   const struct jc_demand *demand,
                                   int64_t now_ms);
unsigned int engine_ready_tokens (const struct engine *engine,
                                  const struct jc_demand *demand,
                                  int64_t now_ms);
double engine_copy_ms (const struct engine *engine,
                       const struct jc_demand *demand, int64_t now_ms);

/* enginecost.c  */
double engine_prefill_tokens (const struct jc_demand *demand,
                              unsigned int cached);
double engine_step_ms (const struct load *load);
double engine_cost_ms (struct jc_engines *engines,
                       const struct jc_endpoint *endpoint,
                       const struct jc_demand *demand,
                       const struct jc_endpoint *affinity, int64_t now_ms);
bool demand_is_long (const struct jc_demand *demand);

#endif
