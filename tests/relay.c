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
  int from_fd;
  int to_fd;
  ev_io read_watcher;
  bool from_client;
};

struct relay
{
  struct ev_loop *loop;
  int listen_fd;
  int port;
  int target_port;
  ev_io accept_watcher;
  GPtrArray *forwarders;
  enum relay_fault fault;
  unsigned int accepted_count;
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
  enum relay_fault harm = relay->fault;
  bool once = way->from_client && harm != RELAY_FAULT_NONE
              && harm != RELAY_FAULT_STALL;

  if (once)
    relay->fault = RELAY_FAULT_NONE;
  if (once && harm == RELAY_FAULT_CORRUPT)
    data[size - 1] ^= ALTERED_BIT;
  send_all (way->to_fd, data, size);
  if (once && harm == RELAY_FAULT_DUPLICATE)
    send_all (way->to_fd, data, size);
  if (once && harm == RELAY_FAULT_REFLECT)
    send_all (way->from_fd, data, size);
}

static void
way_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct way *way = watcher->data;
  char data[CHUNK_BYTES];
  ssize_t got;

  (void)events;
  if (way->relay->fault == RELAY_FAULT_STALL)
    {
      ev_io_stop (loop, watcher);
      return;
    }
  got = recv (way->from_fd, data, sizeof data, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      ev_io_stop (loop, watcher);
      shutdown (way->to_fd, SHUT_RDWR);
      return;
    }
  way_pass (way, data, (size_t)got);
}

static void
way_start (struct relay *relay, int from, int to, bool dialler_side)
{
  struct way *way = g_new0 (struct way, 1);

  way->relay = relay;
  way->from_fd = from;
  way->to_fd = to;
  way->from_client = dialler_side;
  ev_io_init (&way->read_watcher, way_on_readable, from, EV_READ);
  way->read_watcher.data = way;
  ev_io_start (relay->loop, &way->read_watcher);
  g_ptr_array_add (relay->forwarders, way);
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
  relay->accepted_count++;
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
  relay->fault = target_port == 0 ? RELAY_FAULT_STALL : RELAY_FAULT_NONE;
  relay->forwarders = g_ptr_array_new ();
  relay->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (relay->listen_fd, (struct sockaddr *)&addr, len), ==,
                   0);
  g_assert_cmpint (listen (relay->listen_fd, SOMAXCONN), ==, 0);
  getsockname (relay->listen_fd, (struct sockaddr *)&addr, &len);
  relay->port = ntohs (addr.sin_port);
  ev_io_init (&relay->accept_watcher, relay_on_accept, relay->listen_fd,
              EV_READ);
  relay->accept_watcher.data = relay;
  ev_io_start (loop, &relay->accept_watcher);
  return relay;
}

/* Free RELAY and close its connections.  */
void
relay_free (struct relay *relay)
{
  ev_io_stop (relay->loop, &relay->accept_watcher);
  close (relay->listen_fd);
  for (guint i = 0; i < relay->forwarders->len; i++)
    {
      struct way *way = g_ptr_array_index (relay->forwarders, i);

      ev_io_stop (relay->loop, &way->read_watcher);
      close (way->from_fd);
      g_free (way);
    }
  g_ptr_array_free (relay->forwarders, TRUE);
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
relay_set_fault (struct relay *relay, enum relay_fault harm)
{
  relay->fault = harm;
}

/* Return the number of connections that were accepted.  */
unsigned int
relay_accepted_count (const struct relay *relay)
{
  return relay->accepted_count;
}

/* Return the port that the last accepted connection came from.  */
int
relay_last_peer_port (const struct relay *relay)
{
  return relay->last_peer_port;
}
