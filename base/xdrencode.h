/* Encoding of messages as XDR text.  */

#ifndef JC_XDRENCODE_H
#define JC_XDRENCODE_H

#include <glib.h>
#include <rpc/rpc.h>

GString *jc_xdr_encode (xdrproc_t proc, const void *message);

#endif
