/* Replica set of the log.  */

#include <string.h>

#include "conf/replicas.h"

/* Return the replica NAME, or NULL.  */
struct rpc_replica *
jc_replicas_find (const struct rpc_replicas *replicas, const char *name)
{
  for (u_int i = 0; i < replicas->list.list_len; i++)
    if (strcmp (replicas->list.list_val[i].name, name) == 0)
      return &replicas->list.list_val[i];
  return NULL;
}

/* Add a copy of REPLICA, or replace the replica of that name.  */
void
jc_replicas_put (struct rpc_replicas *replicas,
                 const struct rpc_replica *replica)
{
  struct rpc_replica *slot = jc_replicas_find (replicas, replica->name);

  if (slot == NULL)
    {
      u_int len = replicas->list.list_len + 1;

      replicas->list.list_val
          = g_renew (struct rpc_replica, replicas->list.list_val, len);
      replicas->list.list_len = len;
      slot = &replicas->list.list_val[len - 1];
      slot->name = g_strdup (replica->name);
    }
  slot->incarnation = replica->incarnation;
  slot->standing = replica->standing;
  slot->voter = replica->voter;
}

/* Remove the replica NAME.  Return whether there was one.  */
bool
jc_replicas_remove (struct rpc_replicas *replicas, const char *name)
{
  struct rpc_replica *replica = jc_replicas_find (replicas, name);
  struct rpc_replica *end = replicas->list.list_val + replicas->list.list_len;

  if (replica == NULL)
    return false;
  g_free (replica->name);
  memmove (replica, replica + 1, (size_t)(end - replica - 1) * sizeof *replica);
  replicas->list.list_len--;
  return true;
}

/* Return the number of voters.  */
unsigned int
jc_replicas_count_voters (const struct rpc_replicas *replicas)
{
  unsigned int voters = 0;

  for (u_int i = 0; i < replicas->list.list_len; i++)
    voters += replicas->list.list_val[i].voter ? 1 : 0;
  return voters;
}

/* Make TO a copy of FROM.  TO is overwritten without being freed.  */
void
jc_replicas_copy (struct rpc_replicas *to, const struct rpc_replicas *from)
{
  memset (to, 0, sizeof *to);
  for (u_int i = 0; i < from->list.list_len; i++)
    jc_replicas_put (to, &from->list.list_val[i]);
}

/* Free the contents of REPLICAS and leave it empty.  */
void
jc_replicas_clear (struct rpc_replicas *replicas)
{
  for (u_int i = 0; i < replicas->list.list_len; i++)
    g_free (replicas->list.list_val[i].name);
  g_free (replicas->list.list_val);
  memset (replicas, 0, sizeof *replicas);
}

/* Append REPLICAS to OUT in the encoding of a log entry.  */
void
jc_replicas_encode (const struct rpc_replicas *replicas, GString *out)
{
  unsigned long size
      = xdr_sizeof ((xdrproc_t)xdr_rpc_replicas, (void *)replicas);
  gsize at = out->len;
  XDR xdr;

  g_string_set_size (out, at + size);
  xdrmem_create (&xdr, out->str + at, (u_int)size, XDR_ENCODE);
  xdr_rpc_replicas (&xdr, (struct rpc_replicas *)replicas);
  xdr_destroy (&xdr);
}

/* Decode DATA into REPLICAS, which is overwritten without being freed.  Return
   whether DATA is valid.  */
bool
jc_replicas_decode (struct jc_str data, struct rpc_replicas *replicas)
{
  struct rpc_replicas decoded = { 0 };
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  ok = xdr_rpc_replicas (&xdr, &decoded);
  xdr_destroy (&xdr);
  jc_replicas_copy (replicas, &decoded);
  xdr_free ((xdrproc_t)xdr_rpc_replicas, (char *)&decoded);
  return ok;
}
