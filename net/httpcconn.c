/* HTTP client: a connection to a server, and the idle connections.  */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/httpcprivate.h"
#include "net/program.h"

enum
{
  READ_BYTES = 64 * 1024,
  HEAD_BYTES_MAX = 64 * 1024,
  /* A larger input buffer is freed once it is empty.  */
  IN_BUFFER_KEPT_BYTES = 4 * 1024,
  /* Idle time after which a connection is closed if the server sends no
     Keep-Alive time-out, and the margin subtracted from one that it sends.  */
  IDLE_TIMEOUT_MS = 10000,
  IDLE_MARGIN_MS = 1000,
  /* Default TCP user timeout: a connection whose peer acknowledges no data for
     so long fails.  */
  ACK_TIMEOUT_MS = 5000,
  STATUS_MIN = 100,
  STATUS_MAX = 599,
  STATUS_SWITCHING = 101,
  /* Time for which a loss is remembered, and the number of losses above which
     older ones are dropped.  */
  LOST_KEEP_MS = 60000,
  LOST_MAX = 1024,
  MS_PER_S = 1000
};

static int
on_name (http_parser *parser, const char *at, size_t len)
{
  struct httpc_conn *conn = parser->data;

  jc_head_build_name (&conn->build, at, len);
  return conn->build.overflow ? 1 : 0;
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  struct httpc_conn *conn = parser->data;

  jc_head_build_value (&conn->build, at, len);
  return 0;
}

/* Whose answer a head is: that of the current call, that of another one, or
   not known because it names none.  */
enum head_owner
{
  HEAD_OWN,
  HEAD_FOREIGN,
  HEAD_UNNAMED
};

/* Return whose answer the head read on CONN is.  A call without an id has its
   connection for itself, so that an answer that names none is its own.  */
static enum head_owner
head_owner (const struct httpc_conn *conn)
{
  const struct jc_httpc_call *call = conn->call;
  const char *echo;

  if (call->echo_name == NULL)
    return HEAD_OWN;
  echo = jc_head_field (&conn->head, call->echo_name);
  if (strcmp (echo != NULL ? echo : "", call->echo_value) == 0)
    return HEAD_OWN;
  return echo != NULL && echo[0] != '\0' ? HEAD_FOREIGN : HEAD_UNNAMED;
}

/* Set the idle time-out of CONN from the Keep-Alive header of its answer, if
   there is one.  */
static void
read_keep_alive (struct httpc_conn *conn)
{
  const char *text = jc_head_field (&conn->head, "Keep-Alive");
  const char *timeout = text != NULL ? strstr (text, "timeout=") : NULL;
  long seconds;

  if (timeout == NULL)
    return;
  seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  conn->idle_timeout_ms = MAX (seconds * MS_PER_S - IDLE_MARGIN_MS, 0);
}

/* Return whether STATUS is one that HTTP has and that a request of this client
   may get: none asks for another protocol.  */
static bool
is_known_status (unsigned int status)
{
  return status >= STATUS_MIN && status <= STATUS_MAX
         && status != STATUS_SWITCHING;
}

/* Handle a complete head.  Interim answers and answers to earlier requests are
   skipped.  Return 1 if the answer has no body, -1 if its status isn't
   known, if there were too many such heads or if the final one names no
   request, else 0.  */
static int
on_head_end (http_parser *parser)
{
  struct httpc_conn *conn = parser->data;
  struct jc_httpc_call *call = conn->call;
  bool framed = parser->content_length != UINT64_MAX
                || (parser->flags & F_CHUNKED) != 0;
  bool bodiless = strcmp (call->method, "HEAD") == 0;
  enum head_owner owner;

  jc_head_build_end (&conn->build, parser);
  if (!is_known_status (parser->status_code))
    return -1;
  conn->head_done = true;
  owner = parser->status_code < 200 ? HEAD_FOREIGN : head_owner (conn);
  if (owner == HEAD_UNNAMED)
    {
      httpc_call_unnamed (call);
      return -1;
    }
  conn->skipping_message = owner == HEAD_FOREIGN;
  if (conn->skipping_message)
    return httpc_call_interim_head (call) ? 0 : -1;
  read_keep_alive (conn);
  bodiless
      = bodiless || parser->status_code == 204 || parser->status_code == 304;
  httpc_call_head (call, &conn->head, framed || bodiless);
  return bodiless ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct httpc_conn *conn = parser->data;

  if (!conn->skipping_message && conn->call != NULL)
    httpc_call_data (conn->call, (struct jc_str){ .data = at, .len = len });
  return 0;
}

