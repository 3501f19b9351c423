/* Slots of the rate limits that endpoints name.  The limit of an incarnation of
   an endpoint is divided into JC_LIMIT_SLOTS equal slots, and an entry instance
   sends no more than the slots that it leases allow.  So all instances together
   stay within the limit, whatever they know of each other.

   The table is a state machine of the replicated log: every replica applies the
   same changes and gets the same result.  Time enters only where changes are
   proposed.  An instance uses a slot until JC_LIMIT_LEASE_MS after it sent its
   request, by its own clock.  A replica proposes to give the slot to another
   instance only a longer time after it has applied the lease, which is later
   than the request was sent; the change is void if the slot was leased anew in
   between.  */

#ifndef JC_LIMITSLOTS_H
#define JC_LIMITSLOTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

enum
{
  /* An instance may save up one request, so a window may have this many
     requests in addition to the limit.  */
  JC_LIMIT_SLOTS = 5,
  JC_LIMIT_LEASE_MS = 5000,
  /* As many as a request for slots may name.  */
  JC_LIMIT_REQUEST_MAX = 4096
};

struct jc_limit_slots;

/* An entry instance: its name and the incarnation of its process.  */
struct jc_limit_holder
{
  const char *instance;
  uint64_t incarnation;
};

struct jc_limit_slots *jc_limit_slots_new (void);
void jc_limit_slots_free (struct jc_limit_slots *slots);
unsigned int jc_limit_slots_count (const struct jc_limit_slots *slots);
void jc_limit_slots_plan (const struct jc_limit_slots *slots,
                          const struct jc_limit_holder *holder,
                          const struct rpc_limit_request *request,
                          int64_t now_ms, GArray *changes, GArray *ended);
void jc_limit_slots_plan_cleanup (const struct jc_limit_slots *slots,
                                  int64_t now_ms, GArray *changes);
GString *jc_limit_changes_encode (const GArray *changes);
bool jc_limit_changes_decode (struct jc_str data,
                              struct rpc_limit_changes *out);
bool jc_limit_slots_apply (struct jc_limit_slots *slots,
                           const struct rpc_limit_change *change,
                           int64_t now_ms);
void jc_limit_slots_snapshot (const struct jc_limit_slots *slots, json_t *out);
enum jc_status jc_limit_slots_restore (struct jc_limit_slots *slots,
                                       const json_t *in, int64_t now_ms);

#endif
