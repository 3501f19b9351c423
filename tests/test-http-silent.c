/* Tests of the HTTP client and server on links that go silent: nothing that is
   sent arrives, and nothing comes back.  They guard against requests that are
   held for a peer that is gone, and against giving up one that only waits.  */

#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  BODY_MAX_BYTES = 1000,
  CALLERS = 3,
  /* TCP user timeouts of the server and the client, and the keepalive time of
     the server.  */
  SERVER_ACK_S = 10,
  CLIENT_ACK_MS = 5000,
  KEEPALIVE_S = 5,
  /* After which a retransmission or probe that is due has been sent.  */
  MARGIN_S = 10,
  TOTAL_MS = 7000,
  WAIT_S = 40
};

struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
  struct jc_httpc *httpc;
  int listener;
  int port;
  int64_t left_us;
  struct jc_http_req *req;
};

/* Let nothing that is sent to FD arrive.  */
static void
make_silent (int fd)
{
  struct sock_filter drop = { .code = BPF_RET | BPF_K, .k = 0 };
  const struct sock_fprog program = { .len = 1, .filter = &drop };

  g_assert_cmpint (
      setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program),
      ==, 0);
}

static void
on_body (void *ctx, struct jc_http_req *req)
{
  ((struct fixture *)ctx)->req = req;
}

static void
on_peer_closed (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;

  (void)req;
  f->req = NULL;
  f->left_us = g_get_monotonic_time ();
}

static int
connect_to (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (connect (fd, (struct sockaddr *)&addr, sizeof addr), ==, 0);
  return fd;
}

static void
setup (struct fixture *f, gconstpointer unused)
{
  static const struct jc_httpd_class klass
      = { .body = on_body, .peer_closed = on_peer_closed };
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  (void)unused;
  f->loop = ev_loop_new (0);
  f->httpd = jc_httpd_new (f->loop, "127.0.0.1:0", &klass, f, BODY_MAX_BYTES);
  f->httpc = jc_httpc_new (f->loop);
  f->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (f->listener, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (f->listener, CALLERS), ==, 0);
  getsockname (f->listener, (struct sockaddr *)&addr, &len);
  f->port = ntohs (addr.sin_port);
}

static void
teardown (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  close (f->listener);
  jc_httpd_free (f->httpd);
  jc_httpc_free (f->httpc);
  ev_loop_destroy (f->loop);
}

/* Guards against a request that is worked on for a caller that is gone without
   a word.  Keepalive probes begin after KEEPALIVE_S, and the TCP user timeout,
   not their number, decides when they give up.  */
static void
test_caller_gone (struct fixture *f, gconstpointer unused)
{
  static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;
  int fd = connect_to (jc_httpd_port (f->httpd));
  int64_t since;

  (void)unused;
  g_assert_cmpint (send (fd, request, strlen (request), 0), >, 0);
  while (f->req == NULL && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_nonnull (f->req);
  make_silent (fd);
  since = g_get_monotonic_time ();
  while (f->left_us == 0 && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_ONCE);
  close (fd);
  g_assert_cmpint (f->left_us, >, since + KEEPALIVE_S * G_USEC_PER_SEC);
  g_assert_cmpint (f->left_us - since, <=,
                   (SERVER_ACK_S + MARGIN_S) * G_USEC_PER_SEC);
}

/* A call, when it ended, and how.  */
struct call
{
  struct jc_httpc_call_result result;
  int64_t ended_us;
};

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct call *call = ctx;

  call->result = *result;
  call->ended_us = g_get_monotonic_time ();
}

/* Guards against calls that outlast their time on a silent link.  One whose
   request was acknowledged is ended by its total time only: the client sends no
   keepalive probes, and TCP_USER_TIMEOUT has nothing to judge.  One that sends
   on an idle connection ends by TCP_USER_TIMEOUT before.  */
static void
test_endpoint_gone (struct fixture *f, gconstpointer unused)
{
  static const struct jc_httpc_call_ops ops = { .done = on_done };
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", f->port);
  const struct jc_httpc_call_spec spec = {
    .method = "GET", .url = url, .no_resend = true, .total_timeout_ms = TOTAL_MS
  };
  struct call warm = { .ended_us = 0 };
  struct call waits = { .ended_us = 0 };
  struct call idle = { .ended_us = 0 };
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;
  int64_t since;
  char data[1000];
  int fds[2];

  (void)unused;
  jc_httpc_call_start (f->httpc, &spec, &ops, &warm);
  ev_run (f->loop, EVRUN_NOWAIT);
  ev_run (f->loop, EVRUN_NOWAIT);
  fds[0] = accept (f->listener, NULL, NULL);
  jc_httpc_call_start (f->httpc, &spec, &ops, &waits);
  ev_run (f->loop, EVRUN_NOWAIT);
  ev_run (f->loop, EVRUN_NOWAIT);
  fds[1] = accept (f->listener, NULL, NULL);
  g_assert_cmpint (recv (fds[1], data, sizeof data, 0), >, 0);
  g_assert_cmpint (send (fds[0], answer, strlen (answer), 0), >, 0);
  while (warm.ended_us == 0 && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_ONCE);
  g_assert_cmpint (warm.result.status, ==, JC_OK);
  make_silent (fds[0]);
  make_silent (fds[1]);
  since = g_get_monotonic_time ();
  jc_httpc_call_start (f->httpc, &spec, &ops, &idle);
  while ((waits.ended_us == 0 || idle.ended_us == 0)
         && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_ONCE);
  close (fds[0]);
  close (fds[1]);
  g_free (url);
  g_assert_cmpint (waits.result.status, ==, JC_TIMEOUT);
  g_assert_false (waits.result.host_unreachable);
  g_assert_cmpint (idle.result.status, ==, JC_ENDPOINT_FAILED);
  g_assert_true (idle.result.host_unreachable);
  g_assert_true (idle.result.reused);
  g_assert_cmpint (idle.ended_us - since, >=, CLIENT_ACK_MS * 1000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define CASE(path, fn)                                                         \
  g_test_add (path, struct fixture, NULL, setup, fn, teardown)
  CASE ("/caller-gone", test_caller_gone);
  CASE ("/endpoint-gone", test_endpoint_gone);
  return g_test_run ();
}
