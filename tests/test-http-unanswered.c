/* Tests of the log lines about requests that were read whole and get no whole
   answer, and of answers that callers can't read.  They guard against losses
   that leave no trace: a connection closed under a request without a line that
   names the reason.  */

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event.h"
#include "net/httpd.h"

enum
{
  BODY_MAX_BYTES = 1000,
  /* More than both socket buffers hold.  */
  LARGE_BYTES = 32 * 1024 * 1024,
  BLOCK_BYTES = 16 * 1024,
  BLOCK_PAUSE_MS = 100,
  BLOCKS = 18,
  US_PER_MS = 1000,
  /* More than a receive buffer of RECEIVE_BYTES holds, less than a send buffer
     grows to.  */
  MEDIUM_BYTES = 1024 * 1024,
  RECEIVE_BYTES = 16 * 1024,
  CROSSING_MS = 300,
  /* Connections that a listener keeps for their callers to close, and how long
     it does at most.  */
  LINGERING_MAX = 256,
  LINGERING_S = 2,
  LOG_BYTES_MAX = 65536,
  WAIT_S = 20
};

/* A listener whose owner answers only "/now" and, with many
   bytes, "/medium" and "/large", and begins an answer to "/stream", a caller,
   and the log in place of standard output.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
  struct jc_http_req *req;
  int fd;
  int saved;
  int reader;
  int left;
};

static void
on_body (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;

  if (strcmp (jc_http_path (req), "/now") == 0)
    {
      jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
      return;
    }
  if (strcmp (jc_http_path (req), "/large") == 0
      || strcmp (jc_http_path (req), "/medium") == 0)
    {
      bool large = strcmp (jc_http_path (req), "/large") == 0;
      char *text = g_strnfill (large ? LARGE_BYTES : MEDIUM_BYTES, 'x');

      jc_http_reply (req, 200, "text/plain", jc_str_from_cstr (text), NULL);
      g_free (text);
      return;
    }
  if (strcmp (jc_http_path (req), "/stream") == 0)
    jc_http_stream_begin (req, 200, "text/plain", NULL);
  f->req = req;
}

static void
on_peer_closed (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;

  (void)req;
  f->req = NULL;
  f->left++;
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
  int ends[2];

  (void)unused;
  f->loop = ev_loop_new (0);
  f->httpd = jc_httpd_new (f->loop, "127.0.0.1:0", &klass, f, BODY_MAX_BYTES);
  jc_httpd_set_id_header (f->httpd, "X-Id");
  f->fd = connect_to (jc_httpd_port (f->httpd));
  fflush (stdout);
  g_assert_cmpint (pipe (ends), ==, 0);
  f->saved = dup (STDOUT_FILENO);
  f->reader = ends[0];
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  fcntl (f->reader, F_SETFL, O_NONBLOCK);
  jc_event_set_enabled (true);
}

/* Restore standard output and return the log.  */
static char *
log_take (struct fixture *f)
{
  char *text = g_malloc0 (LOG_BYTES_MAX);

  jc_event_flush (true);
  jc_event_set_enabled (false);
  (void)!read (f->reader, text, LOG_BYTES_MAX - 1);
  dup2 (f->saved, STDOUT_FILENO);
  close (f->saved);
  close (f->reader);
  return text;
}

static void
teardown (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  if (f->fd >= 0)
    close (f->fd);
  jc_httpd_free (f->httpd);
  ev_loop_destroy (f->loop);
}

static void
send_text (struct fixture *f, const char *text)
{
  g_assert_cmpint (send (f->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   strlen (text));
}

static void
run_until_owned (struct fixture *f)
{
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;

  while (f->req == NULL && g_get_monotonic_time () < end)
    ev_run (f->loop, EVRUN_NOWAIT);
  g_assert_nonnull (f->req);
}

static void
run_until_closed (struct fixture *f)
{
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;
  unsigned int open = 1;

  while (open > 0 && g_get_monotonic_time () < end)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      open = jc_httpd_count_connections (f->httpd);
    }
  g_assert_cmpuint (open, ==, 0);
}

/* Guards against a caller that leaves before its answer without a line.  */
static void
test_caller_left (struct fixture *f, gconstpointer unused)
{
  char *text;

  (void)unused;
  send_text (f, "GET /never HTTP/1.1\r\nHost: h\r\nX-Id: a7\r\n\r\n");
  run_until_owned (f);
  close (f->fd);
  f->fd = -1;
  run_until_closed (f);
  text = log_take (f);
  g_assert_nonnull (strstr (text, " event=unanswered id=a7 method=GET "
                                  "path=/never phase=owned "
                                  "why=peer_closed"));
  g_assert_cmpint (f->left, ==, 1);
  g_free (text);
}

/* Guards against a listener that ends under a request without a line.  */
static void
test_stopped (struct fixture *f, gconstpointer unused)
{
  char *text;

  (void)unused;
  send_text (f, "GET /stream HTTP/1.1\r\nHost: h\r\nX-Id: a8\r\n\r\n");
  run_until_owned (f);
  jc_httpd_free (f->httpd);
  f->httpd = NULL;
  text = log_take (f);
  g_assert_nonnull (strstr (text, "id=a8 method=GET path=/stream "
                                  "phase=streaming why=stopped"));
  g_free (text);
}

