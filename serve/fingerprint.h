/* Fingerprints: what requests that crash endpoints may have in common.  */

#ifndef JC_FINGERPRINT_H
#define JC_FINGERPRINT_H

#include <glib.h>

#include "serve/protocol.h"

enum
{
  JC_FINGERPRINTS_MAX = JC_PROMPT_PARTS_MAX
};

/* What identifies a request that comes again: everything but its id.  */
struct jc_request_identity
{
  const char *method;
  const char *host;
  const char *target;
  struct jc_str body;
};

/* The fingerprints of a request, each a hash of its service and of something
   that other requests may have too.  They are ordered from the most to the
   least widely shared.  */
struct jc_fingerprints
{
  unsigned int count;
  uint64_t values[JC_FINGERPRINTS_MAX];
};

void jc_fingerprints_init (struct jc_fingerprints *out, const char *service,
                           const struct jc_request_info *info,
                           const struct jc_request_identity *identity);
void jc_fingerprints_append_text (const struct jc_fingerprints *fingerprints,
                                  GString *out);

#endif
