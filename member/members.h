/* Endpoints of an availability zone as they announced themselves, ordered by
   incarnation and sequence and kept by lease.  */

#ifndef JC_MEMBERS_H
#define JC_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "schema/gen/messages.h"

/* One endpoint.  Times are monotonic ms.  IN_FLIGHT counts the attempts of
   this process.  TAG stands for name and incarnation.  It is cold until
   WARM_MS.  */
struct jc_endpoint
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  char *address;
  char *service;
  char *zone;
  GPtrArray *models;
  char *role;
  unsigned int slots;
  unsigned int running;
  unsigned int queued;
  unsigned int tokens_per_s;
  int64_t reported_ms;
  int64_t lease_until_ms;
  unsigned int in_flight;
  int64_t shunned_until_ms;
  uint64_t tag;
  int64_t warm_ms;
};

struct jc_members;

struct jc_members *jc_members_new (void);
void jc_members_free (struct jc_members *members);
void jc_members_own_addresses (struct jc_members *members);
enum jc_status jc_members_announce (struct jc_members *members,
                                    const struct rpc_endpoint *said,
                                    int64_t now_ms);
enum jc_status jc_members_load (struct jc_members *members,
                                const struct rpc_zone_load *load,
                                int64_t now_ms);
enum jc_status jc_members_leave (struct jc_members *members, const char *name,
                                 uint64_t incarnation);
void jc_members_expire (struct jc_members *members, int64_t now_ms);
struct jc_endpoint *jc_members_find (const struct jc_members *members,
                                     const char *name);
struct jc_endpoint *jc_members_by_tag (const struct jc_members *members,
                                       uint64_t tag);
guint jc_members_count (const struct jc_members *members);
guint jc_members_tombstones (const struct jc_members *members);
void jc_members_all (const struct jc_members *members, GPtrArray *out);
void jc_members_serving (const struct jc_members *members, const char *service,
                         const char *model, int64_t now_ms, GPtrArray *out);
bool jc_endpoint_usable (const struct jc_endpoint *endpoint, int64_t now_ms);
void jc_endpoint_describe (const struct jc_endpoint *endpoint, int64_t now_ms,
                           struct rpc_endpoint *out);
struct rpc_zone_load jc_endpoint_load (const struct jc_endpoint *endpoint,
                                       int64_t now_ms);
uint64_t jc_member_hash (const char *a, const char *b);

#endif
