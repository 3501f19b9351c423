/* RPC task: keys, proofs and seals of records.  */

#include <sodium.h>
#include <string.h>

#include "net/rpcprivate.h"

/* Compute the MAC of SIZE bytes at DATA as record SEQ under KEY.  */
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

static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

/* Begin in STATE a hash of both nonces of CONN and LABEL that only holders of
   the group's key can make.  */
static void
conn_hash (const struct jc_rpc_conn *conn, const char *label,
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

/* Compute the key of the records that go the way of LABEL.  */
void
rpc_auth_derive_key (const struct jc_rpc_conn *conn, const char *label,
                     unsigned char *out)
{
  crypto_generichash_state state;

  conn_hash (conn, label, &state);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

/* Compute the proof of what PACKET, a hello, says of its sender.  */
void
rpc_auth_compute_proof (const struct jc_rpc_conn *conn, const char *label,
                        const struct rpc_packet *packet, unsigned char *out)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;
  uint64_t incarnation = packet->head.incarnation;
  crypto_generichash_state state;

  conn_hash (conn, label, &state);
  hash_text (&state, packet->head.group);
  hash_text (&state, packet->head.sender);
  hash_text (&state, hello->role);
  hash_text (&state, hello->region);
  hash_text (&state, hello->zone);
  crypto_generichash_update (&state, (const unsigned char *)&incarnation,
                             sizeof incarnation);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

bool
rpc_auth_check_record (struct jc_rpc_conn *conn, const unsigned char *body,
                       size_t size)
{
  unsigned char mac[MAC_BYTES];

  rpc_auth_compute_mac (mac, conn->receive_key, conn->records_received++, body,
                        size);
  return sodium_memcmp (mac, body + size, MAC_BYTES) == 0;
}
