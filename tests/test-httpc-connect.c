/* Tests of how the HTTP client reports connections that can't be opened: a host
   that doesn't answer at all is told apart from one that refuses.  */

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  CONNECT_MS = 200,
  WAIT_MS = 5000,
  /* More connections than a listen queue of length 0 takes; further ones get no
     answer.  */
  BACKLOG_FILLERS = 4
};

/* Listen with a queue of length 0 and set PORT.  Nothing is ever accepted.  */
static int
listen_on_loopback (int *port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (fd, 0), ==, 0);
  getsockname (fd, (struct sockaddr *)&addr, &len);
  *port = ntohs (addr.sin_port);
  return fd;
}

static int
connect_to (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  (void)connect (fd, (struct sockaddr *)&addr, sizeof addr);
  return fd;
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  *(struct jc_httpc_call_result *)ctx = *result;
}

/* Make one call to PORT of this host and return how it ended.  */
static struct jc_httpc_call_result
call_port (int port)
{
  static const struct jc_httpc_call_ops ops = { .done = on_done };
  struct ev_loop *loop = ev_loop_new (0);
  struct jc_httpc *httpc = jc_httpc_new (loop);
  struct jc_httpc_call_result result = { .status = JC_STATUS_COUNT };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", port);
  const struct jc_httpc_call_spec spec = { .method = "GET",
                                           .url = url,
                                           .connect_timeout_ms = CONNECT_MS,
                                           .total_timeout_ms = WAIT_MS };

  jc_httpc_call_start (httpc, &spec, &ops, &result);
  while (result.status == JC_STATUS_COUNT)
    ev_run (loop, EVRUN_ONCE);
  jc_httpc_free (httpc);
  ev_loop_destroy (loop);
  g_free (url);
  return result;
}

/* Guards against a region behind a network partition being taken for one
   instance that has ended.  No packet comes back from there, as from a full
   listen queue.  */
static void
test_silent_host (void)
{
  int port;
  int listener = listen_on_loopback (&port);
  int fillers[BACKLOG_FILLERS];
  struct jc_httpc_call_result result;

  for (int i = 0; i < BACKLOG_FILLERS; i++)
    fillers[i] = connect_to (port);
  result = call_port (port);
  g_assert_cmpint (result.status, ==, JC_UNREACHABLE);
  g_assert_false (result.sent);
  g_assert_true (result.host_unreachable);
  for (int i = 0; i < BACKLOG_FILLERS; i++)
    close (fillers[i]);
  close (listener);
}

/* Guards against marking the path to a whole zone as closed because one process
   there has ended: its host still refuses connections.  */
static void
test_refused (void)
{
  int port;
  struct jc_httpc_call_result result;

  close (listen_on_loopback (&port));
  result = call_port (port);
  g_assert_cmpint (result.status, ==, JC_UNREACHABLE);
  g_assert_false (result.sent);
  g_assert_false (result.host_unreachable);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/silent-host", test_silent_host);
  g_test_add_func ("/refused", test_refused);
  return g_test_run ();
}
