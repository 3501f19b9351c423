/* Synchronization of the endpoint tables of the entry instances of an
   availability zone: each sends the others the reports that it receives from
   endpoints.  */

#ifndef JC_ZONE_SYNC_H
#define JC_ZONE_SYNC_H

#include "member/endpoints.h"
#include "member/regions.h"

struct jc_zone_sync;

/* SEND sends DELTA to the instance PEER; DELTA is valid only during the call.
   It gets the CTX given to jc_zone_sync_new.  */
struct jc_zone_sync_class
{
  void (*send) (void *ctx, const char *peer, struct rpc_zone_delta *delta);
};

/* This entry instance.  CALLERS_ADDRESS is empty until it accepts callers.
   INCARNATION differs for each process that runs under NAME.  */
struct jc_local_instance
{
  const char *name;
  const char *region;
  const char *zone;
  const char *callers_address;
  uint64_t incarnation;
};

/* The tables kept in sync; they are borrowed.  */
struct jc_member_tables
{
  struct jc_endpoints *endpoints;
  struct jc_regions *regions;
};

struct jc_zone_sync *jc_zone_sync_new (const struct jc_local_instance *self,
                                       const struct jc_member_tables *tables,
                                       const struct jc_zone_sync_class *klass,
                                       void *ctx);
void jc_zone_sync_free (struct jc_zone_sync *sync);
void jc_zone_sync_peer_up (struct jc_zone_sync *sync, const char *peer,
                           uint64_t incarnation, int64_t now_ms);
void jc_zone_sync_peer_down (struct jc_zone_sync *sync, const char *peer);
enum jc_status jc_zone_sync_report (struct jc_zone_sync *sync,
                                    const struct rpc_endpoint *report,
                                    int64_t now_ms);
void jc_zone_sync_receive (struct jc_zone_sync *sync, const char *peer,
                           const struct rpc_zone_delta *delta, int64_t now_ms);
void jc_zone_sync_tick (struct jc_zone_sync *sync, int64_t now_ms);
void jc_zone_sync_accept_callers (struct jc_zone_sync *sync,
                                  const char *callers_address, int64_t now_ms);
void jc_zone_sync_drain (struct jc_zone_sync *sync, int64_t now_ms);

#endif
