/* HTTP/1.1 server on a libev loop; requests are parsed by http-parser.  */

#ifndef JC_HTTPD_H
#define JC_HTTPD_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"
#include "net/httphead.h"

struct jc_httpd;
struct jc_http_req;

/* Callbacks of a listener; all but BODY may be NULL.  HEAD is called before
   the body of a request is read; a status other than JC_OK rejects the request
   with the last message.  BODY is called when the request is complete.  From
   then on the request is owned by the callee until it is answered by
   jc_http_reply or jc_http_stream_end, or until PEER_CLOSED says that the
   connection was closed.  WRITABLE is called when all buffered data of a
   stream was written.  */
struct jc_httpd_class
{
  enum jc_status (*head) (void *ctx, struct jc_http_req *req);
  void (*body) (void *ctx, struct jc_http_req *req);
  void (*peer_closed) (void *ctx, struct jc_http_req *req);
  void (*writable) (void *ctx, struct jc_http_req *req);
};

/* A header of an answer.  Lists of headers end with a NULL name.  */
struct jc_http_header
{
  const char *name;
  const char *value;
};

/* Limits of a listener; times are in ms, 0 for no limit.  A head must be
   complete HEAD_TIMEOUT_MS after its first byte.  The next block of a body, or
   its end, must arrive within BODY_TIMEOUT_MS.  A connection without a
   request is closed after IDLE_TIMEOUT_MS.  */
struct jc_httpd_limits
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  long head_timeout_ms;
  long body_timeout_ms;
  long idle_timeout_ms;
};

struct jc_httpd *jc_httpd_new (struct ev_loop *loop, const char *address,
                               const struct jc_httpd_class *klass, void *ctx,
                               size_t max_body);
void jc_httpd_free (struct jc_httpd *httpd);
void jc_httpd_set_limits (struct jc_httpd *httpd,
                          const struct jc_httpd_limits *limits);
void jc_httpd_set_id_header (struct jc_httpd *httpd, const char *name);
void jc_httpd_set_echo (struct jc_httpd *httpd, const char *name);
void jc_httpd_announce_close (struct jc_httpd *httpd);
void jc_httpd_stop_accepting (struct jc_httpd *httpd);
unsigned int jc_httpd_count_connections (const struct jc_httpd *httpd);
unsigned int jc_httpd_count_requests (const struct jc_httpd *httpd);
int jc_httpd_port (const struct jc_httpd *httpd);

const struct jc_head *jc_http_head (const struct jc_http_req *req);
const char *jc_http_method (const struct jc_http_req *req);
const char *jc_http_path (const struct jc_http_req *req);
const char *jc_http_target (const struct jc_http_req *req);
const char *jc_http_header (const struct jc_http_req *req, const char *name);
const char *jc_http_query (const struct jc_http_req *req, const char *name);
struct jc_str jc_http_body (const struct jc_http_req *req);
int64_t jc_http_head_ms (const struct jc_http_req *req);
bool jc_http_peer_acks (const struct jc_http_req *req, bool *owes,
                        int64_t *ack_ms_ago);
void jc_http_probe_peer (struct jc_http_req *req);
void jc_http_drop_silent (struct jc_http_req *req);
void jc_http_set_data (struct jc_http_req *req, void *data);
void *jc_http_data (const struct jc_http_req *req);

void jc_http_reply (struct jc_http_req *req, int http, const char *content_type,
                    struct jc_str body, const struct jc_http_header *headers);
void jc_http_fail (struct jc_http_req *req, enum jc_status status,
                   const char *message, unsigned int retry_after_ms);
void jc_http_fail_after (struct jc_http_req *req, enum jc_status status,
                         const char *message, const char *retry_after,
                         int64_t retry_after_ms);
void jc_http_set_retry_after (struct jc_http_req *req, const char *retry_after,
                              int64_t retry_after_ms);
void jc_http_stream_begin (struct jc_http_req *req, int http,
                           const char *content_type,
                           const struct jc_http_header *headers);
void jc_http_stream_write (struct jc_http_req *req, struct jc_str data);
size_t jc_http_stream_buffered (const struct jc_http_req *req);
void jc_http_stream_end (struct jc_http_req *req, bool complete);

#endif
