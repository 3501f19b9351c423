/* RPC: the handshake of a connection.  */

#include <sodium.h>
#include <string.h>

#include "net/rpcprivate.h"

/* Send a message of TYPE of the handshake on CONN.  WITH_PROOF adds a proof of
   the identity of this process, for which the nonce of the peer must be
   known.  */
void
rpc_conn_send_hello (struct jc_rpc_conn *conn, enum rpc_type type,
                     bool with_proof)
{
  struct jc_rpc *rpc = conn->rpc;
  unsigned char proof[KEY_BYTES];
  struct rpc_packet packet = { .body.type = type };
  struct rpc_hello *hello = &packet.body.rpc_body_u.hello;

  rpc_conn_fill_head (conn, &packet);
  /* A hello is no call.  */
  packet.head.xid = rpc->level;
  hello->role = rpc->role;
  hello->zone = rpc->zone;
  hello->region = rpc->region;
  hello->nonce.rpc_bytes_val = (char *)conn->own_nonce;
  hello->nonce.rpc_bytes_len = NONCE_BYTES;
  if (with_proof)
    {
      rpc_auth_compute_proof (conn, conn->dialled ? "dialer" : "listener",
                              &packet, proof);
      hello->proof.rpc_bytes_val = (char *)proof;
      hello->proof.rpc_bytes_len = KEY_BYTES;
    }
  conn->hello_sent = true;
  rpc_conn_queue_packet (conn, &packet);
}

/* Return whether the hello P proves that the peer of CONN knows the key of the
   group.  */
static bool
conn_check_proof (const struct jc_rpc_conn *conn, const struct rpc_packet *p)
{
  const struct rpc_hello *hello = &p->body.rpc_body_u.hello;
  unsigned char expected[KEY_BYTES];

  if (hello->proof.rpc_bytes_len != KEY_BYTES)
    return false;
  rpc_auth_compute_proof (conn, conn->dialled ? "listener" : "dialer", p,
                          expected);
  return sodium_memcmp (expected, hello->proof.rpc_bytes_val, KEY_BYTES) == 0;
}

/* Store the identity of the authenticated peer from PACKET, its hello.  */
static void
conn_store_peer (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;

  conn->name = g_strdup (packet->head.sender);
  conn->role = g_strdup (hello->role);
  conn->region = g_strdup (hello->region);
  conn->zone = g_strdup (hello->zone);
  conn->incarnation = packet->head.incarnation;
  conn->level = packet->head.xid;
}

/* Return whether the peer of CONN may have NAME: not that of this process and,
   if this process dialled, the one that was dialled.  */
static bool
conn_accepts_peer_name (const struct jc_rpc_conn *conn, const char *name)
{
  if (name[0] == '\0' || strcmp (name, conn->rpc->name) == 0)
    return false;
  return conn->dial == NULL || strcmp (name, conn->dial->name) == 0;
}

/* Handle a message of the handshake: the listener sends its nonce, the
   dialling side answers with its nonce and a proof, the listener replies with
   its proof.  */
void
rpc_conn_handle_hello (struct jc_rpc_conn *conn,
                       const struct rpc_packet *packet)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;
  enum rpc_type type = packet->body.type;
  bool dialer = conn->dialled;

  if ((type != RPC_HELLO && type != RPC_HELLO_ACK)
      || strcmp (packet->head.group, conn->rpc->group) != 0
      || hello->nonce.rpc_bytes_len != NONCE_BYTES
      || !conn_accepts_peer_name (conn, packet->head.sender))
    {
      rpc_conn_drop (conn, "invalid handshake message");
      return;
    }
  if (dialer && type == RPC_HELLO && !conn->hello_sent)
    {
      memcpy (conn->peer_nonce, hello->nonce.rpc_bytes_val, NONCE_BYTES);
      rpc_conn_send_hello (conn, RPC_HELLO, true);
      return;
    }
  if (!dialer)
    memcpy (conn->peer_nonce, hello->nonce.rpc_bytes_val, NONCE_BYTES);
  if ((type == RPC_HELLO) == dialer || !conn_check_proof (conn, packet))
    {
      rpc_conn_drop (conn, "the handshake proof is invalid");
      return;
    }
  conn_store_peer (conn, packet);
  if (!dialer)
    rpc_conn_send_hello (conn, RPC_HELLO_ACK, true);
  if (!conn->closed)
    rpc_conn_mark_up (conn);
}
