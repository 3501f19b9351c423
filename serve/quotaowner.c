/* Quota owner.  */

#include "member/quotaslots.h"
#include "serve/quotaowner.h"

enum
{
  /* Changes of what is wanted are told at this interval.  */
  ASK_INTERVAL_MS = 300,
  /* Slots that were asked for are asked for again after this.  */
  REPEAT_MS = 500,
  /* Slots that were given back are named again after this.  */
  RELEASE_INTERVAL_MS = 1000,
  /* A share counts for this long after it was told.  */
  SHARE_FRESH_MS = 3 * JC_QUOTA_RENEW_MS,
  /* An owner that nobody asked for this long, and that has no slots, is of no
     use.  It is longer than any lease, so that none of a slot that was given
     back is taken for a new one.  */
  UNUSED_MS = 20000
};

/* BUCKET is the account.  It was told at SHARE_MS, 0 for never, that it may
   have SHARE slots, and asked for ASKED_WANTED and ASKED_SPARE at ASKED_MS.  */
struct jc_quotaowner
{
  struct jc_quotabucket *bucket;
  unsigned int share;
  int64_t share_ms;
  unsigned int asked_wanted;
  unsigned int asked_spare;
  int64_t asked_ms;
};

/* Return an owner without slots, to be freed with jc_quotaowner_free.  */
struct jc_quotaowner *
jc_quotaowner_new (int64_t now_ms)
{
  struct jc_quotaowner *owner = g_new0 (struct jc_quotaowner, 1);

  owner->bucket = jc_quotabucket_new (now_ms);
  return owner;
}

/* Free OWNER, which may be NULL.  */
void
jc_quotaowner_free (struct jc_quotaowner *owner)
{
  if (owner == NULL)
    return;
  jc_quotabucket_free (owner->bucket);
  g_free (owner);
}

/* Return the account of OWNER.  */
struct jc_quotabucket *
jc_quotaowner_bucket (struct jc_quotaowner *owner)
{
  return owner->bucket;
}

/* Return how many slots OWNER may have.  */
static unsigned int
share_of (const struct jc_quotaowner *owner, int64_t now_ms)
{
  return owner->share_ms > 0 && now_ms - owner->share_ms < SHARE_FRESH_MS
             ? owner->share
             : JC_QUOTA_SLOTS;
}

/* Return whether OWNER is to send ASK now, with HELD slots.  GAVE_BACK means
   that it has just given slots back.  */
static bool
is_due (const struct jc_quotaowner *owner, const struct rpc_quota_ask *ask,
        unsigned int held, bool gave_back, bool has_released, int64_t now_ms)
{
  int64_t since = now_ms - owner->asked_ms;
  unsigned int wish = ask->wanted + ask->spare;

  if (gave_back)
    return true;
  if (has_released && since >= RELEASE_INTERVAL_MS)
    return true;
  if (ask->wanted != owner->asked_wanted || ask->spare != owner->asked_spare)
    return since >= ASK_INTERVAL_MS;
  if (held < MIN (share_of (owner, now_ms), wish))
    return since >= REPEAT_MS;
  return (wish > 0 || held > 0) && since >= JC_QUOTA_RENEW_MS;
}

/* Give back what OWNER has no use for or no right to by INPUT, and set ASK to
   what it asks for, but for the workspace.  The slots that ASK names are
   appended to RELEASED, which must be empty.  Return whether to send that
   now.  */
bool
jc_quotaowner_next_ask (struct jc_quotaowner *owner,
                        const struct jc_quotaowner_input *input,
                        struct rpc_quota_ask *ask, GArray *released)
{
  int64_t now = input->now_ms;
  unsigned int before = jc_quotabucket_slots (owner->bucket, now);
  unsigned int held;
  unsigned int ample;

  ask->wanted = ask->spare = 0;
  if (!input->ends)
    {
      jc_quotabucket_demand (owner->bucket, now, &ask->wanted, &ample);
      ask->spare
          = MAX (MAX (input->standing, ample), ask->wanted) - ask->wanted;
    }
  jc_quotabucket_keep (owner->bucket,
                       MIN (ask->wanted + ask->spare, share_of (owner, now)),
                       now);
  held = jc_quotabucket_slots (owner->bucket, now);
  jc_quotabucket_list_released (owner->bucket, now, released);
  ask->released.released_val = (struct rpc_quota_slot *)released->data;
  ask->released.released_len = released->len;
  if (!is_due (owner, ask, held, held<before, released->len> 0, now))
    return false;
  owner->asked_wanted = ask->wanted;
  owner->asked_spare = ask->spare;
  owner->asked_ms = now;
  return true;
}

/* Note that OWNER may have SLOTS.  */
void
jc_quotaowner_note_share (struct jc_quotaowner *owner, unsigned int slots,
                          int64_t now_ms)
{
  owner->share = slots;
  owner->share_ms = now_ms;
}

/* Return whether OWNER can be freed.  */
bool
jc_quotaowner_is_unused (struct jc_quotaowner *owner, int64_t now_ms)
{
  return jc_quotabucket_idle_ms (owner->bucket, now_ms) >= UNUSED_MS
         && now_ms - owner->asked_ms >= UNUSED_MS
         && jc_quotabucket_slots (owner->bucket, now_ms) == 0;
}
