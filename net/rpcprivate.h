/* Internals shared by the files of RPC.  */

#ifndef JC_RPC_PRIVATE_H
#define JC_RPC_PRIVATE_H

#include <netinet/in.h>

#include "base/str.h"
#include "net/rpc.h"

enum
{
  MAC_BYTES = 16,
  NONCE_BYTES = 16,
  KEY_BYTES = 32,
  HALF_OPEN_CONNS_MAX = 512,
  REDIAL_MIN_MS = 200,
  MS_PER_S = 1000
};

/* LEVEL is the protocol level of this process; UNKNOWN_KINDS counts messages of
   kinds that only peers of a higher level know.  LATEST_CONNS has, by the name
   of its peer, the usable connection to it that came up last.  */
struct jc_rpc
{
  struct ev_loop *loop;
  const struct jc_rpc_class *klass;
  void *ctx;
  char *group;
  char *name;
  char *role;
  char *region;
  char *zone;
  unsigned char key[KEY_BYTES];
  uint64_t incarnation;
  uint64_t level;
  uint64_t unknown_kinds;
  uint64_t config_version;
  long heartbeat_ms;
  long silent_ms;
  int listen_fd;
  int port;
  ev_io accept;
  ev_timer heartbeat_timer;
  ev_timer reaper;
  GPtrArray *conns;
  GHashTable *latest_conns;
  GPtrArray *dials;
  GHashTable *pending_calls;
  uint64_t last_xid;
  uint64_t last_serial;
  uint64_t bytes_sent;
  /* Rows of struct traffic, see rpctraffic.c.  */
  GPtrArray *traffic;
};

/* A peer that this process connects to, and again after a delay whenever the
   connection is lost.  CONN is NULL between attempts.  */
struct dial
{
  struct jc_rpc *rpc;
  char *name;
  struct sockaddr_in addr;
  struct jc_rpc_conn *conn;
  ev_timer redial_timer;
  int redial_ms;
};

/* A connection.  DIAL is the element of DIALS that it was opened for, or NULL.
   SERIAL orders connections by when they came up.  If DROP_REASON is not NULL,
   REAPER drops the connection for this reason, once no caller is on the stack.
   RECORDS_SENT and RECORDS_RECEIVED number the records, which their MACs cover;
   RECORDS_SENT_AT_HEARTBEAT is RECORDS_SENT at the last heartbeat.  NAME to
   LEVEL are those of the peer, set when it is authenticated.  */
struct jc_rpc_conn
{
  struct jc_rpc *rpc;
  struct dial *dial;
  bool dialled;
  uint64_t serial;
  const char *drop_reason;
  int fd;
  ev_io reader;
  ev_io writer;
  GByteArray *in;
  GByteArray *out;
  size_t out_pos;
  unsigned char own_nonce[NONCE_BYTES];
  unsigned char peer_nonce[NONCE_BYTES];
  unsigned char send_key[KEY_BYTES];
  unsigned char receive_key[KEY_BYTES];
  uint64_t records_sent;
  uint64_t records_received;
  uint64_t records_sent_at_heartbeat;
  uint64_t peer_config_version;
  bool heartbeat_report_due;
  ev_tstamp opened_at;
  ev_tstamp last_received_at;
  bool hello_sent;
  bool up;
  bool closed;
  char *name;
  char *role;
  char *region;
  char *zone;
  uint64_t incarnation;
  uint64_t level;
};

/* A call that waits for its reply.  */
struct pending_call
{
  struct jc_rpc *rpc;
  struct jc_rpc_conn *conn;
  uint64_t xid;
  ev_timer timer;
  jc_rpc_reply_fn *reply;
  void *ctx;
};

/* In rpc.c.  */
void rpc_schedule_reap (struct jc_rpc *rpc);
void rpc_schedule_redial (struct dial *dial);
void rpc_index_add (struct jc_rpc_conn *conn);
void rpc_index_remove (const struct jc_rpc_conn *conn);

/* In rpcconn.c.  */
void rpc_conn_drop (struct jc_rpc_conn *conn, const char *why);
struct jc_rpc_conn *rpc_conn_new (struct jc_rpc *rpc, int fd,
                                  struct dial *dial);
const char *rpc_conn_expiry_reason (const struct jc_rpc_conn *conn,
                                    ev_tstamp now);
void rpc_conn_heartbeat (struct jc_rpc_conn *conn);
void rpc_conn_free (struct jc_rpc_conn *conn);
void rpc_conn_schedule_drop (struct jc_rpc_conn *conn, const char *why);
bool rpc_conn_is_usable (const struct jc_rpc_conn *conn);
enum jc_status rpc_conn_queue_record (struct jc_rpc_conn *conn,
                                      struct jc_str bytes, enum rpc_type type);

/* In rpccall.c.  */
void rpc_pending_fail_all (struct jc_rpc_conn *conn);
void rpc_pending_finish (struct pending_call *pending, enum jc_status status,
                         const struct rpc_packet *reply);

void rpc_conn_fill_head (const struct jc_rpc_conn *conn,
                         struct rpc_packet *packet);
enum jc_status rpc_conn_queue_packet (struct jc_rpc_conn *conn,
                                      struct rpc_packet *packet);
void rpc_conn_mark_up (struct jc_rpc_conn *conn);

/* In rpchello.c.  */
void rpc_conn_send_hello (struct jc_rpc_conn *conn, enum rpc_type type,
                          bool with_proof);
void rpc_conn_handle_hello (struct jc_rpc_conn *conn,
                            const struct rpc_packet *packet);

/* In rpcdecode.c.  */
enum rpc_decoded
{
  RPC_DECODED,
  RPC_UNKNOWN_KIND,
  RPC_MALFORMED
};

enum rpc_decoded rpc_decode (struct jc_str bytes, uint64_t own_level,
                             uint64_t peer_level, struct rpc_packet *packet);

/* In rpcauth.c.  */
void rpc_auth_compute_mac (unsigned char *mac, const unsigned char *key,
                           uint64_t seq, const void *data, size_t size);
void rpc_auth_compute_proof (const struct jc_rpc_conn *conn, const char *label,
                             const struct rpc_packet *packet,
                             unsigned char *out);
void rpc_auth_derive_key (const struct jc_rpc_conn *conn, const char *label,
                          unsigned char *out);
bool rpc_auth_check_record (struct jc_rpc_conn *conn, const unsigned char *body,
                            size_t size);

/* In rpctraffic.c.  */
GPtrArray *rpc_traffic_new (void);
const char *rpc_traffic_kind_name (enum rpc_type type);
void rpc_traffic_count (GPtrArray *rows, enum rpc_type type, const char *zone,
                        size_t bytes);

#endif