/* Pause the parser after a message, so that bytes after it are left in the
   buffer.  */
static int
on_message_end (http_parser *parser)
{
  struct httpc_conn *conn = parser->data;

  conn->message_done = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_header_field = on_name,
        .on_header_value = on_value,
        .on_headers_complete = on_head_end,
        .on_body = on_body,
        .on_message_complete = on_message_end };

/* Prepare CONN to read the head of the next answer.  */
void
httpc_conn_reset_parser (struct httpc_conn *conn)
{
  jc_head_clear (&conn->head);
  conn->head_done = false;
  conn->skipping_message = false;
  conn->message_done = false;
  conn->scanned_bytes = 0;
  jc_chunks_init (&conn->chunks);
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  conn->parser.data = conn;
}

/* Record that CONN is established.  */
static void
conn_add_use (struct httpc_conn *conn)
{
  struct jc_httpc *httpc = conn->httpc;
  struct httpc_address *used
      = g_hash_table_lookup (httpc->used_addresses, conn->address);

  if (used == NULL)
    {
      used = g_new0 (struct httpc_address, 1);
      g_hash_table_insert (httpc->used_addresses, g_strdup (conn->address),
                           used);
    }
  used->open++;
  conn->connected_us = jc_now_us ();
  conn->since_us = conn->connected_us;
}

/* Record that the process at the other end of CONN was heard.  If it was heard
   over an earlier connection after CONN was established, that one shows for how
   long it has been the same: its end would have closed both.  */
static void
conn_note_heard (struct httpc_conn *conn)
{
  struct httpc_address *used
      = g_hash_table_lookup (conn->httpc->used_addresses, conn->address);

  if (used->heard_us > conn->connected_us)
    conn->since_us = MIN (conn->since_us, used->since_us);
  if (conn->connected_us < used->broken_us)
    used->broken_us = 0;
  used->since_us = conn->since_us;
  used->heard_us = jc_now_us ();
  conn->unanswered = false;
}

static gboolean
is_old_loss (gpointer address, gpointer lost_ms, gpointer now_ms)
{
  (void)address;
  return *(const int64_t *)now_ms - *(const int64_t *)lost_ms > LOST_KEEP_MS;
}

/* Record that the process at the address of CONN was lost.  */
static void
conn_note_lost (struct httpc_conn *conn)
{
  GHashTable *lost = conn->httpc->lost_addresses;
  int64_t now = jc_now_ms ();

  if (g_hash_table_size (lost) >= LOST_MAX)
    g_hash_table_foreach_remove (lost, is_old_loss, &now);
  g_hash_table_replace (lost, g_strdup (conn->address),
                        g_memdup2 (&now, sizeof now));
}

/* Record that CONN, which was established, closes.  If it is the last one and
   it or one before it broke or closes without an answer, the process is
   lost.  */
static void
conn_remove_use (struct httpc_conn *conn)
{
  GHashTable *addresses = conn->httpc->used_addresses;
  struct httpc_address *used = g_hash_table_lookup (addresses, conn->address);

  if (conn->broken || conn->unanswered)
    used->broken_us = jc_now_us ();
  if (--used->open > 0)
    return;
  if (used->broken_us > 0)
    conn_note_lost (conn);
  g_hash_table_remove (addresses, conn->address);
}

/* Record that no connection to the address of CONN came up.  If none is open,
   the process is lost.  */
void
httpc_conn_note_refused (struct httpc_conn *conn)
{
  if (!g_hash_table_contains (conn->httpc->used_addresses, conn->address))
    conn_note_lost (conn);
}

/* Close CONN.  It is freed in the next iteration of the loop.  */
void
httpc_conn_close (struct httpc_conn *conn)
{
  struct jc_httpc *httpc = conn->httpc;

  if (conn->closed)
    return;
  conn->closed = true;
  ev_io_stop (httpc->loop, &conn->reader);
  ev_io_stop (httpc->loop, &conn->writer);
  ev_timer_stop (httpc->loop, &conn->idle_timer);
  close (conn->fd);
  if (conn->connected)
    conn_remove_use (conn);
  if (conn->idle)
    {
      GQueue *queue = g_hash_table_lookup (httpc->idle_conns, conn->address);

      g_queue_remove (queue, conn);
      conn->idle = false;
    }
  g_ptr_array_add (httpc->dead_conns, conn);
  httpc_schedule_reap (httpc);
}

