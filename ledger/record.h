/* Records of a ledger: one key each, encoded for the journal and for
   copies.  */

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

/* What is known of a key.  HEAD and SET are no keys: they describe the
   ledger itself.  */
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

/* Gets each record of a decoded run; RECORD is freed afterwards.  */
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
