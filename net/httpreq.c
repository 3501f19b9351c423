/* HTTP server task: requests as their owners see them, and their answers.  */

#include <jansson.h>
#include <string.h>

#include "net/httpdprivate.h"

enum
{
  MS_PER_S = 1000
};

/* Return a request under way on CONN.  */
struct jc_http_req *
http_req_new (struct httpd_conn *conn)
{
  struct jc_http_req *req = g_new0 (struct jc_http_req, 1);

  conn->httpd->open_requests++;
  req->httpd = conn->httpd;
  req->conn = conn;
  req->body = g_string_new (NULL);
  return req;
}

/* Free REQ.  */
void
http_req_free (struct jc_http_req *req)
{
  req->httpd->open_requests--;
  jc_head_clear (&req->head);
  if (req->decoded_arguments != NULL)
    g_ptr_array_free (req->decoded_arguments, TRUE);
  g_string_free (req->body, TRUE);
  g_free (req->path);
  g_free (req);
}

/* The connection of REQ went away: tell its owner, if it has one, and free
   it.  */
void
http_req_peer_closed (struct jc_http_req *req)
{
  bool owned = req->phase == REQ_OWNED || req->phase == REQ_STREAMING;

  req->phase = REQ_PEER_CLOSED;
  if (owned && req->httpd->klass->peer_closed != NULL)
    req->httpd->klass->peer_closed (req->httpd->ctx, req);
  http_req_free (req);
}

/* Return the head of REQ.  */
const struct jc_head *
jc_http_head (const struct jc_http_req *req)
{
  return &req->head;
}

/* Return the method of REQ, such as "GET".  */
const char *
jc_http_method (const struct jc_http_req *req)
{
  return req->head.method;
}

/* Return the path of REQ as it came, without its query.  */
const char *
jc_http_path (const struct jc_http_req *req)
{
  return req->path;
}

/* Return the path of REQ with its query, as they came.  */
const char *
jc_http_target (const struct jc_http_req *req)
{
  return req->head.target;
}

/* Return the header NAME of REQ, or NULL.  */
const char *
jc_http_header (const struct jc_http_req *req, const char *name)
{
  return jc_head_field (&req->head, name);
}

/* Return the query argument NAME of REQ, decoded, or NULL.  */
const char *
jc_http_query (const struct jc_http_req *req, const char *name)
{
  const char *query = strchr (req->head.target, '?');
  struct jc_str rest = jc_str_from_cstr (query != NULL ? query + 1 : "");
  struct jc_str item;

  while (rest.len > 0 && jc_str_cut (&rest, '&', &item))
    {
      struct jc_str key;
      char *text;

      jc_str_cut (&item, '=', &key);
      if (!jc_str_equal (key, jc_str_from_cstr (name)))
        continue;
      text = g_uri_unescape_segment (item.data, item.data + item.len, NULL);
      if (text == NULL)
        return NULL;
      if (req->decoded_arguments == NULL)
        ((struct jc_http_req *)req)->decoded_arguments
            = g_ptr_array_new_with_free_func (g_free);
      g_ptr_array_add (req->decoded_arguments, text);
      return text;
    }
  return NULL;
}

/* Return the body of REQ, valid until it is answered.  */
struct jc_str
jc_http_body (const struct jc_http_req *req)
{
  return jc_str_from_gstring (req->body);
}

/* Attach DATA of the owner to REQ.  */
void
jc_http_set_data (struct jc_http_req *req, void *data)
{
  req->data = data;
}

/* Return what the owner attached to REQ.  */
void *
jc_http_data (const struct jc_http_req *req)
{
  return req->data;
}

static const char *
reason_of (int http)
{
  return http_status_str ((enum http_status)http);
}

static void
write_head (struct jc_http_req *req, int http, const char *content_type,
            const struct jc_http_header *headers)
{
  GString *out = req->conn->out;

  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", http, reason_of (http));
  if (content_type != NULL)
    g_string_append_printf (out, "Content-Type: %s\r\n", content_type);
  for (; headers != NULL && headers->name != NULL; headers++)
    {
      g_string_append (out, headers->name);
      g_string_append (out, ": ");
      g_string_append (out, headers->value);
      g_string_append (out, "\r\n");
    }
  if (req->close_after || req->httpd->announce_close)
    {
      req->close_after = true;
      g_string_append (out, "Connection: close\r\n");
    }
  else if (req->head.before_http_1_1)
    g_string_append (out, "Connection: keep-alive\r\n");
}

/* The answer of REQ is whole in its connection's buffer, or breaks off
   there.  */
