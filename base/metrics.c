/* Counters, gauges and histograms.  */

#include <string.h>

#include "base/metrics.h"

enum
{
  SUB_BITS = 4
};

enum series_kind
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HIST
};

/* One series: a name with one label set.  */
struct series
{
  enum series_kind kind;
  char *name;
  char *labels;
  uint64_t count;
  double gauge;
  struct jc_hist *hist;
};

struct jc_metrics
{
  GHashTable *by_key;
  GPtrArray *order;
};

static unsigned int
hist_index (uint64_t value)
{
  int shift;

  if (value < JC_HIST_SUB_BUCKETS)
    return (unsigned int)value;
  shift = 63 - __builtin_clzll (value) - SUB_BITS;
  return (unsigned int)((shift + 1) * JC_HIST_SUB_BUCKETS
                        + (int)((value >> shift) - JC_HIST_SUB_BUCKETS));
}

static uint64_t
hist_upper (unsigned int index)
{
  unsigned int shift;
  uint64_t sub;

  if (index < JC_HIST_SUB_BUCKETS)
    return index;
  shift = index / JC_HIST_SUB_BUCKETS - 1;
  sub = index % JC_HIST_SUB_BUCKETS + JC_HIST_SUB_BUCKETS;
  return ((sub + 1) << shift) - 1;
}

/* Count VALUE in HIST.  */
void
jc_hist_add (struct jc_hist *hist, uint64_t value)
{
  unsigned int index = hist_index (value);

  if (index >= JC_HIST_BUCKETS)
    index = JC_HIST_BUCKETS - 1;
  hist->buckets[index]++;
  hist->count++;
  hist->sum += value;
  if (value > hist->max)
    hist->max = value;
}

/* Return an upper bound of the Q quantile (0 to 1) of HIST, at most 1/16
   above the true one; 0 for an empty histogram.  */
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
        return MIN (hist_upper (i), hist->max);
    }
  return hist->max;
}

/* Add all that FROM counted to INTO.  */
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

/* Return an empty set of series.  */
struct jc_metrics *
jc_metrics_new (void)
{
  struct jc_metrics *metrics = g_new0 (struct jc_metrics, 1);

  metrics->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  metrics->order = g_ptr_array_new_with_free_func (series_free);
  return metrics;
}

/* Free METRICS and all of its series.  */
void
jc_metrics_free (struct jc_metrics *metrics)
{
  g_hash_table_destroy (metrics->by_key);
  g_ptr_array_free (metrics->order, TRUE);
  g_free (metrics);
}

static struct series *
metrics_series (struct jc_metrics *metrics, enum series_kind kind,
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
  g_ptr_array_add (metrics->order, series);
  return series;
}

/* Add BY to the counter NAME with LABELS, such as `product="kassa"`; LABELS
   may be empty.  */
void
jc_metrics_counter_add (struct jc_metrics *metrics, const char *name,
                        const char *labels, uint64_t by)
{
  metrics_series (metrics, SERIES_COUNTER, name, labels)->count += by;
}

/* Set the gauge NAME with LABELS to VALUE.  */
void
jc_metrics_gauge_set (struct jc_metrics *metrics, const char *name,
                      const char *labels, double value)
{
  metrics_series (metrics, SERIES_GAUGE, name, labels)->gauge = value;
}

/* Count VALUE in the histogram NAME with LABELS.  */
void
jc_metrics_observe (struct jc_metrics *metrics, const char *name,
                    const char *labels, uint64_t value)
{
  jc_hist_add (metrics_series (metrics, SERIES_HIST, name, labels)->hist,
               value);
}

/* Return the value of the counter NAME with LABELS, or the count of the
   histogram; 0 where there is none.  */
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

static void
series_print_hist (const struct series *series, GString *out)
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

/* Append all series of METRICS to OUT in the usual text format.  */
void
jc_metrics_append_text (const struct jc_metrics *metrics, GString *out)
{
  for (guint i = 0; i < metrics->order->len; i++)
    {
      const struct series *series = g_ptr_array_index (metrics->order, i);

      if (series->kind == SERIES_HIST)
        series_print_hist (series, out);
      else if (series->kind == SERIES_GAUGE)
        g_string_append_printf (out, "%s{%s} %g\n", series->name,
                                series->labels, series->gauge);
      else
        g_string_append_printf (out, "%s{%s} %" G_GUINT64_FORMAT "\n",
                                series->name, series->labels, series->count);
    }
}
