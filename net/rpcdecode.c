/* RPC: decoding of messages from peers whose build is older or newer than this
   one.  */

#include <string.h>

#include "net/rpcprivate.h"

enum
{
  /* Fields that were added at the end of a message since the lowest level that
     is still accepted take at most so many bytes while they are empty.  */
  PADDING_BYTES = 256
};

/* Decode BYTES into PACKET, which is zero.  It must be freed in any case.  */
static bool
decode (struct jc_str bytes, struct rpc_packet *packet)
{
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  ok = xdr_rpc_packet (&xdr, packet);
  xdr_destroy (&xdr);
  return ok;
}

/* Decode BYTES, which lack fields that were added to the end of the message
   later; these are 0, false and empty.  */
static bool
decode_shorter (struct jc_str bytes, struct rpc_packet *packet)
{
  GByteArray *padded
      = g_byte_array_sized_new ((guint)bytes.len + PADDING_BYTES);
  bool ok;

  g_byte_array_append (padded, (const guint8 *)bytes.data, (guint)bytes.len);
  g_byte_array_set_size (padded, (guint)bytes.len + PADDING_BYTES);
  memset (padded->data + bytes.len, 0, PADDING_BYTES);
  ok = decode (
      (struct jc_str){ .data = (const char *)padded->data, .len = padded->len },
      packet);
  g_byte_array_free (padded, TRUE);
  return ok;
}

/* Return whether BYTES are a message of a kind that this build doesn't know,
   and store its head in HEAD, to be freed in any case.  */
static bool
is_unknown_kind (struct jc_str bytes, struct rpc_head *head)
{
  enum rpc_type type;
  XDR xdr;
  bool ok;

  memset (head, 0, sizeof *head);
  xdrmem_create (&xdr, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  ok = xdr_rpc_head (&xdr, head) && xdr_rpc_type (&xdr, &type)
       && rpc_traffic_kind_name (type) == NULL;
  xdr_destroy (&xdr);
  return ok;
}

/* Decode BYTES, a record of a peer of PEER_LEVEL that this process of OWN_LEVEL
   received, into PACKET, which xdr_free must free in any case.  Bytes behind
   the fields that are known here are left out.  A peer of a lower level may
   leave out fields at the end, one of a higher level may send kinds that are
   not known here; of these only the head is decoded.  */
enum rpc_decoded
rpc_decode (struct jc_str bytes, uint64_t own_level, uint64_t peer_level,
            struct rpc_packet *packet)
{
  memset (packet, 0, sizeof *packet);
  if (decode (bytes, packet))
    return RPC_DECODED;
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)packet);
  memset (packet, 0, sizeof *packet);
  if (peer_level < own_level && decode_shorter (bytes, packet))
    return RPC_DECODED;
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)packet);
  memset (packet, 0, sizeof *packet);
  packet->body.type = RPC_HEARTBEAT;
  if (peer_level > own_level && is_unknown_kind (bytes, &packet->head))
    return RPC_UNKNOWN_KIND;
  return RPC_MALFORMED;
}
