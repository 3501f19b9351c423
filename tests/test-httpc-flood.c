/* Test of the HTTP client against a server that sends without a pause, so that
   each iteration of the loop has input.  */

#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  BLOCK_BYTES = 16 * 1024,
  TOTAL_TIMEOUT_MS = 100,
  TEST_TIMEOUT_S = 20
};

/* A server that answers with a body without end, and the call to it.  */
struct fixture
{
  struct ev_loop *loop;
  int listener;
  int conn;
  ev_io accept;
  ev_io writer;
  struct jc_httpc_call *call;
  enum jc_status status;
};

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char block[BLOCK_BYTES];

  (void)events;
  if (send (watcher->fd, block, sizeof block, MSG_DONTWAIT | MSG_NOSIGNAL)
      == -1)
    ev_io_stop (loop, watcher);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  struct fixture *f = watcher->data;

  (void)events;
  f->conn = accept (watcher->fd, NULL, NULL);
  g_assert_cmpint (send (f->conn, head, sizeof head - 1, MSG_NOSIGNAL), >, 0);
  ev_io_init (&f->writer, on_writable, f->conn, EV_WRITE);
  ev_io_start (loop, &f->writer);
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct fixture *f = ctx;

  (void)data;
  jc_httpc_call_progress (f->call);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct fixture *f = ctx;

  f->status = result->status;
}

static void
on_test_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("the call has not ended");
}

/* Guards against an answer that makes progress all the time and so keeps its
   call alive beyond its total time.  */
static void
test_total_time (void)
{
  static const struct jc_httpc_call_ops ops
      = { .data = on_data, .done = on_done };
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  struct fixture f = { .loop = ev_loop_new (0), .status = JC_STATUS_COUNT };
  struct jc_httpc *httpc = jc_httpc_new (f.loop);
  struct jc_httpc_call_spec spec = { .method = "GET",
                                     .progress_kind = JC_PROGRESS_STEPS,
                                     .progress_pause_ms = TOTAL_TIMEOUT_MS / 2,
                                     .total_timeout_ms = TOTAL_TIMEOUT_MS };
  g_autofree char *url = NULL;
  ev_timer test_timeout;

  f.listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (f.listener, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (f.listener, 1), ==, 0);
  getsockname (f.listener, (struct sockaddr *)&addr, &len);
  ev_io_init (&f.accept, on_accept, f.listener, EV_READ);
  f.accept.data = &f;
  ev_io_start (f.loop, &f.accept);
  ev_timer_init (&test_timeout, on_test_timeout, TEST_TIMEOUT_S, 0);
  ev_timer_start (f.loop, &test_timeout);
  url = g_strdup_printf ("http://127.0.0.1:%d/", ntohs (addr.sin_port));
  spec.url = url;
  f.call = jc_httpc_call_start (httpc, &spec, &ops, &f);
  while (f.status == JC_STATUS_COUNT)
    ev_run (f.loop, EVRUN_ONCE);
  g_assert_cmpint (f.status, ==, JC_TIMEOUT);
  ev_timer_stop (f.loop, &test_timeout);
  ev_io_stop (f.loop, &f.accept);
  ev_io_stop (f.loop, &f.writer);
  close (f.conn);
  close (f.listener);
  jc_httpc_free (httpc);
  ev_loop_destroy (f.loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/total-time", test_total_time);
  return g_test_run ();
}
