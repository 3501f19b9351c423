/* Predictions.  The work at an endpoint is this process's own attempts, which
   it knows exactly, and the others' as last reported less what was its own
   then.  The service time is an average of what it measured.  */

#include <math.h>

#include "serve/predict.h"

enum
{
  SERVICE_UNKNOWN_MS = 100,
  SERVICE_WEIGHT = 32,
  OTHERS_WEIGHT = 8,
  SLOW_FACTOR = 2,
  LATE_FACTOR = 2,
  FORGET_HALF_MS = 10000,
  AVOID_MS = 1000,
  MISSED_LEAST_MS = 900,
  AVOID_DOUBLINGS_MAX = 3,
  PEAK_SHARE = 16,
  KEEP_MS = 600000,
  PRUNE_ABOVE = 4096
};

static const double DEVIATION_CLEAR = 0.5;

/* What is known of one endpoint.  SERVICE_MS is for one slot; PEAK_MS is the
   longest first byte, which fades.  HEARD_MS is when it last answered.
   OWN_AT_REPORT is what this process had in flight when the report of REPORT_MS
   came.  */
struct estimate
{
  double service_ms;
  double peak_ms;
  int64_t touched_ms;
  int64_t heard_ms;
  int64_t avoid_until_ms;
  unsigned int failures;
  int64_t report_ms;
  double others;
  double usual_others;
  double window;
};

struct jc_predict
{
  GHashTable *estimates;
  GHashTable *typical;
};

/* Return a table that knows nothing.  */
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

/* Free PREDICT.  */
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
estimate_is_old (gpointer key, gpointer value, gpointer now)
{
  const struct estimate *estimate = value;

  (void)key;
  return *(const int64_t *)now - estimate->touched_ms > KEEP_MS;
}

static struct estimate *
estimate_of (struct jc_predict *predict, const char *name, int64_t now_ms)
{
  struct estimate *estimate = g_hash_table_lookup (predict->estimates, name);

  if (estimate != NULL)
    return estimate;
  if (g_hash_table_size (predict->estimates) > PRUNE_ABOVE)
    g_hash_table_foreach_remove (predict->estimates, estimate_is_old, &now_ms);
  estimate = g_new0 (struct estimate, 1);
  estimate->touched_ms = now_ms;
  g_hash_table_insert (predict->estimates, g_strdup (name), estimate);
  return estimate;
}

/* Return the average service time of SERVICE's endpoints.  */
static double *
typical_of (struct jc_predict *predict, const char *service)
{
  double *typical = g_hash_table_lookup (predict->typical, service);

  if (typical != NULL)
    return typical;
  typical = g_new0 (double, 1);
  g_hash_table_insert (predict->typical, g_strdup (service), typical);
  return typical;
}

/* Return the time that a request to SERVICE takes once it runs, ms.  */
int64_t
jc_predict_typical_ms (struct jc_predict *predict, const char *service)
{
  double typical = *typical_of (predict, service);

  return typical >= 1 ? (int64_t)typical : SERVICE_UNKNOWN_MS;
}

static unsigned int
slots_of (const struct jc_endpoint *endpoint)
{
  return MAX (endpoint->slots, 1);
}

/* Return how many of its own this process may have at ENDPOINT, which
   reported TOTAL: a half of what is free beside those it has, since other
   processes see the same report, or its share of what is not too much.  */
static double
window_of (const struct jc_endpoint *endpoint, double total)
{
  double full = slots_of (endpoint);

  if (total > full)
    return endpoint->in_flight * full / total;
  return endpoint->in_flight + (full - total) / 2;
}

/* Take the report of ENDPOINT where it is new: what is not this process's own
   is others'.  */
static void
estimate_report (struct estimate *estimate, const struct jc_endpoint *endpoint)
{
  double total = (double)endpoint->running + endpoint->queued;

  if (estimate->report_ms == endpoint->reported_ms)
    return;
  estimate->others = MAX (total - endpoint->in_flight, 0);
  if (estimate->report_ms == 0)
    estimate->usual_others = estimate->others;
  estimate->usual_others
      += (estimate->others - estimate->usual_others) / OTHERS_WEIGHT;
  estimate->report_ms = endpoint->reported_ms;
  estimate->window = window_of (endpoint, total);
}

