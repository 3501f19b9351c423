/* HTTP server: a connection and its requests, one after another.  */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/deadline.h"
#include "net/httpdprivate.h"

enum
{
  READ_BYTES = 64 * 1024,
  PIPELINED_BYTES_MAX = 64 * 1024,
  KEEPALIVE_PROBES = 2,
  /* A larger input buffer is freed once it is empty.  */
  IN_BUFFER_KEPT_BYTES = 4 * 1024,
  MS_PER_S = 1000
};

/* Set the deadline of CONN to MS from now, 0 for none.  A timer that fires
   earlier, or is due, is left as it is; on_timer sets it again.  The time of
   the loop does not include the work of this iteration, so it is read again. */
void
httpd_conn_set_deadline (struct httpd_conn *conn, long ms)
{
  ev_tstamp now;

  ev_now_update (conn->httpd->loop);
  now = ev_now (conn->httpd->loop);
  conn->deadline = ms > 0 ? now + (double)ms / MS_PER_S : 0;
  if (conn->deadline == 0 || ev_is_pending (&conn->timer)
      || (ev_is_active (&conn->timer)
          && ev_timer_remaining (conn->httpd->loop, &conn->timer)
                 <= conn->deadline - now))
    return;
  ev_timer_stop (conn->httpd->loop, &conn->timer);
  ev_timer_set (&conn->timer, conn->deadline - now, 0);
  ev_timer_start (conn->httpd->loop, &conn->timer);
}

/* Begin to wait for the next request of CONN.  */
static void
conn_begin_idle (struct httpd_conn *conn)
{
  httpd_conn_set_deadline (conn, conn->httpd->limits.idle_timeout_ms);
  conn->idle_since = ev_now (conn->httpd->loop);
}

/* Return whether CONN may be idle for longer by the limits in force, which may
   have changed since it began to be, and wait on then.  It isn't idle while its
   peer has not taken all of the last answer.  */
static bool
conn_may_stay_idle (struct httpd_conn *conn)
{
  ev_tstamp until = conn->idle_since
                    + (double)conn->httpd->limits.idle_timeout_ms / MS_PER_S;
  ev_tstamp now = ev_now (conn->httpd->loop);

  if (conn->req != NULL || conn->close_after)
    return false;
  if (conn->out_pos < conn->out->len)
    {
      conn_begin_idle (conn);
      return true;
    }
  if (conn->httpd->limits.idle_timeout_ms == 0)
    return true;
  if (until <= now)
    return false;
  httpd_conn_set_deadline (conn, (long)((until - now) * MS_PER_S) + 1);
  return true;
}

/* Close CONN for REASON, or because it was answered if it only waits for its
   peer to close, and tell the owner of its request, if there is one.
   CONN is freed at the end of the iteration of the loop.  */
void
httpd_conn_close (struct httpd_conn *conn, enum httpd_close_reason reason)
{
  struct jc_http_req *req = conn->req;

  if (conn->closed)
    return;
  if (conn->lingering)
    {
      conn->httpd->lingering--;
      reason = HTTPD_ANSWERED;
    }
  httpd_loss_log_close (conn, reason);
  conn->closed = true;
  ev_io_stop (conn->httpd->loop, &conn->reader);
  ev_io_stop (conn->httpd->loop, &conn->writer);
  ev_timer_stop (conn->httpd->loop, &conn->timer);
  close (conn->fd);
  conn->req = NULL;
  if (req != NULL)
    {
      req->conn = NULL;
      http_req_peer_closed (req);
    }
  httpd_conn_schedule_flush (conn);
}

/* Free CONN, which must be closed.  */
void
httpd_conn_free (struct httpd_conn *conn)
{
  g_string_free (conn->in, TRUE);
  g_string_free (conn->out, TRUE);
  jc_buffered_set (&conn->buffered, 0);
  g_free (conn);
}

/* Report what CONN has buffered.  */
void
httpd_conn_count_buffers (struct httpd_conn *conn)
{
  jc_buffered_set (&conn->buffered,
                   conn->in->allocated_len + conn->out->allocated_len);
}

/* Write the output of CONN, or free CONN if it is closed, at the end of the
   iteration of the loop.  */
void
httpd_conn_schedule_flush (struct httpd_conn *conn)
{
  if (conn->flush_due)
    return;
  conn->flush_due = true;
  g_ptr_array_add (conn->httpd->unflushed, conn);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_out_flush (watcher->data);
}

/* Go on with the next request of CONN after the answer to the current one was
   put into the buffer completely.  */
void
httpd_conn_next_request (struct httpd_conn *conn)
{
  conn->req = NULL;
  if (conn->probed)
    httpd_peer_set_probes (conn, false);
  conn->head_begun = false;
  httpd_conn_schedule_flush (conn);
  if (conn->close_after)
    return;
  conn_begin_idle (conn);
  if (conn->in->len > 0)
    ev_feed_event (conn->httpd->loop, &conn->reader, EV_CUSTOM);
  if (!ev_is_active (&conn->reader))
    ev_io_start (conn->httpd->loop, &conn->reader);
}

