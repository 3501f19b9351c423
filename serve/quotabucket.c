/* Quota bucket.  */

#include <math.h>
#include <string.h>

#include "serve/quotabucket.h"

enum
{
  /* Demand is counted in intervals of this length.  */
  INTERVAL_MS = 250,
  INTERVALS = 12,
  RECENT_INTERVALS = 4,
  /* Demand has dropped if it is less than a third of what it was for this many
     intervals, in which as many requests as below would have come, or if there
     was none for the last second and as many before.  */
  DROP_INTERVALS = 2,
  DROP_DIVISOR = 3,
  DROP_REQUESTS = 12,
  MS_PER_S = 1000,
  MILLI = 1000,
  /* A slot that was given back is named in requests for this long, since one of
     them may be lost.  */
  RELEASE_REPEAT_MS = 3000,
  RETRY_MIN_MS = 100,
  /* Callers don't wait for longer.  */
  RETRY_MAX_MS = 3600 * 1000,
  /* Not all who were told a time come back: later ones are told no more than
     this because of them, or the time of one request.  */
  RETRY_QUEUE_MS = 5000,
  /* While the owner has no slots.  */
  RETRY_UNKNOWN_MS = 1000
};

/* A growing demand finds slots for this many times what it was.  */
static const double headroom = 1.2;

/* Demand has grown if that of the last second is this many times that of the
   last few.  */
static const double growth = 1.25;

/* Slots by which demand may differ from what is wanted for it.  */
static const double wanted_tolerance = 0.8;

/* A slot with the revision of its last lease.  It is used from SINCE_MS until
   UNTIL_MS, if HELD.  Otherwise it was given back at RELEASED_MS, 0 for
   never, with the credit LEFT.  */
struct slot
{
  bool held;
  uint64_t revision;
  int64_t since_ms;
  int64_t until_ms;
  int64_t released_ms;
  double left;
};

/* Units that were asked for and granted in the interval NUMBER, and the most
   for one request.  */
struct interval
{
  int64_t number;
  double asked;
  double granted;
  double largest;
  unsigned int requests;
};

/* CREDIT is that of UPDATED_MS.  SENDABLE is the same without what was granted
   to requests that wait and are not sent yet: CREDIT bounds what is accepted,
   SENDABLE what runs.  The units that refused callers were told to
   come back for will be there at PROMISED_MS.  No more than KEEP slots are to
   be kept.  */
struct jc_quotabucket
{
  double per_s;
  double burst;
  double credit;
  double sendable;
  int64_t updated_ms;
  int64_t promised_ms;
  int64_t asked_ms;
  unsigned int keep;
  unsigned int wanted;
  struct slot slots[JC_QUOTABUCKET_SLOTS];
  struct interval intervals[INTERVALS];
};

/* Return a bucket without slots, to be freed with jc_quotabucket_free.  */
struct jc_quotabucket *
jc_quotabucket_new (int64_t now_ms)
{
  struct jc_quotabucket *bucket = g_new0 (struct jc_quotabucket, 1);

  bucket->updated_ms = bucket->asked_ms = now_ms;
  bucket->keep = JC_QUOTABUCKET_SLOTS;
  return bucket;
}

/* Free BUCKET, which may be NULL.  */
void
jc_quotabucket_free (struct jc_quotabucket *bucket)
{
  g_free (bucket);
}

static double
slot_per_ms (const struct jc_quotabucket *bucket)
{
  return bucket->per_s / JC_QUOTABUCKET_SLOTS / MS_PER_S;
}

static double
slot_burst (const struct jc_quotabucket *bucket)
{
  return bucket->burst / JC_QUOTABUCKET_SLOTS;
}

static unsigned int
count_held (const struct jc_quotabucket *bucket)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < JC_QUOTABUCKET_SLOTS; i++)
    count += bucket->slots[i].held;
  return count;
}

/* Return what a bucket with SLOTS of them may owe.  */
static double
debt_max (const struct jc_quotabucket *bucket, unsigned int slots)
{
  return JC_QUOTABUCKET_DEBT_MS * slots * slot_per_ms (bucket);
}

static void
cap_credit (struct jc_quotabucket *bucket)
{
  double room = count_held (bucket) * slot_burst (bucket);

  bucket->credit = MIN (bucket->credit, room);
  bucket->sendable = MIN (bucket->sendable, room);
}

