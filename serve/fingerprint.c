/* Fingerprints.  */

#include <inttypes.h>

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

/* Fill OUT with the fingerprints of the request INFO of SERVICE: one for each
   part of its prompt but the last, which no other request has.  */
void
jc_fingerprints_init (struct jc_fingerprints *out, const char *service,
                      const struct jc_request_info *info)
{
  uint64_t seed = jc_name_pair_hash (service, "prompt part");

  out->count = 0;
  for (unsigned int i = 0; i + 1 < info->parts_count; i++)
    out->values[out->count++] = mix (seed, info->parts[i].id);
}

/* Append FINGERPRINTS to OUT as log lines have them, "-" if there are none.  */
void
jc_fingerprints_append_text (const struct jc_fingerprints *fingerprints,
                             GString *out)
{
  for (unsigned int i = 0; i < fingerprints->count; i++)
    g_string_append_printf (out, "%s%016" PRIx64, i > 0 ? "," : "",
                            fingerprints->values[i]);
  if (fingerprints->count == 0)
    g_string_append_c (out, '-');
}
