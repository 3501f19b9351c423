/* Records of a ledger, as its journal and its copies store them: each has the
   state of one key.  */

#ifndef JC_RECORD_H
#define JC_RECORD_H

#include <glib.h>

#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

enum
{
  JC_KEY_ID_BYTES = 32
};

/* State of a key, with fixed values since records store them.  Records in
   JC_KEY_HEAD and JC_KEY_SET are about no key but about the ledger: its
   identity and its pending copy set.  */
enum jc_key_state
{
  JC_KEY_HEAD,
  JC_KEY_SET,
  JC_KEY_GRANTED,
  JC_KEY_DONE,
  JC_KEY_UNKNOWN,
  JC_KEY_FREE,
  JC_KEY_FORGOTTEN
};

/* Called with each decoded record; RECORD is valid during the call only.  */
typedef void jc_record_fn (void *ctx, const struct rpc_ledger_record *record);

void jc_key_id (unsigned char *id, const char *product, const char *route,
                const char *key);
const char *jc_key_state_name (enum jc_key_state state);
GBytes *jc_record_encode (const struct rpc_ledger_record *record);
enum jc_status jc_record_decode (struct jc_str bytes, jc_record_fn *fn,
                                 void *ctx);
GBytes *jc_copyset_encode (const struct rpc_ledger_set *set);
bool jc_copyset_decode (struct jc_str bytes, struct rpc_ledger_set *set);

#endif
