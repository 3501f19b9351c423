/* Predictions of load and latency.  The load of an endpoint is the number of
   this process's own attempts, which is known exactly, plus the load of other
   processes: the last report less what this process had in flight then.  The
   service time is a moving average of measured attempts.  */

#include <math.h>

#include "serve/predict.h"

enum
{
  /* Assumed service time until one is measured.  */
  SERVICE_DEFAULT_MS = 100,
  /* A new sample enters the moving average with weight 1 / SAMPLES.  */
  SERVICE_SAMPLES = 32,
  OTHERS_LOAD_SAMPLES = 8,
  /* Service time of a slow endpoint, relative to the average.  */
  SLOW_FACTOR = 2,
  /* An attempt abandoned as late counts as this many times its duration.  */
  LATE_FACTOR = 2,
  ESTIMATE_HALF_LIFE_MS = 10000,
  AVOID_FIRST_MS = 1000,
  AVOID_DOUBLINGS_MAX = 3,
  TIMEOUT_MIN_MS = 900,
  PEAK_DECAY_SAMPLES = 16,
  /* Estimates without a measurement for ESTIMATE_EXPIRE_MS are removed when
     there are more than ESTIMATES_PRUNE_COUNT.  */
  ESTIMATE_EXPIRE_MS = 600000,
  ESTIMATES_PRUNE_COUNT = 4096
};

/* Deviation from the average that is fully attributed to the endpoint.  */
static const double DEVIATION_SIGNIFICANT = 0.5;

/* What is known of one endpoint.  SERVICE_MS is the average service time of one
   slot; PEAK_MS is the longest recent time to the first byte and decays;
   ANSWERED_MS is when the endpoint last answered.  OTHERS_LOAD is the load of
   other processes in the report of REPORT_MS, OWN_LIMIT the number of requests
   that this process may have there.  */
struct estimate
{
  double service_ms;
  double peak_ms;
  int64_t measured_ms;
  int64_t answered_ms;
  int64_t avoid_until_ms;
  unsigned int failures;
  int64_t report_ms;
  double others_load;
  double average_others_load;
  double own_limit;
};

struct jc_predict
{
  GHashTable *estimates;
  GHashTable *typical;
};

/* Return a table without measurements.  */
struct jc_predict *
jc_predict_new (void)
{
  struct jc_predict *predict = g_new0 (struct jc_predict, 1);

  predict->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  predict->typical
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return predict;
}

/* Free PREDICT, which may be NULL.  */
void
jc_predict_free (struct jc_predict *predict)
{
  if (predict == NULL)
    return;
  g_hash_table_destroy (predict->estimates);
  g_hash_table_destroy (predict->typical);
  g_free (predict);
}

static gboolean
estimate_is_expired (gpointer key, gpointer value, gpointer now)
{
  const struct estimate *estimate = value;

  (void)key;
  return *(const int64_t *)now - estimate->measured_ms > ESTIMATE_EXPIRE_MS;
}

static struct estimate *
estimate_get (struct jc_predict *predict, const char *name, int64_t now_ms)
{
  struct estimate *estimate = g_hash_table_lookup (predict->estimates, name);

  if (estimate != NULL)
    return estimate;
  if (g_hash_table_size (predict->estimates) > ESTIMATES_PRUNE_COUNT)
    g_hash_table_foreach_remove (predict->estimates, estimate_is_expired,
                                 &now_ms);
  estimate = g_new0 (struct estimate, 1);
  estimate->measured_ms = now_ms;
  g_hash_table_insert (predict->estimates, g_strdup (name), estimate);
  return estimate;
}

/* Return a pointer to the average service time of SERVICE's endpoints, which is
   0 until one is measured.  */
static double *
typical_get (struct jc_predict *predict, const char *service)
{
  double *typical = g_hash_table_lookup (predict->typical, service);

  if (typical != NULL)
    return typical;
  typical = g_new0 (double, 1);
  g_hash_table_insert (predict->typical, g_strdup (service), typical);
  return typical;
}

/* Return the average time that a request to SERVICE takes once it runs, ms.  */
int64_t
jc_predict_typical_ms (struct jc_predict *predict, const char *service)
{
  double typical = *typical_get (predict, service);

  return typical >= 1 ? (int64_t)typical : SERVICE_DEFAULT_MS;
}

static unsigned int
slots_of (const struct jc_endpoint *endpoint)
{
  return MAX (endpoint->slots, 1);
}

/* Return how many requests this process may have at ENDPOINT, which reported
   TOTAL.  If slots are free: those it has plus half of the free slots, since
   other processes see the same report.  If the endpoint is overloaded: its own
   share of the slots.  */
static double
own_limit_of (const struct jc_endpoint *endpoint, double total)
{
  double full = slots_of (endpoint);

  if (total > full)
    return endpoint->in_flight * full / total;
  return endpoint->in_flight + (full - total) / 2;
}

/* Apply the last report of ENDPOINT if it is new.  All of the reported load
   that is not this process's own belongs to others.  */
