/* Changes: the applied state of the replicated log.  Submissions in their
   agreed order become versions of the configuration and answers.  */

#ifndef JC_CONFSTATE_H
#define JC_CONFSTATE_H

#include "conf/config.h"
#include "schema/gen/messages.h"

/* The first answer to a change id; FAULTS is a JSON list.  */
struct jc_submit_result
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
struct jc_confstate
{
  struct jc_config *config;
  GHashTable *results;
  GQueue results_by_age;
  uint64_t pruned_version;
  GQueue recent_changes;
};

struct jc_confstate *jc_confstate_new (void);
void jc_confstate_free (struct jc_confstate *changes);
GString *jc_confstate_encode_submit (const struct rpc_submit *submit);
const struct jc_submit_result *jc_confstate_apply (struct jc_confstate *changes,
                                                   struct jc_str data);
void jc_confstate_snapshot (const struct jc_confstate *changes, json_t *out);
enum jc_status jc_confstate_restore (struct jc_confstate *changes,
                                     const json_t *in);
json_t *jc_confstate_delta (const struct jc_confstate *changes, uint64_t have,
                            uint64_t *from);
const struct jc_change *
jc_confstate_find_change (const struct jc_confstate *changes, uint64_t version);

#endif