/* Add UNITS to what BUCKET holds.  */
static void
add_credit (struct jc_quotabucket *bucket, double units)
{
  bucket->credit += units;
  bucket->sendable += units;
}

/* Bring BUCKET to NOW_MS: add what its slots brought while they were leased,
   and drop those whose leases have ended.  */
static void
update (struct jc_quotabucket *bucket, int64_t now_ms)
{
  for (unsigned int i = 0; i < JC_QUOTABUCKET_SLOTS; i++)
    {
      struct slot *slot = &bucket->slots[i];
      int64_t from = MAX (bucket->updated_ms, slot->since_ms);
      int64_t to = MIN (now_ms, slot->until_ms);

      if (!slot->held)
        continue;
      if (to > from)
        add_credit (bucket, (double)(to - from) * slot_per_ms (bucket));
      slot->held = slot->until_ms > now_ms;
    }
  cap_credit (bucket);
  bucket->updated_ms = MAX (bucket->updated_ms, now_ms);
}

/* Set the quota of BUCKET's workspace to PER_S and BURST, as the configuration
   in force has it.  */
void
jc_quotabucket_set_limit (struct jc_quotabucket *bucket, double per_s,
                          double burst, int64_t now_ms)
{
  update (bucket, now_ms);
  bucket->per_s = per_s;
  bucket->burst = burst;
  cap_credit (bucket);
}

static struct interval *
interval_at (struct jc_quotabucket *bucket, int64_t now_ms)
{
  int64_t number = now_ms / INTERVAL_MS;
  struct interval *interval = &bucket->intervals[number % INTERVALS];

  if (interval->number != number)
    *interval = (struct interval){ .number = number };
  return interval;
}

/* Return whether UNITS may be taken from BUCKET, which has CREDIT.  A request
   that is larger than what the bucket can hold may run once that is full; the
   debt is paid back before the next one.  */
static bool
may_take (const struct jc_quotabucket *bucket, double credit, double units)
{
  unsigned int held = count_held (bucket);
  double room = held * slot_burst (bucket);
  double debt = debt_max (bucket, MIN (held, bucket->keep));

  if (held == 0)
    return false;
  return credit + debt >= units || (units > room + debt && credit >= room);
}

/* Return in which time a bucket that gets PER_MS units a millisecond gets
   UNITS, ms.  */
static int64_t
fill_ms (double units, double per_ms)
{
  return (int64_t)ceil (MIN (MAX (units, 0) / per_ms, RETRY_MAX_MS));
}

/* Return the time until a request for UNITS that is refused now may run with
   the slots that BUCKET has, given what others were told before, ms.  */
static int64_t
promise (struct jc_quotabucket *bucket, double units, int64_t now_ms)
{
  double credit = MIN (bucket->credit, bucket->sendable);
  unsigned int held = count_held (bucket);
  double per_ms = held * slot_per_ms (bucket);
  double room = held * slot_burst (bucket);
  double debt = debt_max (bucket, MIN (held, bucket->keep));
  int64_t alone;
  int64_t one;
  int64_t queued;

  if (held == 0)
    return RETRY_UNKNOWN_MS;
  alone = fill_ms (MIN (units - debt, room) - credit, per_ms);
  one = fill_ms (units, per_ms);
  queued = MIN (bucket->promised_ms - now_ms + one,
                MAX (RETRY_QUEUE_MS, alone + one));
  queued = CLAMP (MAX (alone, queued), RETRY_MIN_MS, RETRY_MAX_MS);
  bucket->promised_ms = now_ms + queued;
  return queued;
}

static int64_t
share_age_ms (const struct jc_quotabucket *bucket, int64_t now_ms)
{
  int64_t since = 0;

  for (unsigned int i = 0; i < JC_QUOTABUCKET_SLOTS; i++)
    if (bucket->slots[i].held)
      since = MAX (since, bucket->slots[i].since_ms);
  return since > 0 ? now_ms - since : 0;
}

/* Take UNITS from BUCKET for a request, and up to AHEAD more for the next ones
   if more than half of what the bucket can hold is left.  Set OUT to the
   result.  */
