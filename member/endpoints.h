/* Table of the endpoints of an availability zone, as they reported themselves.
   Reports are ordered by incarnation and sequence; an endpoint stays until its
   lease expires.  */

#ifndef JC_ENDPOINTS_H
#define JC_ENDPOINTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "member/reportorder.h"
#include "schema/gen/messages.h"

/* One endpoint.  Times are in milliseconds of the monotonic clock.  REPORTED_MS
   is when a daemon received its last report from it; that was certainly sent
   after SENT_AFTER_MS, which only the daemon that endpoints report to knows and
   is 0 elsewhere.  IN_FLIGHT counts the attempts of this process.  TAG is a
   hash of NAME and INCARNATION that identifies the endpoint in load reports.
   KNOWN_MS is when the first report of its incarnation came.  The endpoint is
   cold until WARM_AT_MS. SOFTWARE is the hash of the software version that this
   incarnation reported, 0 while it is unknown. ORDER says which further reports
   count.  REPORTER is the state instance that passed the last report on, an
   interned string, NULL if the owner of the table doesn't set it;
   REPORTER_IS_FAR tells that it is in another region.  The owner last sent a
   request at SENT_MS, and heard at COOLED_MS that an endpoint that was warm had
   become cold.  */
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
  int64_t known_ms;
  int64_t reported_ms;
  int64_t sent_after_ms;
  int64_t lease_until_ms;
  unsigned int in_flight;
  uint64_t tag;
  int64_t warm_at_ms;
  uint64_t software;
  struct jc_report_order order;
  const char *reporter;
  bool reporter_is_far;
  int64_t sent_ms;
  int64_t cooled_ms;
};

enum
{
  /* Intervals of reports after which an endpoint that is silent counts as
     gone.  */
  JC_ENDPOINT_LEASE_REPORTS = 5
};

struct jc_endpoints;

struct jc_endpoints *jc_endpoints_new (void);
void jc_endpoints_free (struct jc_endpoints *endpoints);
void jc_endpoints_require_unique_addresses (struct jc_endpoints *endpoints);
void jc_endpoints_expect_lease (struct jc_endpoints *endpoints,
                                uint32_t lease_ms);
enum jc_status jc_endpoints_update (struct jc_endpoints *endpoints,
                                    const struct rpc_endpoint *report,
                                    int64_t now_ms);
bool jc_endpoints_dispute (const struct jc_endpoints *endpoints,
                           const struct rpc_endpoint *report);
enum jc_status jc_endpoints_update_load (struct jc_endpoints *endpoints,
                                         const struct rpc_zone_load *load,
                                         int64_t now_ms);
enum jc_status jc_endpoints_mark_leaving (struct jc_endpoints *endpoints,
                                          const char *name,
                                          uint64_t incarnation);
bool jc_endpoints_end (struct jc_endpoints *endpoints, const char *name,
                       uint64_t incarnation, int64_t now_ms);
void
jc_endpoints_set_software (struct jc_endpoints *endpoints,
                           const struct rpc_endpoint_version *endpoint_version);
void jc_endpoints_expire (struct jc_endpoints *endpoints, int64_t now_ms);
struct jc_endpoint *jc_endpoints_find (const struct jc_endpoints *endpoints,
                                       const char *name);
struct jc_endpoint *
jc_endpoints_find_by_tag (const struct jc_endpoints *endpoints, uint64_t tag);
guint jc_endpoints_count (const struct jc_endpoints *endpoints);
guint jc_endpoints_count_tombstones (const struct jc_endpoints *endpoints);
void jc_endpoints_list (const struct jc_endpoints *endpoints, GPtrArray *out);
void jc_endpoints_list_serving (const struct jc_endpoints *endpoints,
                                const char *service, const char *model,
                                int64_t now_ms, GPtrArray *out);
void jc_endpoint_extend_lease (struct jc_endpoint *endpoint, int64_t until_ms);
bool jc_endpoint_is_usable (const struct jc_endpoint *endpoint, int64_t now_ms);
void jc_endpoint_to_rpc (const struct jc_endpoint *endpoint, int64_t now_ms,
                         struct rpc_endpoint *out);
struct rpc_zone_load
jc_endpoint_to_rpc_load (const struct jc_endpoint *endpoint, int64_t now_ms);
uint64_t jc_name_pair_hash (const char *a, const char *b);

#endif