/* Close CONN and drop what the kernel has not delivered yet of the request of
   its call, which has ended.  After an ordinary close a request that a silent
   link held back would still arrive once the link is back.  */
void
httpc_conn_abort (struct httpc_conn *conn)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (!conn->closed)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  httpc_conn_close (conn);
}

/* Free CONN, which must be closed.  */
void
httpc_conn_free (struct httpc_conn *conn)
{
  jc_head_clear (&conn->head);
  g_string_free (conn->in, TRUE);
  jc_buffered_set (&conn->buffered, 0);
  g_free (conn->address);
  g_free (conn);
}

/* Fail the call of CONN with STATUS and MESSAGE, or close CONN if it has
   none.  */
static void
conn_fail (struct httpc_conn *conn, enum jc_status status, const char *message)
{
  if (conn->call != NULL)
    httpc_call_failed (conn->call, status, message);
  else
    httpc_conn_close (conn);
}

/* Put CONN among the idle connections for use by later calls.  */
static void
conn_keep_idle (struct httpc_conn *conn)
{
  struct jc_httpc *httpc = conn->httpc;
  GQueue *queue = g_hash_table_lookup (httpc->idle_conns, conn->address);

  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (httpc->idle_conns, g_strdup (conn->address), queue);
    }
  g_queue_push_head (queue, conn);
  conn->idle = true;
  ev_timer_stop (httpc->loop, &conn->idle_timer);
  ev_timer_set (&conn->idle_timer, (double)conn->idle_timeout_ms / MS_PER_S, 0);
  ev_timer_start (httpc->loop, &conn->idle_timer);
}

/* Handle a complete answer.  The connection is kept for reuse only if the
   request was sent completely and nothing follows the answer.  */
static void
conn_answer_complete (struct httpc_conn *conn)
{
  struct jc_httpc_call *call = conn->call;
  bool clean = conn->in->len == 0 && conn->out_pos == call->request->len;
  bool keep = clean && !call->own_connection && conn->idle_timeout_ms > 0
              && conn->head.keep_alive && !call->ended;

  if (keep)
    conn_keep_idle (conn);
  httpc_call_complete (call);
}

/* Return whether the first PARSED bytes of the input of CONN frame the body
   correctly.  Only chunked bodies are checked.  */
static bool
body_framing_is_valid (struct httpc_conn *conn, size_t parsed)
{
  if ((conn->parser.flags & F_CHUNKED) == 0)
    return true;
  return jc_chunks_feed (
      &conn->chunks, (struct jc_str){ .data = conn->in->str, .len = parsed });
}

/* Parse the input of CONN.  Return true if another message may be in it.  */
static bool
conn_parse (struct httpc_conn *conn)
{
  size_t parsed = 0;
  enum http_errno error;
  bool valid;

  if (!conn->head_done)
    {
      ssize_t len = jc_head_find_end (jc_str_from_gstring (conn->in),
                                      &conn->scanned_bytes);
      struct jc_str bytes = { .data = conn->in->str, .len = (size_t)len };

      if (len < 0 && conn->in->len <= jc_buffers_limit (HEAD_BYTES_MAX))
        return false;
      if (len < 0 || !jc_head_is_well_formed (bytes))
        {
          conn_fail (conn, JC_ENDPOINT_FAILED, "The answer's head is invalid.");
          return false;
        }
      jc_head_init (&conn->head, bytes);
      conn->build = (struct jc_head_build){ .head = &conn->head };
      parsed = http_parser_execute (&conn->parser, &parser_settings,
                                    conn->head.bytes, bytes.len);
      error = HTTP_PARSER_ERRNO (&conn->parser);
      if (conn->call == NULL || conn->closed)
        return false;
      if ((error != HPE_OK && error != HPE_PAUSED)
          || (parsed < bytes.len && !conn->message_done)
          || !jc_head_has_clear_length (&conn->head))
        {
          conn_fail (conn, JC_ENDPOINT_FAILED, "The answer's head is invalid.");
          return false;
        }
      g_string_erase (conn->in, 0, (gssize)bytes.len);
    }
  if (!conn->message_done && conn->in->len > 0)
    {
      parsed = http_parser_execute (&conn->parser, &parser_settings,
                                    conn->in->str, conn->in->len);
      error = HTTP_PARSER_ERRNO (&conn->parser);
      if (conn->call == NULL || conn->closed)
        return false;
      valid = body_framing_is_valid (conn, MIN (parsed, conn->in->len));
      g_string_erase (conn->in, 0, (gssize)parsed);
      if (!valid || (error != HPE_OK && error != HPE_PAUSED))
        {
          conn_fail (conn, JC_ENDPOINT_FAILED, "The answer's body is invalid.");
          return false;
        }
    }
  if (!conn->message_done)
    return false;
  if (!conn->skipping_message)
    {
      conn_answer_complete (conn);
      return false;
    }
  httpc_conn_reset_parser (conn);
  return conn->in->len > 0;
}