/* Return the number of requests at ENDPOINT.  A report tells of the others'
   work at its time; once a service time has passed, what they usually have
   there tells more.  */
unsigned int
jc_predict_load (struct jc_predict *predict, const struct jc_endpoint *endpoint,
                 int64_t now_ms)
{
  struct estimate *estimate = estimate_of (predict, endpoint->name, now_ms);
  double service = MAX (estimate->service_ms, 1);
  double age = (double)(now_ms - endpoint->reported_ms);
  double others;

  estimate_report (estimate, endpoint);
  others = estimate->usual_others
           + (estimate->others - estimate->usual_others) * service
                 / (service + MAX (age, 0));
  return endpoint->in_flight + (unsigned int)(others + 0.5);
}

/* Tell whether ENDPOINT takes much longer than its service usually does.  */
bool
jc_predict_is_slow (struct jc_predict *predict,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return jc_predict_service_ms (predict, endpoint, now_ms)
         > SLOW_FACTOR * jc_predict_typical_ms (predict, endpoint->service);
}

/* Tell whether this process may send one more to ENDPOINT without a queue
   there.  */
bool
jc_predict_has_room (struct jc_predict *predict,
                     const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct estimate *estimate = estimate_of (predict, endpoint->name, now_ms);

  estimate_report (estimate, endpoint);
  return endpoint->in_flight < MAX (estimate->window, 1);
}

/* Return the share of a measurement that still counts after IDLE_MS without
   a new one: a half each FORGET_HALF_MS.  */
static double
share_kept (int64_t idle_ms)
{
  double share = 1;

  for (; idle_ms >= FORGET_HALF_MS && share > 0.01; idle_ms -= FORGET_HALF_MS)
    share /= 2;
  return share * (1 - (double)MAX (idle_ms, 0) / (2 * FORGET_HALF_MS));
}

/* Return the part of DEVIATION, a share of the average, that is taken for the
   endpoint's own: small ones are mostly chance.  */
static double
deviation_trusted (double deviation)
{
  return deviation * MIN (1, fabs (deviation) / DEVIATION_CLEAR);
}

/* Return the time that ENDPOINT takes for a request once it runs, ms.  What
   was measured long ago gives way to the service's average, so that an
   endpoint that was slow is tried again.  */
int64_t
jc_predict_service_ms (struct jc_predict *predict,
                       const struct jc_endpoint *endpoint, int64_t now_ms)
{
  const struct estimate *estimate
      = estimate_of (predict, endpoint->name, now_ms);
  double typical = (double)jc_predict_typical_ms (predict, endpoint->service);
  double share = share_kept (now_ms - estimate->touched_ms);
  double deviation;

  if (estimate->service_ms <= 0)
    return (int64_t)typical;
  deviation = deviation_trusted (estimate->service_ms / typical - 1);
  return MAX ((int64_t)(typical * (1 + share * deviation)), 1);
}

/* Return the time that a request sent to ENDPOINT now would wait there, ms. */
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

/* Return the time after which a request sent to ENDPOINT now would be done,
   ms.  */
int64_t
jc_predict_finish_ms (struct jc_predict *predict,
                      const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return jc_predict_wait_ms (predict, endpoint, now_ms)
         + jc_predict_service_ms (predict, endpoint, now_ms);
}

/* Return what a request sent to ENDPOINT now costs there, in ms: its service
   time, and its share of the work before it, also where slots seem free, since
   reports are old and a fuller batch is slower.  */
int64_t
jc_predict_cost_ms (struct jc_predict *predict,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  int64_t service = jc_predict_service_ms (predict, endpoint, now_ms);
  int64_t ahead = jc_predict_load (predict, endpoint, now_ms);

  return service + service * ahead / (int64_t)slots_of (endpoint);
}

/* Return the longest that ENDPOINT lately took to its first byte, ms; 0 where
   that is not known.  */
