/* Tests of the HTTP client with answers that end too early: the server closes
   or resets the connection after any byte of the head, of the body or of its
   framing.  They guard against an answer that was cut and that callers get as a
   complete one, with a body that is empty or short.  */

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpc.h"

enum
{
  TEST_TIMEOUT_S = 60
};

#define HEAD                                                                   \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Jaycove-Server-Stamp: s\r\n"                \
  "Content-Type: text/event-stream\r\n"
#define EVENTS "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
#define WHOLE "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"

/* How an answer is framed; that of an answer without a length ends with its
   connection.  */
struct answer
{
  const char *name;
  const char *text;
  const char *body;
  bool framed;
};

static const struct answer cut_answers[] = {
  { "length", HEAD "Content-Length: 30\r\n\r\n" EVENTS, EVENTS, true },
  { "empty", HEAD "Content-Length: 0\r\n\r\n", "", true },
  { "chunks",
    HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: a\n\n\r\n"
         "f;x=y\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n",
    EVENTS, true },
  { "trailer",
    HEAD "Transfer-Encoding: chunked\r\n\r\n1e\r\n" EVENTS
         "\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n",
    EVENTS, true },
  { "interim", INTERIM HEAD "Content-Length: 30\r\n\r\n" EVENTS, EVENTS, true },
  { "close", HEAD "\r\n" EVENTS, EVENTS, false },
};

/* A server that answers the first request on a connection with BEFORE, unless
   that is NULL, and the next with the first LEN bytes of TEXT, sent in two
   pieces if SPLIT is below LEN.  Then it closes the connection or, with RESETS,
   resets it.  */
struct server
{
  struct ev_loop *loop;
  const char *before;
  const char *text;
  size_t len;
  size_t split;
  bool resets;
  int fd;
  int conn_fd;
  int port;
  int request_count;
  ev_io accept;
  ev_io reader;
  ev_timer rest;
  ev_timer test_timeout;
};

/* The outcome of a call.  */
struct outcome
{
  struct jc_httpc_call_result result;
  GString *body;
  bool done;
};

static void
on_test_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("test timed out");
}