/* Free what the input buffer of CONN took if that is empty, and report what it
   takes.  */
static void
conn_trim_input (struct httpc_conn *conn)
{
  if (conn->in->len == 0 && conn->in->allocated_len > IN_BUFFER_KEPT_BYTES)
    {
      g_string_free (conn->in, TRUE);
      conn->in = g_string_new (NULL);
    }
  jc_buffered_set (&conn->buffered, conn->in->allocated_len);
}

/* Handle that the server closed its side.  This completes an answer without a
   length; any other answer is cut.  */
static void
conn_handle_eof (struct httpc_conn *conn)
{
  struct jc_httpc_call *call = conn->call;

  if (call != NULL && conn->head_done && !conn->skipping_message
      && !conn->message_done && !call->framed)
    {
      conn->head.keep_alive = false;
      httpc_call_complete (call);
      return;
    }
  conn_fail (conn, JC_ENDPOINT_FAILED, "The endpoint closed the connection.");
}

/* Return whether ERROR, an errno, says that not even the peer's host
   answers.  */
static bool
is_unreachable_error (int error)
{
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static char bytes[READ_BYTES];
  struct httpc_conn *conn = watcher->data;
  ssize_t received = recv (conn->fd, bytes, jc_buffers_limit (READ_BYTES), 0);

  (void)loop;
  (void)events;
  if (received > 0)
    g_string_append_len (conn->in, bytes, received);
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (conn->call == NULL)
    {
      /* The server closed the idle connection or sent bytes that answer no
         request.  */
      conn->broken = received <= 0;
      httpc_conn_close (conn);
      return;
    }
  conn->broken = received <= 0;
  if (received == 0 && conn->write_error != 0)
    {
      errno = conn->write_error;
      received = -1;
    }
  conn->call->host_unreachable = received < 0 && is_unreachable_error (errno);
  if (received < 0)
    conn_fail (conn, JC_ENDPOINT_FAILED, "The connection was reset.");
  else if (received == 0)
    conn_handle_eof (conn);
  else if (conn->call->reused && !conn->call->sent)
    conn_fail (conn, JC_ENDPOINT_FAILED,
               "Bytes came before the request was sent.");
  else
    {
      conn_note_heard (conn);
      while (httpc_call_bytes_received (conn->call, (size_t)received)
             && conn_parse (conn))
        received = 0;
      conn_trim_input (conn);
    }
}

/* Write the rest of the request of CONN until the socket takes no more.  */
static void
conn_write (struct httpc_conn *conn)
{
  struct jc_httpc_call *call = conn->call;
  GString *out = call->request;

  while (conn->out_pos < out->len)
    {
      ssize_t written = send (conn->fd, out->str + conn->out_pos,
                              out->len - conn->out_pos, MSG_NOSIGNAL);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0 && errno == EAGAIN)
        {
          ev_io_start (conn->httpc->loop, &conn->writer);
          return;
        }
      if (written < 0)
        {
          /* The answer that the server sent before it closed may still be
             read.  Unless it closed in order, the end of what is read isn't
             the end of that: the error is reported only once.  */
          conn->broken = true;
          conn->write_error = errno != EPIPE ? errno : 0;
          ev_io_stop (conn->httpc->loop, &conn->writer);
          if (!call->sent)
            conn_fail (conn, JC_ENDPOINT_FAILED, "The connection was reset.");
          return;
        }
      conn->unanswered = true;
      if (conn->out_pos == 0 && written > 0)
        httpc_call_sent (call);
      conn->out_pos += (size_t)written;
    }
  ev_io_stop (conn->httpc->loop, &conn->writer);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct httpc_conn *conn = watcher->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)loop;
  (void)events;
  if (!conn->connected)
    {
      if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0)
        {
          conn->call->host_unreachable = is_unreachable_error (error);
          httpc_conn_note_refused (conn);
          conn_fail (conn, JC_UNREACHABLE, "No connection came up.");
          return;
        }
      conn->connected = true;
      conn_add_use (conn);
      ev_io_start (conn->httpc->loop, &conn->reader);
      httpc_call_connected (conn->call);
    }
  conn_write (conn);
}

