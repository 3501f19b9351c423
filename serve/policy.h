/* Routing policies: which endpoint of a list gets a request.  */

#ifndef JC_POLICY_H
#define JC_POLICY_H

#include "member/endpoints.h"
#include "serve/predict.h"

struct jc_policy;

/* A policy.  PICK chooses one of ENDPOINTS (ordered by name, not empty) for a
   request whose prefix hashes to AFFINITY, 0 for none.  */
struct jc_policy_class
{
  const char *name;
  struct jc_endpoint *(*pick) (struct jc_policy *policy,
                               const GPtrArray *endpoints, uint64_t affinity,
                               int64_t now_ms);
};

struct jc_policy
{
  const struct jc_policy_class *klass;
  uint64_t rotation;
  struct jc_predict *predict;
};

bool jc_policy_init (struct jc_policy *policy, const char *name);
void jc_policy_clear (struct jc_policy *policy);
struct jc_endpoint *jc_policy_pick (struct jc_policy *policy,
                                    const GPtrArray *endpoints,
                                    uint64_t affinity, int64_t now_ms);
struct jc_endpoint *jc_policy_pick_slow (struct jc_policy *policy,
                                         const GPtrArray *endpoints,
                                         int64_t now_ms);
uint64_t jc_policy_affinity (const char *data, size_t len);

#endif
