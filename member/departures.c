/* Endpoints that were acknowledged to leave.  */

#include <inttypes.h>
#include <string.h>

#include "base/xdrencode.h"
#include "member/departures.h"

enum
{
  /* More than the 3,400 endpoints of docs/CAPACITY.md.  */
  DEPARTURES_MAX = 4096
};

/* ROWS owns struct rpc_departure, in the order of the log.  BY_KEY has the same
   rows by name and incarnation.  */
struct jc_departures
{
  GQueue *rows;
  GHashTable *by_key;
};

static char *
departure_key (const char *endpoint, uint64_t incarnation)
{
  return g_strdup_printf ("%" PRIu64 " %s", incarnation, endpoint);
}

static void
row_free (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_rpc_departure, data);
  g_free (data);
}

/* Return an empty table, to be freed with jc_departures_free.  */
struct jc_departures *
jc_departures_new (void)
{
  struct jc_departures *departures = g_new0 (struct jc_departures, 1);

  departures->rows = g_queue_new ();
  departures->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return departures;
}

/* Free DEPARTURES; NULL is allowed.  */
void
jc_departures_free (struct jc_departures *departures)
{
  if (departures == NULL)
    return;
  g_hash_table_destroy (departures->by_key);
  g_queue_free_full (departures->rows, row_free);
  g_free (departures);
}

/* Return DEPARTURE encoded (XDR) as the data of a log entry.  */
GString *
jc_departures_encode (const struct rpc_departure *departure)
{
  return jc_xdr_encode ((xdrproc_t)xdr_rpc_departure, departure);
}

/* Return whether INCARNATION of ENDPOINT is known to leave.  That is never
   taken back, so true holds also where the table is behind.  */
bool
jc_departures_contains (const struct jc_departures *departures,
                        const char *endpoint, uint64_t incarnation)
{
  char *key = departure_key (endpoint, incarnation);
  bool found = g_hash_table_contains (departures->by_key, key);

  g_free (key);
  return found;
}

static void
drop_oldest (struct jc_departures *departures)
{
  struct rpc_departure *oldest = g_queue_pop_head (departures->rows);
  char *key = departure_key (oldest->endpoint, oldest->endpoint_incarnation);

  g_hash_table_remove (departures->by_key, key);
  g_free (key);
  row_free (oldest);
}

/* Add ROW, whose strings become the table's, unless it is there.  A full table
   drops its oldest row.  Return the table's copy, or NULL if there is one.  */
static const struct rpc_departure *
add_row (struct jc_departures *departures, struct rpc_departure *row)
{
  struct rpc_departure *copy;

  if (jc_departures_contains (departures, row->endpoint,
                              row->endpoint_incarnation))
    {
      xdr_free ((xdrproc_t)xdr_rpc_departure, (char *)row);
      return NULL;
    }
  copy = g_memdup2 (row, sizeof *row);
  g_queue_push_tail (departures->rows, copy);
  g_hash_table_insert (
      departures->by_key,
      departure_key (copy->endpoint, copy->endpoint_incarnation), copy);
  if (g_hash_table_size (departures->by_key) > DEPARTURES_MAX)
    drop_oldest (departures);
  return copy;
}

/* Apply DATA, a log entry.  Return the row that it added, which stays owned by
   the table, or NULL if it was there or DATA can't be decoded.  */
const struct rpc_departure *
jc_departures_apply (struct jc_departures *departures, struct jc_str data)
{
  struct rpc_departure row;
  bool valid;
  XDR xdr;

  memset (&row, 0, sizeof row);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  valid = xdr_rpc_departure (&xdr, &row);
  xdr_destroy (&xdr);
  if (valid)
    return add_row (departures, &row);
  xdr_free ((xdrproc_t)xdr_rpc_departure, (char *)&row);
  return NULL;
}

/* Add all rows to OUT, oldest first.  They stay owned by the table.  */
void
jc_departures_list (const struct jc_departures *departures, GPtrArray *out)
{
  for (const GList *at = departures->rows->head; at != NULL; at = at->next)
    g_ptr_array_add (out, at->data);
}

/* Store DEPARTURES in OUT, the JSON object of a snapshot, under "departures".
 */
void
jc_departures_snapshot (const struct jc_departures *departures, json_t *out)
{
  json_t *rows = json_array ();

  for (const GList *at = departures->rows->head; at != NULL; at = at->next)
    {
      const struct rpc_departure *row = at->data;

      json_array_append_new (
          rows, json_pack ("[s,I,s]", row->endpoint,
                           (json_int_t)row->endpoint_incarnation, row->zone));
    }
  json_object_set_new (out, "departures", rows);
}

static enum jc_status
restore_row (struct jc_departures *departures, const json_t *in)
{
  const char *endpoint;
  const char *zone;
  json_int_t incarnation;
  struct rpc_departure row;

  if (json_unpack ((json_t *)in, "[s,I,s]", &endpoint, &incarnation, &zone)
      != 0)
    return jc_fail (JC_CORRUPT, "A departure can't be read.");
  row.endpoint = strdup (endpoint);
  row.endpoint_incarnation = (uint64_t)incarnation;
  row.zone = strdup (zone);
  add_row (departures, &row);
  return JC_OK;
}

/* Replace the contents of DEPARTURES by those of IN, the JSON object of a
   snapshot.  A snapshot without "departures" empties the table.  Return
   JC_CORRUPT if a row is malformed.  */
enum jc_status
jc_departures_restore (struct jc_departures *departures, const json_t *in)
{
  const json_t *rows = json_object_get (in, "departures");
  const json_t *row;
  enum jc_status status = JC_OK;
  size_t i;

  while (!g_queue_is_empty (departures->rows))
    drop_oldest (departures);
  json_array_foreach ((json_t *)rows, i, row)
  {
    if (status == JC_OK)
      status = restore_row (departures, row);
  }
  return status;
}
