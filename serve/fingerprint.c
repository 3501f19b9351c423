/* Fingerprints.  */

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "base/str.h"
#include "member/endpoints.h"
#include "serve/fingerprint.h"

enum
{
  HASH_SHIFT = 32
};

static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t hash = (a ^ (b + 0x9e3779b97f4a7c15ULL)) * 0xff51afd7ed558ccdULL;

  return hash ^ (hash >> HASH_SHIFT);
}

/* Return a hash for which nobody can find a request that has the hash of
   another one.  */
static uint64_t
identity_hash (const char *service, const struct jc_request_identity *identity)
{
  const char *const texts[]
      = { service, identity->method, identity->host, identity->target };
  unsigned char digest[crypto_generichash_BYTES];
  crypto_generichash_state state;
  uint64_t hash;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    crypto_generichash_update (&state, (const unsigned char *)texts[i],
                               strlen (texts[i]) + 1);
  crypto_generichash_update (&state, (const unsigned char *)identity->body.data,
                             identity->body.len);
  crypto_generichash_final (&state, digest, sizeof digest);
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

/* Fill OUT with the fingerprints of the request INFO of SERVICE: one for each
   part of its prompt but the last, which no other request has, and one for the
   request as a whole, which only the same one has that comes again.  */
void
jc_fingerprints_init (struct jc_fingerprints *out, const char *service,
                      const struct jc_request_info *info,
                      const struct jc_request_identity *identity)
{
  uint64_t seed = jc_name_pair_hash (service, "prompt part");

  out->count = 0;
  for (unsigned int i = 0; i + 1 < info->parts_count; i++)
    out->values[out->count++] = mix (seed, info->parts[i].id);
  out->values[out->count++] = identity_hash (service, identity);
}

/* Append FINGERPRINTS to OUT as log lines have them.  */
void
jc_fingerprints_append_text (const struct jc_fingerprints *fingerprints,
                             GString *out)
{
  for (unsigned int i = 0; i < fingerprints->count; i++)
    g_string_append_printf (out, "%s%016" PRIx64, i > 0 ? "," : "",
                            fingerprints->values[i]);
}
