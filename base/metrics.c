/* Counters, gauges and histograms.  */

#include <string.h>

#include "base/metrics.h"

enum
{
  /* Binary logarithm of JC_HIST_SUB_BUCKETS.  */
  SUB_BUCKET_BITS = 4
};

enum series_kind
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HIST
};

/* A name with one set of labels.  COUNT is the value of a counter, GAUGE that
   of a gauge; HIST is NULL except for histograms.  */
struct series
{
  enum series_kind kind;
  char *name;
  char *labels;
  uint64_t count;
  double gauge;
  struct jc_hist *hist;
};

/* BY_KEY finds a series by "NAME{LABELS"; ALL_SERIES holds all in order of
   creation, which is the order of the output.  */
struct jc_metrics
{
  GHashTable *by_key;
  GPtrArray *all_series;
};

/* Return the index of the bucket of VALUE, which may be JC_HIST_BUCKETS or
   more.  */
static unsigned int
hist_bucket_of (uint64_t value)
{
  int shift;

  if (value < JC_HIST_SUB_BUCKETS)
    return (unsigned int)value;
  shift = 63 - __builtin_clzll (value) - SUB_BUCKET_BITS;
  return (unsigned int)((shift + 1) * JC_HIST_SUB_BUCKETS
                        + (int)((value >> shift) - JC_HIST_SUB_BUCKETS));
}

/* Return the largest value that belongs to bucket INDEX.  */
static uint64_t
hist_bucket_max (unsigned int index)
{
  unsigned int shift;
  uint64_t sub;

  if (index < JC_HIST_SUB_BUCKETS)
    return index;
  shift = index / JC_HIST_SUB_BUCKETS - 1;
  sub = index % JC_HIST_SUB_BUCKETS + JC_HIST_SUB_BUCKETS;
  return ((sub + 1) << shift) - 1;
}

/* Add VALUE to HIST.  */
void
jc_hist_add (struct jc_hist *hist, uint64_t value)
{
  unsigned int index = hist_bucket_of (value);

  if (index >= JC_HIST_BUCKETS)
    index = JC_HIST_BUCKETS - 1;
  hist->buckets[index]++;
  hist->count++;
  hist->sum += value;
  if (value > hist->max)
    hist->max = value;
}

/* Return an upper bound for quantile Q (0 to 1) of HIST, at most 1/16 above the
   exact value, or 0 if HIST is empty.  */
uint64_t
jc_hist_quantile (const struct jc_hist *hist, double q)
{
  uint64_t rank = (uint64_t)(q * (double)hist->count + 0.5);
  uint64_t seen = 0;

  if (hist->count == 0)
    return 0;
  if (rank == 0)
    rank = 1;
  for (unsigned int i = 0; i < JC_HIST_BUCKETS; i++)
    {
      seen += hist->buckets[i];
      if (seen >= rank)
        return MIN (hist_bucket_max (i), hist->max);
    }
  return hist->max;
}

/* Add all values of FROM to INTO.  */
void
jc_hist_merge (struct jc_hist *into, const struct jc_hist *from)
{
  for (unsigned int i = 0; i < JC_HIST_BUCKETS; i++)
    into->buckets[i] += from->buckets[i];
  into->count += from->count;
  into->sum += from->sum;
  into->max = MAX (into->max, from->max);
}

static void
series_free (gpointer data)
{
  struct series *series = data;

  g_free (series->name);
  g_free (series->labels);
  g_free (series->hist);
  g_free (series);
}

/* Return a set of metrics without any series.  */
struct jc_metrics *
jc_metrics_new (void)
{
  struct jc_metrics *metrics = g_new0 (struct jc_metrics, 1);

  metrics->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  metrics->all_series = g_ptr_array_new_with_free_func (series_free);
  return metrics;
}

/* Free METRICS and all of its series.  */
void
jc_metrics_free (struct jc_metrics *metrics)
{
  g_hash_table_destroy (metrics->by_key);
  g_ptr_array_free (metrics->all_series, TRUE);
  g_free (metrics);
}

/* Return the series NAME with LABELS, created as KIND if it does not exist.  */
static struct series *
metrics_get_series (struct jc_metrics *metrics, enum series_kind kind,
                    const char *name, const char *labels)
{
  char *key = g_strconcat (name, "{", labels, NULL);
  struct series *series = g_hash_table_lookup (metrics->by_key, key);

  if (series != NULL)
    {
      g_free (key);
      return series;
    }
  series = g_new0 (struct series, 1);
  series->kind = kind;
  series->name = g_strdup (name);
  series->labels = g_strdup (labels);
  if (kind == SERIES_HIST)
    series->hist = g_new0 (struct jc_hist, 1);
  g_hash_table_insert (metrics->by_key, key, series);
  g_ptr_array_add (metrics->all_series, series);
  return series;
}

/* Add INCREMENT to the counter NAME with LABELS.  */
void
jc_metrics_counter_add (struct jc_metrics *metrics, const char *name,
                        const char *labels, uint64_t increment)
{
  metrics_get_series (metrics, SERIES_COUNTER, name, labels)->count
      += increment;
}

/* Set the gauge NAME with LABELS to VALUE.  */
void
jc_metrics_gauge_set (struct jc_metrics *metrics, const char *name,
                      const char *labels, double value)
{
  metrics_get_series (metrics, SERIES_GAUGE, name, labels)->gauge = value;
}

/* Add VALUE to the histogram NAME with LABELS.  */
void
jc_metrics_observe (struct jc_metrics *metrics, const char *name,
                    const char *labels, uint64_t value)
{
  jc_hist_add (metrics_get_series (metrics, SERIES_HIST, name, labels)->hist,
               value);
}

/* Return the value of the counter NAME with LABELS, or the number of values in
   the histogram; 0 if there is no such series.  */
uint64_t
jc_metrics_value (const struct jc_metrics *metrics, const char *name,
                  const char *labels)
{
  char *key = g_strconcat (name, "{", labels, NULL);
  const struct series *series = g_hash_table_lookup (metrics->by_key, key);

  g_free (key);
  if (series == NULL)
    return 0;
  return series->hist != NULL ? series->hist->count : series->count;
}

/* Append SERIES, a histogram, to OUT as quantiles, sum and count.  */
static void
series_append_hist (const struct series *series, GString *out)
{
  static const double quantiles[] = { 0.5, 0.9, 0.95, 0.99, 0.999 };
  const char *comma = series->labels[0] != '\0' ? "," : "";

  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (out,
                            "%s{%s%squantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
                            series->name, series->labels, comma, quantiles[i],
                            jc_hist_quantile (series->hist, quantiles[i]));
  g_string_append_printf (out, "%s_sum{%s} %" G_GUINT64_FORMAT "\n",
                          series->name, series->labels, series->hist->sum);
  g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
                          series->name, series->labels, series->hist->count);
}

/* Append all series of METRICS to OUT in the text format of Prometheus.  */
void
jc_metrics_append_text (const struct jc_metrics *metrics, GString *out)
{
  for (guint i = 0; i < metrics->all_series->len; i++)
    {
      const struct series *series = g_ptr_array_index (metrics->all_series, i);

      if (series->kind == SERIES_HIST)
        series_append_hist (series, out);
      else if (series->kind == SERIES_GAUGE)
        g_string_append_printf (out, "%s{%s} %g\n", series->name,
                                series->labels, series->gauge);
      else
        g_string_append_printf (out, "%s{%s} %" G_GUINT64_FORMAT "\n",
                                series->name, series->labels, series->count);
    }
}
