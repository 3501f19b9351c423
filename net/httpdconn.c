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
  OUT_BUFFER_KEPT_BYTES = 64 * 1024,
  KEEPALIVE_PROBES = 2,
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
  /* Limit on bytes of blank lines before a request; RFC 9112, 2.2 asks servers
     to ignore at least one such line.  */
  BLANK_BYTES_MAX = 16,
  /* Bytes of a body that restart its time-out: about one TCP window of a slow
     connection.  */
  BODY_BLOCK_BYTES = 16 * 1024,
  /* A body is kept until its request ends, and copied to be sent on.  */
  BODY_COPIES = 2,
  /* A larger input buffer is freed once it is empty.  */
  IN_BUFFER_KEPT_BYTES = 4 * 1024,
  MS_PER_S = 1000
};

static void conn_process_input (struct httpd_conn *conn);

/* Set the deadline of CONN to MS from now, 0 for none.  A timer that fires
   earlier, or is due, is left as it is; on_timer sets it again.  The time of
   the loop does not include the work of this iteration, so it is read again. */
static void
set_deadline (struct httpd_conn *conn, long ms)
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
  set_deadline (conn, conn->httpd->limits.idle_timeout_ms);
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
  set_deadline (conn, (long)((until - now) * MS_PER_S) + 1);
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
static void
conn_count_buffers (struct httpd_conn *conn)
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

/* Wait for the peer of CONN to close.  After a rejected request it may be
   silent for LINGER_MS, but not beyond the end of the wait as a whole.  */
static void
conn_linger (struct httpd_conn *conn)
{
  long left_ms;

  ev_now_update (conn->httpd->loop);
  left_ms
      = (long)((conn->linger_until - ev_now (conn->httpd->loop)) * MS_PER_S);
  if (left_ms > 0)
    set_deadline (conn, conn->rejected ? MIN (left_ms, LINGER_MS) : left_ms);
}

/* Close the sending side of CONN and begin to wait for its peer to close, for
   at most LIMIT_MS.  */
