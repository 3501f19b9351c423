/* Simulation of quotas: shared by quotasim.c, quotasiminstance.c,
   quotasimreplica.c and quotasimsums.c, and private to them.  */

#ifndef QUOTASIMPRIVATE_H
#define QUOTASIMPRIVATE_H

#include <glib.h>

#include "member/quotaslots.h"
#include "serve/quotacredit.h"
#include "serve/quotaowner.h"
#include "tests/quotasim.h"

enum
{
  REPLICAS = 6,
  STEP_MS = 5,
  STEPS = QUOTASIM_RUN_MS / STEP_MS,
  TICK_MS = 100,
  ANSWER_TIMEOUT_MS = 100,
  SILENT_MS = 1000,
  REPLICA_SILENT_MS = 1500,
  STANDING = 4,
  PROPOSE_MS = 100,
  COMMIT_MIN_MS = 90,
  COMMIT_MAX_MS = 250,
  FAR_MIN_MS = 80,
  FAR_MAX_MS = 100,
  NEAR_MAX_MS = 5,
  RESTART_PAUSE_MS = 1000,
  /* A share that moved is measured this long after, for the same time.  */
  MOVED_MS = 2000,
  MS_PER_S = 1000
};

/* An instance.  It runs from STARTED_MS and is suspended until BUSY_UNTIL_MS,
   since BUSY_SINCE_MS.  FAILED_MS is when it last left a request unanswered. */
struct quotasim_instance
{
  char name[16];
  unsigned int zone;
  uint64_t incarnation;
  int64_t clock_start_ms;
  int64_t started_ms;
  int64_t busy_since_ms;
  int64_t busy_until_ms;
  int64_t failed_ms;
  int64_t version_heard_ms;
  bool has_later;
  struct jc_quotacredit *credits[QUOTASIM_WORKSPACES];
  struct jc_quotaowner *owners[QUOTASIM_WORKSPACES];
};

struct quotasim_replica
{
  struct jc_limit_slots *slots;
  struct jc_quota_asks *asks;
  guint applied;
  int64_t frozen_until_ms;
};

enum event_kind
{
  EVENT_TAKE,
  EVENT_GRANT,
  EVENT_TIMEOUT,
  EVENT_ASK,
  EVENT_COMMIT,
  EVENT_LEASE,
  EVENT_SHARE,
  EVENT_LIMIT
};

/* An event at DUE_MS for INSTANCE of INCARNATION, about one at OTHER.  */
struct quotasim_event
{
  enum event_kind kind;
  int64_t due_ms;
  unsigned int instance;
  uint64_t incarnation;
  unsigned int other;
  unsigned int replica;
  unsigned int workspace;
  double units;
  double granted;
  unsigned int tries;
  unsigned int wanted;
  unsigned int spare;
  GArray *released;
  struct rpc_quota_slot slot;
  int64_t requested_ms;
  unsigned int share;
  GString *data;
  bool *answered;
};

struct quotasim
{
  struct quotasim_plan plan;
  GRand *rand;
  int64_t now_ms;
  struct quotasim_instance instances[QUOTASIM_INSTANCES_MAX];
  struct quotasim_replica replicas[REPLICAS];
  GPtrArray *log;
  GPtrArray *events;
  int64_t cut_until_ms[QUOTASIM_ZONES];
  int64_t leaderless_until_ms;
  uint64_t messages;
  double ran[QUOTASIM_WORKSPACES][STEPS];
};

extern const char *const quotasim_names[QUOTASIM_WORKSPACES];
/* Parts of the limit of the first workspace.  */
extern const double quotasim_parts[QUOTASIM_WORKSPACES];

void quotasim_ask_owner (struct quotasim *sim, unsigned int index,
                         unsigned int workspace, double units,
                         unsigned int tries);
double quotasim_burst_of (const struct quotasim *sim, unsigned int workspace,
                          bool later);
int64_t quotasim_clock_of (const struct quotasim *sim,
                           const struct quotasim_instance *instance);
void quotasim_event_free (gpointer data);
void quotasim_handle_events (struct quotasim *sim);
void quotasim_handle_take (struct quotasim *sim, struct quotasim_event *event);
void quotasim_instance_start (struct quotasim *sim, unsigned int index,
                              int64_t pause_ms);
bool quotasim_is_running (const struct quotasim *sim,
                          const struct quotasim_instance *instance);
double quotasim_limit_of (const struct quotasim *sim, unsigned int workspace,
                          bool later);
void quotasim_offer (struct quotasim *sim, unsigned int index,
                     unsigned int workspace, double units);
struct jc_quotaowner *quotasim_owner_of (struct quotasim *sim,
                                         struct quotasim_instance *instance,
                                         unsigned int workspace);
unsigned int quotasim_pick_owner (const struct quotasim *sim, unsigned int zone,
                                  unsigned int workspace);
int64_t quotasim_random_between (struct quotasim *sim, int64_t min,
                                 int64_t max);
struct quotasim_event *quotasim_schedule (struct quotasim *sim,
                                          enum event_kind kind, int64_t min_ms,
                                          int64_t max_ms);
struct quotasim_event *quotasim_schedule_to_instance (struct quotasim *sim,
                                                      enum event_kind kind,
                                                      unsigned int index,
                                                      unsigned int replica);
void quotasim_use_grant (struct quotasim *sim,
                         struct quotasim_instance *instance,
                         const struct quotasim_event *event, double granted);

#endif