/* Send the rest of the answer and end the connection.  */
static void
on_rest (struct ev_loop *loop, ev_timer *watcher, int events)
{
  static const struct linger reset = { .l_onoff = 1 };
  struct server *server = watcher->data;

  (void)events;
  send (server->conn_fd, server->text + server->split,
        server->len - server->split, MSG_NOSIGNAL);
  ev_io_stop (loop, &server->reader);
  if (server->resets)
    setsockopt (server->conn_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (server->conn_fd);
}

static void
on_request (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct server *server = watcher->data;
  char data[4096];
  ssize_t len = recv (watcher->fd, data, sizeof data, 0);

  (void)events;
  if (len <= 0)
    {
      ev_io_stop (loop, watcher);
      close (watcher->fd);
      return;
    }
  if (server->request_count++ == 0 && server->before != NULL)
    {
      send (watcher->fd, server->before, strlen (server->before), MSG_NOSIGNAL);
      return;
    }
  send (watcher->fd, server->text, server->split, MSG_NOSIGNAL);
  ev_timer_set (&server->rest, 0, 0);
  ev_timer_start (loop, &server->rest);
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct server *server = watcher->data;

  (void)events;
  server->conn_fd = accept (watcher->fd, NULL, NULL);
  ev_io_init (&server->reader, on_request, server->conn_fd, EV_READ);
  server->reader.data = server;
  ev_io_start (loop, &server->reader);
}

static void
server_start (struct server *server, struct ev_loop *loop)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (server->fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (listen (server->fd, 8), ==, 0);
  getsockname (server->fd, (struct sockaddr *)&addr, &len);
  server->port = ntohs (addr.sin_port);
  ev_init (&server->reader, on_request);
  ev_init (&server->rest, on_rest);
  server->rest.data = server;
  ev_io_init (&server->accept, on_connection, server->fd, EV_READ);
  server->accept.data = server;
  ev_io_start (server->loop, &server->accept);
  ev_timer_init (&server->test_timeout, on_test_timeout, TEST_TIMEOUT_S, 0);
  ev_timer_start (server->loop, &server->test_timeout);
}

static void
server_stop (struct server *server)
{
  ev_io_stop (server->loop, &server->reader);
  ev_io_stop (server->loop, &server->accept);
  ev_timer_stop (server->loop, &server->rest);
  ev_timer_stop (server->loop, &server->test_timeout);
  close (server->fd);
}

static void
on_data (void *ctx, struct jc_str data)
{
  g_string_append_len (((struct outcome *)ctx)->body, data.data,
                       (gssize)data.len);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct outcome *outcome = ctx;

  outcome->result = *result;
  outcome->done = true;
}

/* Make a call to SERVER and run the loop until OUTCOME is complete.  */
static void
run_call (struct server *server, struct jc_httpc *httpc,
          struct outcome *outcome)
{
  static const struct jc_httpc_call_ops ops
      = { .data = on_data, .done = on_done };
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", server->port);
  const struct jc_httpc_call_spec spec = { .method = "GET",
                                           .url = url,
                                           .no_resend = true,
                                           .echo_name = "X-Id",
                                           .echo_value = "1" };

  g_string_truncate (outcome->body, 0);
  outcome->done = false;
  jc_httpc_call_start (httpc, &spec, &ops, outcome);
  while (!outcome->done)
    ev_run (server->loop, EVRUN_ONCE);
  g_free (url);
}

/* Return whether ANSWER may count as complete when its connection ends after
   LEN bytes: all of it came, or it has no length and the server closed the
   connection in its body.  */
static bool
may_be_complete (const struct answer *answer, size_t len, bool resets)
{
  if (answer->framed)
    return len == strlen (answer->text);
  return !resets && len >= strlen (answer->text) - strlen (answer->body);
}

/* Check what a call makes of the first LEN bytes of ANSWER, the last ones from
   SPLIT on in a piece of their own, on a new connection or, with KEPT, on one
   that was used before.  */
static void
check_cut (const struct answer *answer, size_t len, size_t split, bool resets,
           bool kept)
{
  struct ev_loop *loop = ev_loop_new (0);
  struct jc_httpc *httpc = jc_httpc_new (loop);
  struct outcome outcome = { .body = g_string_new (NULL) };
  struct server server;
  bool complete;

  server_start (&server, loop);
  server.text = answer->text;
  server.len = len;
  server.split = split;
  server.resets = resets;
  server.before = kept ? WHOLE : NULL;
  if (kept)
    {
      run_call (&server, httpc, &outcome);
      g_assert_cmpint (outcome.result.status, ==, JC_OK);
    }
  run_call (&server, httpc, &outcome);
  complete = outcome.result.status == JC_OK;
  if (complete != may_be_complete (answer, len, resets))
    g_test_message ("%s: %zu of %zu bytes, split at %zu, resets %d, kept %d: "
                    "%s, body %s",
                    answer->name, len, strlen (answer->text), split, resets,
                    kept, jc_status_name (outcome.result.status),
                    outcome.body->str);
  g_assert_cmpint (complete, ==, may_be_complete (answer, len, resets));
  g_assert_true (g_str_has_prefix (answer->body, outcome.body->str));
  if (complete && answer->framed)
    g_assert_cmpstr (outcome.body->str, ==, answer->body);
  jc_httpc_free (httpc);
  server_stop (&server);
  ev_loop_destroy (loop);
  g_string_free (outcome.body, TRUE);
}

/* Guards against an answer that was cut after any byte, also in its head, and
   that counts as complete.  DATA is the answer.  */
static void
test_cut (gconstpointer data)
{
  const struct answer *answer = data;

  for (size_t len = 0; len <= strlen (answer->text); len++)
    for (int resets = 0; resets <= 1; resets++)
      for (int kept = 0; kept <= 1; kept++)
        check_cut (answer, len, len, resets, kept);
}

/* Guards against a complete answer that is refused, or a body that changes,
   when the answer comes in two pieces.  DATA is the answer.  */
static void
test_split (gconstpointer data)
{
  const struct answer *answer = data;
  size_t len = strlen (answer->text);

  for (size_t split = 0; split <= len; split++)
    check_cut (answer, len, split, false, false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cut_answers); i++)
    {
      char *cut = g_strconcat ("/cut/", cut_answers[i].name, NULL);
      char *split = g_strconcat ("/split/", cut_answers[i].name, NULL);

      g_test_add_data_func (cut, &cut_answers[i], test_cut);
      g_test_add_data_func (split, &cut_answers[i], test_split);
      g_free (cut);
      g_free (split);
    }
  return g_test_run ();
}
