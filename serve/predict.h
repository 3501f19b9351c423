/* Measurements of endpoints by this process, and predictions from them.  */

#ifndef JC_PREDICT_H
#define JC_PREDICT_H

#include "member/endpoints.h"

struct jc_predict;

/* One attempt at an endpoint, from its start to its end.  LOAD_AT_START is the
   number of requests that were there before.  */
struct jc_predict_attempt
{
  char *name;
  unsigned int load_at_start;
  int64_t started_ms;
};

/* How an attempt ended: with a complete answer, abandoned as late, or aborted
   for another reason.  */
enum jc_run_end
{
  JC_RUN_COMPLETE,
  JC_RUN_LATE,
  JC_RUN_ABORTED
};

struct jc_predict *jc_predict_new (void);
void jc_predict_free (struct jc_predict *predict);
unsigned int jc_predict_load (struct jc_predict *predict,
                              const struct jc_endpoint *endpoint,
                              int64_t now_ms);
bool jc_predict_is_slow (struct jc_predict *predict,
                         const struct jc_endpoint *endpoint, int64_t now_ms);
bool jc_predict_has_room (struct jc_predict *predict,
                          const struct jc_endpoint *endpoint, int64_t now_ms);
int64_t jc_predict_service_ms (struct jc_predict *predict,
                               const struct jc_endpoint *endpoint,
                               int64_t now_ms);
int64_t jc_predict_typical_ms (struct jc_predict *predict, const char *service);
int64_t jc_predict_wait_ms (struct jc_predict *predict,
                            const struct jc_endpoint *endpoint, int64_t now_ms);
int64_t jc_predict_finish_ms (struct jc_predict *predict,
                              const struct jc_endpoint *endpoint,
                              int64_t now_ms);
int64_t jc_predict_cost_ms (struct jc_predict *predict,
                            const struct jc_endpoint *endpoint, int64_t now_ms);
int64_t jc_predict_first_byte_peak_ms (struct jc_predict *predict,
                                       const struct jc_endpoint *endpoint);
bool jc_predict_is_avoided (struct jc_predict *predict,
                            const struct jc_endpoint *endpoint, int64_t now_ms);
void jc_predict_note_unreachable (struct jc_predict *predict, const char *name,
                                  int64_t now_ms);
void jc_predict_note_timeout (struct jc_predict *predict, const char *name,
                              int64_t started_ms, int64_t now_ms);
void jc_predict_start (struct jc_predict *predict, struct jc_endpoint *endpoint,
                       int64_t now_ms, struct jc_predict_attempt *run);
void jc_predict_first_byte (struct jc_predict *predict,
                            const struct jc_predict_attempt *run, bool received,
                            int64_t now_ms);
void jc_predict_finish (struct jc_predict *predict,
                        struct jc_endpoint *endpoint,
                        struct jc_predict_attempt *run, enum jc_run_end outcome,
                        int64_t now_ms);

#endif
