/* Admission control: whether a request runs now, waits or is refused at
   once.  */

#ifndef JC_ADMIT_H
#define JC_ADMIT_H

#include "serve/predict.h"

/* Sum of the endpoints that may serve a request.  SERVED_PER_MS is their
   throughput in requests per ms, NORMAL_COUNT the number of those of normal
   speed.  HAS_ROOM is true if one of these has room, or any endpoint if there
   are none; SLOW_SERVICE_MS is the service time of the fastest slow endpoint
   that has room, 0 if none.  */
struct jc_endpoint_pool
{
  unsigned int endpoints;
  unsigned int normal_count;
  unsigned int slots;
  unsigned int load;
  int64_t service_ms;
  int64_t slow_service_ms;
  double served_per_ms;
  bool has_room;
};

/* The decision on a request.  */
enum jc_admission
{
  JC_ADMIT_RUN,
  JC_ADMIT_WAIT,
  JC_ADMIT_REFUSE
};

void jc_admit_sum_pool (struct jc_predict *predict, const GPtrArray *endpoints,
                        int64_t now_ms, struct jc_endpoint_pool *pool);
int64_t jc_admit_wait_ms (const struct jc_endpoint_pool *pool,
                          unsigned int ahead);
int64_t jc_admit_required_ms (const struct jc_endpoint_pool *pool);
bool jc_admit_prefers_slow (const struct jc_endpoint_pool *pool,
                            unsigned int ahead);
enum jc_admission jc_admit_decide (const struct jc_endpoint_pool *pool,
                                   unsigned int ahead, int64_t time_left_ms,
                                   int64_t *retry_after_ms);

#endif
