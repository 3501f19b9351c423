/* RPC task.  */

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "net/address.h"
#include "net/rpc.h"

#define PART "rpc"

enum
{
  MARK_BYTES = 4,
  MAC_BYTES = 16,
  NONCE_BYTES = 16,
  KEY_BYTES = 32,
  RECORD_MAX = 20 * 1024 * 1024,
  RECORD_MAX_BEFORE_HELLO = 2048,
  BACKLOG_MAX = 24 * 1024 * 1024,
  BUFFER_KEPT_BYTES = 256 * 1024,
  READ_BYTES = 64 * 1024,
  LISTEN_QUEUE = 512,
  CONNS_MAX = 4096,
  HALF_OPEN_MAX = 512,
  REDIAL_MS = 200,
  REDIAL_MAX_MS = 1600,
  MS_PER_S = 1000
};

#define LAST_FRAGMENT 0x80000000U

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
  uint64_t config_version;
  long heartbeat_ms;
  long silent_ms;
  int listen_fd;
  int port;
  ev_io accept;
  ev_timer beat;
  ev_timer reaper;
  GPtrArray *conns;
  GPtrArray *dials;
  GHashTable *pending;
  uint64_t last_xid;
  uint64_t last_serial;
  uint64_t bytes_sent;
};

/* A peer that this process keeps a connection to.  */
struct dial
{
  struct jc_rpc *rpc;
  char *name;
  struct sockaddr_in addr;
  struct jc_rpc_conn *conn;
  ev_timer redial;
  int redial_ms;
};

/* SERIAL counts connections as they come up.  BROKEN is why the connection
   is dropped as soon as no caller is on the stack.  */
struct jc_rpc_conn
{
  struct jc_rpc *rpc;
  struct dial *dial;
  bool dialled;
  uint64_t serial;
  const char *broken;
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
  uint64_t sent;
  uint64_t received;
  uint64_t sent_at_beat;
  uint64_t peer_version;
  bool beat_due;
  ev_tstamp opened;
  ev_tstamp last_heard;
  bool hello_sent;
  bool up;
  bool dead;
  char *name;
  char *role;
  char *region;
  char *zone;
  uint64_t incarnation;
};

/* A call that waits for its reply.  */
struct pending
{
  struct jc_rpc *rpc;
  struct jc_rpc_conn *conn;
  uint64_t xid;
  ev_timer timer;
  jc_rpc_reply_fn *reply;
  void *ctx;
};

static void dial_start (struct dial *dial);

/* Compute the MAC of SIZE bytes at DATA as record SEQ under KEY.  */
static void
record_mac (unsigned char *mac, const unsigned char *key, uint64_t seq,
            const void *data, size_t size)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, KEY_BYTES, MAC_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)&seq, sizeof seq);
  crypto_generichash_update (&state, data, size);
  crypto_generichash_final (&state, mac, MAC_BYTES);
}

static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

/* Begin in STATE a hash of both nonces of CONN and LABEL that only holders of
   the group's key can make.  */
static void
conn_hash (const struct jc_rpc_conn *conn, const char *label,
           crypto_generichash_state *state)
{
  const unsigned char *first = conn->own_nonce;
  const unsigned char *second = conn->peer_nonce;

  if (!conn->dialled)
    {
      first = conn->peer_nonce;
      second = conn->own_nonce;
    }
  crypto_generichash_init (state, conn->rpc->key, KEY_BYTES, KEY_BYTES);
  hash_text (state, label);
  crypto_generichash_update (state, first, NONCE_BYTES);
  crypto_generichash_update (state, second, NONCE_BYTES);
}

/* Compute the key of the records that go the way of LABEL.  */
static void
conn_derive_key (const struct jc_rpc_conn *conn, const char *label,
                 unsigned char *out)
{
  crypto_generichash_state state;

  conn_hash (conn, label, &state);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

/* Compute the proof of what PACKET, a hello, says of its sender.  */
static void
conn_derive_proof (const struct jc_rpc_conn *conn, const char *label,
                   const struct rpc_packet *packet, unsigned char *out)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;
  uint64_t incarnation = packet->head.incarnation;
  crypto_generichash_state state;

  conn_hash (conn, label, &state);
  hash_text (&state, packet->head.group);
  hash_text (&state, packet->head.sender);
  hash_text (&state, hello->role);
  hash_text (&state, hello->region);
  hash_text (&state, hello->zone);
  crypto_generichash_update (&state, (const unsigned char *)&incarnation,
                             sizeof incarnation);
  crypto_generichash_final (&state, out, KEY_BYTES);
}

