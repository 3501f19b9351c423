/* HTTP server: access to requests, and answers to them.  */

#include <jansson.h>
#include <string.h>

#include "net/httpdprivate.h"
#include "net/program.h"

enum
{
  MS_PER_S = 1000
};

/* Return a new request on CONN; free it with http_req_free.  */
struct jc_http_req *
http_req_new (struct httpd_conn *conn)
{
  struct jc_http_req *req = g_new0 (struct jc_http_req, 1);

  conn->httpd->open_requests++;
  req->httpd = conn->httpd;
  req->conn = conn;
  req->body = g_string_new (NULL);
  req->head_ms = jc_now_ms ();
  return req;
}

void
http_req_free (struct jc_http_req *req)
{
  req->httpd->open_requests--;
  jc_head_clear (&req->head);
  if (req->decoded_arguments != NULL)
    g_ptr_array_free (req->decoded_arguments, TRUE);
  g_string_free (req->body, TRUE);
  jc_buffered_set (&req->buffered, 0);
  g_free (req->path);
  g_free (req);
}

/* Handle that the connection of REQ was closed: tell its owner, if it has one,
   and free it.  */
void
http_req_peer_closed (struct jc_http_req *req)
{
  bool owned = req->phase == REQ_OWNED || req->phase == REQ_STREAMING;

  req->phase = REQ_PEER_CLOSED;
  if (owned && req->httpd->klass->peer_closed != NULL)
    req->httpd->klass->peer_closed (req->httpd->ctx, req);
  http_req_free (req);
}

/* Return the head of REQ, valid until it is answered.  */
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

/* Return the path of REQ as received, without its query.  */
const char *
jc_http_path (const struct jc_http_req *req)
{
  return req->path;
}

/* Return the path and query of REQ as received.  */
const char *
jc_http_target (const struct jc_http_req *req)
{
  return req->head.target;
}

/* Return the value of the first header NAME of REQ, or NULL.  */
const char *
jc_http_header (const struct jc_http_req *req, const char *name)
{
  return jc_head_field (&req->head, name);
}

/* Return the decoded value of the query argument NAME of REQ, valid until REQ
   is answered, or NULL if it is missing or not valid.  */
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

/* Return when the head of REQ was read, in ms of jc_now_ms.  */
int64_t
jc_http_head_ms (const struct jc_http_req *req)
{
  return req->head_ms;
}

/* Return the body of REQ, valid until it is answered.  */
struct jc_str
jc_http_body (const struct jc_http_req *req)
{
  return jc_str_from_gstring (req->body);
}

/* Attach DATA to REQ, which does not take ownership of it.  */
void
jc_http_set_data (struct jc_http_req *req, void *data)
{
  req->data = data;
}

/* Return the data that its owner attached to REQ, or NULL.  */
void *
jc_http_data (const struct jc_http_req *req)
{
  return req->data;
}

static const char *
reason_phrase (int http)
{
  return http_status_str ((enum http_status)http);
}

/* Return the value of the header that an answer to REQ with HEADERS must still
   repeat, or NULL.  */
static const char *
echo_value (const struct jc_http_req *req, const struct jc_http_header *headers)
{
  const char *name = req->httpd->echo_name;

  if (name == NULL)
    return NULL;
  for (; headers != NULL && headers->name != NULL; headers++)
    if (g_ascii_strcasecmp (headers->name, name) == 0)
      return NULL;
  return jc_head_field (&req->head, name);
}

/* Return whether the answer to REQ is the last one of its connection.  A
   listener that announces the end does so once no further request was begun:
   one that was read before must be answered.  */
static bool
is_last_answer (const struct jc_http_req *req)
{
  return req->close_after
         || (req->httpd->announce_close && req->conn->in->len == 0);
}

/* Append the head of an answer to REQ to the output, without a length and the
   final blank line.  */
static void
write_head (struct jc_http_req *req, int http, const char *content_type,
            const struct jc_http_header *headers)
{
  GString *out = req->conn->out;
  const char *echo = echo_value (req, headers);

  g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", http,
                          reason_phrase (http));
  if (echo != NULL)
    g_string_append_printf (out, "%s: %s\r\n", req->httpd->echo_name, echo);
  if (content_type != NULL)
    g_string_append_printf (out, "Content-Type: %s\r\n", content_type);
  for (; headers != NULL && headers->name != NULL; headers++)
    {
      g_string_append (out, headers->name);
      g_string_append (out, ": ");
      g_string_append (out, headers->value);
      g_string_append (out, "\r\n");
    }
  if (is_last_answer (req))
    {
      req->close_after = true;
      g_string_append (out, "Connection: close\r\n");
    }
  else if (req->head.before_http_1_1)
    g_string_append (out, "Connection: keep-alive\r\n");
}

