/* HTTP server: the listener.  */

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/httpdprivate.h"

enum
{
  LISTEN_BACKLOG = 1024,
  ACCEPTS_PER_ITERATION = 32,
  ACCEPT_RETRY_MS = 50,
  HEAD_BYTES_MAX = 32 * 1024,
  /* Default limits.  The first two equal the time that a peer may leave data
     unacknowledged.  */
  HEAD_TIMEOUT_MS = 10000,
  BODY_TIMEOUT_MS = 10000,
  IDLE_TIMEOUT_MS = 120000,
  MS_PER_S = 1000
};

/* Accept up to LIMIT connections of HTTPD.  Return 0, or the error that ended
   it.  */
static int
httpd_accept (struct jc_httpd *httpd, int limit)
{
  for (int i = 0; i < limit; i++)
    {
      int fd = accept4 (httpd->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return errno;
      httpd_make_room (httpd);
      httpd_count_connections (1);
      g_ptr_array_add (httpd->conns, httpd_conn_new (httpd, fd));
    }
  return 0;
}

/* Accept waiting connections, a limited number per iteration of the loop.  If
   file descriptors run out the watcher is stopped for a while, since the
   socket would stay readable and keep the loop busy.  */
static void
httpd_on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;
  int error = httpd_accept (httpd, ACCEPTS_PER_ITERATION);

  (void)events;
  if (error != EMFILE && error != ENFILE)
    return;
  ev_io_stop (loop, watcher);
  ev_timer_set (&httpd->accept_retry, (double)ACCEPT_RETRY_MS / MS_PER_S, 0);
  ev_timer_start (loop, &httpd->accept_retry);
}

static void
httpd_on_accept_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;

  (void)events;
  if (httpd->fd >= 0)
    ev_io_start (loop, &httpd->accept);
}

/* Free closed connections; none of their functions may be on the stack.  */
static void
httpd_free_closed (struct jc_httpd *httpd)
{
  for (guint i = httpd->conns->len; i > 0; i--)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i - 1);

      if (conn->closed)
        {
          g_ptr_array_remove_index_fast (httpd->conns, i - 1);
          httpd_conn_free (conn);
          httpd_count_connections (-1);
        }
    }
}

/* Write the output of this iteration of the loop, with one write per
   connection.  */
static void
httpd_on_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;
  bool any_closed = false;

  (void)loop;
  (void)events;
  for (guint i = 0; i < httpd->unflushed->len; i++)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->unflushed, i);

      conn->flush_due = false;
      if (!conn->closed)
        httpd_out_flush (conn);
      any_closed = any_closed || conn->closed;
    }
  g_ptr_array_set_size (httpd->unflushed, 0);
  if (any_closed)
    httpd_free_closed (httpd);
}

/* Open a listening socket at ADDRESS and store its port in PORT.  Return -1
   and set errno or the last message on failure.  */
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
      || listen (fd, LISTEN_BACKLOG) != 0
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

/* Start a listener at ADDRESS ("IP:PORT", port 0 for any free one) whose
   requests go to KLASS with CTX.  Bodies over MAX_BODY bytes are rejected.
   Return NULL and set the last message if ADDRESS can't be bound.  */
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
  httpd->limits
      = (struct jc_httpd_limits){ .max_head_bytes = HEAD_BYTES_MAX,
                                  .max_body_bytes = max_body,
                                  .head_timeout_ms = HEAD_TIMEOUT_MS,
                                  .body_timeout_ms = BODY_TIMEOUT_MS,
                                  .idle_timeout_ms = IDLE_TIMEOUT_MS };
  httpd->fd = fd;
  httpd->port = port;
  httpd->conns = g_ptr_array_new ();
  httpd->unflushed = g_ptr_array_new ();
  ev_io_init (&httpd->accept, httpd_on_accept, fd, EV_READ);
  ev_init (&httpd->accept_retry, httpd_on_accept_retry);
  ev_prepare_init (&httpd->flush, httpd_on_flush);
  httpd->accept.data = httpd;
  httpd->accept_retry.data = httpd;
  httpd->flush.data = httpd;
  ev_io_start (loop, &httpd->accept);
  ev_prepare_start (loop, &httpd->flush);
  return httpd;
}

/* Apply LIMITS to requests and connections from now on.  */
void
jc_httpd_set_limits (struct jc_httpd *httpd,
                     const struct jc_httpd_limits *limits)
{
  httpd->limits = *limits;
}

/* Name the header field NAME, a constant, as the one that holds the id of a
   request in log lines.  */
void
jc_httpd_set_id_header (struct jc_httpd *httpd, const char *name)
{
  httpd->id_header = name;
}

/* Repeat the header NAME of each request, a string constant, in its answer
   unless the answer has one already.  */
void
jc_httpd_set_echo (struct jc_httpd *httpd, const char *name)
{
  httpd->echo_name = name;
}

/* Send "Connection: close" with every answer from now on.  */
void
jc_httpd_announce_close (struct jc_httpd *httpd)
{
  httpd->announce_close = true;
}

/* Accept no further connections; open ones are served on, and so are those that
   wait to be accepted: closing the socket would reset them.  */
void
jc_httpd_stop_accepting (struct jc_httpd *httpd)
{
  if (httpd->fd < 0)
    return;
  httpd_accept (httpd, LISTEN_BACKLOG);
  ev_io_stop (httpd->loop, &httpd->accept);
  ev_timer_stop (httpd->loop, &httpd->accept_retry);
  close (httpd->fd);
  httpd->fd = -1;
}

/* Stop HTTPD and free it; HTTPD may be NULL.  Owners of requests get
   PEER_CLOSED.  */
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

      httpd_out_flush (conn);
      httpd_conn_close (conn, HTTPD_STOPPED);
    }
  httpd_free_closed (httpd);
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

/* Return the number of requests that are not answered completely, those whose
   answers are not written yet included.  */
unsigned int
jc_httpd_count_requests (const struct jc_httpd *httpd)
{
  unsigned int open = httpd->open_requests;

  for (guint i = 0; i < httpd->conns->len; i++)
    {
      const struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i);
      bool unsent = conn->out_pos < conn->out->len;

      open += !conn->closed && conn->req == NULL && unsent ? 1 : 0;
    }
  return open;
}

/* Return the port that HTTPD is bound to.  */
int
jc_httpd_port (const struct jc_httpd *httpd)
{
  return httpd->port;
}
