/* RPC: the listener, outgoing connections and heartbeats.  */

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/rpcprivate.h"
#include "schema/gen/objects.h"

static void dial_start (struct dial *dial);

enum
{
  LISTEN_BACKLOG = 512,
  CONNS_MAX = 4096,
  REDIAL_MAX_MS = 1600
};

/* In the next iteration of the loop, drop the connections that have a
   DROP_REASON and free the dropped ones.  */
void
rpc_schedule_reap (struct jc_rpc *rpc)
{
  if (!ev_is_active (&rpc->reaper))
    ev_timer_start (rpc->loop, &rpc->reaper);
}

/* Connect to the peer of DIAL again after its delay, which doubles up to
   REDIAL_MAX_MS.  */
void
rpc_schedule_redial (struct dial *dial)
{
  ev_timer_set (&dial->redial_timer, (double)dial->redial_ms / MS_PER_S, 0);
  ev_timer_start (dial->rpc->loop, &dial->redial_timer);
  dial->redial_ms = MIN (2 * dial->redial_ms, REDIAL_MAX_MS);
}

/* Drop the oldest accepted connection that is not authenticated yet if there
   are more than HALF_OPEN_CONNS_MAX of them.  */
static void
rpc_limit_half_open (const struct jc_rpc *rpc)
{
  struct jc_rpc_conn *oldest = NULL;
  guint count = 0;

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (conn->dialled || conn->up || conn->closed)
        continue;
      count++;
      if (oldest == NULL || conn->opened_at < oldest->opened_at)
        oldest = conn;
    }
  if (count > HALF_OPEN_CONNS_MAX)
    rpc_conn_drop (oldest, "too many unauthenticated connections");
}

/* Accept a connection.  If file descriptors run out the watcher is stopped
   until the next heartbeat.  */
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
  rpc_conn_send_hello (rpc_conn_new (rpc, fd, NULL), RPC_HELLO, false);
  rpc_limit_half_open (rpc);
}

/* Connect to the peer of DIAL, or try again later on an error.  */
static void
dial_start (struct dial *dial)
{
  struct jc_rpc *rpc = dial->rpc;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    {
      rpc_schedule_redial (dial);
      return;
    }
  if (connect (fd, (struct sockaddr *)&dial->addr, sizeof dial->addr) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      rpc_schedule_redial (dial);
      return;
    }
  dial->conn = rpc_conn_new (rpc, fd, dial);
}

static void
dial_on_redial_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct dial *dial = watcher->data;

  (void)events;
  ev_timer_stop (loop, watcher);
  if (dial->conn == NULL)
    dial_start (dial);
}

/* Send a heartbeat to every peer that was sent nothing else since the last
   one, and drop silent connections.  This runs before any reading, so that a
   process that was suspended drops its connections before it acts on the
   messages received meanwhile.  */
static void
rpc_on_heartbeat_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_rpc *rpc = watcher->data;
  ev_tstamp now = ev_now (loop);

  (void)events;
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);
      const char *why = rpc_conn_expiry_reason (conn, now);

      if (conn->closed || conn->drop_reason != NULL)
        continue;
      if (why != NULL)
        rpc_conn_drop (conn, why);
      else if (conn->up)
        rpc_conn_heartbeat (conn);
    }
  if (rpc->listen_fd >= 0)
    ev_io_start (loop, &rpc->accept);
}

/* Drop the connections that have a DROP_REASON and free the dropped ones; no
   callback is on the stack.  */
static void
rpc_on_reap_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_rpc *rpc = watcher->data;

  (void)loop;
  (void)events;
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);

      if (conn->drop_reason != NULL)
        rpc_conn_drop (conn, conn->drop_reason);
    }
  for (guint i = rpc->conns->len; i > 0; i--)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i - 1);

      if (!conn->closed)
        continue;
      g_ptr_array_remove_index_fast (rpc->conns, i - 1);
      rpc_conn_free (conn);
    }
}

/* Return the RPC state of this process, which runs on LOOP.  IDENTITY is
   copied; events go to KLASS with CTX.  */