void
jc_quotabucket_take (struct jc_quotabucket *bucket, double units, double ahead,
                     int64_t now_ms, struct jc_quota_decision *out)
{
  struct interval *interval = interval_at (bucket, now_ms);

  update (bucket, now_ms);
  bucket->asked_ms = now_ms;
  interval->asked += units;
  interval->requests++;
  interval->largest = MAX (interval->largest, units);
  *out = (struct jc_quota_decision){ .slots = count_held (bucket),
                                     .age_ms = share_age_ms (bucket, now_ms) };
  if (!may_take (bucket, MIN (bucket->credit, bucket->sendable), units))
    {
      out->retry_ms = promise (bucket, units, now_ms);
      out->used_per_s = jc_quotabucket_used_per_s (bucket, now_ms);
      return;
    }
  out->granted = units;
  add_credit (bucket, -units);
  ahead = MIN (ahead, MIN (bucket->credit, bucket->sendable)
                          - out->slots * slot_burst (bucket) / 2);
  if (ahead > 0)
    {
      out->granted += ahead;
      add_credit (bucket, -ahead);
    }
  interval->granted += out->granted;
}

/* A request that UNITS were just granted to waits: they are taken once more by
   jc_quotabucket_send when it is sent.  */
void
jc_quotabucket_note_waits (struct jc_quotabucket *bucket, double units,
                           int64_t now_ms)
{
  update (bucket, now_ms);
  bucket->sendable += units;
  cap_credit (bucket);
}

/* Take UNITS, which were granted before, for a request that has waited and is
   sent now.  Set OUT to the result.  */
void
jc_quotabucket_send (struct jc_quotabucket *bucket, double units,
                     int64_t now_ms, struct jc_quota_decision *out)
{
  update (bucket, now_ms);
  bucket->asked_ms = now_ms;
  *out = (struct jc_quota_decision){ .slots = count_held (bucket),
                                     .age_ms = share_age_ms (bucket, now_ms) };
  if (!may_take (bucket, bucket->sendable, units))
    {
      out->retry_ms = promise (bucket, units, now_ms);
      out->used_per_s = jc_quotabucket_used_per_s (bucket, now_ms);
      return;
    }
  out->granted = units;
  bucket->sendable -= units;
}

/* Note that SLOT was leased for LEASE_MS from REQUESTED_MS on.  Return false if
   that is of no use: the slot was given back after the request, or the lease is
   over.  */
bool
jc_quotabucket_note_lease (struct jc_quotabucket *bucket,
                           const struct rpc_quota_slot *leased,
                           int64_t requested_ms, int64_t lease_ms,
                           int64_t now_ms)
{
  struct slot *slot;
  bool is_new;

  if (leased->slot >= JC_QUOTABUCKET_SLOTS)
    return false;
  update (bucket, now_ms);
  slot = &bucket->slots[leased->slot];
  is_new = leased->revision > slot->revision;
  slot->revision = MAX (slot->revision, leased->revision);
  if (requested_ms > now_ms || requested_ms + lease_ms <= now_ms
      || (slot->released_ms > 0 && requested_ms <= slot->released_ms))
    return false;
  if (!slot->held)
    slot->since_ms = now_ms;
  slot->until_ms
      = MAX (slot->held ? slot->until_ms : 0, requested_ms + lease_ms);
  slot->held = true;
  slot->released_ms = 0;
  if (is_new)
    add_credit (bucket, (double)leased->credit_milli / MILLI);
  cap_credit (bucket);
  return true;
}

/* Give back slots of BUCKET, each with its part of the credit, until it has no
   more than COUNT, once it owes no more than those that are left may owe.  */
void
jc_quotabucket_keep (struct jc_quotabucket *bucket, unsigned int count,
                     int64_t now_ms)
{
  unsigned int held;
  double credit;
  double each;

  update (bucket, now_ms);
  bucket->keep = count;
  held = count_held (bucket);
  credit = MIN (bucket->credit, bucket->sendable);
  if (credit < -debt_max (bucket, count))
    return;
  each = held > 0 ? MAX (credit / held, 0) : 0;
  for (unsigned int i = JC_QUOTABUCKET_SLOTS; i > 0 && held > count; i--)
    {
      struct slot *slot = &bucket->slots[i - 1];

      if (!slot->held)
        continue;
      slot->held = false;
      slot->released_ms = now_ms;
      slot->left = each;
      add_credit (bucket, -each);
      held--;
    }
  cap_credit (bucket);
}

/* Append to OUT, an array of struct rpc_quota_slot, those that BUCKET gave back
   lately.  */
