/* Versions: the software versions of each service whose endpoints may begin
   resumable streams.  The replicated log adds them, so that every such stream
   began after its version was added, and a read of the newest table shows all
   versions that any stream can have.  */

#ifndef JC_VERSIONS_H
#define JC_VERSIONS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

struct jc_versions;

struct jc_versions *jc_versions_new (void);
void jc_versions_free (struct jc_versions *versions);
GString *jc_versions_encode (const struct rpc_service_version *added);
bool jc_versions_contains (const struct jc_versions *versions,
                           const char *service, uint64_t software);
bool jc_versions_can_add (const struct jc_versions *versions,
                          const struct rpc_service_version *added);
bool jc_versions_has_several (const struct jc_versions *versions,
                              const char *service);
unsigned int jc_versions_count (const struct jc_versions *versions);
uint64_t jc_versions_only (const struct jc_versions *versions,
                           const char *service);
bool jc_versions_apply (struct jc_versions *versions, uint64_t position,
                        struct jc_str data);
void jc_versions_to_message (const struct jc_versions *versions,
                             struct rpc_versions *out);
bool jc_versions_update (struct jc_versions *versions,
                         const struct rpc_versions *message);
void jc_versions_snapshot (const struct jc_versions *versions, json_t *out);
enum jc_status jc_versions_restore (struct jc_versions *versions,
                                    const json_t *in);

#endif
