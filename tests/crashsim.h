/* Simulation, on virtual time, of entry instances, the replicated evidence of
   crashes, and endpoints that crash under certain requests.  */

#ifndef CRASHSIM_H
#define CRASHSIM_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  CRASHSIM_INSTANCES_MAX = 300,
  CRASHSIM_ENDPOINTS = 24,
  CRASHSIM_RUN_MS = 40000,
  /* Deadly requests come from here on.  */
  CRASHSIM_DEADLY_MS = 4000,
  /* The bound holds for instances that were in touch for this long, and this
     long after the bound number of crashes.  */
  CRASHSIM_CONTACT_MS = 6000,
  /* An instance that is cut off stops after this many crashes of its own.  */
  CRASHSIM_SEEN_MAX = 5
};

/* What is played.  Sound requests come to all instances together at
   SOUND_PER_S, deadly ones at DEADLY_PER_S: with WHOLE_REQUEST the same one
   again and again, else all with one part of their prompts, the first one with
   FIRST_PART.  In turn, and for the time that each of the next two members
   names, a third of the instances is cut off from the state instances, or no
   leader is to be had.  Every LOSS_MS a third of the endpoints is lost at once,
   every CRASH_MS one of them crashes by itself.  For RESET_MS, in turn, the
   connections of a third of the instances to most endpoints are reset and
   refused.  0 is for never.  */
struct crashsim_plan
{
  unsigned int instances;
  unsigned int sound_per_s;
  unsigned int deadly_per_s;
  bool whole_request;
  bool first_part;
  int64_t cut_ms;
  int64_t no_leader_ms;
  int64_t loss_ms;
  int64_t crash_ms;
  int64_t reset_ms;
};

/* What was seen.  CRASHES were caused by deadly requests; LATE deadly requests
   reached endpoints from instances in touch after the bound number of crashes
   and CRASHSIM_CONTACT_MS; CUT_OFF ones were sent by instances that were cut
   off and had seen CRASHSIM_SEEN_MAX crashes themselves.  REFUSED sound
   requests were refused.  RESETS attempts were broken off by links, not by
   crashes.  BYTES_MAX is what one instance reported at most.  */
struct crashsim_result
{
  unsigned int crashes;
  unsigned int late;
  unsigned int cut_off;
  unsigned int sound;
  unsigned int whole;
  unsigned int refused;
  unsigned int resets;
  uint64_t bytes_max;
};

void crashsim_run (const struct crashsim_plan *plan, uint32_t seed,
                   struct crashsim_result *result);

#endif
