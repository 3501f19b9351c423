/* Suspects: what one entry instance knows of requests that may crash endpoints.
   It gathers which of its attempts ran at an endpoint that crashed, follows
   which fingerprints are suspected or blocked, and reports whole answers to
   requests that are suspected.  What it has seen itself counts too while no
   state instance reaches it, so that it still stops.  */

#ifndef JC_SUSPECTS_H
#define JC_SUSPECTS_H

#include "member/crashproofs.h"
#include "serve/fingerprint.h"

struct jc_suspects;

/* An attempt that an incarnation of an endpoint broke off.  REQUEST is a hash
   of the request's id, 0 for none.  STARTING tells that its answer had not
   begun, or only just.  */
struct jc_broken_attempt
{
  uint64_t request;
  const char *endpoint;
  uint64_t incarnation;
  const struct jc_fingerprints *fingerprints;
  bool starting;
};

/* Called for each endpoint that may have crashed.  Return what its reports say
   of the crash, which was noticed at SINCE_MS.  */
typedef enum jc_crash_verdict jc_suspects_judge_fn (void *ctx,
                                                    const char *endpoint,
                                                    uint64_t incarnation,
                                                    int64_t since_ms);

struct jc_suspects *jc_suspects_new (void);
void jc_suspects_free (struct jc_suspects *suspects);
bool jc_suspects_note_broken (struct jc_suspects *suspects,
                              const struct jc_broken_attempt *attempt,
                              int64_t now_ms);
void jc_suspects_note_crashed (struct jc_suspects *suspects,
                               const char *endpoint, uint64_t incarnation);
void jc_suspects_check (struct jc_suspects *suspects,
                        jc_suspects_judge_fn *judge, void *ctx, bool alone,
                        int64_t now_ms);
void jc_suspects_note_answered (struct jc_suspects *suspects,
                                const struct jc_fingerprints *fingerprints,
                                int64_t now_ms);
void jc_suspects_update (struct jc_suspects *suspects,
                         const struct rpc_suspects *update, int64_t now_ms);
bool jc_suspects_find_blocked (const struct jc_suspects *suspects,
                               const struct jc_fingerprints *fingerprints,
                               uint64_t *blocked);
bool jc_suspects_is_suspected (const struct jc_suspects *suspects,
                               const struct jc_fingerprints *fingerprints);
unsigned int jc_suspects_count (const struct jc_suspects *suspects,
                                enum rpc_suspicion state);
void jc_suspects_list (const struct jc_suspects *suspects, GArray *rows);
bool jc_suspects_clear (struct jc_suspects *suspects, uint64_t fingerprint);
bool jc_suspects_take_report (struct jc_suspects *suspects, int64_t now_ms,
                              struct rpc_crash_changes *out);
void jc_suspects_free_report (struct rpc_crash_changes *report);

#endif
