/* Exclusive grants of cold endpoints to entry instances.  */

#include <string.h>

#include "base/xdrencode.h"
#include "member/grants.h"

enum
{
  /* More than the 3,400 endpoints of docs/CAPACITY.md.  */
  GRANTS_MAX = 4096
};

/* BY_ENDPOINT maps names of endpoints to struct rpc_grant.  FLOOR is the latest
   incarnation whose row was dropped because the table was full: an endpoint
   without a row is granted only for a later incarnation.  */
struct jc_grants
{
  GHashTable *by_endpoint;
  uint64_t floor;
};

static void
grant_free (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_rpc_grant, data);
  g_free (data);
}

/* Return an empty table, to be freed with jc_grants_free.  */
struct jc_grants *
jc_grants_new (void)
{
  struct jc_grants *grants = g_new0 (struct jc_grants, 1);

  grants->by_endpoint
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, grant_free);
  return grants;
}

/* Free GRANTS, which may be NULL.  */
void
jc_grants_free (struct jc_grants *grants)
{
  if (grants == NULL)
    return;
  g_hash_table_destroy (grants->by_endpoint);
  g_free (grants);
}

/* Return GRANT encoded (XDR) as the data of a log entry.  */
GString *
jc_grants_encode (const struct rpc_grant *grant)
{
  return jc_xdr_encode ((xdrproc_t)xdr_rpc_grant, grant);
}

/* Return whether INCARNATION of ENDPOINT may still be granted: neither it nor a
   later one was ever granted.  If ENDPOINT has no row, one may have been
   dropped, so false is returned for incarnations up to the floor.  */
bool
jc_grants_can_grant (const struct jc_grants *grants, const char *endpoint,
                     uint64_t incarnation)
{
  const struct rpc_grant *row
      = g_hash_table_lookup (grants->by_endpoint, endpoint);

  return incarnation
         > (row != NULL ? row->endpoint_incarnation : grants->floor);
}

static struct rpc_grant *
grants_oldest (const struct jc_grants *grants)
{
  struct rpc_grant *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL
        || ((struct rpc_grant *)value)->endpoint_incarnation
               < oldest->endpoint_incarnation)
      oldest = value;
  return oldest;
}

/* Add ROW, whose strings become the table's.  A full table drops the row with
   the oldest incarnation and raises its floor to that.  Return the table's copy
   of ROW, or NULL if that was the row dropped.  */
static const struct rpc_grant *
grants_put (struct jc_grants *grants, const struct rpc_grant *row)
{
  struct rpc_grant *copy = g_memdup2 (row, sizeof *row);
  struct rpc_grant *oldest;
  bool kept = true;

  g_hash_table_replace (grants->by_endpoint, copy->endpoint, copy);
  if (g_hash_table_size (grants->by_endpoint) > GRANTS_MAX)
    {
      oldest = grants_oldest (grants);
      kept = oldest != copy;
      grants->floor = MAX (grants->floor, oldest->endpoint_incarnation);
      g_hash_table_remove (grants->by_endpoint, oldest->endpoint);
    }
  return kept ? copy : NULL;
}

/* Apply DATA, a log entry that requests a grant.  The first request for an
   incarnation of an endpoint gets it for good.  Return whether the grant was
   made, and set GRANTED to it if so; GRANTED stays owned by the table.  DATA
   that can't be decoded grants nothing.  */
bool
jc_grants_apply (struct jc_grants *grants, struct jc_str data,
                 const struct rpc_grant **granted)
{
  struct rpc_grant row;
  bool valid;
  XDR xdr;

  memset (&row, 0, sizeof row);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  valid
      = xdr_rpc_grant (&xdr, &row)
        && jc_grants_can_grant (grants, row.endpoint, row.endpoint_incarnation);
  xdr_destroy (&xdr);
  if (!valid)
    {
      xdr_free ((xdrproc_t)xdr_rpc_grant, (char *)&row);
      return false;
    }
  *granted = grants_put (grants, &row);
  return *granted != NULL;
}

/* Add to OUT the grants of the process of INSTANCE that runs as
   INSTANCE_INCARNATION.  They stay owned by the table.  */
void
jc_grants_list (const struct jc_grants *grants, const char *instance,
                uint64_t instance_incarnation, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_grant *row = value;

      if (row->instance_incarnation == instance_incarnation
          && strcmp (row->instance, instance) == 0)
        g_ptr_array_add (out, value);
    }
}

/* Return the number of grants in the table.  */
unsigned int
jc_grants_count (const struct jc_grants *grants)
{
  return g_hash_table_size (grants->by_endpoint);
}

/* Store GRANTS in OUT, the JSON object of a snapshot, under "grants".  */
void
jc_grants_snapshot (const struct jc_grants *grants, json_t *out)
{
  json_t *rows = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, grants->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rpc_grant *row = value;

      json_array_append_new (
          rows, json_pack ("[s,I,s,I]", row->endpoint,
                           (json_int_t)row->endpoint_incarnation, row->instance,
                           (json_int_t)row->instance_incarnation));
    }
  json_object_set_new (out, "grants",
                       json_pack ("{s:I,s:o}", "floor",
                                  (json_int_t)grants->floor, "rows", rows));
}

static enum jc_status
restore_row (struct jc_grants *grants, const json_t *in)
{
  const char *endpoint;
  const char *instance;
  json_int_t endpoint_incarnation;
  json_int_t instance_incarnation;
  struct rpc_grant row;

  if (json_unpack ((json_t *)in, "[s,I,s,I]", &endpoint, &endpoint_incarnation,
                   &instance, &instance_incarnation)
      != 0)
    return jc_fail (JC_CORRUPT, "A grant can't be read.");
  row.endpoint = strdup (endpoint);
  row.endpoint_incarnation = (uint64_t)endpoint_incarnation;
  row.instance = strdup (instance);
  row.instance_incarnation = (uint64_t)instance_incarnation;
  grants_put (grants, &row);
  return JC_OK;
}

/* Replace the contents of GRANTS by those of IN, the JSON object of a snapshot.
   A snapshot without "grants" empties the table.  Return JC_CORRUPT if a grant
   is malformed.  */
enum jc_status
jc_grants_restore (struct jc_grants *grants, const json_t *in)
{
  const json_t *saved = json_object_get (in, "grants");
  const json_t *rows = json_object_get (saved, "rows");
  const json_t *row;
  enum jc_status status = JC_OK;
  size_t i;

  g_hash_table_remove_all (grants->by_endpoint);
  grants->floor
      = (uint64_t)json_integer_value (json_object_get (saved, "floor"));
  json_array_foreach ((json_t *)rows, i, row)
  {
    if (status == JC_OK)
      status = restore_row (grants, row);
  }
  return status;
}
