/* HTTP server task.  */

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "net/address.h"
#include "net/httpd.h"

enum
{
  HEADER_MEMORY_BYTES = 32 * 1024,
  STREAM_BLOCK_BYTES = 16 * 1024,
  STREAM_LOW_BYTES = 64 * 1024,
  IDLE_TIMEOUT_S = 120,
  CONNECTIONS_MAX = 20000,
  MS_PER_S = 1000
};

struct jc_httpd
{
  struct ev_loop *loop;
  const struct jc_httpd_class *klass;
  void *ctx;
  size_t max_body;
  struct MHD_Daemon *daemon;
  ev_io epoll;
  ev_timer timer;
  ev_prepare prepare;
  GHashTable *suspended;
  bool run_wanted;
  unsigned int requests;
  int port;
};

enum req_phase
{
  REQ_READING,
  REQ_OWNED,
  REQ_ANSWERED,
  REQ_STREAMING,
  REQ_STREAM_WHOLE,
  REQ_STREAM_BROKEN,
  REQ_GONE
};

struct jc_http_req
{
  struct jc_httpd *httpd;
  struct MHD_Connection *conn;
  const char *method;
  char *path;
  char *target;
  GPtrArray *decoded;
  GString *body;
  struct MHD_Response *response;
  unsigned int http;
  GString *out;
  size_t out_pos;
  void *data;
  ev_io watch;
  enum req_phase phase;
  bool suspended;
  bool queued;
  bool refused;
};

static void
httpd_run (struct jc_httpd *httpd)
{
  httpd->run_wanted = false;
  MHD_run (httpd->daemon);
}

static void
httpd_on_epoll (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_run (watcher->data);
}

static void
httpd_on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_run (watcher->data);
}

/* Run the daemon after resumed connections and arm its timer before the loop
   blocks.  */
static void
httpd_on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct jc_httpd *httpd = watcher->data;
  MHD_UNSIGNED_LONG_LONG ms;

  (void)events;
  while (httpd->run_wanted)
    httpd_run (httpd);
  ev_timer_stop (loop, &httpd->timer);
  if (MHD_get_timeout (httpd->daemon, &ms) == MHD_YES)
    {
      ev_timer_set (&httpd->timer, (double)ms / MS_PER_S, 0);
      ev_timer_start (loop, &httpd->timer);
    }
}

static void
req_resume (struct jc_http_req *req)
{
  if (!req->suspended)
    return;
  req->suspended = false;
  g_hash_table_remove (req->httpd->suspended, req);
  ev_io_stop (req->httpd->loop, &req->watch);
  MHD_resume_connection (req->conn);
  req->httpd->run_wanted = true;
}

static void
req_tell_gone (struct jc_http_req *req)
{
  bool owned = req->phase == REQ_OWNED || req->phase == REQ_STREAMING;

  if (!owned)
    return;
  req->phase = REQ_GONE;
  if (req->httpd->klass->gone != NULL)
    req->httpd->klass->gone (req->httpd->ctx, req);
}

/* A suspended connection became readable: either its peer closed it or sent
   a further request, which waits.  */
static void
req_on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_http_req *req = watcher->data;
  char byte;
  ssize_t got = recv (watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (loop, watcher);
  if (got > 0)
    return;
  req_tell_gone (req);
  req_resume (req);
}

