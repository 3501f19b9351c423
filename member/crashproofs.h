/* What proves that the process of an endpoint ended, and what refutes it.  An
   entry instance only sees that its connections break and are refused, which
   its own links may cause.  The state instance that has the endpoint's reports
   doesn't use these links.  The process has ended if it refuses a connection of
   that instance too or no longer reports to it; a report that was certainly
   sent after the crash was recorded refutes it, where it counted already
   too.  */

#ifndef JC_CRASHPROOFS_H
#define JC_CRASHPROOFS_H

#include <stdbool.h>
#include <stdint.h>

#include "member/crashes.h"

enum jc_crash_verdict
{
  JC_CRASH_UNDECIDED,
  JC_CRASH_ENDED,
  JC_CRASH_REFUTED
};

/* What one state instance knows of an endpoint that was reported as crashed:
   its last report there, INCARNATION 0 if there is none, and whether it REFUSES
   connections from there.  The report was read at REPORTED_MS and was certainly
   sent after SENT_AFTER_MS: it may have waited while the instance stood still.
   REPORT_MS is the interval of reports.  */
struct jc_crash_witness
{
  uint64_t incarnation;
  int64_t reported_ms;
  int64_t sent_after_ms;
  int64_t report_ms;
  bool refuses;
  bool leads;
};

enum jc_crash_verdict
jc_crash_proofs_judge (const struct jc_crash_report *crash,
                       const struct jc_crash_witness *witness, int64_t now_ms);

#endif