static void
estimate_apply_report (struct estimate *estimate,
                       const struct jc_endpoint *endpoint)
{
  double total = (double)endpoint->running + endpoint->queued;

  if (estimate->report_ms == endpoint->reported_ms)
    return;
  estimate->others_load = MAX (total - endpoint->in_flight, 0);
  if (estimate->report_ms == 0)
    estimate->average_others_load = estimate->others_load;
  estimate->average_others_load
      += (estimate->others_load - estimate->average_others_load)
         / OTHERS_LOAD_SAMPLES;
  estimate->report_ms = endpoint->reported_ms;
  estimate->own_limit = own_limit_of (endpoint, total);
}

/* Return the number of requests at ENDPOINT.  The others' load in a report
   becomes outdated: once a service time has passed, their average load is the
   better estimate.  */
unsigned int
jc_predict_load (struct jc_predict *predict, const struct jc_endpoint *endpoint,
                 int64_t now_ms)
{
  struct estimate *estimate = estimate_get (predict, endpoint->name, now_ms);
  double service = MAX (estimate->service_ms, 1);
  double age = (double)(now_ms - endpoint->reported_ms);
  double others;

  estimate_apply_report (estimate, endpoint);
  others = estimate->average_others_load
           + (estimate->others_load - estimate->average_others_load) * service
                 / (service + MAX (age, 0));
  return endpoint->in_flight + (unsigned int)(others + 0.5);
}

/* Return true if the service time of ENDPOINT is much longer than the average
   of its service.  */
bool
jc_predict_is_slow (struct jc_predict *predict,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return jc_predict_service_ms (predict, endpoint, now_ms)
         > SLOW_FACTOR * jc_predict_typical_ms (predict, endpoint->service);
}

/* Return true if this process may send one more request to ENDPOINT without it
   being queued there.  */
bool
jc_predict_has_room (struct jc_predict *predict,
                     const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct estimate *estimate = estimate_get (predict, endpoint->name, now_ms);

  estimate_apply_report (estimate, endpoint);
  return endpoint->in_flight < MAX (estimate->own_limit, 1);
}

/* Return the weight of a measurement that was last updated IDLE_MS ago: it
   halves every ESTIMATE_HALF_LIFE_MS, linearly in between.  */
static double
decay_factor (int64_t idle_ms)
{
  double factor = 1;

  for (; idle_ms >= ESTIMATE_HALF_LIFE_MS && factor > 0.01;
       idle_ms -= ESTIMATE_HALF_LIFE_MS)
    factor /= 2;
  return factor * (1 - (double)MAX (idle_ms, 0) / (2 * ESTIMATE_HALF_LIFE_MS));
}

/* Return the part of DEVIATION, relative to the average, that is attributed to
   the endpoint: small deviations are mostly chance.  */
static double
significant_deviation (double deviation)
{
  return deviation * MIN (1, fabs (deviation) / DEVIATION_SIGNIFICANT);
}

/* Return the time that ENDPOINT takes for a request once it runs, ms.  Old
   measurements decay to the average of the service, so that an endpoint that
   was slow is tried again.  */
int64_t
jc_predict_service_ms (struct jc_predict *predict,
                       const struct jc_endpoint *endpoint, int64_t now_ms)
{
  const struct estimate *estimate
      = estimate_get (predict, endpoint->name, now_ms);
  double typical = (double)jc_predict_typical_ms (predict, endpoint->service);
  double factor = decay_factor (now_ms - estimate->measured_ms);
  double deviation;

  if (estimate->service_ms <= 0)
    return (int64_t)typical;
  deviation = significant_deviation (estimate->service_ms / typical - 1);
  return MAX ((int64_t)(typical * (1 + factor * deviation)), 1);
}

/* Return the time that a request sent to ENDPOINT now waits there, ms.  */
int64_t
jc_predict_wait_ms (struct jc_predict *predict,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  unsigned int ahead = jc_predict_load (predict, endpoint, now_ms);
  unsigned int slots = slots_of (endpoint);

  if (ahead < slots)
    return 0;
  return jc_predict_service_ms (predict, endpoint, now_ms)
         * (int64_t)(ahead - slots + 1) / (int64_t)slots;
}

/* Return the time until a request sent to ENDPOINT now completes, ms.  */
int64_t
jc_predict_finish_ms (struct jc_predict *predict,
                      const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return jc_predict_wait_ms (predict, endpoint, now_ms)
         + jc_predict_service_ms (predict, endpoint, now_ms);
}

/* Return the cost of sending a request to ENDPOINT now, ms: its service time,
   and its share of the load ahead of it.  The load counts even if slots seem
   free, since reports lag behind and a fuller batch is slower.  */
int64_t
jc_predict_cost_ms (struct jc_predict *predict,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  int64_t service = jc_predict_service_ms (predict, endpoint, now_ms);
  int64_t ahead = jc_predict_load (predict, endpoint, now_ms);

  return service + service * ahead / (int64_t)slots_of (endpoint);
}

/* Return the longest recent time to the first byte at ENDPOINT, ms; 0 if
   unknown.  */
