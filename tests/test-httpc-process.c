/* Tests of what the HTTP client's connections tell of the process at an
   address: since when it has been the same, and when it was lost.  */

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  WAIT_MS = 5000,
  MS_PER_S = 1000,
  APART_MS = 20,
  REQUEST_BYTES_MAX = 4096,
  BACKLOG = 4
};

#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"

/* A client, and a listener that stands for an endpoint.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpc *httpc;
  int listener;
  char *address;
  char *url;
};

/* A call, with the bytes of its answer that came and the endpoint's end of its
   connection.  */
struct call
{
  struct jc_httpc_call *call;
  size_t bytes;
  bool done;
  int fd;
};

static void
fixture_init (struct fixture *fixture)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  fixture->loop = ev_loop_new (0);
  fixture->httpc = jc_httpc_new (fixture->loop);
  fixture->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      bind (fixture->listener, (struct sockaddr *)&addr, sizeof addr), ==, 0);
  g_assert_cmpint (listen (fixture->listener, BACKLOG), ==, 0);
  getsockname (fixture->listener, (struct sockaddr *)&addr, &len);
  fixture->address = g_strdup_printf ("127.0.0.1:%d", ntohs (addr.sin_port));
  fixture->url = g_strdup_printf ("http://%s/", fixture->address);
}

static void
fixture_clear (struct fixture *fixture)
{
  jc_httpc_free (fixture->httpc);
  ev_loop_destroy (fixture->loop);
  close (fixture->listener);
  g_free (fixture->address);
  g_free (fixture->url);
}

static int64_t
since_us (const struct fixture *fixture)
{
  int64_t heard_us;

  return jc_httpc_address_since_us (fixture->httpc, fixture->address,
                                    &heard_us);
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct call *call = ctx;

  call->bytes += data.len;
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct call *call = ctx;

  g_assert_cmpint (result->status, ==, JC_OK);
  call->done = true;
}

static void
on_waited (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

/* Let FIXTURE's client run for MS.  */
static void
run_for (struct fixture *fixture, int ms)
{
  ev_timer timer;

  ev_timer_init (&timer, on_waited, (double)ms / MS_PER_S, 0);
  ev_timer_start (fixture->loop, &timer);
  ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &timer);
}

/* Start CALL and read its request at the endpoint.  */
static void
call_start (struct fixture *fixture, struct call *call)
{
  static const struct jc_httpc_call_ops ops
      = { .data = on_data, .done = on_done };
  const struct jc_httpc_call_spec spec = { .method = "GET",
                                           .url = fixture->url,
                                           .connect_timeout_ms = WAIT_MS,
                                           .total_timeout_ms = WAIT_MS };
  char request[REQUEST_BYTES_MAX];

  *call = (struct call){ .bytes = 0 };
  call->call = jc_httpc_call_start (fixture->httpc, &spec, &ops, call);
  run_for (fixture, APART_MS);
  call->fd = accept (fixture->listener, NULL, NULL);
  while (recv (call->fd, request, sizeof request, MSG_DONTWAIT) <= 0)
    run_for (fixture, 1);
}

/* Let the endpoint send TEXT as an answer to CALL, which then has BYTES of its
   body.  */
static void
call_answer (struct fixture *fixture, struct call *call, const char *text,
             size_t bytes)
{
  g_assert_cmpint (write (call->fd, text, strlen (text)), ==,
                   (int)strlen (text));
  while (call->bytes < bytes)
    ev_run (fixture->loop, EVRUN_ONCE);
}

/* Guards against taking a process for the one that reported where no connection
   to it is established, or none that was heard.  */
static void
test_no_connection (void)
{
  struct fixture fixture;
  struct call call;

  fixture_init (&fixture);
  g_assert_cmpint (since_us (&fixture), ==, -1);
  call_start (&fixture, &call);
  g_assert_cmpint (since_us (&fixture), ==, -1);
  call_answer (&fixture, &call, HEAD "abc", 3);
  g_assert_true (call.done);
  g_assert_cmpint (since_us (&fixture), >, 0);
  jc_httpc_close_idle (fixture.httpc, fixture.address);
  g_assert_cmpint (since_us (&fixture), ==, -1);
  close (call.fd);
  fixture_clear (&fixture);
}

/* Guards against an earlier connection whose process may have ended silently
   telling for how long the process of a later one has been the same: it tells
   so once it was heard after that one was established.  */
