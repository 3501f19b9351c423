/* HTTP server: the input of a connection, parsed into requests.  */

#include <string.h>

#include "net/httpdprivate.h"

enum
{
  /* Limit on bytes of blank lines before a request; RFC 9112, 2.2 asks servers
     to ignore at least one such line.  */
  BLANK_BYTES_MAX = 16,
  /* Bytes of a body that restart its time-out: about one TCP window of a slow
     connection.  */
  BODY_BLOCK_BYTES = 16 * 1024,
  /* A body is kept until its request ends, and copied to be sent on.  */
  BODY_COPIES = 2
};

/* Answer the current input of CONN with STATUS and the last message, and close
   CONN after that.  */
void
httpd_in_reject (struct httpd_conn *conn, enum jc_status status)
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
parse_head (struct httpd_conn *conn, size_t len)
{
  struct jc_str bytes = { .data = conn->in->str, .len = len };
  struct jc_http_req *req;
  enum jc_status status = JC_OK;
  size_t parsed;

  if (!jc_head_is_well_formed (bytes))
    {
      jc_fail (JC_BAD_REQUEST, "The head has a malformed line.");
      httpd_in_reject (conn, JC_BAD_REQUEST);
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
      httpd_in_reject (conn, status);
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
        httpd_conn_set_deadline (conn, conn->httpd->limits.body_timeout_ms);
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
      httpd_conn_set_deadline (conn, conn->httpd->limits.body_timeout_ms);
    }
}

/* Parse the input of CONN as the body of its request.  */
static void
parse_body (struct httpd_conn *conn)
{
  size_t parsed;

  if (conn->in->len == 0 || conn->body_done)
    return;
  parsed = http_parser_execute (&conn->parser, &parser_settings, conn->in->str,
                                conn->in->len);
  if (!body_framing_is_valid (conn, MIN (parsed, conn->in->len)))
    {
      jc_fail (JC_BAD_REQUEST, "The chunks of the body are malformed.");
      httpd_in_reject (conn, JC_BAD_REQUEST);
      return;
    }
  g_string_erase (conn->in, 0, (gssize)parsed);
  note_body_bytes (conn, parsed);
  if (HTTP_PARSER_ERRNO (&conn->parser) == HPE_OK
      || HTTP_PARSER_ERRNO (&conn->parser) == HPE_PAUSED)
    return;
  if (HTTP_PARSER_ERRNO (&conn->parser) == HPE_CB_body)
    {
      httpd_in_reject (conn, conn->no_room ? JC_OVERLOADED : JC_TOO_LARGE);
      return;
    }
  jc_fail (JC_BAD_REQUEST, "The body can't be read: %s.",
           http_errno_description (HTTP_PARSER_ERRNO (&conn->parser)));
  httpd_in_reject (conn, JC_BAD_REQUEST);
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
start_request (struct httpd_conn *conn)
{
  struct jc_str bytes;
  ssize_t len;

  if (!skip_blank_lines (conn))
    {
      jc_fail (JC_BAD_REQUEST, "Over %d bytes of blank lines.",
               (int)BLANK_BYTES_MAX);
      httpd_in_reject (conn, JC_BAD_REQUEST);
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
      parse_head (conn, (size_t)len);
      return true;
    }
  if (len > 0 || conn->in->len > conn->httpd->limits.max_head_bytes)
    {
      jc_fail (JC_HEAD_TOO_LARGE, "The head is over %zu bytes.",
               conn->httpd->limits.max_head_bytes);
      httpd_in_reject (conn, JC_HEAD_TOO_LARGE);
      return false;
    }
  if (!conn->head_begun)
    {
      conn->head_begun = true;
      httpd_conn_set_deadline (conn, conn->httpd->limits.head_timeout_ms);
    }
  return false;
}

/* Process the input of CONN as far as possible.  */
void
httpd_in_process (struct httpd_conn *conn)
{
  while (!conn->closed && !conn->rejected && !conn->close_after)
    {
      if (conn->req == NULL && !start_request (conn))
        return;
      if (conn->closed || conn->req == NULL || conn->rejected)
        continue;
      if (conn->req->phase != REQ_READING)
        return;
      parse_body (conn);
      if (conn->closed || conn->rejected || conn->req == NULL)
        continue;
      if (!conn->body_done)
        return;
      conn->req->phase = REQ_OWNED;
      conn->httpd->klass->body (conn->httpd->ctx, conn->req);
    }
}