int64_t
jc_predict_first_byte_peak_ms (struct jc_predict *predict,
                               const struct jc_endpoint *endpoint)
{
  const struct estimate *estimate
      = g_hash_table_lookup (predict->estimates, endpoint->name);

  return estimate != NULL ? (int64_t)estimate->peak_ms : 0;
}

/* Return true if ENDPOINT failed recently.  After the penalty time it gets one
   request, and more only once that was answered.  */
bool
jc_predict_is_avoided (struct jc_predict *predict,
                       const struct jc_endpoint *endpoint, int64_t now_ms)
{
  const struct estimate *estimate
      = g_hash_table_lookup (predict->estimates, endpoint->name);

  if (estimate == NULL || estimate->failures == 0)
    return false;
  return now_ms < estimate->avoid_until_ms || endpoint->in_flight > 0;
}

/* Note that the endpoint NAME could not be reached.  The penalty doubles with
   each failure, up to AVOID_DOUBLINGS_MAX times.  */
void
jc_predict_note_unreachable (struct jc_predict *predict, const char *name,
                             int64_t now_ms)
{
  struct estimate *estimate = estimate_get (predict, name, now_ms);
  unsigned int doublings = MIN (estimate->failures, AVOID_DOUBLINGS_MAX);

  if (now_ms < estimate->avoid_until_ms)
    return;
  estimate->failures++;
  estimate->avoid_until_ms = now_ms + ((int64_t)AVOID_FIRST_MS << doublings);
}

/* Note that the endpoint NAME sent no first byte to an attempt started at
   STARTED_MS.  It is not avoided if it has answered another attempt since, so
   that it is just busy, or if the attempt waited less than TIMEOUT_MIN_MS, so
   that it might still have answered.  */
void
jc_predict_note_timeout (struct jc_predict *predict, const char *name,
                         int64_t started_ms, int64_t now_ms)
{
  const struct estimate *estimate = estimate_get (predict, name, now_ms);

  if (now_ms - started_ms >= TIMEOUT_MIN_MS
      && estimate->answered_ms <= started_ms)
    jc_predict_note_unreachable (predict, name, now_ms);
}

/* Start RUN at ENDPOINT.  jc_predict_finish must be called for it.  */
void
jc_predict_start (struct jc_predict *predict, struct jc_endpoint *endpoint,
                  int64_t now_ms, struct jc_predict_attempt *run)
{
  run->name = g_strdup (endpoint->name);
  run->load_at_start = jc_predict_load (predict, endpoint, now_ms);
  run->started_ms = now_ms;
  endpoint->in_flight++;
}

static void
average_add (double *value, double sample)
{
  if (*value <= 0)
    *value = sample;
  else
    *value += (sample - *value) / SERVICE_SAMPLES;
}

/* Return ELAPSED_MS, the duration of RUN, scaled to one slot of ENDPOINT:
   without the time that it was queued.  */
static double
per_slot_ms (const struct jc_endpoint *endpoint,
             const struct jc_predict_attempt *run, double elapsed_ms)
{
  if (run->load_at_start >= slots_of (endpoint))
    elapsed_ms *= (double)slots_of (endpoint) / (run->load_at_start + 1);
  return MAX (elapsed_ms, 1);
}

/* Note that the first byte of RUN arrived at NOW_MS or, if not RECEIVED, that
   the attempt stopped waiting for it.  */
void
jc_predict_first_byte (struct jc_predict *predict,
                       const struct jc_predict_attempt *run, bool received,
                       int64_t now_ms)
{
  struct estimate *estimate = estimate_get (predict, run->name, now_ms);
  double elapsed_ms = (double)(now_ms - run->started_ms);

  if (elapsed_ms > estimate->peak_ms)
    estimate->peak_ms = elapsed_ms;
  else
    estimate->peak_ms -= (estimate->peak_ms - elapsed_ms) / PEAK_DECAY_SAMPLES;
  if (!received)
    return;
  estimate->answered_ms = now_ms;
  estimate->failures = 0;
}

/* End RUN with OUTCOME at ENDPOINT, which is NULL if it is no longer known.
   The name in RUN is freed.  */
void
jc_predict_finish (struct jc_predict *predict, struct jc_endpoint *endpoint,
                   struct jc_predict_attempt *run, enum jc_run_end outcome,
                   int64_t now_ms)
{
  struct estimate *estimate = estimate_get (predict, run->name, now_ms);
  double elapsed_ms = (double)(now_ms - run->started_ms);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (endpoint != NULL && outcome != JC_RUN_ABORTED)
    {
      elapsed_ms = per_slot_ms (endpoint, run, elapsed_ms);
      if (outcome == JC_RUN_LATE)
        elapsed_ms *= LATE_FACTOR;
      average_add (&estimate->service_ms, elapsed_ms);
      estimate->measured_ms = now_ms;
    }
  if (endpoint != NULL && outcome == JC_RUN_COMPLETE)
    average_add (typical_get (predict, endpoint->service), elapsed_ms);
  g_free (run->name);
  run->name = NULL;
}
