/* Entry instances and endpoints of availability zones on virtual time, for
   tests of membership.  */

#ifndef ZONENODE_H
#define ZONENODE_H

#include "member/links.h"
#include "member/summaries.h"
#include "member/zone.h"
#include "tests/zonenet.h"

/* An entry instance.  DIALS are the peers that it wants a connection to.  */
struct zonenode
{
  struct zoneworld *world;
  char *name;
  char *region;
  char *zone;
  uint64_t incarnation;
  struct jc_members *members;
  struct jc_regions *regions;
  struct jc_zone *sharing;
  struct jc_summaries *summaries;
  struct jc_links *links;
  GHashTable *dials;
};

/* An endpoint that announces itself each second to the instances of its
   list.  */
struct zonepoint
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  char **entries;
  bool leaving;
  bool silent;
  int64_t next_ms;
};

/* All nodes and their clock.  CONNECTIONS has "dialer>listener".  */
struct zoneworld
{
  struct zonenet *net;
  GPtrArray *nodes;
  GHashTable *by_name;
  GHashTable *connections;
  GPtrArray *points;
  unsigned int models;
  int64_t now_ms;
};

struct zoneworld *zoneworld_new (void);
void zoneworld_free (struct zoneworld *world);
struct zonenode *zoneworld_add (struct zoneworld *world, const char *name,
                                const char *region, const char *zone);
struct zonenode *zoneworld_find (struct zoneworld *world, const char *name);
void zoneworld_down (struct zoneworld *world, const char *a, const char *b);
unsigned int zonenode_connections (const struct zonenode *node);
void zoneworld_restart (struct zoneworld *world, const char *name);
struct zonepoint *zoneworld_point (struct zoneworld *world, const char *name,
                                   uint64_t incarnation, const char *entries);
struct zonepoint *zoneworld_find_point (struct zoneworld *world,
                                        const char *name);
enum jc_status zonepoint_say (struct zoneworld *world, const char *name,
                              uint64_t incarnation, uint64_t sequence,
                              bool leaving, const char *entry);
void zonepoint_leave (struct zoneworld *world, struct zonepoint *point);
void zoneworld_run (struct zoneworld *world, int64_t ms);
void zonenode_open (struct zonenode *node);
void zonenode_drain (struct zonenode *node);
bool zonenode_uses (const struct zonenode *node, const char *endpoint);

#endif
