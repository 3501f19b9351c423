/* Workspaces of a configuration: their keys, regions, priorities and quotas.  A
   set belongs to a route table and does not change once that is checked.  */

#ifndef JC_WORKSPACES_H
#define JC_WORKSPACES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

enum
{
  /* The priority of a workspace that leaves it to the route.  */
  JC_PRIORITY_OF_ROUTE = -1,
  JC_KEY_DIGEST_BYTES = 16,
  /* Bytes of the secret that digests of keys depend on.  */
  JC_KEY_SECRET_BYTES = 32
};

/* What a quota counts.  */
enum jc_quota_unit
{
  JC_QUOTA_REQUESTS,
  JC_QUOTA_TOKENS
};

/* How much the requests of a workspace may use, summed over all instances:
   PER_S units a second and BURST units at once.  PER_S 0 means no limit.  A
   request that doesn't say how many tokens it has counts as PLAIN_TOKENS.  */
struct jc_quota
{
  enum jc_quota_unit unit;
  double per_s;
  double burst;
  unsigned int plain_tokens;
};

/* A workspace.  HOME_REGIONS are the only regions that may serve it; if it is
   empty, all may.  PRIORITY replaces the priority of the route unless it is
   JC_PRIORITY_OF_ROUTE.  */
struct jc_workspace
{
  char *name;
  int priority;
  GPtrArray *home_regions;
  struct jc_quota quota;
};

struct jc_workspaces;

struct jc_workspaces *jc_workspaces_new (void);
void jc_workspaces_free (struct jc_workspaces *workspaces);
void jc_workspaces_set_secret (struct jc_workspaces *workspaces,
                               const unsigned char *secret);
struct jc_workspace *jc_workspaces_add (struct jc_workspaces *workspaces,
                                        const char *name);
bool jc_workspaces_add_key (struct jc_workspaces *workspaces,
                            const struct jc_workspace *workspace,
                            struct jc_str key);
const struct jc_workspace *
jc_workspaces_find (const struct jc_workspaces *workspaces, const char *name);
const struct jc_workspace *
jc_workspaces_find_key (const struct jc_workspaces *workspaces,
                        struct jc_str key);
const struct jc_workspace *
jc_workspaces_find_digest (const struct jc_workspaces *workspaces,
                           const unsigned char *digest);
void jc_workspaces_digest (const struct jc_workspaces *workspaces,
                           struct jc_str key, unsigned char *out);
unsigned int jc_workspaces_count (const struct jc_workspaces *workspaces);
bool jc_workspace_allows (const struct jc_workspace *workspace,
                          const char *region);

#endif
