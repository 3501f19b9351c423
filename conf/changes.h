/* Changes: the applied state of the replicated log.  Submissions in their
   agreed order become versions of the configuration and answers.  */

#ifndef JC_CHANGES_H
#define JC_CHANGES_H

#include "conf/config.h"
#include "schema/gen/messages.h"

/* The first answer to a change id; FAULTS is a JSON list.  */
struct jc_answer
{
  char *change_id;
  char *digest;
  enum jc_status status;
  uint64_t version;
  char *faults;
};

/* One accepted change: what it put or deleted, by path.  */
struct jc_change
{
  uint64_t version;
  char *change_id;
  char *author;
  json_t *objects;
};

/* The configuration in force, the answers given and the latest changes.
   Answers of accepted changes up to FORGOTTEN_VERSION may be forgotten.  */
struct jc_changes
{
  struct jc_config *config;
  GHashTable *answers;
  GQueue order;
  uint64_t forgotten_version;
  GQueue recent;
};

struct jc_changes *jc_changes_new (void);
void jc_changes_free (struct jc_changes *changes);
GString *jc_changes_encode (const struct rpc_submit *submit);
const struct jc_answer *jc_changes_apply (struct jc_changes *changes,
                                          struct jc_str data);
void jc_changes_snapshot (const struct jc_changes *changes, json_t *out);
enum jc_status jc_changes_restore (struct jc_changes *changes,
                                   const json_t *in);
json_t *jc_changes_delta (const struct jc_changes *changes, uint64_t have,
                          uint64_t *from);
const struct jc_change *jc_changes_find (const struct jc_changes *changes,
                                         uint64_t version);

#endif
