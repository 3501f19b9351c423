/* Entry instances and endpoints of availability zones on virtual time, for
   tests of membership.  */

#ifndef ZONENODE_H
#define ZONENODE_H

#include "member/zone.h"
#include "tests/zonenet.h"

/* An entry instance.  */
struct zonenode
{
  struct zoneworld *world;
  char *name;
  char *zone;
  uint64_t incarnation;
  struct jc_members *members;
  struct jc_regions *regions;
  struct jc_zone *sharing;
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

/* All nodes and their clock.  */
struct zoneworld
{
  struct zonenet *net;
  GPtrArray *nodes;
  GPtrArray *points;
  int64_t now_ms;
};

struct zoneworld *zoneworld_new (void);
void zoneworld_free (struct zoneworld *world);
struct zonenode *zoneworld_add (struct zoneworld *world, const char *name,
                                const char *zone);
struct zonenode *zoneworld_find (struct zoneworld *world, const char *name);
void zoneworld_link (struct zoneworld *world, const char *a, const char *b,
                     bool up);
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
bool zonenode_uses (const struct zonenode *node, const char *endpoint);

#endif
