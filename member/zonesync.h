/* Sharing of an availability zone's endpoints between its entry instances:
   each relays to the others what endpoints tell it.  */

#ifndef JC_ZONE_SYNC_H
#define JC_ZONE_SYNC_H

#include "member/endpoints.h"
#include "member/regions.h"

struct jc_zone_sync;

/* Where what a zone has to say goes: DELTA is for the instance PEER and lives
   until the call returns.  */
struct jc_zone_sync_class
{
  void (*send) (void *ctx, const char *peer, struct rpc_zone_delta *delta);
};

/* The entry instance that shares.  CALLERS_ADDRESS is empty until callers may
   come.  */
struct jc_local_instance
{
  const char *name;
  const char *region;
  const char *zone;
  const char *callers_address;
  uint64_t incarnation;
};

/* What a zone shares with; none is owned.  */
struct jc_member_tables
{
  struct jc_endpoints *endpoints;
  struct jc_regions *regions;
};

struct jc_zone_sync *jc_zone_sync_new (const struct jc_local_instance *self,
                                       const struct jc_member_tables *tables,
                                       const struct jc_zone_sync_class *klass,
                                       void *ctx);
void jc_zone_sync_free (struct jc_zone_sync *zone);
void jc_zone_sync_peer_up (struct jc_zone_sync *zone, const char *peer,
                           uint64_t incarnation, int64_t now_ms);
void jc_zone_sync_peer_down (struct jc_zone_sync *zone, const char *peer);
enum jc_status jc_zone_sync_report (struct jc_zone_sync *zone,
                                    const struct rpc_endpoint *said,
                                    int64_t now_ms);
void jc_zone_sync_receive (struct jc_zone_sync *zone, const char *peer,
                           const struct rpc_zone_delta *delta, int64_t now_ms);
void jc_zone_sync_tick (struct jc_zone_sync *zone, int64_t now_ms);
void jc_zone_sync_accept_callers (struct jc_zone_sync *zone,
                                  const char *callers_address, int64_t now_ms);
void jc_zone_sync_drain (struct jc_zone_sync *zone, int64_t now_ms);

#endif
