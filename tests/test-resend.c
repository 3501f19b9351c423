/* The client sends a request again by itself when a reused connection dies
   before an answer; a fresh call, or one that may go out once, must not.  */

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  WAIT_MS = 5000
};

/* A server that answers its first request and closes each later one's
   connection once it has read it.  */
struct server
{
  struct ev_loop *loop;
  int fd;
  int port;
  ev_io accept;
  GPtrArray *conns;
  unsigned int requests;
};

static void
on_readable (struct ev_loop *loop, ev_io *conn, int events)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct server *server = conn->data;
  char data[4096];
  ssize_t len = read (conn->fd, data, sizeof data);

  (void)events;
  if (len > 0 && server->requests++ == 0)
    {
      g_assert_cmpint (write (conn->fd, answer, sizeof answer - 1), >, 0);
      return;
    }
  ev_io_stop (loop, conn);
  close (conn->fd);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct server *server = watcher->data;
  ev_io *conn = g_new0 (ev_io, 1);
  int fd = accept (watcher->fd, NULL, NULL);

  (void)events;
  g_assert_cmpint (fd, >=, 0);
  ev_io_init (conn, on_readable, fd, EV_READ);
  conn->data = server;
  ev_io_start (loop, conn);
  g_ptr_array_add (server->conns, conn);
}

static void
server_start (struct server *server)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  server->loop = ev_loop_new (0);
  server->conns = g_ptr_array_new_with_free_func (g_free);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (server->fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (server->fd, 8), ==, 0);
  getsockname (server->fd, (struct sockaddr *)&addr, &len);
  server->port = ntohs (addr.sin_port);
  ev_io_init (&server->accept, on_accept, server->fd, EV_READ);
  server->accept.data = server;
  ev_io_start (server->loop, &server->accept);
}

static void
on_done (void *ctx, const struct jc_call_result *result)
{
  *(struct jc_call_result *)ctx = *result;
}

/* Make one call and wait for its end.  */
static struct jc_call_result
call (struct server *server, struct jc_httpc *httpc, bool fresh, bool once)
{
  static const struct jc_call_ops ops = { .done = on_done };
  struct jc_call_result result = { .status = JC_STATUS_COUNT };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", server->port);
  struct jc_call_spec spec = { .method = "POST",
                               .url = url,
                               .body = JC_STR_LIT ("{}"),
                               .total_ms = WAIT_MS,
                               .fresh = fresh,
                               .once = once };

  jc_call_start (httpc, &spec, &ops, &result);
  while (result.status == JC_STATUS_COUNT)
    ev_run (server->loop, EVRUN_ONCE);
  g_free (url);
  return result;
}

/* Return how often the second of two calls reached the server.  */
static unsigned int
sent_for_second (bool fresh, bool once, struct jc_call_result *second)
{
  struct server server = { 0 };
  struct jc_httpc *httpc;

  server_start (&server);
  httpc = jc_httpc_new (server.loop);
  g_assert_cmpint (call (&server, httpc, fresh, once).status, ==, JC_OK);
  *second = call (&server, httpc, fresh, once);
  jc_httpc_free (httpc);
  ev_io_stop (server.loop, &server.accept);
  close (server.fd);
  ev_loop_destroy (server.loop);
  g_ptr_array_free (server.conns, TRUE);
  return server.requests - 1;
}

static void
test_pooled (void)
{
  struct jc_call_result second;

  g_assert_cmpuint (sent_for_second (false, false, &second), ==, 2);
}

static void
test_fresh (void)
{
  struct jc_call_result second;

  g_assert_cmpuint (sent_for_second (true, false, &second), ==, 1);
  g_assert_cmpint (second.status, ==, JC_ENDPOINT_FAILED);
  g_assert_true (second.sent);
}

static void
test_once (void)
{
  struct jc_call_result second;

  g_assert_cmpuint (sent_for_second (false, true, &second), ==, 1);
  g_assert_cmpint (second.status, ==, JC_ENDPOINT_FAILED);
  g_assert_true (second.sent);
  g_assert_true (second.reused);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pooled", test_pooled);
  g_test_add_func ("/fresh", test_fresh);
  g_test_add_func ("/once", test_once);
  return g_test_run ();
}