static void
pending_finish (struct pending *pending, enum jc_status status,
                const struct rpc_packet *reply)
{
  jc_rpc_reply_fn *fn = pending->reply;
  void *ctx = pending->ctx;

  jc_rpc_forget (pending->rpc, pending->xid);
  fn (ctx, status, reply);
}

static void
conn_fail_pending (struct jc_rpc_conn *conn)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *xids = g_ptr_array_new_with_free_func (g_free);

  g_hash_table_iter_init (&iter, conn->rpc->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct pending *)value)->conn == conn)
      g_ptr_array_add (
          xids, g_memdup2 (&((struct pending *)value)->xid, sizeof (uint64_t)));
  for (guint i = 0; i < xids->len; i++)
    {
      struct pending *pending = g_hash_table_lookup (
          conn->rpc->pending, g_ptr_array_index (xids, i));

      if (pending != NULL)
        pending_finish (pending, JC_UNREACHABLE, NULL);
    }
  g_ptr_array_free (xids, TRUE);
}

static void
rpc_wake_reaper (struct jc_rpc *rpc)
{
  if (!ev_is_active (&rpc->reaper))
    ev_timer_start (rpc->loop, &rpc->reaper);
}

/* Note that CONN failed while its user may be on the stack: it is dropped
   from the loop.  */
static void
conn_break (struct jc_rpc_conn *conn, const char *why)
{
  if (conn->dead || conn->broken != NULL)
    return;
  conn->broken = why;
  ev_io_stop (conn->rpc->loop, &conn->reader);
  ev_io_stop (conn->rpc->loop, &conn->writer);
  rpc_wake_reaper (conn->rpc);
}

static void
dial_redial_later (struct dial *dial)
{
  ev_timer_set (&dial->redial, (double)dial->redial_ms / MS_PER_S, 0);
  ev_timer_start (dial->rpc->loop, &dial->redial);
  dial->redial_ms = MIN (2 * dial->redial_ms, REDIAL_MAX_MS);
}

/* Close CONN.  It is freed from the loop, since callers may still hold it on
   their stack.  */
static void
conn_drop (struct jc_rpc_conn *conn, const char *why)
{
  struct jc_rpc *rpc = conn->rpc;
  struct dial *dial = conn->dial;

  if (conn->dead)
    return;
  conn->dead = true;
  jc_debug (PART, "Connection to %s dropped: %s.",
            conn->name != NULL ? conn->name : "?", why);
  ev_io_stop (rpc->loop, &conn->reader);
  ev_io_stop (rpc->loop, &conn->writer);
  close (conn->fd);
  if (conn->up)
    {
      conn->up = false;
      if (rpc->klass->down != NULL)
        rpc->klass->down (rpc->ctx, conn);
    }
  conn_fail_pending (conn);
  if (dial != NULL)
    {
      dial->conn = NULL;
      conn->dial = NULL;
      dial_redial_later (dial);
    }
  rpc_wake_reaper (rpc);
}

static void
conn_free (struct jc_rpc_conn *conn)
{
  g_byte_array_free (conn->in, TRUE);
  g_byte_array_free (conn->out, TRUE);
  g_free (conn->name);
  g_free (conn->role);
  g_free (conn->region);
  g_free (conn->zone);
  g_free (conn);
}

/* Empty BUFFER, and give back the memory that a large record took.  */
static void
buffer_empty (GByteArray **buffer)
{
  if ((*buffer)->len <= BUFFER_KEPT_BYTES)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  g_byte_array_free (*buffer, TRUE);
  *buffer = g_byte_array_new ();
}

static void
conn_flush (struct jc_rpc_conn *conn)
{
  while (!conn->dead && conn->broken == NULL && conn->out_pos < conn->out->len)
    {
      ssize_t put = send (conn->fd, conn->out->data + conn->out_pos,
                          conn->out->len - conn->out_pos, MSG_NOSIGNAL);

      if (put < 0 && errno == EINTR)
        continue;
      if (put < 0 && (errno == EAGAIN || errno == ENOTCONN))
        {
          ev_io_start (conn->rpc->loop, &conn->writer);
          return;
        }
      if (put < 0)
        {
          conn_break (conn, "sending failed");
          return;
        }
      conn->out_pos += (size_t)put;
      conn->rpc->bytes_sent += (uint64_t)put;
    }
  buffer_empty (&conn->out);
  conn->out_pos = 0;
  ev_io_stop (conn->rpc->loop, &conn->writer);
}

