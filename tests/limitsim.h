/* Simulation, on virtual time, of entry instances, replicas of the log and an
   endpoint that names a limit.  */

#ifndef LIMITSIM_H
#define LIMITSIM_H

#include <stdint.h>

enum
{
  LIMITSIM_INSTANCES_MAX = 300,
  LIMITSIM_RUN_MS = 60000,
  /* The endpoint names its limit from here on.  */
  LIMITSIM_NAMED_MS = 5000,
  /* The bound holds this long after an endpoint first named its limit.  */
  LIMITSIM_CONTACT_MS = 6000
};

/* What is played.  Requests come to all instances together at REQUESTS_PER_S.
   The limit is PER_S until it changes to LATER_PER_S, which is negative if it
   ends, at CHANGE_MS.  Answers take up to ANSWER_MS_MAX.  Each of the next four
   members is the time for which, in turn, a part of the system suffers:
   replicas stand still, instances can't reach any replica, what replicas send
   to instances is lost, or instances are suspended.  Each instance ends and
   starts again every RESTART_MS on average.  Every REPLACE_MS a replica loses
   its disk and a new one takes its place, and every ENDPOINT_RESTART_MS the
   endpoint starts again under its name, which instances hear up to
   ENDPOINT_NEWS_MS later.  0 is for never.  */
struct limitsim_plan
{
  unsigned int instances;
  int64_t requests_per_s;
  double per_s;
  double later_per_s;
  int64_t change_ms;
  int64_t answer_ms_max;
  int64_t replica_freeze_ms;
  int64_t cut_ms;
  int64_t one_way_cut_ms;
  int64_t suspend_ms;
  int64_t restart_ms;
  int64_t replace_ms;
  int64_t endpoint_restart_ms;
};

struct limitsim;

struct limitsim *limitsim_run (const struct limitsim_plan *plan, uint32_t seed);
void limitsim_free (struct limitsim *sim);
double limitsim_max_excess (const struct limitsim *sim);
double limitsim_sent_per_s (const struct limitsim *sim, int64_t from_ms,
                            int64_t to_ms);

#endif