/* Guards against a stream that is cut without a line that names the reason.  */
static void
test_cut (struct fixture *f, gconstpointer unused)
{
  char *text;

  (void)unused;
  send_text (f, "GET /stream HTTP/1.1\r\nHost: h\r\nX-Id: a9\r\n\r\n");
  run_until_owned (f);
  jc_fail (JC_NO_ENDPOINT, "No endpoint can take it.");
  jc_http_stream_end (f->req, false);
  text = log_take (f);
  g_assert_nonnull (strstr (text, "id=a9 method=GET path=/stream "
                                  "phase=streaming why=cut"));
  g_assert_nonnull (strstr (text, "message=\"No endpoint can take it.\""));
  g_free (text);
}

/* Guards against whole requests behind a last answer that are dropped without
   a line.  */
static void
test_pipelined (struct fixture *f, gconstpointer unused)
{
  char *text;

  (void)unused;
  send_text (f, "GET /now HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                "GET /now HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_closed (f);
  text = log_take (f);
  g_assert_nonnull (strstr (text, "event=unanswered id=- method=- path=- "
                                  "phase=waiting why=answered"));
  g_free (text);
}

/* Run the listener for MS milliseconds.  */
static void
run_for (struct fixture *f, int ms)
{
  int64_t until = g_get_monotonic_time () + ms * US_PER_MS;

  while (g_get_monotonic_time () < until)
    ev_run (f->loop, EVRUN_NOWAIT);
}

/* Read what the listener of F sends to its caller until the end of the
   connection, and return it.  ERROR is set to 0 or to an errno.  */
static GString *
read_to_end (struct fixture *f, int *error)
{
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;
  GString *text = g_string_new (NULL);
  char *block = g_malloc (BLOCK_BYTES);
  ssize_t got = 1;

  *error = 0;
  while (got != 0 && *error == 0 && g_get_monotonic_time () < end)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      got = recv (f->fd, block, BLOCK_BYTES, MSG_DONTWAIT);
      if (got > 0)
        g_string_append_len (text, block, got);
      else if (got < 0 && errno != EAGAIN)
        *error = errno;
    }
  g_free (block);
  return text;
}

static unsigned int
count_text (const GString *text, const char *part)
{
  unsigned int count = 0;

  for (const char *at = strstr (text->str, part); at != NULL;
       at = strstr (at + 1, part))
    count++;
  return count;
}

/* Guards against whole requests that are read before a drain announces the end
   of their connection, and dropped behind the answer that announces it.  */
