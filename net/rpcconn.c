/* RPC: a connection, from the handshake to its close.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "net/rpcprivate.h"

#define LOG_COMPONENT "rpc"
#define LAST_FRAGMENT 0x80000000U

enum
{
  /* Records use the record marking of RFC 5531, section 11, with a single
     fragment.  */
  RECORD_MARK_BYTES = 4,
  RECORD_MAX_BYTES = 20 * 1024 * 1024,
  HELLO_RECORD_MAX_BYTES = 2048,
  BACKLOG_MAX_BYTES = 24 * 1024 * 1024,
  BUFFER_KEPT_BYTES = 256 * 1024,
  READ_BYTES = 64 * 1024
};

/* Drop CONN for the reason WHY in the next iteration of the loop, since a
   caller may still hold it on the stack.  From now on it is not usable.  */
void
rpc_conn_schedule_drop (struct jc_rpc_conn *conn, const char *why)
{
  if (conn->closed || conn->drop_reason != NULL)
    return;
  conn->drop_reason = why;
  rpc_index_remove (conn);
  ev_io_stop (conn->rpc->loop, &conn->reader);
  ev_io_stop (conn->rpc->loop, &conn->writer);
  rpc_schedule_reap (conn->rpc);
}

/* Close CONN for the reason WHY, tell its owner, and fail its calls.  It is
   freed in the next iteration of the loop, since callers may still hold it on
   the stack.  */
void
rpc_conn_drop (struct jc_rpc_conn *conn, const char *why)
{
  struct jc_rpc *rpc = conn->rpc;
  struct dial *dial = conn->dial;

  if (conn->closed)
    return;
  conn->closed = true;
  jc_debug (LOG_COMPONENT, "Dropped the connection to %s: %s.",
            conn->name != NULL ? conn->name : "?", why);
  ev_io_stop (rpc->loop, &conn->reader);
  ev_io_stop (rpc->loop, &conn->writer);
  close (conn->fd);
  if (conn->up)
    {
      conn->up = false;
      rpc_index_remove (conn);
      if (rpc->klass->down != NULL)
        rpc->klass->down (rpc->ctx, conn);
    }
  rpc_pending_fail_all (conn);
  if (dial != NULL)
    {
      dial->conn = NULL;
      conn->dial = NULL;
      rpc_schedule_redial (dial);
    }
  rpc_schedule_reap (rpc);
}

/* Free CONN, which must be closed.  */
void
rpc_conn_free (struct jc_rpc_conn *conn)
{
  g_byte_array_free (conn->in, TRUE);
  g_byte_array_free (conn->out, TRUE);
  g_free (conn->name);
  g_free (conn->role);
  g_free (conn->region);
  g_free (conn->zone);
  g_free (conn);
}

/* Empty BUFFER.  If a large record was in it, its memory is freed.  */
static void
buffer_clear (GByteArray **buffer)
{
  if ((*buffer)->len <= BUFFER_KEPT_BYTES)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  g_byte_array_free (*buffer, TRUE);
  *buffer = g_byte_array_new ();
}

/* Write the output of CONN.  What the socket does not take is written when it
   is writable.  */
static void
conn_flush (struct jc_rpc_conn *conn)
{
  while (!conn->closed && conn->drop_reason == NULL
         && conn->out_pos < conn->out->len)
    {
      ssize_t written = send (conn->fd, conn->out->data + conn->out_pos,
                              conn->out->len - conn->out_pos, MSG_NOSIGNAL);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0 && (errno == EAGAIN || errno == ENOTCONN))
        {
          ev_io_start (conn->rpc->loop, &conn->writer);
          return;
        }
      if (written < 0)
        {
          rpc_conn_schedule_drop (conn, "send failed");
          return;
        }
      conn->out_pos += (size_t)written;
      conn->rpc->bytes_sent += (uint64_t)written;
    }
  buffer_clear (&conn->out);
  conn->out_pos = 0;
  ev_io_stop (conn->rpc->loop, &conn->writer);
}

/* Fill in the head of PACKET.  Names are left out once CONN is up, since the
   peer has authenticated them.  */
