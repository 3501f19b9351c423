/* HTTP server task: a listener on a libev loop, its messages read by
   http-parser.  */

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

/* What a listener does with its requests.  Each request is handed over by
   HEAD (before its body is read) and BODY (all read); then it is owned by
   the callee until answered by jc_http_reply or jc_http_stream_end, or until
   GONE says that the peer closed.  */
struct jc_httpd_class
{
  enum jc_status (*head) (void *ctx, struct jc_http_req *req);
  void (*body) (void *ctx, struct jc_http_req *req);
  void (*peer_closed) (void *ctx, struct jc_http_req *req);
  void (*writable) (void *ctx, struct jc_http_req *req);
};

/* One header of an answer; the list ends with a NULL name.  */
struct jc_http_header
{
  const char *name;
  const char *value;
};

/* What a listener allows its peers.  A head must be whole HEAD_MS after its
   first byte, and a body must go on within each BODY_MS; a connection without
   a request is closed after IDLE_MS.  */
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
void jc_http_set_data (struct jc_http_req *req, void *data);
void *jc_http_data (const struct jc_http_req *req);

void jc_http_reply (struct jc_http_req *req, int http, const char *content_type,
                    struct jc_str body, const struct jc_http_header *headers);
void jc_http_fail (struct jc_http_req *req, enum jc_status status,
                   const char *message, unsigned int retry_after_ms);
void jc_http_fail_after (struct jc_http_req *req, enum jc_status status,
                         const char *message, const char *retry_after,
                         int64_t retry_after_ms);
void jc_http_stream_begin (struct jc_http_req *req, int http,
                           const char *content_type,
                           const struct jc_http_header *headers);
void jc_http_stream_write (struct jc_http_req *req, struct jc_str data);
size_t jc_http_stream_buffered (const struct jc_http_req *req);
void jc_http_stream_end (struct jc_http_req *req, bool whole);

#endif