/* Handle what has come on CONN or that it is established, whether or not the
   loop has reported it: an iteration reports a limited number of sockets, and
   none after the process was stopped.  */
void
httpc_conn_take_input (struct httpc_conn *conn)
{
  struct pollfd ready = { .fd = conn->fd, .events = POLLOUT };

  if (ev_is_active (&conn->reader))
    on_readable (conn->httpc->loop, &conn->reader, EV_READ);
  else if (!conn->connected && ev_is_active (&conn->writer)
           && poll (&ready, 1, 0) > 0)
    on_writable (conn->httpc->loop, &conn->writer, EV_WRITE);
}

/* Close a connection that was idle for too long, or report a connect that
   failed at once (see httpc_conn_open).  */
static void
on_idle_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct httpc_conn *conn = watcher->data;

  (void)loop;
  (void)events;
  if (conn->call != NULL)
    {
      httpc_conn_note_refused (conn);
      conn_fail (conn, JC_UNREACHABLE, "No connection came up.");
    }
  else
    httpc_conn_close (conn);
}

/* Set the TCP user timeout of FD to MS, 0 for the default.  */
static void
set_ack_timeout (int fd, long ms)
{
  unsigned int timeout = ms > 0 ? (unsigned int)ms : ACK_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static void
set_socket_options (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  set_ack_timeout (fd, 0);
}

/* Open a connection to ADDRESS, "IP:PORT", and return it before it is
   established.  A failure is reported from the loop.  */
struct httpc_conn *
httpc_conn_open (struct jc_httpc *httpc, const char *address)
{
  struct httpc_conn *conn = g_new0 (struct httpc_conn, 1);
  struct sockaddr_in addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool failed = fd < 0 || jc_address_parse (address, &addr) != JC_OK;

  httpc->connections_opened++;
  conn->httpc = httpc;
  conn->address = g_strdup (address);
  conn->fd = fd;
  conn->idle_timeout_ms = IDLE_TIMEOUT_MS;
  conn->in = g_string_new (NULL);
  ev_init (&conn->idle_timer, on_idle_timer);
  conn->idle_timer.data = conn;
  ev_io_init (&conn->reader, on_readable, fd, EV_READ);
  ev_io_init (&conn->writer, on_writable, fd, EV_WRITE);
  conn->reader.data = conn;
  conn->writer.data = conn;
  if (!failed)
    {
      set_socket_options (fd);
      failed = connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0
               && errno != EINPROGRESS;
    }
  if (failed)
    {
      ev_timer_set (&conn->idle_timer, 0, 0);
      ev_timer_start (httpc->loop, &conn->idle_timer);
    }
  else
    ev_io_start (httpc->loop, &conn->writer);
  return conn;
}

/* Make CALL the call of CONN and send its request.  */
void
httpc_conn_start_call (struct httpc_conn *conn, struct jc_httpc_call *call)
{
  conn->call = call;
  httpc_echoes_note (&conn->echoes, call->echo_value);
  conn->out_pos = 0;
  if (call->ack_timeout_ms > 0)
    set_ack_timeout (conn->fd, call->ack_timeout_ms);
  httpc_conn_reset_parser (conn);
  /* The request is sent from the loop, so that no callback runs before
     jc_httpc_call_start returns.  */
  if (conn->connected)
    ev_io_start (conn->httpc->loop, &conn->writer);
}

/* Stop or resume reading from CONN.  */
void
httpc_conn_pause (struct httpc_conn *conn, bool paused)
{
  if (paused)
    ev_io_stop (conn->httpc->loop, &conn->reader);
  else if (conn->connected && !conn->closed)
    ev_io_start (conn->httpc->loop, &conn->reader);
}