void
rpc_conn_fill_head (const struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  const struct jc_rpc *rpc = conn->rpc;

  packet->head.group = conn->up ? (char *)"" : rpc->group;
  packet->head.sender = conn->up ? (char *)"" : rpc->name;
  packet->head.incarnation = rpc->incarnation;
  packet->head.config_version = rpc->config_version;
}

/* Append BYTES, an encoded message of TYPE, to the output of CONN, with a MAC
   once CONN is up, and write it.  Schedule CONN to be dropped if too many bytes
   wait.  */
enum jc_status
rpc_conn_queue_record (struct jc_rpc_conn *conn, struct jc_str bytes,
                       enum rpc_type type)
{
  bool authenticated = conn->up;
  size_t total = bytes.len + (authenticated ? MAC_BYTES : 0);
  uint32_t mark = htonl ((uint32_t)total | LAST_FRAGMENT);
  guint at = conn->out->len;
  unsigned char *body;

  if (bytes.len == 0 || total > RECORD_MAX_BYTES)
    return jc_fail (JC_TOO_LARGE, "The message is too large.");
  if (jc_rpc_conn_backlog_bytes (conn) + total > BACKLOG_MAX_BYTES)
    {
      rpc_conn_schedule_drop (conn, "the send backlog is full");
      return jc_fail (JC_UNREACHABLE, "The peer reads too slowly.");
    }
  g_byte_array_set_size (conn->out, at + RECORD_MARK_BYTES + (guint)total);
  memcpy (conn->out->data + at, &mark, RECORD_MARK_BYTES);
  body = conn->out->data + at + RECORD_MARK_BYTES;
  memcpy (body, bytes.data, bytes.len);
  if (authenticated)
    rpc_auth_compute_mac (body + bytes.len, conn->send_key,
                          conn->records_sent++, body, bytes.len);
  rpc_traffic_count (conn->rpc->traffic, type, conn->zone,
                     RECORD_MARK_BYTES + total);
  conn_flush (conn);
  if (conn->closed || conn->drop_reason != NULL)
    return jc_fail (JC_UNREACHABLE, "The connection broke.");
  return JC_OK;
}

/* Return the encoded PACKET, whose head is filled in, to be freed with g_free,
   and set SIZE to its bytes.  Return NULL on failure, with its reason in
   STATUS.  */
static char *
packet_encode (struct rpc_packet *packet, size_t *size, enum jc_status *status)
{
  char *data;
  bool encoded;
  XDR xdr;

  *size = xdr_sizeof ((xdrproc_t)xdr_rpc_packet, packet);
  if (*size == 0 || *size > RECORD_MAX_BYTES)
    {
      *status = jc_fail (JC_TOO_LARGE, "The message is too large.");
      return NULL;
    }
  data = g_malloc (*size);
  xdrmem_create (&xdr, data, (u_int)*size, XDR_ENCODE);
  encoded = xdr_rpc_packet (&xdr, packet);
  xdr_destroy (&xdr);
  if (encoded)
    return data;
  g_free (data);
  *status = jc_fail (JC_INTERNAL, "The message can't be encoded.");
  return NULL;
}

/* Encode PACKET and queue it on CONN.  */
enum jc_status
rpc_conn_queue_packet (struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  enum jc_status status = JC_OK;
  size_t size;
  char *data = packet_encode (packet, &size, &status);

  if (data == NULL)
    return status;
  status = rpc_conn_queue_record (
      conn, (struct jc_str){ .data = data, .len = size }, packet->body.type);
  g_free (data);
  return status;
}

/* Drop connections that CONN, which is about to come up, replaces: those to an
   earlier incarnation of the peer, and an older one that was opened by the
   same side.  */
static void
conn_drop_superseded (const struct jc_rpc_conn *conn)
{
  const struct jc_rpc *rpc = conn->rpc;

  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *other = g_ptr_array_index (rpc->conns, i - 1);

      if (other != conn && other->up && strcmp (other->name, conn->name) == 0
          && (other->incarnation != conn->incarnation
              || other->dialled == conn->dialled))
        rpc_conn_schedule_drop (other, "a newer connection replaced it");
    }
}

/* Put CONN into use after the handshake: derive its keys, drop what it
   replaces and tell the owner.  */
