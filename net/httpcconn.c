/* HTTP client task: one connection to a server, and those kept idle.  */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/httpcprivate.h"

enum
{
  READ_BYTES = 64 * 1024,
  HEAD_BYTES_MAX = 64 * 1024,
  /* Idle time after which a connection is closed where the server names
     none, and what is taken off the time that it names.  */
  KEEP_MS = 10000,
  KEEP_MARGIN_MS = 1000,
  /* A server that acknowledges nothing for so long is gone.  */
  USER_TIMEOUT_MS = 5000,
  MS_PER_S = 1000
};

static int
on_name (http_parser *parser, const char *at, size_t len)
{
  struct link *link = parser->data;

  jc_head_build_name (&link->build, at, len);
  return link->build.overflow ? 1 : 0;
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  struct link *link = parser->data;

  jc_head_build_value (&link->build, at, len);
  return 0;
}

/* Tell whether the head belongs to the request that LINK carries.  */
static bool
is_echoed (const struct link *link)
{
  const struct jc_httpc_call *call = link->call;
  const char *echo;

  if (call->echo_name == NULL)
    return true;
  echo = jc_head_field (&link->head, call->echo_name);
  return echo == NULL || strcmp (echo, call->echo_value) == 0;
}

static void
take_keep_alive (struct link *link)
{
  const char *text = jc_head_field (&link->head, "Keep-Alive");
  const char *timeout = text != NULL ? strstr (text, "timeout=") : NULL;
  long seconds;

  if (timeout == NULL)
    return;
  seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  link->idle_timeout_ms = MAX (seconds * MS_PER_S - KEEP_MARGIN_MS, 0);
}

/* A head is read: an informational one and one of an earlier request are
   skipped.  Return 1 where the parser must expect no body.  */
static int
on_head_end (http_parser *parser)
{
  struct link *link = parser->data;
  struct jc_httpc_call *call = link->call;
  bool framed = parser->content_length != UINT64_MAX
                || (parser->flags & F_CHUNKED) != 0;
  bool bodiless = strcmp (call->method, "HEAD") == 0;

  jc_head_build_end (&link->build, parser);
  link->head_done = true;
  link->skipping_message = parser->status_code < 200 || !is_echoed (link);
  if (link->skipping_message)
    return httpc_call_interim_head (call) ? 0 : -1;
  take_keep_alive (link);
  bodiless
      = bodiless || parser->status_code == 204 || parser->status_code == 304;
  httpc_call_head (call, &link->head, framed || bodiless);
  return bodiless ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct link *link = parser->data;

  if (!link->skipping_message && link->call != NULL)
    httpc_call_data (link->call, (struct jc_str){ .data = at, .len = len });
  return 0;
}

static int
on_message_end (http_parser *parser)
{
  struct link *link = parser->data;

  link->message_done = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_header_field = on_name,
        .on_header_value = on_value,
        .on_headers_complete = on_head_end,
        .on_body = on_body,
        .on_message_complete = on_message_end };

/* Make LINK ready for the next head.  */
void
httpc_conn_reset_parser (struct link *link)
{
  jc_head_clear (&link->head);
  link->head_done = false;
  link->skipping_message = false;
  link->message_done = false;
  link->scanned_bytes = 0;
  jc_chunks_init (&link->chunks);
  http_parser_init (&link->parser, HTTP_RESPONSE);
  link->parser.data = link;
}

/* Close LINK; it is freed at the next turn.  */
void
httpc_conn_close (struct link *link)
{
  struct jc_httpc *httpc = link->httpc;

  if (link->closed)
    return;
  link->closed = true;
  ev_io_stop (httpc->loop, &link->reader);
  ev_io_stop (httpc->loop, &link->writer);
  ev_timer_stop (httpc->loop, &link->idle_timer);
  close (link->fd);
  if (link->idle)
    {
      GQueue *queue = g_hash_table_lookup (httpc->idle_conns, link->address);

      g_queue_remove (queue, link);
      link->idle = false;
    }
  g_ptr_array_add (httpc->dead_conns, link);
  httpc_schedule_reap (httpc);
}

/* Free LINK, which was closed.  */
void
httpc_conn_free (struct link *link)
{
  jc_head_clear (&link->head);
  g_string_free (link->in, TRUE);
  g_free (link->address);
  g_free (link);
}

static void
link_fail (struct link *link, enum jc_status status, const char *message)
{
  if (link->call != NULL)
    httpc_call_failed (link->call, status, message);
  else
    httpc_conn_close (link);
}

