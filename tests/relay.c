/* TCP relay that injects faults into the forwarded data.  */

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
  CORRUPT_MASK = 1
};

/* One direction of a connection: data read from FROM_FD is written to
   TO_FD.  */
struct forwarder
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
loopback_address (int port)
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

/* Forward SIZE bytes of DATA.  A corrupting, duplicating or reflecting fault
   applies to one chunk from the client side and is then reset.  */
static void
forwarder_send (struct forwarder *forwarder, char *data, size_t size)
{
  struct relay *relay = forwarder->relay;
  enum relay_fault fault = relay->fault;
  bool once = forwarder->from_client && fault != RELAY_FAULT_NONE
              && fault != RELAY_FAULT_STALL;

  if (once)
    relay->fault = RELAY_FAULT_NONE;
  if (once && fault == RELAY_FAULT_CORRUPT)
    data[size - 1] ^= CORRUPT_MASK;
  send_all (forwarder->to_fd, data, size);
  if (once && fault == RELAY_FAULT_DUPLICATE)
    send_all (forwarder->to_fd, data, size);
  if (once && fault == RELAY_FAULT_REFLECT)
    send_all (forwarder->from_fd, data, size);
}

static void
forwarder_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct forwarder *forwarder = watcher->data;
  char data[CHUNK_BYTES];
  ssize_t got;

  (void)events;
  if (forwarder->relay->fault == RELAY_FAULT_STALL)
    {
      ev_io_stop (loop, watcher);
      return;
    }
  got = recv (forwarder->from_fd, data, sizeof data, MSG_DONTWAIT);
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      ev_io_stop (loop, watcher);
      shutdown (forwarder->to_fd, SHUT_RDWR);
      return;
    }
  forwarder_send (forwarder, data, (size_t)got);
}

static void
forwarder_start (struct relay *relay, int from_fd, int to_fd, bool from_client)
{
  struct forwarder *forwarder = g_new0 (struct forwarder, 1);

  forwarder->relay = relay;
  forwarder->from_fd = from_fd;
  forwarder->to_fd = to_fd;
  forwarder->from_client = from_client;
  ev_io_init (&forwarder->read_watcher, forwarder_on_readable, from_fd,
              EV_READ);
  forwarder->read_watcher.data = forwarder;
  ev_io_start (relay->loop, &forwarder->read_watcher);
  g_ptr_array_add (relay->forwarders, forwarder);
}

static void
relay_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct relay *relay = watcher->data;
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof peer;
  struct sockaddr_in target = loopback_address (relay->target_port);
  int client_fd = accept (watcher->fd, (struct sockaddr *)&peer, &len);
  int server_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)loop;
  (void)events;
  g_assert_cmpint (client_fd, >=, 0);
  relay->accepted_count++;
  relay->last_peer_port = ntohs (peer.sin_port);
  if (relay->target_port != 0)
    g_assert_cmpint (
        connect (server_fd, (struct sockaddr *)&target, sizeof target), ==, 0);
  forwarder_start (relay, client_fd, server_fd, true);
  forwarder_start (relay, server_fd, client_fd, false);
}

/* Listen at a free loopback port and forward connections to TARGET_PORT on
   loopback.  If TARGET_PORT is 0, accept connections and never answer.  */
struct relay *
relay_new (struct ev_loop *loop, int target_port)
{
  struct relay *relay = g_new0 (struct relay, 1);
  struct sockaddr_in addr = loopback_address (0);
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

/* Free RELAY and close its listening socket and connections.  */
void
relay_free (struct relay *relay)
{
  ev_io_stop (relay->loop, &relay->accept_watcher);
  close (relay->listen_fd);
  for (guint i = 0; i < relay->forwarders->len; i++)
    {
      struct forwarder *forwarder = g_ptr_array_index (relay->forwarders, i);

      ev_io_stop (relay->loop, &forwarder->read_watcher);
      close (forwarder->from_fd);
      g_free (forwarder);
    }
  g_ptr_array_free (relay->forwarders, TRUE);
  g_free (relay);
}

int
relay_port (const struct relay *relay)
{
  return relay->port;
}

/* Inject FAULT from now on.  A stalled direction that data arrived on stays
   stalled even after the fault is reset.  */
void
relay_set_fault (struct relay *relay, enum relay_fault fault)
{
  relay->fault = fault;
}

/* Return the number of connections accepted so far.  */
unsigned int
relay_accepted_count (const struct relay *relay)
{
  return relay->accepted_count;
}

/* Return the source port of the last accepted connection.  */
int
relay_last_peer_port (const struct relay *relay)
{
  return relay->last_peer_port;
}