void
rpc_conn_mark_up (struct jc_rpc_conn *conn)
{
  struct jc_rpc *rpc = conn->rpc;

  rpc_auth_derive_key (conn, conn->dialled ? "to listener" : "to dialer",
                       conn->send_key);
  rpc_auth_derive_key (conn, conn->dialled ? "to dialer" : "to listener",
                       conn->receive_key);
  conn_drop_superseded (conn);
  conn->serial = ++rpc->last_serial;
  conn->up = true;
  rpc_index_add (conn);
  if (conn->dial != NULL)
    conn->dial->redial_ms = REDIAL_MIN_MS;
  jc_debug (LOG_COMPONENT, "Connection to %s is up.", conn->name);
  if (rpc->klass->up != NULL)
    rpc->klass->up (rpc->ctx, conn);
}

/* Pass PACKET to the pending call that it replies to, or else to the owner of
   CONN.  */
static void
conn_handle_packet (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  struct jc_rpc *rpc = conn->rpc;
  struct pending_call *pending;
  uint64_t reply_to = packet->head.reply_to;

  if (!conn->up)
    {
      rpc_conn_handle_hello (conn, packet);
      return;
    }
  conn->peer_config_version = packet->head.config_version;
  conn->heartbeat_report_due = packet->body.type != RPC_HEARTBEAT;
  pending = g_hash_table_lookup (rpc->pending_calls, &reply_to);
  if (reply_to != 0 && pending != NULL && pending->conn == conn)
    {
      enum jc_status status = JC_OK;

      if (packet->body.type == RPC_FAILURE)
        status
            = jc_fail ((enum jc_status)packet->body.rpc_body_u.failure.status,
                       "%s", packet->body.rpc_body_u.failure.message);
      rpc_pending_finish (pending, status, packet);
      return;
    }
  rpc->klass->packet (rpc->ctx, conn, packet);
}

/* Return whether BODY is a message of the handshake.  Nothing else is decoded
   for a peer that is not authenticated.  */
static bool
record_is_hello (unsigned char *body, size_t size)
{
  struct rpc_head head;
  enum rpc_type type = RPC_HEARTBEAT;
  XDR xdr;
  bool ok;

  memset (&head, 0, sizeof head);
  xdrmem_create (&xdr, (char *)body, (u_int)size, XDR_DECODE);
  ok = xdr_rpc_head (&xdr, &head) && xdr_rpc_type (&xdr, &type);
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_head, (char *)&head);
  return ok && (type == RPC_HELLO || type == RPC_HELLO_ACK);
}

/* Put the names that the peer authenticated into the head of PACKET.  They are
   freed by xdr_free.  */
static void
packet_restore_sender (const struct jc_rpc_conn *conn,
                       struct rpc_packet *packet)
{
  free (packet->head.group);
  free (packet->head.sender);
  packet->head.group = strdup (conn->rpc->group);
  packet->head.sender = strdup (conn->name);
  packet->head.incarnation = conn->incarnation;
}

/* Count PACKET, of which only the head is known.  A call is answered.  */
static void
conn_leave_out (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  conn->rpc->unknown_kinds++;
  if (packet->head.xid != 0 && packet->head.reply_to == 0)
    jc_rpc_reply_error (conn, packet, JC_NOT_FOUND,
                        "This build does not know the message.", 0);
}

/* Check and decode BODY, a record of SIZE bytes with its MAC, and handle the
   message.  */
static void
conn_handle_record (struct jc_rpc_conn *conn, unsigned char *body, size_t size)
{
  struct rpc_packet packet;
  struct jc_str bytes = { .data = (const char *)body, .len = size };
  uint64_t own_level = conn->rpc->level;

  if (conn->up)
    {
      if (size < MAC_BYTES
          || !rpc_auth_check_record (conn, body, size - MAC_BYTES))
        {
          rpc_conn_drop (conn, "a record has an invalid MAC");
          return;
        }
      bytes.len -= MAC_BYTES;
    }
  else if (!record_is_hello (body, size))
    {
      rpc_conn_drop (conn, "the record is not a handshake message");
      return;
    }
  switch (rpc_decode (bytes, own_level, conn->up ? conn->level : own_level,
                      &packet))
    {
    case RPC_DECODED:
      if (conn->up)
        packet_restore_sender (conn, &packet);
      conn_handle_packet (conn, &packet);
      break;
    case RPC_UNKNOWN_KIND:
      conn_leave_out (conn, &packet);
      break;
    case RPC_MALFORMED:
      rpc_conn_drop (conn, "a record can't be decoded");
      break;
    }
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)&packet);
}

