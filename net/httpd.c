/* HTTP server task: the listener.  */

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/httpdprivate.h"

enum
{
  LISTEN_QUEUE = 1024,
  ACCEPTS_A_TURN = 32,
  ACCEPT_AGAIN_MS = 50,
  HEAD_BYTES_MAX = 32 * 1024,
  /* As long as a peer may acknowledge nothing: see USER_TIMEOUT_MS.  */
  HEAD_MS = 10000,
  BODY_MS = 10000,
  IDLE_MS = 120000,
  MS_PER_S = 1000
};

/* Accept what waits, up to a share of a turn.  Where descriptors run out the
   listener rests, since its socket would stay readable.  */
static void
httpd_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;

  (void)events;
  for (int i = 0; i < ACCEPTS_A_TURN; i++)
    {
      int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd >= 0)
        {
          g_ptr_array_add (httpd->conns, httpd_conn_new (httpd, fd));
          continue;
        }
      if (errno == EMFILE || errno == ENFILE)
        {
          ev_io_stop (loop, watcher);
          ev_timer_set (&httpd->accept_retry,
                        (double)ACCEPT_AGAIN_MS / MS_PER_S, 0);
          ev_timer_start (loop, &httpd->accept_retry);
        }
      return;
    }
}

static void
httpd_on_accept_again (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;

  (void)events;
  if (httpd->fd >= 0)
    ev_io_start (loop, &httpd->accept);
}

/* Free connections that were closed, when none of their functions is on the
   stack.  */
static void
httpd_reap (struct jc_httpd *httpd)
{
  for (guint i = httpd->conns->len; i > 0; i--)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i - 1);

      if (conn->closed)
        {
          g_ptr_array_remove_index_fast (httpd->conns, i - 1);
          httpd_conn_free (conn);
        }
    }
}

/* Write what the last turn produced, one write a connection.  */
static void
httpd_on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;
  bool any_dead = false;

  (void)loop;
  (void)events;
  for (guint i = 0; i < httpd->unflushed->len; i++)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->unflushed, i);

      conn->flush_due = false;
      if (!conn->closed)
        httpd_conn_flush (conn);
      any_dead = any_dead || conn->closed;
    }
  g_ptr_array_set_size (httpd->unflushed, 0);
  if (any_dead)
    httpd_reap (httpd);
}

static int
open_listener (const char *address, int *port)
{
  struct sockaddr_in addr;
  socklen_t len = sizeof addr;
  int one = 1;
  int fd;

  if (jc_address_parse (address, &addr) != JC_OK)
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (fd, LISTEN_QUEUE) != 0
      || getsockname (fd, (struct sockaddr *)&addr, &len) != 0)
    {
      int error = errno;

      close (fd);
      errno = error;
      return -1;
    }
  *port = ntohs (addr.sin_port);
  return fd;
}

/* Start a listener at ADDRESS ("IP:PORT", port 0 for any) whose requests go
   to KLASS with CTX.  Bodies over MAX_BODY bytes are refused.  Return NULL
   and set the last message where the address can't be had.  */
struct jc_httpd *
jc_httpd_new (struct ev_loop *loop, const char *address,
              const struct jc_httpd_class *klass, void *ctx, size_t max_body)
{
  struct jc_httpd *httpd;
  int port;
  int fd = open_listener (address, &port);

  if (fd < 0)
    {
      jc_fail (JC_UNREACHABLE, "Can't listen at %s: %s.", address,
               strerror (errno));
      return NULL;
    }
  httpd = g_new0 (struct jc_httpd, 1);
  httpd->loop = loop;
  httpd->klass = klass;
  httpd->ctx = ctx;
  httpd->limits = (struct jc_httpd_limits){ .max_head_bytes = HEAD_BYTES_MAX,
                                            .max_body_bytes = max_body,
                                            .head_timeout_ms = HEAD_MS,
                                            .body_timeout_ms = BODY_MS,
                                            .idle_timeout_ms = IDLE_MS };
  httpd->fd = fd;
  httpd->port = port;
  httpd->conns = g_ptr_array_new ();
  httpd->unflushed = g_ptr_array_new ();
  ev_io_init (&httpd->accept, httpd_on_accept, fd, EV_READ);
  ev_init (&httpd->accept_retry, httpd_on_accept_again);
  ev_prepare_init (&httpd->flush, httpd_on_flush);
  httpd->accept.data = httpd;
  httpd->accept_retry.data = httpd;
  httpd->flush.data = httpd;
  ev_io_start (loop, &httpd->accept);
  ev_prepare_start (loop, &httpd->flush);
  return httpd;
}

/* Put LIMITS in force for what comes from now on.  */
void
jc_httpd_set_limits (struct jc_httpd *httpd,
                     const struct jc_httpd_limits *limits)
{
  httpd->limits = *limits;
}

/* Say "Connection: close" in every answer from now on.  */
void
jc_httpd_announce_close (struct jc_httpd *httpd)
{
  httpd->announce_close = true;
}

/* Accept no further connections; those open go on.  */
void
jc_httpd_stop_accepting (struct jc_httpd *httpd)
{
  if (httpd->fd < 0)
    return;
  ev_io_stop (httpd->loop, &httpd->accept);
  ev_timer_stop (httpd->loop, &httpd->accept_retry);
  close (httpd->fd);
  httpd->fd = -1;
}

/* Stop HTTPD and free it.  Owners of requests are told that they are
   gone.  */
void
jc_httpd_free (struct jc_httpd *httpd)
{
  if (httpd == NULL)
    return;
  jc_httpd_stop_accepting (httpd);
  ev_prepare_stop (httpd->loop, &httpd->flush);
  for (guint i = 0; i < httpd->conns->len; i++)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i);

      httpd_conn_flush (conn);
      httpd_conn_close (conn);
    }
  httpd_reap (httpd);
  g_ptr_array_free (httpd->conns, TRUE);
  g_ptr_array_free (httpd->unflushed, TRUE);
  g_free (httpd);
}

/* Return the number of open connections of HTTPD.  */
unsigned int
jc_httpd_count_connections (const struct jc_httpd *httpd)
{
  unsigned int open = 0;

  for (guint i = 0; i < httpd->conns->len; i++)
    {
      const struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i);

      open += conn->closed ? 0 : 1;
    }
  return open;
}

/* Return the number of requests whose answers were not sent whole yet.  */
unsigned int
jc_httpd_count_requests (const struct jc_httpd *httpd)
{
  return httpd->open_requests;
}

/* Return the port that HTTPD listens at.  */
int
jc_httpd_port (const struct jc_httpd *httpd)
{
  return httpd->port;
}
