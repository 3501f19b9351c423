/* Keys of a ledger in memory, as the ledger itself and its copies hold
   them.  */

#ifndef JC_TABLE_H
#define JC_TABLE_H

#include "ledger/record.h"

/* One key.  KEY and ANSWER are NULL once they are past their retention.
   Times are wall clock ms.  */
struct jc_key
{
  unsigned char id[JC_KEY_ID_BYTES];
  enum jc_key_state state;
  uint64_t sequence;
  char *product;
  char *route;
  char *key;
  GBytes *digest;
  char *claim_id;
  uint64_t fence;
  int http;
  char *content_type;
  GBytes *answer;
  int64_t changed_ms;
};

struct jc_keys;

struct jc_keys *jc_keys_new (void);
void jc_keys_free (struct jc_keys *keys);
struct jc_key *jc_keys_find (const struct jc_keys *keys,
                             const unsigned char *id);
struct jc_key *jc_keys_make (struct jc_keys *keys, const unsigned char *id);
void jc_keys_drop (struct jc_keys *keys, const unsigned char *id);
void jc_keys_put (struct jc_keys *keys, const struct rpc_ledger_record *record);
void jc_keys_each (const struct jc_keys *keys, GFunc fn, void *ctx);
guint jc_keys_count (const struct jc_keys *keys);
GBytes *jc_key_encode (const struct jc_key *key);

#endif
