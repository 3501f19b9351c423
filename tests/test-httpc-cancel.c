/* Tests of what becomes of a request whose call ends before its answer.  */

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  WAIT_MS = 60000,
  /* More than the buffers of both sockets hold.  */
  BODY_BYTES = 64 * 1024 * 1024,
  READ_BYTES = 64 * 1024,
  LOOPS_UNTIL_FULL = 200
};

static int
listen_on_loopback (int *port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (fd, 1), ==, 0);
  getsockname (fd, (struct sockaddr *)&addr, &len);
  *port = ntohs (addr.sin_port);
  return fd;
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  (void)ctx;
  (void)result;
}

/* Read all that comes on FD.  Return the errno that ends it, 0 if the peer
   closed as usual.  */
static int
read_to_end (int fd)
{
  char buffer[READ_BYTES];
  ssize_t received;

  while ((received = recv (fd, buffer, sizeof buffer, 0)) > 0)
    continue;
  return received < 0 ? errno : 0;
}

/* Guards against a request that reaches its endpoint after its caller has left:
   what the kernel still holds of a cancelled request must be dropped, not
   delivered once the link or the endpoint takes bytes again.  */
static void
test_cancelled_request_is_dropped (void)
{
  static const struct jc_httpc_call_ops ops = { .done = on_done };
  struct ev_loop *loop = ev_loop_new (0);
  struct jc_httpc *httpc = jc_httpc_new (loop);
  char *body = g_malloc0 (BODY_BYTES);
  int port;
  int listener = listen_on_loopback (&port);
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", port);
  const struct jc_httpc_call_spec spec
      = { .method = "POST",
          .url = url,
          .body = { .data = body, .len = BODY_BYTES },
          .total_timeout_ms = WAIT_MS };
  struct jc_httpc_call *call = jc_httpc_call_start (httpc, &spec, &ops, NULL);
  int server = accept (listener, NULL, NULL);

  for (int i = 0; i < LOOPS_UNTIL_FULL; i++)
    ev_run (loop, EVRUN_NOWAIT);
  jc_httpc_call_cancel (call);
  ev_run (loop, EVRUN_NOWAIT);
  g_assert_cmpint (read_to_end (server), ==, ECONNRESET);
  jc_httpc_free (httpc);
  ev_loop_destroy (loop);
  close (server);
  close (listener);
  g_free (url);
  g_free (body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cancelled-request-is-dropped",
                   test_cancelled_request_is_dropped);
  return g_test_run ();
}
