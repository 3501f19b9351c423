/* Sharing of an availability zone's endpoints between its entry instances:
   each relays to the others what endpoints tell it.  */

#ifndef JC_ZONE_H
#define JC_ZONE_H

#include "member/members.h"
#include "member/regions.h"

struct jc_zone;

/* Where what a zone has to say goes: DELTA is for the instance PEER and lives
   until the call returns.  */
struct jc_zone_class
{
  void (*send) (void *ctx, const char *peer, struct rpc_zone_delta *delta);
};

/* The entry instance that shares.  CALLERS_ADDRESS is empty until callers may
   come.  */
struct jc_zone_self
{
  const char *name;
  const char *region;
  const char *zone;
  const char *callers_address;
  uint64_t incarnation;
};

/* What a zone shares with; none is owned.  */
struct jc_zone_tables
{
  struct jc_members *members;
  struct jc_regions *regions;
};

struct jc_zone *jc_zone_new (const struct jc_zone_self *self,
                             const struct jc_zone_tables *tables,
                             const struct jc_zone_class *klass, void *ctx);
void jc_zone_free (struct jc_zone *zone);
void jc_zone_up (struct jc_zone *zone, const char *peer, uint64_t incarnation,
                 int64_t now_ms);
void jc_zone_down (struct jc_zone *zone, const char *peer);
enum jc_status jc_zone_announced (struct jc_zone *zone,
                                  const struct rpc_endpoint *said,
                                  int64_t now_ms);
void jc_zone_delta (struct jc_zone *zone, const char *peer,
                    const struct rpc_zone_delta *delta, int64_t now_ms);
void jc_zone_tick (struct jc_zone *zone, int64_t now_ms);
void jc_zone_open (struct jc_zone *zone, const char *callers_address,
                   int64_t now_ms);
void jc_zone_drain (struct jc_zone *zone, int64_t now_ms);

#endif
