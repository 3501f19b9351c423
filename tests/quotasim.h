/* Simulation, on virtual time, of entry instances in availability zones,
   replicas of the log and callers of workspaces with quotas.  */

#ifndef QUOTASIM_H
#define QUOTASIM_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  QUOTASIM_INSTANCES_MAX = 300,
  QUOTASIM_WORKSPACES = 3,
  QUOTASIM_ZONES = 6,
  QUOTASIM_RUN_MS = 60000,
  /* Callers come from here on.  */
  QUOTASIM_TRAFFIC_MS = 10000,
  QUOTASIM_WINDOW_MS = 8000,
  /* Instances hear of a new limit within this time.  */
  QUOTASIM_APPLY_MS = 2000
};

/* What is played.  Each workspace may use PER_S and BURST units and is asked
   for OFFERED times that, in requests of UNITS_MIN to UNITS_MAX.  Its callers
   use one zone and move to another one every MOVE_MS; with 0 they use all, the
   first ones more.  The limit changes to LATER_PER_S and the same part of the
   burst at CHANGE_MS.  Each of the next members is the time for which, in turn,
   a part of the system suffers: instances are suspended, zones can't reach any
   replica, replicas stand still, the log commits nothing.  An instance ends
   every RESTART_MS on average and starts again a second later.  A
   zone is cut off every CUT_EVERY_MS on average.  0 is for never.
   With NO_EXPIRY instances use leases for ever.  */
struct quotasim_plan
{
  unsigned int instances;
  double per_s;
  double burst;
  double offered;
  int units_min;
  int units_max;
  int64_t move_ms;
  double later_per_s;
  int64_t change_ms;
  int64_t suspend_ms;
  int64_t cut_ms;
  int64_t cut_every_ms;
  int64_t replica_freeze_ms;
  int64_t leaderless_ms;
  int64_t restart_ms;
  bool no_expiry;
};

struct quotasim;

struct quotasim *quotasim_run (const struct quotasim_plan *plan, uint32_t seed);
void quotasim_free (struct quotasim *sim);
double quotasim_max_window (const struct quotasim *sim, double *bound);
double quotasim_used_share (const struct quotasim *sim, int64_t from_ms,
                            int64_t to_ms);
double quotasim_min_share_after_move (const struct quotasim *sim);
double quotasim_messages_per_s (const struct quotasim *sim);

#endif
