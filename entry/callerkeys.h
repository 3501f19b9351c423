/* Caller keys: which workspace the requests of callers belong to.  */

#ifndef ENTRY_CALLERKEYS_H
#define ENTRY_CALLERKEYS_H

#include "base/status.h"
#include "serve/callerkey.h"

struct jc_http_req;
struct router;

/* Header between entry instances: what the sender knows of the caller's key
   (jc_key_note_format).  The name of the workspace goes in the header that
   endpoints get.  */
#define HEADER_KEY_NOTE "X-Jaycove-Key-Note"

enum jc_status callerkeys_check (const struct router *router,
                                 const struct jc_http_req *req,
                                 const struct jc_hostroute *route,
                                 bool handed_over,
                                 struct jc_key_verdict *verdict);
void callerkeys_count_refusal (const struct router *router, const char *reason);
bool callerkeys_hide (const struct router *router,
                      const struct jc_key_note *note, const char *name);
void callerkeys_append_note (const struct router *router,
                             const struct jc_key_note *note, GPtrArray *lines);

#endif