/* Handle all complete records in the input of CONN.  */
static void
conn_parse_records (struct jc_rpc_conn *conn)
{
  size_t pos = 0;

  while (!conn->closed && conn->drop_reason == NULL
         && conn->in->len - pos >= RECORD_MARK_BYTES)
    {
      uint32_t mark;
      size_t size;
      size_t limit = conn->up ? RECORD_MAX_BYTES : HELLO_RECORD_MAX_BYTES;

      memcpy (&mark, conn->in->data + pos, RECORD_MARK_BYTES);
      mark = ntohl (mark);
      size = mark & ~LAST_FRAGMENT;
      if (!(mark & LAST_FRAGMENT) || size == 0 || size > limit)
        {
          rpc_conn_drop (conn, "invalid record mark");
          return;
        }
      if (conn->in->len - pos - RECORD_MARK_BYTES < size)
        break;
      conn_handle_record (conn, conn->in->data + pos + RECORD_MARK_BYTES, size);
      pos += RECORD_MARK_BYTES + size;
    }
  if (pos == conn->in->len)
    buffer_clear (&conn->in);
  else if (pos > 0)
    g_byte_array_remove_range (conn->in, 0, (guint)pos);
}

static void
conn_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_rpc_conn *conn = watcher->data;
  unsigned char buf[READ_BYTES];
  ssize_t bytes_received = recv (conn->fd, buf, sizeof buf, 0);

  (void)events;
  if (bytes_received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (bytes_received <= 0)
    {
      rpc_conn_drop (conn, bytes_received == 0 ? "closed by the peer"
                                               : strerror (errno));
      return;
    }
  conn->last_received_at = ev_now (loop);
  g_byte_array_append (conn->in, buf, (guint)bytes_received);
  conn_parse_records (conn);
}

static void
conn_on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  conn_flush (watcher->data);
}

/* Return a connection of RPC on the socket FD.  DIAL is the element of DIALS
   that it was opened for, NULL for an accepted one.  */
struct jc_rpc_conn *
rpc_conn_new (struct jc_rpc *rpc, int fd, struct dial *dial)
{
  struct jc_rpc_conn *conn = g_new0 (struct jc_rpc_conn, 1);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->rpc = rpc;
  conn->fd = fd;
  conn->dial = dial;
  conn->dialled = dial != NULL;
  conn->opened_at = ev_now (rpc->loop);
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->last_received_at = ev_now (rpc->loop);
  randombytes_buf (conn->own_nonce, NONCE_BYTES);
  ev_io_init (&conn->reader, conn_on_readable, fd, EV_READ);
  ev_io_init (&conn->writer, conn_on_writable, fd, EV_WRITE);
  conn->reader.data = conn;
  conn->writer.data = conn;
  ev_io_start (rpc->loop, &conn->reader);
  g_ptr_array_add (rpc->conns, conn);
  return conn;
}

/* Return why CONN is to be dropped at NOW, or NULL.  The handshake must be
   complete within the time that a peer may be silent, however much it sends,
   so that no peer can keep a connection open without authentication.  */
const char *
rpc_conn_expiry_reason (const struct jc_rpc_conn *conn, ev_tstamp now)
{
  double silent_s = (double)conn->rpc->silent_ms / MS_PER_S;

  if (now - conn->last_received_at > silent_s)
    return "no data was received in time";
  if (!conn->up && now - conn->opened_at > silent_s)
    return "the handshake took too long";
  return NULL;
}

/* Pass a heartbeat with the latest configuration version of the peer to the
   owner, since the peer sent other messages in place of heartbeats.  */
static void
conn_report_heartbeat (struct jc_rpc_conn *conn)
{
  struct rpc_packet heartbeat = { .body.type = RPC_HEARTBEAT };

  conn->heartbeat_report_due = false;
  heartbeat.head.group = conn->rpc->group;
  heartbeat.head.sender = conn->name;
  heartbeat.head.incarnation = conn->incarnation;
  heartbeat.head.config_version = conn->peer_config_version;
  conn->rpc->klass->packet (conn->rpc->ctx, conn, &heartbeat);
}

