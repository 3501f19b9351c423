/* HTTP server: the output of a connection, and its end after the last
   answer.  */

#include <errno.h>
#include <sys/socket.h>

#include "net/httpdprivate.h"

enum
{
  OUT_BUFFER_KEPT_BYTES = 64 * 1024,
  /* How long after its last byte input is read and dropped once a request was
     rejected.  Closing with unread input would send a reset, which may reach
     the peer before the answer.  */
  LINGER_MS = 1000,
  /* How long the peer's close is awaited after a last answer.  A request that
     crosses the announcement of the end arrives within a round trip and the
     retransmissions of a packet.  */
  LINGER_ANSWERED_MS = 2000,
  /* Connections of a listener that wait so; any further one is closed at
     once.  */
  LINGERING_MAX = 256,
  MS_PER_S = 1000
};

/* Wait for the peer of CONN to close.  After a rejected request it may be
   silent for LINGER_MS, but not beyond the end of the wait as a whole.  */
void
httpd_out_linger (struct httpd_conn *conn)
{
  long left_ms;

  ev_now_update (conn->httpd->loop);
  left_ms
      = (long)((conn->linger_until - ev_now (conn->httpd->loop)) * MS_PER_S);
  if (left_ms > 0)
    httpd_conn_set_deadline (conn, conn->rejected ? MIN (left_ms, LINGER_MS)
                                                  : left_ms);
}

/* Close the sending side of CONN and begin to wait for its peer to close, for
   at most LIMIT_MS.  */
static void
begin_linger (struct httpd_conn *conn, long limit_ms)
{
  shutdown (conn->fd, SHUT_WR);
  ev_now_update (conn->httpd->loop);
  conn->linger_until = ev_now (conn->httpd->loop) + (double)limit_ms / MS_PER_S;
  ev_io_start (conn->httpd->loop, &conn->reader);
  httpd_out_linger (conn);
}

/* End CONN if its output was the last answer.  Only the sending side is closed,
   and input is read and dropped until the peer closes: a close with input that
   is not read, or before it comes, would send a reset, and the kernel would
   drop what it has not delivered.  After a rejected request the wait is at most
   the time-out of a body.  */
static void
handle_all_written (struct httpd_conn *conn)
{
  struct jc_httpd *httpd = conn->httpd;

  ev_io_stop (httpd->loop, &conn->writer);
  if (!conn->close_after || conn->linger_until > 0)
    return;
  if (conn->rejected)
    begin_linger (conn, MAX (httpd->limits.body_timeout_ms, LINGER_MS));
  else if (!conn->reset_on_close && httpd->lingering < LINGERING_MAX)
    {
      conn->lingering = true;
      httpd->lingering++;
      begin_linger (conn, LINGER_ANSWERED_MS);
    }
  else
    {
      if (conn->reset_on_close)
        httpd_peer_reset_on_close (conn);
      httpd_conn_close (conn, HTTPD_ANSWERED);
    }
}

/* Tell the owner of the request of CONN that its peer read some of the
   answer.  */
static void
tell_writable (struct httpd_conn *conn)
{
  struct jc_http_req *req = conn->req;

  if (!conn->closed && req != NULL && req->phase == REQ_STREAMING
      && conn->httpd->klass->writable != NULL)
    conn->httpd->klass->writable (conn->httpd->ctx, req);
}

/* Wait until the peer of CONN, which reads slowly, takes more.  What it took is
   freed.  */
static void
await_peer (struct httpd_conn *conn)
{
  bool some_taken = conn->out_pos >= OUT_BUFFER_KEPT_BYTES;

  ev_io_start (conn->httpd->loop, &conn->writer);
  if (!some_taken)
    return;
  g_string_erase (conn->out, 0, (gssize)conn->out_pos);
  conn->out_pos = 0;
  tell_writable (conn);
}

/* Write the buffered output of CONN.  What the socket does not take is written
   when it is writable.  */
static void
write_output (struct httpd_conn *conn)
{
  bool had_output = conn->out_pos < conn->out->len;

  if (conn->closed)
    return;
  while (conn->out_pos < conn->out->len)
    {
      ssize_t written = send (conn->fd, conn->out->str + conn->out_pos,
                              conn->out->len - conn->out_pos, MSG_NOSIGNAL);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0 && errno == EAGAIN)
        {
          await_peer (conn);
          return;
        }
      if (written < 0)
        {
          httpd_conn_close (conn, HTTPD_WRITE_FAILED);
          return;
        }
      conn->out_pos += (size_t)written;
      httpd_peer_count_written (conn, (size_t)written);
    }
  conn->out_pos = 0;
  if (conn->out->allocated_len > OUT_BUFFER_KEPT_BYTES)
    {
      g_string_free (conn->out, TRUE);
      conn->out = g_string_new (NULL);
    }
  else
    g_string_truncate (conn->out, 0);
  handle_all_written (conn);
  if (had_output)
    tell_writable (conn);
}

/* Write the buffered output of CONN and report what is left of it.  */
void
httpd_out_flush (struct httpd_conn *conn)
{
  httpd_conn_count_buffers (conn);
  write_output (conn);
  httpd_conn_count_buffers (conn);
}
