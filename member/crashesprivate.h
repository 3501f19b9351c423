/* Internals of the evidence of crashes, shared by crashes.c,
   crashessnapshot.c and crashproofs.c.  */

#ifndef JC_CRASHESPRIVATE_H
#define JC_CRASHESPRIVATE_H

#include "member/crashes.h"

enum
{
  /* Crashes that are remembered, and as many that are not proved; older ones
     no longer count.  */
  CRASHES_KEPT = 64,
  REQUESTS_PER_CRASH_MAX = 1024,
  FINGERPRINTS_MAX = 16,
  /* Endpoints that one request is sent to.  */
  REPEATS_MAX = 4,
  /* A block lasts two days and 16 h at most.  */
  DOUBLINGS_MAX = 6
};

struct request
{
  uint64_t id;
  bool starting;
  unsigned int count;
  uint64_t fingerprints[FINGERPRINTS_MAX];
};

/* A crash and the requests that ran there.  BATCH is the number of the change
   that reported it first, RECORDED_MS when that was applied, local time.  It
   counts once the process is PROVED to have ended.  EXPLAINED means that one of
   the requests is blocked.  */
struct crash
{
  char *endpoint;
  uint64_t incarnation;
  uint64_t batch;
  int64_t recorded_ms;
  GArray *requests;
  bool proved;
  bool explained;
};

/* The score of a fingerprint: what crashes of BATCH, the latest one that it was
   beside, and of earlier ones add to it.  CRASH is the latest of them.  */
struct score
{
  const struct crash *crash;
  uint64_t batch;
  unsigned int in_batch;
  unsigned int earlier;
};

/* A blocked fingerprint: the change that blocked it or reported its last crash,
   when that was applied, local time, and how often its block had ended by time
   before.  */
struct block
{
  uint64_t batch;
  int64_t applied_ms;
  unsigned int expiries;
};

/* BATCH counts the changes applied.  ANSWERED maps fingerprints to the change
   that reported a whole answer: earlier crashes don't count against them. KNOWN
   maps those to a change that had a whole answer shortly before their crashes.
   BLOCKED maps fingerprints to struct block, EXPIRED those whose block ended by
   time to how often it did.  SCORES, which is derived from the
   others, maps them to struct score.  */
struct jc_crashes
{
  unsigned int block_score;
  uint64_t batch;
  GPtrArray *list;
  GHashTable *answered;
  GHashTable *known;
  GHashTable *blocked;
  GHashTable *expired;
  GHashTable *scores;
};

void jc_crashes_table_set (GHashTable *table, uint64_t key, int64_t value);
struct crash *jc_crashes_add (struct jc_crashes *crashes, const char *endpoint,
                              uint64_t incarnation, uint64_t batch,
                              int64_t now_ms);
void jc_crashes_set_block (struct jc_crashes *crashes, uint64_t fingerprint,
                           int64_t now_ms);
struct crash *jc_crashes_find (const struct jc_crashes *crashes,
                               const char *endpoint, uint64_t incarnation);
void jc_crashes_make_room (struct jc_crashes *crashes, bool proved);
void jc_crashes_update (struct jc_crashes *crashes, int64_t now_ms);
void jc_crashes_update_scores (struct jc_crashes *crashes);

#endif
