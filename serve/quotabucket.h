/* Quota bucket: the account of a workspace at the instance that owns it in its
   availability zone.  The owner leases slots of the workspace's quota
   (member/quotaslots); each fills the bucket at its share of the rate, up to
   its share of the burst, while it is leased.  A slot starts with no
   more credit than its last holder left with it, and what the bucket holds
   beyond the bursts of its slots is lost.  So the credits of all buckets of a
   workspace never exceed its burst and grow together no faster than its rate,
   whatever the instances know of each other.

   Times are of the clock that goes on while the process is suspended.  */

#ifndef JC_QUOTABUCKET_H
#define JC_QUOTABUCKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

enum
{
  JC_QUOTABUCKET_SLOTS = 20,
  JC_QUOTA_USED_UNKNOWN = -1,
  /* A bucket may be overdrawn by what it gets in this time.  Together with the
     time for which a grant may be used (serve/quotacredit) this is a tenth of a
     window of 8 s.  */
  JC_QUOTABUCKET_DEBT_MS = 550
};

struct jc_quotabucket;

/* Whether a request may run.  GRANTED are the units that its instance may use,
   0 if it may not; then RETRY_MS is when it may, as far as it is known, and
   USED_PER_S what was granted lately in a second, JC_QUOTA_USED_UNKNOWN if that
   isn't known.  SLOTS is the owner's share, and AGE_MS for how long it has had
   the one that it leased last.  */
struct jc_quota_decision
{
  double granted;
  int64_t retry_ms;
  double used_per_s;
  unsigned int slots;
  int64_t age_ms;
};

struct jc_quotabucket *jc_quotabucket_new (int64_t now_ms);
void jc_quotabucket_free (struct jc_quotabucket *bucket);
void jc_quotabucket_set_limit (struct jc_quotabucket *bucket, double per_s,
                               double burst, int64_t now_ms);
void jc_quotabucket_take (struct jc_quotabucket *bucket, double units,
                          double ahead, int64_t now_ms,
                          struct jc_quota_decision *out);
void jc_quotabucket_note_waits (struct jc_quotabucket *bucket, double units,
                                int64_t now_ms);
void jc_quotabucket_send (struct jc_quotabucket *bucket, double units,
                          int64_t now_ms, struct jc_quota_decision *out);
bool jc_quotabucket_note_lease (struct jc_quotabucket *bucket,
                                const struct rpc_quota_slot *slot,
                                int64_t requested_ms, int64_t lease_ms,
                                int64_t now_ms);
void jc_quotabucket_keep (struct jc_quotabucket *bucket, unsigned int count,
                          int64_t now_ms);
void jc_quotabucket_list_released (struct jc_quotabucket *bucket,
                                   int64_t now_ms, GArray *out);
unsigned int jc_quotabucket_slots (struct jc_quotabucket *bucket,
                                   int64_t now_ms);
void jc_quotabucket_demand (struct jc_quotabucket *bucket, int64_t now_ms,
                            unsigned int *wanted, unsigned int *ample);
double jc_quotabucket_credit (struct jc_quotabucket *bucket, int64_t now_ms);
double jc_quotabucket_used_per_s (struct jc_quotabucket *bucket,
                                  int64_t now_ms);
int64_t jc_quotabucket_idle_ms (const struct jc_quotabucket *bucket,
                                int64_t now_ms);

#endif