static void
test_pipelined_drain (struct fixture *f, gconstpointer unused)
{
  GString *text;
  int error;

  (void)unused;
  send_text (f, "GET /never HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /now HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /now HTTP/1.1\r\nHost: h\r\n\r\n");
  run_until_owned (f);
  jc_httpd_announce_close (f->httpd);
  jc_http_reply (f->req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
  text = read_to_end (f, &error);
  g_free (log_take (f));
  g_assert_cmpint (error, ==, 0);
  g_assert_cmpuint (count_text (text, "HTTP/1.1 200 "), ==, 3);
  g_assert_cmpuint (count_text (text, "Connection: close"), ==, 1);
  g_string_free (text, TRUE);
}

/* Guards against a reset that takes the rest of a last answer from a caller
   which had sent another request before it read that the connection ends.  */
static void
test_crossing (struct fixture *f, gconstpointer unused)
{
  int receive = RECEIVE_BYTES;
  GString *text;
  int error;

  (void)unused;
  setsockopt (f->fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
  send_text (f, "GET /medium HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "\r\n");
  run_for (f, CROSSING_MS);
  g_assert_cmpuint (jc_httpd_count_requests (f->httpd), ==, 0);
  send_text (f, "GET /now HTTP/1.1\r\nHost: h\r\n\r\n");
  text = read_to_end (f, &error);
  g_free (log_take (f));
  g_assert_cmpint (error, ==, 0);
  g_assert_cmpuint (count_text (text, "HTTP/1.1 200 "), ==, 1);
  g_assert_cmpuint (text->len, >, MEDIUM_BYTES);
  g_string_free (text, TRUE);
}

/* Guards against callers that never close after their last answer, or go on
   sending, and so keep connections: these are bounded in number and time.  */
static void
test_lingering (struct fixture *f, gconstpointer unused)
{
  int fds[LINGERING_MAX + 1];
  int64_t end;
  unsigned int most = 0;

  (void)unused;
  for (int i = 0; i < LINGERING_MAX + 1; i++)
    {
      static const char request[]
          = "GET /now HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

      fds[i] = connect_to (jc_httpd_port (f->httpd));
      g_assert_cmpint (send (fds[i], request, strlen (request), 0), >, 0);
    }
  close (f->fd);
  f->fd = -1;
  run_for (f, CROSSING_MS);
  most = jc_httpd_count_connections (f->httpd);
  end = g_get_monotonic_time () + (LINGERING_S + 2) * G_USEC_PER_SEC;
  while (jc_httpd_count_connections (f->httpd) > 0
         && g_get_monotonic_time () < end)
    {
      (void)!send (fds[0], "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      run_for (f, BLOCK_PAUSE_MS);
    }
  g_free (log_take (f));
  for (int i = 0; i < LINGERING_MAX + 1; i++)
    close (fds[i]);
  g_assert_cmpuint (most, <=, LINGERING_MAX);
  g_assert_cmpuint (jc_httpd_count_connections (f->httpd), ==, 0);
}

/* Guards against lines about requests that were answered, or not read
   whole.  */
static void
test_no_loss (struct fixture *f, gconstpointer unused)
{
  char *text;

  (void)unused;
  send_text (f, "GET /now HTTP/1.1\r\nHost: h\r\n\r\n"
                "POST /never HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
                "ab");
  for (int i = 0; i < 100; i++)
    ev_run (f->loop, EVRUN_NOWAIT);
  close (f->fd);
  f->fd = -1;
  run_until_closed (f);
  text = log_take (f);
  g_assert_null (strstr (text, "unanswered"));
  g_assert_cmpint (f->left, ==, 0);
  g_free (text);
}

/* Guards against a drain that ends while an answer is not written yet: the
   caller got a part of it.  */
static void
test_unsent (struct fixture *f, gconstpointer unused)
{
  char *block = g_malloc (LARGE_BYTES);
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;
  unsigned int before;

  (void)unused;
  send_text (f, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  for (int i = 0; i < 100; i++)
    ev_run (f->loop, EVRUN_NOWAIT);
  before = jc_httpd_count_requests (f->httpd);
  while (jc_httpd_count_requests (f->httpd) > 0
         && g_get_monotonic_time () < end)
    {
      (void)!recv (f->fd, block, LARGE_BYTES, MSG_DONTWAIT);
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  g_free (log_take (f));
  g_free (block);
  g_assert_cmpuint (before, ==, 1);
  g_assert_cmpuint (jc_httpd_count_requests (f->httpd), ==, 0);
}

/* Guards against a reset of a caller that still sends the body of a refused
   request: it may take the refusal from it.  */
static void
test_refused_body (struct fixture *f, gconstpointer unused)
{
  char *block = g_strnfill (BLOCK_BYTES, 'x');
  char data[4096] = "";
  int sent = 0;

  (void)unused;
  send_text (f, "POST /now HTTP/1.1\r\nHost: h\r\nContent-Length: 294912\r\n"
                "\r\n");
  for (int i = 0; i < BLOCKS; i++)
    {
      int64_t until = g_get_monotonic_time () + BLOCK_PAUSE_MS * US_PER_MS;

      sent += send (f->fd, block, BLOCK_BYTES, MSG_NOSIGNAL) == BLOCK_BYTES;
      while (g_get_monotonic_time () < until)
        ev_run (f->loop, EVRUN_NOWAIT);
    }
  (void)!recv (f->fd, data, sizeof data - 1, MSG_DONTWAIT);
  g_free (log_take (f));
  g_free (block);
  g_assert_cmpint (sent, ==, BLOCKS);
  g_assert_true (g_str_has_prefix (data, "HTTP/1.1 413 "));
}

/* Guards against a caller that sends the body of a refused request without end
   and keeps its connection for it.  */
static void
test_refused_endless (struct fixture *f, gconstpointer unused)
{
  const struct jc_httpd_limits limits = { .max_head_bytes = 1000,
                                          .max_body_bytes = BODY_MAX_BYTES,
                                          .head_timeout_ms = 60000,
                                          .body_timeout_ms = BLOCK_PAUSE_MS,
                                          .idle_timeout_ms = 60000 };
  char *block = g_strnfill (BLOCK_BYTES, 'x');
  int64_t end = g_get_monotonic_time () + WAIT_S * G_USEC_PER_SEC;

  (void)unused;
  jc_httpd_set_limits (f->httpd, &limits);
  send_text (f, "POST /now HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 99999999999\r\n\r\n");
  do
    {
      (void)!send (f->fd, block, BLOCK_BYTES, MSG_NOSIGNAL | MSG_DONTWAIT);
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  while (jc_httpd_count_connections (f->httpd) > 0
         && g_get_monotonic_time () < end);
  g_free (log_take (f));
  g_free (block);
  g_assert_cmpuint (jc_httpd_count_connections (f->httpd), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define CASE(path, fn)                                                         \
  g_test_add (path, struct fixture, NULL, setup, fn, teardown)
  CASE ("/caller-left", test_caller_left);
  CASE ("/stopped", test_stopped);
  CASE ("/cut", test_cut);
  CASE ("/pipelined", test_pipelined);
  CASE ("/pipelined-drain", test_pipelined_drain);
  CASE ("/crossing", test_crossing);
  CASE ("/lingering", test_lingering);
  CASE ("/no-loss", test_no_loss);
  CASE ("/unsent", test_unsent);
  CASE ("/refused-body", test_refused_body);
  CASE ("/refused-endless", test_refused_endless);
  return g_test_run ();
}
