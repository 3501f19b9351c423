/* Grants of cold endpoints.  */

#include <string.h>

#include "member/grants.h"

enum
{
  /* More than the 3,400 endpoints of docs/CAPACITY.md.  */
  GRANTS_MAX = 4096
};

/* BY_ENDPOINT maps names of endpoints to struct rpc_grant.  Incarnations up to
   FLOOR may have been granted and dropped since.  */
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

/* Return an empty table.  */
struct jc_grants *
jc_grants_new (void)
{
  struct jc_grants *grants = g_new0 (struct jc_grants, 1);

  grants->by_endpoint
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, grant_free);
  return grants;
}

/* Free GRANTS; NULL is allowed.  */
void
jc_grants_free (struct jc_grants *grants)
{
  if (grants == NULL)
    return;
  g_hash_table_destroy (grants->by_endpoint);
  g_free (grants);
}

/* Return GRANT as an entry of the log carries it.  */
GString *
jc_grants_encode (const struct rpc_grant *grant)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_grant, (void *)grant);
  GString *out = g_string_new (NULL);
  XDR xdr;

  g_string_set_size (out, size);
  xdrmem_create (&xdr, out->str, (u_int)size, XDR_ENCODE);
  xdr_rpc_grant (&xdr, (struct rpc_grant *)grant);
  xdr_destroy (&xdr);
  return out;
}

/* Tell whether INCARNATION of ENDPOINT may still be granted: nobody ever had
   it, nor a later one.  */
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
oldest_of (const struct jc_grants *grants)
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

/* Take ROW, whose strings become the table's.  A full table drops the oldest
   incarnation; none up to that one is granted any more where its row is
   missing.  Return the row, or NULL where it was the one to be dropped.  */
static const struct rpc_grant *
put (struct jc_grants *grants, const struct rpc_grant *row)
{
  struct rpc_grant *copy = g_memdup2 (row, sizeof *row);
  struct rpc_grant *oldest;
  bool kept = true;

  g_hash_table_replace (grants->by_endpoint, copy->endpoint, copy);
  if (g_hash_table_size (grants->by_endpoint) > GRANTS_MAX)
    {
      oldest = oldest_of (grants);
      kept = oldest != copy;
      grants->floor = MAX (grants->floor, oldest->endpoint_incarnation);
      g_hash_table_remove (grants->by_endpoint, oldest->endpoint);
    }
  return kept ? copy : NULL;
}

/* Take the grant that DATA, an entry of the log, asks for.  The first one for
   an incarnation of an endpoint stands for good.  Return whether it was
   granted; GRANTED is the table's.  */
bool
jc_grants_apply (struct jc_grants *grants, struct jc_str data,
                 const struct rpc_grant **granted)
{
  struct rpc_grant row;
  bool open;
  XDR xdr;

  memset (&row, 0, sizeof row);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  open
      = xdr_rpc_grant (&xdr, &row)
        && jc_grants_can_grant (grants, row.endpoint, row.endpoint_incarnation);
  xdr_destroy (&xdr);
  if (!open)
    {
      xdr_free ((xdrproc_t)xdr_rpc_grant, (char *)&row);
      return false;
    }
  *granted = put (grants, &row);
  return *granted != NULL;
}

/* Add to OUT the grants, which stay the table's, of the process
   INSTANCE_INCARNATION of INSTANCE.  */
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

/* Return how many grants the table holds.  */
unsigned int
jc_grants_count (const struct jc_grants *grants)
{
  return g_hash_table_size (grants->by_endpoint);
}

/* Put GRANTS into the snapshot OUT.  */
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
  put (grants, &row);
  return JC_OK;
}

/* Put what the snapshot IN holds in place of GRANTS.  A snapshot of a log
   without grants holds none.  */
enum jc_status
jc_grants_restore (struct jc_grants *grants, const json_t *in)
{
  const json_t *said = json_object_get (in, "grants");
  const json_t *rows = json_object_get (said, "rows");
  const json_t *row;
  enum jc_status status = JC_OK;
  size_t i;

  g_hash_table_remove_all (grants->by_endpoint);
  grants->floor
      = (uint64_t)json_integer_value (json_object_get (said, "floor"));
  json_array_foreach ((json_t *)rows, i, row)
  {
    if (status == JC_OK)
      status = restore_row (grants, row);
  }
  return status;
}
