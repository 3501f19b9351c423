/* Peers of a listener that send words of HTTP without end.  */

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/httpd.h"

enum
{
  BODY_MAX = 1000,
  GIVE_UP_S = 20,
  ROUNDS = 32,
  PEERS = 64,
  SEED = 20261204,
  WORDS_MOST = 6,
  BLOCK = 4096
};

/* A listener and the loop that it lives in.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
};

static const char *const begins[] = {
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
static const char *const words[]
    = { "\r\n", "\n", "a",  "0",        "X: y\r\n", "1\r\na\r\n",
        ";",    " ",  ": ", "\r\n\r\n", "0\r\n",    "10\r\n" };

static int
dial (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (connect (fd, (struct sockaddr *)&addr, sizeof addr), ==, 0);
  return fd;
}

/* A peer that sends WORDS again and again.  */
struct peer
{
  GString *words;
  int fd;
  bool closed;
};

static void
begin_peer (struct peer *peer, int port, GRand *rand)
{
  const char *start = begins[g_rand_int_range (rand, 0, G_N_ELEMENTS (begins))];
  gint32 count = g_rand_int_range (rand, 1, WORDS_MOST + 1);
  GString *unit = g_string_new (NULL);

  peer->fd = dial (port);
  peer->words = g_string_new (NULL);
  for (gint32 i = 0; i < count; i++)
    g_string_append (unit,
                     words[g_rand_int_range (rand, 0, G_N_ELEMENTS (words))]);
  while (peer->words->len < BLOCK)
    g_string_append (peer->words, unit->str);
  g_string_free (unit, TRUE);
  g_assert_cmpint (send (peer->fd, start, strlen (start), MSG_NOSIGNAL), ==,
                   strlen (start));
}

/* Send what PEER's connection takes, and drop what came.  */
static void
go_on (struct peer *peer)
{
  char got[BLOCK];
  ssize_t len = recv (peer->fd, got, sizeof got, MSG_DONTWAIT);

  if (len == 0 || (len < 0 && errno != EAGAIN)
      || (send (peer->fd, peer->words->str, peer->words->len,
                MSG_DONTWAIT | MSG_NOSIGNAL)
              < 0
          && errno != EAGAIN))
    peer->closed = true;
}

/* Have peers drawn by RAND send until all of them are closed.  */
static void
play_round (struct fixture *f, GRand *rand)
{
  struct peer peers[PEERS] = { 0 };
  unsigned int open = PEERS;

  for (unsigned int i = 0; i < PEERS; i++)
    begin_peer (&peers[i], jc_httpd_port (f->httpd), rand);
  while (open > 0)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      open = 0;
      for (unsigned int i = 0; i < PEERS; i++)
        {
          if (!peers[i].closed)
            go_on (&peers[i]);
          open += peers[i].closed ? 0 : 1;
        }
    }
  for (unsigned int i = 0; i < PEERS; i++)
    {
      close (peers[i].fd);
      g_string_free (peers[i].words, TRUE);
    }
}

static void
on_body (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  jc_http_reply (req, 200, "text/plain", JC_STR_LIT ("ok"), NULL);
}

static void
on_give_up (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("gave up waiting");
}

/* Guards against bytes without end that hold a connection in any way: words of
   HTTP in an order by chance, repeated until the listener closes.  */
static void
test_endless (void)
{
  static const struct jc_httpd_class klass = { .body = on_body };
  struct fixture f = { .loop = ev_loop_new (0) };
  GRand *rand = g_rand_new_with_seed (SEED);
  ev_timer give_up;

  f.httpd = jc_httpd_new (f.loop, "127.0.0.1:0", &klass, &f, BODY_MAX);
  ev_timer_init (&give_up, on_give_up, GIVE_UP_S, 0);
  ev_timer_start (f.loop, &give_up);
  for (unsigned int i = 0; i < ROUNDS; i++)
    play_round (&f, rand);
  ev_timer_stop (f.loop, &give_up);
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