/* Fill the head of PACKET.  Once a connection is up, the names that its
   peer has proved are left out.  */
static void
packet_fill_head (const struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  const struct jc_rpc *rpc = conn->rpc;

  packet->head.group = conn->up ? (char *)"" : rpc->group;
  packet->head.sender = conn->up ? (char *)"" : rpc->name;
  packet->head.incarnation = rpc->incarnation;
  packet->head.config_version = rpc->config_version;
}

static enum jc_status
conn_put (struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_packet, packet);
  bool sealed = conn->up;
  size_t total = size + (sealed ? MAC_BYTES : 0);
  uint32_t mark = htonl ((uint32_t)total | LAST_FRAGMENT);
  guint at = conn->out->len;
  unsigned char *body;
  XDR xdr;
  bool ok;

  if (size == 0 || total > RECORD_MAX)
    return jc_fail (JC_TOO_LARGE, "The message is too large.");
  if (jc_rpc_conn_backlog (conn) + total > BACKLOG_MAX)
    {
      conn_break (conn, "its backlog is too long");
      return jc_fail (JC_UNREACHABLE, "The peer reads too slowly.");
    }
  g_byte_array_set_size (conn->out, at + MARK_BYTES + (guint)total);
  memcpy (conn->out->data + at, &mark, MARK_BYTES);
  body = conn->out->data + at + MARK_BYTES;
  xdrmem_create (&xdr, (char *)body, (u_int)size, XDR_ENCODE);
  ok = xdr_rpc_packet (&xdr, packet);
  xdr_destroy (&xdr);
  if (!ok)
    {
      g_byte_array_set_size (conn->out, at);
      return jc_fail (JC_INTERNAL, "The message can't be encoded.");
    }
  if (sealed)
    record_mac (body + size, conn->send_key, conn->sent++, body, size);
  conn_flush (conn);
  if (conn->dead || conn->broken != NULL)
    return jc_fail (JC_UNREACHABLE, "The connection broke.");
  return JC_OK;
}

static void
conn_send_hello (struct jc_rpc_conn *conn, enum rpc_type type, bool proven)
{
  struct jc_rpc *rpc = conn->rpc;
  unsigned char proof[KEY_BYTES];
  struct rpc_packet packet = { .body.type = type };
  struct rpc_hello *hello = &packet.body.rpc_body_u.hello;

  packet_fill_head (conn, &packet);
  hello->role = rpc->role;
  hello->zone = rpc->zone;
  hello->region = rpc->region;
  hello->nonce.rpc_bytes_val = (char *)conn->own_nonce;
  hello->nonce.rpc_bytes_len = NONCE_BYTES;
  if (proven)
    {
      conn_derive_proof (conn, conn->dialled ? "dialer" : "listener", &packet,
                         proof);
      hello->proof.rpc_bytes_val = (char *)proof;
      hello->proof.rpc_bytes_len = KEY_BYTES;
    }
  conn->hello_sent = true;
  conn_put (conn, &packet);
}

/* Drop what CONN, which is about to come up, takes the place of: connections
   of an earlier incarnation of the peer, and an earlier one that was opened
   from the same side.  */
static void
conn_supersede (const struct jc_rpc_conn *conn)
{
  const struct jc_rpc *rpc = conn->rpc;

  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *other = g_ptr_array_index (rpc->conns, i - 1);

      if (other != conn && other->up && strcmp (other->name, conn->name) == 0
          && (other->incarnation != conn->incarnation
              || other->dialled == conn->dialled))
        conn_break (other, "a later one took its place");
    }
}

static void
conn_go_up (struct jc_rpc_conn *conn)
{
  struct jc_rpc *rpc = conn->rpc;

  conn_derive_key (conn, conn->dialled ? "to listener" : "to dialer",
                   conn->send_key);
  conn_derive_key (conn, conn->dialled ? "to dialer" : "to listener",
                   conn->receive_key);
  conn_supersede (conn);
  conn->serial = ++rpc->last_serial;
  conn->up = true;
  if (conn->dial != NULL)
    conn->dial->redial_ms = REDIAL_MS;
  jc_debug (PART, "Connection to %s is up.", conn->name);
  if (rpc->klass->up != NULL)
    rpc->klass->up (rpc->ctx, conn);
}

static bool
conn_proof_valid (const struct jc_rpc_conn *conn, const struct rpc_packet *p)
{
  const struct rpc_hello *hello = &p->body.rpc_body_u.hello;
  unsigned char want[KEY_BYTES];

  if (hello->proof.rpc_bytes_len != KEY_BYTES)
    return false;
  conn_derive_proof (conn, conn->dialled ? "listener" : "dialer", p, want);
  return sodium_memcmp (want, hello->proof.rpc_bytes_val, KEY_BYTES) == 0;
}