/* Free REQ, whose answer is complete or aborted in the output of its
   connection.  */
static void
req_finish (struct jc_http_req *req)
{
  struct httpd_conn *conn = req->conn;

  req->phase = REQ_ANSWERED;
  conn->close_after = conn->close_after || req->close_after;
  httpd_conn_next_request (conn);
  http_req_free (req);
}

/* Answer REQ with status HTTP and BODY, which is copied.  HEADERS may be NULL.
   REQ must not be used afterwards.  */
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
  req_finish (req);
}

/* Answer REQ with STATUS and MESSAGE as a JSON error.  RETRY_AFTER is the
   value of the Retry-After header, NULL to send none; RETRY_AFTER_MS is the
   same delay for the body.  REQ must not be used afterwards.  */
void
jc_http_fail_after (struct jc_http_req *req, enum jc_status status,
                    const char *message, const char *retry_after,
                    int64_t retry_after_ms)
{
  const struct jc_status_info *info = jc_status_info (status);
  struct jc_http_header headers[]
      = { { "X-Jaycove-Error", info->name },
          { "X-Jaycove-Run", jc_run_state_name (info->run) },
          { retry_after != NULL ? "Retry-After" : NULL, retry_after },
          { NULL, NULL } };
  json_t *error
      = json_pack ("{s:{s:s,s:s,s:s,s:s,s:I}}", "error", "kind", info->name,
                   "message", message, "run", jc_run_state_name (info->run),
                   "retry", jc_retry_rule_name (info->retry), "retry_after_ms",
                   (json_int_t)retry_after_ms);
  char *text = json_dumps (error, JSON_COMPACT);

  jc_http_reply (req, info->http_status, "application/json",
                 jc_str_from_cstr (text != NULL ? text : "{}"), headers);
  free (text);
  json_decref (error);
}

/* Have a refusal of REQ by jc_http_fail carry RETRY_AFTER, which stands for
   RETRY_AFTER_MS, as Retry-After.  */
void
jc_http_set_retry_after (struct jc_http_req *req, const char *retry_after,
                         int64_t retry_after_ms)
{
  g_strlcpy (req->retry_after, retry_after, sizeof req->retry_after);
  req->retry_after_ms = retry_after_ms;
}

/* Answer REQ as jc_http_fail_after does, with what jc_http_set_retry_after
   set.  If that is nothing and STATUS asks the caller to retry
   later, RETRY_AFTER_MS is sent as Retry-After, rounded up to whole seconds
   and at least one.  */
void
jc_http_fail (struct jc_http_req *req, enum jc_status status,
              const char *message, unsigned int retry_after_ms)
{
  bool sends_retry_after = jc_status_info (status)->retry == JC_RETRY_AFTER;
  unsigned int seconds = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;
  char text[16];

  if (req->retry_after[0] != '\0')
    {
      jc_http_fail_after (req, status, message, req->retry_after,
                          req->retry_after_ms);
      return;
    }
  g_snprintf (text, sizeof text, "%u", MAX (seconds, 1));
  jc_http_fail_after (req, status, message, sends_retry_after ? text : NULL,
                      retry_after_ms);
}

/* Begin a streamed answer to REQ with status HTTP.  HEADERS may be NULL.  */
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

/* Append DATA to the stream of REQ.  What is appended in one iteration of the
   loop is sent with one write.  */
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

/* Return how many bytes of the stream of REQ wait to be sent.  */
size_t
jc_http_stream_buffered (const struct jc_http_req *req)
{
  return req->conn->out->len - req->conn->out_pos;
}

/* End the stream of REQ.  If it is not COMPLETE the connection is closed so
   that the peer sees that the answer is cut.  REQ must not be used
   afterwards.  */
void
jc_http_stream_end (struct jc_http_req *req, bool complete)
{
  if (complete && req->chunked)
    g_string_append (req->conn->out, "0\r\n\r\n");
  if (!complete)
    httpd_loss_log_cut (req);
  req->close_after = req->close_after || !complete;
  if (!complete && !req->chunked)
    req->conn->reset_on_close = true;
  req_finish (req);
}
