/* Resumption: the software version at which a caller's stream may go on.  The
   state instances that may hold the start of the stream are asked for it, and
   the log for all versions that any stream of the service can have.  */

#ifndef JC_RESUMPTION_H
#define JC_RESUMPTION_H

#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

enum
{
  /* State instances that a start is sent to, beside one of the own region.  */
  JC_RESUMPTION_HOLDERS = 3,
  JC_RESUMPTION_HOLDERS_MAX = JC_RESUMPTION_HOLDERS + 1
};

/* WAIT: answers are missing that could tell.  KNOWN: the start is recorded.
   ONLY: it is not recorded, but the service has had one version only.  The
   others are reasons to refuse: the instance that began the stream was not
   sure of the version, two versions are recorded, or nothing is known.  */
enum jc_resumption_outcome
{
  JC_RESUMPTION_WAIT,
  JC_RESUMPTION_KNOWN,
  JC_RESUMPTION_ONLY,
  JC_RESUMPTION_UNCERTAIN,
  JC_RESUMPTION_CONFLICT,
  JC_RESUMPTION_UNKNOWN
};

/* A search.  PENDING is the number of questions without an answer, ANSWERED and
   UNANSWERED those of the others with and without one, SOFTWARE the version
   that was found, ONLY the only version of the service, 0 for none.  WAITED
   means that an endpoint which has begun the stream and restarted since would
   have reported by now.  */
struct jc_resumption
{
  unsigned int pending;
  unsigned int answered;
  unsigned int unanswered;
  uint64_t software;
  uint64_t only;
  bool uncertain;
  bool conflict;
};

/* What the process at an address said of itself: the start that its reports
   name, too.  It had been the same process since SINCE_US when it was heard at
   HEARD_US, 0 if none was heard: what happens within one ms must be told
   apart.  */
struct jc_process_identity
{
  uint64_t incarnation;
  int64_t since_us;
  int64_t heard_us;
};

/* A state instance that may hold starts of streams.  */
struct jc_stream_holder
{
  const char *name;
  const char *region;
};

void jc_resumption_note_start (struct jc_resumption *resumption,
                               const struct rpc_stream_found *found,
                               bool certain);
void jc_resumption_note_versions (struct jc_resumption *resumption,
                                  bool answered, uint64_t only);
enum jc_resumption_outcome
jc_resumption_outcome (const struct jc_resumption *resumption,
                       uint64_t *software);
const char *jc_resumption_outcome_name (enum jc_resumption_outcome outcome);

unsigned int
jc_resumption_pick_holders (const struct jc_stream_holder *candidates,
                            unsigned int count, const char *region,
                            uint64_t stream,
                            unsigned int picked[JC_RESUMPTION_HOLDERS_MAX]);
bool jc_resumption_is_confirmed (int64_t reported_ms, int64_t since_ms);
void jc_resumption_note_identity (struct jc_process_identity *known,
                                  const struct jc_process_identity *told);
bool jc_resumption_is_identified (const struct jc_process_identity *identity,
                                  int64_t since_us, int64_t heard_us);

#endif
