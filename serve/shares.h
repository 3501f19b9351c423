/* Shares of endpoints that end if they refuse too many requests.  Such an
   endpoint names its refusal limit, the refusals that it bears in a second, in
   all its answers.  From then on its slots are shared out: this instance has no
   more requests there than the slots stand for that it leases (see
   member/limitslots.h, member/slotowners.h), so that all instances together
   have no more than the endpoint serves at once, and none is refused.  Places
   where requests wait at the endpoint aren't counted on, since they may become
   fewer at any moment.

   All times are of a clock that counts the time while the machine is suspended,
   since leases end meanwhile.  */

#ifndef JC_SHARES_H
#define JC_SHARES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "member/endpoints.h"
#include "serve/protocol.h"

struct jc_shares;

/* How a request at an endpoint ended: it was answered or never sent, it was
   refused, or its outcome is not known, so that it may still run there.  */
enum jc_share_end
{
  JC_SHARE_ENDED,
  JC_SHARE_REFUSED,
  JC_SHARE_ABANDONED
};

/* The answer with INFO to the request SEND_NUMBER at an endpoint.  */
struct jc_share_answer
{
  const struct jc_answer_info *info;
  uint64_t send_number;
  int64_t now_ms;
};

/* What this instance holds of a service: requests that it may have at its
   endpoints, and those that it has there.  */
struct jc_share_load
{
  unsigned int slots;
  unsigned int used;
};

struct jc_shares *jc_shares_new (void);
void jc_shares_free (struct jc_shares *shares);
bool jc_shares_note_answer (struct jc_shares *shares,
                            const struct jc_endpoint *endpoint,
                            const struct jc_share_answer *answer);
bool jc_shares_note_heard (struct jc_shares *shares, const char *service,
                           int64_t heard_ms, int64_t now_ms);
int64_t jc_shares_heard_ms (const struct jc_shares *shares, const char *service,
                            int64_t now_ms);
bool jc_shares_is_service_shared (const struct jc_shares *shares,
                                  const char *service, int64_t now_ms);
bool jc_shares_is_shared (const struct jc_shares *shares,
                          const struct jc_endpoint *endpoint, int64_t now_ms);
bool jc_shares_may_send (struct jc_shares *shares,
                         const struct jc_endpoint *endpoint, int64_t now_ms);
void jc_shares_note_send (struct jc_shares *shares,
                          const struct jc_endpoint *endpoint,
                          uint64_t send_number, int64_t now_ms);
void jc_shares_note_end (struct jc_shares *shares, const char *endpoint,
                         uint64_t incarnation, enum jc_share_end end,
                         int64_t now_ms);
void jc_shares_note_lease (struct jc_shares *shares,
                           const struct rpc_limit_lease *lease, int64_t now_ms);
void jc_shares_use_unleased (struct jc_shares *shares,
                             const struct jc_endpoint *endpoint,
                             unsigned int slots, int64_t until_ms,
                             int64_t now_ms);
unsigned int jc_shares_due (struct jc_shares *shares,
                            const struct jc_endpoint *endpoint,
                            unsigned int wanted, int64_t now_ms);
struct jc_share_load jc_shares_load (struct jc_shares *shares,
                                     const struct jc_endpoint *endpoint,
                                     int64_t now_ms);
bool jc_shares_refused_lately (struct jc_shares *shares, const char *endpoint,
                               uint64_t incarnation, int64_t now_ms);
void jc_shares_list_services (const struct jc_shares *shares, int64_t now_ms,
                              GPtrArray *out);
void jc_shares_expire (struct jc_shares *shares, int64_t now_ms);

#endif
