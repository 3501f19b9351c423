/* Configuration state machine: the state that results from applying the
   submissions of the replicated log in order.  Each submission yields a new
   version of the configuration or a rejection.  */

#ifndef JC_CONFSTATE_H
#define JC_CONFSTATE_H

#include "conf/config.h"
#include "schema/gen/messages.h"

/* The result of the first submission with a change id.  FAULTS is a JSON list.
   A resubmission with the same DIGEST gets the same result.  */
struct jc_submit_result
{
  char *change_id;
  char *digest;
  enum jc_status status;
  uint64_t version;
  char *faults;
};

/* An accepted change.  OBJECTS maps the path of each object it put to the
   object and the path of each one it deleted to null.  */
struct jc_change
{
  uint64_t version;
  char *change_id;
  char *author;
  json_t *objects;
};

/* The configuration in force, the results by change id and the most recent
   accepted changes.  Results of accepted changes up to PRUNED_VERSION may have
   been dropped.  */
struct jc_confstate
{
  struct jc_config *config;
  GHashTable *results;
  GQueue results_by_age;
  uint64_t pruned_version;
  GQueue recent_changes;
};

struct jc_confstate *jc_confstate_new (void);
void jc_confstate_free (struct jc_confstate *confstate);
GString *jc_confstate_encode_submit (const struct rpc_submit *submit);
const struct jc_submit_result *
jc_confstate_apply (struct jc_confstate *confstate, struct jc_str data);
void jc_confstate_snapshot (const struct jc_confstate *confstate, json_t *out);
enum jc_status jc_confstate_restore (struct jc_confstate *confstate,
                                     const json_t *in);
json_t *jc_confstate_delta (const struct jc_confstate *confstate, uint64_t have,
                            uint64_t *from);
const struct jc_change *
jc_confstate_find_change (const struct jc_confstate *confstate,
                          uint64_t version);

#endif
