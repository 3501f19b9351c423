/* Counters, gauges and log-linear histograms, each with one label set, and
   their text form for GET /metrics.  */

#ifndef JC_METRICS_H
#define JC_METRICS_H

#include <glib.h>
#include <stdint.h>

enum
{
  JC_HIST_SUB_BUCKETS = 16,
  JC_HIST_BUCKETS = 16 * 60
};

/* Counts of values in buckets whose width is at most 1/16 of the value.
   Values are whole numbers of 0 or more, in the unit of the name.  */
struct jc_hist
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[JC_HIST_BUCKETS];
};

struct jc_metrics;

void jc_hist_add (struct jc_hist *hist, uint64_t value);
uint64_t jc_hist_quantile (const struct jc_hist *hist, double q);
void jc_hist_merge (struct jc_hist *into, const struct jc_hist *from);

struct jc_metrics *jc_metrics_new (void);
void jc_metrics_free (struct jc_metrics *metrics);
void jc_metrics_counter_add (struct jc_metrics *metrics, const char *name,
                             const char *labels, uint64_t by);
void jc_metrics_gauge_set (struct jc_metrics *metrics, const char *name,
                           const char *labels, double value);
void jc_metrics_observe (struct jc_metrics *metrics, const char *name,
                         const char *labels, uint64_t value);
uint64_t jc_metrics_value (const struct jc_metrics *metrics, const char *name,
                           const char *labels);
void jc_metrics_append_text (const struct jc_metrics *metrics, GString *out);

#endif
