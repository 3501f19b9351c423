/* Simulated entry instances and endpoints of availability zones on virtual
   time, for tests of member/.  */

#ifndef MEMBERSIM_H
#define MEMBERSIM_H

#include "member/links.h"
#include "member/summaries.h"
#include "member/zonesync.h"
#include "tests/netsim.h"

/* An entry instance.  DIAL_TARGETS is the set of peers that its plan dials.  */
struct membersim_node
{
  struct membersim *sim;
  char *name;
  char *region;
  char *zone;
  uint64_t incarnation;
  struct jc_endpoints *endpoints;
  struct jc_regions *regions;
  struct jc_zone_sync *zone_sync;
  struct jc_summaries *summaries;
  struct jc_links *links;
  GHashTable *dial_targets;
};

/* An endpoint that reports each second to the instances ENTRIES.  SILENT: it
   has crashed and reports no more.  */
struct membersim_endpoint
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  char **entries;
  bool leaving;
  bool silent;
  int64_t next_report_ms;
};

/* All nodes and their clock.  CONNECTIONS is a set of "dialer>listener".
   MODEL_COUNT is the number of models that endpoints serve, 0 for one.  */
struct membersim
{
  struct netsim *net;
  GPtrArray *nodes;
  GHashTable *by_name;
  GHashTable *connections;
  GPtrArray *endpoints;
  unsigned int model_count;
  int64_t now_ms;
};

struct membersim *membersim_new (void);
void membersim_free (struct membersim *sim);
struct membersim_node *membersim_add_node (struct membersim *sim,
                                           const char *name, const char *region,
                                           const char *zone);
struct membersim_node *membersim_find_node (struct membersim *sim,
                                            const char *name);
void membersim_disconnect (struct membersim *sim, const char *a, const char *b);
unsigned int membersim_node_connections (const struct membersim_node *node);
void membersim_restart_node (struct membersim *sim, const char *name);
struct membersim_endpoint *membersim_add_endpoint (struct membersim *sim,
                                                   const char *name,
                                                   uint64_t incarnation,
                                                   const char *entries);
struct membersim_endpoint *membersim_find_endpoint (struct membersim *sim,
                                                    const char *name);
enum jc_status membersim_report (struct membersim *sim, const char *name,
                                 uint64_t incarnation, uint64_t sequence,
                                 bool leaving, const char *entry);
void membersim_endpoint_leave (struct membersim *sim,
                               struct membersim_endpoint *endpoint);
void membersim_run (struct membersim *sim, int64_t ms);
void membersim_node_accept_callers (struct membersim_node *node);
void membersim_node_drain (struct membersim_node *node);
bool membersim_node_uses (const struct membersim_node *node,
                          const char *endpoint);

#endif
