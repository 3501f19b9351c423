/* Internals shared by the files of the HTTP server.  */

#ifndef JC_HTTPD_PRIVATE_H
#define JC_HTTPD_PRIVATE_H

#include "base/buffers.h"
#include "net/chunks.h"
#include "net/httpd.h"

enum
{
  HTTPD_RETRY_AFTER_BYTES = 24
};

struct httpd_conn;

/* A listener.  CONNS holds its connections and UNFLUSHED those that have data
   to write or are to be freed at the end of the iteration of the loop.
   OPEN_REQUESTS counts requests whose answers are not complete in a buffer,
   LINGERING the connections that wait for their peers to close.  FD
   is -1 once it accepts no more connections.  ID_HEADER names the field with
   the id of a request for log lines, ECHO_NAME a header of requests that
   answers repeat, NULL for none.  */
struct jc_httpd
{
  struct ev_loop *loop;
  const struct jc_httpd_class *klass;
  void *ctx;
  struct jc_httpd_limits limits;
  int fd;
  int port;
  bool announce_close;
  const char *id_header;
  const char *echo_name;
  ev_io accept;
  ev_timer accept_retry;
  ev_prepare flush;
  GPtrArray *conns;
  GPtrArray *unflushed;
  unsigned int open_requests;
  unsigned int lingering;
};

/* Phases of a request: its body is being read, its owner has it, its answer is
   streamed, its answer is complete in the buffer, its connection was
   closed.  */
enum req_phase
{
  REQ_READING,
  REQ_OWNED,
  REQ_STREAMING,
  REQ_ANSWERED,
  REQ_PEER_CLOSED
};

/* A request.  CONN is NULL once the connection was closed.  DECODED_ARGUMENTS
   owns the strings that jc_http_query returned.  CHUNKED is set if the answer
   is streamed in chunks; the end of any other stream is the end of its
   connection.  CLOSE_AFTER closes the connection after the answer.  RETRY_AFTER
   is the header of that name if the request is refused, empty for the usual
   one, and RETRY_AFTER_MS the same delay.  Its head was read at HEAD_MS of
   jc_now_ms.  BUFFERED is what BODY takes, and
   once more as much for the copy that is sent on.  */
struct jc_http_req
{
  struct jc_httpd *httpd;
  struct httpd_conn *conn;
  struct jc_head head;
  char *path;
  GPtrArray *decoded_arguments;
  GString *body;
  struct jc_buffered buffered;
  void *data;
  int64_t head_ms;
  enum req_phase phase;
  bool chunked;
  bool close_after;
  char retry_after[HTTPD_RETRY_AFTER_BYTES];
  int64_t retry_after_ms;
};

/* A connection and its current request; pipelined requests wait in IN.
   SCANNED_BYTES of IN are known to hold no end of a head.  DEADLINE is the time
   of the next time-out on the clock of the loop, 0 for none; IDLE_SINCE that of
   the end of the last request, or of the start.  BODY_BLOCK_BYTES
   counts the bytes of the body since DEADLINE was set.  REJECTED is set once a
   request was refused before it was read completely, LINGERING once the last
   answer was written; input after it is dropped, until LINGER_UNTIL at the
   latest.
   BLANK_BYTES counts the bytes of blank lines since the last request.
   BUFFERED is what IN and OUT take, NO_ROOM set if the body was refused because
   all buffers together take too much.  RESET_ON_CLOSE closes the connection
   with a TCP reset.  PROBED means that the peer is probed often,
   WRITTEN counts the bytes of the last answer that the kernel took.  */
struct httpd_conn
{
  struct jc_httpd *httpd;
  int fd;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  ev_tstamp deadline;
  ev_tstamp idle_since;
  GString *in;
  size_t scanned_bytes;
  GString *out;
  size_t out_pos;
  struct jc_buffered buffered;
  http_parser parser;
  struct jc_head_build build;
  struct jc_chunks chunks;
  struct jc_http_req *req;
  size_t body_block_bytes;
  bool body_done;
  bool no_room;
  bool rejected;
  ev_tstamp linger_until;
  bool lingering;
  bool close_after;
  bool flush_due;
  bool closed;
  bool head_begun;
  unsigned int blank_bytes;
  bool reset_on_close;
  bool probed;
  size_t written;
};

/* Why a connection closes: its last answer was written, the peer closed it,
   reading or writing failed, it was idle for too long or was not closed by the
   peer after a rejected request, the listener ends, its descriptor is needed
   for another one, its peer is cut off.  */
enum httpd_close_reason
{
  HTTPD_ANSWERED,
  HTTPD_PEER_CLOSED,
  HTTPD_READ_FAILED,
  HTTPD_WRITE_FAILED,
  HTTPD_TIMED_OUT,
  HTTPD_STOPPED,
  HTTPD_CROWDED,
  HTTPD_PEER_SILENT
};

/* In httpdroom.c.  */
void httpd_count_connections (int count);
int httpd_connections_open (void);
void httpd_make_room (struct jc_httpd *httpd);

/* In httpdconn.c.  */
struct httpd_conn *httpd_conn_new (struct jc_httpd *httpd, int fd);
void httpd_conn_close (struct httpd_conn *conn, enum httpd_close_reason reason);
void httpd_conn_free (struct httpd_conn *conn);
void httpd_conn_set_deadline (struct httpd_conn *conn, long ms);
void httpd_conn_count_buffers (struct httpd_conn *conn);
void httpd_conn_schedule_flush (struct httpd_conn *conn);
void httpd_conn_next_request (struct httpd_conn *conn);

/* In httpdin.c.  */
void httpd_in_reject (struct httpd_conn *conn, enum jc_status status);
void httpd_in_process (struct httpd_conn *conn);

/* In httpdout.c.  */
void httpd_out_flush (struct httpd_conn *conn);
void httpd_out_linger (struct httpd_conn *conn);

/* In httpdpeer.c.  */
void httpd_peer_set_probes (struct httpd_conn *conn, bool often);
void httpd_peer_count_written (struct httpd_conn *conn, size_t bytes);
void httpd_peer_reset_written (struct httpd_conn *conn);
void httpd_peer_limit_unsent (struct httpd_conn *conn);
void httpd_peer_reset_on_close (struct httpd_conn *conn);

/* In httpdloss.c.  */
void httpd_loss_log_close (const struct httpd_conn *conn,
                           enum httpd_close_reason reason);
void httpd_loss_log_cut (const struct jc_http_req *req);
void httpd_loss_log_no_room (const struct jc_http_req *req);

/* In httpreq.c.  */
struct jc_http_req *http_req_new (struct httpd_conn *conn);
void http_req_free (struct jc_http_req *req);
void http_req_peer_closed (struct jc_http_req *req);

#endif
