/* Internals shared by the files of the HTTP client.  */

#ifndef JC_HTTPC_PRIVATE_H
#define JC_HTTPC_PRIVATE_H

#include "base/buffers.h"
#include "net/chunks.h"
#include "net/httpc.h"
#include "net/progress.h"

/* IDLE_CONNS maps an address to a GQueue of its idle connections, most recently
   used first, USED_ADDRESSES to a struct httpc_address if connections to it
   are established.  LOST_ADDRESSES maps an address to the time at which its
   process was lost.  DEAD_CALLS have ended and DEAD_CONNS are closed; REAPER
   frees them when none of their functions is on the stack.  */
struct jc_httpc
{
  struct ev_loop *loop;
  GHashTable *idle_conns;
  GHashTable *used_addresses;
  GHashTable *lost_addresses;
  GHashTable *calls;
  GPtrArray *dead_calls;
  GPtrArray *dead_conns;
  ev_timer reaper;
  uint64_t connections_opened;
};

/* What connections to one address tell of the process there: it was heard at
   HEARD_US, and had then been the same since SINCE_US, times of jc_now_us. OPEN
   is the number of established connections.  One of them broke at BROKEN_US, 0
   for none, and no older one was heard since.  */
struct httpc_address
{
  unsigned int open;
  int64_t since_us;
  int64_t heard_us;
  int64_t broken_us;
};

enum
{
  HTTPC_ECHOES = 32
};

/* Hashes of the ids of the last requests over a connection, 0 for none, NEXT
   the place of the next one.  */
struct httpc_echoes
{
  uint32_t hashes[HTTPC_ECHOES];
  unsigned int next;
};

/* A connection to ADDRESS, established at CONNECTED_US to a process that has
   been the same since SINCE_US.  CALL is the call under way on it, or NULL.
   IDLE_TIMEOUT_MS is how long it stays open while idle.  SCANNED_BYTES of IN
   are known to hold no end of a head.  BROKEN is set if the peer ended it,
   not this client, UNANSWERED while nothing was heard since the last byte
   sent.  WRITE_ERROR is the errno of a write that shows that the peer didn't
   close in order, 0 for none.  BUFFERED is what IN takes.  SKIPPING_MESSAGE is
   set while an interim answer or one of an earlier request is read.  */
struct httpc_conn
{
  struct jc_httpc *httpc;
  struct jc_httpc_call *call;
  char *address;
  int fd;
  bool connected;
  int64_t connected_us;
  int64_t since_us;
  bool closed;
  bool broken;
  bool unanswered;
  int write_error;
  bool idle;
  long idle_timeout_ms;
  struct httpc_echoes echoes;
  ev_io reader;
  ev_io writer;
  ev_timer idle_timer;
  size_t out_pos;
  http_parser parser;
  struct jc_head head;
  struct jc_head_build build;
  struct jc_chunks chunks;
  GString *in;
  struct jc_buffered buffered;
  size_t scanned_bytes;
  bool head_done;
  bool skipping_message;
  bool message_done;
};

/* A call and its request.  END_AT, the end of its total time, and
   PROGRESS_DUE_AT, by when it must connect or make progress, are times on the
   loop's clock in seconds, 0 for none.  ENDED is set once its result was
   reported or it was cancelled, COMPLETE before that if its answer was whole.
   CONNECTED is set once the connection of its current try came up.  */
struct jc_httpc_call
{
  struct jc_httpc *httpc;
  struct httpc_conn *conn;
  const struct jc_httpc_call_ops *ops;
  void *ctx;
  char *address;
  char *method;
  GString *request;
  char *echo_name;
  char *echo_value;
  long connect_timeout_ms;
  long ack_timeout_ms;
  struct jc_progress_limits limits;
  struct jc_progress progress;
  ev_timer timer;
  ev_tstamp end_at;
  ev_tstamp progress_due_at;
  bool own_connection;
  bool no_resend;
  bool paused;
  bool ended;
  bool complete;
  bool connected;
  bool sent;
  unsigned int sendings;
  bool host_unreachable;
  bool reused;
  bool framed;
  int http_status;
};

/* In httpcidle.c.  */
void httpc_echoes_note (struct httpc_echoes *echoes, const char *value);
struct httpc_conn *httpc_conn_take_idle (struct jc_httpc *httpc,
                                         const char *address, const char *echo);

/* In httpcconn.c.  */
struct httpc_conn *httpc_conn_open (struct jc_httpc *httpc,
                                    const char *address);
void httpc_conn_start_call (struct httpc_conn *conn,
                            struct jc_httpc_call *call);
void httpc_conn_close (struct httpc_conn *conn);
void httpc_conn_abort (struct httpc_conn *conn);
void httpc_conn_free (struct httpc_conn *conn);
void httpc_conn_note_refused (struct httpc_conn *conn);
void httpc_conn_take_input (struct httpc_conn *conn);
void httpc_conn_pause (struct httpc_conn *conn, bool paused);
void httpc_conn_reset_parser (struct httpc_conn *conn);

/* In httpc.c.  */
void httpc_call_connected (struct jc_httpc_call *call);
void httpc_call_sent (struct jc_httpc_call *call);
bool httpc_call_bytes_received (struct jc_httpc_call *call, size_t count);
bool httpc_call_interim_head (struct jc_httpc_call *call);
void httpc_call_unnamed (struct jc_httpc_call *call);
void httpc_call_head (struct jc_httpc_call *call, const struct jc_head *head,
                      bool framed);
void httpc_call_data (struct jc_httpc_call *call, struct jc_str data);
void httpc_call_complete (struct jc_httpc_call *call);
void httpc_call_failed (struct jc_httpc_call *call, enum jc_status status,
                        const char *message);
void httpc_schedule_reap (struct jc_httpc *httpc);

#endif
