/* What the files of the HTTP server task share; not for others.  */

#ifndef JC_HTTPD_PRIVATE_H
#define JC_HTTPD_PRIVATE_H

#include "net/chunks.h"
#include "net/httpd.h"

struct httpd_conn;

struct jc_httpd
{
  struct ev_loop *loop;
  const struct jc_httpd_class *klass;
  void *ctx;
  struct jc_httpd_limits limits;
  int fd;
  int port;
  bool announce_close;
  ev_io accept;
  ev_timer accept_retry;
  ev_prepare flush;
  GPtrArray *conns;
  GPtrArray *unflushed;
  unsigned int open_requests;
};

enum req_phase
{
  REQ_READING,
  REQ_OWNED,
  REQ_STREAMING,
  REQ_ANSWERED,
  REQ_PEER_CLOSED
};

/* CONN is NULL once the connection went away.  CHUNKED streams carry their
   own end; others end with their connection.  */
struct jc_http_req
{
  struct jc_httpd *httpd;
  struct httpd_conn *conn;
  struct jc_head head;
  char *path;
  GPtrArray *decoded_arguments;
  GString *body;
  void *data;
  enum req_phase phase;
  bool chunked;
  bool close_after;
};

/* A connection and the one request under way on it; what follows waits in
   IN.  SCANNED bytes of IN hold no end of a head.  DUE is the time of its
   next timeout, 0 for none; BODY_BLOCK counts bytes of the body since it was
   set last.  */
struct httpd_conn
{
  struct jc_httpd *httpd;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  ev_tstamp deadline;
  GString *in;
  size_t scanned_bytes;
  GString *out;
  size_t out_pos;
  http_parser parser;
  struct jc_head_build build;
  struct jc_chunks chunks;
  struct jc_http_req *req;
  bool in_body;
  size_t body_block_bytes;
  bool body_done;
  bool rejected;
  bool close_after;
  bool flush_due;
  bool closed;
  bool head_begun;
  /* Of blank lines since the request before.  */
  unsigned int blank_bytes;
  bool reset_on_close;
};

/* In httpconn.c.  */
struct httpd_conn *httpd_conn_new (struct jc_httpd *httpd, int fd);
void httpd_conn_close (struct httpd_conn *conn);
void httpd_conn_free (struct httpd_conn *conn);
void httpd_conn_flush (struct httpd_conn *conn);
void httpd_conn_schedule_flush (struct httpd_conn *conn);
void httpd_conn_next_request (struct httpd_conn *conn);

/* In httpreq.c.  */
struct jc_http_req *http_req_new (struct httpd_conn *conn);
void http_req_free (struct jc_http_req *req);
void http_req_peer_closed (struct jc_http_req *req);

#endif