struct jc_rpc *
jc_rpc_new (struct ev_loop *loop, const struct jc_rpc_identity *identity,
            const struct jc_rpc_class *klass, void *ctx)
{
  struct jc_rpc *rpc = g_new0 (struct jc_rpc, 1);
  double heartbeat_s = (double)identity->heartbeat_ms / MS_PER_S;

  rpc->loop = loop;
  rpc->klass = klass;
  rpc->ctx = ctx;
  rpc->group = g_strdup (identity->group);
  rpc->name = g_strdup (identity->name);
  rpc->role = g_strdup (identity->role);
  rpc->region = g_strdup (identity->region);
  rpc->zone = g_strdup (identity->zone);
  rpc->incarnation = identity->incarnation;
  rpc->level = identity->level;
  rpc->heartbeat_ms = identity->heartbeat_ms;
  rpc->silent_ms = identity->silent_ms;
  rpc->listen_fd = -1;
  sodium_hex2bin (rpc->key, KEY_BYTES, identity->key_hex,
                  strlen (identity->key_hex), NULL, NULL, NULL);
  rpc->conns = g_ptr_array_new ();
  rpc->latest_conns = g_hash_table_new (g_str_hash, g_str_equal);
  rpc->traffic = rpc_traffic_new ();
  rpc->dials = g_ptr_array_new ();
  rpc->pending_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_timer_init (&rpc->heartbeat_timer, rpc_on_heartbeat_timer, heartbeat_s,
                 heartbeat_s);
  rpc->heartbeat_timer.data = rpc;
  ev_set_priority (&rpc->heartbeat_timer, EV_MAXPRI);
  ev_timer_init (&rpc->reaper, rpc_on_reap_timer, 0, 0);
  rpc->reaper.data = rpc;
  ev_timer_start (loop, &rpc->heartbeat_timer);
  return rpc;
}

/* Listen for peers at ADDRESS ("IP:PORT", port 0 for any free one).  Set the
   last message on failure.  */
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
      || listen (rpc->listen_fd, LISTEN_BACKLOG) != 0)
    return jc_fail (JC_UNREACHABLE, "Can't listen at %s: %s.", address,
                    strerror (errno));
  getsockname (rpc->listen_fd, (struct sockaddr *)&addr, &len);
  rpc->port = ntohs (addr.sin_port);
  ev_io_init (&rpc->accept, rpc_on_accept, rpc->listen_fd, EV_READ);
  rpc->accept.data = rpc;
  ev_io_start (rpc->loop, &rpc->accept);
  return JC_OK;
}

/* Return the port that RPC listens on, 0 if it does not listen.  */
int
jc_rpc_port (const struct jc_rpc *rpc)
{
  return rpc->port;
}

/* Connect to the peer NAME at ADDRESS, and again whenever that connection is
   lost, until jc_rpc_stop_dialling.  */
void
jc_rpc_dial (struct jc_rpc *rpc, const char *name, const char *address)
{
  struct dial *dial = g_new0 (struct dial, 1);

  dial->rpc = rpc;
  dial->name = g_strdup (name);
  dial->redial_ms = REDIAL_MIN_MS;
  jc_address_parse (address, &dial->addr);
  ev_init (&dial->redial_timer, dial_on_redial_timer);
  dial->redial_timer.data = dial;
  g_ptr_array_add (rpc->dials, dial);
  dial_start (dial);
}

/* Connect to each of PEERS, an array of struct jc_peer, as jc_rpc_dial
   does.  */
void
jc_rpc_dial_all (struct jc_rpc *rpc, const GPtrArray *peers)
{
  for (guint i = 0; i < peers->len; i++)
    {
      const struct jc_peer *peer = g_ptr_array_index (peers, i);

      jc_rpc_dial (rpc, peer->name, peer->rpc);
    }
}

static void
dial_free (struct dial *dial)
{
  ev_timer_stop (dial->rpc->loop, &dial->redial_timer);
  g_free (dial->name);
  g_free (dial);
}

/* Drop the connection that was dialled to the peer NAME and don't connect to
   it again.  A connection that the peer opened stays.  */
void
jc_rpc_stop_dialling (struct jc_rpc *rpc, const char *name)
{
  for (guint i = rpc->dials->len; i > 0; i--)
    {
      struct dial *dial = g_ptr_array_index (rpc->dials, i - 1);

      if (strcmp (dial->name, name) != 0)
        continue;
      if (dial->conn != NULL)
        {
          dial->conn->dial = NULL;
          rpc_conn_schedule_drop (dial->conn, "the peer was removed");
        }
      g_ptr_array_remove_index_fast (rpc->dials, i - 1);
      dial_free (dial);
    }
}

/* Free RPC and close its connections.  Neither DOWN nor the reply functions of
   pending calls are called.  */