static void
req_suspend (struct jc_http_req *req)
{
  const union MHD_ConnectionInfo *info;

  if (req->suspended)
    return;
  info = MHD_get_connection_info (req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  req->suspended = true;
  g_hash_table_add (req->httpd->suspended, req);
  MHD_suspend_connection (req->conn);
  ev_io_set (&req->watch, info->connect_fd, EV_READ);
  ev_io_start (req->httpd->loop, &req->watch);
}

static void
req_stop_watch (struct jc_http_req *req)
{
  ev_io_stop (req->httpd->loop, &req->watch);
}

static enum MHD_Result
req_queue (struct jc_http_req *req)
{
  enum MHD_Result result;

  req->queued = true;
  result = MHD_queue_response (req->conn, req->http, req->response);
  MHD_destroy_response (req->response);
  req->response = NULL;
  return result;
}

/* Keep %XX as it came, so that a path can be passed on unchanged.  */
static size_t
httpd_keep_escapes (void *cls, struct MHD_Connection *conn, char *text)
{
  (void)cls;
  (void)conn;
  return strlen (text);
}

/* Append one query argument to the target at CLS.  libmicrohttpd has turned
   each '+' into a space.  */
static enum MHD_Result
target_add (void *cls, enum MHD_ValueKind kind, const char *key,
            const char *value)
{
  GString *target = cls;
  gsize at = target->len;

  (void)kind;
  g_string_append_c (target, strchr (target->str, '?') == NULL ? '?' : '&');
  g_string_append (target, key);
  if (value != NULL)
    g_string_append_printf (target, "=%s", value);
  g_strdelimit (target->str + at, " ", '+');
  return MHD_YES;
}

static char *
target_of (struct MHD_Connection *conn, const char *url)
{
  GString *target = g_string_new (url);

  MHD_get_connection_values (conn, MHD_GET_ARGUMENT_KIND, target_add, target);
  return g_string_free (target, FALSE);
}

static struct jc_http_req *
req_new (struct jc_httpd *httpd, struct MHD_Connection *conn, const char *url,
         const char *method)
{
  struct jc_http_req *req = g_new0 (struct jc_http_req, 1);

  httpd->requests++;
  req->httpd = httpd;
  req->conn = conn;
  req->method = method;
  req->path = g_strdup (url);
  req->target = target_of (conn, url);
  req->decoded = g_ptr_array_new_with_free_func (g_free);
  req->body = g_string_new (NULL);
  ev_init (&req->watch, req_on_readable);
  req->watch.data = req;
  return req;
}

static bool
req_length_allowed (const struct jc_http_req *req)
{
  const char *length = jc_http_header (req, "Content-Length");

  return length == NULL
         || g_ascii_strtoull (length, NULL, 10) <= req->httpd->max_body;
}

static enum MHD_Result
req_first_call (struct jc_http_req *req)
{
  enum jc_status status = JC_OK;

  if (!req_length_allowed (req))
    status = jc_fail (JC_TOO_LARGE, "The body is over %zu bytes.",
                      req->httpd->max_body);
  else if (req->httpd->klass->head != NULL)
    status = req->httpd->klass->head (req->httpd->ctx, req);
  if (status == JC_OK)
    return MHD_YES;
  req->refused = true;
  jc_http_fail (req, status, jc_last_message (), 0);
  return req_queue (req);
}

static enum MHD_Result
req_upload (struct jc_http_req *req, const char *data, size_t *size)
{
  if (req->body->len + *size > req->httpd->max_body && !req->refused)
    {
      req->refused = true;
      jc_http_fail (req, JC_TOO_LARGE, "The body is too large.", 0);
    }
  if (!req->refused)
    g_string_append_len (req->body, data, (gssize)*size);
  *size = 0;
  return MHD_YES;
}

static enum MHD_Result
req_progress (struct jc_http_req *req)
{
  if (req->queued)
    return MHD_YES;
  if (req->phase == REQ_GONE)
    return MHD_NO;
  if (req->phase == REQ_READING)
    {
      req->phase = REQ_OWNED;
      req->httpd->klass->body (req->httpd->ctx, req);
    }
  if (req->response != NULL)
    return req_queue (req);
  req_suspend (req);
  return MHD_YES;
}

static enum MHD_Result
httpd_on_access (void *cls, struct MHD_Connection *conn, const char *url,
                 const char *method, const char *version, const char *data,
                 size_t *size, void **slot)
{
  struct jc_http_req *req = *slot;

  (void)version;
  if (req == NULL)
    {
      req = req_new (cls, conn, url, method);
      *slot = req;
      return req_first_call (req);
    }
  if (*size > 0)
    return req_upload (req, data, size);
  return req_progress (req);
}

static void
httpd_on_completed (void *cls, struct MHD_Connection *conn, void **slot,
                    enum MHD_RequestTerminationCode code)
{
  struct jc_http_req *req = *slot;

  (void)cls;
  (void)conn;
  (void)code;
  if (req == NULL)
    return;
  req->httpd->requests--;
  req_stop_watch (req);
  req_tell_gone (req);
  if (req->response != NULL)
    MHD_destroy_response (req->response);
  if (req->out != NULL)
    g_string_free (req->out, TRUE);
  g_string_free (req->body, TRUE);
  g_ptr_array_free (req->decoded, TRUE);
  g_free (req->target);
  g_free (req->path);
  g_free (req);
  *slot = NULL;
}

/* Start a listener at ADDRESS ("IP:PORT", port 0 for any) whose requests go
   to KLASS with CTX.  Bodies over MAX_BODY bytes are refused.  Return NULL
   and set the last message where the address can't be had.  */
struct jc_httpd *
jc_httpd_new (struct ev_loop *loop, const char *address,
              const struct jc_httpd_class *klass, void *ctx, size_t max_body)
{
  struct jc_httpd *httpd = g_new0 (struct jc_httpd, 1);
  struct sockaddr_in addr;
  const union MHD_DaemonInfo *info;

  httpd->loop = loop;
  httpd->klass = klass;
  httpd->ctx = ctx;
  httpd->max_body = max_body;
  httpd->suspended = g_hash_table_new (NULL, NULL);
  jc_address_parse (address, &addr);
  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, NULL, NULL,
      httpd_on_access, httpd, MHD_OPTION_SOCK_ADDR, &addr,
      MHD_OPTION_UNESCAPE_CALLBACK, httpd_keep_escapes, NULL,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      httpd_on_completed, NULL, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)HEADER_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_END);
  if (httpd->daemon == NULL)
    {
      jc_fail (JC_UNREACHABLE, "Can't listen at %s: %s.", address,
               strerror (errno));
      g_hash_table_destroy (httpd->suspended);
      g_free (httpd);
      return NULL;
    }
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_BIND_PORT);
  httpd->port = info->port;
  info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&httpd->epoll, httpd_on_epoll, info->epoll_fd, EV_READ);
  ev_init (&httpd->timer, httpd_on_timer);
  ev_prepare_init (&httpd->prepare, httpd_on_prepare);
  httpd->epoll.data = httpd;
  httpd->timer.data = httpd;
  httpd->prepare.data = httpd;
  ev_io_start (loop, &httpd->epoll);
  ev_prepare_start (loop, &httpd->prepare);
  return httpd;
}

