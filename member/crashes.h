/* Crashes of endpoints, and the requests that may have caused them.  Each crash
   comes with the fingerprints of the requests that ran there.  A fingerprint
   that was beside crash after crash, while no request with it was answered
   whole, is blocked: requests with it are refused.

   The table is a state machine of the replicated log: every replica applies the
   same changes and gets the same result.  Each crash counts once, however many
   entry instances report it.  All crashes that were reported in one interval
   count as one: where many endpoints are lost at once, no request is the cause.
   A crash beside a blocked fingerprint is explained and tells nothing of the
   others.

   An entry instance whose links break can't tell that from a crash.  What it
   reports counts once the process is proved to have ended by its reports to the
   state instances (member/crashproofs.h), and is removed if it goes on.  */

#ifndef JC_CRASHES_H
#define JC_CRASHES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

enum
{
  /* What a crash adds to the score of a fingerprint: more if a request with it
     had just begun to be answered, since then it is the likely cause.  */
  JC_CRASH_SCORE_RUNNING = 1,
  JC_CRASH_SCORE_STARTING = 2,
  /* Fingerprints with this score are reported as suspected.  */
  JC_CRASH_SUSPECT_SCORE = 2,
  /* Three crashes under requests that had just begun.  */
  JC_CRASH_BLOCK_SCORE = 6,
  /* What is taken off the score of a fingerprint of requests that were answered
     whole shortly before: two crashes.  */
  JC_CRASH_KNOWN_SCORE = 4,
  /* From here on several fingerprints may be blocked for the same crashes.  */
  JC_CRASH_CERTAIN_SCORE = 10,
  JC_CRASH_BLOCKED_MAX = 1024,
  JC_CRASH_BLOCK_MS = 3600 * 1000
};

struct jc_crashes;

/* A crash that was reported, at RECORDED_MS of the local clock.  ENDPOINT is
   valid until the next change of the table.  */
struct jc_crash_report
{
  const char *endpoint;
  uint64_t incarnation;
  int64_t recorded_ms;
  bool proved;
};

struct jc_crashes *jc_crashes_new (unsigned int block_score);
void jc_crashes_free (struct jc_crashes *crashes);
GString *jc_crashes_encode (const struct rpc_crash_changes *changes);
bool jc_crashes_next (struct jc_str *rest, struct rpc_crash_changes *out);
void jc_crashes_apply (struct jc_crashes *crashes,
                       const struct rpc_crash_changes *changes, int64_t now_ms);
void jc_crashes_apply_proofs (struct jc_crashes *crashes,
                              const struct rpc_crash_proofs *proofs,
                              int64_t now_ms);
void jc_crashes_list_reported (const struct jc_crashes *crashes, GArray *rows);
bool jc_crashes_is_blocked (const struct jc_crashes *crashes,
                            uint64_t fingerprint);
unsigned int jc_crashes_score (const struct jc_crashes *crashes,
                               uint64_t fingerprint);
gint jc_crashes_compare_rows (gconstpointer left, gconstpointer right);
void jc_crashes_list (const struct jc_crashes *crashes, GArray *rows);
unsigned int jc_crashes_count_blocked (const struct jc_crashes *crashes);
void jc_crashes_plan_expiry (const struct jc_crashes *crashes, int64_t now_ms,
                             GArray *expired);
void jc_crashes_snapshot (const struct jc_crashes *crashes, json_t *out);
enum jc_status jc_crashes_restore (struct jc_crashes *crashes, const json_t *in,
                                   int64_t now_ms);

#endif
