/* Keys of callers: which workspace a request belongs to, also where another
   instance handed it over.  */

#ifndef JC_CALLERKEY_H
#define JC_CALLERKEY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "conf/routetable.h"

/* Why a request is refused for its key.  */
enum jc_key_fault
{
  JC_KEY_FAULT_NONE,
  JC_KEY_FAULT_MISSING,
  JC_KEY_FAULT_MALFORMED,
  JC_KEY_FAULT_UNKNOWN
};

/* Secrets derived from the key of the group, which all its instances have:
   DIGEST for the digests of callers' keys, NOTE for the codes of notes.  */
struct jc_key_secrets
{
  unsigned char digest[JC_KEY_SECRET_BYTES];
  unsigned char note[JC_KEY_SECRET_BYTES];
};

/* What an instance tells of a key where it hands a request over: NAME of the
   workspace, NULL on an anonymous route, by the configuration of VERSION, and
   the digest of the key if HAS_DIGEST.  VERSION 0 means that no workspaces are
   in force.  */
struct jc_key_note
{
  const char *name;
  uint64_t version;
  bool has_digest;
  unsigned char digest[JC_KEY_DIGEST_BYTES];
};

/* A request for ROUTE of ROUTES.  FAULT is JC_KEY_FAULT_NONE if its head has
   one readable KEY.  NOTE is that of the instance that handed it over, NULL if
   there is none.  */
struct jc_key_query
{
  const struct jc_routetable *routes;
  const struct jc_hostroute *route;
  enum jc_key_fault fault;
  struct jc_str key;
  const struct jc_key_note *note;
};

/* The answer to a query.  WORKSPACE is NULL on an anonymous route, without
   workspaces, and if only the other instance knows it; NOTE is for endpoints
   and for handing the request over again.  */
struct jc_key_verdict
{
  enum jc_key_fault fault;
  const struct jc_workspace *workspace;
  struct jc_key_note note;
};

void jc_key_secrets_derive (struct jc_key_secrets *secrets,
                            const char *group_key);
void jc_key_check (const struct jc_key_query *query,
                   struct jc_key_verdict *verdict);
char *jc_key_note_format (const struct jc_key_note *note,
                          const struct jc_key_secrets *secrets);
bool jc_key_note_parse (const char *text, const char *name,
                        const struct jc_key_secrets *secrets,
                        struct jc_key_note *note);
const char *jc_key_fault_name (enum jc_key_fault fault);

#endif