/* Accept no further connections; those open go on.  */
void
jc_httpd_quiesce (struct jc_httpd *httpd)
{
  MHD_socket fd = MHD_quiesce_daemon (httpd->daemon);

  if (fd != MHD_INVALID_SOCKET)
    shutdown (fd, SHUT_RDWR);
}

/* Give up what is still suspended: libmicrohttpd can't stop before.  */
static void
httpd_give_up (struct jc_httpd *httpd)
{
  GList *reqs = g_hash_table_get_keys (httpd->suspended);

  for (GList *item = reqs; item != NULL; item = item->next)
    {
      req_tell_gone (item->data);
      req_resume (item->data);
    }
  g_list_free (reqs);
  httpd_run (httpd);
}

/* Stop HTTPD and free it.  Owners of requests are told that they are
   gone.  */
void
jc_httpd_free (struct jc_httpd *httpd)
{
  if (httpd == NULL)
    return;
  httpd_give_up (httpd);
  ev_io_stop (httpd->loop, &httpd->epoll);
  ev_timer_stop (httpd->loop, &httpd->timer);
  ev_prepare_stop (httpd->loop, &httpd->prepare);
  MHD_stop_daemon (httpd->daemon);
  g_hash_table_destroy (httpd->suspended);
  g_free (httpd);
}

