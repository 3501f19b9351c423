/* Tests of the HTTP client and server with raw bytes.  They guard against
   request smuggling through ambiguous messages, and against bytes that are
   taken for an answer to a request that they do not belong to.  */

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  BODY_MAX_BYTES = 1000,
  TEST_TIMEOUT_S = 20,
  SHORT_TIMEOUT_MS = 50,
  US_PER_MS = 1000
};

/* A listener, a peer that sends raw bytes, and what both received.  FIELD_COUNT
   is that of the last request's head.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
  int fd;
  GString *received;
  GString *bodies;
  int requests;
  unsigned int field_count;
  bool closed;
  ev_io reader;
  ev_timer test_timeout;
};

static void
on_test_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("test timed out");
}

static void
on_body (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;
  struct jc_str body = jc_http_body (req);

  f->requests++;
  f->field_count = jc_http_head (req)->field_count;
  g_string_append_printf (f->bodies, "[%s %s %.*s]", jc_http_method (req),
                          jc_http_target (req), JC_STR_ARG (body));
  jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct fixture *f = watcher->data;
  char data[4096];
  ssize_t len = recv (watcher->fd, data, sizeof data, 0);

  (void)events;
  if (len > 0)
    {
      g_string_append_len (f->received, data, len);
      return;
    }
  f->closed = true;
  ev_io_stop (loop, watcher);
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
  static const struct jc_httpd_class klass = { .body = on_body };

  (void)unused;
  f->loop = ev_loop_new (0);
  f->httpd = jc_httpd_new (f->loop, "127.0.0.1:0", &klass, f, BODY_MAX_BYTES);
  f->fd = connect_to (jc_httpd_port (f->httpd));
  f->received = g_string_new (NULL);
  f->bodies = g_string_new (NULL);
  ev_io_init (&f->reader, on_readable, f->fd, EV_READ);
  f->reader.data = f;
  ev_io_start (f->loop, &f->reader);
  ev_timer_init (&f->test_timeout, on_test_timeout, TEST_TIMEOUT_S, 0);
  ev_timer_start (f->loop, &f->test_timeout);
}

static void
teardown (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  ev_io_stop (f->loop, &f->reader);
  close (f->fd);
  jc_httpd_free (f->httpd);
  ev_timer_stop (f->loop, &f->test_timeout);
  ev_loop_destroy (f->loop);
  g_string_free (f->received, TRUE);
  g_string_free (f->bodies, TRUE);
}

static void
send_raw (struct fixture *f, const char *data, size_t len)
{
  g_assert_cmpint (send (f->fd, data, len, MSG_NOSIGNAL), ==, len);
}

#define SEND(f, text) send_raw (f, (text), sizeof (text) - 1)

static void
run_until_closed (struct fixture *f)
{
  while (!f->closed)
    ev_run (f->loop, EVRUN_ONCE);
}

/* Each of these must be rejected with status 400 and a close.  Neither the
   request nor one hidden in its body may reach the owner.  */