static void
conn_learn_peer (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;

  conn->name = g_strdup (packet->head.sender);
  conn->role = g_strdup (hello->role);
  conn->region = g_strdup (hello->region);
  conn->zone = g_strdup (hello->zone);
  conn->incarnation = packet->head.incarnation;
}

/* Tell whether the peer may be called NAME: not as this process, and where
   this process dialled, as it expects.  */
static bool
conn_peer_wanted (const struct jc_rpc_conn *conn, const char *name)
{
  if (name[0] == '\0' || strcmp (name, conn->rpc->name) == 0)
    return false;
  return conn->dial == NULL || strcmp (name, conn->dial->name) == 0;
}

/* Handle the opening: the listener sends its nonce, the dialer answers with
   its own and a proof, the listener closes with its proof.  */
static void
conn_on_hello (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  const struct rpc_hello *hello = &packet->body.rpc_body_u.hello;
  enum rpc_type type = packet->body.type;
  bool dialer = conn->dialled;

  if ((type != RPC_HELLO && type != RPC_HELLO_ACK)
      || strcmp (packet->head.group, conn->rpc->group) != 0
      || hello->nonce.rpc_bytes_len != NONCE_BYTES
      || !conn_peer_wanted (conn, packet->head.sender))
    {
      conn_drop (conn, "its opening is not valid");
      return;
    }
  if (dialer && type == RPC_HELLO && !conn->hello_sent)
    {
      memcpy (conn->peer_nonce, hello->nonce.rpc_bytes_val, NONCE_BYTES);
      conn_send_hello (conn, RPC_HELLO, true);
      return;
    }
  if (!dialer)
    memcpy (conn->peer_nonce, hello->nonce.rpc_bytes_val, NONCE_BYTES);
  if ((type == RPC_HELLO) == dialer || !conn_proof_valid (conn, packet))
    {
      conn_drop (conn, "its proof is not valid");
      return;
    }
  conn_learn_peer (conn, packet);
  if (!dialer)
    conn_send_hello (conn, RPC_HELLO_ACK, true);
  if (!conn->dead)
    conn_go_up (conn);
}

static void
conn_on_packet (struct jc_rpc_conn *conn, const struct rpc_packet *packet)
{
  struct jc_rpc *rpc = conn->rpc;
  struct pending *pending;
  uint64_t reply_to = packet->head.reply_to;

  if (!conn->up)
    {
      conn_on_hello (conn, packet);
      return;
    }
  conn->peer_version = packet->head.config_version;
  conn->beat_due = packet->body.type != RPC_HEARTBEAT;
  pending = g_hash_table_lookup (rpc->pending, &reply_to);
  if (reply_to != 0 && pending != NULL && pending->conn == conn)
    {
      enum jc_status status = JC_OK;

      if (packet->body.type == RPC_FAILURE)
        status
            = jc_fail ((enum jc_status)packet->body.rpc_body_u.failure.status,
                       "%s", packet->body.rpc_body_u.failure.message);
      pending_finish (pending, status, packet);
      return;
    }
  rpc->klass->packet (rpc->ctx, conn, packet);
}

static bool
conn_seal_valid (struct jc_rpc_conn *conn, const unsigned char *body,
                 size_t size)
{
  unsigned char mac[MAC_BYTES];

  record_mac (mac, conn->receive_key, conn->received++, body, size);
  return sodium_memcmp (mac, body + size, MAC_BYTES) == 0;
}

/* Tell whether BODY, a record before the opening is done, is a hello; nothing
   else is decoded for a peer that has proved nothing.  */
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

/* Put the names that the peer has proved into the head of PACKET, which
   xdr_free frees.  */
static void
packet_name_sender (const struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  free (packet->head.group);
  free (packet->head.sender);
  packet->head.group = strdup (conn->rpc->group);
  packet->head.sender = strdup (conn->name);
  packet->head.incarnation = conn->incarnation;
}

