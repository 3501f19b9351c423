/* What the files of the HTTP client task share; not for others.  */

#ifndef JC_HTTPC_PRIVATE_H
#define JC_HTTPC_PRIVATE_H

#include "net/chunks.h"
#include "net/httpc.h"
#include "net/progress.h"

/* IDLE maps an address to a GQueue of its kept connections, latest first.  */
struct jc_httpc
{
  struct ev_loop *loop;
  GHashTable *idle_conns;
  GHashTable *calls;
  GPtrArray *dead_calls;
  GPtrArray *dead_conns;
  ev_timer reaper;
  uint64_t connections_opened;
};

/* A connection to ADDRESS, with the call that it carries or none.  KEEP_MS is
   how long the peer keeps it open while idle.  */
struct link
{
  struct jc_httpc *httpc;
  struct jc_httpc_call *call;
  char *address;
  int fd;
  bool connected;
  bool reused;
  bool closed;
  bool idle;
  long idle_timeout_ms;
  ev_io reader;
  ev_io writer;
  ev_timer idle_timer;
  size_t out_pos;
  http_parser parser;
  struct jc_head head;
  struct jc_head_build build;
  struct jc_chunks chunks;
  GString *in;
  size_t scanned_bytes;
  bool head_done;
  bool skipping_message;
  bool message_done;
};

/* A call and the request that it sends.  END_AT and SILENT_AT are times on the
   loop's clock, in seconds, 0 for none.  */
struct jc_httpc_call
{
  struct jc_httpc *httpc;
  struct link *conn;
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
  bool sent;
  bool host_unreachable;
  bool reused;
  bool framed;
  int http_status;
};

/* In httplink.c.  */
struct link *httpc_conn_take_idle (struct jc_httpc *httpc, const char *address);
struct link *httpc_conn_open (struct jc_httpc *httpc, const char *address);
void httpc_conn_start_call (struct link *link, struct jc_httpc_call *call);
void httpc_conn_close (struct link *link);
void httpc_conn_free (struct link *link);
void httpc_conn_pause (struct link *link, bool paused);
void httpc_conn_reset_parser (struct link *link);

/* In httpc.c.  */
void httpc_call_connected (struct jc_httpc_call *call);
void httpc_call_bytes_sent (struct jc_httpc_call *call);
bool httpc_call_bytes_received (struct jc_httpc_call *call, size_t count);
bool httpc_call_interim_head (struct jc_httpc_call *call);
void httpc_call_head (struct jc_httpc_call *call, const struct jc_head *head,
                      bool framed);
void httpc_call_data (struct jc_httpc_call *call, struct jc_str data);
void httpc_call_complete (struct jc_httpc_call *call);
void httpc_call_failed (struct jc_httpc_call *call, enum jc_status status,
                        const char *message);
void httpc_schedule_reap (struct jc_httpc *httpc);

#endif