/* Send a heartbeat on CONN if nothing else was sent since the last call, and
   report one of the peer if it sent other messages in place of a heartbeat.  */
void
rpc_conn_heartbeat (struct jc_rpc_conn *conn)
{
  struct rpc_packet heartbeat = { .body.type = RPC_HEARTBEAT };

  if (conn->records_sent == conn->records_sent_at_heartbeat)
    jc_rpc_send (conn, &heartbeat);
  conn->records_sent_at_heartbeat = conn->records_sent;
  if (conn->heartbeat_report_due)
    conn_report_heartbeat (conn);
}

/* Return how long ago bytes of CONN's peer came, ms: a heartbeat that stands
   for other messages is passed on later than these.  */
int64_t
jc_rpc_conn_silent_ms (const struct jc_rpc_conn *conn)
{
  return (int64_t)((ev_now (conn->rpc->loop) - conn->last_received_at)
                   * MS_PER_S);
}

/* Return whether CONN is up and not about to be dropped.  */
bool
rpc_conn_is_usable (const struct jc_rpc_conn *conn)
{
  return conn->up && conn->drop_reason == NULL;
}

/* Return the authenticated name of the peer.  */
const char *
jc_rpc_conn_name (const struct jc_rpc_conn *conn)
{
  return conn->name;
}

/* Return the peer's role: "entry", "state" or "ctl".  */
const char *
jc_rpc_conn_role (const struct jc_rpc_conn *conn)
{
  return conn->role;
}

/* Return the peer's region.  */
const char *
jc_rpc_conn_region (const struct jc_rpc_conn *conn)
{
  return conn->region;
}

/* Return the protocol level of the peer of CONN, 0 for a build before the first
   level.  What a higher level brought must not be sent to it.  */
uint64_t
jc_rpc_conn_level (const struct jc_rpc_conn *conn)
{
  return conn->level;
}

/* Return the peer's availability zone.  */
const char *
jc_rpc_conn_zone (const struct jc_rpc_conn *conn)
{
  return conn->zone;
}

/* Return the peer's incarnation.  */
uint64_t
jc_rpc_conn_incarnation (const struct jc_rpc_conn *conn)
{
  return conn->incarnation;
}

/* Return how many bytes wait to be sent to the peer.  */
size_t
jc_rpc_conn_backlog_bytes (const struct jc_rpc_conn *conn)
{
  return conn->out->len - conn->out_pos;
}

/* Send PACKET on CONN.  Its head is filled in except for deadline and
   reply_to.  Return JC_UNREACHABLE if CONN is NULL, is down, fails or is
   dropped because of its backlog, JC_TOO_LARGE if PACKET is too large,
   JC_INTERNAL if it can't be encoded.  The last message is set on failure.  */
enum jc_status
jc_rpc_send (struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  if (conn == NULL || !rpc_conn_is_usable (conn))
    return jc_fail (JC_UNREACHABLE, "The peer is not connected.");
  rpc_conn_fill_head (conn, packet);
  return rpc_conn_queue_packet (conn, packet);
}

/* Send PACKET, which is no call and no reply, on each of CONNS, which are of
   one process, as jc_rpc_send does.  It is encoded once: on connections that
   are up, heads differ in nothing.  A connection that fails is dropped; a
   message that can't be encoded is logged.  */
void
jc_rpc_send_to_all (const GPtrArray *conns, struct rpc_packet *packet)
{
  enum jc_status status = JC_OK;
  size_t size = 0;
  char *data = NULL;

  for (guint i = 0; i < conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      if (!rpc_conn_is_usable (conn))
        continue;
      if (data == NULL)
        {
          rpc_conn_fill_head (conn, packet);
          data = packet_encode (packet, &size, &status);
        }
      if (data == NULL)
        {
          jc_error (LOG_COMPONENT, "%s", jc_last_message ());
          return;
        }
      rpc_conn_queue_record (conn, (struct jc_str){ .data = data, .len = size },
                             packet->body.type);
    }
  g_free (data);
}
