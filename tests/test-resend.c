/* Tests of the HTTP client's own retry.  A request on a reused connection that
   closes before an answer is sent again on a new one.  A call that asks for a
   connection of its own, or that may be sent only once, must not be sent again,
   since the server may have run it.  */

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  WAIT_MS = 5000
};

/* A server that answers its first request only.  It reads each later request
   and closes its connection without an answer.  */
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
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  *(struct jc_httpc_call_result *)ctx = *result;
}

/* Whether a request may be sent again.  */
static bool allowed = true;

static bool
may_send_again (void *ctx)
{
  (void)ctx;
  return allowed;
}

/* Make one call, wait for its end and return how it ended.  */
static struct jc_httpc_call_result
make_call (struct server *server, struct jc_httpc *httpc, bool own_connection,
           bool no_resend)
{
  static const struct jc_httpc_call_ops ops
      = { .may_send_again = may_send_again, .done = on_done };
  struct jc_httpc_call_result result = { .status = JC_STATUS_COUNT };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", server->port);
  struct jc_httpc_call_spec spec = { .method = "POST",
                                     .url = url,
                                     .body = JC_STR_LIT ("{}"),
                                     .total_timeout_ms = WAIT_MS,
                                     .own_connection = own_connection,
                                     .no_resend = no_resend };

  jc_httpc_call_start (httpc, &spec, &ops, &result);
  while (result.status == JC_STATUS_COUNT)
    ev_run (server->loop, EVRUN_ONCE);
  g_free (url);
  return result;
}

/* Make two calls, set SECOND to how the second one ended, and return how many
   requests the server read for it.  */
static unsigned int
requests_of_second_call (bool own_connection, bool no_resend,
                         struct jc_httpc_call_result *second)
{
  struct server server = { 0 };
  struct jc_httpc *httpc;

  server_start (&server);
  httpc = jc_httpc_new (server.loop);
  g_assert_cmpint (make_call (&server, httpc, own_connection, no_resend).status,
                   ==, JC_OK);
  *second = make_call (&server, httpc, own_connection, no_resend);
  jc_httpc_free (httpc);
  ev_io_stop (server.loop, &server.accept);
  close (server.fd);
  ev_loop_destroy (server.loop);
  g_ptr_array_free (server.conns, TRUE);
  return server.requests - 1;
}

static void
test_reused_connection (void)
{
  struct jc_httpc_call_result second;

  g_assert_cmpuint (requests_of_second_call (false, false, &second), ==, 2);
  g_assert_cmpuint (second.sendings, ==, 2);
}

/* Guards against a request that is sent again though its owner, who counts
   it, does not allow it.  */
static void
test_not_allowed (void)
{
  struct jc_httpc_call_result second;

  allowed = false;
  g_assert_cmpuint (requests_of_second_call (false, false, &second), ==, 1);
  allowed = true;
  g_assert_cmpint (second.status, ==, JC_ENDPOINT_FAILED);
  g_assert_cmpuint (second.sendings, ==, 1);
}

static void
test_fresh_connection (void)
{
  struct jc_httpc_call_result second;

  g_assert_cmpuint (requests_of_second_call (true, false, &second), ==, 1);
  g_assert_cmpint (second.status, ==, JC_ENDPOINT_FAILED);
  g_assert_true (second.sent);
}

static void
test_send_once (void)
{
  struct jc_httpc_call_result second;

  g_assert_cmpuint (requests_of_second_call (false, true, &second), ==, 1);
  g_assert_cmpint (second.status, ==, JC_ENDPOINT_FAILED);
  g_assert_true (second.sent);
  g_assert_true (second.reused);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pooled", test_reused_connection);
  g_test_add_func ("/not-allowed", test_not_allowed);
  g_test_add_func ("/fresh", test_fresh_connection);
  g_test_add_func ("/once", test_send_once);
  return g_test_run ();
}
