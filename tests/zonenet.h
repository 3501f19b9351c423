/* A network on virtual time for tests of membership: every message is
   encoded, counted, delayed and decoded, and may be lost or held.  */

#ifndef ZONENET_H
#define ZONENET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

struct zonenet;

/* Gets a message that arrived at node TO.  */
typedef void zonenet_deliver_fn (void *ctx, const char *from, const char *to,
                                 const struct rpc_packet *packet);

struct zonenet *zonenet_new (zonenet_deliver_fn *deliver, void *ctx);
void zonenet_free (struct zonenet *net);
void zonenet_cut (struct zonenet *net, const char *a, const char *b, bool cut);
bool zonenet_is_cut (const struct zonenet *net, const char *a, const char *b);
void zonenet_lose (struct zonenet *net, const char *from, const char *to,
                   unsigned int count);
void zonenet_send (struct zonenet *net, const char *from, const char *to,
                   struct rpc_packet *packet, int64_t arrives_ms);
void zonenet_beat (struct zonenet *net, const char *from, const char *to);
void zonenet_run (struct zonenet *net, int64_t now_ms);
uint64_t zonenet_sent (const struct zonenet *net, const char *node);
uint64_t zonenet_received (const struct zonenet *net, const char *node);
uint64_t zonenet_messages (const struct zonenet *net);

#endif