static const struct
{
  const char *name;
  const char *bytes;
  size_t len;
} smuggled_requests[] = {
#define CASE(name, text)                                                       \
  {                                                                            \
    (name), (text), sizeof (text) - 1                                          \
  }
  CASE ("two-lengths",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Content-Length: 30\r\n\r\nabcdGET /hidden HTTP/1.1\r\n\r\n"),
  CASE ("length-and-chunks",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("coding-after-empty-value",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX:\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("second-length-after-empty-value",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX:\r\n"
        "Content-Length: 4\r\n\r\nabcd"),
  CASE ("unknown-coding",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n"
        "\r\n0\r\n\r\n"),
  CASE ("other-coding", "POST /a HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
  CASE ("negative-length",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"),
  CASE ("signed-length",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd"),
  CASE ("nul-in-path", "GET /a\0b HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("tab-in-path", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("form-feed-in-path", "GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("nul-in-value", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n"),
  CASE ("blank-before-colon",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd"),
  CASE ("bare-lf", "GET /a HTTP/1.1\nHost: h\r\n\r\n"),
  CASE ("bare-cr", "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n"),
  CASE ("folded", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n"),
  CASE ("no-host", "GET /a HTTP/1.1\r\n\r\n"),
  CASE ("two-hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
  CASE ("no-path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n"),
  CASE ("not-http", "\x16\x03\x01 hello there\r\n\r\n"),
  CASE ("bad-chunk-size", "POST /a HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
  CASE ("signed-chunk-size", "POST /a HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n"),
  CASE ("bare-lf-in-chunk-size",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n3\nabc\r\n0\r\n\r\n"),
  CASE ("bare-cr-in-chunk-size",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n3\rXabc\r\n0\r\n\r\n"),
  CASE ("bytes-after-chunk",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n3\r\nabcdef\r\n0\r\n\r\n"),
  CASE ("no-name", "GET /a HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n")
#undef CASE
};

static void
test_smuggled (gconstpointer data)
{
  size_t i = GPOINTER_TO_SIZE (data);
  struct fixture f = { 0 };

  setup (&f, NULL);
  send_raw (&f, smuggled_requests[i].bytes, smuggled_requests[i].len);
  run_until_closed (&f);
  g_assert_true (g_str_has_prefix (f.received->str, "HTTP/1.1 400 "));
  g_assert_nonnull (strstr (f.received->str, "Connection: close\r\n"));
  g_assert_nonnull (
      strstr (f.received->str, "X-Jaycove-Error: bad_request\r\n"));
  g_assert_null (strstr (f.received->str + 9, "HTTP/1.1 "));
  g_assert_cmpint (f.requests, ==, 0);
  teardown (&f, NULL);
}

/* Guards against pipelined requests that are answered out of order or whose
   bodies change.  */
static void
test_pipelined (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  SEND (f, "POST /a?x=%41 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
           "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\nde\r\n1;x=y\r\nf\r\n0\r\n\r\n"
           "GET /c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
           "Connection: close\r\n\r\ngh");
  run_until_closed (f);
  g_assert_cmpstr (f->bodies->str, ==,
                   "[POST /a?x=%41 abc][POST /b def][GET /c gh]");
}

/* Guards against a header without a value that damages the next one.  */
static void
test_empty_value (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  SEND (f, "POST /a HTTP/1.1\r\nX-One:\r\nHost: h\r\nX-Two: \r\n"
           "Content-Length: 3\r\nX-Three:\r\nConnection: close\r\n\r\nabc");
  run_until_closed (f);
  g_assert_cmpstr (f->bodies->str, ==, "[POST /a abc]");
}

/* Guards against a request that is misread when it arrives one byte at a
   time.  */
static void
test_byte_by_byte (struct fixture *f, gconstpointer unused)
{
  static const char text[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n"
                             "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

  (void)unused;
  for (size_t i = 0; i < sizeof text - 1; i++)
    {
      send_raw (f, text + i, 1);
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  run_until_closed (f);
  g_assert_cmpstr (f->bodies->str, ==, "[POST /a abc]");
}

static const char trailer_request[]
    = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n"
      "Content-Length: 9\r\n\r\n";

/* Guards against a request that is rejected because of its trailer.  */
static void
test_trailer (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  SEND (f, trailer_request);
  run_until_closed (f);
  g_assert_cmpstr (f->bodies->str, ==, "[POST /a abc]");
  g_assert_cmpuint (f->field_count, ==, 3);
}

/* Guards against fields of a trailer that are passed on as fields of the head,
   with names and values in memory that is used again: the trailer came in
   pieces.  */
static void
test_trailer_in_pieces (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof trailer_request - 1; i++)
    {
      send_raw (f, trailer_request + i, 1);
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  run_until_closed (f);
  g_assert_cmpstr (f->bodies->str, ==, "[POST /a abc]");
  g_assert_cmpuint (f->field_count, ==, 3);
}

/* Guards against callers whose heads never become complete.  */
static void
test_slow_head (struct fixture *f, gconstpointer unused)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = SHORT_TIMEOUT_MS,
                                          .idle_timeout_ms = 60000 };

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "GET /a HTTP/1.1\r\nHost");
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 408 "));
}

/* Guards against callers whose bodies arrive in single bytes without end: each
   of them held a connection forever.  */
static void
test_slow_body (struct fixture *f, gconstpointer unused)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = 60000,
                                          .body_timeout_ms = SHORT_TIMEOUT_MS,
                                          .idle_timeout_ms = 60000 };

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 408 "));
}

/* Guards against endless blank lines before a request: each peer that sent
   them kept its connection open, and together they used all of the
   processor.  */
static void
test_blank_lines (struct fixture *f, gconstpointer unused)
{
  char *blank = g_strnfill (2000, '\n');

  (void)unused;
  for (size_t i = 0; i < 2000; i += 2)
    blank[i] = '\r';
  send_raw (f, blank, 2000);
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 400 "));
  g_free (blank);
}

/* Guards against rejecting the blank line that some callers send after a
   body.  */
static void
test_few_blank_lines (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  SEND (f, "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\n"
           "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
  g_assert_nonnull (strstr (f->received->str + 1, "HTTP/1.1 200 "));
}

/* Guards against a head that is still buffered when it is over the limit.  */
static void
test_large_head (struct fixture *f, gconstpointer unused)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 100,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = 60000,
                                          .idle_timeout_ms = 60000 };
  char *big = g_strnfill (200, 'x');

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "GET /a HTTP/1.1\r\nHost: h\r\nX: ");
  send_raw (f, big, strlen (big));
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 431 "));
  g_free (big);
}

/* Guards against idle connections that stay open.  */
static void
test_idle (struct fixture *f, gconstpointer unused)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = 60000,
                                          .idle_timeout_ms = SHORT_TIMEOUT_MS };

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_closed (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

/* Guards against closing kept connections by the idle limit before the one in
   force: callers that know the new one still use them.  */
static void
test_idle_raised (struct fixture *f, gconstpointer unused)
{
  struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                    .max_body_bytes = BODY_MAX_BYTES,
                                    .head_timeout_ms = 60000,
                                    .idle_timeout_ms = SHORT_TIMEOUT_MS };
  int64_t until;

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  while (f->received->len == 0)
    ev_run (f->loop, EVRUN_ONCE);
  limits.idle_timeout_ms = 60000;
  jc_httpd_set_limits (f->httpd, &limits);
  until = g_get_monotonic_time () + 4 * SHORT_TIMEOUT_MS * US_PER_MS;
  while (g_get_monotonic_time () < until)
    ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_false (f->closed);
  limits.idle_timeout_ms = SHORT_TIMEOUT_MS;
  jc_httpd_set_limits (f->httpd, &limits);
  SEND (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_closed (f);
  g_assert_nonnull (strstr (f->received->str + 1, "HTTP/1.1 200 "));
}

/* Guards against a missing "Connection: close" after
   jc_httpd_announce_close.  */
static void
test_closing (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  jc_httpd_announce_close (f->httpd);
  SEND (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_closed (f);
  g_assert_nonnull (strstr (f->received->str, "Connection: close\r\n"));
}

/* A raw server that sends the next of ANSWERS for each request that it
   reads.  */
struct raw_server
{
  struct ev_loop *loop;
  int fd;
  int conn_fd;
  int conn_count;
  const char *const *answers;
  bool close_after;
  ev_io accept;
  ev_io reader;
  ev_timer test_timeout;
};

static void
on_request (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct raw_server *server = watcher->data;
  char data[4096];
  ssize_t len = recv (watcher->fd, data, sizeof data, 0);

  (void)events;
  if (len <= 0)
    {
      ev_io_stop (loop, watcher);
      close (watcher->fd);
      return;
    }
  if (*server->answers == NULL)
    return;
  send (watcher->fd, *server->answers, strlen (*server->answers), MSG_NOSIGNAL);
  server->answers++;
  if (!server->close_after)
    return;
  ev_io_stop (loop, watcher);
  close (watcher->fd);
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct raw_server *server = watcher->data;

  (void)events;
  ev_io_stop (loop, &server->reader);
  server->conn_fd = accept (watcher->fd, NULL, NULL);
  server->conn_count++;
  ev_io_init (&server->reader, on_request, server->conn_fd, EV_READ);
  server->reader.data = server;
  ev_io_start (loop, &server->reader);
}

static int
server_start (struct raw_server *server, const char *const *answers)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  memset (server, 0, sizeof *server);
  server->loop = ev_loop_new (0);
  server->answers = answers;
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (server->fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (server->fd, 8), ==, 0);
  getsockname (server->fd, (struct sockaddr *)&addr, &len);
  ev_init (&server->reader, on_request);
  ev_io_init (&server->accept, on_connection, server->fd, EV_READ);
  server->accept.data = server;
  ev_io_start (server->loop, &server->accept);
  ev_timer_init (&server->test_timeout, on_test_timeout, TEST_TIMEOUT_S, 0);
  ev_timer_start (server->loop, &server->test_timeout);
  return ntohs (addr.sin_port);
}

static void
server_stop (struct raw_server *server)
{
  ev_io_stop (server->loop, &server->reader);
  ev_io_stop (server->loop, &server->accept);
  ev_timer_stop (server->loop, &server->test_timeout);
  close (server->fd);
  ev_loop_destroy (server->loop);
}

/* The outcome of a call.  */
struct call_outcome
{
  GString *body;
  struct jc_httpc_call_result result;
  bool done;
};

static void
on_call_data (void *ctx, struct jc_str data)
{
  g_string_append_len (((struct call_outcome *)ctx)->body, data.data,
                       (gssize)data.len);
}

static void
on_call_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct call_outcome *outcome = ctx;

  outcome->result = *result;
  outcome->done = true;
}

/* Send a request with the echo value ID to the server at PORT and run its loop
   until OUTCOME is complete.  */
static void
run_call (struct raw_server *server, struct jc_httpc *httpc, int port,
          const char *id, struct call_outcome *outcome)
{
  static const struct jc_httpc_call_ops ops
      = { .data = on_call_data, .done = on_call_done };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", port);
  const struct jc_httpc_call_spec spec = { .method = "GET",
                                           .url = url,
                                           .no_resend = true,
                                           .echo_name = "X-Id",
                                           .echo_value = id };

  g_string_truncate (outcome->body, 0);
  outcome->done = false;
  jc_httpc_call_start (httpc, &spec, &ops, outcome);
  while (!outcome->done)
    ev_run (server->loop, EVRUN_ONCE);
  g_free (url);
}

/* Guards against a late answer to an earlier request that is taken for the
   answer to the current one.  */
static void
test_late_answer (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na",
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nlate"
          "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nb",
          NULL };
  struct raw_server server;
  struct call_outcome outcome = { .body = g_string_new (NULL) };
  int port = server_start (&server, answers);
  struct jc_httpc *httpc = jc_httpc_new (server.loop);

  run_call (&server, httpc, port, "1", &outcome);
  g_assert_cmpstr (outcome.body->str, ==, "a");
  run_call (&server, httpc, port, "2", &outcome);
  g_assert_cmpstr (outcome.body->str, ==, "b");
  g_assert_true (outcome.result.reused);
  jc_httpc_free (httpc);
  server_stop (&server);
  g_string_free (outcome.body, TRUE);
}

/* Guards against reuse of a connection on which bytes followed a complete
   answer.  */
static void
test_extra_bytes (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\naEXTRA",
          "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nb", NULL };
  struct raw_server server;
  struct call_outcome outcome = { .body = g_string_new (NULL) };
  int port = server_start (&server, answers);
  struct jc_httpc *httpc = jc_httpc_new (server.loop);

  run_call (&server, httpc, port, "1", &outcome);
  g_assert_cmpstr (outcome.body->str, ==, "a");
  run_call (&server, httpc, port, "2", &outcome);
  g_assert_cmpstr (outcome.body->str, ==, "b");
  g_assert_false (outcome.result.reused);
  g_assert_cmpint (server.conn_count, ==, 2);
  jc_httpc_free (httpc);
  server_stop (&server);
  g_string_free (outcome.body, TRUE);
}

/* Guards against misjudged ends of answers: one without a length is complete
   when its connection is closed, one shorter than its length is not.  */
static void
test_unframed_and_short (void)
{
  static const char *const unframed[]
      = { "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", NULL };
  static const char *const short_answer[]
      = { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc", NULL };
  struct raw_server server;
  struct call_outcome outcome = { .body = g_string_new (NULL) };
  int port = server_start (&server, unframed);
  struct jc_httpc *httpc = jc_httpc_new (server.loop);

  server.close_after = true;
  run_call (&server, httpc, port, "1", &outcome);
  g_assert_cmpint (outcome.result.status, ==, JC_OK);
  g_assert_false (outcome.result.framed);
  server.answers = short_answer;
  run_call (&server, httpc, port, "1", &outcome);
  g_assert_cmpint (outcome.result.status, !=, JC_OK);
  g_assert_true (outcome.result.sent);
  jc_httpc_free (httpc);
  server_stop (&server);
  g_string_free (outcome.body, TRUE);
}

/* Guards against malformed answers that do not fail their call.  */
static void
test_garbage (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n"
          "Content-Length: 2\r\n\r\nab",
          "nonsense\r\n\r\n", "HTTP/1.1 200 OK\nX-Id: 1\r\n\r\n", NULL };
  struct raw_server server;
  struct call_outcome outcome = { .body = g_string_new (NULL) };
  int port = server_start (&server, answers);
  struct jc_httpc *httpc = jc_httpc_new (server.loop);

  for (int i = 0; i < 3; i++)
    {
      run_call (&server, httpc, port, "1", &outcome);
      g_assert_cmpint (outcome.result.status, ==, JC_ENDPOINT_FAILED);
    }
  jc_httpc_free (httpc);
  server_stop (&server);
  g_string_free (outcome.body, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (smuggled_requests); i++)
    {
      char *path = g_strconcat ("/smuggled/", smuggled_requests[i].name, NULL);

      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_smuggled);
      g_free (path);
    }
#define CASE(path, fn)                                                         \
  g_test_add (path, struct fixture, NULL, setup, fn, teardown)
  CASE ("/pipelined", test_pipelined);
  CASE ("/byte-by-byte", test_byte_by_byte);
  CASE ("/trailer", test_trailer);
  CASE ("/trailer-in-pieces", test_trailer_in_pieces);
  CASE ("/empty-value", test_empty_value);
  CASE ("/slow-head", test_slow_head);
  CASE ("/slow-body", test_slow_body);
  CASE ("/blank-lines", test_blank_lines);
  CASE ("/few-blank-lines", test_few_blank_lines);
  CASE ("/large-head", test_large_head);
  CASE ("/idle", test_idle);
  CASE ("/idle-raised", test_idle_raised);
  CASE ("/closing", test_closing);
  g_test_add_func ("/late-answer", test_late_answer);
  g_test_add_func ("/extra-bytes", test_extra_bytes);
  g_test_add_func ("/unframed-and-short", test_unframed_and_short);
  g_test_add_func ("/garbage", test_garbage);
  return g_test_run ();
}