void
jc_rpc_free (struct jc_rpc *rpc)
{
  GHashTableIter iter;
  gpointer value;

  ev_timer_stop (rpc->loop, &rpc->heartbeat_timer);
  ev_timer_stop (rpc->loop, &rpc->reaper);
  if (rpc->listen_fd >= 0)
    {
      ev_io_stop (rpc->loop, &rpc->accept);
      close (rpc->listen_fd);
    }
  g_hash_table_iter_init (&iter, rpc->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ev_timer_stop (rpc->loop, &((struct pending_call *)value)->timer);
      g_free (value);
    }
  g_hash_table_destroy (rpc->pending_calls);
  g_hash_table_destroy (rpc->latest_conns);
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      ev_io_stop (rpc->loop, &conn->reader);
      ev_io_stop (rpc->loop, &conn->writer);
      if (!conn->closed)
        close (conn->fd);
      rpc_conn_free (conn);
    }
  for (guint i = 0; i < rpc->dials->len; i++)
    dial_free (g_ptr_array_index (rpc->dials, i));
  g_ptr_array_free (rpc->conns, TRUE);
  g_ptr_array_free (rpc->traffic, TRUE);
  g_ptr_array_free (rpc->dials, TRUE);
  g_free (rpc->group);
  g_free (rpc->name);
  g_free (rpc->role);
  g_free (rpc->region);
  g_free (rpc->zone);
  g_free (rpc);
}

/* Set the configuration version that every message carries to VERSION.  */
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

/* Note that CONN has come up, later than all others.  */
void
rpc_index_add (struct jc_rpc_conn *conn)
{
  g_hash_table_replace (conn->rpc->latest_conns, conn->name, conn);
}

/* Note that CONN, which is still in the list of connections, is not usable any
   more.  Another one to its peer takes its place.  */
void
rpc_index_remove (const struct jc_rpc_conn *conn)
{
  const struct jc_rpc *rpc = conn->rpc;
  struct jc_rpc_conn *last = NULL;

  if (conn->name == NULL
      || g_hash_table_lookup (rpc->latest_conns, conn->name) != conn)
    return;
  g_hash_table_remove (rpc->latest_conns, conn->name);
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *other = g_ptr_array_index (rpc->conns, i);

      if (other != conn && rpc_conn_is_usable (other)
          && strcmp (other->name, conn->name) == 0
          && (last == NULL || other->serial > last->serial))
        last = other;
    }
  if (last != NULL)
    rpc_index_add (last);
}

/* Return the connection to the peer NAME that came up last, or NULL if none is
   up.  */
struct jc_rpc_conn *
jc_rpc_find_conn (struct jc_rpc *rpc, const char *name)
{
  return g_hash_table_lookup (rpc->latest_conns, name);
}

/* Append to OUT the connection to each peer of ROLE that is up; if there are
   two, the later one.  */
void
jc_rpc_list_conns (const struct jc_rpc *rpc, const char *role, GPtrArray *out)
{
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (rpc_conn_is_usable (conn) && strcmp (conn->role, role) == 0
          && g_hash_table_lookup (rpc->latest_conns, conn->name) == conn)
        g_ptr_array_add (out, conn);
    }
}

/* Set DIALLED if a connection to the peer NAME that this process opened is up,
   ACCEPTED if one is that the peer opened.  */
void
jc_rpc_get_directions (const struct jc_rpc *rpc, const char *name,
                       bool *dialled, bool *accepted)
{
  *dialled = false;
  *accepted = false;
  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (!rpc_conn_is_usable (conn) || strcmp (conn->name, name) != 0)
        continue;
      *dialled = *dialled || conn->dialled;
      *accepted = *accepted || !conn->dialled;
    }
}

/* Return the number of connections, including those that are not up.  */
unsigned int
jc_rpc_count_conns (const struct jc_rpc *rpc)
{
  return rpc->conns->len;
}

/* Return how many bytes wait to be sent to all peers.  */
size_t
jc_rpc_backlog_bytes (const struct jc_rpc *rpc)
{
  size_t backlog = 0;

  for (guint i = 0; i < rpc->conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (rpc->conns, i);

      if (rpc_conn_is_usable (conn))
        backlog += jc_rpc_conn_backlog_bytes (conn);
    }
  return backlog;
}

/* Return how many bytes RPC has sent since its start.  */
uint64_t
jc_rpc_bytes_sent (const struct jc_rpc *rpc)
{
  return rpc->bytes_sent;
}
