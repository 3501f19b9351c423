/* RPC between the processes of a group: XDR records over TCP with
   authenticated peers, heartbeats in both directions and replacement of silent
   connections.  */

#ifndef JC_RPC_H
#define JC_RPC_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "schema/gen/messages.h"

enum
{
  /* Raised with each change of the messages (docs/design/upgrades.md).  Builds
     before the first level tell 0.  */
  JC_RPC_LEVEL = 4
};

struct jc_rpc;
struct jc_rpc_conn;

/* Identity of this process and parameters of its connections.  KEY_HEX is the
   key of the group in hexadecimal.  LEVEL is the protocol level of this
   process, which its peers are told; a level above JC_RPC_LEVEL stands for a
   later build.  A heartbeat is sent every HEARTBEAT_MS
   without other messages; a connection is dropped if nothing is received for
   SILENT_MS.  */
struct jc_rpc_identity
{
  const char *group;
  const char *name;
  const char *role;
  const char *region;
  const char *zone;
  const char *key_hex;
  uint64_t incarnation;
  uint64_t level;
  long heartbeat_ms;
  long silent_ms;
};

/* Callbacks of connections.  PACKET gets each message that is not the reply to
   a pending call; the packet is valid only during the callback.  A peer that
   sends other messages sends no heartbeats, but PACKET still gets one with the
   peer's configuration version at each interval.  UP and DOWN may be NULL.
   DOWN is never called from within a function of this interface.  */
struct jc_rpc_class
{
  void (*up) (void *ctx, struct jc_rpc_conn *conn);
  void (*down) (void *ctx, struct jc_rpc_conn *conn);
  void (*packet) (void *ctx, struct jc_rpc_conn *conn,
                  const struct rpc_packet *packet);
};

/* Gets the reply to a call.  STATUS is JC_OK or why the call failed; REPLY is
   NULL if no reply came.  */
typedef void jc_rpc_reply_fn (void *ctx, enum jc_status status,
                              const struct rpc_packet *reply);

struct jc_rpc *jc_rpc_new (struct ev_loop *loop,
                           const struct jc_rpc_identity *identity,
                           const struct jc_rpc_class *klass, void *ctx);
void jc_rpc_free (struct jc_rpc *rpc);
enum jc_status jc_rpc_listen (struct jc_rpc *rpc, const char *address);
int jc_rpc_port (const struct jc_rpc *rpc);
void jc_rpc_dial (struct jc_rpc *rpc, const char *name, const char *address);
void jc_rpc_dial_all (struct jc_rpc *rpc, const GPtrArray *peers);
void jc_rpc_stop_dialling (struct jc_rpc *rpc, const char *name);
void jc_rpc_set_config_version (struct jc_rpc *rpc, uint64_t version);
uint64_t jc_rpc_incarnation (const struct jc_rpc *rpc);
struct jc_rpc_conn *jc_rpc_find_conn (struct jc_rpc *rpc, const char *name);
void jc_rpc_get_directions (const struct jc_rpc *rpc, const char *name,
                            bool *dialled, bool *accepted);
void jc_rpc_list_conns (const struct jc_rpc *rpc, const char *role,
                        GPtrArray *out);
unsigned int jc_rpc_count_conns (const struct jc_rpc *rpc);
size_t jc_rpc_backlog_bytes (const struct jc_rpc *rpc);
void jc_rpc_append_metrics (const struct jc_rpc *rpc, GString *out);
uint64_t jc_rpc_bytes_sent (const struct jc_rpc *rpc);

const char *jc_rpc_conn_name (const struct jc_rpc_conn *conn);
const char *jc_rpc_conn_role (const struct jc_rpc_conn *conn);
const char *jc_rpc_conn_region (const struct jc_rpc_conn *conn);
const char *jc_rpc_conn_zone (const struct jc_rpc_conn *conn);
uint64_t jc_rpc_conn_incarnation (const struct jc_rpc_conn *conn);
uint64_t jc_rpc_conn_level (const struct jc_rpc_conn *conn);
int64_t jc_rpc_conn_silent_ms (const struct jc_rpc_conn *conn);
size_t jc_rpc_conn_backlog_bytes (const struct jc_rpc_conn *conn);

void jc_rpc_send_to_all (const GPtrArray *conns, struct rpc_packet *packet);
enum jc_status jc_rpc_send (struct jc_rpc_conn *conn,
                            struct rpc_packet *packet);
uint64_t jc_rpc_call (struct jc_rpc_conn *conn, struct rpc_packet *packet,
                      long timeout_ms, jc_rpc_reply_fn *reply, void *ctx);
void jc_rpc_cancel_call (struct jc_rpc *rpc, uint64_t xid);
enum jc_status jc_rpc_reply (struct jc_rpc_conn *conn,
                             const struct rpc_packet *request,
                             struct rpc_packet *reply);
enum jc_status jc_rpc_reply_error (struct jc_rpc_conn *conn,
                                   const struct rpc_packet *request,
                                   enum jc_status status, const char *message,
                                   unsigned int retry_after_ms);

#endif