static void
req_end (struct jc_http_req *req)
{
  struct httpd_conn *conn = req->conn;

  req->phase = REQ_ANSWERED;
  conn->close_after = conn->close_after || req->close_after;
  httpd_conn_next_request (conn);
  http_req_free (req);
}

/* Answer REQ whole with BODY, which is copied.  HEADERS may be NULL.  REQ is
   no longer the caller's.  */
void
jc_http_reply (struct jc_http_req *req, int http, const char *content_type,
               struct jc_str body, const struct jc_http_header *headers)
{
  GString *out = req->conn->out;
  bool bodiless = http == 204 || http == 304 || http < 200;
  bool head_only
      = req->head.method != NULL && strcmp (req->head.method, "HEAD") == 0;

  write_head (req, http, content_type, headers);
  if (!bodiless)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body.len);
  g_string_append (out, "\r\n");
  if (!bodiless && !head_only)
    g_string_append_len (out, body.data, (gssize)body.len);
  req_end (req);
}

/* Answer REQ with the table row of STATUS as a JSON error.  RETRY_AFTER is
   the text of the header of that name, which stands for RETRY_AFTER_MS; NULL
   for none.  */
void
jc_http_fail_after (struct jc_http_req *req, enum jc_status status,
                    const char *message, const char *retry_after,
                    int64_t retry_after_ms)
{
  const struct jc_status_info *row = jc_status_info (status);
  struct jc_http_header headers[]
      = { { "X-Jaycove-Error", row->name },
          { "X-Jaycove-Run", jc_run_state_name (row->run) },
          { retry_after != NULL ? "Retry-After" : NULL, retry_after },
          { NULL, NULL } };
  json_t *error
      = json_pack ("{s:{s:s,s:s,s:s,s:s,s:I}}", "error", "kind", row->name,
                   "message", message, "run", jc_run_state_name (row->run),
                   "retry", jc_retry_rule_name (row->retry), "retry_after_ms",
                   (json_int_t)retry_after_ms);
  char *text = json_dumps (error, JSON_COMPACT);

  jc_http_reply (req, row->http_status, "application/json",
                 jc_str_from_cstr (text != NULL ? text : "{}"), headers);
  free (text);
  json_decref (error);
}

/* Answer REQ as jc_http_fail_after does.  RETRY_AFTER_MS is said, in whole
   seconds, where the row of STATUS has the caller come again later.  */
void
jc_http_fail (struct jc_http_req *req, enum jc_status status,
              const char *message, unsigned int retry_after_ms)
{
  bool later = jc_status_info (status)->retry == JC_RETRY_AFTER;
  unsigned int seconds = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;
  char text[16];

  g_snprintf (text, sizeof text, "%u", MAX (seconds, 1));
  jc_http_fail_after (req, status, message, later ? text : NULL,
                      retry_after_ms);
}

/* Begin an answer of unknown length to REQ.  */
void
jc_http_stream_begin (struct jc_http_req *req, int http,
                      const char *content_type,
                      const struct jc_http_header *headers)
{
  req->phase = REQ_STREAMING;
  req->chunked = !req->head.before_http_1_1;
  req->close_after = req->close_after || !req->chunked;
  write_head (req, http, content_type, headers);
  g_string_append (req->conn->out, req->chunked
                                       ? "Transfer-Encoding: chunked\r\n\r\n"
                                       : "\r\n");
  httpd_conn_schedule_flush (req->conn);
}

/* Append DATA to the stream of REQ.  What one turn of the loop appends leaves
   with one write.  */
void
jc_http_stream_write (struct jc_http_req *req, struct jc_str data)
{
  GString *out = req->conn->out;

  if (data.len == 0)
    return;
  if (req->chunked)
    {
      char size[24];
      int len = g_snprintf (size, sizeof size, "%zx\r\n", data.len);

      g_string_append_len (out, size, len);
    }
  g_string_append_len (out, data.data, (gssize)data.len);
  if (req->chunked)
    g_string_append_len (out, "\r\n", 2);
  httpd_conn_schedule_flush (req->conn);
}

/* Return the bytes of REQ's stream that the peer has not taken yet.  */
size_t
jc_http_stream_buffered (const struct jc_http_req *req)
{
  return req->conn->out->len - req->conn->out_pos;
}

/* End the stream of REQ: as a whole answer, or so that the peer sees that it
   is not.  REQ is no longer the caller's.  */
void
jc_http_stream_end (struct jc_http_req *req, bool whole)
{
  if (whole && req->chunked)
    g_string_append (req->conn->out, "0\r\n\r\n");
  req->close_after = req->close_after || !whole;
  if (!whole && !req->chunked)
    req->conn->reset_on_close = true;
  req_end (req);
}
