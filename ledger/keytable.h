/* Hash table of idempotency keys, used by a ledger and by its copies.  */

#ifndef JC_KEYTABLE_H
#define JC_KEYTABLE_H

#include "ledger/record.h"

/* What is known of one idempotency key.  SEQUENCE is that of its last record.
   KEY, the text, and ANSWER are NULL once their retention has ended, and ANSWER
   also if no answer was kept.  DIGEST is the digest of the request and CLAIM_ID
   the claim that last held the key.  CHANGED_MS is wall clock ms.  */
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
void jc_keytable_free (struct jc_keytable *table);
struct jc_key *jc_keytable_find (const struct jc_keytable *table,
                                 const unsigned char *id);
struct jc_key *jc_keytable_get_or_add (struct jc_keytable *table,
                                       const unsigned char *id);
void jc_keytable_remove (struct jc_keytable *table, const unsigned char *id);
void jc_keytable_put (struct jc_keytable *table,
                      const struct rpc_ledger_record *record);
void jc_keytable_foreach (const struct jc_keytable *table, GFunc fn, void *ctx);
guint jc_keytable_size (const struct jc_keytable *table);
GBytes *jc_key_encode (const struct jc_key *key);

#endif
