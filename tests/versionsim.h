/* Simulation, on virtual time, of resumable streams whose endpoints change
   their software version.  */

#ifndef VERSIONSIM_H
#define VERSIONSIM_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  VERSIONSIM_ENTRIES_MAX = 300,
  VERSIONSIM_STATES_MAX = 25,
  VERSIONSIM_RUN_MS = 30000,
  /* Until then all endpoints have the first version; then all of them are
     replaced in turn.  */
  VERSIONSIM_CHANGE_MS = 6000,
  /* A take-up counts as in touch this long after the last fault of entry and
     state instances, and where two endpoints have served for this long.  */
  VERSIONSIM_TOUCH_MS = 3000
};

/* What is played.  ENTRIES instances begin STREAMS_PER_S streams in all.  An
   endpoint crashes every CRASH_MS and starts again under its name and address,
   from VERSIONSIM_CHANGE_MS on with any of VERSIONS; its reports are delayed by
   up to DELAY_MS, and its connections look open for SILENT_MS after its end.
   An entry instance is killed every KILL_MS, all of them every KILL_ALL_MS, a
   state instance every STATE_KILL_MS; another one is cut off every
   STATE_CUT_MS.  Every 5 s another entry instance gets no reports from state
   instances for BEHIND_MS, and gets those late.  No leader is to be had for
   NO_LEADER_MS of every 10 s.  0 is for never.  With UNTOLD endpoints don't
   tell which incarnation they are.  */
struct versionsim_plan
{
  unsigned int entries;
  unsigned int states;
  unsigned int versions;
  unsigned int streams_per_s;
  int64_t crash_ms;
  int64_t delay_ms;
  int64_t silent_ms;
  int64_t kill_ms;
  int64_t kill_all_ms;
  int64_t state_kill_ms;
  int64_t state_cut_ms;
  int64_t no_leader_ms;
  bool untold;
  int64_t behind_ms;
};

/* What was seen.  MIXED streams hold events of two versions at their callers.
   Of TAKE_UPS, WENT_ON brought a further event; TOUCH and TOUCH_WENT_ON are
   those that count as in touch.  REFUSED are those whose version was not known,
   by outcome, the first for those without an endpoint.  START_BYTES in
   START_ROWS were sent to state instances, CONTROL_BYTES are what all entry
   instances sent and received about versions and starts, ENTRY_STARTS_MAX and
   STATE_STARTS_MAX are the largest tables.  */
struct versionsim_result
{
  unsigned int streams;
  unsigned int mixed;
  unsigned int take_ups;
  unsigned int went_on;
  unsigned int touch;
  unsigned int touch_went_on;
  unsigned int refused[8];
  uint64_t start_bytes;
  uint64_t start_rows;
  uint64_t control_bytes;
  unsigned int entry_starts_max;
  unsigned int state_starts_max;
};

void versionsim_run (const struct versionsim_plan *plan, uint32_t seed,
                     struct versionsim_result *result);

#endif
