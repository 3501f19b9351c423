/* Simulation of replicas of the log on virtual time: a network that can drop,
   delay, reorder and duplicate messages, disks that can crash, and invariants
   that are checked at every step.  */

#ifndef LOGSIM_H
#define LOGSIM_H

#include "conf/confstate.h"
#include "conf/rlog.h"

enum
{
  LOGSIM_REPLICAS_MAX = 6
};

enum logsim_fault_kind
{
  LOGSIM_KILL,
  LOGSIM_KILL_TORN,
  LOGSIM_KILL_WIPE,
  LOGSIM_FREEZE,
  LOGSIM_CUT_IN,
  LOGSIM_CUT_OUT,
  LOGSIM_CUT_BOTH,
  LOGSIM_DISK_FAIL,
  LOGSIM_DUPLICATE,
  LOGSIM_REORDER,
  LOGSIM_DELAY,
  LOGSIM_FAULT_KINDS
};

/* A fault that is injected at the counted step STEP.  A message fault affects
   the message sent at that step.  */
struct logsim_fault
{
  uint64_t step;
  enum logsim_fault_kind kind;
  int target;
};

struct logsim;

/* Receives the answer to a submission.  VERSION is 0 if STATUS is
   JC_OUTCOME_UNKNOWN, JC_NOT_LEADER or JC_UNREACHABLE.  */
typedef void logsim_answer_fn (void *ctx, const char *change_id,
                               enum jc_status status, uint64_t version);

struct logsim *logsim_new (int replicas, uint64_t seed);
struct logsim *logsim_new_single (int replicas, uint64_t seed);
const char *logsim_name (const struct logsim *sim, int replica);
bool logsim_connected (const struct logsim *sim, int one, int another);
void logsim_flush (struct logsim *sim, int replica);
void logsim_free (struct logsim *sim);
void logsim_schedule_fault (struct logsim *sim,
                            const struct logsim_fault *fault);
void logsim_inject_fault (struct logsim *sim, enum logsim_fault_kind kind,
                          int target);
void logsim_clear_fault (struct logsim *sim, enum logsim_fault_kind kind,
                         int target);
void logsim_run (struct logsim *sim, int64_t ms);
void logsim_submit (struct logsim *sim, int replica, const char *change_id,
                    uint64_t expected, const char *object,
                    logsim_answer_fn *answer, void *ctx);
struct jc_rlog *logsim_log (const struct logsim *sim, int replica);
uint64_t logsim_version (const struct logsim *sim, int replica);
uint64_t logsim_entry_version (const struct logsim *sim);
int logsim_leader (const struct logsim *sim);
int64_t logsim_now (const struct logsim *sim);
uint64_t logsim_steps (const struct logsim *sim);
const char *logsim_violation (const struct logsim *sim);
bool logsim_converged (const struct logsim *sim);
bool logsim_recovered (const struct logsim *sim, int target);
bool logsim_all_vote (const struct logsim *sim);
const char *logsim_fault_name (enum logsim_fault_kind kind);
void logsim_check_accepted (struct logsim *sim, const char *change_id,
                            enum jc_status status, uint64_t version);

#endif
