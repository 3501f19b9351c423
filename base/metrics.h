/* Counters, gauges and log-linear histograms with labels, and the text of GET
   /metrics.  LABELS is a string such as `product="kassa"`, which is written as
   it is, or "" for none.  A name with one set of labels is a series; it is
   created on first use.  */

#ifndef JC_METRICS_H
#define JC_METRICS_H

#include <glib.h>
#include <stdint.h>

enum
{
  /* Buckets of equal width for each power of two.  */
  JC_HIST_SUB_BUCKETS = 16,
  /* Covers values below 2^63; larger ones count in the last bucket.  */
  JC_HIST_BUCKETS = 16 * 60
};

/* Histogram with buckets no wider than 1/16 of the values in them.  The unit of
   values is that in the name of the metric.  */
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
                             const char *labels, uint64_t increment);
void jc_metrics_gauge_set (struct jc_metrics *metrics, const char *name,
                           const char *labels, double value);
void jc_metrics_observe (struct jc_metrics *metrics, const char *name,
                         const char *labels, uint64_t value);
uint64_t jc_metrics_value (const struct jc_metrics *metrics, const char *name,
                           const char *labels);
void jc_metrics_append_text (const struct jc_metrics *metrics, GString *out);

#endif
