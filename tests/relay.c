/* A relay of TCP connections.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/relay.h"

enum
{
  CHUNK_BYTES = 64 * 1024,
  ALTERED_BIT = 1
};

/* One way of a connection: what FROM sends goes to TO.  */
struct way
{
  struct relay *relay;
  int from;
  int to;
  ev_io reader;
  bool dialler_side;
};

struct relay
{
  struct ev_loop *loop;
  int fd;
  int port;
  int target_port;
  ev_io accept;
  GPtrArray *ways;
  enum relay_harm harm;
  unsigned int accepted;
  int last_peer_port;
};

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return addr;
}

static void
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t put = send (fd, data, size, MSG_NOSIGNAL);

      if (put <= 0)
        return;
      data += put;
      size -= (size_t)put;
    }
}

/* Pass on a chunk, harmed as is asked; harm but for holding is done once, to
   what the dialling side sends.  */
static void
way_pass (struct way *way, char *data, size_t size)
{
  struct relay *relay = way->relay;
  enum relay_harm harm = relay->harm;
  bool once = way->dialler_side && harm != RELAY_PASS && harm != RELAY_HOLD;

  if (once)
    relay->harm = RELAY_PASS;
  if (once && harm == RELAY_ALTER)
    data[size - 1] ^= ALTERED_BIT;
  send_all (way->to, data, size);
  if (once && harm == RELAY_REPEAT)
    send_all (way->to, data, size);
  if (once && harm == RELAY_REFLECT)
    send_all (way->from, data, size);
}

static void
way_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct way *way = watcher->data;
  char data[CHUNK_BYTES];
  ssize_t got;

  (void)events;
  if (way->relay->harm == RELAY_HOLD)
    {
      ev_io_stop (loop, watcher);
      return;
    }
  got = recv (way->from, data, sizeof data, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      ev_io_stop (loop, watcher);
      shutdown (way->to, SHUT_RDWR);
      return;
    }
  way_pass (way, data, (size_t)got);
}

static void
way_start (struct relay *relay, int from, int to, bool dialler_side)
{
  struct way *way = g_new0 (struct way, 1);

  way->relay = relay;
  way->from = from;
  way->to = to;
  way->dialler_side = dialler_side;
  ev_io_init (&way->reader, way_on_readable, from, EV_READ);
  way->reader.data = way;
  ev_io_start (relay->loop, &way->reader);
  g_ptr_array_add (relay->ways, way);
}

static void
relay_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct relay *relay = watcher->data;
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof peer;
  struct sockaddr_in target = loopback (relay->target_port);
  int near = accept (watcher->fd, (struct sockaddr *)&peer, &len);
  int far = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)loop;
  (void)events;
  g_assert_cmpint (near, >=, 0);
  relay->accepted++;
  relay->last_peer_port = ntohs (peer.sin_port);
  if (relay->target_port != 0)
    g_assert_cmpint (connect (far, (struct sockaddr *)&target, sizeof target),
                     ==, 0);
  way_start (relay, near, far, true);
  way_start (relay, far, near, false);
}

/* Relay from a port of its own to TARGET_PORT, where 0 means to accept and
   never answer.  */
struct relay *
relay_new (struct ev_loop *loop, int target_port)
{
  struct relay *relay = g_new0 (struct relay, 1);
  struct sockaddr_in addr = loopback (0);
  socklen_t len = sizeof addr;

  relay->loop = loop;
  relay->target_port = target_port;
  relay->harm = target_port == 0 ? RELAY_HOLD : RELAY_PASS;
  relay->ways = g_ptr_array_new ();
  relay->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (relay->fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (relay->fd, SOMAXCONN), ==, 0);
  getsockname (relay->fd, (struct sockaddr *)&addr, &len);
  relay->port = ntohs (addr.sin_port);
  ev_io_init (&relay->accept, relay_on_accept, relay->fd, EV_READ);
  relay->accept.data = relay;
  ev_io_start (loop, &relay->accept);
  return relay;
}

/* Free RELAY and close its connections.  */
void
relay_free (struct relay *relay)
{
  ev_io_stop (relay->loop, &relay->accept);
  close (relay->fd);
  for (guint i = 0; i < relay->ways->len; i++)
    {
      struct way *way = g_ptr_array_index (relay->ways, i);

      ev_io_stop (relay->loop, &way->reader);
      close (way->from);
      g_free (way);
    }
  g_ptr_array_free (relay->ways, TRUE);
  g_free (relay);
}

/* Return the port that RELAY listens at.  */
int
relay_port (const struct relay *relay)
{
  return relay->port;
}

/* Do HARM from now on.  A connection that was held stays silent for good.  */
void
relay_harm (struct relay *relay, enum relay_harm harm)
{
  relay->harm = harm;
}

/* Return the number of connections that were accepted.  */
unsigned int
relay_accepted (const struct relay *relay)
{
  return relay->accepted;
}

/* Return the port that the last accepted connection came from.  */
int
relay_last_peer_port (const struct relay *relay)
{
  return relay->last_peer_port;
}