static void
conn_begin_linger (struct httpd_conn *conn, long limit_ms)
{
  shutdown (conn->fd, SHUT_WR);
  ev_now_update (conn->httpd->loop);
  conn->linger_until = ev_now (conn->httpd->loop) + (double)limit_ms / MS_PER_S;
  ev_io_start (conn->httpd->loop, &conn->reader);
  conn_linger (conn);
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
    conn_begin_linger (conn, MAX (httpd->limits.body_timeout_ms, LINGER_MS));
  else if (!conn->reset_on_close && httpd->lingering < LINGERING_MAX)
    {
      conn->lingering = true;
      httpd->lingering++;
      conn_begin_linger (conn, LINGER_ANSWERED_MS);
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
conn_await_peer (struct httpd_conn *conn)
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
conn_write_output (struct httpd_conn *conn)
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
          conn_await_peer (conn);
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
httpd_conn_flush (struct httpd_conn *conn)
{
  conn_count_buffers (conn);
  conn_write_output (conn);
  conn_count_buffers (conn);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_conn_flush (watcher->data);
}

/* Answer the current input of CONN with STATUS and the last message, and close
   CONN after that.  */
static void
conn_reject (struct httpd_conn *conn, enum jc_status status)
{
  if (conn->req == NULL)
    conn->req = http_req_new (conn);
  conn->rejected = true;
  conn->req->close_after = true;
  conn->req->phase = REQ_OWNED;
  jc_http_fail (conn->req, status, jc_last_message (), 0);
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  struct httpd_conn *conn = parser->data;

  jc_head_build_target (&conn->build, at, len);
  return 0;
}

static int
on_name (http_parser *parser, const char *at, size_t len)
{
  struct httpd_conn *conn = parser->data;

  jc_head_build_name (&conn->build, at, len);
  return conn->build.overflow ? 1 : 0;
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  struct httpd_conn *conn = parser->data;

  jc_head_build_value (&conn->build, at, len);
  return 0;
}

static int
on_head_end (http_parser *parser)
{
  struct httpd_conn *conn = parser->data;

  jc_head_build_end (&conn->build, parser);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct httpd_conn *conn = parser->data;
  struct jc_http_req *req = conn->req;

  if (!jc_buffers_have_room (&req->buffered, BODY_COPIES * len))
    {
      httpd_loss_log_no_room (req);
      jc_fail (JC_OVERLOADED, "There is no room for the body.");
      conn->no_room = true;
      return 1;
    }
  if (req->body->len + len > conn->httpd->limits.max_body_bytes)
    {
      jc_fail (JC_TOO_LARGE, "The body is over %zu bytes.",
               conn->httpd->limits.max_body_bytes);
      return 1;
    }
  g_string_append_len (req->body, at, (gssize)len);
  jc_buffered_set (&req->buffered, BODY_COPIES * req->body->len);
  return 0;
}

/* Pause the parser after a message, so that a pipelined request is left in the
   buffer.  */
static int
on_message_end (http_parser *parser)
{
  struct httpd_conn *conn = parser->data;

  conn->body_done = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_url = on_url,
        .on_header_field = on_name,
        .on_header_value = on_value,
        .on_headers_complete = on_head_end,
        .on_body = on_body,
        .on_message_complete = on_message_end };

/* Return JC_OK if the head of REQ is acceptable: one Host, an unambiguous
   length within the limit, a path as its target.  Otherwise set the last
   message.  */
static enum jc_status
check_head (const struct jc_http_req *req, const http_parser *parser)
{
  const struct jc_head *head = &req->head;
  unsigned int hosts = 0;

  for (unsigned int i = 0; i < head->field_count; i++)
    hosts += g_ascii_strcasecmp (head->fields[i].name, "Host") == 0 ? 1 : 0;
  if (hosts > 1 || (hosts == 0 && !head->before_http_1_1))
    return jc_fail (JC_BAD_REQUEST, "A request names one host.");
  if (!jc_head_has_clear_length (head) || parser->upgrade)
    return jc_fail (JC_BAD_REQUEST, "The length of the body is not clear.");
  if (!jc_head_is_path_target (head->target))
    return jc_fail (JC_BAD_REQUEST, "The target is not a path.");
  if (parser->content_length != UINT64_MAX
      && parser->content_length > req->httpd->limits.max_body_bytes)
    return jc_fail (JC_TOO_LARGE, "The body is over %zu bytes.",
                    req->httpd->limits.max_body_bytes);
  if (parser->content_length != UINT64_MAX
      && !jc_buffers_have_room (&req->buffered,
                                BODY_COPIES * parser->content_length))
    {
      httpd_loss_log_no_room (req);
      return jc_fail (JC_OVERLOADED, "There is no room for the body.");
    }
  return JC_OK;
}

/* Send "100 Continue" if the request of CONN expects it.  */
static void
send_continue (struct httpd_conn *conn)
{
  const char *expect = jc_head_field (&conn->req->head, "Expect");

  if (expect == NULL || g_ascii_strcasecmp (expect, "100-continue") != 0)
    return;
  g_string_append (conn->out, "HTTP/1.1 100 Continue\r\n\r\n");
  httpd_conn_schedule_flush (conn);
}

/* Parse the head in the first LEN bytes of the input of CONN and pass it to
   the owner, or reject it.  */
static void
conn_parse_head (struct httpd_conn *conn, size_t len)
{
  struct jc_str bytes = { .data = conn->in->str, .len = len };
  struct jc_http_req *req;
  enum jc_status status = JC_OK;
  size_t parsed;

  if (!jc_head_is_well_formed (bytes))
    {
      jc_fail (JC_BAD_REQUEST, "The head has a malformed line.");
      conn_reject (conn, JC_BAD_REQUEST);
      return;
    }
  conn->req = req = http_req_new (conn);
  httpd_peer_reset_written (conn);
  jc_head_init (&req->head, bytes);
  conn->build = (struct jc_head_build){ .head = &req->head };
  conn->body_done = false;
  jc_chunks_init (&conn->chunks);
  http_parser_init (&conn->parser, HTTP_REQUEST);
  conn->parser.data = conn;
  parsed = http_parser_execute (&conn->parser, &parser_settings,
                                req->head.bytes, len);
  g_string_erase (conn->in, 0, (gssize)len);
  if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK
      && HTTP_PARSER_ERRNO (&conn->parser) != HPE_PAUSED)
    status
        = jc_fail (JC_BAD_REQUEST, "The head can't be read: %s.",
                   http_errno_description (HTTP_PARSER_ERRNO (&conn->parser)));
  else if (parsed < len && !conn->body_done)
    status = jc_fail (JC_BAD_REQUEST, "The head can't be read.");
  if (status == JC_OK)
    status = check_head (req, &conn->parser);
  if (status != JC_OK)
    {
      conn_reject (conn, status);
      return;
    }
  req->path = g_strndup (req->head.target, strcspn (req->head.target, "?"));
  req->close_after = !req->head.keep_alive;
  if (conn->httpd->klass->head != NULL)
    status = conn->httpd->klass->head (conn->httpd->ctx, req);
  if (status == JC_OK)
    {
      send_continue (conn);
      conn->body_block_bytes = 0;
      if (!conn->body_done)
        set_deadline (conn, conn->httpd->limits.body_timeout_ms);
      return;
    }
  req->phase = REQ_OWNED;
  if (!conn->body_done)
    {
      req->close_after = true;
      conn->rejected = true;
    }
  jc_http_fail (req, status, jc_last_message (), 0);
}

/* Return whether the first PARSED bytes of the input of CONN frame the body
   correctly.  Only chunked bodies are checked.  */
static bool
body_framing_is_valid (struct httpd_conn *conn, size_t parsed)
{
  if ((conn->parser.flags & F_CHUNKED) == 0)
    return true;
  return jc_chunks_feed (
      &conn->chunks, (struct jc_str){ .data = conn->in->str, .len = parsed });
}

/* Record that PARSED more bytes of the body of CONN were read, and restart its
   time-out after each block.  */
static void
note_body_bytes (struct httpd_conn *conn, size_t parsed)
{
  conn->body_block_bytes += parsed;
  if (conn->body_done)
    conn->deadline = 0;
  else if (conn->body_block_bytes >= BODY_BLOCK_BYTES)
    {
      conn->body_block_bytes = 0;
      set_deadline (conn, conn->httpd->limits.body_timeout_ms);
    }
}

/* Parse the input of CONN as the body of its request.  */
static void
conn_parse_body (struct httpd_conn *conn)
{
  size_t parsed;

  if (conn->in->len == 0 || conn->body_done)
    return;
  parsed = http_parser_execute (&conn->parser, &parser_settings, conn->in->str,
                                conn->in->len);
  if (!body_framing_is_valid (conn, MIN (parsed, conn->in->len)))
    {
      jc_fail (JC_BAD_REQUEST, "The chunks of the body are malformed.");
      conn_reject (conn, JC_BAD_REQUEST);
      return;
    }
  g_string_erase (conn->in, 0, (gssize)parsed);
  note_body_bytes (conn, parsed);
  if (HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK
      || HTTP_PARSER_ERRNO (&conn->parser) == HPE_PAUSED)
    return;
  if (HTTP_PARSER_ERRNO (&conn->parser) == HPE_CB_body)
    {
      conn_reject (conn, conn->no_room ? JC_OVERLOADED : JC_TOO_LARGE);
      return;
    }
  jc_fail (JC_BAD_REQUEST, "The body can't be read: %s.",
           http_errno_description (HTTP_PARSER_ERRNO (&conn->parser)));
  conn_reject (conn, JC_BAD_REQUEST);
}

/* Drop blank lines before a request.  Return false if there are too many.  */
static bool
skip_blank_lines (struct httpd_conn *conn)
{
  const GString *in = conn->in;
  gsize at = 0;

  while (conn->blank_bytes <= BLANK_BYTES_MAX && in->len - at >= 2
         && memcmp (in->str + at, "\r\n", 2) == 0)
    {
      at += 2;
      conn->blank_bytes += 2;
    }
  g_string_erase (conn->in, 0, (gssize)at);
  return conn->blank_bytes <= BLANK_BYTES_MAX;
}

/* Parse the head of the next request if the input of CONN holds all of it.
   Return whether it does.  Too many blank lines or too large a head are
   rejected.  */
static bool
conn_start_request (struct httpd_conn *conn)
{
  struct jc_str bytes;
  ssize_t len;

  if (!skip_blank_lines (conn))
    {
      jc_fail (JC_BAD_REQUEST, "Over %d bytes of blank lines.",
               (int)BLANK_BYTES_MAX);
      conn_reject (conn, JC_BAD_REQUEST);
      return false;
    }
  if (conn->in->len == 0)
    return false;
  bytes = jc_str_from_gstring (conn->in);
  len = jc_head_find_end (bytes, &conn->scanned_bytes);
  if (len > 0 && (size_t)len <= conn->httpd->limits.max_head_bytes)
    {
      conn->deadline = 0;
      conn->blank_bytes = 0;
      conn_parse_head (conn, (size_t)len);
      return true;
    }
  if (len > 0 || conn->in->len > conn->httpd->limits.max_head_bytes)
    {
      jc_fail (JC_HEAD_TOO_LARGE, "The head is over %zu bytes.",
               conn->httpd->limits.max_head_bytes);
      conn_reject (conn, JC_HEAD_TOO_LARGE);
      return false;
    }
  if (!conn->head_begun)
    {
      conn->head_begun = true;
      set_deadline (conn, conn->httpd->limits.head_timeout_ms);
    }
  return false;
}

/* Process the input of CONN as far as possible.  */
static void
conn_process_input (struct httpd_conn *conn)
{
  while (!conn->closed && !conn->rejected && !conn->close_after)
    {
      if (conn->req == NULL && !conn_start_request (conn))
        return;
      if (conn->closed || conn->req == NULL || conn->rejected)
        continue;
      if (conn->req->phase != REQ_READING)
        return;
      conn_parse_body (conn);
      if (conn->closed || conn->rejected || conn->req == NULL)
        continue;
      if (!conn->body_done)
        return;
      conn->req->phase = REQ_OWNED;
      conn->httpd->klass->body (conn->httpd->ctx, conn->req);
    }
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
        conn_linger (conn);
      return;
    }
  conn_process_input (conn);
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
  conn_count_buffers (conn);
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
      conn_reject (conn, JC_HEAD_TIMEOUT);
    }
  else if (conn->req != NULL && conn->req->phase == REQ_READING
           && !conn->rejected)
    {
      jc_fail (JC_BODY_TIMEOUT, "The body took too long.");
      conn_reject (conn, JC_BODY_TIMEOUT);
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