int64_t
jc_predict_first_byte_peak_ms (struct jc_predict *predict,
                               const struct jc_endpoint *endpoint)
{
  const struct estimate *estimate
      = g_hash_table_lookup (predict->estimates, endpoint->name);

  return estimate != NULL ? (int64_t)estimate->peak_ms : 0;
}

/* Tell whether ENDPOINT failed lately.  Once the time is over it gets one
   request, and more only when that was answered.  */
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

/* Note that the endpoint NAME could not be reached.  */
void
jc_predict_note_unreachable (struct jc_predict *predict, const char *name,
                             int64_t now_ms)
{
  struct estimate *estimate = estimate_of (predict, name, now_ms);
  unsigned int doublings = MIN (estimate->failures, AVOID_DOUBLINGS_MAX);

  if (now_ms < estimate->avoid_until_ms)
    return;
  estimate->failures++;
  estimate->avoid_until_ms = now_ms + ((int64_t)AVOID_MS << doublings);
}

/* Note that the endpoint NAME gave no first byte to an attempt started at
   STARTED_MS.  One that has answered another attempt since is busy, and one
   that had little time may yet answer; neither is avoided.  */
void
jc_predict_note_timeout (struct jc_predict *predict, const char *name,
                         int64_t started_ms, int64_t now_ms)
{
  const struct estimate *estimate = estimate_of (predict, name, now_ms);

  if (now_ms - started_ms >= MISSED_LEAST_MS
      && estimate->heard_ms <= started_ms)
    jc_predict_note_unreachable (predict, name, now_ms);
}

/* Begin RUN at ENDPOINT.  */
void
jc_predict_start (struct jc_predict *predict, struct jc_endpoint *endpoint,
                  int64_t now_ms, struct jc_run *run)
{
  run->name = g_strdup (endpoint->name);
  run->load_at_start = jc_predict_load (predict, endpoint, now_ms);
  run->started_ms = now_ms;
  endpoint->in_flight++;
}

static void
average (double *value, double sample)
{
  if (*value <= 0)
    *value = sample;
  else
    *value += (sample - *value) / SERVICE_WEIGHT;
}

/* Return TOOK_MS of RUN as the time of one slot of ENDPOINT.  */
static double
slot_time (const struct jc_endpoint *endpoint, const struct jc_run *run,
           double took_ms)
{
  if (run->load_at_start >= slots_of (endpoint))
    took_ms *= (double)slots_of (endpoint) / (run->load_at_start + 1);
  return MAX (took_ms, 1);
}

/* The first byte of RUN came at NOW_MS, or was given up on where it was not
   HEARD.  */
void
jc_predict_first_byte (struct jc_predict *predict, const struct jc_run *run,
                       bool heard, int64_t now_ms)
{
  struct estimate *estimate = estimate_of (predict, run->name, now_ms);
  double took_ms = (double)(now_ms - run->started_ms);

  if (took_ms > estimate->peak_ms)
    estimate->peak_ms = took_ms;
  else
    estimate->peak_ms -= (estimate->peak_ms - took_ms) / PEAK_SHARE;
  if (!heard)
    return;
  estimate->heard_ms = now_ms;
  estimate->failures = 0;
}

/* End RUN at ENDPOINT, which is NULL where it is forgotten; RUN's name is
   freed.  */
void
jc_predict_finish (struct jc_predict *predict, struct jc_endpoint *endpoint,
                   struct jc_run *run, enum jc_run_end how, int64_t now_ms)
{
  struct estimate *estimate = estimate_of (predict, run->name, now_ms);
  double took_ms = (double)(now_ms - run->started_ms);

  if (endpoint != NULL && endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (endpoint != NULL && how != JC_RUN_ABORTED)
    {
      took_ms = slot_time (endpoint, run, took_ms);
      if (how == JC_RUN_LATE)
        took_ms *= LATE_FACTOR;
      average (&estimate->service_ms, took_ms);
      estimate->touched_ms = now_ms;
    }
  if (endpoint != NULL && how == JC_RUN_COMPLETE)
    average (typical_of (predict, endpoint->service), took_ms);
  g_free (run->name);
  run->name = NULL;
}
