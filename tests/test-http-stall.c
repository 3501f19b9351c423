/* Tests of the HTTP client and server after their process stood still.  They
   guard against time-outs that are judged before what arrived in time is read:
   whole requests closed or refused unread, answers and connections thrown away
   as late.  */

#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  BODY_MAX_BYTES = 1000,
  TIMEOUT_MS = 300,
  /* Part of the time-out after which the peer sends.  */
  IN_TIME_MS = 100,
  STALL_MS = 400,
  LONG_MS = 60000,
  /* More connections than libev takes events of in one iteration at first.  */
  MANY = 300,
  FEW = 20,
  WAIT_S = 20,
  US_PER_MS = 1000
};

/* A listener, a caller with what it received, a client, a peer for it, and how
   its call ended.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
  int fd;
  GString *received;
  struct jc_httpc *httpc;
  int listener;
  int port;
  struct jc_httpc_call_result result;
};

/* Stand still for longer than the time-outs.  */
static void
stall (void)
{
  g_usleep (STALL_MS * US_PER_MS);
}

/* Answer REQ; the work on "/slow" keeps the loop busy.  */
static void
on_body (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  if (strcmp (jc_http_path (req), "/slow") == 0)
    stall ();
  jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
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

static int
listen_on_loopback (int *port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (fd, MANY), ==, 0);
  getsockname (fd, (struct sockaddr *)&addr, &len);
  *port = ntohs (addr.sin_port);
  return fd;
}

static void
setup (struct fixture *f, gconstpointer unused)
{
  static const struct jc_httpd_class klass = { .body = on_body };

  (void)unused;
  f->loop = ev_loop_new (0);
  f->httpd = jc_httpd_new (f->loop, "127.0.0.1:0", &klass, f, BODY_MAX_BYTES);
  f->received = g_string_new (NULL);
  f->httpc = jc_httpc_new (f->loop);
  f->listener = listen_on_loopback (&f->port);
  f->fd = -1;
}

static void
teardown (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  if (f->fd >= 0)
    close (f->fd);
  close (f->listener);
  jc_httpd_free (f->httpd);
  jc_httpc_free (f->httpc);
  ev_loop_destroy (f->loop);
  g_string_free (f->received, TRUE);
}

static void
send_text (struct fixture *f, const char *text)
{
  g_assert_cmpint (send (f->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   strlen (text));
}

/* Run the loop for MS, ms.  */
static void
run_for (struct fixture *f, int ms)
{
  int64_t end = g_get_monotonic_time () + (int64_t)ms * US_PER_MS;

  while (g_get_monotonic_time () < end)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      g_usleep (US_PER_MS);
    }
}

/* Run the loop until the caller has an answer or its connection ended.  */
static void
run_until_answered (struct fixture *f)
{
  char data[4096];
  ssize_t len = -1;
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;

  while (len < 0 && g_get_monotonic_time () < end)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      len = recv (f->fd, data, sizeof data, MSG_DONTWAIT);
    }
  if (len > 0)
    g_string_append_len (f->received, data, len);
}

static void
set_limits (struct fixture *f, long head_ms, long body_ms, long idle_ms)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = head_ms,
                                          .body_timeout_ms = body_ms,
                                          .idle_timeout_ms = idle_ms };

  jc_httpd_set_limits (f->httpd, &limits);
  f->fd = connect_to (jc_httpd_port (f->httpd));
}

