/* Keys of a ledger in memory, as the ledger itself and its copies hold
   them.  */

#ifndef JC_KEYTABLE_H
#define JC_KEYTABLE_H

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
  int http_status;
  char *content_type;
  GBytes *answer;
  int64_t changed_ms;
};

struct jc_keytable;

struct jc_keytable *jc_keytable_new (void);
void jc_keytable_free (struct jc_keytable *keys);
struct jc_key *jc_keytable_find (const struct jc_keytable *keys,
                                 const unsigned char *id);
struct jc_key *jc_keytable_get_or_add (struct jc_keytable *keys,
                                       const unsigned char *id);
void jc_keytable_remove (struct jc_keytable *keys, const unsigned char *id);
void jc_keytable_put (struct jc_keytable *keys,
                      const struct rpc_ledger_record *record);
void jc_keytable_foreach (const struct jc_keytable *keys, GFunc fn, void *ctx);
guint jc_keytable_size (const struct jc_keytable *keys);
GBytes *jc_key_encode (const struct jc_key *key);

#endif
