/* Simulated network on virtual time, for tests of member/: every message is
   encoded, counted, delayed and decoded, and may be dropped.  */

#ifndef NETSIM_H
#define NETSIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

struct netsim;

/* Called for each message that arrives at node TO.  PACKET is valid only during
   the call.  */
typedef void netsim_deliver_fn (void *ctx, const char *from, const char *to,
                                const struct rpc_packet *packet);

struct netsim *netsim_new (netsim_deliver_fn *deliver, void *ctx);
void netsim_free (struct netsim *net);
void netsim_set_cut (struct netsim *net, const char *a, const char *b,
                     bool cut);
bool netsim_is_cut (const struct netsim *net, const char *a, const char *b);
void netsim_drop_next (struct netsim *net, const char *from, const char *to,
                       unsigned int count);
void netsim_send (struct netsim *net, const char *from, const char *to,
                  struct rpc_packet *packet, int64_t arrives_ms);
void netsim_heartbeat (struct netsim *net, const char *from, const char *to);
void netsim_deliver_due (struct netsim *net, int64_t now_ms);
uint64_t netsim_sent_bytes (const struct netsim *net, const char *node);
uint64_t netsim_received_bytes (const struct netsim *net, const char *node);
uint64_t netsim_message_count (const struct netsim *net);

#endif
