/* Route table: which service serves a host and a path, with which limits.  A
   table is validated as a whole and does not change afterwards.  */

#ifndef JC_ROUTETABLE_H
#define JC_ROUTETABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "conf/workspaces.h"

/* How requests of a route may be retried.  */
enum jc_route_kind
{
  JC_ROUTE_IDEMPOTENT,
  JC_ROUTE_NON_IDEMPOTENT,
  JC_ROUTE_STREAM
};

/* A service that receives WEIGHT shares of the requests of a route.  */
struct jc_weighted_service
{
  char *service;
  unsigned int weight;
};

/* A route.  TIMEOUT_MS is the longest time a caller is kept waiting,
   OBJECTIVE_MS the target time to the answer or to the first event of a
   stream, GAP_MS the longest pause between events.  PRIORITY 0 is the most
   urgent.  ENDPOINTS_MAX limits how many endpoints one request may be sent to.
   HOME_REGIONS are the only regions that may serve the route; if it is empty,
   all may.  ANONYMOUS requests need no key of a workspace.  */
struct jc_hostroute
{
  char *name;
  char *host;
  char *prefix;
  enum jc_route_kind kind;
  bool resumable;
  bool anonymous;
  int64_t timeout_ms;
  int64_t objective_ms;
  int64_t gap_ms;
  unsigned int priority;
  unsigned int endpoints_max;
  GArray *splits;
  GPtrArray *home_regions;
};

/* Model engines of a service.  KV_TOKENS is the size of the KV cache of an
   engine, in tokens; EVENT_TOKENS is the number of tokens in an event of a
   stream.  Both are 0 if unknown.  COPY_MS_PER_TOKEN is the time in which an
   engine copies the KV cache of a token from another one, 0 if they don't.  */
struct jc_engine_spec
{
  unsigned int slots;
  unsigned int event_tokens;
  double copy_ms_per_token;
  uint64_t kv_tokens;
};

/* A service as configured by operators.  While an endpoint is cold it is sent
   at most COLD_REQUESTS_PER_S requests per second.  ENGINE is all 0 if the
   endpoints are not model engines.  */
struct jc_hostservice
{
  char *name;
  char *health_path;
  unsigned int connections_max;
  int64_t cold_ms;
  double cold_requests_per_s;
  struct jc_engine_spec engine;
};

/* Limits on requests of callers; 0 where none is set.  */
struct jc_caller_limits
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

/* A table of routes.  SERVICES maps names to services; HOSTS maps a host to
   the map from path prefixes to its routes.  WORKSPACES is NULL if the
   configuration has none; else each request needs a key of one of them, except
   on anonymous routes.  */
struct jc_routetable
{
  unsigned int refcount;
  uint64_t version;
  GPtrArray *routes;
  GHashTable *services;
  GHashTable *hosts;
  struct jc_caller_limits limits;
  struct jc_workspaces *workspaces;
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
