/* RPC: authentication of peers and of records.  */

#include <sodium.h>
#include <string.h>

#include "net/rpcprivate.h"

/* Store in MAC the message authentication code, under KEY, of SIZE bytes at
   DATA as record number SEQ.  The number prevents replay.  */
void
rpc_auth_compute_mac (unsigned char *mac, const unsigned char *key,
                      uint64_t seq, const void *data, size_t size)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, KEY_BYTES, MAC_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)&seq, sizeof seq);
  crypto_generichash_update (&state, data, size);
  crypto_generichash_final (&state, mac, MAC_BYTES);
}

/* Add TEXT with its NUL to the hash in STATE.  */
static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

/* Start in STATE a hash, keyed with the key of the group, of LABEL and both
   nonces of CONN, that of the dialling side first.  */
static void
hash_init_nonces (const struct jc_rpc_conn *conn, const char *label,
                  crypto_generichash_state *state)
{
  const unsigned char *first = conn->own_nonce;
  const unsigned char *second = conn->peer_nonce;

  if (!conn->dialled)
    {
      first = conn->peer_nonce;
      second = conn->own_nonce;
    }
  crypto_generichash_init (state, conn->rpc->key, KEY_BYTES, KEY_BYTES);
  hash_text (state, label);
  crypto_generichash_update (state, first, NONCE_BYTES);
  crypto_generichash_update (state, second, NONCE_BYTES);
}

/* Store in OUT the key of the records of CONN in the direction LABEL, "to
   listener" or "to dialer".  */
void
rpc_auth_derive_key (const struct jc_rpc_conn *conn, const char *label,
                     unsigned char *out)
{
  crypto_generichash_state state;

  hash_init_nonces (conn, label, &state);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

/* Store in OUT the proof that the sender of PACKET, a hello, knows the key of
   the group and claims this identity.  LABEL is its side, "dialer" or
   "listener".  */
void
rpc_auth_compute_proof (const struct jc_rpc_conn *conn, const char *label,
                        const struct rpc_packet *packet, unsigned char *out)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;
  uint64_t incarnation = packet->head.incarnation;
  crypto_generichash_state state;

  hash_init_nonces (conn, label, &state);
  hash_text (&state, packet->head.group);
  hash_text (&state, packet->head.sender);
  hash_text (&state, hello->role);
  hash_text (&state, hello->region);
  hash_text (&state, hello->zone);
  crypto_generichash_update (&state, (const unsigned char *)&incarnation,
                             sizeof incarnation);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

/* Return whether the MAC after SIZE bytes at BODY is that of the next record
   from the peer of CONN.  */
bool
rpc_auth_check_record (struct jc_rpc_conn *conn, const unsigned char *body,
                       size_t size)
{
  unsigned char mac[MAC_BYTES];

  rpc_auth_compute_mac (mac, conn->receive_key, conn->records_received++, body,
                        size);
  return sodium_memcmp (mac, body + size, MAC_BYTES) == 0;
}