/* Return the number of open connections of HTTPD.  */
unsigned int
jc_httpd_connections (const struct jc_httpd *httpd)
{
  return MHD_get_daemon_info (httpd->daemon,
                              MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

/* Return the number of requests whose answers were not sent whole yet.  */
unsigned int
jc_httpd_requests (const struct jc_httpd *httpd)
{
  return httpd->requests;
}

/* Return the port that HTTPD listens at.  */
int
jc_httpd_port (const struct jc_httpd *httpd)
{
  return httpd->port;
}

/* Return the method of REQ, such as "GET".  */
const char *
jc_http_method (const struct jc_http_req *req)
{
  return req->method;
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
  return req->target;
}

/* Return the header NAME of REQ, or NULL.  */
const char *
jc_http_header (const struct jc_http_req *req, const char *name)
{
  return MHD_lookup_connection_value (req->conn, MHD_HEADER_KIND, name);
}

/* Return the query argument NAME of REQ, decoded, or NULL.  */
const char *
jc_http_query (const struct jc_http_req *req, const char *name)
{
  const char *raw
      = MHD_lookup_connection_value (req->conn, MHD_GET_ARGUMENT_KIND, name);
  char *text = raw != NULL ? g_uri_unescape_string (raw, NULL) : NULL;

  if (text != NULL)
    g_ptr_array_add (req->decoded, text);
  return text;
}

/* Return the body of REQ, valid until it is answered.  */
struct jc_str
jc_http_body (const struct jc_http_req *req)
{
  return jc_str_of (req->body);
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

static void
req_answer (struct jc_http_req *req, struct MHD_Response *response, int http,
            const char *content_type, const struct jc_http_header *headers)
{
  if (content_type != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  for (; headers != NULL && headers->name != NULL; headers++)
    MHD_add_response_header (response, headers->name, headers->value);
  req->response = response;
  req->http = (unsigned int)http;
  req_resume (req);
}

/* Answer REQ whole with BODY, which is copied.  HEADERS may be NULL.  REQ is
   no longer the caller's.  */
void
jc_http_reply (struct jc_http_req *req, int http, const char *content_type,
               struct jc_str body, const struct jc_http_header *headers)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);

  req->phase = REQ_ANSWERED;
  req_answer (req, response, http, content_type, headers);
}

/* Answer REQ with the table row of STATUS as a JSON error.  RETRY_AFTER_MS
   is said where the row has the caller come again later.  */
void
jc_http_fail (struct jc_http_req *req, enum jc_status status,
              const char *message, unsigned int retry_after_ms)
{
  const struct jc_status_row *row = jc_status_row (status);
  unsigned int seconds = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;
  char retry_after[16];
  struct jc_http_header headers[]
      = { { "X-Jaycove-Error", row->name },
          { "X-Jaycove-Run", jc_run_state_name (row->run) },
          { NULL, NULL },
          { NULL, NULL } };
  json_t *error = json_pack (
      "{s:{s:s,s:s,s:s,s:s,s:i}}", "error", "kind", row->name, "message",
      message, "run", jc_run_state_name (row->run), "retry",
      jc_retry_rule_name (row->retry), "retry_after_ms", (int)retry_after_ms);
  char *text = json_dumps (error, JSON_COMPACT);

  if (row->retry == JC_RETRY_AFTER)
    {
      g_snprintf (retry_after, sizeof retry_after, "%u", MAX (seconds, 1));
      headers[2] = (struct jc_http_header){ "Retry-After", retry_after };
    }
  jc_http_reply (req, row->http, "application/json",
                 jc_str_from (text != NULL ? text : "{}"), headers);
  free (text);
  json_decref (error);
}

static ssize_t
req_read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  struct jc_http_req *req = cls;
  size_t left = req->out->len - req->out_pos;

  (void)pos;
  if (left == 0 && req->phase == REQ_STREAM_WHOLE)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (left == 0 && req->phase != REQ_STREAMING)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (left == 0)
    {
      req_suspend (req);
      return 0;
    }
  left = MIN (left, max);
  memcpy (buf, req->out->str + req->out_pos, left);
  req->out_pos += left;
  if (req->out_pos == req->out->len)
    {
      g_string_truncate (req->out, 0);
      req->out_pos = 0;
    }
  if (req->phase == REQ_STREAMING && req->httpd->klass->room != NULL
      && jc_http_stream_buffered (req) < STREAM_LOW_BYTES)
    req->httpd->klass->room (req->httpd->ctx, req);
  return (ssize_t)left;
}

/* Begin an answer of unknown length to REQ.  */
void
jc_http_stream_begin (struct jc_http_req *req, int http,
                      const char *content_type,
                      const struct jc_http_header *headers)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, req_read_stream, req, NULL);

  req->out = g_string_new (NULL);
  req->phase = REQ_STREAMING;
  req_answer (req, response, http, content_type, headers);
}

/* Append DATA to the stream of REQ.  */
void
jc_http_stream_write (struct jc_http_req *req, struct jc_str data)
{
  g_string_append_len (req->out, data.data, (gssize)data.len);
  req_resume (req);
}

/* Return the bytes of REQ's stream that the peer has not taken yet.  */
size_t
jc_http_stream_buffered (const struct jc_http_req *req)
{
  return req->out->len - req->out_pos;
}

/* End the stream of REQ: as a whole answer, or so that the peer sees that it
   is not.  REQ is no longer the caller's.  */
void
jc_http_stream_end (struct jc_http_req *req, bool whole)
{
  req->phase = whole ? REQ_STREAM_WHOLE : REQ_STREAM_BROKEN;
  req_resume (req);
}