static void
conn_on_record (struct jc_rpc_conn *conn, unsigned char *body, size_t size)
{
  struct rpc_packet packet;
  XDR xdr;

  if (conn->up)
    {
      if (size < MAC_BYTES || !conn_seal_valid (conn, body, size - MAC_BYTES))
        {
          conn_drop (conn, "a record's seal is not valid");
          return;
        }
      size -= MAC_BYTES;
    }
  else if (!record_is_hello (body, size))
    {
      conn_drop (conn, "a record before its opening is not valid");
      return;
    }
  memset (&packet, 0, sizeof packet);
  xdrmem_create (&xdr, (char *)body, (u_int)size, XDR_DECODE);
  if (xdr_rpc_packet (&xdr, &packet))
    {
      if (conn->up)
        packet_name_sender (conn, &packet);
      conn_on_packet (conn, &packet);
    }
  else
    conn_drop (conn, "a record is not valid");
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)&packet);
}

static void
conn_take_records (struct jc_rpc_conn *conn)
{
  size_t pos = 0;

  while (!conn->dead && conn->broken == NULL
         && conn->in->len - pos >= MARK_BYTES)
    {
      uint32_t mark;
      size_t size;
      size_t limit = conn->up ? RECORD_MAX : RECORD_MAX_BEFORE_HELLO;

      memcpy (&mark, conn->in->data + pos, MARK_BYTES);
      mark = ntohl (mark);
      size = mark & ~LAST_FRAGMENT;
      if (!(mark & LAST_FRAGMENT) || size == 0 || size > limit)
        {
          conn_drop (conn, "a record mark is not valid");
          return;
        }
      if (conn->in->len - pos - MARK_BYTES < size)
        break;
      conn_on_record (conn, conn->in->data + pos + MARK_BYTES, size);
      pos += MARK_BYTES + size;
    }
  if (pos == conn->in->len)
    buffer_empty (&conn->in);
  else if (pos > 0)
    g_byte_array_remove_range (conn->in, 0, (guint)pos);
}

static void
conn_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_rpc_conn *conn = watcher->data;
  unsigned char buf[READ_BYTES];
  ssize_t got = recv (conn->fd, buf, sizeof buf, 0);

  (void)events;
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      conn_drop (conn, got == 0 ? "it closed" : strerror (errno));
      return;
    }
  conn->last_heard = ev_now (loop);
  g_byte_array_append (conn->in, buf, (guint)got);
  conn_take_records (conn);
}

static void
conn_on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  conn_flush (watcher->data);
}

static struct jc_rpc_conn *
conn_new (struct jc_rpc *rpc, int fd, struct dial *dial)
{
  struct jc_rpc_conn *conn = g_new0 (struct jc_rpc_conn, 1);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->rpc = rpc;
  conn->fd = fd;
  conn->dial = dial;
  conn->dialled = dial != NULL;
  conn->opened = ev_now (rpc->loop);
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->last_heard = ev_now (rpc->loop);
  randombytes_buf (conn->own_nonce, NONCE_BYTES);
  ev_io_init (&conn->reader, conn_on_readable, fd, EV_READ);
  ev_io_init (&conn->writer, conn_on_writable, fd, EV_WRITE);
  conn->reader.data = conn;
  conn->writer.data = conn;
  ev_io_start (rpc->loop, &conn->reader);
  g_ptr_array_add (rpc->conns, conn);
  return conn;
}

/* Drop the oldest accepted connection that has not come up where there are
   too many of them.  */
static void
rpc_bound_half_open (const struct jc_rpc *rpc)
{
  struct jc_rpc_conn *oldest = NULL;
  guint count = 0;

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (conn->dialled || conn->up || conn->dead)
        continue;
      count++;
      if (oldest == NULL || conn->opened < oldest->opened)
        oldest = conn;
    }
  if (count > HALF_OPEN_MAX)
    conn_drop (oldest, "too many are half open");
}

static void
rpc_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_rpc *rpc = watcher->data;
  int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  if (fd < 0)
    {
      if (errno == EMFILE || errno == ENFILE)
        ev_io_stop (loop, watcher);
      return;
    }
  if (rpc->conns->len >= CONNS_MAX)
    {
      close (fd);
      return;
    }
  conn_send_hello (conn_new (rpc, fd, NULL), RPC_HELLO, false);
  rpc_bound_half_open (rpc);
}

static void
dial_start (struct dial *dial)
{
  struct jc_rpc *rpc = dial->rpc;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    {
      dial_redial_later (dial);
      return;
    }
  if (connect (fd, (struct sockaddr *)&dial->addr, sizeof dial->addr) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      dial_redial_later (dial);
      return;
    }
  dial->conn = conn_new (rpc, fd, dial);
}

static void
dial_on_redial (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct dial *dial = watcher->data;

  (void)events;
  ev_timer_stop (loop, watcher);
  if (dial->conn == NULL)
    dial_start (dial);
}