/* Guards against closing an idle connection on which a whole request waits.  */
static void
test_idle (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  set_limits (f, LONG_MS, LONG_MS, TIMEOUT_MS);
  run_for (f, IN_TIME_MS);
  send_text (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  stall ();
  run_until_answered (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

/* Guards against closing idle connections on which whole requests wait when
   there are more of them than the loop takes in one iteration.  */
static void
test_idle_many (struct fixture *f, gconstpointer unused)
{
  static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  int fds[MANY];
  char data[4096];
  unsigned int answered = 0;

  (void)unused;
  set_limits (f, LONG_MS, LONG_MS, TIMEOUT_MS);
  for (int i = 0; i < MANY; i++)
    fds[i] = connect_to (jc_httpd_port (f->httpd));
  run_for (f, IN_TIME_MS);
  for (int i = 0; i < MANY; i++)
    g_assert_cmpint (send (fds[i], request, strlen (request), MSG_NOSIGNAL), >,
                     0);
  stall ();
  run_for (f, IN_TIME_MS);
  for (int i = 0; i < MANY; i++)
    {
      answered += recv (fds[i], data, sizeof data, MSG_DONTWAIT) > 0 ? 1 : 0;
      close (fds[i]);
    }
  g_assert_cmpuint (answered, ==, MANY);
}

/* What a signal handler sends, and where to.  */
static int signal_fd;
static const char *signal_text;

/* Send what came in time, and stand still, inside the wait of the loop for
   events.  */
static void
on_alarm (int number)
{
  (void)number;
  (void)!write (signal_fd, signal_text, strlen (signal_text));
  stall ();
}

/* Send TEXT on the connection of F after IN_TIME_MS, and stand still, both
   while the loop waits for events: the wait then ends without any, as it does
   for a process that was stopped.  */
static void
send_in_wait (struct fixture *f, const char *text)
{
  const struct sigaction action = { .sa_handler = on_alarm };
  const struct itimerval after
      = { .it_value = { .tv_usec = IN_TIME_MS * US_PER_MS } };

  signal_fd = f->fd;
  signal_text = text;
  sigaction (SIGALRM, &action, NULL);
  setitimer (ITIMER_REAL, &after, NULL);
  ev_run (f->loop, EVRUN_ONCE);
}

/* Guards against closing an idle connection on which a whole request waits
   when a process goes on that was stopped while it waited for events.  */
static void
test_idle_stopped (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  set_limits (f, LONG_MS, LONG_MS, TIMEOUT_MS);
  run_for (f, 1);
  send_in_wait (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_answered (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

/* Guards against refusing a head as too slow whose end waits to be read.  */
static void
test_head (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  set_limits (f, TIMEOUT_MS, LONG_MS, LONG_MS);
  send_text (f, "GET /a HTTP/1.1\r\nHost");
  run_for (f, IN_TIME_MS);
  send_text (f, ": h\r\n\r\n");
  stall ();
  run_until_answered (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

/* Guards against refusing a body as too slow whose end waits to be read.  */
static void
test_body (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  set_limits (f, LONG_MS, TIMEOUT_MS, LONG_MS);
  send_text (f, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  run_for (f, IN_TIME_MS);
  send_text (f, "cd");
  stall ();
  run_until_answered (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

/* Guards against counting the work on a request as idle time: its connection
   was closed as soon as the answer was written.  */
static void
test_idle_after_work (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  set_limits (f, LONG_MS, LONG_MS, TIMEOUT_MS);
  send_text (f, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_answered (f);
  g_string_truncate (f->received, 0);
  run_for (f, IN_TIME_MS);
  send_text (f, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_answered (f);
  g_assert_true (g_str_has_prefix (f->received->str, "HTTP/1.1 200 "));
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  ((struct fixture *)ctx)->result = *result;
}

/* Start a call with the time-outs CONNECT_MS, FIRST_MS and TOTAL_MS, 0 for
   none.  */
static void
call_start (struct fixture *f, long connect_ms, long first_ms, long total_ms)
{
  static const struct jc_httpc_call_ops ops = { .done = on_done };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", f->port);
  const struct jc_httpc_call_spec spec = { .method = "GET",
                                           .url = url,
                                           .connect_timeout_ms = connect_ms,
                                           .first_progress_ms = first_ms,
                                           .total_timeout_ms = total_ms };

  f->result.status = JC_STATUS_COUNT;
  jc_httpc_call_start (f->httpc, &spec, &ops, f);
  g_free (url);
}

static void
call_finish (struct fixture *f)
{
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;

  while (f->result.status == JC_STATUS_COUNT && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_NOWAIT);
}

/* Answer the call of F in time, and stand still.  */
static void
answer_then_stall (struct fixture *f)
{
  run_for (f, IN_TIME_MS);
  f->fd = accept (f->listener, NULL, NULL);
  send_text (f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  stall ();
  call_finish (f);
}

/* Guards against throwing an answer away that came before the time was
   over.  */
static void
test_answer (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  call_start (f, 0, 0, TIMEOUT_MS);
  answer_then_stall (f);
  g_assert_cmpint (f->result.status, ==, JC_OK);
}

/* Guards against throwing an answer away that came in time when a process goes
   on that was stopped while it waited for events.  */
static void
test_answer_stopped (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  call_start (f, 0, 0, TIMEOUT_MS);
  run_for (f, 1);
  f->fd = accept (f->listener, NULL, NULL);
  send_in_wait (f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  call_finish (f);
  g_assert_cmpint (f->result.status, ==, JC_OK);
}

static void
on_done_many (void *ctx, const struct jc_httpc_call_result *result)
{
  *(unsigned int *)ctx += result->status == JC_OK ? 1 : 0;
}

/* Guards against throwing answers away that came in time when there are more of
   them than the loop takes in one iteration.  */
static void
test_answer_many (struct fixture *f, gconstpointer unused)
{
  static const struct jc_httpc_call_ops ops = { .done = on_done_many };
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", f->port);
  const struct jc_httpc_call_spec spec
      = { .method = "GET", .url = url, .total_timeout_ms = TIMEOUT_MS };
  unsigned int answered = 0;
  int fds[MANY];

  (void)unused;
  for (int i = 0; i < MANY; i++)
    {
      jc_httpc_call_start (f->httpc, &spec, &ops, &answered);
      /* Few at a time, so that the loop does not take more events at once.  */
      if (i % FEW == 0)
        run_for (f, 1);
    }
  run_for (f, 1);
  for (int i = 0; i < MANY; i++)
    {
      fds[i] = accept (f->listener, NULL, NULL);
      g_assert_cmpint (send (fds[i], answer, strlen (answer), MSG_NOSIGNAL), >,
                       0);
    }
  stall ();
  run_for (f, IN_TIME_MS);
  for (int i = 0; i < MANY; i++)
    close (fds[i]);
  g_free (url);
  g_assert_cmpuint (answered, ==, MANY);
}

/* Guards against giving an endpoint up as silent whose answer waits to be
   read.  */
static void
test_first_progress (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  call_start (f, 0, TIMEOUT_MS, LONG_MS);
  answer_then_stall (f);
  g_assert_cmpint (f->result.status, ==, JC_OK);
}

/* Guards against taking a host for unreachable whose connection came up while
   this process stood still.  */
static void
test_connect (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  call_start (f, TIMEOUT_MS, 0, LONG_MS);
  stall ();
  ev_run (f->loop, EVRUN_NOWAIT);
  ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_cmpint (f->result.status, ==, JC_STATUS_COUNT);
}

/* Guards against counting the time before a call against it: a call that
   started after much work in one iteration of the loop had no time left.  */
static void
test_call_after_work (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  run_for (f, 1);
  stall ();
  call_start (f, 0, 0, TIMEOUT_MS);
  run_for (f, IN_TIME_MS);
  f->fd = accept (f->listener, NULL, NULL);
  send_text (f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  call_finish (f);
  g_assert_cmpint (f->result.status, ==, JC_OK);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define CASE(path, fn)                                                         \
  g_test_add (path, struct fixture, NULL, setup, fn, teardown)
  CASE ("/server-idle", test_idle);
  CASE ("/server-idle-many", test_idle_many);
  CASE ("/server-idle-stopped", test_idle_stopped);
  CASE ("/server-head", test_head);
  CASE ("/server-body", test_body);
  CASE ("/server-idle-after-work", test_idle_after_work);
  CASE ("/client-answer", test_answer);
  CASE ("/client-answer-stopped", test_answer_stopped);
  CASE ("/client-answer-many", test_answer_many);
  CASE ("/client-first-progress", test_first_progress);
  CASE ("/client-connect", test_connect);
  CASE ("/client-call-after-work", test_call_after_work);
  return g_test_run ();
}