/* Read from the socket of CONN into its input, and close CONN if the peer
   closed or the connection failed.  Return whether bytes came.  */
static bool
conn_read (struct httpd_conn *conn)
{
  static char bytes[READ_BYTES];
  ssize_t received = recv (conn->fd, bytes, jc_buffers_limit (READ_BYTES), 0);

  if (received > 0)
    g_string_append_len (conn->in, bytes, received);
  if (received == 0)
    httpd_conn_close (conn, HTTPD_PEER_CLOSED);
  else if (received < 0 && errno != EAGAIN && errno != EINTR)
    httpd_conn_close (conn, HTTPD_READ_FAILED);
  return received > 0;
}

/* Drop the input of CONN, which reads no further request.  Behind a last answer
   its beginning is kept, so that a log line can tell of a request there.  */
static void
conn_drop_input (struct httpd_conn *conn)
{
  size_t kept = conn->rejected ? 0 : PIPELINED_BYTES_MAX;

  if (conn->in->len > kept)
    g_string_truncate (conn->in, kept);
}

/* Read and process input.  Reading stops while an answer is pending and too
   many pipelined bytes wait.  */
static void
conn_handle_input (struct httpd_conn *conn, bool received)
{
  if (conn->rejected || conn->close_after)
    {
      conn_drop_input (conn);
      if (received && conn->linger_until > 0)
        httpd_out_linger (conn);
      return;
    }
  httpd_in_process (conn);
  if (!conn->closed && conn->req != NULL && conn->body_done
      && conn->in->len > PIPELINED_BYTES_MAX)
    ev_io_stop (conn->httpd->loop, &conn->reader);
}

/* Free what the input buffer of CONN took if that is empty.  */
static void
conn_trim_input (struct httpd_conn *conn)
{
  if (conn->in->len > 0 || conn->in->allocated_len <= IN_BUFFER_KEPT_BYTES)
    return;
  g_string_free (conn->in, TRUE);
  conn->in = g_string_new (NULL);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct httpd_conn *conn = watcher->data;
  bool received = (events & EV_READ) != 0 && conn_read (conn);

  (void)loop;
  if (conn->closed)
    return;
  conn_handle_input (conn, received);
  conn_trim_input (conn);
  httpd_conn_count_buffers (conn);
}

/* Close a connection that is idle for too long, or reject a request that is
   received too slowly.  The socket is read first: an iteration of the loop
   reports a limited number of readable sockets, and none after the process was
   stopped.  */
static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct httpd_conn *conn = watcher->data;
  ev_tstamp due = conn->deadline;
  ev_tstamp left;

  (void)events;
  if (conn->deadline == 0)
    return;
  left = conn->deadline - ev_now (loop);
  if (left > 0)
    {
      ev_timer_set (watcher, left, 0);
      ev_timer_start (loop, watcher);
      return;
    }
  if (ev_is_active (&conn->reader))
    on_readable (loop, &conn->reader, EV_READ);
  if (conn->closed || conn->deadline != due)
    return;
  conn->deadline = 0;
  if (conn->linger_until > 0)
    httpd_conn_close (conn, HTTPD_TIMED_OUT);
  else if (conn->req == NULL && conn->in->len > 0 && !conn->rejected)
    {
      jc_fail (JC_HEAD_TIMEOUT, "The head took too long.");
      httpd_in_reject (conn, JC_HEAD_TIMEOUT);
    }
  else if (conn->req != NULL && conn->req->phase == REQ_READING
           && !conn->rejected)
    {
      jc_fail (JC_BODY_TIMEOUT, "The body took too long.");
      httpd_in_reject (conn, JC_BODY_TIMEOUT);
    }
  else if (!conn_may_stay_idle (conn))
    httpd_conn_close (conn, HTTPD_TIMED_OUT);
}

/* Return a connection of HTTPD on the accepted socket FD.  */
struct httpd_conn *
httpd_conn_new (struct jc_httpd *httpd, int fd)
{
  struct httpd_conn *conn = g_new0 (struct httpd_conn, 1);
  int on = 1;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  conn->httpd = httpd;
  conn->fd = fd;
  httpd_peer_limit_unsent (conn);
  httpd_peer_set_probes (conn, false);
  httpd_peer_reset_written (conn);
  conn->in = g_string_new (NULL);
  conn->out = g_string_new (NULL);
  ev_io_init (&conn->reader, on_readable, fd, EV_READ);
  ev_io_init (&conn->writer, on_writable, fd, EV_WRITE);
  jc_deadline_init (&conn->timer, on_timer);
  conn->reader.data = conn;
  conn->writer.data = conn;
  conn->timer.data = conn;
  ev_io_start (httpd->loop, &conn->reader);
  conn_begin_idle (conn);
  return conn;
}