/* Return why CONN is to be dropped at NOW, or NULL.  An opening has to be
   done in the time that a peer may be silent, however much it sends.  */
static const char *
conn_expired (const struct jc_rpc_conn *conn, ev_tstamp now)
{
  double silent_s = (double)conn->rpc->silent_ms / MS_PER_S;

  if (now - conn->last_heard > silent_s)
    return "it went silent";
  if (!conn->up && now - conn->opened > silent_s)
    return "its opening takes too long";
  return NULL;
}

/* Report what the peer's other messages said in place of a heartbeat.  */
static void
conn_report_beat (struct jc_rpc_conn *conn)
{
  struct rpc_packet beat = { .body.type = RPC_HEARTBEAT };

  conn->beat_due = false;
  beat.head.group = conn->rpc->group;
  beat.head.sender = conn->name;
  beat.head.incarnation = conn->incarnation;
  beat.head.config_version = conn->peer_version;
  conn->rpc->klass->packet (conn->rpc->ctx, conn, &beat);
}

static void
conn_beat (struct jc_rpc_conn *conn)
{
  struct rpc_packet beat = { .body.type = RPC_HEARTBEAT };

  if (conn->sent == conn->sent_at_beat)
    jc_rpc_send (conn, &beat);
  conn->sent_at_beat = conn->sent;
  if (conn->beat_due)
    conn_report_beat (conn);
}

/* Each beat sends a heartbeat to every peer that got nothing else since the
   last one, and drops the connections that went silent.  It runs before any
   reading, so that a process that was stopped drops what waited
   meanwhile.  */
static void
rpc_on_beat (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_rpc *rpc = watcher->data;
  ev_tstamp now = ev_now (loop);

  (void)events;
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);
      const char *why = conn_expired (conn, now);

      if (conn->dead || conn->broken != NULL)
        continue;
      if (why != NULL)
        conn_drop (conn, why);
      else if (conn->up)
        conn_beat (conn);
    }
  if (rpc->listen_fd >= 0)
    ev_io_start (loop, &rpc->accept);
}

/* Drop what broke and free what was dropped; no user is on the stack.  */
static void
rpc_on_reaper (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_rpc *rpc = watcher->data;

  (void)loop;
  (void)events;
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);

      if (conn->broken != NULL)
        conn_drop (conn, conn->broken);
    }
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);

      if (!conn->dead)
        continue;
      g_ptr_array_remove_index_fast (rpc->conns, i - 1);
      conn_free (conn);
    }
}

/* Return the RPC task of a process.  IDENTITY is copied; events go to KLASS
   with CTX.  */
struct jc_rpc *
jc_rpc_new (struct ev_loop *loop, const struct jc_rpc_identity *identity,
            const struct jc_rpc_class *klass, void *ctx)
{
  struct jc_rpc *rpc = g_new0 (struct jc_rpc, 1);
  double beat_s = (double)identity->heartbeat_ms / MS_PER_S;

  rpc->loop = loop;
  rpc->klass = klass;
  rpc->ctx = ctx;
  rpc->group = g_strdup (identity->group);
  rpc->name = g_strdup (identity->name);
  rpc->role = g_strdup (identity->role);
  rpc->region = g_strdup (identity->region);
  rpc->zone = g_strdup (identity->zone);
  rpc->incarnation = identity->incarnation;
  rpc->heartbeat_ms = identity->heartbeat_ms;
  rpc->silent_ms = identity->silent_ms;
  rpc->listen_fd = -1;
  sodium_hex2bin (rpc->key, KEY_BYTES, identity->key_hex,
                  strlen (identity->key_hex), NULL, NULL, NULL);
  rpc->conns = g_ptr_array_new ();
  rpc->dials = g_ptr_array_new ();
  rpc->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_timer_init (&rpc->beat, rpc_on_beat, beat_s, beat_s);
  rpc->beat.data = rpc;
  ev_set_priority (&rpc->beat, EV_MAXPRI);
  ev_timer_init (&rpc->reaper, rpc_on_reaper, 0, 0);
  rpc->reaper.data = rpc;
  ev_timer_start (loop, &rpc->beat);
  return rpc;
}

