/* Presence of entry instances.  */

#include <glib.h>
#include <string.h>

#include "member/presence.h"

/* Make OUT, which is overwritten unread, a copy of SAID.  */
void
jc_presence_copy (struct rpc_presence *out, const struct rpc_presence *said)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_presence, (void *)said);
  char *bytes = g_malloc (size);
  XDR xdr;

  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  xdr_rpc_presence (&xdr, (struct rpc_presence *)said);
  xdr_destroy (&xdr);
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_DECODE);
  xdr_rpc_presence (&xdr, out);
  xdr_destroy (&xdr);
  g_free (bytes);
}

/* Free what SAID, a copy, holds.  */
void
jc_presence_clear (struct rpc_presence *said)
{
  xdr_free ((xdrproc_t)xdr_rpc_presence, (char *)said);
}