void
jc_quotabucket_list_released (struct jc_quotabucket *bucket, int64_t now_ms,
                              GArray *out)
{
  for (unsigned int i = 0; i < JC_QUOTABUCKET_SLOTS; i++)
    {
      const struct slot *slot = &bucket->slots[i];
      const struct rpc_quota_slot row
          = { .slot = i,
              .revision = slot->revision,
              .credit_milli = (u_quad_t)(slot->left * MILLI) };

      if (!slot->held && slot->released_ms > 0
          && now_ms - slot->released_ms < RELEASE_REPEAT_MS)
        g_array_append_val (out, row);
    }
}

/* Return the number of slots that BUCKET has.  */
unsigned int
jc_quotabucket_slots (struct jc_quotabucket *bucket, int64_t now_ms)
{
  update (bucket, now_ms);
  return count_held (bucket);
}

/* The demand of the last intervals before a time.  */
struct demand
{
  double latest;
  double recent;
  double all;
  double granted;
  double largest;
  unsigned int requests;
};

static void
sum_demand (const struct jc_quotabucket *bucket, int64_t now_ms,
            struct demand *out)
{
  int64_t current = now_ms / INTERVAL_MS;

  *out = (struct demand){ 0 };
  for (unsigned int i = 0; i < INTERVALS; i++)
    {
      const struct interval *interval = &bucket->intervals[i];

      if (interval->number <= current - INTERVALS || interval->number > current)
        continue;
      if (interval->number > current - RECENT_INTERVALS)
        out->recent += interval->asked;
      if (interval->number >= current - DROP_INTERVALS)
        out->latest += interval->asked;
      out->all += interval->asked;
      out->requests += interval->requests;
      out->granted += interval->granted;
      out->largest = MAX (out->largest, interval->largest);
    }
}

/* Return the rate of DEMAND, in units an interval: that of the last few
   seconds, or a later one if it has grown or dropped.  */
static double
rate_of (const struct demand *demand)
{
  double all = demand->all / INTERVALS;
  /* The current interval is not over.  */
  double latest = demand->latest / (DROP_INTERVALS + 0.5);

  if ((latest < all / DROP_DIVISOR
       && demand->requests * DROP_INTERVALS >= DROP_REQUESTS * INTERVALS)
      || (demand->recent <= 0 && demand->requests >= DROP_REQUESTS))
    return latest;
  return demand->recent / RECENT_INTERVALS > all * growth
             ? demand->recent / RECENT_INTERVALS
             : all;
}

/* Set WANTED to how many slots the demand on BUCKET takes, rounded, and AMPLE
   to how many it takes if that grows, or becomes again what it was in the last
   few seconds.  AMPLE slots also hold the largest request.  */
void
jc_quotabucket_demand (struct jc_quotabucket *bucket, int64_t now_ms,
                       unsigned int *wanted, unsigned int *ample)
{
  double per_interval = slot_per_ms (bucket) * INTERVAL_MS;
  struct demand demand;
  double rate;
  double most;

  *wanted = *ample = 0;
  sum_demand (bucket, now_ms, &demand);
  if (demand.all <= 0 || per_interval <= 0)
    {
      bucket->wanted = 0;
      return;
    }
  rate = rate_of (&demand) / per_interval;
  most = MAX (rate, demand.all / INTERVALS / per_interval) * headroom;
  if (slot_burst (bucket) > 0)
    most = MAX (most, demand.largest / slot_burst (bucket));
  rate = MIN (rate, JC_QUOTABUCKET_SLOTS);
  if (fabs (rate - bucket->wanted) > wanted_tolerance || bucket->wanted == 0)
    bucket->wanted = (unsigned int)MAX (round (rate), rate > 0);
  *wanted = bucket->wanted;
  *ample = (unsigned int)CLAMP (ceil (most), *wanted, JC_QUOTABUCKET_SLOTS);
}

/* Return what BUCKET holds, in units; negative for a debt.  */
double
jc_quotabucket_credit (struct jc_quotabucket *bucket, int64_t now_ms)
{
  update (bucket, now_ms);
  return bucket->credit;
}

/* Return the units that BUCKET granted in a second lately.  */
double
jc_quotabucket_used_per_s (struct jc_quotabucket *bucket, int64_t now_ms)
{
  struct demand demand;

  sum_demand (bucket, now_ms, &demand);
  return demand.granted * MS_PER_S / (INTERVALS * INTERVAL_MS);
}

/* Return for how long nobody has asked BUCKET, ms.  */
int64_t
jc_quotabucket_idle_ms (const struct jc_quotabucket *bucket, int64_t now_ms)
{
  return now_ms - bucket->asked_ms;
}