/* Listen for peers at ADDRESS ("IP:PORT", port 0 for any).  */
enum jc_status
jc_rpc_listen (struct jc_rpc *rpc, const char *address)
{
  struct sockaddr_in addr;
  socklen_t len = sizeof addr;
  int on = 1;
  enum jc_status status = jc_address_parse (address, &addr);

  if (status != JC_OK)
    return status;
  rpc->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (rpc->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (rpc->listen_fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (rpc->listen_fd, LISTEN_QUEUE) != 0)
    return jc_fail (JC_UNREACHABLE, "Can't listen at %s: %s.", address,
                    strerror (errno));
  getsockname (rpc->listen_fd, (struct sockaddr *)&addr, &len);
  rpc->port = ntohs (addr.sin_port);
  ev_io_init (&rpc->accept, rpc_on_accept, rpc->listen_fd, EV_READ);
  rpc->accept.data = rpc;
  ev_io_start (rpc->loop, &rpc->accept);
  return JC_OK;
}

/* Return the port that RPC listens at, 0 where it does not.  */
int
jc_rpc_port (const struct jc_rpc *rpc)
{
  return rpc->port;
}

/* Keep a connection to the peer NAME at ADDRESS from now on.  */
void
jc_rpc_dial (struct jc_rpc *rpc, const char *name, const char *address)
{
  struct dial *dial = g_new0 (struct dial, 1);

  dial->rpc = rpc;
  dial->name = g_strdup (name);
  dial->redial_ms = REDIAL_MS;
  jc_address_parse (address, &dial->addr);
  ev_init (&dial->redial, dial_on_redial);
  dial->redial.data = dial;
  g_ptr_array_add (rpc->dials, dial);
  dial_start (dial);
}

static void
dial_free (struct dial *dial)
{
  ev_timer_stop (dial->rpc->loop, &dial->redial);
  g_free (dial->name);
  g_free (dial);
}

/* Keep no connection to the peer NAME any longer.  */
void
jc_rpc_hang_up (struct jc_rpc *rpc, const char *name)
{
  for (guint i = rpc->dials->len; i > 0; i--)
    {
      struct dial *dial = g_ptr_array_index (rpc->dials, i - 1);

      if (strcmp (dial->name, name) != 0)
        continue;
      if (dial->conn != NULL)
        {
          dial->conn->dial = NULL;
          conn_break (dial->conn, "it is not wanted any longer");
        }
      g_ptr_array_remove_index_fast (rpc->dials, i - 1);
      dial_free (dial);
    }
}

/* Free RPC and close its connections; pending calls are not told.  */
void
jc_rpc_free (struct jc_rpc *rpc)
{
  GHashTableIter iter;
  gpointer value;

  ev_timer_stop (rpc->loop, &rpc->beat);
  ev_timer_stop (rpc->loop, &rpc->reaper);
  if (rpc->listen_fd >= 0)
    {
      ev_io_stop (rpc->loop, &rpc->accept);
      close (rpc->listen_fd);
    }
  g_hash_table_iter_init (&iter, rpc->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ev_timer_stop (rpc->loop, &((struct pending *)value)->timer);
      g_free (value);
    }
  g_hash_table_destroy (rpc->pending);
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      ev_io_stop (rpc->loop, &conn->reader);
      ev_io_stop (rpc->loop, &conn->writer);
      if (!conn->dead)
        close (conn->fd);
      conn_free (conn);
    }
  for (guint i = 0; i < rpc->dials->len; i++)
    dial_free (g_ptr_array_index (rpc->dials, i));
  g_ptr_array_free (rpc->conns, TRUE);
  g_ptr_array_free (rpc->dials, TRUE);
  g_free (rpc->group);
  g_free (rpc->name);
  g_free (rpc->role);
  g_free (rpc->region);
  g_free (rpc->zone);
  g_free (rpc);
}

/* Set the configuration version that every message carries.  */
void
jc_rpc_set_config_version (struct jc_rpc *rpc, uint64_t version)
{
  rpc->config_version = version;
}

/* Return the incarnation of this process.  */
uint64_t
jc_rpc_incarnation (const struct jc_rpc *rpc)
{
  return rpc->incarnation;
}

static bool
conn_usable (const struct jc_rpc_conn *conn)
{
  return conn->up && conn->broken == NULL;
}

/* Return the connection to the peer NAME that came up last, or NULL.  */
struct jc_rpc_conn *
jc_rpc_find (struct jc_rpc *rpc, const char *name)
{
  struct jc_rpc_conn *last = NULL;

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (conn_usable (conn) && strcmp (conn->name, name) == 0
          && (last == NULL || conn->serial > last->serial))
        last = conn;
    }
  return last;
}

/* Tell which connections to the peer NAME are up: DIALLED by this process,
   ACCEPTED from the peer.  */
