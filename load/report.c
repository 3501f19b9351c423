/* Reports of a load: text table, CSV and JSON.  */

#include <stdlib.h>

#include "load/load.h"

static const double quantiles[] = { 0.5, 0.95, 0.99 };

static double
ms_at (const struct jc_hist *hist, size_t i)
{
  return (double)jc_hist_quantile (hist, quantiles[i]) / 1000;
}

static double
share (uint64_t part, uint64_t all)
{
  return all > 0 ? (double)part / (double)all : 0;
}

static char *
outcomes_text (const struct load_stats *stats)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_hash_table_iter_init (&iter, stats->outcomes);
  while (g_hash_table_iter_next (&iter, &key, &count))
    g_string_append_printf (out, "%s%s=%u", out->len > 0 ? " " : "",
                            (const char *)key, GPOINTER_TO_UINT (count));
  return g_string_free (out, FALSE);
}

/* Print LOAD's classes as a table for people.  */
void
report_table (const struct load *load, FILE *out)
{
  fprintf (out, "%-12s %-12s %8s %8s %9s %9s %9s %9s %6s  outcomes\n",
           "product", "class", "sent", "in time", "p50 ms", "p99 ms", "first95",
           "betw95", "away%");
  for (guint i = 0; i < load->sources->len; i++)
    {
      const struct load_source *stream = g_ptr_array_index (load->sources, i);
      const struct load_stats *stats = &stream->stats;
      char *outcomes = outcomes_text (stats);

      fprintf (out,
               "%-12s %-12s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
               " %9.2f %9.2f %9.2f %9.2f %6.1f  %s\n",
               stream->klass->product, stream->klass->name, stats->sent,
               stats->in_time, ms_at (&stats->latency, 0),
               ms_at (&stats->latency, 2), ms_at (&stats->first_token, 1),
               ms_at (&stats->between_tokens, 1),
               100 * share (stats->away, stats->whole), outcomes);
      g_free (outcomes);
    }
}

/* Print LOAD's classes as CSV, after a line of names where HEAD is set.  */
void
report_csv (const struct load *load, FILE *out, bool head)
{
  if (head)
    fprintf (out, "label,seed,product,class,sent,whole,in_time,goodput_share,"
                  "away_share,tokens,p50_ms,p95_ms,p99_ms,first_p50_ms,"
                  "first_p95_ms,first_p99_ms,between_p50_ms,between_p95_ms,"
                  "between_p99_ms,outcomes\n");
  for (guint i = 0; i < load->sources->len; i++)
    {
      const struct load_source *stream = g_ptr_array_index (load->sources, i);
      const struct load_stats *stats = &stream->stats;
      const struct jc_hist *hists[]
          = { &stats->latency, &stats->first_token, &stats->between_tokens };
      char *outcomes = outcomes_text (stats);

      fprintf (out,
               "%s,%" G_GUINT64_FORMAT ",%s,%s,%" G_GUINT64_FORMAT
               ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
               ",%.4f,%.4f,%" G_GUINT64_FORMAT,
               load->label, load->seed, stream->klass->product,
               stream->klass->name, stats->sent, stats->whole, stats->in_time,
               share (stats->in_time, stats->sent),
               share (stats->away, stats->whole), stats->tokens);
      for (size_t h = 0; h < G_N_ELEMENTS (hists); h++)
        for (size_t q = 0; q < G_N_ELEMENTS (quantiles); q++)
          fprintf (out, ",%.3f", ms_at (hists[h], q));
      fprintf (out, ",%s\n", outcomes);
      g_free (outcomes);
    }
}

static json_t *
hist_json (const struct jc_hist *hist)
{
  return json_pack ("{s:I,s:f,s:f,s:f}", "count", (json_int_t)hist->count,
                    "p50_ms", ms_at (hist, 0), "p95_ms", ms_at (hist, 1),
                    "p99_ms", ms_at (hist, 2));
}

static json_t *
counts_json (GHashTable *table)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &count))
    json_object_set_new (json, key, json_integer (GPOINTER_TO_UINT (count)));
  return json;
}

/* Print LOAD's classes as JSON.  */
void
report_json (const struct load *load, FILE *out)
{
  json_t *classes = json_array ();
  json_t *json;

  for (guint i = 0; i < load->sources->len; i++)
    {
      const struct load_source *stream = g_ptr_array_index (load->sources, i);
      const struct load_stats *stats = &stream->stats;

      json_array_append_new (
          classes,
          json_pack (
              "{s:s,s:s,s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o}", "product",
              stream->klass->product, "class", stream->klass->name, "sent",
              (json_int_t)stats->sent, "whole", (json_int_t)stats->whole,
              "in_time", (json_int_t)stats->in_time, "away",
              (json_int_t)stats->away, "latency", hist_json (&stats->latency),
              "first_token", hist_json (&stats->first_token), "between_tokens",
              hist_json (&stats->between_tokens), "outcomes",
              counts_json (stats->outcomes), "endpoints",
              counts_json (stats->endpoints)));
    }
  json = json_pack ("{s:s,s:I,s:o}", "label", load->label, "seed",
                    (json_int_t)load->seed, "classes", classes);
  json_dumpf (json, out, JSON_INDENT (1) | JSON_SORT_KEYS);
  fprintf (out, "\n");
  json_decref (json);
}
