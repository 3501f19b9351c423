/* Encoding of messages as XDR text.  */

#include "base/xdrencode.h"

/* Return MESSAGE, of the type that PROC encodes, as XDR text.  */
GString *
jc_xdr_encode (xdrproc_t proc, const void *message)
{
  unsigned long size = xdr_sizeof (proc, (void *)message);
  GString *out = g_string_new (NULL);
  XDR xdr;

  g_string_set_size (out, size);
  xdrmem_create (&xdr, out->str, (u_int)size, XDR_ENCODE);
  proc (&xdr, (void *)message);
  xdr_destroy (&xdr);
  return out;
}
