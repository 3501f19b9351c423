/* Exchange of capacity summaries between zones: each instance subscribes to the
   summaries of one instance of each other region and of each other zone of its
   own region.  */

#ifndef JC_SUMMARIES_H
#define JC_SUMMARIES_H

#include "member/endpoints.h"
#include "member/regions.h"
#include "member/zonesync.h"

struct jc_summaries;

/* SEND sends SUMMARY to the instance PEER; SUMMARY is valid only during the
   call.  It gets the CTX given to jc_summaries_new.  */
struct jc_summaries_class
{
  void (*send) (void *ctx, const char *peer,
                struct rpc_region_summary *summary);
};

struct jc_summaries *jc_summaries_new (const struct jc_local_instance *self,
                                       const struct jc_member_tables *tables,
                                       const struct jc_summaries_class *klass,
                                       void *ctx);
void jc_summaries_free (struct jc_summaries *summaries);
void jc_summaries_peer_up (struct jc_summaries *summaries, const char *peer,
                           const char *region, const char *zone,
                           uint64_t incarnation, int64_t now_ms);
void jc_summaries_peer_down (struct jc_summaries *summaries, const char *peer);
void jc_summaries_receive (struct jc_summaries *summaries, const char *peer,
                           const struct rpc_region_summary *summary,
                           int64_t now_ms);
void jc_summaries_tick (struct jc_summaries *summaries, int64_t now_ms);
void jc_summaries_accept_callers (struct jc_summaries *summaries,
                                  const char *callers_address);
void jc_summaries_drain (struct jc_summaries *summaries);

#endif