static void
test_earlier_connection (void)
{
  struct fixture fixture;
  struct call earlier;
  struct call later;
  int64_t earlier_us;
  int64_t later_us;

  fixture_init (&fixture);
  call_start (&fixture, &earlier);
  call_answer (&fixture, &earlier, HEAD "a", 1);
  earlier_us = jc_httpc_call_since_us (earlier.call);
  g_assert_cmpint (since_us (&fixture), ==, earlier_us);
  run_for (&fixture, APART_MS);
  call_start (&fixture, &later);
  call_answer (&fixture, &later, HEAD "a", 1);
  later_us = jc_httpc_call_since_us (later.call);
  g_assert_cmpint (later_us, >, earlier_us);
  g_assert_cmpint (since_us (&fixture), ==, later_us);
  run_for (&fixture, APART_MS);
  call_answer (&fixture, &earlier, "b", 2);
  g_assert_cmpint (jc_httpc_call_since_us (later.call), ==, later_us);
  g_assert_cmpint (since_us (&fixture), ==, earlier_us);
  call_answer (&fixture, &later, "b", 2);
  g_assert_cmpint (jc_httpc_call_since_us (later.call), ==, earlier_us);
  jc_httpc_call_cancel (earlier.call);
  jc_httpc_call_cancel (later.call);
  close (earlier.fd);
  close (later.fd);
  fixture_clear (&fixture);
}

static int64_t
lost_ms (const struct fixture *fixture)
{
  return jc_httpc_address_lost_ms (fixture->httpc, fixture->address);
}

/* Guards against a process that ended while its connections were idle being
   taken for the one that answers later: only the last one to break shows that
   it is lost, and one that the client closes does not.  */
static void
test_lost_when_last_breaks (void)
{
  struct fixture fixture;
  struct call earlier;
  struct call later;

  fixture_init (&fixture);
  call_start (&fixture, &earlier);
  call_start (&fixture, &later);
  call_answer (&fixture, &earlier, HEAD "abc", 3);
  call_answer (&fixture, &later, HEAD "abc", 3);
  close (earlier.fd);
  run_for (&fixture, APART_MS);
  g_assert_cmpint (lost_ms (&fixture), ==, -1);
  close (later.fd);
  run_for (&fixture, APART_MS);
  g_assert_cmpint (lost_ms (&fixture), >, 0);
  fixture_clear (&fixture);

  fixture_init (&fixture);
  call_start (&fixture, &earlier);
  call_answer (&fixture, &earlier, HEAD "abc", 3);
  jc_httpc_close_idle (fixture.httpc, fixture.address);
  g_assert_cmpint (lost_ms (&fixture), ==, -1);
  close (earlier.fd);
  fixture_clear (&fixture);
}

/* Guards against a process that hangs and ends without a word being taken for
   the one that answers later: a connection is given up without an answer, or
   none comes up.  */
static void
test_lost_without_answer (void)
{
  struct fixture fixture;
  struct call call;

  fixture_init (&fixture);
  call_start (&fixture, &call);
  g_assert_cmpint (lost_ms (&fixture), ==, -1);
  jc_httpc_call_cancel (call.call);
  run_for (&fixture, APART_MS);
  g_assert_cmpint (lost_ms (&fixture), >, 0);
  close (call.fd);
  fixture_clear (&fixture);
}

static void
on_refused (void *ctx, const struct jc_httpc_call_result *result)
{
  struct call *call = ctx;

  g_assert_cmpint (result->status, ==, JC_UNREACHABLE);
  call->done = true;
}

/* Guards against a process that was down for a moment while no connection to it
   was open being taken for the one before.  */
static void
test_lost_when_refused (void)
{
  static const struct jc_httpc_call_ops ops = { .done = on_refused };
  struct call call = { .bytes = 0 };
  struct fixture fixture;
  struct jc_httpc_call_spec spec = { .method = "GET",
                                     .connect_timeout_ms = WAIT_MS,
                                     .total_timeout_ms = WAIT_MS };

  fixture_init (&fixture);
  spec.url = fixture.url;
  close (fixture.listener);
  jc_httpc_call_start (fixture.httpc, &spec, &ops, &call);
  while (!call.done)
    ev_run (fixture.loop, EVRUN_ONCE);
  g_assert_cmpint (lost_ms (&fixture), >, 0);
  fixture.listener = socket (AF_INET, SOCK_STREAM, 0);
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/no-connection", test_no_connection);
  g_test_add_func ("/earlier-connection", test_earlier_connection);
  g_test_add_func ("/lost-when-last-breaks", test_lost_when_last_breaks);
  g_test_add_func ("/lost-without-answer", test_lost_without_answer);
  g_test_add_func ("/lost-when-refused", test_lost_when_refused);
  return g_test_run ();
}
