/* Route table: which service serves a host and a path, and under which
   terms.  Checked as a whole; never changed once made.  */

#ifndef JC_ROUTETABLE_H
#define JC_ROUTETABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What may be repeated of a request.  */
enum jc_route_kind
{
  JC_ROUTE_IDEMPOTENT,
  JC_ROUTE_NON_IDEMPOTENT,
  JC_ROUTE_STREAM
};

/* A service that takes WEIGHT parts of a route's requests.  */
struct jc_split
{
  char *service;
  unsigned int weight;
};

/* A route.  Times are in ms: TIMEOUT_MS is the longest that a caller is kept
   waiting, OBJECTIVE_MS the aim for an answer or a stream's first event,
   GAP_MS the longest pause between events.  PRIORITY 0 is the most urgent.
   ENDPOINTS_MAX is to how many endpoints one request may be sent.  HOMES are
   the only regions that may serve it; without any, all may.  */
struct jc_hostroute
{
  char *name;
  char *host;
  char *prefix;
  enum jc_route_kind kind;
  bool resumable;
  bool has_prompts;
  int64_t timeout_ms;
  int64_t objective_ms;
  int64_t gap_ms;
  unsigned int priority;
  unsigned int endpoints_max;
  GArray *splits;
  GPtrArray *home_regions;
};

/* The engines of a service.  KV_TOKENS is the memory of one for prompts,
   EVENT_TOKENS how many tokens an event of a stream holds; 0 for not
   known.  */
struct jc_engine_spec
{
  unsigned int slots;
  unsigned int event_tokens;
  uint64_t kv_tokens;
};

/* A service as operators describe it.  While cold, an endpoint bears
   COLD_PER_S requests a second.  ENGINE is all 0 where its endpoints are no
   model engines.  */
struct jc_hostservice
{
  char *name;
  char *health_path;
  unsigned int connections_max;
  int64_t cold_ms;
  double cold_requests_per_s;
  struct jc_engine_spec engine;
};

/* Bounds on what callers send; 0 where none is given.  */
struct jc_caller_limits
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

struct jc_routetable
{
  unsigned int refcount;
  uint64_t version;
  GPtrArray *routes;
  GHashTable *services;
  GHashTable *hosts;
  struct jc_caller_limits limits;
};

struct jc_routetable *jc_routetable_new (uint64_t version);
struct jc_routetable *jc_routetable_ref (struct jc_routetable *table);
void jc_routetable_unref (struct jc_routetable *table);
struct jc_hostroute *jc_hostroute_new (void);
void jc_hostroute_add_split (struct jc_hostroute *route, const char *service,
                             unsigned int weight);
void jc_routetable_add_service (struct jc_routetable *table,
                                const struct jc_hostservice *service);
void jc_routetable_check (struct jc_routetable *table, GPtrArray *faults);

const struct jc_hostroute *
jc_routetable_find (const struct jc_routetable *table, const char *host,
                    const char *path);
bool jc_routetable_host_allows (const struct jc_routetable *table,
                                const char *host, const char *region);
const struct jc_hostservice *
jc_routetable_find_service (const struct jc_routetable *table,
                            const char *name);
const char *jc_hostroute_pick_service (const struct jc_hostroute *route,
                                       uint64_t draw);
bool jc_hostroute_allows (const struct jc_hostroute *route, const char *region);

#endif