/* Keep LINK for further calls.  */
static void
link_keep (struct link *link)
{
  struct jc_httpc *httpc = link->httpc;
  GQueue *queue = g_hash_table_lookup (httpc->idle_conns, link->address);

  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (httpc->idle_conns, g_strdup (link->address), queue);
    }
  g_queue_push_head (queue, link);
  link->idle = true;
  link->reused = true;
  ev_timer_stop (httpc->loop, &link->idle_timer);
  ev_timer_set (&link->idle_timer, (double)link->idle_timeout_ms / MS_PER_S, 0);
  ev_timer_start (httpc->loop, &link->idle_timer);
}

/* The answer is whole.  The connection is kept only where both sides have
   nothing left to say on it.  */
static void
link_whole (struct link *link)
{
  struct jc_httpc_call *call = link->call;
  bool clean = link->in->len == 0 && link->out_pos == call->request->len;
  bool keep = clean && !call->own_connection && link->idle_timeout_ms > 0
              && link->head.keep_alive && !call->ended;

  if (keep)
    link_keep (link);
  httpc_call_complete (call);
}

/* Tell whether the first USED bytes of IN frame the body as they must.  */
static bool
body_is_strict (struct link *link, size_t used)
{
  if ((link->parser.flags & F_CHUNKED) == 0)
    return true;
  return jc_chunks_feed (&link->chunks,
                         (struct jc_str){ .data = link->in->str, .len = used });
}

/* Run the parser over IN.  Return whether it may go on.  */
static bool
link_parse (struct link *link)
{
  size_t used = 0;
  enum http_errno error;
  bool strict;

  if (!link->head_done)
    {
      ssize_t len = jc_head_find_end (jc_str_from_gstring (link->in),
                                      &link->scanned_bytes);
      struct jc_str bytes = { .data = link->in->str, .len = (size_t)len };

      if (len < 0 && link->in->len <= HEAD_BYTES_MAX)
        return false;
      if (len < 0 || !jc_head_is_well_formed (bytes))
        {
          link_fail (link, JC_ENDPOINT_FAILED, "The answer's head is invalid.");
          return false;
        }
      jc_head_init (&link->head, bytes);
      link->build = (struct jc_head_build){ .head = &link->head };
      used = http_parser_execute (&link->parser, &parser_settings,
                                  link->head.bytes, bytes.len);
      error = HTTP_PARSER_ERRNO (&link->parser);
      if (link->call == NULL || link->closed)
        return false;
      if ((error != HPE_OK && error != HPE_PAUSED)
          || (used < bytes.len && !link->message_done)
          || !jc_head_has_clear_length (&link->head))
        {
          link_fail (link, JC_ENDPOINT_FAILED, "The answer's head is invalid.");
          return false;
        }
      g_string_erase (link->in, 0, (gssize)bytes.len);
    }
  if (!link->message_done && link->in->len > 0)
    {
      used = http_parser_execute (&link->parser, &parser_settings,
                                  link->in->str, link->in->len);
      error = HTTP_PARSER_ERRNO (&link->parser);
      if (link->call == NULL || link->closed)
        return false;
      strict = body_is_strict (link, MIN (used, link->in->len));
      g_string_erase (link->in, 0, (gssize)used);
      if (!strict || (error != HPE_OK && error != HPE_PAUSED))
        {
          link_fail (link, JC_ENDPOINT_FAILED, "The answer's body is invalid.");
          return false;
        }
    }
  if (!link->message_done)
    return false;
  if (!link->skipping_message)
    {
      link_whole (link);
      return false;
    }
  httpc_conn_reset_parser (link);
  return link->in->len > 0;
}

/* The server closed its side.  An answer without a length ends so.  */
static void
link_on_eof (struct link *link)
{
  struct jc_httpc_call *call = link->call;

  if (call != NULL && link->head_done && !link->skipping_message
      && !link->message_done && !call->framed)
    {
      link->head.keep_alive = false;
      httpc_call_complete (call);
      return;
    }
  link_fail (link, JC_ENDPOINT_FAILED, "The endpoint closed the connection.");
}

/* Tell whether ERROR says that not even the peer's host answers.  */
static bool
is_host_silent (int error)
{
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  gsize at = link->in->len;
  ssize_t got;

  (void)loop;
  (void)events;
  g_string_set_size (link->in, at + READ_BYTES);
  got = recv (link->fd, link->in->str + at, READ_BYTES, 0);
  g_string_set_size (link->in, at + (got > 0 ? (gsize)got : 0));
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (link->call == NULL)
    {
      /* Closed while idle, or bytes that belong to no request.  */
      httpc_conn_close (link);
      return;
    }
  link->call->host_unreachable = got < 0 && is_host_silent (errno);
  if (got < 0)
    link_fail (link, JC_ENDPOINT_FAILED, "The connection was reset.");
  else if (got == 0)
    link_on_eof (link);
  else
    {
      while (httpc_call_bytes_received (link->call, (size_t)got)
             && link_parse (link))
        got = 0;
    }
}