void
jc_rpc_ways (const struct jc_rpc *rpc, const char *name, bool *dialled,
             bool *accepted)
{
  *dialled = false;
  *accepted = false;
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (!conn_usable (conn) || strcmp (conn->name, name) != 0)
        continue;
      *dialled = *dialled || conn->dialled;
      *accepted = *accepted || !conn->dialled;
    }
}

/* Return the number of connections, whether they are up or not.  */
unsigned int
jc_rpc_conns (const struct jc_rpc *rpc)
{
  return rpc->conns->len;
}

/* Return the bytes that wait to be sent to all peers.  */
size_t
jc_rpc_backlog (const struct jc_rpc *rpc)
{
  size_t backlog = 0;

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (conn_usable (conn))
        backlog += jc_rpc_conn_backlog (conn);
    }
  return backlog;
}

/* Return the bytes that RPC has sent since its start.  */
uint64_t
jc_rpc_bytes_sent (const struct jc_rpc *rpc)
{
  return rpc->bytes_sent;
}

/* Return the peer's name, as it proved it.  */
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

/* Return the bytes that wait to be sent to the peer.  */
size_t
jc_rpc_conn_backlog (const struct jc_rpc_conn *conn)
{
  return conn->out->len - conn->out_pos;
}

/* Send PACKET, whose head is filled in but for its deadline and reply_to.  */
enum jc_status
jc_rpc_send (struct jc_rpc_conn *conn, struct rpc_packet *packet)
{
  if (conn == NULL || !conn_usable (conn))
    return jc_fail (JC_UNREACHABLE, "The peer is not connected.");
  packet_fill_head (conn, packet);
  return conn_put (conn, packet);
}

static void
pending_on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  jc_fail (JC_TIMEOUT, "The peer did not answer in time.");
  pending_finish (watcher->data, JC_TIMEOUT, NULL);
}

/* Send PACKET as a call that REPLY with CTX hears of exactly once: with the
   reply, JC_TIMEOUT after TIMEOUT_MS, or JC_UNREACHABLE when the connection
   goes.  Return its xid, or 0 where nothing was sent and REPLY is not told.  */
uint64_t
jc_rpc_call (struct jc_rpc_conn *conn, struct rpc_packet *packet,
             long timeout_ms, jc_rpc_reply_fn *reply, void *ctx)
{
  struct jc_rpc *rpc;
  struct pending *pending;

  if (conn == NULL || !conn_usable (conn))
    {
      jc_fail (JC_UNREACHABLE, "The peer is not connected.");
      return 0;
    }
  rpc = conn->rpc;
  packet->head.xid = ++rpc->last_xid;
  packet->head.deadline_ms = (u_int)timeout_ms;
  if (jc_rpc_send (conn, packet) != JC_OK)
    return 0;
  pending = g_new0 (struct pending, 1);
  pending->rpc = rpc;
  pending->conn = conn;
  pending->xid = packet->head.xid;
  pending->reply = reply;
  pending->ctx = ctx;
  ev_timer_init (&pending->timer, pending_on_timeout,
                 (double)timeout_ms / MS_PER_S, 0);
  pending->timer.data = pending;
  ev_timer_start (rpc->loop, &pending->timer);
  g_hash_table_insert (rpc->pending, &pending->xid, pending);
  return pending->xid;
}

/* Wait no longer for the reply to the call XID.  */
void
jc_rpc_forget (struct jc_rpc *rpc, uint64_t xid)
{
  struct pending *pending = g_hash_table_lookup (rpc->pending, &xid);

  if (pending == NULL)
    return;
  ev_timer_stop (rpc->loop, &pending->timer);
  g_hash_table_remove (rpc->pending, &xid);
  g_free (pending);
}

/* Send ANSWER as the reply to QUESTION, which came over CONN.  */
enum jc_status
jc_rpc_answer (struct jc_rpc_conn *conn, const struct rpc_packet *question,
               struct rpc_packet *answer)
{
  answer->head.reply_to = question->head.xid;
  return jc_rpc_send (conn, answer);
}

/* Answer QUESTION with STATUS and MESSAGE in place of a reply.  */
enum jc_status
jc_rpc_answer_failure (struct jc_rpc_conn *conn,
                       const struct rpc_packet *question, enum jc_status status,
                       const char *message, unsigned int retry_after_ms)
{
  struct rpc_packet answer = { .body.type = RPC_FAILURE };
  struct rpc_failure *failure = &answer.body.rpc_body_u.failure;

  failure->status = (int)status;
  failure->message = (char *)message;
  failure->retry_after_ms = retry_after_ms;
  return jc_rpc_answer (conn, question, &answer);
}
