/* Decides at which software version a caller's stream may go on.  */

#include <string.h>

#include <glib.h>

#include "serve/resumption.h"

enum
{
  /* An endpoint's report reaches an instance within this time: it may be held
     up on its way for 3 s, beside three times the time between regions.  */
  REPORT_DELAY_MS = 3250
};

/* Add the answer FOUND of a state instance, NULL if none came.  CERTAIN tells
   that the version in it is certain, by that answer or by what is known here of
   the endpoint.  */
void
jc_resumption_note_start (struct jc_resumption *resumption,
                          const struct rpc_stream_found *found, bool certain)
{
  uint64_t software = found != NULL ? found->claim.start.software : 0;

  resumption->pending--;
  if (found != NULL)
    resumption->answered++;
  else
    resumption->unanswered++;
  if (found == NULL || !found->known)
    return;
  if (software == 0
      || (certain && resumption->software != 0
          && resumption->software != software))
    resumption->conflict = true;
  else if (!certain)
    resumption->uncertain = true;
  else
    resumption->software = software;
}

/* Add the answer of the log, read after the caller asked: ONLY is the only
   version that the service has had, 0 if it has had several.  ANSWERED is false
   if the log could not be read.  */
void
jc_resumption_note_versions (struct jc_resumption *resumption, bool answered,
                             uint64_t only)
{
  resumption->pending--;
  if (!answered)
    {
      resumption->unanswered++;
      return;
    }
  resumption->answered++;
  resumption->only = only;
}

/* Return what the answers so far allow, and store the version in SOFTWARE, 0 if
   the stream may not go on.  */
enum jc_resumption_outcome
jc_resumption_outcome (const struct jc_resumption *resumption,
                       uint64_t *software)
{
  *software = 0;
  if (resumption->conflict)
    return JC_RESUMPTION_CONFLICT;
  if (resumption->software != 0)
    {
      *software = resumption->software;
      return JC_RESUMPTION_KNOWN;
    }
  if (resumption->pending > 0)
    return JC_RESUMPTION_WAIT;
  if (resumption->uncertain)
    return JC_RESUMPTION_UNCERTAIN;
  *software = resumption->only;
  return resumption->only != 0 ? JC_RESUMPTION_ONLY : JC_RESUMPTION_UNKNOWN;
}

/* Return the name of OUTCOME for logs and metrics.  */
const char *
jc_resumption_outcome_name (enum jc_resumption_outcome outcome)
{
  static const char *const names[] = { [JC_RESUMPTION_WAIT] = "wait",
                                       [JC_RESUMPTION_KNOWN] = "known",
                                       [JC_RESUMPTION_ONLY] = "only_version",
                                       [JC_RESUMPTION_UNCERTAIN] = "uncertain",
                                       [JC_RESUMPTION_CONFLICT] = "conflict",
                                       [JC_RESUMPTION_UNKNOWN] = "unknown" };

  return names[outcome];
}

/* Return the rendezvous weight of the state instance NAME for STREAM.  It is
   the same in every process.  */
static uint64_t
holder_weight (const char *name, uint64_t stream)
{
  uint64_t hash = stream;

  for (const char *c = name; *c != '\0'; c++)
    hash = (hash ^ (unsigned char)*c) * 1099511628211U;
  hash ^= hash >> 31;
  return hash * 0x94D049BB133111EBU;
}

static bool
is_picked (const unsigned int *picked, unsigned int count, unsigned int index)
{
  for (unsigned int i = 0; i < count; i++)
    if (picked[i] == index)
      return true;
  return false;
}

/* Return the index of the heaviest of the COUNT CANDIDATES that is not among
   the PICKED_COUNT in PICKED and is in REGION, if that is not NULL.  Return
   COUNT if there is none.  */
static unsigned int
heaviest (const struct jc_stream_holder *candidates, unsigned int count,
          const char *region, uint64_t stream, const unsigned int *picked,
          unsigned int picked_count)
{
  unsigned int best = count;
  uint64_t best_weight = 0;

  for (unsigned int i = 0; i < count; i++)
    {
      uint64_t weight = holder_weight (candidates[i].name, stream);

      if ((region != NULL && strcmp (candidates[i].region, region) != 0)
          || is_picked (picked, picked_count, i)
          || (best < count && weight <= best_weight))
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

/* Pick those of the COUNT CANDIDATES that hold the start of STREAM: the
   heaviest ones, and one of REGION, which serves the region while it is cut off
   from the others.  Store their indices in PICKED and return how many there
   are.  */
unsigned int
jc_resumption_pick_holders (const struct jc_stream_holder *candidates,
                            unsigned int count, const char *region,
                            uint64_t stream,
                            unsigned int picked[JC_RESUMPTION_HOLDERS_MAX])
{
  unsigned int picked_count = 0;
  bool has_region = false;
  unsigned int best;

  while (picked_count < JC_RESUMPTION_HOLDERS
         && (best
             = heaviest (candidates, count, NULL, stream, picked, picked_count))
                < count)
    {
      picked[picked_count++] = best;
      has_region = has_region || strcmp (candidates[best].region, region) == 0;
    }
  best = has_region ? count
                    : heaviest (candidates, count, region, stream, picked,
                                picked_count);
  if (best < count)
    picked[picked_count++] = best;
  return picked_count;
}

/* Return whether the process that has been the same since SINCE_MS, at least,
   is certainly the one of an endpoint whose last report came at REPORTED_MS: it
   sent the report after that.  */
bool
jc_resumption_is_confirmed (int64_t reported_ms, int64_t since_ms)
{
  return reported_ms - since_ms >= REPORT_DELAY_MS;
}

/* Add to KNOWN, what is known of the process at an address, what it TOLD of
   itself.  The same incarnation is the same process throughout: it began before
   all of its answers, also those to questions over later connections.  */
void
jc_resumption_note_identity (struct jc_process_identity *known,
                             const struct jc_process_identity *told)
{
  int64_t since_us = told->since_us;

  if (known->heard_us > 0 && known->incarnation == told->incarnation)
    since_us = MIN (since_us, known->since_us);
  *known = *told;
  known->since_us = since_us;
}

/* Return whether IDENTITY is that of the process that had been the same since
   SINCE_US when it was heard at HEARD_US at the same address: no two processes
   have an address at once, so that it is the same one if the times overlap.  */
bool
jc_resumption_is_identified (const struct jc_process_identity *identity,
                             int64_t since_us, int64_t heard_us)
{
  return identity->heard_us > since_us && heard_us > identity->since_us;
}
