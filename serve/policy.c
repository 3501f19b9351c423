/* Routing policies.  */

#include <string.h>

#include "serve/policy.h"

static struct jc_endpoint *
pick_round_robin (struct jc_policy *policy, const GPtrArray *endpoints,
                  uint64_t affinity, int64_t now_ms)
{
  (void)affinity;
  (void)now_ms;
  return g_ptr_array_index (endpoints, policy->turn++ % endpoints->len);
}

static struct jc_endpoint *
pick_nearest (struct jc_policy *policy, const GPtrArray *endpoints,
              uint64_t affinity, int64_t now_ms)
{
  (void)policy;
  (void)now_ms;
  return g_ptr_array_index (endpoints, affinity % endpoints->len);
}

static struct jc_endpoint *
pick_least_inflight (struct jc_policy *policy, const GPtrArray *endpoints,
                     uint64_t affinity, int64_t now_ms)
{
  guint start = (guint)(policy->turn++ % endpoints->len);
  struct jc_endpoint *best = NULL;

  (void)affinity;
  (void)now_ms;
  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint
          = g_ptr_array_index (endpoints, (start + i) % endpoints->len);

      if (best == NULL || endpoint->in_flight < best->in_flight)
        best = endpoint;
    }
  return best;
}

static const struct jc_policy_class classes[]
    = { { .name = "predicted", .pick = pick_least_inflight },
        { .name = "nearest", .pick = pick_nearest },
        { .name = "round-robin", .pick = pick_round_robin },
        { .name = "least-inflight", .pick = pick_least_inflight } };

/* Make POLICY the one called NAME.  Return false where there is none.  */
bool
jc_policy_init (struct jc_policy *policy, const char *name)
{
  memset (policy, 0, sizeof *policy);
  for (size_t i = 0; i < G_N_ELEMENTS (classes); i++)
    if (strcmp (classes[i].name, name) == 0)
      policy->klass = &classes[i];
  return policy->klass != NULL;
}

/* Return the endpoint that POLICY chooses, or NULL where ENDPOINTS is
   empty.  */
struct jc_endpoint *
jc_policy_pick (struct jc_policy *policy, const GPtrArray *endpoints,
                uint64_t affinity, int64_t now_ms)
{
  if (endpoints->len == 0)
    return NULL;
  return policy->klass->pick (policy, endpoints, affinity, now_ms);
}
