/* Encoding of ledger records.  */

#include <sodium.h>
#include <string.h>

#include "ledger/record.h"

/* Write the id of KEY to ID, which has room for JC_KEY_ID_BYTES.  It is a hash
   of PRODUCT, ROUTE and KEY, so the same key has another id on another
   route.  */
void
jc_key_id (unsigned char *id, const char *product, const char *route,
           const char *key)
{
  const char *const parts[] = { product, route, key };
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, JC_KEY_ID_BYTES);
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    crypto_generichash_update (&state, (const unsigned char *)parts[i],
                               strlen (parts[i]) + 1);
  crypto_generichash_final (&state, id, JC_KEY_ID_BYTES);
}

/* Return the name of STATE as the admin interface shows it, "?" if STATE is out
   of range.  */
const char *
jc_key_state_name (enum jc_key_state state)
{
  static const char *const names[]
      = { [JC_KEY_HEAD] = "head",          [JC_KEY_SET] = "set",
          [JC_KEY_GRANTED] = "granted",    [JC_KEY_DONE] = "done",
          [JC_KEY_UNKNOWN] = "unknown",    [JC_KEY_FREE] = "free",
          [JC_KEY_FORGOTTEN] = "forgotten" };

  return (unsigned int)state < G_N_ELEMENTS (names) ? names[state] : "?";
}

static GBytes *
encode (xdrproc_t proc, const void *value)
{
  size_t size = xdr_sizeof (proc, (void *)value);
  char *data = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  if (!proc (&xdr, (void *)value))
    size = 0;
  xdr_destroy (&xdr);
  return g_bytes_new_take (data, size);
}

/* Return RECORD encoded in XDR; the caller unrefs it.  */
GBytes *
jc_record_encode (const struct rpc_ledger_record *record)
{
  return encode ((xdrproc_t)xdr_rpc_ledger_record, record);
}

/* Call FN with each record of BYTES and CTX.  Return JC_CORRUPT if BYTES is not
   a sequence of whole records; FN was then called with the records before the
   fault.  */
enum jc_status
jc_record_decode (struct jc_str bytes, jc_record_fn *fn, void *ctx)
{
  XDR xdr;
  bool ok = true;

  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  while (ok && xdr_getpos (&xdr) < bytes.len)
    {
      struct rpc_ledger_record record = { 0 };

      ok = xdr_rpc_ledger_record (&xdr, &record)
           && (record.id.rpc_bytes_len == JC_KEY_ID_BYTES
               || record.state <= JC_KEY_SET);
      if (ok)
        fn (ctx, &record);
      xdr_free ((xdrproc_t)xdr_rpc_ledger_record, (char *)&record);
    }
  xdr_destroy (&xdr);
  return ok ? JC_OK : jc_fail (JC_CORRUPT, "A ledger record can't be read.");
}

/* Return SET encoded as an entry of the replicated log; the caller unrefs
   it.  */
GBytes *
jc_copyset_encode (const struct rpc_ledger_set *set)
{
  return encode ((xdrproc_t)xdr_rpc_ledger_set, set);
}

/* Decode BYTES into SET, which the caller frees with xdr_free.  Return false
   and leave nothing to free if BYTES is not a valid set.  */
bool
jc_copyset_decode (struct jc_str bytes, struct rpc_ledger_set *set)
{
  XDR xdr;
  bool ok;

  memset (set, 0, sizeof *set);
  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  ok = xdr_rpc_ledger_set (&xdr, set);
  xdr_destroy (&xdr);
  if (!ok)
    xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)set);
  return ok;
}
