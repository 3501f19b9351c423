/* Routing policies.  */

#include <string.h>

#include "serve/policy.h"

enum
{
  /* Bytes of the body that the affinity is computed from.  */
  AFFINITY_PREFIX_BYTES = 512,
  /* The preferred endpoint is chosen up to this load, relative to its share,
     and up to this cost, relative to the lowest.  */
  AFFINITY_LOAD_PERCENT = 125,
  AFFINITY_COST_PERCENT = 150
};

static struct jc_endpoint *
pick_round_robin (struct jc_policy *policy, const GPtrArray *endpoints,
                  uint64_t affinity, int64_t now_ms)
{
  (void)affinity;
  (void)now_ms;
  return g_ptr_array_index (endpoints, policy->rotation++ % endpoints->len);
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
  guint start = (guint)(policy->rotation++ % endpoints->len);
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

/* Return the rendezvous hash of ENDPOINT for AFFINITY.  The endpoint with the
   highest value is expected to have cached the prefix, and stays the highest
   when other endpoints come or go.  */
static uint64_t
affinity_rank (const struct jc_endpoint *endpoint, uint64_t affinity)
{
  uint64_t hash = affinity ^ (uint64_t)g_str_hash (endpoint->name) << 32;

  hash = (hash ^ hash >> 33) * G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  hash = (hash ^ hash >> 33) * G_GUINT64_CONSTANT (0xc4ceb9fe1a85ec53);
  return hash ^ hash >> 33;
}

static struct jc_endpoint *
affinity_endpoint (const GPtrArray *endpoints, uint64_t affinity)
{
  struct jc_endpoint *preferred = NULL;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (preferred == NULL
          || affinity_rank (endpoint, affinity)
                 > affinity_rank (preferred, affinity))
        preferred = endpoint;
    }
  return preferred;
}

/* Return true if the load of ENDPOINT is within AFFINITY_LOAD_PERCENT of its
   share of the load of ENDPOINTS.  */
static bool
load_is_bounded (struct jc_policy *policy, const GPtrArray *endpoints,
                 const struct jc_endpoint *endpoint, int64_t now_ms)
{
  uint64_t total_load = 1;
  uint64_t slots = 0;
  uint64_t own_load = jc_predict_load (policy->predict, endpoint, now_ms) + 1;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *other = g_ptr_array_index (endpoints, i);

      total_load += jc_predict_load (policy->predict, other, now_ms);
      slots += MAX (other->slots, 1);
    }
  return own_load * slots * 100
         <= total_load * MAX (endpoint->slots, 1) * AFFINITY_LOAD_PERCENT
                + slots * 100;
}

static struct jc_endpoint *
pick_predicted (struct jc_policy *policy, const GPtrArray *endpoints,
                uint64_t affinity, int64_t now_ms)
{
  guint start = (guint)(policy->rotation++ % endpoints->len);
  struct jc_endpoint *best = NULL;
  struct jc_endpoint *preferred;
  int64_t best_ms = 0;
  bool best_room = false;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint
          = g_ptr_array_index (endpoints, (start + i) % endpoints->len);
      int64_t ms = jc_predict_cost_ms (policy->predict, endpoint, now_ms);
      bool room = jc_predict_has_room (policy->predict, endpoint, now_ms)
                  && !jc_predict_is_slow (policy->predict, endpoint, now_ms);
      bool less = best != NULL && ms == best_ms
                  && endpoint->in_flight < best->in_flight;

      if (best == NULL || room > best_room
          || (room == best_room && (ms < best_ms || less)))
        {
          best = endpoint;
          best_room = room;
          best_ms = ms;
        }
    }
  if (affinity == 0)
    return best;
  preferred = affinity_endpoint (endpoints, affinity);
  if (load_is_bounded (policy, endpoints, preferred, now_ms)
      && jc_predict_cost_ms (policy->predict, preferred, now_ms) * 100
             <= best_ms * AFFINITY_COST_PERCENT)
    return preferred;
  return best;
}

static const struct jc_policy_class classes[]
    = { { .name = "predicted", .pick = pick_predicted },
        { .name = "nearest", .pick = pick_nearest },
        { .name = "round-robin", .pick = pick_round_robin },
        { .name = "least-inflight", .pick = pick_least_inflight } };

/* Initialize POLICY with the class called NAME.  Return false if it is
   unknown.  */
bool
jc_policy_init (struct jc_policy *policy, const char *name)
{
  memset (policy, 0, sizeof *policy);
  for (size_t i = 0; i < G_N_ELEMENTS (classes); i++)
    if (strcmp (classes[i].name, name) == 0)
      policy->klass = &classes[i];
  if (policy->klass == NULL)
    return false;
  policy->predict = jc_predict_new ();
  return true;
}

/* Release the resources of POLICY.  */
void
jc_policy_clear (struct jc_policy *policy)
{
  jc_predict_free (policy->predict);
  policy->predict = NULL;
}

/* Return the endpoint that POLICY chooses for AFFINITY, or NULL if ENDPOINTS is
   empty.  Endpoints that failed recently are chosen only if all did.  */
struct jc_endpoint *
jc_policy_pick (struct jc_policy *policy, const GPtrArray *endpoints,
                uint64_t affinity, int64_t now_ms)
{
  GPtrArray *healthy = g_ptr_array_new ();
  struct jc_endpoint *picked = NULL;

  for (guint i = 0; i < endpoints->len; i++)
    if (!jc_predict_is_avoided (policy->predict,
                                g_ptr_array_index (endpoints, i), now_ms))
      g_ptr_array_add (healthy, g_ptr_array_index (endpoints, i));
  if (endpoints->len > 0)
    picked = policy->klass->pick (
        policy, healthy->len > 0 ? healthy : endpoints, affinity, now_ms);
  g_ptr_array_free (healthy, TRUE);
  return picked;
}

/* Return the fastest of the slow ENDPOINTS that have room, or NULL.  */
struct jc_endpoint *
jc_policy_pick_slow (struct jc_policy *policy, const GPtrArray *endpoints,
                     int64_t now_ms)
{
  struct jc_endpoint *best = NULL;
  int64_t best_ms = INT64_MAX;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      int64_t ms = jc_predict_service_ms (policy->predict, endpoint, now_ms);

      if (ms >= best_ms
          || !jc_predict_is_slow (policy->predict, endpoint, now_ms)
          || !jc_predict_has_room (policy->predict, endpoint, now_ms)
          || jc_predict_is_avoided (policy->predict, endpoint, now_ms))
        continue;
      best = endpoint;
      best_ms = ms;
    }
  return best;
}

/* Return the affinity of a request whose body begins with LEN bytes at DATA, or
   0 if it is too short for a prefix worth caching.  */
uint64_t
jc_policy_affinity (const char *data, size_t len)
{
  uint64_t hash = G_GUINT64_CONSTANT (0xcbf29ce484222325);

  if (len < AFFINITY_PREFIX_BYTES)
    return 0;
  for (size_t i = 0; i < AFFINITY_PREFIX_BYTES; i++)
    hash = (hash ^ (unsigned char)data[i]) * G_GUINT64_CONSTANT (0x100000001b3);
  return MAX (hash, 1);
}