static void
link_write (struct link *link)
{
  struct jc_httpc_call *call = link->call;
  GString *out = call->request;

  while (link->out_pos < out->len)
    {
      ssize_t put = send (link->fd, out->str + link->out_pos,
                          out->len - link->out_pos, MSG_NOSIGNAL);

      if (put < 0 && errno == EINTR)
        continue;
      if (put < 0 && errno == EAGAIN)
        {
          ev_io_start (link->httpc->loop, &link->writer);
          return;
        }
      if (put < 0)
        {
          /* What the server said before it closed may still be read.  */
          ev_io_stop (link->httpc->loop, &link->writer);
          if (!call->sent)
            link_fail (link, JC_ENDPOINT_FAILED, "The connection was reset.");
          return;
        }
      link->out_pos += (size_t)put;
      httpc_call_bytes_sent (call);
    }
  ev_io_stop (link->httpc->loop, &link->writer);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)loop;
  (void)events;
  if (!link->connected)
    {
      if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error != 0)
        {
          link->call->host_unreachable = is_host_silent (error);
          link_fail (link, JC_UNREACHABLE, "No connection came up.");
          return;
        }
      link->connected = true;
      ev_io_start (link->httpc->loop, &link->reader);
      httpc_call_connected (link->call);
    }
  link_write (link);
}

static void
on_expiry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct link *link = watcher->data;

  (void)loop;
  (void)events;
  if (link->call != NULL)
    link_fail (link, JC_UNREACHABLE, "No connection came up.");
  else
    httpc_conn_close (link);
}

/* Return the latest kept connection to ADDRESS, or NULL.  */
struct link *
httpc_conn_take_idle (struct jc_httpc *httpc, const char *address)
{
  GQueue *queue = g_hash_table_lookup (httpc->idle_conns, address);
  struct link *link = queue != NULL ? g_queue_pop_head (queue) : NULL;

  if (link == NULL)
    return NULL;
  link->idle = false;
  ev_timer_stop (httpc->loop, &link->idle_timer);
  return link;
}

static void
set_ack_time (int fd, long ms)
{
  unsigned int timeout = ms > 0 ? (unsigned int)ms : USER_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static void
link_set_options (int fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  set_ack_time (fd, 0);
}

/* Open a connection to ADDRESS, "IP:PORT".  One that can't come up fails at
   the next turn.  */
struct link *
httpc_conn_open (struct jc_httpc *httpc, const char *address)
{
  struct link *link = g_new0 (struct link, 1);
  struct sockaddr_in addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool failed = fd < 0 || jc_address_parse (address, &addr) != JC_OK;

  httpc->connections_opened++;
  link->httpc = httpc;
  link->address = g_strdup (address);
  link->fd = fd;
  link->idle_timeout_ms = KEEP_MS;
  link->in = g_string_new (NULL);
  ev_init (&link->idle_timer, on_expiry);
  link->idle_timer.data = link;
  ev_io_init (&link->reader, on_readable, fd, EV_READ);
  ev_io_init (&link->writer, on_writable, fd, EV_WRITE);
  link->reader.data = link;
  link->writer.data = link;
  if (!failed)
    {
      link_set_options (fd);
      failed = connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0
               && errno != EINPROGRESS;
    }
  if (failed)
    {
      ev_timer_set (&link->idle_timer, 0, 0);
      ev_timer_start (httpc->loop, &link->idle_timer);
    }
  else
    ev_io_start (httpc->loop, &link->writer);
  return link;
}

/* Have LINK carry CALL.  */
void
httpc_conn_start_call (struct link *link, struct jc_httpc_call *call)
{
  link->call = call;
  link->out_pos = 0;
  if (call->ack_timeout_ms > 0)
    set_ack_time (link->fd, call->ack_timeout_ms);
  httpc_conn_reset_parser (link);
  /* The request leaves from the loop, so that no event comes before the
     caller has the call.  */
  if (link->connected)
    ev_io_start (link->httpc->loop, &link->writer);
}

/* Stop or go on reading.  */
void
httpc_conn_pause (struct link *link, bool paused)
{
  if (paused)
    ev_io_stop (link->httpc->loop, &link->reader);
  else if (link->connected && !link->closed)
    ev_io_start (link->httpc->loop, &link->reader);
}
