/* Test of a listener against peers that send fragments of HTTP without end.
   It guards against any input by which a peer could keep its connection open
   forever.  */

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpd.h"

enum
{
  BODY_MAX_BYTES = 1000,
  TEST_TIMEOUT_S = 20,
  ROUNDS = 32,
  PEERS = 64,
  SEED = 20261204,
  FRAGMENTS_MAX = 6,
  BLOCK_BYTES = 4096
};

/* A listener and its loop.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
};

static const char *const prefixes[] = {
  "",
  "GET /a",
  "GET /a HTTP/1.1\r\n",
  "GET /a HTTP/1.1\r\nHost: h\r\nX: ",
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;",
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
};
static const char *const fragments[]
    = { "\r\n", "\n", "a",  "0",        "X: y\r\n", "1\r\na\r\n",
        ";",    " ",  ": ", "\r\n\r\n", "0\r\n",    "10\r\n" };

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

/* A peer that sends FRAGMENTS again and again.  */
struct peer
{
  GString *fragments;
  int fd;
  bool closed;
};

/* Connect PEER to PORT, send a prefix drawn by RAND and choose the fragments
   that follow it.  */
static void
peer_start (struct peer *peer, int port, GRand *rand)
{
  const char *prefix
      = prefixes[g_rand_int_range (rand, 0, G_N_ELEMENTS (prefixes))];
  gint32 count = g_rand_int_range (rand, 1, FRAGMENTS_MAX + 1);
  GString *pattern = g_string_new (NULL);

  peer->fd = connect_to (port);
  peer->fragments = g_string_new (NULL);
  for (gint32 i = 0; i < count; i++)
    g_string_append (
        pattern,
        fragments[g_rand_int_range (rand, 0, G_N_ELEMENTS (fragments))]);
  while (peer->fragments->len < BLOCK_BYTES)
    g_string_append (peer->fragments, pattern->str);
  g_string_free (pattern, TRUE);
  g_assert_cmpint (send (peer->fd, prefix, strlen (prefix), MSG_NOSIGNAL), ==,
                   strlen (prefix));
}

/* Send as much as the connection of PEER takes, and drop what it received.  */
static void
peer_send (struct peer *peer)
{
  char received[BLOCK_BYTES];
  ssize_t len = recv (peer->fd, received, sizeof received, MSG_DONTWAIT);

  if (len == 0 || (len < 0 && errno != EAGAIN)
      || (send (peer->fd, peer->fragments->str, peer->fragments->len,
                MSG_DONTWAIT | MSG_NOSIGNAL)
              < 0
          && errno != EAGAIN))
    peer->closed = true;
}

/* Let peers drawn by RAND send until the listener has closed all of them.  */
static void
run_round (struct fixture *f, GRand *rand)
{
  struct peer peers[PEERS] = { 0 };
  unsigned int open = PEERS;

  for (unsigned int i = 0; i < PEERS; i++)
    peer_start (&peers[i], jc_httpd_port (f->httpd), rand);
  while (open > 0)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      open = 0;
      for (unsigned int i = 0; i < PEERS; i++)
        {
          if (!peers[i].closed)
            peer_send (&peers[i]);
          open += peers[i].closed ? 0 : 1;
        }
    }
  for (unsigned int i = 0; i < PEERS; i++)
    {
      close (peers[i].fd);
      g_string_free (peers[i].fragments, TRUE);
    }
}

static void
on_body (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
}

static void
on_test_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("test timed out");
}

/* Guards against endless input that keeps a connection open: fragments of HTTP
   in random order, repeated until the listener closes the connection.  */
static void
test_endless (void)
{
  static const struct jc_httpd_class klass = { .body = on_body };
  struct fixture f = { .loop = ev_loop_new (0) };
  GRand *rand = g_rand_new_with_seed (SEED);
  ev_timer test_timeout;

  f.httpd = jc_httpd_new (f.loop, "127.0.0.1:0", &klass, &f, BODY_MAX_BYTES);
  ev_timer_init (&test_timeout, on_test_timeout, TEST_TIMEOUT_S, 0);
  ev_timer_start (f.loop, &test_timeout);
  for (unsigned int i = 0; i < ROUNDS; i++)
    run_round (&f, rand);
  ev_timer_stop (f.loop, &test_timeout);
  jc_httpd_free (f.httpd);
  ev_loop_destroy (f.loop);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listener", test_endless);
  return g_test_run ();
}
