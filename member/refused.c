/* Reports that were refused since a later one is known.  */

#include <glib.h>
#include <string.h>

#include "member/refused.h"

enum
{
  ROWS_MAX = 4096,
  ROW_LIFETIME_MS = 60000,
  /* An endpoint goes on if it reported so often while what stands against it
     was silent.  */
  REPORTS_NEEDED = 3,
  /* Reports that were delayed together arrive together.  Those that prove that
     an endpoint goes on spread over this part of its lease, less than two of
     the five intervals of reports in it.  A report that no later one followed
     for as long was perhaps another writer's, so it may be followed by an
     earlier one.  */
  SPREAD_NUMERATOR = 3,
  SPREAD_DENOMINATOR = 10
};

/* Refused reports of the endpoint NAME: COUNT of INCARNATION, each later than
   the one before, since FIRST_MS.  */
struct row
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  unsigned int count;
  int64_t first_ms;
  int64_t last_ms;
};

struct jc_refused
{
  GHashTable *by_name;
};

static void
row_free (gpointer data)
{
  struct row *row = data;

  g_free (row->name);
  g_free (row);
}

/* Return an empty table, to be freed with jc_refused_free.  */
struct jc_refused *
jc_refused_new (void)
{
  struct jc_refused *refused = g_new0 (struct jc_refused, 1);

  refused->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  return refused;
}

/* Free REFUSED; NULL is allowed.  */
void
jc_refused_free (struct jc_refused *refused)
{
  if (refused == NULL)
    return;
  g_hash_table_destroy (refused->by_name);
  g_free (refused);
}

static struct row *
find_or_add_row (struct jc_refused *refused, const char *name)
{
  struct row *row = g_hash_table_lookup (refused->by_name, name);

  if (row != NULL || g_hash_table_size (refused->by_name) >= ROWS_MAX)
    return row;
  row = g_new0 (struct row, 1);
  row->name = g_strdup (name);
  g_hash_table_insert (refused->by_name, row->name, row);
  return row;
}

/* Add REPORT, refused at NOW_MS.  HEARD_MS is when the later endpoint that
   stands against it was last heard.  Return whether the endpoint of REPORT has
   gone on since, so that it is the one that is there.  A full table takes no
   other endpoints.  */
bool
jc_refused_add (struct jc_refused *refused, const struct rpc_endpoint *report,
                int64_t heard_ms, int64_t now_ms)
{
  struct row *row = find_or_add_row (refused, report->name);
  int64_t spread_ms
      = (int64_t)report->lease_ms * SPREAD_NUMERATOR / SPREAD_DENOMINATOR;

  if (row == NULL)
    return false;
  if (row->incarnation == report->incarnation
      && report->sequence <= row->sequence && now_ms - row->last_ms < spread_ms)
    return false;
  if (row->incarnation != report->incarnation
      || report->sequence <= row->sequence || row->first_ms <= heard_ms)
    {
      row->count = 0;
      row->first_ms = now_ms;
    }
  row->incarnation = report->incarnation;
  row->sequence = report->sequence;
  row->last_ms = now_ms;
  row->count++;
  return row->count >= REPORTS_NEEDED && now_ms - row->first_ms >= spread_ms;
}

/* Return whether REPORT was the last one refused of its endpoint.  */
bool
jc_refused_has (const struct jc_refused *refused,
                const struct rpc_endpoint *report)
{
  const struct row *row = g_hash_table_lookup (refused->by_name, report->name);

  return row != NULL && row->incarnation == report->incarnation
         && row->sequence == report->sequence;
}

/* Remove the reports of the endpoint NAME, if there are any.  */
void
jc_refused_remove (struct jc_refused *refused, const char *name)
{
  g_hash_table_remove (refused->by_name, name);
}

static gboolean
row_is_old (gpointer name, gpointer value, gpointer now_ms)
{
  (void)name;
  return *(const int64_t *)now_ms - ((const struct row *)value)->last_ms
         > ROW_LIFETIME_MS;
}

/* Remove the reports that are too old at NOW_MS to tell anything.  */
void
jc_refused_expire (struct jc_refused *refused, int64_t now_ms)
{
  g_hash_table_foreach_remove (refused->by_name, row_is_old, &now_ms);
}
