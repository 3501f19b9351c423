/* Shares of other entry instances of the region: what each holds of the
   endpoints whose slots are shared out, so that a request goes to one that may
   send it on.  */

#ifndef JC_SHAREPEERS_H
#define JC_SHAREPEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"
#include "serve/shares.h"

struct jc_share_peers;

/* Returns whether the instance NAME may get a request.  */
typedef bool jc_share_peer_fn (void *ctx, const char *name);

struct jc_share_peers *jc_share_peers_new (void);
void jc_share_peers_free (struct jc_share_peers *peers);
void jc_share_peers_apply (struct jc_share_peers *peers,
                           const struct rpc_share *row, int64_t now_ms);
void jc_share_peers_list_names (const struct jc_share_peers *peers,
                                const char *service, bool all, int64_t now_ms,
                                GPtrArray *out);
void jc_share_peers_list (const struct jc_share_peers *peers,
                          const char *service, int64_t now_ms, GArray *out);
bool jc_share_peers_have_leases (const struct jc_share_peers *peers,
                                 const char *service, int64_t now_ms);
const char *jc_share_peers_pick (struct jc_share_peers *peers,
                                 const char *service,
                                 const struct jc_share_load *own,
                                 jc_share_peer_fn *may_get, void *ctx,
                                 int64_t now_ms);
void jc_share_peers_note_sent (struct jc_share_peers *peers,
                               const char *instance, const char *service);
void jc_share_peers_expire (struct jc_share_peers *peers, int64_t now_ms);

#endif
