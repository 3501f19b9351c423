/* Proofs that the process of an endpoint ended.  */

#include "member/crashesprivate.h"
#include "member/crashproofs.h"

enum
{
  /* A report is overdue after 5/4 of the interval at which endpoints report:
     one that is late for longer refutes the crash when it comes.  */
  OVERDUE_NUMERATOR = 5,
  OVERDUE_DENOMINATOR = 4,
  /* Intervals without a report at any state instance after which the leader
     takes the process for ended: the instance that had its reports may be lost
     too.  */
  SILENT_REPORTS = 2
};

/* Judge CRASH by what WITNESS, a state instance, knows at NOW_MS of its local
   clock.  The process has ended if the endpoint reports as a later one, if it
   refuses the instance that had its last report or its next one there is
   overdue or, at the leader, if no instance has refuted the crash in time.  */
enum jc_crash_verdict
jc_crash_proofs_judge (const struct jc_crash_report *crash,
                       const struct jc_crash_witness *witness, int64_t now_ms)
{
  bool same = witness->incarnation == crash->incarnation;

  if (same && witness->sent_after_ms > crash->recorded_ms)
    return JC_CRASH_REFUTED;
  if (crash->proved)
    return JC_CRASH_UNDECIDED;
  if (witness->incarnation > crash->incarnation)
    return JC_CRASH_ENDED;
  if (same && witness->refuses)
    return JC_CRASH_ENDED;
  if (same
      && (now_ms - witness->reported_ms) * OVERDUE_DENOMINATOR
             > witness->report_ms * OVERDUE_NUMERATOR)
    return JC_CRASH_ENDED;
  if (witness->leads
      && now_ms - crash->recorded_ms > witness->report_ms * SILENT_REPORTS)
    return JC_CRASH_ENDED;
  return JC_CRASH_UNDECIDED;
}

/* Remove CRASH, whose endpoint went on, and the blocks that it was evidence
   for.  Those that the other crashes call for are set again by
   jc_crashes_update.  */
static void
refute (struct jc_crashes *crashes, struct crash *crash)
{
  for (guint r = 0; crash->proved && r < crash->requests->len; r++)
    {
      const struct request *request
          = &g_array_index (crash->requests, struct request, r);

      for (unsigned int f = 0; f < request->count; f++)
        g_hash_table_remove (crashes->blocked, &request->fingerprints[f]);
    }
  g_ptr_array_remove (crashes->list, crash);
}

/* Apply PROOFS, a committed entry of the log, at NOW_MS of the local clock.
   Processes that no reported crash is about are ignored.  */
void
jc_crashes_apply_proofs (struct jc_crashes *crashes,
                         const struct rpc_crash_proofs *proofs, int64_t now_ms)
{
  for (u_int i = 0; i < proofs->ended.ended_len; i++)
    {
      const struct rpc_endpoint_process *process = &proofs->ended.ended_val[i];
      struct crash *crash = jc_crashes_find (crashes, process->endpoint,
                                             process->endpoint_incarnation);

      if (crash == NULL || crash->proved)
        continue;
      jc_crashes_make_room (crashes, true);
      crash->proved = true;
    }
  for (u_int i = 0; i < proofs->refuted.refuted_len; i++)
    {
      const struct rpc_endpoint_process *process
          = &proofs->refuted.refuted_val[i];
      struct crash *crash = jc_crashes_find (crashes, process->endpoint,
                                             process->endpoint_incarnation);

      if (crash != NULL)
        refute (crashes, crash);
    }
  jc_crashes_update (crashes, now_ms);
}

/* Append to ROWS, an array of struct jc_crash_report, the crashes that are
   remembered.  */
void
jc_crashes_list_reported (const struct jc_crashes *crashes, GArray *rows)
{
  for (guint i = 0; i < crashes->list->len; i++)
    {
      const struct crash *crash = g_ptr_array_index (crashes->list, i);
      const struct jc_crash_report row = { .endpoint = crash->endpoint,
                                           .incarnation = crash->incarnation,
                                           .recorded_ms = crash->recorded_ms,
                                           .proved = crash->proved };

      g_array_append_val (rows, row);
    }
}
