/* Copies of presence reports.  */

#include <glib.h>
#include <string.h>

#include "member/presence.h"

/* Set OUT to a deep copy of PRESENCE, to be freed with jc_presence_clear.  What
   OUT held before is overwritten, not freed.  */
void
jc_presence_copy (struct rpc_presence *out, const struct rpc_presence *presence)
{
  unsigned long size
      = xdr_sizeof ((xdrproc_t)xdr_rpc_presence, (void *)presence);
  char *bytes = g_malloc (size);
  XDR xdr;

  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  xdr_rpc_presence (&xdr, (struct rpc_presence *)presence);
  xdr_destroy (&xdr);
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_DECODE);
  xdr_rpc_presence (&xdr, out);
  xdr_destroy (&xdr);
  g_free (bytes);
}

/* Return whether the instance of PRESENCE reaches the endpoints of SERVICE.  */
bool
jc_presence_reaches (const struct rpc_presence *presence, const char *service)
{
  for (u_int i = 0; i < presence->unreached.unreached_len; i++)
    if (strcmp (presence->unreached.unreached_val[i], service) == 0)
      return false;
  return true;
}

/* Free what PRESENCE, set by jc_presence_copy, holds.  */
void
jc_presence_clear (struct rpc_presence *presence)
{
  xdr_free ((xdrproc_t)xdr_rpc_presence, (char *)presence);
}
